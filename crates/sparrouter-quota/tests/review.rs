//! Regression tests of returned tokens and of the takeover wait of a lease.
use sparrouter_consensus::lease::{LeaseAnswer, LeaseChange, LeaseHolder};
use sparrouter_consensus::{Applied, Leases, Machine};
use sparrouter_quota::{BucketShape, TokenBucket};
use std::collections::VecDeque;

const MS: u64 = 1_000_000;

// Guards against unspent permits whose return adds no token to the bucket: a tenant at three fifths of its limit would be
// refused.
#[test]
fn given_permits_that_lapse_once_before_each_send_when_far_within_the_limit_then_none_is_refused() {
    // One part of a limit of 65 requests/s with burst 65.
    let shape = BucketShape {
        tokens_per_s: 16.25,
        capacity: 13.0,
    };
    let mut bucket = TokenBucket::empty(shape, 0);
    let (mut outstanding, mut refused): (VecDeque<u64>, u32) = (VecDeque::new(), 0);
    // Ten requests per second. Each request's first permit expires unspent during the 250 ms in which a connection is set
    // up; the request then takes and spends a second permit.
    for step in 0..600 {
        let now = 5_000 * MS + step * 100 * MS;
        while outstanding
            .front()
            .is_some_and(|taken_at| taken_at + 250 * MS <= now)
        {
            let taken_at = outstanding.pop_front().expect("there is one");
            let returned_at = taken_at + 250 * MS;
            bucket.give_back(1, taken_at, returned_at);
            refused += 1 - bucket.take(1, returned_at);
        }
        match bucket.take(1, now) {
            0 => refused += 1,
            _ => outstanding.push_back(now),
        }
    }
    assert_eq!(
        refused, 0,
        "refused of 600 requests, at 10/s where 16.25/s are allowed"
    );
}

// Guards against returned tokens that were taken before the rate was lowered: the tokens gained since at the higher rate
// would not be subtracted.
#[test]
fn given_tokens_taken_before_the_rate_was_lowered_when_they_are_returned_then_they_are_ignored() {
    let shape = |tokens_per_s| BucketShape {
        tokens_per_s,
        capacity: 170.0,
    };
    let mut bucket = TokenBucket::empty(shape(100.0), 0);
    let start = 5_000 * MS;
    assert_eq!(bucket.take(150, start), 150);
    let lowered_at = start + 550 * MS;
    bucket.reshape(shape(1.0), lowered_at);
    let mut spent = bucket.take(200, lowered_at);
    bucket.give_back(150, start, lowered_at);
    spent += bucket.take(200, lowered_at);
    assert!(spent <= 170, "{spent} tokens are spent at the same moment");
}

// Guards against a release before the takeover wait is over that lets the next holder skip the wait: the first holder may
// still grant tokens.
#[test]
fn given_a_holder_that_releases_during_its_takeover_wait_when_another_acquires_then_that_one_waits_too()
 {
    let holder = |name: &str| LeaseHolder {
        name: name.to_owned(),
        incarnation: 0,
    };
    let mut body = Vec::new();
    let mut apply = |change: LeaseChange| {
        let answer = match Leases.apply(&body, &change.encode()) {
            Applied::Changed { body: new, answer } => {
                body = new;
                answer
            }
            Applied::Unchanged { answer } => answer,
        };
        LeaseAnswer::decode(&answer)
    };
    let duration = 3_000 * MS;
    let acquire = |name: &str| LeaseChange::Acquire {
        holder: holder(name),
        duration,
    };
    apply(acquire("a"));
    apply(acquire("b"));
    apply(LeaseChange::Release {
        holder: holder("b"),
        fencing_token: 2,
        waited: false,
    });
    let acquired = LeaseAnswer::Acquired {
        fencing_token: 3,
        takeover_wait: duration,
    };
    assert_eq!(apply(acquire("c")), Some(acquired));
}
