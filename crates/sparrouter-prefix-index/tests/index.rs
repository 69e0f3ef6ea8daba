//! The answers of a block's owner to queries.
use sparrouter_prefix_index::{IndexSettings, PrefixIndex, PrefixLocation, PrefixQuery};

const SECOND: u64 = 1_000_000_000;
const SETTINGS: IndexSettings = IndexSettings {
    max_blocks: 64,
    assumed_retention: 30 * SECOND,
    save_retry_interval: 120 * SECOND,
    max_report_delay: 4 * SECOND,
};
const BLOCK: u64 = 7;
const STORE: u64 = 99;

fn index() -> PrefixIndex {
    PrefixIndex::new(SETTINGS)
}

fn query_for(server: u64, store: u64) -> PrefixQuery {
    PrefixQuery {
        key: BLOCK,
        server,
        store,
    }
}

#[test]
fn given_an_unknown_block_when_queried_twice_then_the_store_is_requested_once_to_save_it() {
    let mut index = index();
    assert_eq!(
        index.query(query_for(1, STORE), 0),
        PrefixLocation {
            save: true,
            ..PrefixLocation::default()
        }
    );
    let second_answer = index.query(query_for(2, STORE), SECOND);
    assert!(!second_answer.save, "a save was requested a second ago");
    assert_eq!(
        second_answer.cached_at,
        [STORE],
        "the store has no follower, so the save request counts"
    );
    assert_eq!(second_answer.prefilling_server, 1);
    assert!(index.query(query_for(2, STORE), 121 * SECOND).save);
}

#[test]
fn given_a_followed_store_that_does_not_report_the_block_then_the_save_is_requested_again() {
    let mut index = index();
    index.record_cached(STORE, 3, 500, 0);
    assert!(index.query(query_for(1, STORE), 0).save);
    let early_answer = index.query(query_for(2, STORE), SECOND);
    assert!(
        !early_answer.save && early_answer.cached_at.is_empty(),
        "the save is in progress and not reported yet: {early_answer:?}"
    );
    assert!(
        index.query(query_for(2, STORE), 5 * SECOND).save,
        "the save request had no effect"
    );
    index.record_cached(STORE, BLOCK, 500, 5 * SECOND);
    let answer_after_report = index.query(query_for(2, STORE), 20 * SECOND);
    assert!(!answer_after_report.save);
    assert_eq!(answer_after_report.cached_at, [STORE]);
}

#[test]
fn given_several_sources_when_one_is_queried_then_the_others_are_listed_newest_first() {
    let mut index = index();
    for (second, source) in [(1, 10), (2, 11), (3, 12)] {
        index.record_cached(source, BLOCK, 800, second * SECOND);
    }
    let location = index.query(query_for(11, 0), 4 * SECOND);
    assert!(location.is_cached);
    assert_eq!(location.cached_at, [12, 10]);
}

#[test]
fn given_a_source_that_evicted_the_block_then_the_source_is_not_returned() {
    let mut index = index();
    index.record_cached(10, BLOCK, 800, 0);
    index.record_cached(10, BLOCK, 0, SECOND);
    assert_eq!(
        index.query(query_for(11, 0), 2 * SECOND),
        PrefixLocation::default()
    );
}

#[test]
fn given_a_followed_prefilling_server_without_a_report_then_it_is_returned_for_the_report_delay_only()
 {
    let mut index = index();
    index.record_cached(10, 3, 500, 0);
    index.query(query_for(10, 0), 0);
    assert_eq!(
        index.query(query_for(11, 0), 3 * SECOND).prefilling_server,
        10
    );
    assert_ne!(
        index.query(query_for(12, 0), 5 * SECOND).prefilling_server,
        10,
        "the server's follower would have reported the block by now"
    );
    // No follower reports what an unfollowed server caches, so the block is assumed to be cached there for the assumed
    // retention.
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
                20 * SECOND
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
                51 * SECOND
            )
            .prefilling_server,
        0
    );
}

#[test]
fn given_a_removed_source_then_it_is_returned_for_no_block() {
    let mut index = index();
    index.record_cached(STORE, BLOCK, 800, 0);
    index.record_cached(10, BLOCK, 800, 0);
    index.remove_source(STORE);
    let location = index.query(query_for(11, STORE), SECOND);
    assert_eq!((location.save, location.cached_at), (true, vec![10]));
}

#[test]
fn given_more_blocks_than_the_capacity_then_the_index_stays_bounded_and_keeps_recently_used_blocks()
{
    let mut index = index();
    for key in 0..10_000 {
        index.record_cached(10, key + 100, 800, key * SECOND / 1_000);
        index.query(
            PrefixQuery {
                key: BLOCK,
                server: 10,
                store: 0,
            },
            key * SECOND / 1_000,
        );
        assert!(index.len() <= SETTINGS.max_blocks + 1, "{}", index.len());
    }
    index.record_cached(10, BLOCK, 800, 10 * SECOND);
    assert!(
        index
            .query(query_for(11, 0), 10 * SECOND)
            .cached_at
            .contains(&10)
    );
}

#[test]
fn given_a_block_cached_at_many_sources_then_only_the_newest_few_are_stored() {
    let mut index = index();
    (1..=50).for_each(|source| index.record_cached(source, BLOCK, 800, source));
    let location = index.query(query_for(1_000, 0), SECOND);
    assert_eq!(location.cached_at.first(), Some(&50));
    assert!(location.cached_at.len() < 10);
}
