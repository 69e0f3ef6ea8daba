//! Slow start: rule 4, no cache server that is warming up is sent more than a multiple of its capacity.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

/// If new cache servers got no traffic while the origin is busy, they would keep it busy: the warm ones overflow and
/// miss.
#[test]
fn a_cache_server_that_is_warming_up_is_used_while_the_origin_has_no_capacity() {
    let mut node = Harness::new(setup(), servers(3));
    node.advance(SECOND);
    let mut records = servers(3);
    records[0].ready_at = node.now;
    node.list(ListKind::Full, records);
    node.advance(10 * SECOND);
    let mut is_won_by_new = |&key: &u64| {
        node.advance(20 * MS);
        node.winner(key) == 0
    };
    let mut keys = 0..400;
    let key = keys.find(&mut is_won_by_new);
    let key = key.expect("a key of the new cache server");
    node.advance(2 * SECOND);
    node.saturate_origin(3);
    assert_eq!(node.winner(key), 0);
}

/// If each of hundreds of nodes sent one forward because that is within its budget, together they would exceed the
/// server's capacity.
#[test]
fn many_nodes_together_stay_within_the_warm_up_budget() {
    let forwards_to_new = |seed| {
        let mut node = Harness::new(setup().seed(seed).nodes(400), servers(3));
        for key in 0..40 {
            node.advance(500 * MS);
            node.winner(key);
        }
        let mut records = servers(3);
        records[0].ready_at = node.now;
        node.list(ListKind::Full, records);
        (0..10).filter(|&key| node.winner(100 + key) == 0).count()
    };
    // After one window, all nodes together may have sent the configured multiple of a third of 2 reads per second.
    assert!((0..60).map(forwards_to_new).sum::<usize>() <= 60 / 4);
}

/// The deployment grows: the rate of answers that one of three nodes measured must not be the budget of each of
/// forty.
#[test]
fn a_growing_deployment_does_not_overload_a_cache_server_that_is_warming_up() {
    let forwards_to_new = |nodes: usize| {
        let mut node = Harness::new(setup().nodes(3), servers(6));
        let mut forwards = 0;
        for n in 0..2000 {
            let has_changed = n >= 1500;
            if n == 1500 {
                let started = started_record(2, node.now);
                node.list(ListKind::Changes, vec![started]);
                node.apply_settings(setup().operations, setup().limits, nodes);
            }
            let operation = if has_changed { 2 } else { 0 };
            let index = node.arrive(Request::read(n).operation(operation));
            for forward_index in 0..node.targets(index).len() {
                let is_to_new = node.targets(index)[forward_index] == 2;
                forwards += usize::from(has_changed && is_to_new);
                node.end(index, forward_index, Outcome::Succeeded);
            }
            node.advance(2 * MS);
        }
        forwards
    };
    let (few, many) = (forwards_to_new(3), forwards_to_new(40));
    assert!(few > 4 && many * 4 <= few, "{few}, {many}");
}

/// Plays half a second of reads and returns how many had a forward to cache server 2. Once the list has shrunk,
/// server 2 answers nothing, and the others can't serve more than before.
fn play_half_a_second(node: &mut Harness, next_key: &mut u64, has_shrunk: bool) -> usize {
    let mut with_new = 0;
    for _ in 0..100 {
        *next_key += 1;
        let index = node.read(*next_key);
        node.advance(5 * MS);
        let outcome = if !has_shrunk || next_key.is_multiple_of(20) {
            Outcome::Succeeded
        } else {
            Outcome::Full
        };
        for forward_index in 0..3 {
            let target = node.targets(index).get(forward_index).copied();
            if target.is_some_and(|target| target != 2 || !has_shrunk) {
                node.end(index, forward_index, outcome);
            }
        }
        with_new += usize::from(node.targets(index).contains(&2));
    }
    with_new
}

/// Most cache servers disappear from the list while one of the remaining is warming up: the rate of all answers,
/// divided among the few, must not be taken for the capacity of one.
#[test]
fn a_shrinking_list_does_not_raise_the_warm_up_budget() {
    for is_advisory in [false, true] {
        let setup = setup().advisory_removal(is_advisory);
        let mut node = Harness::new(setup, servers(40));
        let mut next_key = 0;
        for _ in 0..21 {
            play_half_a_second(&mut node, &mut next_key, false);
        }
        let started = started_record(2, node.now);
        let origin = record(40, ORIGIN_KIND);
        let remaining = vec![record(0, 0), record(1, 0), started, origin];
        node.list(ListKind::Full, remaining);
        let runs = (0..4).map(|_| play_half_a_second(&mut node, &mut next_key, true));
        let forwards: usize = runs.sum();
        // A unit of warm weight has answered 200 / 60 reads per second; the budget is at most 0.15 x 3 x one half of
        // that.
        assert!(
            forwards <= 3,
            "advisory removal {is_advisory}: {forwards} forwards"
        );
    }
}

/// A node has just started, a handful of answers arrive within milliseconds, and the list changes: these answers must
/// not be taken for a rate.
#[test]
fn a_few_answers_within_milliseconds_do_not_raise_the_warm_up_budget() {
    let mut node = Harness::new(setup(), servers(8));
    let play = |node: &mut Harness, key: u64, latency: Nanos| {
        let index = node.read(key);
        node.advance(latency);
        for forward_index in 0..3 {
            if node.targets(index).len() > forward_index {
                node.end(index, forward_index, Outcome::Succeeded);
            }
        }
        usize::from(node.targets(index).contains(&2))
    };
    for key in 0..40 {
        play(&mut node, key, MS / 2);
    }
    let remaining = vec![
        record(1, 0),
        started_record(2, node.now),
        record(3, 0),
        record(40, ORIGIN_KIND),
    ];
    node.list(ListKind::Full, remaining);
    let forwards: usize = (100..260).map(|key| play(&mut node, key, 3 * MS)).sum();
    // In half a second: 40 answers from 8 servers are 5 per unit of weight, so the budget is 0.15 x 3 x one half of
    // that per second.
    assert!(forwards <= 2, "{forwards}");
}

/// The list doesn't show the restart of the process, so the harness can't check rule 4 here; the node has to detect
/// the restart from its own forwards.
#[test]
fn a_cache_server_that_was_unreachable_restarts_its_warm_up() {
    let mut node = Harness::new(setup(), servers(4));
    let warm = node.play_good_reads(5 * SECOND);
    node.play_reads(3 * SECOND, &|cache| {
        Some(if cache == 0 {
            Outcome::Unavailable
        } else {
            Outcome::Succeeded
        })
    });
    let run = node.play_good_reads(5 * SECOND);
    assert!(run.first_success.is_some());
    let warming_up = node.play_good_reads(SECOND);
    assert!(
        warming_up.forwards * 5 < warm.forwards,
        "{} forwards in one second while warming up, {} in five seconds while warm",
        warming_up.forwards,
        warm.forwards
    );
}
