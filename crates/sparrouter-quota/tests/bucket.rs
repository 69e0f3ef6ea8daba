//! Token buckets, and the bucket table of a shard's lease holder.
use sparrouter_quota::{
    BucketShape, BucketTable, Nanos, ReturnedTokens, TakeOutcome, TenantBucket, TokenBucket,
};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const RATES: [f64; 7] = [0.1, 0.5, 1.0, 8.0, 65.0, 1_000.0, 10_000.0];

fn shape(tokens_per_s: f64, capacity: f64) -> BucketShape {
    BucketShape {
        tokens_per_s,
        capacity,
    }
}

fn limits(tenants: &[(&str, BucketShape)]) -> Vec<TenantBucket> {
    let bucket = |(tenant, shape): &(&str, BucketShape)| TenantBucket {
        tenant: (*tenant).to_owned(),
        shape: *shape,
    };
    tenants.iter().map(bucket).collect()
}

/// Guards against a new bucket that holds tokens.
#[test]
fn given_a_new_bucket_when_no_time_has_passed_then_it_grants_nothing() {
    for rate in RATES {
        let mut bucket = TokenBucket::empty(shape(rate, 50.0 * rate), 7 * SECOND);
        assert_eq!(bucket.take(1, 7 * SECOND), 0);
        assert_eq!(bucket.take(1, 6 * SECOND), 0, "before its start");
    }
}

/// Guards against a refill above the capacity, and against one that loses tokens.
#[test]
fn given_an_idle_bucket_when_tokens_are_taken_then_it_grants_exactly_its_capacity() {
    for rate in RATES {
        for capacity in [1.0, 1.4, 2.0, 50.0] {
            let mut bucket = TokenBucket::empty(shape(rate, capacity), 0);
            let now = 10_000 * SECOND;
            assert_eq!(bucket.take(u32::MAX, now), capacity as u32);
            assert!(bucket.level(now) < 1.0);
        }
    }
}

/// Guards against rounding errors that add up: tokens taken one by one over a long time stay below
/// `rate x s + capacity`.
#[test]
fn given_random_takes_when_granted_tokens_are_summed_then_the_sum_is_at_most_rate_times_span_plus_capacity()
 {
    for (seed, rate) in (0..).zip(RATES) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let capacity = 1.0 + rng.f64() * 5.0;
        let mut bucket = TokenBucket::empty(shape(rate, capacity), 0);
        let (mut now, mut granted) = (0, 0u64);
        for _ in 0..200_000 {
            now += rng.u64(0..(2e9 / rate) as u64);
            granted += u64::from(bucket.take(rng.u32(0..3), now));
            let bound = rate * now as f64 / 1e9 + capacity;
            assert!(granted as f64 <= bound + 1e-6 * granted as f64 + 1e-6);
        }
        assert!(granted as f64 >= 0.5 * rate * now as f64 / 1e9);
    }
}

/// Guards against timestamps that are used in another order than they were read: an earlier timestamp must not add or
/// remove tokens.
#[test]
fn given_a_timestamp_before_the_last_refill_when_tokens_are_taken_then_the_bucket_does_not_refill()
{
    let mut bucket = TokenBucket::empty(shape(10.0, 5.0), 0);
    assert_eq!(bucket.take(1, SECOND), 1);
    assert_eq!(bucket.take(9, SECOND / 2), 4);
    assert_eq!(bucket.level(SECOND), 0.0);
    assert_eq!(bucket.take(1, SECOND), 0);
}

/// Guards against a change of the limit that fills the bucket, or that applies the new rate to past time.
#[test]
fn given_a_bucket_when_its_capacity_is_raised_and_lowered_then_its_level_is_kept_up_to_the_capacity()
 {
    let (small, large) = (shape(2.0, 2.0), shape(100.0, 50.0));
    let mut bucket = TokenBucket::empty(small, 0);
    bucket.reshape(large, SECOND / 2);
    assert_eq!(bucket.level(SECOND / 2), 1.0, "refilled at the old rate");
    assert_eq!(bucket.level(SECOND), 50.0);
    bucket.reshape(small, SECOND);
    assert_eq!(bucket.level(SECOND), 2.0, "limited to the lower capacity");
    bucket.reshape(large, SECOND);
    assert_eq!(bucket.level(SECOND), 2.0, "dropped tokens are not restored");
    assert_eq!(bucket.shape(), large);
}

/// Guards against returned tokens that are added to a full bucket.
#[test]
fn given_returned_tokens_when_the_bucket_has_refilled_then_the_level_stays_within_the_capacity() {
    let mut bucket = TokenBucket::empty(shape(8.0, 4.0), 0);
    assert_eq!(bucket.take(4, 10 * SECOND), 4);
    bucket.give_back(3, 10 * SECOND, 10 * SECOND);
    assert_eq!(bucket.level(10 * SECOND), 3.0);
    bucket.give_back(1, 10 * SECOND, 11 * SECOND);
    assert_eq!(bucket.level(11 * SECOND), 4.0);
    bucket.give_back(u32::MAX, 11 * SECOND, 11 * SECOND);
    assert_eq!(bucket.level(11 * SECOND), 4.0);
}

/// Guards against tokens that are spent twice: a full bucket gains tokens because some were taken, and later those are
/// returned as well.
#[test]
fn given_tokens_taken_from_a_full_bucket_when_they_are_returned_then_no_span_grants_more_than_the_capacity()
 {
    for (held_for, capacity) in [(300 * MS, 40), (3 * SECOND, 10)] {
        let mut bucket = TokenBucket::empty(shape(10.0, f64::from(capacity)), 0);
        let taken_at = 100 * SECOND;
        assert_eq!(bucket.take(3, taken_at), 3);
        let now = taken_at + held_for;
        let spent = bucket.take(u32::MAX, now);
        bucket.give_back(3, taken_at, now);
        let spent = spent + bucket.take(u32::MAX, now);
        assert!(
            spent <= capacity,
            "{spent} tokens spent at once of capacity {capacity}"
        );
    }
}

/// Guards against retry delays that let all refused requests retry together, too late, or in the past.
#[test]
fn given_refused_requests_when_their_retry_delays_are_computed_then_they_follow_the_rate_up_to_a_second()
 {
    for rate in RATES {
        let gap = (1e9 / rate) as Nanos;
        let mut bucket = TokenBucket::empty(shape(rate, 3.0), 0);
        let mut previous = 0;
        for index in 0..2_000 {
            let after = bucket.retry_after(0);
            assert!(after <= SECOND);
            assert!(after >= previous, "not before the previous reservation");
            let expected = (gap.saturating_mul(index + 1)).min(SECOND);
            assert!(
                after.abs_diff(expected) <= index + 1,
                "rate {rate}: retry after {after}, expected {expected}"
            );
            previous = after;
        }
    }
}

/// Guards against expired reservations that delay later requests.
#[test]
fn given_many_expired_reservations_when_a_request_is_refused_then_it_waits_for_one_token_only() {
    for rate in [8.0, 65.0, 10_000.0] {
        let mut bucket = TokenBucket::empty(shape(rate, 3.0), 0);
        for _ in 0..20_000 {
            bucket.retry_after(0);
        }
        let gap = (1e9 / rate) as Nanos;
        let now = SECOND + gap;
        bucket.take(u32::MAX, now);
        assert!(bucket.retry_after(now) <= gap);
    }
}

/// Guards against retry delays that still follow the lower rate after the limit was raised.
#[test]
fn given_reservations_when_the_limit_is_raised_then_retry_delays_follow_the_new_rate() {
    let mut bucket = TokenBucket::empty(shape(2.0, 2.0), 0);
    for _ in 0..10 {
        bucket.retry_after(0);
    }
    bucket.reshape(shape(100.0, 20.0), 0);
    assert_eq!(bucket.retry_after(0), 10 * MS);
    assert_eq!(bucket.retry_after(0), 20 * MS);
}

/// Guards against grants while the previous lease holder's lease may still be valid.
#[test]
fn given_a_new_lease_when_tokens_are_taken_before_active_from_then_they_are_refused_and_buckets_start_empty()
 {
    let mut table = BucketTable::new(5, 10 * SECOND);
    table.set_limits(limits(&[("a", shape(10.0, 5.0))]), 2 * SECOND);
    let early_take = table.take("a", 1, 9 * SECOND);
    assert_eq!(early_take, TakeOutcome::Refused(SECOND));
    assert_eq!(
        table.take("a", 1, 10 * SECOND),
        TakeOutcome::Refused(100 * MS)
    );
    let later_take = table.take("a", 9, 10 * SECOND + 200 * MS);
    assert_eq!(later_take, TakeOutcome::Granted(2));
    assert_eq!(table.level("a", 10 * SECOND), Some(0.0));
    assert_eq!((table.granted(), table.refused()), (2, 2));
    assert_eq!(
        (table.fencing_token(), table.active_from()),
        (5, 10 * SECOND)
    );
}

fn returned(fencing_token: u64, count: u32) -> ReturnedTokens {
    ReturnedTokens {
        fencing_token,
        granted_at: 0,
        count,
    }
}

/// Guards against returned tokens of an earlier or later lease that refill this lease's buckets.
#[test]
fn given_tokens_of_another_lease_when_they_are_returned_then_they_are_ignored() {
    let mut table = BucketTable::new(5, 0);
    table.set_limits(limits(&[("a", shape(1.0, 5.0))]), 0);
    for token in [0, 4, 6, u64::MAX] {
        table.give_back("a", returned(token, 3), 0);
    }
    assert_eq!(table.level("a", 0), Some(0.0));
    assert_eq!(table.returned(), 0);
    table.give_back("b", returned(5, 3), 0);
    assert_eq!(table.returned(), 0, "a tenant without a bucket");
    table.give_back("a", returned(5, 3), 0);
    assert_eq!((table.level("a", 0), table.returned()), (Some(3.0), 3));
}

/// Guards against a full bucket for a tenant that is removed and added again.
#[test]
fn given_a_removed_tenant_when_it_is_added_again_then_its_bucket_starts_empty() {
    let bucket_shape = shape(10.0, 10.0);
    let mut table = BucketTable::new(1, 0);
    table.set_limits(limits(&[("a", bucket_shape), ("b", bucket_shape)]), 0);
    table.set_limits(limits(&[("b", bucket_shape)]), 5 * SECOND);
    assert_eq!(table.take("a", 1, 5 * SECOND), TakeOutcome::UnknownTenant);
    assert_eq!(
        (table.level("a", 5 * SECOND), table.tenant_count()),
        (None, 1)
    );
    table.set_limits(
        limits(&[("a", bucket_shape), ("b", bucket_shape)]),
        6 * SECOND,
    );
    assert_eq!(table.level("a", 6 * SECOND), Some(0.0));
    assert_eq!(
        table.level("b", 6 * SECOND),
        Some(10.0),
        "the other tenant's level is unchanged"
    );
    assert_eq!(table.tenant_count(), 2);
}

/// Guards against an update of this or another tenant's limit that fills or empties a bucket whose limit is unchanged.
#[test]
fn given_unchanged_limits_when_they_are_set_again_then_the_level_is_unchanged() {
    let bucket_shape = shape(10.0, 10.0);
    let mut table = BucketTable::new(1, 0);
    table.set_limits(limits(&[("a", bucket_shape)]), 0);
    assert_eq!(table.take("a", 3, SECOND / 2), TakeOutcome::Granted(3));
    assert_eq!(
        table.take("a", 1, 510 * MS + SECOND / 10),
        TakeOutcome::Granted(1)
    );
    let level = table.level("a", SECOND);
    for _ in 0..5 {
        table.set_limits(limits(&[("a", bucket_shape), ("b", bucket_shape)]), SECOND);
        table.set_limits(limits(&[("a", bucket_shape)]), SECOND);
    }
    assert_eq!(table.level("a", SECOND), level);
}

/// Guards against a lowered limit that leaves more tokens than the new capacity.
#[test]
fn given_a_full_bucket_when_its_limit_is_lowered_then_it_grants_at_most_the_new_capacity() {
    let mut table = BucketTable::new(1, 0);
    table.set_limits(limits(&[("a", shape(100.0, 100.0))]), 0);
    table.set_limits(limits(&[("a", shape(2.0, 2.0))]), 10 * SECOND);
    assert_eq!(table.take("a", 50, 10 * SECOND), TakeOutcome::Granted(2));
    assert_eq!(
        table.take("a", 50, 10 * SECOND),
        TakeOutcome::Refused(500 * MS)
    );
}
