//! Merging of records, and deltas since a revision.
use sparrouter_membership::{
    ChangedRecord, LifecycleState, MembershipDelta, MembershipTable, NodeRecord, ServerDirective,
    ServerRecord, sources,
};

/// Tombstone retention in nanoseconds: 60 s.
const TOMBSTONE_RETENTION: u64 = 60_000_000_000;

/// An empty table with capacity for any test.
fn new_table(epoch: u64) -> MembershipTable {
    MembershipTable::new(epoch, TOMBSTONE_RETENTION, 10_000)
}

/// A server whose address is derived from the length of its id, so that ids of equal length share an address.
fn server(id: &str, sequence: u64, state: LifecycleState) -> ServerRecord {
    let address = format!("10.0.0.{}:80", id.len());
    ServerRecord {
        id: id.into(),
        service: "s".into(),
        address,
        state,
        call_sequence: sequence,
        ..ServerRecord::default()
    }
}

fn directive(key: &str) -> ServerDirective {
    ServerDirective {
        key: key.into(),
        fencing_token: 1,
        sequence: 1,
        version: 2,
        withdrawn: false,
    }
}

#[test]
fn given_a_draining_server_when_a_delayed_or_new_heartbeat_reports_ready_then_it_stays_draining() {
    let mut table = new_table(1);
    assert!(table.merge_server(server("a", 5, LifecycleState::Draining), 0));
    assert!(!table.merge_server(server("a", 4, LifecycleState::Ready), 1));
    table.merge_server(server("a", 6, LifecycleState::Ready), 2);
    assert_eq!(table.server("a").unwrap().state, LifecycleState::Draining);
}

#[test]
fn given_an_unknown_server_marked_as_left_when_its_heartbeat_arrives_then_it_stays_left() {
    let mut table = new_table(1);
    table.mark_server_left("a", 0);
    table.merge_server(server("a", 9, LifecycleState::Ready), 1);
    assert_eq!(table.server("a").unwrap().state, LifecycleState::Left);
    table.drop_expired(TOMBSTONE_RETENTION * 2);
    assert!(table.server("a").is_none());
}

#[test]
fn given_a_server_displaced_from_its_address_when_it_sends_a_heartbeat_then_it_is_live_again() {
    let mut table = new_table(1);
    table.merge_server(server("a", 1, LifecycleState::Ready), 0);
    table.merge_server(server("b", 1, LifecycleState::Ready), 1);
    assert!(table.server("a").unwrap().unresponsive && !table.server("b").unwrap().unresponsive);
    table.merge_server(server("a", 2, LifecycleState::Ready), 2);
    assert!(!table.server("a").unwrap().unresponsive);
}

#[test]
fn given_the_same_server_records_when_merged_in_any_order_then_tables_converge() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..300 {
        let mut updates: Vec<ServerRecord> = (0..12)
            .map(|_| {
                let state = [
                    LifecycleState::Ready,
                    LifecycleState::Draining,
                    LifecycleState::Left,
                ][rng.usize(..3)];
                ServerRecord {
                    unresponsive: rng.bool(),
                    ..server(["a", "bb"][rng.usize(..2)], rng.u64(..4), state)
                }
            })
            .collect();
        let summary = |updates: &[ServerRecord]| {
            let mut table = new_table(1);
            updates.iter().for_each(|update| {
                table.merge_server(update.clone(), 0);
            });
            table
                .servers()
                .map(|r| (r.id.clone(), r.call_sequence, r.unresponsive, r.state))
                .collect::<Vec<_>>()
        };
        let first = summary(&updates);
        rng.shuffle(&mut updates);
        assert_eq!(first, summary(&updates));
    }
}

#[test]
fn given_a_poll_since_a_revision_when_answered_then_the_delta_contains_only_changed_records() {
    let (mut source, mut poller) = (new_table(1), new_table(2));
    source.merge_server(server("a", 1, LifecycleState::Ready), 0);
    let first = source.delta_since(0, 0, usize::MAX);
    poller.merge(first.clone(), 0);
    source.merge_server(server("bb", 1, LifecycleState::Ready), 0);
    let second = source.delta_since(first.epoch, first.revision, usize::MAX);
    assert_eq!(second.servers.len(), 1);
    assert!(
        source
            .delta_since(second.epoch, second.revision, usize::MAX)
            .is_empty()
    );
    // A restarted source counts revisions from 0 again, so the poller's revision is not valid there.
    let after_restart = new_table(3).delta_since(second.epoch, second.revision, usize::MAX);
    assert_eq!((after_restart.epoch, after_restart.revision), (3, 0));
}

#[test]
fn given_a_node_marked_unresponsive_when_it_raises_its_incarnation_then_it_is_responsive_again() {
    let mut table = new_table(1);
    let mut own = NodeRecord {
        name: "n".into(),
        incarnation: 1,
        nonce: 9,
        ..NodeRecord::default()
    };
    table.merge_node(own.clone(), 0);
    table.mark_node_unresponsive("n", 1);
    own.incarnation = table.next_incarnation(&own);
    assert_eq!(own.incarnation, 2);
    assert!(table.merge_node(own.clone(), 2));
    assert!(!table.node("n").unwrap().unresponsive);
    // Another process with the same name takes a higher incarnation.
    let successor = NodeRecord {
        nonce: 3,
        incarnation: 1,
        ..own
    };
    assert_eq!(table.next_incarnation(&successor), 3);
}

#[test]
fn given_a_replaced_lease_holder_when_it_sends_a_directive_then_its_lower_fencing_token_is_ignored()
{
    let mut table = new_table(1);
    let directive = |fencing_token, sequence, version| ServerDirective {
        key: "load/a".into(),
        fencing_token,
        sequence,
        version,
        withdrawn: false,
    };
    table.merge_directive(directive(4, 1, 10), 0);
    assert!(!table.merge_directive(directive(3, 99, 20), 1));
    assert!(table.merge_directive(directive(4, 2, 30), 1));
    assert_eq!(table.directive("load/a").unwrap().version, 30);
}

#[test]
fn given_a_full_table_when_more_records_are_merged_then_they_are_not_stored() {
    let mut table = MembershipTable::new(1, TOMBSTONE_RETENTION, 3);
    for i in 0..10 {
        let record = ServerRecord {
            id: format!("i{i}"),
            address: format!("a{i}"),
            ..ServerRecord::default()
        };
        table.merge(
            MembershipDelta {
                servers: vec![record].into(),
                ..MembershipDelta::default()
            },
            0,
        );
    }
    assert_eq!(table.servers().count(), 3);
}

#[test]
fn given_600_nodes_when_sources_are_selected_then_load_is_spread_and_quorum_contact_is_preferred() {
    let names: Vec<String> = (0..6).map(|i| format!("c{i}")).collect();
    let mut poll_counts = [0; 6];
    for node in 0..600 {
        let own = format!("n{node}");
        let selected = sources(&own, names.iter().map(|n| (n.as_str(), true)), 2);
        assert_eq!(selected.len(), 2);
        selected
            .iter()
            .for_each(|p| poll_counts[names.iter().position(|n| n == p).unwrap()] += 1);
        let nodes_with_contact = sources(&own, names.iter().map(|n| (n.as_str(), n != "c1")), 5);
        assert!(!nodes_with_contact.contains(&"c1"));
    }
    assert!(
        poll_counts.iter().all(|n| (150..250).contains(n)),
        "{poll_counts:?}"
    );
}

/// Applies a random change. `step` rises with each call and is the version of the change, so that most changes are newer than
/// previous changes.
fn change_randomly(table: &mut MembershipTable, rng: &mut fastrand::Rng, step: u64) {
    match rng.u8(..4) {
        0 => {
            table.mark_server_left(["a", "bb", "ccc"][rng.usize(..3)], step);
        }
        1 => {
            let node = NodeRecord {
                name: format!("n{}", rng.u8(..3)),
                incarnation: step,
                nonce: 1,
                ..NodeRecord::default()
            };
            table.merge_node(node, step);
        }
        2 => {
            let key = format!("load/{}", rng.u8(..3));
            table.merge_directive(
                ServerDirective {
                    key,
                    fencing_token: 1,
                    sequence: step,
                    version: step,
                    withdrawn: rng.bool(),
                },
                step,
            );
        }
        _ => {
            table.merge_server(
                server(
                    ["a", "bb", "ccc"][rng.usize(..3)],
                    step,
                    LifecycleState::Ready,
                ),
                step,
            );
        }
    }
}

#[test]
fn given_random_changes_when_a_poller_merges_all_deltas_then_it_has_the_records_of_its_source() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..100 {
        let (mut source, mut poller) = (new_table(1), new_table(2));
        let mut known = (0, 0);
        for step in 0..60u64 {
            change_randomly(&mut source, &mut rng, step);
            if rng.u8(..5) == 0 {
                let delta = source.delta_since(known.0, known.1, usize::MAX);
                known = (delta.epoch, delta.revision);
                poller.merge(delta, step);
            }
        }
        poller.merge(source.delta_since(known.0, known.1, usize::MAX), 60);
        let contents = |table: &MembershipTable| MembershipDelta {
            servers: table.servers().cloned().collect(),
            nodes: table.nodes().cloned().collect(),
            directives: table.directives().cloned().collect(),
            ..MembershipDelta::default()
        };
        assert_eq!(contents(&source), contents(&poller));
    }
}

#[test]
fn given_new_servers_and_a_draining_server_when_merged_then_only_draining_is_urgent() {
    let mut table = new_table(1);
    table.merge_server(server("a", 1, LifecycleState::Ready), 0);
    table.merge_server(server("bb", 1, LifecycleState::Ready), 0);
    assert_eq!(table.urgent_revision(), 0);
    table.merge_server(server("a", 2, LifecycleState::Draining), 0);
    assert_eq!(table.urgent_revision(), table.revision());
}

#[test]
fn given_more_changes_than_fit_in_one_delta_when_a_poller_continues_then_it_receives_all() {
    let (mut source, mut poller) = (new_table(1), new_table(2));
    for i in 0..25 {
        let record = ServerRecord {
            id: format!("i{i}"),
            address: format!("a{i}"),
            call_sequence: 1,
            ..ServerRecord::default()
        };
        source.merge_server(record, 0);
    }
    let (mut known, mut delta_count) = ((0, 0), 0);
    while known.1 < source.revision() {
        let delta = source.delta_since(known.0, known.1, 10);
        assert!(delta.servers.len() <= 10 && delta.revision > known.1);
        known = (delta.epoch, delta.revision);
        poller.merge(delta, 0);
        delta_count += 1;
    }
    assert_eq!((poller.servers().count(), delta_count), (25, 3));
}

#[test]
fn given_1000_records_when_one_changes_then_lookups_visit_only_matching_records() {
    let mut table = new_table(1);
    for i in 0..500 {
        table.merge_server(
            server(&format!("server-{i:03}"), 1, LifecycleState::Ready),
            0,
        );
        table.merge_directive(directive(&format!("load/server-{i:03}/m")), 0);
    }
    let known = table.revision();
    table.merge_server(server("server-007", 2, LifecycleState::Draining), 1);
    let visited_before = table.records_visited();
    let changed: Vec<ChangedRecord> = table.changed_since(known).collect();
    assert_eq!(changed, [ChangedRecord::Server("server-007")]);
    let keys: Vec<&str> = table
        .directives_with_prefix("load/server-007/")
        .map(|(directive, _)| directive.key.as_str())
        .collect();
    assert_eq!(keys, ["load/server-007/m"]);
    assert_eq!(table.records_visited() - visited_before, 2);
}

#[test]
fn given_a_node_record_when_it_changes_or_is_dropped_then_and_only_then_node_changes_rises() {
    let mut table = new_table(1);
    let node = NodeRecord {
        name: "n".into(),
        incarnation: 1,
        ..NodeRecord::default()
    };
    table.merge_node(node.clone(), 0);
    let known = table.node_changes();
    assert!(!table.merge_node(node, 1));
    table.merge_server(server("a", 1, LifecycleState::Ready), 1);
    table.drop_expired(2);
    assert_eq!(table.node_changes(), known);
    table.mark_node_unresponsive("n", 3);
    let after_unresponsive = table.node_changes();
    assert!(after_unresponsive > known);
    table.drop_expired(TOMBSTONE_RETENTION * 5);
    assert!(table.node("n").is_none() && table.node_changes() > after_unresponsive);
}

#[test]
fn given_a_server_tombstone_when_it_expires_then_the_count_of_dropped_servers_rises() {
    let mut table = new_table(1);
    table.merge_server(server("a", 1, LifecycleState::Ready), 0);
    table.mark_server_left("a", 0);
    table.drop_expired(TOMBSTONE_RETENTION / 2);
    assert_eq!(table.servers_dropped(), 0);
    table.drop_expired(TOMBSTONE_RETENTION * 2);
    assert_eq!(table.servers_dropped(), 1);
}
