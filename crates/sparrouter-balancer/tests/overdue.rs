//! Overdue forwards, and connections that break.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

/// Guards against idle connections that break: if they were taken for crashes, every cache server would start its
/// warm-up again.
#[test]
fn a_cache_server_keeps_its_keys_if_single_connections_break() {
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

/// Plays reads that are answered after 10 ms, every second one with a miss whose fetch takes 20 ms.
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

/// A single connection times out while others are answered: the read is retried elsewhere, and a fetch neither
/// reduces the origin's limit nor delays the invocations that wait for the same key.
#[test]
fn a_far_overdue_forward_is_replaced_although_its_server_answers_others() {
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

/// The next cache server in the order would miss, which costs a fetch from the origin.
#[test]
fn a_read_whose_connection_broke_is_retried_at_the_same_cache_server_once() {
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

/// If answers take a tenth of a millisecond, a pause of the node itself must not make servers look overdue.
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
    // A forward that is far overdue after a tick is still replaced, because others are answered.
    let other = node.read(7);
    node.advance(MS / 10);
    if node.in_flight().iter().any(|forward| forward.0 == other) {
        node.end(other, 0, Outcome::Succeeded);
    }
    node.advance(20 * MS);
    assert!(is_withdrawn(&node));
}
