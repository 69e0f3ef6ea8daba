//! The answers of a part's owner.
use sparrouter_prefix_index::{IndexSettings, PrefixIndex, PrefixLocation, PrefixQuery};

const S: u64 = 1_000_000_000;
const TERMS: IndexSettings = IndexSettings {
    max_blocks: 64,
    assumed_retention: 30 * S,
    save_retry_interval: 120 * S,
    max_report_delay: 4 * S,
};
const PART: u64 = 7;
const STORE: u64 = 99;

fn index() -> PrefixIndex {
    PrefixIndex::new(TERMS)
}

fn about(server: u64, store: u64) -> PrefixQuery {
    PrefixQuery {
        key: PART,
        server,
        store,
    }
}

#[test]
fn given_nothing_known_when_asked_then_the_store_is_asked_to_save_once() {
    let mut index = index();
    assert_eq!(
        index.query(about(1, STORE), 0),
        PrefixLocation {
            save: true,
            ..PrefixLocation::default()
        }
    );
    let second = index.query(about(2, STORE), S);
    assert!(!second.save, "the store was asked a second ago");
    assert_eq!(
        second.cached_at,
        [STORE],
        "the store has no follower, so the request to save counts"
    );
    assert_eq!(second.prefilling_server, 1);
    assert!(index.query(about(2, STORE), 121 * S).save);
}

#[test]
fn given_a_followed_store_when_it_does_not_report_the_part_then_it_is_asked_again_soon() {
    let mut index = index();
    index.record_cached(STORE, 3, 500, 0);
    assert!(index.query(about(1, STORE), 0).save);
    let soon = index.query(about(2, STORE), S);
    assert!(
        !soon.save && soon.cached_at.is_empty(),
        "being saved, but not reported yet: {soon:?}"
    );
    assert!(
        index.query(about(2, STORE), 5 * S).save,
        "the request to save had no effect"
    );
    index.record_cached(STORE, PART, 500, 5 * S);
    let there = index.query(about(2, STORE), 20 * S);
    assert!(!there.save);
    assert_eq!(there.cached_at, [STORE]);
}

#[test]
fn given_holders_when_asked_for_one_of_them_then_it_is_held_and_the_others_are_named_newest_first()
{
    let mut index = index();
    for (at, source) in [(1, 10), (2, 11), (3, 12)] {
        index.record_cached(source, PART, 800, at * S);
    }
    let advice = index.query(about(11, 0), 4 * S);
    assert!(advice.is_cached);
    assert_eq!(advice.cached_at, [12, 10]);
}

#[test]
fn given_a_holder_that_dropped_the_part_when_asked_then_it_is_not_named() {
    let mut index = index();
    index.record_cached(10, PART, 800, 0);
    index.record_cached(10, PART, 0, S);
    assert_eq!(index.query(about(11, 0), 2 * S), PrefixLocation::default());
}

#[test]
fn given_a_followed_reader_when_its_follower_reports_nothing_then_it_is_named_for_the_report_time_only()
 {
    let mut index = index();
    index.record_cached(10, 3, 500, 0);
    index.query(about(10, 0), 0);
    assert_eq!(index.query(about(11, 0), 3 * S).prefilling_server, 10);
    assert_ne!(
        index.query(about(12, 0), 5 * S).prefilling_server,
        10,
        "its follower would have reported the part by now"
    );
    // Nobody reports for a server without a follower.
    let unfollowed = PrefixQuery {
        key: 8,
        server: 13,
        store: 0,
    };
    index.query(unfollowed, 0);
    assert_eq!(
        index
            .query(
                PrefixQuery {
                    server: 14,
                    ..unfollowed
                },
                20 * S
            )
            .prefilling_server,
        13
    );
    assert_eq!(
        index
            .query(
                PrefixQuery {
                    server: 15,
                    ..unfollowed
                },
                51 * S
            )
            .prefilling_server,
        0
    );
}

#[test]
fn given_a_lost_source_when_asked_then_it_is_not_named() {
    let mut index = index();
    index.record_cached(STORE, PART, 800, 0);
    index.record_cached(10, PART, 800, 0);
    index.remove_source(STORE);
    let advice = index.query(about(11, STORE), S);
    assert_eq!((advice.save, advice.cached_at), (true, vec![10]));
}

#[test]
fn given_more_parts_than_fit_when_reported_then_the_index_stays_bounded_and_used_parts_stay() {
    let mut index = index();
    for key in 0..10_000 {
        index.record_cached(10, key + 100, 800, key * S / 1_000);
        index.query(
            PrefixQuery {
                key: PART,
                server: 10,
                store: 0,
            },
            key * S / 1_000,
        );
        assert!(index.len() <= TERMS.max_blocks + 1, "{}", index.len());
    }
    index.record_cached(10, PART, 800, 10 * S);
    assert!(index.query(about(11, 0), 10 * S).cached_at.contains(&10));
}

#[test]
fn given_many_holders_when_reported_then_the_newest_few_are_remembered() {
    let mut index = index();
    (1..=50).for_each(|source| index.record_cached(source, PART, 800, source));
    let advice = index.query(about(1_000, 0), S);
    assert_eq!(advice.cached_at.first(), Some(&50));
    assert!(advice.cached_at.len() < 10);
}
