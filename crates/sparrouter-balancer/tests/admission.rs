//! Admission control: when load is shed, how much, and when shedding ends.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;
use std::collections::VecDeque;

/// An unresponsive origin is no reason to shed reads that the cache servers can answer.
#[test]
fn an_unresponsive_origin_does_not_cause_shedding_of_cached_reads() {
    let mut node = Harness::new(setup(), servers(6));
    for n in 0..600 {
        let index = node.read(1000 + n);
        if !node.targets(index).is_empty() {
            let is_miss = n % 3 == 0;
            let outcome = if is_miss {
                Outcome::Miss
            } else {
                Outcome::Succeeded
            };
            node.end(index, 0, outcome);
        }
        node.advance(10 * MS);
    }
    let before = node.log.len();
    node.winner(2);
    let mut actions = node.log[before..].iter();
    let first = actions.find(|a| !matches!(a, Action::SetTimer { .. }));
    assert!(matches!(first, Some(Action::Forward { .. })));
}

/// Guards against old evidence that outweighs newer evidence: the shed fraction falls soon after an overload.
#[test]
fn the_shed_fraction_falls_soon_after_an_overload_ends() {
    let mut node = Harness::new(setup(), servers(200));
    let shed_fraction_after = |node: &mut Harness, reads: u64, outcome: Outcome| {
        for n in 0..reads {
            let index = node.read(n);
            for forward_index in 0..3 {
                node.advance(10 * MS);
                if node.targets(index).len() > forward_index && !node.is_answered(index) {
                    node.end(index, forward_index, outcome);
                }
            }
            node.advance(20 * MS);
        }
        node.policy.counts().shed_fraction
    };
    let highest = shed_fraction_after(&mut node, 60, Outcome::Full);
    assert!(
        highest > 0.3,
        "the overload must be detected: shed fraction {highest}"
    );
    let remaining = shed_fraction_after(&mut node, 60, Outcome::Succeeded);
    assert!(
        remaining < 0.75 * highest,
        "shed fraction {remaining} three seconds after a peak of {highest}"
    );
}

/// If the advised delay exceeds the client's deadline, an answer to the retry has no value.
#[test]
fn a_read_throttled_early_gets_a_retry_after_within_the_latency_target() {
    let mut node = Harness::new(setup(), vec![]);
    node.read(1);
    let Some(Action::Throttle { retry_after, .. }) = node.log.last() else {
        panic!("{:?}", node.log)
    };
    assert!(*retry_after < 300 * MS / 2);
}

/// A node that gets one answer per second, from many cache servers, must not count servers without recent evidence as
/// good.
#[test]
fn a_node_with_few_answers_from_many_cache_servers_detects_an_overload() {
    let throttled = |is_overloaded: bool| {
        let mut node = Harness::new(setup().without_health_checks(), servers(200));
        for key in 0..150 {
            let index = node.arrive(Request::read(key).timeout(2 * SECOND));
            node.advance(if is_overloaded { 400 } else { 50 } * MS);
            if node.in_flight().contains(&(index, 0)) {
                node.end(index, 0, Outcome::Succeeded);
            }
            node.advance(200 * MS);
        }
        let is_throttled = |&index: &InvocationIndex| node.targets(index).is_empty();
        (100..150).filter(is_throttled).count()
    };
    assert_eq!(throttled(false), 0);
    let throttled_in_overload = throttled(true);
    assert!(throttled_in_overload > 5, "{throttled_in_overload}");
}

/// Guards against shedding for as long as evidence of an overload lasts: after four seconds of four times the usual
/// traffic, all of it rejected for lack of capacity, the usual traffic is admitted again soon.
#[test]
fn after_an_overload_the_usual_traffic_is_admitted() {
    let mut node = Harness::new(setup().without_health_checks(), servers(8));
    node.play_good_reads(6 * SECOND);
    for _ in 0..800 {
        let key = node.new_key();
        node.read(key);
        node.advance(5 * MS);
        while let Some(&(index, forward_index)) = node.in_flight().first() {
            node.end(index, forward_index, Outcome::Full);
        }
    }
    let throttled = |node: &Harness| node.count_actions(|a| matches!(a, Action::Throttle { .. }));
    assert!(throttled(&node) > 600, "{}", throttled(&node));
    node.play_good_reads(1500 * MS);
    let before = throttled(&node);
    node.play_good_reads(2 * SECOND);
    let after = throttled(&node) - before;
    assert!(after <= 5, "{after} of 100 reads throttled");
}

/// A forward with a scheduled answer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingAnswer {
    at: Nanos,
    index: InvocationIndex,
    forward_index: usize,
}

/// Plays reads at 50 per second: one in ten is answered in time, the others just after the latency target of 300 ms.
/// Returns the cumulative number of reads shed for overload at the beginning of each second.
fn play_late_answers(node: &mut Harness, seconds: u64) -> Vec<u64> {
    let mut pending: VecDeque<PendingAnswer> = VecDeque::new();
    let mut shed_by_second = Vec::new();
    let start = node.now;
    while node.now < start + seconds * SECOND {
        let key = node.new_key();
        node.read(key);
        node.advance(20 * MS);
        for (index, forward_index) in node.in_flight() {
            let mut known = pending.iter();
            if !known.any(|p| (p.index, p.forward_index) == (index, forward_index)) {
                let is_in_time = node.new_keys.is_multiple_of(10);
                let latency = if is_in_time { 40 } else { 330 };
                let at = node.now + latency * MS;
                pending.push_back(PendingAnswer {
                    at,
                    index,
                    forward_index,
                });
            }
        }
        pending.make_contiguous().sort();
        while pending.front().is_some_and(|p| p.at <= node.now) {
            if let Some(PendingAnswer {
                index,
                forward_index,
                ..
            }) = pending.pop_front()
                && node.in_flight().contains(&(index, forward_index))
            {
                node.end(index, forward_index, Outcome::Succeeded);
            }
        }
        if node.now >= start + shed_by_second.len() as Nanos * SECOND {
            let shed = node.policy.counts().shed;
            shed_by_second.push(shed[ShedReason::Overload as usize]);
        }
    }
    shed_by_second
}

/// After a drop in capacity, the former goodput limits load shedding only briefly.
#[test]
fn former_goodput_does_not_prevent_shedding_while_answers_are_late() {
    let mut node = Harness::new(setup().without_health_checks(), servers(8));
    node.play_good_reads(6 * SECOND);
    let shed_by_second = play_late_answers(&mut node, 12);
    let last = shed_by_second[11] - shed_by_second[8];
    assert!(
        last > 50,
        "{last} of 150 shed in the last three seconds: {shed_by_second:?}"
    );
}
