//! Tokens that are returned after their bucket has refilled.
use sparrouter_quota::{BucketShape, TokenBucket};

const MS: u64 = 1_000_000;

// Guards against a bucket that refills while tokens are outstanding and then gets these back as well: requests would
// exceed the bucket's bound within a span.
#[test]
fn given_tokens_returned_after_a_refill_when_taken_again_then_no_span_exceeds_the_capacity() {
    let shape = BucketShape {
        tokens_per_s: 100.0,
        capacity: 170.0,
    };
    let mut bucket = TokenBucket::empty(shape, 0);
    let start = 5_000 * MS;
    assert_eq!(bucket.take(150, start), 150);
    // These 150 tokens stay unspent; all tokens taken below are spent.
    let returned_at = start + 550 * MS;
    let mut spent = bucket.take(200, returned_at);
    bucket.give_back(150, start, returned_at);
    spent += bucket.take(200, returned_at);
    assert!(
        f64::from(spent) <= shape.capacity,
        "{spent} tokens are spent at the same moment"
    );
}
