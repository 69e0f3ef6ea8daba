//! Quota event counts by tenant at one node, and encoding of tenant names in a query string.
use sparrouter_config::{Document, RouteTable};
use sparrouter_fleet::node::ActiveConfiguration;
use sparrouter_fleet::node::tenant_counts::{QuotaEvent, TenantCount, TenantCounts};
use sparrouter_fleet::platform::query;
use std::rc::Rc;

/// An active configuration with these tenants.
fn configuration(version: u64, tenants: &[&str]) -> ActiveConfiguration {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","api_keys":["key-{name}"],"rate_per_s":1}}"#))
        .collect();
    let tenants = tenants.join(",");
    let text =
        format!(r#"{{"version":{version},"routes":[],"services":[],"tenants":[{tenants}]}}"#);
    let table = RouteTable::read(&Document {
        version,
        text: text.clone(),
    });
    ActiveConfiguration {
        slot: version,
        version,
        text: Rc::from(text),
        digest: 0,
        table: Some(Rc::new(table.expect("a valid configuration"))),
        is_readable: true,
    }
}

fn names(counts: &TenantCounts, active: &ActiveConfiguration) -> Vec<String> {
    counts
        .all(active)
        .into_iter()
        .map(|(name, _)| name)
        .collect()
}

/// Guards against events that are counted for the wrong tenant or reason.
#[test]
fn given_quota_events_of_several_tenants_when_read_then_each_tenant_has_its_own_counts_by_reason() {
    let (counts, active) = (TenantCounts::default(), configuration(1, &["a", "b", "c"]));
    for event in [QuotaEvent::Sent, QuotaEvent::Sent, QuotaEvent::Refused] {
        counts.record("b", event, &active);
    }
    counts.record("a", QuotaEvent::Unavailable, &active);
    let count = |sent, refused, unavailable| TenantCount {
        sent,
        refused,
        unavailable,
    };
    let expected = [
        ("a".to_owned(), count(0, 0, 1)),
        ("b".to_owned(), count(2, 1, 0)),
    ];
    assert_eq!(counts.all(&active), expected);
    assert_eq!(
        (counts.of("b"), counts.of("c")),
        (Some(count(2, 1, 0)), None)
    );
}

/// Guards against a leak of entries when operators replace 25,000 tenants each day.
#[test]
fn given_a_new_configuration_when_counts_are_read_or_recorded_then_removed_tenants_are_dropped() {
    let counts = TenantCounts::default();
    let first = configuration(1, &["a", "b", "c"]);
    for tenant in ["a", "b", "c"] {
        counts.record(tenant, QuotaEvent::Sent, &first);
    }
    assert_eq!(names(&counts, &configuration(2, &["b", "c"])), ["b", "c"]);
    counts.record("d", QuotaEvent::Sent, &configuration(3, &["c", "d"]));
    assert_eq!(
        (counts.of("b"), counts.of("d").map(|count| count.sent)),
        (None, Some(1))
    );
    let last = configuration(4, &["a", "c"]);
    assert_eq!(names(&counts, &last), ["c"]);
    counts.record("a", QuotaEvent::Refused, &last);
    assert_eq!(
        counts.of("a").map(|count| (count.sent, count.refused)),
        Some((0, 1))
    );
}

/// Guards against tenants whose counts cannot be queried because of special characters in their names.
#[test]
fn given_tenant_names_with_special_characters_when_encoded_for_a_query_then_they_decode_unchanged()
{
    for name in ["kaje80", "a b&c=d?e#f%20", "лаб/π+\"\\\n", "~._-", ""] {
        let encoded = query::encode(name);
        let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~%".contains(&byte);
        assert!(encoded.bytes().all(is_plain), "{encoded}");
        assert_eq!(query::decode(&encoded).as_deref(), Some(name));
    }
    assert_eq!(query::encode("a b%"), "a%20b%25");
    assert_eq!(query::decode("%e2%82%ac").as_deref(), Some("€"));
    for malformed in ["%", "%4", "a%zz", "%+1", "%ff", "%c3%28"] {
        assert_eq!(query::decode(malformed), None, "{malformed}");
    }
}
