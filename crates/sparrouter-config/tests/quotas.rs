//! Tenant quotas: reading and validation of `rate_per_s` and `burst_size` in a PUT and in a PATCH.

mod common;

use common::{example, patch, put, table};
use sparrouter_config::{ConfigError, Document, RouteTable, TenantQuota};

/// A configuration with the tenant `t`. `fields` contains the tenant's other fields, each preceded by a comma.
fn with_tenant(fields: &str) -> String {
    format!(
        r#"{{"version":7,"routes":[],"services":[],"tenants":[{{"name":"t","api_keys":["k"]{fields}}}]}}"#
    )
}

/// A patch with version number `version` that upserts the tenant `t`.
fn upsert(version: u64, fields: &str) -> String {
    format!(
        r#"{{"version":{version},"upsert_items":{{"tenants":[{{"name":"t","api_keys":["k"]{fields}}}]}}}}"#
    )
}

/// The quota of the tenant with the key `k`.
fn quota_of(document: &Document) -> Option<TenantQuota> {
    let table = RouteTable::read(document).expect("readable");
    table.tenant_of("k").expect("the tenant exists").quota
}

fn quota(rate_per_s: f64, burst_size: f64) -> Option<TenantQuota> {
    Some(TenantQuota {
        rate_per_s,
        burst_size,
    })
}

/// The quota of a tenant with these fields when sent by PUT. Checks that a PATCH results in the same quota.
fn quota_by_put_and_patch(fields: &str) -> Option<TenantQuota> {
    let by_put = quota_of(&put(&with_tenant(fields)).expect(fields));
    let without = put(&with_tenant("")).expect("valid");
    let by_patch = quota_of(&patch(&upsert(8, fields), &without).expect(fields));
    assert_eq!(by_put, by_patch, "{fields}");
    by_put
}

/// The error for a tenant with these fields. Checks that PUT and PATCH return the same error.
fn error_by_put_and_patch(fields: &str) -> ConfigError {
    let by_put = put(&with_tenant(fields)).expect_err(fields);
    let by_patch = patch(&upsert(8, fields), &put(&with_tenant("")).expect("valid"));
    assert_eq!(by_patch.expect_err(fields), by_put, "{fields}");
    by_put
}

/// Guards against rejecting all requests of a tenant whose configuration sets no limit.
#[test]
fn given_an_absent_or_zero_rate_when_read_then_the_tenant_has_no_quota() {
    for fields in [
        "",
        r#","rate_per_s":0"#,
        r#","rate_per_s":0.0"#,
        r#","rate_per_s":-0"#,
        r#","rate_per_s":null,"burst_size":null"#,
        r#","burst_size":20"#,
        r#","rate_per_s":0,"burst_size":20"#,
    ] {
        assert_eq!(quota_by_put_and_patch(fields), None, "{fields}");
    }
    assert!(!table(&with_tenant("")).has_quotas());
    assert!(!RouteTable::read(&example()).expect("readable").has_quotas());
}

/// Guards against rounding a rate or burst, or swapping them.
#[test]
fn given_integers_and_decimals_when_read_then_rate_and_burst_equal_the_sent_values() {
    for (fields, expected) in [
        (r#","rate_per_s":8"#, quota(8.0, 0.0)),
        (r#","rate_per_s":8,"burst_size":0"#, quota(8.0, 0.0)),
        (r#","rate_per_s":8,"burst_size":16"#, quota(8.0, 16.0)),
        (r#","rate_per_s":0.25,"burst_size":1.5"#, quota(0.25, 1.5)),
        (r#","rate_per_s":8E1,"burst_size":1e-3"#, quota(80.0, 0.001)),
        (r#","burst_size":3,"rate_per_s":5e-324"#, quota(5e-324, 3.0)),
    ] {
        assert_eq!(quota_by_put_and_patch(fields), expected, "{fields}");
    }
    assert!(table(&with_tenant(r#","rate_per_s":0.25"#)).has_quotas());
}

/// Guards against a limit that overflows to infinity or wraps around, which would admit all requests or none.
#[test]
fn given_huge_rates_and_bursts_when_read_then_they_are_finite_or_rejected() {
    for (fields, expected) in [
        (
            r#","rate_per_s":18446744073709551615"#,
            quota(18_446_744_073_709_551_615.0, 0.0),
        ),
        (
            r#","rate_per_s":1e308,"burst_size":1e308"#,
            quota(1e308, 1e308),
        ),
    ] {
        assert_eq!(quota_by_put_and_patch(fields), expected, "{fields}");
    }
    for number in ["1e309", "-1e309", "1e99999"] {
        for field in ["rate_per_s", "burst_size"] {
            let fields = format!(r#","rate_per_s":1,"{field}":{number}"#)
                .replace(r#""rate_per_s":1,"rate_per_s""#, r#""rate_per_s""#);
            let status = error_by_put_and_patch(&fields).status();
            assert!([400, 422].contains(&status), "{fields}: {status}");
        }
    }
}

/// Guards against ignoring an invalid limit, which would leave the tenant without a quota.
#[test]
fn given_a_rate_or_burst_that_is_not_a_number_of_0_or_more_when_sent_then_the_error_has_path_and_remedy()
 {
    let values = [
        r#""8""#, r#""""#, "true", "[8]", "{}", "-1", "-0.5", "-1e300",
    ];
    let mut messages = Vec::new();
    for field in ["rate_per_s", "burst_size"] {
        for value in values {
            let error = error_by_put_and_patch(&format!(r#","{field}":{value}"#));
            assert_eq!(error.status(), 422, "{field} {value}");
            messages.push(format!("{value}: {error}"));
        }
    }
    insta::assert_snapshot!(messages.join("\n"), @r#"
    "8": tenants[0] (`t`).rate_per_s is not a number: correct it
    "": tenants[0] (`t`).rate_per_s is not a number: correct it
    true: tenants[0] (`t`).rate_per_s is not a number: correct it
    [8]: tenants[0] (`t`).rate_per_s is not a number: correct it
    {}: tenants[0] (`t`).rate_per_s is not a number: correct it
    -1: tenants[0] (`t`).rate_per_s is not a number of 0 or more: correct it
    -0.5: tenants[0] (`t`).rate_per_s is not a number of 0 or more: correct it
    -1e300: tenants[0] (`t`).rate_per_s is not a number of 0 or more: correct it
    "8": tenants[0] (`t`).burst_size is not a number: correct it
    "": tenants[0] (`t`).burst_size is not a number: correct it
    true: tenants[0] (`t`).burst_size is not a number: correct it
    [8]: tenants[0] (`t`).burst_size is not a number: correct it
    {}: tenants[0] (`t`).burst_size is not a number: correct it
    -1: tenants[0] (`t`).burst_size is not a number of 0 or more: correct it
    -0.5: tenants[0] (`t`).burst_size is not a number of 0 or more: correct it
    -1e300: tenants[0] (`t`).burst_size is not a number of 0 or more: correct it
    "#);
}

/// Guards against a quota that survives its change or removal, or cannot be set again after removal.
#[test]
fn given_a_quota_when_changed_removed_and_set_again_then_each_document_has_the_last_sent_quota() {
    let steps = [
        (r#","rate_per_s":8,"burst_size":4"#, quota(8.0, 4.0)),
        (r#","rate_per_s":2,"burst_size":4"#, quota(2.0, 4.0)),
        // A PATCH replaces an item completely, so the old burst is dropped.
        (r#","rate_per_s":2"#, quota(2.0, 0.0)),
        ("", None),
        (r#","rate_per_s":0,"burst_size":4"#, None),
        (r#","rate_per_s":8,"burst_size":4"#, quota(8.0, 4.0)),
    ];
    let mut document = put(&with_tenant("")).expect("valid");
    for (version, (fields, expected)) in (8..).zip(steps) {
        document = patch(&upsert(version, fields), &document).expect(fields);
        assert_eq!(quota_of(&document), expected, "version {version}");
    }
    let removed = r#"{"version":20,"remove_names":{"tenants":["t"]}}"#;
    let document = patch(removed, &document).expect("valid");
    let table = RouteTable::read(&document).expect("readable");
    assert!(!table.has_quotas() && table.tenant_of("k").is_none());
    let again = patch(&upsert(21, r#","rate_per_s":1"#), &document).expect("valid");
    assert_eq!(quota_of(&again), quota(1.0, 0.0));
}

/// Guards against a patch of one tenant that changes the quotas of other tenants.
#[test]
fn given_two_tenants_when_one_is_patched_then_the_other_keeps_its_quota() {
    let body = r#"{"version":7,"routes":[],"services":[],"tenants":[{"name":"t","api_keys":["k"],"rate_per_s":8},{"name":"u","api_keys":["l"],"rate_per_s":3,"burst_size":6}]}"#;
    let document = patch(&upsert(8, ""), &put(body).expect("valid")).expect("valid");
    assert_eq!(quota_of(&document), None);
    let table = RouteTable::read(&document).expect("readable");
    assert_eq!(
        table.tenant_of("l").expect("the tenant exists").quota,
        quota(3.0, 6.0)
    );
    assert!(table.has_quotas());
}
