//! The documents that a PUT and a PATCH result in.

mod common;

use common::{EXAMPLE, EXAMPLE_PATCH, example, patch, put};
use sparrouter_config::{Method, Table, change, digest_of_request};

#[test]
fn given_the_example_when_put_then_it_comes_back_as_sent() {
    let document = example();
    assert_eq!((document.version, document.text.as_str()), (7, EXAMPLE));
    assert_eq!(document.digest(), example().digest());
}

#[test]
fn given_white_space_when_put_then_only_that_between_tokens_is_dropped() {
    let spaced = EXAMPLE
        .replace("{\"name\"", " {\r\n\t\"name\" ")
        .replace("\":", "\" : ")
        .replace(",", " ,\n");
    assert_eq!(put(&spaced).expect("valid").text, EXAMPLE);
    let inside = EXAMPLE.replace("nyali-hall", "nyali  hall, \\\" { [ ");
    assert_eq!(put(&inside).expect("valid").text, inside);
}

#[test]
fn given_numbers_that_a_parser_would_round_when_put_and_patched_then_their_digits_are_kept() {
    let odd =
        r#""x":[0.30000000000000004,12345678901234567890123,-0,1E2,550000.0,9007199254740993.0]"#;
    let body = EXAMPLE.replacen(r#""isolated":true"#, odd, 1);
    let document = put(&body).expect("valid");
    assert_eq!(document.text, body);
    assert!(
        patch(EXAMPLE_PATCH, &document)
            .expect("valid")
            .text
            .contains(odd)
    );
}

#[test]
fn given_the_example_when_patched_with_the_example_then_only_the_number_changes() {
    let document = patch(EXAMPLE_PATCH, &example()).expect("valid");
    assert_eq!(
        (document.version, document.text),
        (9, EXAMPLE.replacen("7", "9", 1))
    );
}

#[test]
fn given_unknown_fields_when_patched_then_they_survive() {
    let body = EXAMPLE
        .replacen(
            r#""version":7"#,
            r#""note":{"by":"me"},"version":7,"wid\"gets":[{"name":"w","deep":[[1]]}]"#,
            1,
        )
        .replacen(
            r#""isolated":true"#,
            r#""isolated":true,"plan":{"gold":null}"#,
            1,
        );
    let change = r#"{"version":8,"new":1,"upsert_items":{"services":[{"name":"extra","k":[1]}],"quotas":[{"name":"q"}]}}"#;
    let document = patch(change, &put(&body).expect("valid")).expect("valid");
    for kept in [
        r#""note":{"by":"me"}"#,
        r#""wid\"gets":[{"name":"w","deep":[[1]]}]"#,
        r#""plan":{"gold":null}"#,
        r#",{"name":"extra","k":[1]}]"#,
        r#""quotas":[{"name":"q"}]"#,
    ] {
        assert!(document.text.contains(kept), "{kept} in {}", document.text);
    }
    assert_eq!(
        document,
        patch(change, &put(&body).expect("valid")).expect("valid")
    );
}

#[test]
fn given_items_of_each_list_when_patched_then_replaced_in_place_added_last_and_removed() {
    let change = r#"{"version":12,
        "upsert_items":{
            "routes":[{"name":"r-new","host":"new.example","path_prefix":"/","service":"fresh"},
                      {"name":"r-jcda9rg","host":"ficu95.example","path_prefix":"/moved/","service":"huvo11a"}],
            "services":[{"name":"fresh"}],
            "tenants":[{"name":"other","api_keys":["k"]}]},
        "remove_names":{"routes":["r-y35ieis","r-never"],"services":["wuno96b"],"tenants":["kaje80"],"none":["x"]},
        "limits":{"max_body_bytes":10}}"#;
    let table = Table::read(&patch(change, &example()).expect("valid")).expect("readable");
    let names: Vec<&str> = table.routes.iter().map(|r| r.name.as_str()).collect();
    assert_eq!(names, ["r-jcda9rg", "r-new"]);
    let names: Vec<&str> = table.services.iter().map(|s| s.name.as_str()).collect();
    assert_eq!(names, ["huvo11a", "fresh"]);
    assert!(table.tenant_of("k").is_some() && table.tenant_of("i9n73hh2b9wu3fexd9dn").is_none());
    assert_eq!(
        (table.limits.max_body_bytes, table.limits.idle_timeout_ms),
        (10, 15_000)
    );
    assert!(table.route("ficu95.example", "/lohu930/2f").is_none());
    assert_eq!(
        table
            .route("ficu95.example", "/moved/x")
            .map(|r| r.priority),
        Some(5)
    );
}

#[test]
fn given_a_replaced_item_when_patched_then_no_field_of_the_old_one_stays() {
    let change =
        r#"{"version":8,"upsert_items":{"tenants":[{"name":"kaje80","api_keys":["new"]}]}}"#;
    let table = Table::read(&patch(change, &example()).expect("valid")).expect("readable");
    assert_eq!(
        (table.tenants[0].priority, table.tenants[0].isolated),
        (None, false)
    );
}

#[test]
fn given_keys_moved_between_tenants_when_patched_then_each_belongs_to_its_new_tenant() {
    let (moved, kept) = ("i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb");
    let change = format!(
        r#"{{"version":8,"upsert_items":{{"tenants":[{{"name":"other","api_keys":["{moved}"]}},{{"name":"kaje80","api_keys":["{kept}","{kept}"]}}]}}}}"#
    );
    let table = Table::read(&patch(&change, &example()).expect("valid")).expect("readable");
    assert_eq!(
        table.tenant_of(moved).map(|t| t.name.as_str()),
        Some("other")
    );
    assert_eq!(
        table.tenant_of(kept).map(|t| t.name.as_str()),
        Some("kaje80")
    );
    assert!(table.tenant_of("").is_none() && table.tenant_of("kaje80").is_none());
}

#[test]
fn given_two_changes_on_one_version_when_sent_then_the_second_is_stale() {
    let first = patch(EXAMPLE_PATCH, &example()).expect("valid");
    let body = EXAMPLE_PATCH.replacen("9", "11", 1);
    let second = change(Method::Patch, body.as_bytes(), Some(7), Some(&first));
    assert_eq!(second.map_err(|r| r.status()), Err(412));
}

#[test]
fn given_a_request_when_digested_then_method_and_every_byte_count() {
    let digest = digest_of_request(Method::Put, EXAMPLE.as_bytes());
    assert_eq!(digest, digest_of_request(Method::Put, EXAMPLE.as_bytes()));
    assert_ne!(digest, digest_of_request(Method::Patch, EXAMPLE.as_bytes()));
    assert_ne!(
        digest,
        digest_of_request(Method::Put, format!("{EXAMPLE} ").as_bytes())
    );
}
