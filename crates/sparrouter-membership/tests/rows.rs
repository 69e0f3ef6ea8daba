use sparrouter_membership::{ChangedRow, Delta, NodeRow, Note, Rows, ServerRow, Standing, sources};

const TOMB: u64 = 60_000_000_000;

fn rows(epoch: u64) -> Rows {
    Rows::new(epoch, TOMB, 10_000)
}
fn server(id: &str, sequence: u64, standing: Standing) -> ServerRow {
    let address = format!("10.0.0.{}:80", id.len());
    ServerRow {
        id: id.into(),
        service: "s".into(),
        address,
        standing,
        call_sequence: sequence,
        ..ServerRow::default()
    }
}

#[test]
fn given_a_draining_server_when_a_late_heartbeat_says_ready_then_it_stays_draining() {
    let mut rows = rows(1);
    assert!(rows.merge_server(server("a", 5, Standing::Draining), 0));
    assert!(!rows.merge_server(server("a", 4, Standing::Ready), 1));
    rows.merge_server(server("a", 6, Standing::Ready), 2);
    assert_eq!(rows.server("a").unwrap().standing, Standing::Draining);
}

#[test]
fn given_a_server_that_left_before_it_was_known_when_its_heartbeat_comes_then_it_stays_gone() {
    let mut rows = rows(1);
    rows.leave("a", 0);
    rows.merge_server(server("a", 9, Standing::Ready), 1);
    assert_eq!(rows.server("a").unwrap().standing, Standing::Gone);
    rows.sweep(TOMB * 2);
    assert!(rows.server("a").is_none());
}

#[test]
fn given_an_address_taken_over_when_the_old_server_sends_a_heartbeat_then_each_is_live_in_turn() {
    let mut rows = rows(1);
    rows.merge_server(server("a", 1, Standing::Ready), 0);
    rows.merge_server(server("b", 1, Standing::Ready), 1);
    assert!(rows.server("a").unwrap().silent && !rows.server("b").unwrap().silent);
    rows.merge_server(server("a", 2, Standing::Ready), 2);
    assert!(!rows.server("a").unwrap().silent);
}

#[test]
fn given_the_same_rows_in_any_order_then_all_nodes_converge() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..300 {
        let mut words: Vec<ServerRow> = (0..12)
            .map(|_| {
                let standing =
                    [Standing::Ready, Standing::Draining, Standing::Gone][rng.usize(..3)];
                ServerRow {
                    silent: rng.bool(),
                    ..server(["a", "bb"][rng.usize(..2)], rng.u64(..4), standing)
                }
            })
            .collect();
        let summary = |words: &[ServerRow]| {
            let mut rows = rows(1);
            words.iter().for_each(|w| {
                rows.merge_server(w.clone(), 0);
            });
            rows.servers()
                .map(|r| (r.id.clone(), r.call_sequence, r.silent, r.standing))
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
    source.merge_server(server("a", 1, Standing::Ready), 0);
    let first = source.since(0, 0, usize::MAX);
    asker.merge(first.clone(), 0);
    source.merge_server(server("bb", 1, Standing::Ready), 0);
    let second = source.since(first.epoch, first.revision, usize::MAX);
    assert_eq!(second.servers.len(), 1);
    assert!(
        source
            .since(second.epoch, second.revision, usize::MAX)
            .is_empty()
    );
    // A restarted source counts from 0 again: the poller's revision has no meaning there.
    let again = rows(3).since(second.epoch, second.revision, usize::MAX);
    assert_eq!((again.epoch, again.revision), (3, 0));
}

#[test]
fn given_a_node_marked_silent_when_it_learns_so_then_it_refutes_with_a_higher_incarnation() {
    let mut rows = rows(1);
    let mut own = NodeRow {
        name: "n".into(),
        life: 1,
        nonce: 9,
        ..NodeRow::default()
    };
    rows.merge_node(own.clone(), 0);
    rows.node_silent("n", 1);
    own.life = rows.life_for(&own);
    assert_eq!(own.life, 2);
    assert!(rows.merge_node(own.clone(), 2));
    assert!(!rows.node("n").unwrap().silent);
    // A successor under the same name takes a higher incarnation.
    let next = NodeRow {
        nonce: 3,
        life: 1,
        ..own
    };
    assert_eq!(rows.life_for(&next), 3);
}

#[test]
fn given_a_replaced_lease_holder_when_it_still_writes_then_its_directives_are_ignored() {
    let mut rows = rows(1);
    let note = |fence, number, value| Note {
        key: "load/a".into(),
        fence,
        number,
        value,
        over: false,
    };
    rows.merge_note(note(4, 1, 10), 0);
    assert!(!rows.merge_note(note(3, 99, 20), 1));
    assert!(rows.merge_note(note(4, 2, 30), 1));
    assert_eq!(rows.note("load/a").unwrap().value, 30);
}

#[test]
fn given_more_rows_than_fit_when_they_come_then_no_more_are_held() {
    let mut rows = Rows::new(1, TOMB, 3);
    for i in 0..10 {
        let row = ServerRow {
            id: format!("i{i}"),
            address: format!("a{i}"),
            ..ServerRow::default()
        };
        rows.merge(
            Delta {
                servers: vec![row].into(),
                ..Delta::default()
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
                    source.leave(["a", "bb", "ccc"][rng.usize(..3)], step);
                }
                1 => {
                    let node = NodeRow {
                        name: format!("n{}", rng.u8(..3)),
                        life: step,
                        nonce: 1,
                        ..NodeRow::default()
                    };
                    source.merge_node(node, step);
                }
                2 => {
                    let key = format!("load/{}", rng.u8(..3));
                    source.merge_note(
                        Note {
                            key,
                            fence: 1,
                            number: step,
                            value: step,
                            over: rng.bool(),
                        },
                        step,
                    );
                }
                _ => {
                    source.merge_server(
                        server(["a", "bb", "ccc"][rng.usize(..3)], step, Standing::Ready),
                        step,
                    );
                }
            }
            if rng.u8(..5) == 0 {
                let delta = source.since(known.0, known.1, usize::MAX);
                known = (delta.epoch, delta.revision);
                asker.merge(delta, step);
            }
        }
        asker.merge(source.since(known.0, known.1, usize::MAX), 60);
        let of = |r: &Rows| {
            let servers: Vec<_> = r.servers().cloned().collect();
            (
                servers,
                r.nodes().cloned().collect::<Vec<_>>(),
                r.notes().cloned().collect::<Vec<_>>(),
            )
        };
        assert_eq!(of(&source), of(&asker));
    }
}

#[test]
fn given_a_draining_server_and_new_servers_then_only_the_draining_is_urgent() {
    let mut rows = rows(1);
    rows.merge_server(server("a", 1, Standing::Ready), 0);
    rows.merge_server(server("bb", 1, Standing::Ready), 0);
    assert_eq!(rows.urgent(), 0);
    rows.merge_server(server("a", 2, Standing::Draining), 0);
    assert_eq!(rows.urgent(), rows.revision());
}

#[test]
fn given_more_rows_than_fit_in_one_answer_when_a_poller_continues_then_it_gets_all_of_them() {
    let (mut source, mut asker) = (rows(1), rows(2));
    for i in 0..25 {
        let row = ServerRow {
            id: format!("i{i}"),
            address: format!("a{i}"),
            call_sequence: 1,
            ..ServerRow::default()
        };
        source.merge_server(row, 0);
    }
    let (mut known, mut answers) = ((0, 0), 0);
    while known.1 < source.revision() {
        let delta = source.since(known.0, known.1, 10);
        assert!(delta.servers.len() <= 10 && delta.revision > known.1);
        known = (delta.epoch, delta.revision);
        asker.merge(delta, 0);
        answers += 1;
    }
    assert_eq!((asker.servers().count(), answers), (25, 3));
}

fn directive(key: &str) -> Note {
    Note {
        key: key.into(),
        fence: 1,
        number: 1,
        value: 2,
        over: false,
    }
}

#[test]
fn given_many_rows_when_one_changes_then_only_it_is_walked() {
    let mut rows = rows(1);
    for i in 0..500 {
        rows.merge_server(server(&format!("server-{i:03}"), 1, Standing::Ready), 0);
        rows.merge_note(directive(&format!("load/server-{i:03}/m")), 0);
    }
    let known = rows.revision();
    rows.merge_server(server("server-007", 2, Standing::Draining), 1);
    let before = rows.walked();
    let changed: Vec<ChangedRow> = rows.changed_since(known).collect();
    assert_eq!(changed, [ChangedRow::Server("server-007")]);
    let notes: Vec<&str> = rows
        .notes_under("load/server-007/")
        .map(|(note, _)| note.key.as_str())
        .collect();
    assert_eq!(notes, ["load/server-007/m"]);
    assert_eq!(rows.walked() - before, 2);
}

#[test]
fn given_nodes_when_one_changes_or_is_dropped_then_the_count_of_node_changes_rises_and_else_not() {
    let mut rows = rows(1);
    let node = NodeRow {
        name: "n".into(),
        life: 1,
        ..NodeRow::default()
    };
    rows.merge_node(node.clone(), 0);
    let known = rows.node_changes();
    assert!(!rows.merge_node(node, 1));
    rows.merge_server(server("a", 1, Standing::Ready), 1);
    rows.sweep(2);
    assert_eq!(rows.node_changes(), known);
    rows.node_silent("n", 3);
    let silent = rows.node_changes();
    assert!(silent > known);
    rows.sweep(TOMB * 5);
    assert!(rows.node("n").is_none() && rows.node_changes() > silent);
}

#[test]
fn given_a_server_that_is_dropped_when_nothing_else_changes_then_the_count_of_dropped_ones_rises() {
    let mut rows = rows(1);
    rows.merge_server(server("a", 1, Standing::Ready), 0);
    rows.leave("a", 0);
    rows.sweep(TOMB / 2);
    assert_eq!(rows.servers_dropped(), 0);
    rows.sweep(TOMB * 2);
    assert_eq!(rows.servers_dropped(), 1);
}
