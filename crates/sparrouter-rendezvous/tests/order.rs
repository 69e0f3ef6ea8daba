//! The order of members by score: agreement between nodes, minimal movement of keys, and weights.
use sparrouter_rendezvous::{hash, order, score, unit};

#[test]
fn given_the_same_members_in_any_order_then_the_order_by_score_is_the_same() {
    let ids: Vec<u64> = (0..20).map(|i| hash(format!("i-{i}").as_bytes())).collect();
    for key in 0..50 {
        let forward = order(ids.iter().map(|&i| (i, i)), key);
        let backward = order(ids.iter().rev().map(|&i| (i, i)), key);
        assert_eq!(forward, backward);
    }
}

#[test]
fn given_a_member_that_leaves_then_only_its_keys_move() {
    let ids: Vec<u64> = (0..12).map(|i| hash(format!("s{i}").as_bytes())).collect();
    for key in 0..2_000 {
        let all = order(ids.iter().map(|&i| (i, i)), key);
        let without_first = order(ids.iter().skip(1).map(|&i| (i, i)), key);
        let expected: Vec<u64> = all.into_iter().filter(|&i| i != ids[0]).collect();
        assert_eq!(without_first, expected);
    }
}

#[test]
fn given_members_with_weights_then_each_wins_keys_in_proportion_to_its_weight() {
    let (a, b) = (hash(b"a"), hash(b"b"));
    let won = (0..20_000)
        .filter(|&k| score(a, k, 3.0) > score(b, k, 1.0))
        .count();
    assert!((14_500..15_500).contains(&won), "{won}");
    assert!((0..1_000).all(|k| (0.0..1.0).contains(&unit(a, k))));
}
