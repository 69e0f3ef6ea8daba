//! Forwards that are out for longer than usual, and connections that break.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

/// Guards against connections that break between answers: taken for crashes, they would have every cache server warm up
/// again.
#[test]
fn a_cache_keeps_its_keys_if_single_connections_break() {
    for outcome in [Outcome::Reset, Outcome::Broken] {
        let mut node = Harness::new(setup(), servers(4));
        let winner = node.winner(1);
        let mut at_winner = 0;
        for n in 0..40 {
            node.advance(50 * MS);
            let first = node.read(1);
            let second = node.read(1);
            at_winner += usize::from(node.targets(first)[0] == winner);
            node.advance(10 * MS);
            node.end(first, 0, Outcome::Succeeded);
            let breaks = n % 3 == 0;
            node.end(second, 0, if breaks { outcome } else { Outcome::Succeeded });
            node.end_all();
        }
        assert!(at_winner > 36, "{outcome:?}: {at_winner}");
    }
}

/// Reads whose answers take 10 ms, and misses whose fetches take 20.
fn play_answered_reads(node: &mut Harness, next_key: &mut u64, reads: usize) {
    for _ in 0..reads {
        *next_key += 1;
        let is_miss = next_key.is_multiple_of(2);
        let index = node.read(*next_key);
        node.advance(10 * MS);
        if is_miss {
            node.end(index, 0, Outcome::Miss);
            node.advance(20 * MS);
            node.end(index, 1, Outcome::Succeeded);
        } else {
            node.end(index, 0, Outcome::Succeeded);
        }
    }
}

/// Single connections time out while others are answered: the read goes on, and at the origin neither its limit nor those
/// who wait for the same key suffer.
#[test]
fn a_far_overdue_forward_is_replaced_though_its_server_answers_others() {
    let mut node = Harness::new(setup(), servers(4));
    let mut next_key = 100;
    play_answered_reads(&mut node, &mut next_key, 60);
    let unanswered = node.read(1);
    play_answered_reads(&mut node, &mut next_key, 8);
    assert!(node.targets(unanswered).len() > 1);
    let fetch = node.read(2);
    node.end(fetch, 0, Outcome::Miss);
    let follower = node.read(2);
    play_answered_reads(&mut node, &mut next_key, 6);
    assert_eq!(node.targets(fetch)[1..], [4, 4]);
    node.end(fetch, 2, Outcome::Succeeded);
    assert_eq!(node.targets(follower).len(), 1);
}

/// The next in order would miss, and the origin would pay for it.
#[test]
fn a_read_whose_connection_broke_is_retried_at_the_same_cache_once() {
    let mut node = Harness::new(setup(), servers(4));
    let broken = node.read(1);
    let answered = node.read(1);
    let winner = node.targets(broken)[0];
    node.advance(10 * MS);
    node.end(answered, 0, Outcome::Succeeded);
    node.end(broken, 0, Outcome::Reset);
    assert_eq!(node.targets(broken), vec![winner, winner]);
    node.end(broken, 1, Outcome::Reset);
    assert_ne!(node.targets(broken)[2], winner);
}

/// Where answers take a tenth of a millisecond, a pause of the node itself must not look like servers that are overdue.
#[test]
fn a_forward_is_not_overdue_before_a_tick_has_passed() {
    let mut node = Harness::new(setup(), servers(3));
    for key in 0..200 {
        let index = node.read(key);
        node.advance(MS / 10);
        node.end(index, 0, Outcome::Succeeded);
    }
    let index = node.read(7);
    node.advance(4 * MS);
    let is_withdrawn = |node: &Harness| {
        let withdrawn = |a: &Action| matches!(a, Action::Withdraw { inv, .. } if *inv == index);
        node.count_actions(withdrawn) > 0
    };
    assert!(!is_withdrawn(&node) && node.targets(index).len() == 1);
    // One that is far overdue by that measure is still replaced, as others are answered.
    let other = node.read(7);
    node.advance(MS / 10);
    if node.in_flight().iter().any(|forward| forward.0 == other) {
        node.end(other, 0, Outcome::Succeeded);
    }
    node.advance(20 * MS);
    assert!(is_withdrawn(&node));
}
