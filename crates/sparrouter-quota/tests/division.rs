//! The division of a limit into parts.
use sparrouter_quota::{Division, Nanos, QuotaLimit, QuotaSettings};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const RATES: [f64; 9] = [0.1, 0.3, 0.5, 1.0, 2.0, 8.0, 65.0, 1_000.0, 10_000.0];
const WINDOWS_S: [u64; 5] = [1, 2, 5, 10, 60];
const LIFETIMES_MS: [u64; 4] = [1, 120, 300, 1_000];

fn settings(window_s: u64, lifetime_ms: u64, shards: u16) -> QuotaSettings {
    QuotaSettings {
        window: window_s * SECOND,
        permit_lifetime: lifetime_ms * MS,
        shards,
    }
}

fn limit(rate_per_s: f64, burst_size: f64) -> QuotaLimit {
    QuotaLimit {
        rate_per_s,
        burst_size,
    }
}

/// Calls `check` for each combination of limit and settings.
fn for_each_limit(mut check: impl FnMut(QuotaLimit, QuotaSettings, Division)) {
    for rate in RATES {
        for burst in [0.0, 0.5, 1.0, 2.0, 4.0, rate, 3.0 * rate, 50.0 * rate] {
            for window in WINDOWS_S {
                for lifetime in LIFETIMES_MS {
                    for shards in [1, 2, 4] {
                        let settings = settings(window, lifetime, shards);
                        let limit = limit(rate, burst);
                        check(limit, settings, Division::of(limit, &settings));
                    }
                }
            }
        }
    }
}

/// Maximum number of requests that all parts together allow within a window: each part grants whole tokens.
fn max_sends(division: Division, settings: &QuotaSettings) -> f64 {
    let span = (settings.window + settings.permit_lifetime) as f64 / 1e9;
    let shape = division.shape;
    let part = (shape.tokens_per_s * span + shape.capacity + 1e-6).floor();
    part * f64::from(division.parts)
}

fn allowed(limit: QuotaLimit, settings: &QuotaSettings) -> f64 {
    limit.rate_per_s * settings.window as f64 / 1e9 + limit.burst_size
}

/// Whether buckets of whole tokens, at no less than half the rate, can stay within the limit. If so, `Division::of`
/// guarantees the limit itself, and otherwise the limit plus one request. Among limits of two requests or more, this is
/// `false` only if the permit lifetime is more than 3/10 of the window.
fn limit_is_guaranteed(limit: QuotaLimit, settings: &QuotaSettings) -> bool {
    let usable_s = (settings.window - settings.permit_lifetime) as f64 / 1e9;
    let permits_are_short = settings.permit_lifetime * 10 <= settings.window * 3;
    let is_large = allowed(limit, settings) >= 2.0 && permits_are_short;
    is_large || limit.rate_per_s * usable_s / 2.0 + limit.burst_size >= 1.0
}

/// Guards against parts that together allow more requests than the limit.
#[test]
fn given_a_limit_of_two_or_more_requests_when_divided_then_all_parts_together_stay_within_it() {
    for_each_limit(|limit, settings, division| {
        let allowed = allowed(limit, &settings);
        let max_sends = max_sends(division, &settings);
        if limit_is_guaranteed(limit, &settings) {
            assert!(
                max_sends <= allowed + 1e-6 * allowed,
                "{limit:?} {settings:?}: {max_sends} sends of {allowed} allowed"
            );
        } else {
            assert!(
                max_sends <= allowed + 1.0,
                "{limit:?} {settings:?}: {max_sends} sends of {allowed} allowed"
            );
        }
    });
}

/// Guards against a part that can never grant a token, and against parts so small that requests find one empty while
/// others are full.
#[test]
fn given_any_limit_when_divided_then_each_part_holds_a_token_and_each_of_several_parts_holds_two() {
    for_each_limit(|_, settings, division| {
        assert!((1..=settings.shards).contains(&division.parts));
        let min_capacity = if division.parts > 1 { 2.0 } else { 1.0 };
        assert!(division.shape.capacity >= min_capacity);
        assert!(division.shape.tokens_per_s > 0.0);
    });
}

/// Guards against a limit that is granted at less than its rate although the burst covers the outstanding permits.
#[test]
fn given_a_burst_that_covers_the_permit_lifetime_when_divided_then_the_parts_have_the_whole_rate() {
    for_each_limit(|limit, settings, division| {
        let rate = division.shape.tokens_per_s * f64::from(division.parts);
        let lifetime_s = settings.permit_lifetime as f64 / 1e9;
        let has_room = limit.burst_size - limit.rate_per_s * lifetime_s >= 1.0;
        assert!(rate <= limit.rate_per_s * (1.0 + 1e-9));
        assert!(rate >= limit.rate_per_s * if has_room { 1.0 - 1e-9 } else { 0.5 });
    });
}

/// Guards against an unnoticed change of the division: the worked example of the design page's deployment.
#[test]
fn given_the_limits_of_the_design_pages_example_when_divided_then_parts_and_capacities_match_it() {
    let settings = settings(5, 200, 4);
    let cases = [
        (limit(2.0, 2.0), 1, 2.0, 1.6),
        (limit(8.0, 8.0), 2, 4.0, 3.2),
        (limit(35.0, 35.0), 4, 8.75, 7.0),
        (limit(65.0, 65.0), 4, 16.25, 13.0),
        (limit(2.0, 0.0), 1, 9.0 / 5.2, 1.0),
    ];
    for (limit, parts, tokens_per_s, capacity) in cases {
        let division = Division::of(limit, &settings);
        assert_eq!(division.parts, parts, "{limit:?}");
        assert!(
            (division.shape.tokens_per_s - tokens_per_s).abs() < 1e-9,
            "{division:?}"
        );
        assert!(
            (division.shape.capacity - capacity).abs() < 1e-9,
            "{division:?}"
        );
    }
}

/// Guards against nodes that look for a part in another shard than its lease holder: the order depends on the tenant
/// alone, and additional parts do not move the existing ones.
#[test]
fn given_a_tenant_when_its_parts_are_placed_then_shards_are_distinct_and_more_parts_keep_the_first_shards()
 {
    let settings = settings(5, 300, 4);
    let shape = Division::of(limit(65.0, 65.0), &settings).shape;
    for tenant in 0..1_000 {
        let tenant = format!("tenant-{tenant}");
        let all_shards = Division { parts: 4, shape }.shards(&tenant, &settings);
        let mut sorted = all_shards.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, [1, 2, 3, 4]);
        for parts in 1..4 {
            let first_shards = Division { parts, shape }.shards(&tenant, &settings);
            assert_eq!(first_shards, all_shards[..usize::from(parts)]);
        }
    }
}

/// Guards against a placement that gives one lease holder the small limits of most tenants.
#[test]
fn given_many_tenants_with_one_part_when_placed_then_no_shard_has_more_than_a_third_of_them() {
    let settings = settings(5, 300, 4);
    let division = Division::of(limit(2.0, 2.0), &settings);
    let mut tenants_per_shard = BTreeMap::new();
    for tenant in 0..4_000 {
        let shards = division.shards(&format!("tenant-{tenant}"), &settings);
        *tenants_per_shard.entry(shards[0]).or_insert(0) += 1;
    }
    assert_eq!(tenants_per_shard.len(), 4);
    assert!(
        tenants_per_shard
            .values()
            .all(|count| (667..=1_333).contains(count)),
        "{tenants_per_shard:?}"
    );
}

/// Guards against a division without parts if the number of shards is not set.
#[test]
fn given_zero_shards_when_a_limit_is_divided_then_it_has_one_part_that_no_shard_holds() {
    let settings = settings(5, 300, 0);
    let division = Division::of(limit(8.0, 8.0), &settings);
    assert_eq!(division.parts, 1);
    assert!(division.shards("a", &settings).is_empty());
}
