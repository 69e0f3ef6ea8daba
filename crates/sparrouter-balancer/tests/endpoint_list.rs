//! The list of cache servers: wrong lists with advisory removal, and lists that can't be retrieved.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

fn advisory_setup() -> Setup {
    setup().advisory_removal(true)
}

/// Reads these keys and returns how many reads were forwarded. Forwarded reads succeed.
fn count_served(node: &mut Harness, keys: std::ops::Range<u64>) -> usize {
    let mut is_served = |&key: &u64| {
        let index = node.read(key);
        let is_forwarded = !node.targets(index).is_empty();
        node.advance(10 * MS);
        if is_forwarded {
            node.end(index, 0, Outcome::Succeeded);
        }
        is_forwarded
    };
    keys.filter(&mut is_served).count()
}

/// Guards against a list that shows all running cache servers as removed and would leave none to forward to.
#[test]
fn cache_servers_removed_from_an_advisory_list_keep_their_keys_while_they_answer() {
    let mut all_removed = servers(6);
    for record in &mut all_removed {
        record.state = LifecycleState::Left;
    }
    for (kind, records) in [(ListKind::Full, vec![]), (ListKind::Changes, all_removed)] {
        let mut node = Harness::new(advisory_setup(), servers(6));
        let before = node.winners(0..50);
        node.list(kind, records.clone());
        assert_eq!(before, node.winners(0..50));
        // Reads that miss are still fetched from the origin.
        let index = node.read(900);
        node.end(index, 0, Outcome::Miss);
        assert_eq!(node.targets(index)[1], 6);
        // If removal is binding, nothing is sent.
        let mut node = Harness::new(setup(), servers(6));
        node.list(kind, records);
        assert_eq!(count_served(&mut node, 0..50), 0);
    }
}

#[test]
fn a_drained_cache_server_gets_no_forwards_until_it_is_listed_as_ready_again() {
    let mut node = Harness::new(advisory_setup(), servers(3));
    let winner = node.winner(1);
    let changed = |state| vec![record_in(state, winner)];
    node.list(ListKind::Changes, changed(LifecycleState::Draining));
    assert_ne!(node.winner(1), winner);
    node.list(ListKind::Changes, changed(LifecycleState::Left));
    assert_ne!(node.winner(1), winner);
    // A full list without the cache server changes nothing.
    let others = servers(3).into_iter().filter(|r| r.cache != winner);
    node.list(ListKind::Full, others.collect());
    assert_ne!(node.winner(1), winner);
    node.list(ListKind::Changes, changed(LifecycleState::Ready));
    assert_eq!(node.winner(1), winner);
}

/// A cache server that is down is listed as removed without having drained: this node's own forwards detect the
/// failure, and few of them are lost.
#[test]
fn an_unreachable_cache_server_listed_as_removed_gets_few_forwards() {
    let mut node = Harness::new(advisory_setup(), servers(4));
    let removed = node.winner(1);
    let record = record_in(LifecycleState::Left, removed);
    node.list(ListKind::Changes, vec![record]);
    let mut forwards = 0;
    for n in 0..1200 {
        let index = node.read(n % 40);
        for forward_index in 0..3 {
            let Some(&target) = node.targets(index).get(forward_index) else {
                break;
            };
            forwards += usize::from(target == removed);
            let outcome = if target == removed {
                Outcome::Unavailable
            } else {
                Outcome::Succeeded
            };
            node.end(index, forward_index, outcome);
        }
        assert!(node.is_answered(index));
        node.advance(50 * MS);
    }
    // During one minute the cache server is checked at increasing intervals.
    assert!((1..=10).contains(&forwards), "{forwards}");
}

/// Half of the cache servers are listed as removed although they run, half as ready: both keep their keys.
#[test]
fn a_list_without_half_of_the_cache_servers_moves_no_keys_if_removal_is_advisory() {
    let mut node = Harness::new(advisory_setup(), servers(8));
    let before = node.winners(0..80);
    let half = servers(8).into_iter().filter(|r| r.cache % 2 == 0);
    node.list(ListKind::Full, half.collect());
    assert_eq!(before, node.winners(0..80));
    node.list(ListKind::Full, servers(8));
    assert_eq!(before, node.winners(0..80));
}

/// An outdated list contains cache servers that were replaced long ago, and not their replacements.
#[test]
fn with_an_outdated_list_reads_are_answered_by_running_cache_servers() {
    let mut node = Harness::new(advisory_setup(), servers(8));
    let drained = (0..4).map(|cache| record_in(LifecycleState::Draining, cache));
    node.list(ListKind::Changes, drained.collect());
    // The replaced cache servers are listed as ready, the others are missing.
    let old = (0..4).map(|cache| record(cache, 0));
    let origin = record(8, ORIGIN_KIND);
    node.list(ListKind::Full, old.chain([origin]).collect());
    let mut answered = 0;
    for key in 0..600 {
        let index = node.read(key);
        for forward_index in 0..3 {
            let Some(&target) = node.targets(index).get(forward_index) else {
                break;
            };
            node.advance(5 * MS);
            let is_replaced = target < 4;
            let outcome = if is_replaced {
                Outcome::Unavailable
            } else {
                Outcome::Succeeded
            };
            node.end(index, forward_index, outcome);
        }
        let is_forwarded = !node.targets(index).is_empty();
        answered += usize::from(node.is_answered(index) && is_forwarded);
        node.advance(20 * MS);
    }
    assert!(answered > 590, "{answered}");
}

fn count_list_requests(node: &Harness) -> usize {
    node.count_actions(|action| *action == Action::FollowList)
}

/// With a poll interval of zero, requests neither stop nor flood the discovery service.
#[test]
fn a_list_that_is_never_received_is_requested_at_a_limited_rate() {
    let setup = setup().polled_list().poll_interval(0);
    let mut node = Harness::new(setup, servers(3));
    for _ in 0..20 {
        node.list(ListKind::Lost, vec![]);
        node.advance(500 * MS);
    }
    let requests = count_list_requests(&node);
    assert!((10..=40).contains(&requests), "{requests}");
}

/// Requests for the list fail immediately, or are never answered: the next one is made within the poll interval.
#[test]
fn failed_or_unanswered_list_requests_are_repeated_within_the_poll_interval() {
    for times_out in [false, true] {
        let setup = setup().polled_list();
        let step = 50 * MS;
        let poll_interval = setup.rules.poll_interval;
        let mut node = Harness::new(setup, servers(3));
        let mut requests = count_list_requests(&node);
        let mut since_request = 0;
        for _ in 0..6 * poll_interval / step {
            node.advance(step);
            since_request += step;
            if count_list_requests(&node) > requests {
                requests = count_list_requests(&node);
                since_request = 0;
                if !times_out {
                    node.list(ListKind::Lost, Vec::new());
                }
            }
            assert!(
                since_request < poll_interval,
                "no request within the poll interval after {requests} requests; requests time out: {times_out}"
            );
        }
        assert!(requests > 6, "{requests}");
    }
}
