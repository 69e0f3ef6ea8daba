//! Scheduling of the publication of changed records.
use sparrouter_membership::{
    LifecycleState, MembershipTable, NodeRecord, PublishSchedule, ServerRecord,
};

/// A millisecond in nanoseconds.
const MS: u64 = 1_000_000;

fn new_table_and_schedule() -> (MembershipTable, PublishSchedule) {
    (
        MembershipTable::new(1, 1, 10_000),
        PublishSchedule::default(),
    )
}

/// Merges the first heartbeat of a server with a unique address.
fn merge_server(table: &mut MembershipTable, id: usize, state: LifecycleState, now: u64) {
    let address = format!("10.0.{}.{}:80", id / 250, id % 250);
    let record = ServerRecord {
        id: format!("s{id}"),
        address,
        call_sequence: 1,
        state,
        ..ServerRecord::default()
    };
    assert!(table.merge_server(record, now));
}

#[test]
fn given_1000_servers_that_start_one_per_millisecond_then_13_to_15_publications_cover_all() {
    let (mut table, mut schedule) = new_table_and_schedule();
    let mut publications = 0;
    for id in 0..1_000 {
        let now = id as u64 * MS;
        merge_server(&mut table, id, LifecycleState::Ready, now);
        let publish_at = schedule
            .next_publish_at(&table, 10, now)
            .expect("a change is pending");
        assert!(
            publish_at <= now + 70 * MS,
            "a change waits no longer than the batch delay"
        );
        if publish_at <= now {
            schedule.publish(&table, now);
            publications += 1;
        }
    }
    assert!((13..=15).contains(&publications), "{publications}");
}

#[test]
fn given_pending_changes_after_a_quiet_period_when_a_server_drains_then_all_are_published_immediately()
 {
    let (mut table, mut schedule) = new_table_and_schedule();
    merge_server(&mut table, 1, LifecycleState::Ready, 100 * MS);
    assert_eq!(
        schedule.next_publish_at(&table, 200, 100 * MS),
        Some(360 * MS)
    );
    merge_server(&mut table, 2, LifecycleState::Draining, 110 * MS);
    assert!(
        schedule
            .next_publish_at(&table, 200, 110 * MS)
            .is_some_and(|publish_at| publish_at <= 110 * MS)
    );
    schedule.publish(&table, 110 * MS);
    assert_eq!(
        (
            schedule.published(),
            schedule.next_publish_at(&table, 200, 111 * MS)
        ),
        (2, None)
    );
}

#[test]
fn given_200_polling_nodes_when_500_servers_drain_then_at_most_10_publications_at_most_53_ms_apart()
{
    let (mut table, mut schedule) = new_table_and_schedule();
    let mut published = Vec::new();
    for id in 0..500 {
        let now = (1_000 + id as u64) * MS;
        merge_server(&mut table, id, LifecycleState::Draining, now);
        if schedule
            .next_publish_at(&table, 200, now)
            .is_some_and(|publish_at| publish_at <= now)
        {
            schedule.publish(&table, now);
            published.push(now);
        }
    }
    assert!(
        published.len() <= 10,
        "each publication sends a response to every polling node: {published:?}"
    );
    assert!(
        published.windows(2).all(|w| w[1] - w[0] <= 53 * MS),
        "{published:?}"
    );
}

#[test]
fn given_a_published_record_when_it_changes_again_then_only_the_next_publication_contains_it() {
    let (mut table, mut schedule) = new_table_and_schedule();
    merge_server(&mut table, 1, LifecycleState::Ready, 0);
    merge_server(&mut table, 2, LifecycleState::Ready, 0);
    schedule.publish(&table, 0);
    merge_server(&mut table, 1, LifecycleState::Draining, 1);
    let published = table.delta_between(1, 0, schedule.published(), usize::MAX);
    assert_eq!((published.revision, published.servers.len()), (2, 1));
    let rest = table.delta_between(1, published.revision, table.revision(), usize::MAX);
    assert_eq!((rest.revision, rest.servers.len()), (3, 1));
    let node = NodeRecord {
        name: "n".into(),
        incarnation: 1,
        ..NodeRecord::default()
    };
    table.merge_node(node, 2);
    assert!(
        table.delta_between(1, 3, 3, usize::MAX).is_empty(),
        "an unpublished change is not sent"
    );
}
