//! When changed rows are published.
use sparrouter_membership::{
    LifecycleState, MembershipTable, NodeRecord, PublishSchedule, ServerRecord,
};

const MS: u64 = 1_000_000;

fn come(rows: &mut MembershipTable, id: usize, standing: LifecycleState, now: u64) {
    let address = format!("10.0.{}.{}:80", id / 250, id % 250);
    let row = ServerRecord {
        id: format!("s{id}"),
        address,
        call_sequence: 1,
        state: standing,
        ..ServerRecord::default()
    };
    assert!(rows.merge_server(row, now));
}

#[test]
fn given_a_thousand_servers_that_appear_one_by_one_then_few_publications_cover_all() {
    let (mut rows, mut pace) = (
        MembershipTable::new(1, 1, 10_000),
        PublishSchedule::default(),
    );
    let mut told = 0;
    for id in 0..1_000 {
        let now = id as u64 * MS;
        come(&mut rows, id, LifecycleState::Ready, now);
        let due = pace
            .next_publish_at(&rows, 10, now)
            .expect("something is new");
        assert!(
            due <= now + 70 * MS,
            "nothing waits longer than it takes to gather"
        );
        if due <= now {
            pace.publish(&rows, now);
            told += 1;
        }
    }
    assert!((13..=15).contains(&told), "{told}");
}

#[test]
fn given_a_quiet_period_when_a_server_drains_then_all_pending_rows_are_published_at_once() {
    let (mut rows, mut pace) = (
        MembershipTable::new(1, 1, 10_000),
        PublishSchedule::default(),
    );
    come(&mut rows, 1, LifecycleState::Ready, 100 * MS);
    assert_eq!(pace.next_publish_at(&rows, 200, 100 * MS), Some(360 * MS));
    come(&mut rows, 2, LifecycleState::Draining, 110 * MS);
    assert!(
        pace.next_publish_at(&rows, 200, 110 * MS)
            .is_some_and(|due| due <= 110 * MS)
    );
    pace.publish(&rows, 110 * MS);
    assert_eq!(
        (pace.published(), pace.next_publish_at(&rows, 200, 111 * MS)),
        (2, None)
    );
}

#[test]
fn given_many_servers_that_drain_at_once_when_many_poll_then_they_are_published_together_and_soon()
{
    let (mut rows, mut pace) = (
        MembershipTable::new(1, 1, 10_000),
        PublishSchedule::default(),
    );
    let mut published = Vec::new();
    for id in 0..500 {
        let now = (1_000 + id as u64) * MS;
        come(&mut rows, id, LifecycleState::Draining, now);
        if pace
            .next_publish_at(&rows, 200, now)
            .is_some_and(|due| due <= now)
        {
            pace.publish(&rows, now);
            published.push(now);
        }
    }
    assert!(
        published.len() <= 10,
        "each is an answer to every poller: {published:?}"
    );
    assert!(
        published.windows(2).all(|w| w[1] - w[0] <= 53 * MS),
        "{published:?}"
    );
}

#[test]
fn given_published_rows_when_one_changes_later_then_it_is_in_the_next_publication_only() {
    let (mut rows, mut pace) = (
        MembershipTable::new(1, 1, 10_000),
        PublishSchedule::default(),
    );
    come(&mut rows, 1, LifecycleState::Ready, 0);
    come(&mut rows, 2, LifecycleState::Ready, 0);
    pace.publish(&rows, 0);
    come(&mut rows, 1, LifecycleState::Draining, 1);
    let told = rows.delta_between(1, 0, pace.published(), usize::MAX);
    assert_eq!((told.revision, told.servers.len()), (2, 1));
    let rest = rows.delta_between(1, told.revision, rows.revision(), usize::MAX);
    assert_eq!((rest.revision, rest.servers.len()), (3, 1));
    let node = NodeRecord {
        name: "n".into(),
        incarnation: 1,
        ..NodeRecord::default()
    };
    rows.merge_node(node, 2);
    assert!(
        rows.delta_between(1, 3, 3, usize::MAX).is_empty(),
        "what is not published is not told"
    );
}
