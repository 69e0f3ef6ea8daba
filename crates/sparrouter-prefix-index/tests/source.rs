//! What a follower derives from a source's events.
use sparrouter_prefix_index::{Change, Page, Source};
use std::collections::BTreeMap;

fn kept(key: u64, tokens: u32) -> Change {
    Change { key, tokens }
}

fn page(epoch: u64, next: u64, events: &[Change]) -> Page {
    Page {
        epoch,
        next,
        gap: false,
        events: events.to_vec(),
    }
}

/// Even keys have owner 0, odd ones 1.
fn told(source: &mut Source) -> BTreeMap<u64, Vec<Change>> {
    source.tell(1, |key| key % 2)
}

#[test]
fn given_events_when_sent_then_each_owner_gets_its_parts_once_with_their_current_tokens() {
    let mut source = Source::default();
    assert!(!source.take(page(
        5,
        40,
        &[
            kept(2, 100),
            kept(3, 700),
            kept(2, 160),
            kept(4, 9),
            kept(4, 0)
        ]
    )));
    assert_eq!(source.since(), 40);
    let expected = BTreeMap::from([(0, vec![kept(2, 160), kept(4, 0)]), (1, vec![kept(3, 700)])]);
    assert_eq!(told(&mut source), expected);
    assert!(told(&mut source).is_empty(), "there is nothing new");
}

#[test]
fn given_another_set_of_owners_when_sent_then_all_kept_parts_are_sent_again() {
    let mut source = Source::default();
    source.take(page(5, 40, &[kept(2, 160), kept(3, 700)]));
    told(&mut source);
    let anew = source.tell(2, |_| 6);
    assert_eq!(
        anew,
        BTreeMap::from([(6, vec![kept(2, 160), kept(3, 700)])])
    );
}

#[test]
fn given_a_restarted_source_when_its_answer_is_applied_then_earlier_state_is_void() {
    let mut source = Source::default();
    source.take(page(5, 40, &[kept(2, 160)]));
    assert!(source.take(page(6, 1, &[kept(3, 700)])));
    assert_eq!(source.len(), 1);
    assert_eq!(source.since(), 1);
}

#[test]
fn given_a_gap_when_it_is_in_the_first_answer_then_nothing_is_void_and_later_everything_is() {
    let mut source = Source::default();
    let gap = |next, key| Page {
        gap: true,
        ..page(5, next, &[kept(key, 100)])
    };
    assert!(
        !source.take(gap(40, 2)),
        "nothing was known that the gap could invalidate"
    );
    assert!(
        source.take(gap(90, 3)),
        "parts dropped meanwhile would be kept for ever"
    );
    assert_eq!(source.len(), 1);
}

#[test]
fn given_an_unknown_part_when_it_is_dropped_then_its_owner_is_still_notified() {
    // An earlier follower may have reported it.
    let mut source = Source::default();
    source.take(page(5, 40, &[kept(3, 0)]));
    assert_eq!(told(&mut source), BTreeMap::from([(1, vec![kept(3, 0)])]));
    assert!(source.is_empty());
}
