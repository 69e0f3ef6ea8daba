//! A forwarding node's permit table: refusals, unavailable shards, and the next step of a request.
use sparrouter_quota::{Nanos, NextStep, Permit, PermitTable};

const MS: Nanos = 1_000_000;
const NOW: Nanos = 1_000 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum ShardState {
    Available,
    Asked,
    Refused(Nanos),
    Unavailable(Nanos),
    /// The lease holder refused once, and was unavailable later.
    RefusedThenUnavailable(Nanos, Nanos),
}

fn table_of(shards: &[ShardState]) -> (PermitTable, Vec<u16>) {
    let mut table = PermitTable::default();
    let mut asked = Vec::new();
    for (shard, state) in (1..).zip(shards) {
        match *state {
            ShardState::Available => {}
            ShardState::Asked => asked.push(shard),
            ShardState::Refused(after) => table.record_refusal("a", shard, after, NOW),
            ShardState::Unavailable(after) => table.record_unavailable(shard, after, NOW),
            ShardState::RefusedThenUnavailable(refused, unavailable) => {
                table.record_refusal("a", shard, refused, NOW);
                table.record_unavailable(shard, unavailable, NOW);
            }
        }
    }
    (table, asked)
}

/// The step that the documentation of `NextStep` requires for shards in these states.
fn expected_step(shards: &[ShardState]) -> NextStep {
    let first_available = shards
        .iter()
        .position(|shard| *shard == ShardState::Available);
    if let Some(index) = first_available {
        return NextStep::Ask(index as u16 + 1);
    }
    let refused = shards.iter().filter_map(|shard| match shard {
        ShardState::Refused(after) | ShardState::RefusedThenUnavailable(after, _) => Some(*after),
        _ => None,
    });
    let unavailable = shards.iter().filter_map(|shard| match shard {
        ShardState::Unavailable(after) => Some(*after),
        _ => None,
    });
    match (refused.min(), unavailable.min()) {
        (Some(after), _) => NextStep::LimitReached(after),
        (None, Some(after)) => NextStep::Unavailable(after),
        (None, None) => NextStep::Unavailable(0),
    }
}

/// Guards against a part that is skipped or asked twice, and against a wrong reason: covers each combination of the
/// states of 3 shards.
#[test]
fn given_each_combination_of_shard_states_when_the_next_step_is_computed_then_it_is_as_documented()
{
    let states = [
        ShardState::Available,
        ShardState::Asked,
        ShardState::Refused(70 * MS),
        ShardState::Refused(20 * MS),
        ShardState::Unavailable(150 * MS),
        ShardState::Unavailable(10 * MS),
        ShardState::RefusedThenUnavailable(30 * MS, 90 * MS),
    ];
    for a in states {
        for b in states {
            for c in states {
                let shards = [a, b, c];
                let (table, asked) = table_of(&shards);
                let step = table.next_step("a", &[1, 2, 3], &asked, NOW);
                assert_eq!(step, expected_step(&shards), "{shards:?}");
            }
        }
    }
}

/// Guards against requests that all start with the same part: the caller's order decides.
#[test]
fn given_available_shards_when_the_next_step_is_computed_then_it_is_the_first_unasked_one_in_order()
{
    let table = PermitTable::default();
    assert_eq!(table.next_step("a", &[3, 1, 2], &[], NOW), NextStep::Ask(3));
    assert_eq!(
        table.next_step("a", &[3, 1, 2], &[3], NOW),
        NextStep::Ask(1)
    );
    assert_eq!(
        table.next_step("a", &[], &[], NOW),
        NextStep::Unavailable(0)
    );
}

/// Guards against refusals that outlast their retry delay, or that apply to another tenant.
#[test]
fn given_a_refusal_when_its_retry_delay_is_over_then_the_shard_is_asked_again() {
    let mut table = PermitTable::default();
    table.record_refusal("a", 1, 50 * MS, NOW);
    let step = table.next_step("a", &[1], &[], NOW + 50 * MS - 1);
    assert_eq!(step, NextStep::LimitReached(1));
    assert_eq!(
        table.next_step("a", &[1], &[], NOW + 50 * MS),
        NextStep::Ask(1)
    );
    assert_eq!(table.next_step("b", &[1], &[], NOW), NextStep::Ask(1));
    table.record_refusal("a", 1, Nanos::MAX, NOW);
    let step = table.next_step("a", &[1], &[], NOW);
    assert_eq!(step, NextStep::LimitReached(Nanos::MAX - NOW));
}

/// Guards against lease holders that are still avoided after they answered, and against an unavailability that is
/// recorded for one tenant only.
#[test]
fn given_an_unavailable_lease_holder_when_it_answers_then_it_is_asked_again_for_all_tenants() {
    let mut table = PermitTable::default();
    table.record_unavailable(1, 150 * MS, NOW);
    table.record_unavailable(2, 50 * MS, NOW);
    assert_eq!(table.unavailable(NOW), [1, 2]);
    assert_eq!(table.unavailable(NOW + 50 * MS), [1]);
    for tenant in ["a", "b"] {
        let step = table.next_step(tenant, &[1], &[], NOW);
        assert_eq!(step, NextStep::Unavailable(150 * MS));
    }
    table.record_answer(1);
    assert_eq!(table.unavailable(NOW), [2]);
    assert_eq!(table.next_step("b", &[1], &[], NOW), NextStep::Ask(1));
}

/// Guards against a permit that is spent at or after its expiry.
#[test]
fn given_a_permit_when_it_expires_then_it_is_no_longer_valid() {
    let permit = Permit {
        shard: 1,
        fencing_token: 1,
        granted_at: 0,
        expires_at: NOW,
    };
    assert!(permit.is_valid(NOW - 1));
    assert!(!permit.is_valid(NOW));
    assert!(!permit.is_valid(Nanos::MAX));
}

/// Number of tenants, of the first `count`, whose refusal the table reports as current at `now`.
fn current_refusals(table: &PermitTable, count: usize, now: Nanos) -> usize {
    let is_current = |index: &usize| {
        let step = table.next_step(&index.to_string(), &[1], &[], now);
        matches!(step, NextStep::LimitReached(_))
    };
    (0..count).filter(is_current).count()
}

/// Guards against unbounded memory if more tenants than the table's maximum are refused at the same time.
#[test]
fn given_more_than_4096_refused_tenants_when_recorded_then_the_table_holds_4096() {
    let mut table = PermitTable::default();
    for index in 0..5_000 {
        table.record_refusal(&index.to_string(), 1, 500 * MS, NOW);
        let step = table.next_step(&index.to_string(), &[1], &[], NOW);
        assert_eq!(
            step,
            NextStep::LimitReached(500 * MS),
            "the newest refusal is stored"
        );
    }
    assert_eq!(current_refusals(&table, 5_000, NOW), 4_096);
}

/// Guards against expired refusals that take the room of current ones.
#[test]
fn given_a_table_full_of_expired_refusals_when_more_are_recorded_then_all_current_ones_are_stored()
{
    let mut table = PermitTable::default();
    for index in 0..4_096 {
        table.record_refusal(&format!("old-{index}"), 1, 10 * MS, NOW);
    }
    for index in 0..4_000 {
        table.record_refusal(&index.to_string(), 1, 500 * MS, NOW + 20 * MS);
    }
    assert_eq!(current_refusals(&table, 4_000, NOW + 20 * MS), 4_000);
}
