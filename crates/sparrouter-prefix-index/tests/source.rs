//! The state that a follower derives from a source's events, and the changes that it sends to owners.
use sparrouter_prefix_index::{BlockChange, EventPage, Source};
use sparrouter_rendezvous::{Member, SlotTable, mix};
use std::collections::BTreeMap;
use std::rc::Rc;

fn cached(key: u64, tokens: u32) -> BlockChange {
    BlockChange { key, tokens }
}

fn page(epoch: u64, next: u64, events: &[BlockChange]) -> EventPage {
    EventPage {
        epoch,
        next,
        gap: false,
        events: events.to_vec(),
    }
}

fn owner(number: u64) -> Member {
    Member {
        name: mix(number + 1),
        process: number,
    }
}

fn owners(numbers: &[u64]) -> Rc<SlotTable> {
    let members = numbers.iter().map(|&n| owner(n)).collect();
    Rc::new(SlotTable::default().with_members(members))
}

/// The first `count` keys that belong to owner `number`.
fn keys_of(owners: &SlotTable, number: u64, count: usize) -> Vec<u64> {
    let keys = (0..).filter(|&key| owners.owner(key) == Some(owner(number)));
    keys.take(count).collect()
}

fn owner_index(owners: &SlotTable, number: u64) -> usize {
    let members = owners.members();
    members.iter().position(|m| *m == owner(number)).unwrap()
}

#[test]
fn given_events_then_each_owner_is_notified_once_of_the_current_state_of_its_blocks() {
    let owners = owners(&[0, 1]);
    let (keys_of_0, keys_of_1) = (keys_of(&owners, 0, 2), keys_of(&owners, 1, 1));
    let mut source = Source::default();
    assert!(!source.apply_page(page(
        5,
        40,
        &[
            cached(keys_of_0[0], 100),
            cached(keys_of_1[0], 700),
            cached(keys_of_0[0], 160),
            cached(keys_of_0[1], 9),
            cached(keys_of_0[1], 0)
        ]
    )));
    assert_eq!(source.next_event(), 40);
    let expected = BTreeMap::from([
        (
            owner_index(&owners, 0),
            vec![cached(keys_of_0[0], 160), cached(keys_of_0[1], 0)],
        ),
        (owner_index(&owners, 1), vec![cached(keys_of_1[0], 700)]),
    ]);
    assert_eq!(source.take_changes(&owners), expected);
    assert!(
        source.take_changes(&owners).is_empty(),
        "nothing has changed since the last call"
    );
}

#[test]
fn given_an_owner_that_leaves_then_exactly_its_blocks_are_sent_to_other_owners() {
    let previous_owners = owners(&[0, 1, 2]);
    let mut source = Source::default();
    let blocks: Vec<BlockChange> = (0..300).map(|key| cached(key, 160)).collect();
    source.apply_page(page(5, 40, &blocks));
    source.take_changes(&previous_owners);
    let new_owners = Rc::new(previous_owners.with_members(vec![owner(0), owner(2)]));
    let sent_again: Vec<u64> = sorted_keys(source.take_changes(&new_owners));
    let was_owned_by_1 = |key: &u64| previous_owners.owner(*key) == Some(owner(1));
    assert_eq!(
        sent_again,
        (0..300).filter(was_owned_by_1).collect::<Vec<u64>>()
    );
    assert!((60..140).contains(&sent_again.len()));
    assert!(source.take_changes(&new_owners).is_empty());
}

#[test]
fn given_an_owner_that_restarts_then_its_new_process_is_notified_of_all_its_cached_blocks() {
    let previous_owners = owners(&[0, 1, 2]);
    let mut source = Source::default();
    let blocks: Vec<BlockChange> = (0..300).map(|key| cached(key, 160)).collect();
    source.apply_page(page(5, 40, &blocks));
    source.take_changes(&previous_owners);
    let restarted = Member {
        process: 77,
        ..owner(1)
    };
    let new_owners = Rc::new(previous_owners.with_members(vec![owner(0), restarted, owner(2)]));
    let was_owned_by_1 = |key: &u64| previous_owners.owner(*key) == Some(owner(1));
    let expected: Vec<u64> = (0..300).filter(was_owned_by_1).collect();
    assert_eq!(sorted_keys(source.take_changes(&new_owners)), expected);
}

#[test]
fn given_no_owners_when_the_first_one_joins_then_it_is_notified_of_all_cached_blocks() {
    let mut source = Source::default();
    source.apply_page(page(5, 40, &[cached(2, 160), cached(3, 700)]));
    assert!(source.take_changes(&owners(&[])).is_empty());
    assert_eq!(sorted_keys(source.take_changes(&owners(&[1]))), [2, 3]);
}

fn sorted_keys(changes: BTreeMap<usize, Vec<BlockChange>>) -> Vec<u64> {
    let mut keys: Vec<u64> = changes.into_values().flatten().map(|c| c.key).collect();
    keys.sort_unstable();
    keys
}

#[test]
fn given_a_restarted_source_when_its_response_is_applied_then_the_earlier_state_is_invalidated() {
    let mut source = Source::default();
    source.apply_page(page(5, 40, &[cached(2, 160)]));
    assert!(source.apply_page(page(6, 1, &[cached(3, 700)])));
    assert_eq!(source.len(), 1);
    assert_eq!(source.next_event(), 1);
}

#[test]
fn given_a_gap_then_it_invalidates_the_earlier_state_unless_in_the_first_response() {
    let mut source = Source::default();
    let gap = |next, key| EventPage {
        gap: true,
        ..page(5, next, &[cached(key, 100)])
    };
    assert!(
        !source.apply_page(gap(40, 2)),
        "there is no state that the gap could invalidate"
    );
    assert!(
        source.apply_page(gap(90, 3)),
        "blocks evicted within the gap would stay in the index for ever"
    );
    assert_eq!(source.len(), 1);
}

#[test]
fn given_an_unknown_block_when_it_is_evicted_then_its_owner_is_still_notified() {
    // An earlier follower may have reported the block.
    let mut source = Source::default();
    source.apply_page(page(5, 40, &[cached(3, 0)]));
    let changes = source.take_changes(&owners(&[1]));
    assert_eq!(changes, BTreeMap::from([(0, vec![cached(3, 0)])]));
    assert!(source.is_empty());
}
