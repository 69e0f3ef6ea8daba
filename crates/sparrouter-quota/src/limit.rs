//! A tenant's limit, and its division into parts.
use crate::{Nanos, SECOND};
use sparrouter_rendezvous::{hash, order};

/// Minimum capacity of each part of a divided limit, in tokens: with a smaller one, concurrent requests find some parts
/// empty while others are full.
const MIN_PART_CAPACITY: f64 = 3.0;
/// Minimum capacity of a bucket, in tokens: a request takes a whole token.
const MIN_CAPACITY: f64 = 1.0;
/// Minimum ratio of the granted rate to the limit's rate if the burst is small.
const MIN_RATE_RATIO: f64 = 0.5;

/// A tenant's request limit, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Requests per second; above 0.
    pub rate_per_s: f64,
    /// Number of requests above the rate that may arrive at once; 0 or more.
    pub burst_size: f64,
}

/// Quota settings of a deployment; the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// The span within which a tenant sends at most `rate x window + burst` requests.
    pub window: Nanos,
    /// Lifetime of a permit, counted from the request for it.
    pub permit_lifetime: Nanos,
    /// Number of shards; shard numbers start at 1.
    pub shards: u16,
}

/// Rate and capacity of the token bucket of one part of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketShape {
    /// Tokens that the bucket gains per second.
    pub tokens_per_s: f64,
    /// Maximum number of tokens in the bucket; 1 or more.
    pub capacity: f64,
}

/// A limit divided into equal parts, each in a different shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// Number of parts, from 1 to [`QuotaSettings::shards`].
    pub parts: u16,
    /// Rate and capacity of the bucket of each part.
    pub shape: BucketShape,
}

impl Division {
    /// Divides a limit into one part per shard, or into fewer parts if the buckets would otherwise be too small.
    ///
    /// In any [`QuotaSettings::window`] the parts together allow at most `rate x window + burst` requests. If that is less
    /// than about two requests, it may be exceeded by one request, because a bucket holds at least one whole token.
    pub fn of(limit: QuotaLimit, settings: &QuotaSettings) -> Division {
        let undivided = undivided_bucket(limit, settings);
        let max_parts = f64::from(settings.shards.max(1));
        let parts = (undivided.capacity / MIN_PART_CAPACITY)
            .floor()
            .clamp(1.0, max_parts);
        Division {
            parts: parts as u16,
            shape: BucketShape {
                tokens_per_s: undivided.tokens_per_s / parts,
                capacity: undivided.capacity / parts,
            },
        }
    }

    /// The shards in which the parts of a tenant's limit are; all nodes compute the same list.
    pub fn shards(&self, tenant: &str, settings: &QuotaSettings) -> Vec<u16> {
        let shards = (1..=settings.shards).map(|shard| (hash(&shard.to_le_bytes()), shard));
        let mut ranked = order(shards, hash(tenant.as_bytes()));
        ranked.truncate(usize::from(self.parts));
        ranked
    }
}

/// The bucket of an undivided limit. Permits granted before the window can be spent within it; their number is subtracted
/// from the capacity, or from the rate if the burst is too small.
fn undivided_bucket(limit: QuotaLimit, settings: &QuotaSettings) -> BucketShape {
    let window = settings.window as f64 / SECOND;
    let lifetime = settings.permit_lifetime as f64 / SECOND;
    let rate = limit.rate_per_s;
    let capacity = limit.burst_size - rate * lifetime;
    if capacity >= MIN_CAPACITY {
        return BucketShape {
            tokens_per_s: rate,
            capacity,
        };
    }
    let allowed = rate * window + limit.burst_size;
    let tokens_per_s = (allowed - MIN_CAPACITY) / (window + lifetime);
    BucketShape {
        tokens_per_s: tokens_per_s.clamp(rate * MIN_RATE_RATIO, rate),
        capacity: MIN_CAPACITY,
    }
}
