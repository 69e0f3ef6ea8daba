//! The list of cache servers: lists that are wrong where removal is advisory, and lists that do not come.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

fn advisory_setup() -> Setup {
    setup().advisory_removal(true)
}

/// Reads of these keys; how many of them were forwarded. Those succeed.
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

/// Guards against a list that has all running cache servers as removed and would empty the election.
#[test]
fn caches_listed_as_removed_or_left_out_stay_in_the_election_while_they_answer() {
    let mut all_removed = servers(6);
    for record in &mut all_removed {
        record.state = LifecycleState::Left;
    }
    for (kind, records) in [(ListKind::Full, vec![]), (ListKind::Changes, all_removed)] {
        let mut node = Harness::new(advisory_setup(), servers(6));
        let before = node.winners(0..50);
        node.list(kind, records.clone());
        assert_eq!(before, node.winners(0..50));
        // Reads that miss still find the origin.
        let index = node.read(900);
        node.end(index, 0, Outcome::Miss);
        assert_eq!(node.targets(index)[1], 6);
        // Where removal binds, nothing is sent.
        let mut node = Harness::new(setup(), servers(6));
        node.list(kind, records);
        assert_eq!(count_served(&mut node, 0..50), 0);
    }
}

#[test]
fn a_cache_that_drained_before_its_removal_gets_nothing_until_it_is_listed_again() {
    let mut node = Harness::new(advisory_setup(), servers(3));
    let winner = node.winner(1);
    let changed = |state| vec![record_in(state, winner)];
    node.list(ListKind::Changes, changed(LifecycleState::Draining));
    assert_ne!(node.winner(1), winner);
    node.list(ListKind::Changes, changed(LifecycleState::Left));
    assert_ne!(node.winner(1), winner);
    // A full list that leaves it out changes nothing.
    let others = servers(3).into_iter().filter(|r| r.cache != winner);
    node.list(ListKind::Full, others.collect());
    assert_ne!(node.winner(1), winner);
    node.list(ListKind::Changes, changed(LifecycleState::Ready));
    assert_eq!(node.winner(1), winner);
}

/// Listed as removed, and down indeed, without having drained: own forwards find it out, and few of them.
#[test]
fn a_removed_cache_that_is_down_costs_few_forwards() {
    let mut node = Harness::new(advisory_setup(), servers(4));
    let removed = node.winner(1);
    let record = record_in(LifecycleState::Left, removed);
    node.list(ListKind::Changes, vec![record]);
    let mut forwards = 0;
    for n in 0..1200 {
        let index = node.read(n % 40);
        for copy in 0..3 {
            let Some(&target) = node.targets(index).get(copy) else {
                break;
            };
            forwards += usize::from(target == removed);
            let outcome = if target == removed {
                Outcome::Unavailable
            } else {
                Outcome::Succeeded
            };
            node.end(index, copy, outcome);
        }
        assert!(node.is_answered(index));
        node.advance(50 * MS);
    }
    // A minute: it is checked ever more seldom.
    assert!((1..=10).contains(&forwards), "{forwards}");
}

/// Half of them listed as removed though they run, half listed as ready: nothing changes for either.
#[test]
fn caches_listed_as_removed_keep_their_keys_beside_those_listed_as_ready() {
    let mut node = Harness::new(advisory_setup(), servers(8));
    let before = node.winners(0..80);
    let half = servers(8).into_iter().filter(|r| r.cache % 2 == 0);
    node.list(ListKind::Full, half.collect());
    assert_eq!(before, node.winners(0..80));
    node.list(ListKind::Full, servers(8));
    assert_eq!(before, node.winners(0..80));
}

/// An old list names cache servers that were replaced long ago, and not those that replace them now.
#[test]
fn an_old_list_moves_keys_only_to_caches_that_answer() {
    let mut node = Harness::new(advisory_setup(), servers(8));
    let drained = (0..4).map(|cache| record_in(LifecycleState::Draining, cache));
    node.list(ListKind::Changes, drained.collect());
    // The replaced are listed as they were, the others are left out.
    let old = (0..4).map(|cache| record(cache, 0));
    let origin = record(8, ORIGIN_KIND);
    node.list(ListKind::Full, old.chain([origin]).collect());
    let mut answered = 0;
    for key in 0..600 {
        let index = node.read(key);
        for copy in 0..3 {
            let Some(&target) = node.targets(index).get(copy) else {
                break;
            };
            node.advance(5 * MS);
            let is_replaced = target < 4;
            let outcome = if is_replaced {
                Outcome::Unavailable
            } else {
                Outcome::Succeeded
            };
            node.end(index, copy, outcome);
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

/// Settings at their edges: without a poll interval requests neither stop nor flood.
#[test]
fn a_list_that_never_comes_is_requested_again_without_a_flood() {
    let setup = setup().polled_list().poll_interval(0);
    let mut node = Harness::new(setup, servers(3));
    for _ in 0..20 {
        node.list(ListKind::Lost, vec![]);
        node.advance(500 * MS);
    }
    let requests = count_list_requests(&node);
    assert!((10..=40).contains(&requests), "{requests}");
}

/// Requests for the list fail at once, or are never answered: the next one is made within the poll interval.
#[test]
fn a_list_whose_requests_fail_or_time_out_is_requested_in_time() {
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
                "after {requests} requests, times out: {times_out}"
            );
        }
        assert!(requests > 6, "{requests}");
    }
}
