use sparrouter_membership::{
    ChangedRecord, LifecycleState, MembershipDelta, MembershipTable, NodeRecord, ServerDirective,
    ServerRecord, sources,
};

const TOMB: u64 = 60_000_000_000;

fn rows(epoch: u64) -> MembershipTable {
    MembershipTable::new(epoch, TOMB, 10_000)
}
fn server(id: &str, sequence: u64, standing: LifecycleState) -> ServerRecord {
    let address = format!("10.0.0.{}:80", id.len());
    ServerRecord {
        id: id.into(),
        service: "s".into(),
        address,
        state: standing,
        call_sequence: sequence,
        ..ServerRecord::default()
    }
}

#[test]
fn given_a_draining_server_when_a_late_heartbeat_says_ready_then_it_stays_draining() {
    let mut rows = rows(1);
    assert!(rows.merge_server(server("a", 5, LifecycleState::Draining), 0));
    assert!(!rows.merge_server(server("a", 4, LifecycleState::Ready), 1));
    rows.merge_server(server("a", 6, LifecycleState::Ready), 2);
    assert_eq!(rows.server("a").unwrap().state, LifecycleState::Draining);
}

#[test]
fn given_a_server_that_left_before_it_was_known_when_its_heartbeat_comes_then_it_stays_gone() {
    let mut rows = rows(1);
    rows.mark_server_left("a", 0);
    rows.merge_server(server("a", 9, LifecycleState::Ready), 1);
    assert_eq!(rows.server("a").unwrap().state, LifecycleState::Left);
    rows.drop_expired(TOMB * 2);
    assert!(rows.server("a").is_none());
}

#[test]
fn given_an_address_taken_over_when_the_old_server_sends_a_heartbeat_then_each_is_live_in_turn() {
    let mut rows = rows(1);
    rows.merge_server(server("a", 1, LifecycleState::Ready), 0);
    rows.merge_server(server("b", 1, LifecycleState::Ready), 1);
    assert!(rows.server("a").unwrap().unresponsive && !rows.server("b").unwrap().unresponsive);
    rows.merge_server(server("a", 2, LifecycleState::Ready), 2);
    assert!(!rows.server("a").unwrap().unresponsive);
}

#[test]
fn given_the_same_rows_in_any_order_then_all_nodes_converge() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..300 {
        let mut words: Vec<ServerRecord> = (0..12)
            .map(|_| {
                let standing = [
                    LifecycleState::Ready,
                    LifecycleState::Draining,
                    LifecycleState::Left,
                ][rng.usize(..3)];
                ServerRecord {
                    unresponsive: rng.bool(),
                    ..server(["a", "bb"][rng.usize(..2)], rng.u64(..4), standing)
                }
            })
            .collect();
        let summary = |words: &[ServerRecord]| {
            let mut rows = rows(1);
            words.iter().for_each(|w| {
                rows.merge_server(w.clone(), 0);
            });
            rows.servers()
                .map(|r| (r.id.clone(), r.call_sequence, r.unresponsive, r.state))
                .collect::<Vec<_>>()
        };
        let first = summary(&words);
        rng.shuffle(&mut words);
        assert_eq!(first, summary(&words));
    }
}

#[test]
fn given_a_poller_with_a_revision_when_it_polls_then_it_gets_only_changed_rows() {
    let (mut source, mut asker) = (rows(1), rows(2));
    source.merge_server(server("a", 1, LifecycleState::Ready), 0);
    let first = source.delta_since(0, 0, usize::MAX);
    asker.merge(first.clone(), 0);
    source.merge_server(server("bb", 1, LifecycleState::Ready), 0);
    let second = source.delta_since(first.epoch, first.revision, usize::MAX);
    assert_eq!(second.servers.len(), 1);
    assert!(
        source
            .delta_since(second.epoch, second.revision, usize::MAX)
            .is_empty()
    );
    // A restarted source counts from 0 again: the poller's revision has no meaning there.
    let again = rows(3).delta_since(second.epoch, second.revision, usize::MAX);
    assert_eq!((again.epoch, again.revision), (3, 0));
}

#[test]
fn given_a_node_marked_silent_when_it_learns_so_then_it_refutes_with_a_higher_incarnation() {
    let mut rows = rows(1);
    let mut own = NodeRecord {
        name: "n".into(),
        incarnation: 1,
        nonce: 9,
        ..NodeRecord::default()
    };
    rows.merge_node(own.clone(), 0);
    rows.mark_node_unresponsive("n", 1);
    own.incarnation = rows.next_incarnation(&own);
    assert_eq!(own.incarnation, 2);
    assert!(rows.merge_node(own.clone(), 2));
    assert!(!rows.node("n").unwrap().unresponsive);
    // A successor under the same name takes a higher incarnation.
    let next = NodeRecord {
        nonce: 3,
        incarnation: 1,
        ..own
    };
    assert_eq!(rows.next_incarnation(&next), 3);
}

#[test]
fn given_a_replaced_lease_holder_when_it_still_writes_then_its_directives_are_ignored() {
    let mut rows = rows(1);
    let note = |fence, number, value| ServerDirective {
        key: "load/a".into(),
        fencing_token: fence,
        sequence: number,
        version: value,
        withdrawn: false,
    };
    rows.merge_directive(note(4, 1, 10), 0);
    assert!(!rows.merge_directive(note(3, 99, 20), 1));
    assert!(rows.merge_directive(note(4, 2, 30), 1));
    assert_eq!(rows.directive("load/a").unwrap().version, 30);
}

#[test]
fn given_more_rows_than_fit_when_they_come_then_no_more_are_held() {
    let mut rows = MembershipTable::new(1, TOMB, 3);
    for i in 0..10 {
        let row = ServerRecord {
            id: format!("i{i}"),
            address: format!("a{i}"),
            ..ServerRecord::default()
        };
        rows.merge(
            MembershipDelta {
                servers: vec![row].into(),
                ..MembershipDelta::default()
            },
            0,
        );
    }
    assert_eq!(rows.servers().count(), 3);
}

#[test]
fn given_many_nodes_then_sources_are_spread_and_those_with_quorum_contact_come_first() {
    let names: Vec<String> = (0..6).map(|i| format!("c{i}")).collect();
    let mut asked = [0; 6];
    for node in 0..600 {
        let own = format!("n{node}");
        let picked = sources(&own, names.iter().map(|n| (n.as_str(), true)), 2);
        assert_eq!(picked.len(), 2);
        picked
            .iter()
            .for_each(|p| asked[names.iter().position(|n| n == p).unwrap()] += 1);
        let out = sources(&own, names.iter().map(|n| (n.as_str(), n != "c1")), 5);
        assert!(!out.contains(&"c1"));
    }
    assert!(asked.iter().all(|n| (150..250).contains(n)), "{asked:?}");
}

#[test]
fn given_any_history_then_the_changes_since_each_revision_bring_a_poller_to_the_same_rows() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..100 {
        let (mut source, mut asker) = (rows(1), rows(2));
        let mut known = (0, 0);
        for step in 0..60u64 {
            match rng.u8(..4) {
                0 => {
                    source.mark_server_left(["a", "bb", "ccc"][rng.usize(..3)], step);
                }
                1 => {
                    let node = NodeRecord {
                        name: format!("n{}", rng.u8(..3)),
                        incarnation: step,
                        nonce: 1,
                        ..NodeRecord::default()
                    };
                    source.merge_node(node, step);
                }
                2 => {
                    let key = format!("load/{}", rng.u8(..3));
                    source.merge_directive(
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
                    source.merge_server(
                        server(
                            ["a", "bb", "ccc"][rng.usize(..3)],
                            step,
                            LifecycleState::Ready,
                        ),
                        step,
                    );
                }
            }
            if rng.u8(..5) == 0 {
                let delta = source.delta_since(known.0, known.1, usize::MAX);
                known = (delta.epoch, delta.revision);
                asker.merge(delta, step);
            }
        }
        asker.merge(source.delta_since(known.0, known.1, usize::MAX), 60);
        let of = |r: &MembershipTable| {
            let servers: Vec<_> = r.servers().cloned().collect();
            (
                servers,
                r.nodes().cloned().collect::<Vec<_>>(),
                r.directives().cloned().collect::<Vec<_>>(),
            )
        };
        assert_eq!(of(&source), of(&asker));
    }
}

#[test]
fn given_a_draining_server_and_new_servers_then_only_the_draining_is_urgent() {
    let mut rows = rows(1);
    rows.merge_server(server("a", 1, LifecycleState::Ready), 0);
    rows.merge_server(server("bb", 1, LifecycleState::Ready), 0);
    assert_eq!(rows.urgent_revision(), 0);
    rows.merge_server(server("a", 2, LifecycleState::Draining), 0);
    assert_eq!(rows.urgent_revision(), rows.revision());
}

#[test]
fn given_more_rows_than_fit_in_one_answer_when_a_poller_continues_then_it_gets_all_of_them() {
    let (mut source, mut asker) = (rows(1), rows(2));
    for i in 0..25 {
        let row = ServerRecord {
            id: format!("i{i}"),
            address: format!("a{i}"),
            call_sequence: 1,
            ..ServerRecord::default()
        };
        source.merge_server(row, 0);
    }
    let (mut known, mut answers) = ((0, 0), 0);
    while known.1 < source.revision() {
        let delta = source.delta_since(known.0, known.1, 10);
        assert!(delta.servers.len() <= 10 && delta.revision > known.1);
        known = (delta.epoch, delta.revision);
        asker.merge(delta, 0);
        answers += 1;
    }
    assert_eq!((asker.servers().count(), answers), (25, 3));
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
fn given_many_rows_when_one_changes_then_only_it_is_walked() {
    let mut rows = rows(1);
    for i in 0..500 {
        rows.merge_server(
            server(&format!("server-{i:03}"), 1, LifecycleState::Ready),
            0,
        );
        rows.merge_directive(directive(&format!("load/server-{i:03}/m")), 0);
    }
    let known = rows.revision();
    rows.merge_server(server("server-007", 2, LifecycleState::Draining), 1);
    let before = rows.records_visited();
    let changed: Vec<ChangedRecord> = rows.changed_since(known).collect();
    assert_eq!(changed, [ChangedRecord::Server("server-007")]);
    let notes: Vec<&str> = rows
        .directives_with_prefix("load/server-007/")
        .map(|(note, _)| note.key.as_str())
        .collect();
    assert_eq!(notes, ["load/server-007/m"]);
    assert_eq!(rows.records_visited() - before, 2);
}

#[test]
fn given_nodes_when_one_changes_or_is_dropped_then_the_count_of_node_changes_rises_and_else_not() {
    let mut rows = rows(1);
    let node = NodeRecord {
        name: "n".into(),
        incarnation: 1,
        ..NodeRecord::default()
    };
    rows.merge_node(node.clone(), 0);
    let known = rows.node_changes();
    assert!(!rows.merge_node(node, 1));
    rows.merge_server(server("a", 1, LifecycleState::Ready), 1);
    rows.drop_expired(2);
    assert_eq!(rows.node_changes(), known);
    rows.mark_node_unresponsive("n", 3);
    let silent = rows.node_changes();
    assert!(silent > known);
    rows.drop_expired(TOMB * 5);
    assert!(rows.node("n").is_none() && rows.node_changes() > silent);
}

#[test]
fn given_a_server_that_is_dropped_when_nothing_else_changes_then_the_count_of_dropped_ones_rises() {
    let mut rows = rows(1);
    rows.merge_server(server("a", 1, LifecycleState::Ready), 0);
    rows.mark_server_left("a", 0);
    rows.drop_expired(TOMB / 2);
    assert_eq!(rows.servers_dropped(), 0);
    rows.drop_expired(TOMB * 2);
    assert_eq!(rows.servers_dropped(), 1);
}
