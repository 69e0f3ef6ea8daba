//! Protection of the origin: fetches after misses, writes, the queue and the adaptive limit.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

#[test]
fn a_miss_is_fetched_from_the_origin_once_for_all_waiting_reads() {
    let mut node = Harness::new(setup(), servers(4));
    let leader = node.read(1);
    let winner = node.targets(leader)[0];
    node.end(leader, 0, Outcome::Miss);
    let follower = node.read(1);
    let targets = (node.targets(leader), node.targets(follower));
    assert_eq!(targets, (vec![winner, 4], vec![]));
    node.end(leader, 1, Outcome::Succeeded);
    assert_eq!(node.targets(follower), vec![winner]);
}

#[test]
fn writes_are_sent_to_the_origin_and_fail_if_they_may_have_run() {
    let mut node = Harness::new(setup(), servers(4));
    let index = node.write(1);
    assert_eq!(node.targets(index), vec![4]);
    node.end(index, 0, Outcome::Reset);
    assert!(matches!(node.log.last(), Some(Action::Error { .. })));
}

/// A single broken connection doesn't fail the client's read.
#[test]
fn a_fetch_whose_connection_broke_is_retried_once() {
    let mut node = Harness::new(setup(), servers(4));
    let index = node.read(1);
    node.end(index, 0, Outcome::Miss);
    node.end(index, 1, Outcome::Reset);
    assert_eq!(node.targets(index)[1..], [4, 4]);
    node.end(index, 2, Outcome::Reset);
    assert!(matches!(node.log.last(), Some(Action::Throttle { .. })));
}

/// An immediate retry after a rejection would only lengthen the origin's queue.
#[test]
fn fetches_are_paused_after_the_origin_rejected_one() {
    let mut node = Harness::new(setup(), servers(4));
    let index = node.read(1);
    node.end(index, 0, Outcome::Miss);
    node.end(index, 1, Outcome::Full);
    assert_eq!(node.targets(index).len(), 2);
    node.advance(50 * MS);
    assert_eq!(node.targets(index).len(), 3);
}

/// Guards against a priority inversion: misses above a tenant's quota must not reach the origin before misses within
/// quota.
#[test]
fn misses_within_quota_are_fetched_before_misses_above_quota() {
    let mut node = Harness::new(setup().quotas(&[1000.0, 0.001]), servers(3));
    let fetching = node.saturate_origin(3);
    let first = node.read(1);
    let second = node.read(2);
    for index in [first, second] {
        node.end(index, 0, Outcome::Miss);
    }
    let (within, beyond) = if first.is_multiple_of(2) {
        (first, second)
    } else {
        (second, first)
    };
    node.end(fetching[0], 1, Outcome::Succeeded);
    let last_target_within = node.targets(within).last().copied();
    let has_fetched_beyond = node.targets(beyond).contains(&3);
    assert_eq!((last_target_within, has_fetched_beyond), (Some(3), false));
}

/// Guards against a queue entry that is lost while no origin is listed, so that its client times out.
#[test]
fn queued_fetches_are_sent_once_the_origin_is_listed_as_ready_again() {
    let mut node = Harness::new(setup(), servers(3));
    let fetching = node.saturate_origin(3);
    let waiting = node.read(1);
    node.end(waiting, 0, Outcome::Miss);
    assert!(!node.targets(waiting).contains(&3));
    let origin = |state| CacheRecord {
        state,
        ..record(3, ORIGIN_KIND)
    };
    node.list(ListKind::Changes, vec![origin(LifecycleState::Draining)]);
    for index in fetching {
        node.end(index, 1, Outcome::Succeeded);
    }
    assert!(!node.targets(waiting).contains(&3));
    node.list(ListKind::Changes, vec![origin(LifecycleState::Ready)]);
    assert_eq!(node.targets(waiting).last(), Some(&3));
}

/// Writes that fail at the origin, always with the same keys, are no sign of congestion.
#[test]
fn failing_writes_do_not_reduce_the_limit_of_the_origin() {
    let mut node = Harness::new(setup(), servers(4));
    for n in 0..200u64 {
        let failing = node.write(n % 3);
        node.advance(5 * MS);
        node.end(failing, 0, Outcome::Error);
        assert!(node.is_answered(failing));
        let succeeding = node.write(50 + n);
        assert_eq!(node.targets(succeeding), vec![4]);
        node.advance(5 * MS);
        node.end(succeeding, 0, Outcome::Succeeded);
    }
}

/// A fetch at the simulated origin of [`origin_under`].
struct Fetch {
    index: InvocationIndex,
    sent_at: Nanos,
    ends_at: Nanos,
}

/// Results of the last third of the fetches of [`origin_under`].
struct OriginRun {
    mean_latency: Nanos,
    fetches: usize,
}

/// Plays misses at a constant interval against an origin that processes fetches one after another, `service_time`
/// each, and sends each answer `extra_latency` later.
fn origin_under(interval: Nanos, service_time: Nanos, extra_latency: Nanos) -> OriginRun {
    let mut node = Harness::new(setup().max_forwards(2), servers(6));
    let mut in_flight: Vec<Fetch> = vec![];
    let mut idle_at = node.now;
    let mut last_latencies: Vec<Nanos> = vec![];
    for n in 0..2400u64 {
        let index = node.arrive(Request::read(n).timeout(1200 * MS));
        if node.targets(index).len() == 1 {
            node.end(index, 0, Outcome::Miss);
        }
        node.advance(interval);
        let now = node.now;
        let positions = (0..in_flight.len()).rev();
        let ended: Vec<usize> = positions.filter(|&i| in_flight[i].ends_at <= now).collect();
        for position in ended {
            let fetch = in_flight.remove(position);
            if n > 1600 {
                last_latencies.push(now - fetch.sent_at);
            }
            node.end(fetch.index, 1, Outcome::Succeeded);
        }
        for (index, forward_index) in node
            .in_flight()
            .into_iter()
            .filter(|&(_, forward_index)| forward_index == 1)
        {
            if in_flight.iter().all(|fetch| fetch.index != index) {
                idle_at = idle_at.max(now) + service_time;
                in_flight.push(Fetch {
                    index,
                    sent_at: now,
                    ends_at: idle_at + extra_latency,
                });
            }
            assert_eq!(forward_index, 1);
        }
    }
    let fetches = last_latencies.len();
    OriginRun {
        mean_latency: last_latencies.iter().sum::<Nanos>() / fetches.max(1) as Nanos,
        fetches,
    }
}

/// If an origin is congested from the first second on, its latency must not be taken for its latency without
/// congestion.
#[test]
fn an_origin_congested_from_the_start_is_distinguished_from_a_slow_one() {
    let congested = origin_under(20 * MS, 30 * MS, 0);
    assert!(
        congested.mean_latency < 200 * MS && congested.fetches > 400,
        "congested: mean latency {} ms, {} fetches",
        congested.mean_latency / MS,
        congested.fetches
    );
    // An origin whose latency exceeds the tolerated one even without congestion is still used.
    let slow = origin_under(20 * MS, MS, 180 * MS);
    assert!(
        slow.mean_latency < 250 * MS && slow.fetches > 400,
        "slow without congestion: mean latency {} ms, {} fetches",
        slow.mean_latency / MS,
        slow.fetches
    );
}
