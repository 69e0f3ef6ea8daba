//! Ranking of cache servers: which one a key belongs to, and when the next in order is used.
mod harness;
use harness::*;
use sparrouter_balancer::types::*;

#[test]
fn nodes_rank_identically_and_a_removed_cache_server_moves_only_its_own_keys() {
    let mut first = Harness::new(setup(), servers(10));
    let mut second = Harness::new(setup().seed(99), servers(10));
    let before = first.winners(0..500);
    assert_eq!(before, second.winners(0..500));
    let lost = record_in(LifecycleState::Left, 3);
    first.list(ListKind::Changes, vec![lost]);
    for (key, old_winner) in before.into_iter().enumerate() {
        let winner = first.winner(key as u64);
        assert!(
            winner == old_winner || old_winner == 3,
            "key {key} moved from {old_winner} to {winner}"
        );
    }
}

#[test]
fn a_loaded_cache_server_is_skipped_and_a_rejected_read_is_retried_at_the_next_in_order() {
    let mut node = Harness::new(setup(), servers(4));
    let first = node.winner(5);
    // Reads of other keys with the same winner put it above the load bound.
    let others = (6..400).filter(|&key| node.winner(key) == first);
    let keys: Vec<u64> = others.take(3).collect();
    for key in keys {
        node.read(key);
    }
    let index = node.read(5);
    let second = node.targets(index)[0];
    assert_ne!(second, first);
    node.end(index, 0, Outcome::Full);
    assert!(![first, second].contains(&node.targets(index)[1]));
}

/// The index of a removed cache server is reused: the new server is ranked by its own id.
#[test]
fn a_new_cache_server_at_a_reused_index_is_ranked_by_its_own_id() {
    let new = CacheRecord {
        id_hash: 77,
        ..record(0, 0)
    };
    let mut records = servers(6);
    records[0] = new.clone();
    let mut replaced = Harness::new(setup(), servers(6));
    let mut fresh = Harness::new(setup(), records);
    let removed = record_in(LifecycleState::Left, 0);
    replaced.list(ListKind::Changes, vec![removed]);
    replaced.advance(10 * SECOND);
    replaced.list(ListKind::Changes, vec![new]);
    assert_eq!(replaced.winners(0..100), fresh.winners(0..100));
}

/// A key with more than one cache server's share of all arrivals is spread over the first few servers of its order.
#[test]
fn a_hot_key_is_spread_over_few_cache_servers() {
    let mut node = Harness::new(setup(), servers(8));
    let mut used = std::collections::BTreeSet::new();
    for n in 0..200 {
        let is_hot = n % 2 == 0;
        let index = node.read(if is_hot { 1 } else { 50 + n });
        if is_hot && n > 40 {
            used.extend(node.targets(index));
        }
        if n % 6 == 5 {
            node.end_all();
        }
    }
    assert!(used.len() > 1 && used.len() <= 8, "{used:?}");
}

/// If each of hundreds of nodes sent one forward to a hot key's first cache server, they would overload it.
#[test]
fn nodes_send_a_hot_key_to_different_cache_servers_first() {
    let first_target = |own_index| {
        let setup = gossiping_setup(100, own_index).without_gossip();
        let mut node = Harness::new(setup, servers(8));
        for n in 0..60 {
            node.read(if n % 2 == 0 { 7 } else { 100 + n });
            node.advance(100 * MS);
            node.end_all();
        }
        let index = node.read(7);
        node.targets(index)[0]
    };
    let targets = [0, 30, 60, 90].map(first_target);
    let used: std::collections::BTreeSet<_> = targets.into_iter().collect();
    assert!(used.len() > 1, "{used:?}");
}
