//! The route table: reading it from a configuration, and lookups in it.

mod common;

use common::{EXAMPLE, example, put, route, table, with_routes};
use sparrouter_config::{Limits, RouteKind, RouteTable};
use std::time::Instant;

/// The name of the route that a request matches.
fn route_name<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table.route(host, path).map(|route| route.name.as_str())
}

#[test]
fn given_the_example_when_read_then_routes_have_the_configured_fields() {
    let table = table(EXAMPLE);
    assert_eq!(table.version, 7);
    let route = &table.routes[0];
    assert_eq!(
        (route.kind, route.timeout_ms, route.target_latency_ms),
        (RouteKind::Streaming, 6000, 600)
    );
    assert_eq!(
        (
            route.priority,
            route.max_attempts,
            route.target_token_interval_ms
        ),
        (1, 1, 250)
    );
    assert_eq!(route.split, [("huvo11a".to_owned(), 100.0)]);
    assert!(route.session_affinity && !route.public_access && !route.is_idempotent());
    assert!(table.routes[1].is_idempotent());
}

#[test]
fn given_the_example_when_read_then_services_limits_and_tenants_have_the_configured_fields() {
    let table = table(EXAMPLE);
    let service = table.service("huvo11a").expect("the service exists");
    let engine = service.engine.as_ref().expect("a model server");
    assert_eq!(
        (engine.slot_count, engine.stride, engine.max_concurrent),
        (64, 4, 12)
    );
    assert_eq!(
        (engine.kv_capacity_tokens, engine.kv_token_bytes),
        (105_990, 163_840)
    );
    assert_eq!(
        (engine.link_mbps, engine.models.as_slice()),
        (550_000.0, &["daka510000".to_owned()][..])
    );
    assert_eq!(
        (
            service.max_connections,
            service.health_check_path.as_deref()
        ),
        (Some(390), Some("/health"))
    );
    assert_eq!(
        (service.protocol.as_str(), service.tls_enabled),
        ("h1", false)
    );
    let store = table
        .service("wuno96b")
        .and_then(|s| s.store.as_ref())
        .expect("a KV store");
    assert_eq!(
        (store.address.to_string(), store.zone.as_str()),
        ("172.20.0.2:8680".into(), "nyali-hall")
    );
    assert_eq!(table.limits, Limits::default());
    let tenant = table
        .tenant_of("n2ctnfzs989anu6wsjnb")
        .expect("the key belongs to a tenant");
    assert_eq!(
        (tenant.name.as_str(), tenant.priority, tenant.isolated),
        ("kaje80", Some(1), true)
    );
    assert!(table.service("nobody").is_none());
}

#[test]
fn given_only_required_fields_when_read_then_optional_fields_have_safe_defaults() {
    let table = table(&with_routes(
        1,
        &route("r", "h", "/", r#""service":"a","kind":null"#),
    ));
    let route = &table.routes[0];
    assert_eq!(
        (route.kind, route.is_idempotent(), route.max_attempts),
        (RouteKind::NonIdempotent, false, 1)
    );
    assert_eq!(
        (route.timeout_ms, route.target_latency_ms, route.priority),
        (30_000, 30_000, 5)
    );
    assert!(!route.public_access && table.tenants.is_empty());
    assert_eq!(table.limits, Limits::default());
}

#[test]
fn given_nested_path_prefixes_when_a_path_is_looked_up_then_the_longest_match_wins() {
    let routes = [
        route("root", "h", "/", r#""service":"a""#),
        route("a", "h", "/a/", r#""service":"a""#),
        route("abc", "h", "/a/b/c/", r#""service":"a""#),
        route("other", "g", "/a/b/", r#""service":"a""#),
    ];
    let table = table(&with_routes(1, &routes.join(",")));
    for (path, name) in [
        ("/", "root"),
        ("/a", "root"),
        ("/a/", "a"),
        ("/a/b/", "a"),
        ("/a/b/c", "a"),
        ("/a/b/c/", "abc"),
        ("/a/b/c/d/e", "abc"),
        ("/a/b/cé/d", "a"),
        ("/a?x=/a/b/c/", "root"),
        ("/a/?x", "a"),
        ("/A/b/c/", "root"),
        ("//a/", "root"),
    ] {
        assert_eq!(route_name(&table, "h", path), Some(name), "{path}");
    }
    assert_eq!(route_name(&table, "g", "/a/"), None);
    assert_eq!(route_name(&table, "g", "/a/b/x"), Some("other"));
    for path in ["", "a/b/", "*", "?/", "é/a/"] {
        assert_eq!(route_name(&table, "h", path), None, "{path}");
    }
    assert_eq!(route_name(&table, "h", &"/".repeat(1 << 20)), Some("root"));
}

#[test]
fn given_a_host_in_another_case_or_with_a_port_when_looked_up_then_the_same_route_is_found() {
    let routes = [
        route("name", "Shop.Example", "/", r#""service":"a""#),
        route("six", "[2001:DB8::1]", "/", r#""service":"a""#),
    ];
    let table = table(&with_routes(1, &routes.join(",")));
    for host in [
        "shop.example",
        "SHOP.EXAMPLE",
        "shop.example:80",
        "Shop.Example:8443",
        " shop.example ",
    ] {
        assert_eq!(route_name(&table, host, "/"), Some("name"), "{host}");
    }
    for host in ["[2001:db8::1]", "[2001:DB8::1]:80"] {
        assert_eq!(route_name(&table, host, "/"), Some("six"), "{host}");
    }
    for host in ["", ":80", "shop.example.evil", "shop", "[", "2001:db8::1"] {
        assert_eq!(route_name(&table, host, "/"), None, "{host}");
    }
    assert_eq!(table.routes[0].host, "Shop.Example");
}

#[test]
fn given_service_weights_when_keys_are_assigned_then_shares_match_weights_and_weight_changes_move_few_keys()
 {
    let split = |version, rest: &str| table(&with_routes(version, &route("r", "h", "/", rest)));
    let before = split(
        1,
        r#""traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}]"#,
    );
    let same = split(
        2,
        r#""traffic_split":[{"service":"b","weight":10},{"service":"a","weight":90}]"#,
    );
    let after = split(
        3,
        r#""traffic_split":[{"service":"a","weight":90},{"service":"b","weight":30}]"#,
    );
    let (mut to_b, mut to_b_after) = (0, 0);
    for key in 0..20_000 {
        let selected = before.routes[0].select_service(key);
        assert_eq!(selected, same.routes[0].select_service(key));
        let next = after.routes[0].select_service(key);
        assert!(
            selected == "a" || next == "b",
            "a key moved away from the service with the raised weight"
        );
        to_b += usize::from(selected == "b");
        to_b_after += usize::from(next == "b");
    }
    assert!((1_800..2_200).contains(&to_b), "{to_b}");
    assert!((4_700..5_300).contains(&to_b_after), "{to_b_after}");
}

#[test]
fn given_zero_weights_and_a_repeated_service_when_read_then_zeros_are_dropped_and_weights_added_up()
{
    let split = r#""service":"b","traffic_split":[{"service":"a","weight":1},{"service":"b","weight":0},{"service":"a","weight":2.5}]"#;
    let table = table(&with_routes(1, &route("r", "h", "/", split)));
    assert_eq!(table.routes[0].split, [("a".to_owned(), 3.5)]);
    assert!((0..100).all(|key| table.routes[0].select_service(key) == "a"));
}

#[test]
fn given_3000_routes_when_looked_up_then_each_is_found() {
    let document_of = |count: usize| {
        let routes: Vec<String> = (0..count)
            .map(|i| {
                let rest = r#""kind":"idempotent","traffic_split":[{"service":"a","weight":3},{"service":"b","weight":1}]"#;
                route(&format!("r{i}"), &format!("h{}.example", i % 50), &format!("/p{i}/q/"), rest)
            })
            .collect();
        put(&with_routes(1, &routes.join(","))).expect("valid")
    };
    let document = document_of(3_000);
    let start = Instant::now();
    let table = RouteTable::read(&document).expect("readable");
    println!(
        "3,000 routes of {} bytes read in {:?}",
        document.text.len(),
        start.elapsed()
    );
    for i in 0..3_000 {
        let host = format!("H{}.example:80", i % 50);
        assert_eq!(
            route_name(&table, &host, &format!("/p{i}/q/rest?x=1")),
            Some(format!("r{i}").as_str())
        );
        assert_eq!(route_name(&table, &host, &format!("/p{i}/")), None);
    }
    let document = document_of(12_000);
    let start = Instant::now();
    assert_eq!(
        RouteTable::read(&document).expect("readable").routes.len(),
        12_000
    );
    println!(
        "12,000 routes of {} bytes read in {:?}",
        document.text.len(),
        start.elapsed()
    );
}

#[test]
fn given_one_document_when_read_twice_then_the_tables_are_equal() {
    assert_eq!(RouteTable::read(&example()), RouteTable::read(&example()));
}
