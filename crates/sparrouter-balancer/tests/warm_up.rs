//! Slow start: rule 4, no cache server that warms up gets more than a multiple of its capacity.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

/// Left without traffic while the origin is busy, new cache servers would keep it busy: the warm ones overflow and miss.
#[test]
fn a_cache_that_warms_up_is_used_though_the_origin_has_no_capacity() {
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

/// If each of hundreds of nodes took one forward to be within its part of a budget, together they would exceed it.
#[test]
fn many_nodes_that_start_at_once_spend_their_part_of_a_budget_only() {
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
    // A window later all may have had what the stated multiple allows of 2/s among three.
    assert!((0..60).map(forwards_to_new).sum::<usize>() <= 60 / 4);
}

/// The deployment grows: what one of three nodes answered is not the budget of each of forty.
#[test]
fn a_growing_deployment_does_not_overload_a_cache_that_warms_up() {
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
            for copy in 0..node.targets(index).len() {
                let is_to_new = node.targets(index)[copy] == 2;
                forwards += usize::from(has_changed && is_to_new);
                node.end(index, copy, Outcome::Succeeded);
            }
            node.advance(2 * MS);
        }
        forwards
    };
    let (few, many) = (forwards_to_new(3), forwards_to_new(40));
    assert!(few > 4 && many * 4 <= few, "{few}, {many}");
}

/// Half a second of reads; gives how many had a forward to cache server 2. Once the list has shrunk, 2 answers nothing, and
/// the others can do no more than before.
fn half_a_second(node: &mut Harness, next_key: &mut u64, has_shrunk: bool) -> usize {
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
        for copy in 0..3 {
            let target = node.targets(index).get(copy).copied();
            if target.is_some_and(|target| target != 2 || !has_shrunk) {
                node.end(index, copy, outcome);
            }
        }
        with_new += usize::from(node.targets(index).contains(&2));
    }
    with_new
}

/// Most drop off the list at once while one of those that remain warms up: the answers of all, divided among the few, do
/// not stand for what one can do.
#[test]
fn a_list_that_shrinks_leaves_a_cache_that_warms_up_its_budget() {
    for is_advisory in [false, true] {
        let setup = setup().advisory_removal(is_advisory);
        let mut node = Harness::new(setup, servers(40));
        let mut next_key = 0;
        for _ in 0..21 {
            half_a_second(&mut node, &mut next_key, false);
        }
        let started = started_record(2, node.now);
        let origin = record(40, ORIGIN_KIND);
        let remaining = vec![record(0, 0), record(1, 0), started, origin];
        node.list(ListKind::Full, remaining);
        let runs = (0..4).map(|_| half_a_second(&mut node, &mut next_key, true));
        let forwards: usize = runs.sum();
        // A warm unit of weight has answered 200 / 60 a second: of that 0.15 x 3 x a half at the most.
        assert!(forwards <= 3, "advisory {is_advisory}: {forwards}");
    }
}

/// A node has just started, a handful of answers came within milliseconds, and the list changes: that is no rate.
#[test]
fn first_answers_in_a_moment_are_no_rate() {
    let mut node = Harness::new(setup(), servers(8));
    let play = |node: &mut Harness, key: u64, latency: Nanos| {
        let index = node.read(key);
        node.advance(latency);
        for copy in 0..3 {
            if node.targets(index).len() > copy {
                node.end(index, copy, Outcome::Succeeded);
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
    // Half a second: 40 answers from 8 are 5 a unit, of that 0.15 x 3 x a half a second.
    assert!(forwards <= 2, "{forwards}");
}

/// The harness checks rule 4 where the list says when a process started; here it does not, and the node has only its own
/// forwards to go by.
#[test]
fn a_cache_that_was_unreachable_comes_back_as_warming_up() {
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
        "{} in a second, {} in five while warm",
        warming_up.forwards,
        warm.forwards
    );
}
