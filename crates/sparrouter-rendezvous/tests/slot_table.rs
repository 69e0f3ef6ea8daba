//! Slot tables: agreement between nodes, balance, and minimal movement of keys.
use sparrouter_rendezvous::{Member, SLOT_COUNT, SlotTable, hash, mix};

fn member(number: u64) -> Member {
    Member {
        name: hash(format!("machine-{number}").as_bytes()),
        process: number,
    }
}

fn members(count: u64) -> Vec<Member> {
    (0..count).map(member).collect()
}

fn table(members: Vec<Member>) -> SlotTable {
    SlotTable::default().with_members(members)
}

fn keys() -> impl Iterator<Item = u64> {
    (0..50_000).map(|k| mix(k + 7))
}

#[test]
fn given_the_same_members_joined_in_any_order_then_a_key_has_the_same_owner() {
    let built_once = table(members(40));
    let mut built_in_steps = table(members(3));
    for count in (4..=60).chain((40..60).rev()) {
        built_in_steps = built_in_steps.with_members(members(count).into_iter().rev().collect());
    }
    assert!(keys().all(|key| built_once.owner(key) == built_in_steps.owner(key)));
}

#[test]
fn given_340_members_then_each_owns_about_the_mean_number_of_keys() {
    let table = table(members(340));
    let mut owned = vec![0u32; 340];
    keys().for_each(|key| owned[table.owner_index(key).unwrap()] += 1);
    let mean = 50_000.0 / 340.0;
    assert!(
        owned
            .iter()
            .all(|&n| (0.4..1.7).contains(&(f64::from(n) / mean)))
    );
}

#[test]
fn given_a_member_that_leaves_then_only_its_keys_have_another_owner() {
    let before = table(members(100));
    let removed_member = member(17);
    let after = before.with_members(
        members(100)
            .into_iter()
            .filter(|m| *m != removed_member)
            .collect(),
    );
    for key in keys() {
        let owner = before.owner(key).unwrap();
        assert_eq!(after.owner(key) != Some(owner), owner == removed_member);
    }
    // The slots of the removed member are scored for all remaining members, other slots aren't scored.
    assert!(after.scores_computed() < 3 * SLOT_COUNT as u64);
}

#[test]
fn given_a_member_that_joins_then_each_slot_is_scored_once_and_only_its_keys_move() {
    let before = table(members(1_000));
    let after = before.with_members(members(1_001));
    assert_eq!(after.scores_computed(), SLOT_COUNT as u64);
    let moved: Vec<u64> = keys()
        .filter(|&key| before.owner(key) != after.owner(key))
        .collect();
    assert!(moved.len() < 200);
    assert!(
        moved
            .iter()
            .all(|&key| after.owner(key) == Some(member(1_000)))
    );
}

#[test]
fn given_a_member_that_restarts_then_it_keeps_its_keys_under_the_new_process_id() {
    let before = table(members(5));
    let mut restarted = members(5);
    restarted[2].process = 99;
    let after = before.with_members(restarted);
    assert_eq!(after.scores_computed(), 0);
    for key in keys() {
        let same_name = before.owner(key).unwrap().name == after.owner(key).unwrap().name;
        let moved = before.owner(key) != after.owner(key);
        assert!(same_name && moved == (before.owner(key) == Some(member(2))));
    }
}

#[test]
fn given_no_members_then_a_key_has_no_owner() {
    let empty = table(members(3)).with_members(Vec::new());
    assert_eq!(empty.owner(7), None);
    assert!(empty.with_members(members(2)).owner(7).is_some());
}
