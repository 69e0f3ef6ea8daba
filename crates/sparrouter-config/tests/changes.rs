//! The documents that result from a PUT and a PATCH.

mod common;

use common::{EXAMPLE, EXAMPLE_PATCH, example, patch, put};
use sparrouter_config::{Method, RouteTable, change, read_order};

#[test]
fn given_the_example_when_put_then_the_document_has_the_text_as_sent() {
    let document = example();
    assert_eq!((document.version, document.text.as_str()), (7, EXAMPLE));
    assert_eq!(document.digest(), example().digest());
}

#[test]
fn given_white_space_when_put_then_it_is_removed_between_tokens_and_kept_in_strings() {
    let spaced = EXAMPLE
        .replace("{\"name\"", " {\r\n\t\"name\" ")
        .replace("\":", "\" : ")
        .replace(",", " ,\n");
    assert_eq!(put(&spaced).expect("valid").text, EXAMPLE);
    let inside = EXAMPLE.replace("nyali-hall", "nyali  hall, \\\" { [ ");
    assert_eq!(put(&inside).expect("valid").text, inside);
}

#[test]
fn given_numbers_that_the_parser_rounds_when_put_and_patched_then_their_digits_are_preserved() {
    let exact_numbers =
        r#""x":[0.30000000000000004,12345678901234567890123,-0,1E2,550000.0,9007199254740993.0]"#;
    let body = EXAMPLE.replacen(r#""isolated":true"#, exact_numbers, 1);
    let document = put(&body).expect("valid");
    assert_eq!(document.text, body);
    assert!(
        patch(EXAMPLE_PATCH, &document)
            .expect("valid")
            .text
            .contains(exact_numbers)
    );
}

#[test]
fn given_the_example_when_patched_with_identical_items_then_only_the_version_changes() {
    let document = patch(EXAMPLE_PATCH, &example()).expect("valid");
    assert_eq!(
        (document.version, document.text),
        (9, EXAMPLE.replacen("7", "9", 1))
    );
}

#[test]
fn given_unknown_fields_when_patched_then_they_are_preserved() {
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
    for preserved in [
        r#""note":{"by":"me"}"#,
        r#""wid\"gets":[{"name":"w","deep":[[1]]}]"#,
        r#""plan":{"gold":null}"#,
        r#",{"name":"extra","k":[1]}]"#,
        r#""quotas":[{"name":"q"}]"#,
    ] {
        assert!(
            document.text.contains(preserved),
            "{preserved} in {}",
            document.text
        );
    }
    assert_eq!(
        document,
        patch(change, &put(&body).expect("valid")).expect("valid")
    );
}

#[test]
fn given_items_of_each_list_when_patched_then_they_are_replaced_in_place_appended_and_removed() {
    let change = r#"{"version":12,
        "upsert_items":{
            "routes":[{"name":"r-new","host":"new.example","path_prefix":"/","service":"fresh"},
                      {"name":"r-jcda9rg","host":"ficu95.example","path_prefix":"/moved/","service":"huvo11a"}],
            "services":[{"name":"fresh"}],
            "tenants":[{"name":"other","api_keys":["k"]}]},
        "remove_names":{"routes":["r-y35ieis","r-never"],"services":["wuno96b"],"tenants":["kaje80"],"none":["x"]},
        "limits":{"max_body_bytes":10}}"#;
    let table = RouteTable::read(&patch(change, &example()).expect("valid")).expect("readable");
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
fn given_an_item_when_replaced_by_patch_then_no_field_of_the_old_item_remains() {
    let change =
        r#"{"version":8,"upsert_items":{"tenants":[{"name":"kaje80","api_keys":["new"]}]}}"#;
    let table = RouteTable::read(&patch(change, &example()).expect("valid")).expect("readable");
    assert_eq!(
        (table.tenants[0].priority, table.tenants[0].isolated),
        (None, false)
    );
}

#[test]
fn given_an_api_key_moved_to_another_tenant_when_patched_then_it_identifies_the_new_tenant() {
    let (moved, unmoved) = ("i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb");
    let change = format!(
        r#"{{"version":8,"upsert_items":{{"tenants":[{{"name":"other","api_keys":["{moved}"]}},{{"name":"kaje80","api_keys":["{unmoved}","{unmoved}"]}}]}}}}"#
    );
    let table = RouteTable::read(&patch(&change, &example()).expect("valid")).expect("readable");
    assert_eq!(
        table.tenant_of(moved).map(|t| t.name.as_str()),
        Some("other")
    );
    assert_eq!(
        table.tenant_of(unmoved).map(|t| t.name.as_str()),
        Some("kaje80")
    );
    assert!(table.tenant_of("").is_none() && table.tenant_of("kaje80").is_none());
}

#[test]
fn given_two_changes_based_on_one_version_when_sent_then_the_second_is_stale() {
    let first = patch(EXAMPLE_PATCH, &example()).expect("valid");
    let body = EXAMPLE_PATCH.replacen("9", "11", 1);
    let second = change(Method::Patch, body.as_bytes(), Some(7), Some(&first));
    assert_eq!(second.map_err(|r| r.status()), Err(412));
}

fn order(method: Method, body: &str, base: u64) -> sparrouter_config::Order {
    read_order(method, body.as_bytes(), Some(base)).expect("an object with a version")
}

#[test]
fn given_two_orders_when_method_base_version_or_any_byte_of_the_text_differs_then_their_digests_differ()
 {
    let known = order(Method::Put, EXAMPLE, 5);
    assert_eq!(known, order(Method::Put, EXAMPLE, 5));
    assert_eq!((known.base, known.version), (5, 7));
    let others = [
        order(Method::Patch, EXAMPLE, 5),
        order(Method::Put, EXAMPLE, 4),
        order(Method::Put, &EXAMPLE.replacen('7', "8", 1), 5),
    ];
    for other in others {
        assert_ne!(known.digest, other.digest);
    }
    for (offset, byte) in EXAMPLE.bytes().enumerate() {
        let mut body = EXAMPLE.as_bytes().to_vec();
        body[offset] = if byte == b'1' { b'2' } else { b'1' };
        // A malformed body has no digest.
        if let Ok(other) = read_order(Method::Put, &body, Some(5)) {
            assert_ne!(known.digest, other.digest, "byte {offset}");
        }
    }
}

#[test]
fn given_white_space_when_an_order_is_digested_then_only_white_space_in_strings_is_significant() {
    let known = order(Method::Put, "{\"version\":2,\"note\":\"a b\"}", 1);
    let spaced = order(
        Method::Put,
        " {\n\t\"version\" : 2 ,\r\n \"note\" : \"a b\" } ",
        1,
    );
    assert_eq!(known, spaced);
    let other = order(Method::Put, "{\"version\":2,\"note\":\"a  b\"}", 1);
    assert_ne!(known.digest, other.digest);
}

#[test]
fn given_a_fixed_order_when_digested_then_the_digest_is_the_same_in_every_release() {
    let digest = order(Method::Patch, "{\"version\":2}", 1).digest;
    let hex: String = digest.0.iter().map(|b| format!("{b:02x}")).collect();
    insta::assert_snapshot!(hex, @"d984aa3a37b87d0f317e94f9b2faeb46f0bf1368a69eaa1a0d84cf1cc3034861");
}

#[test]
fn given_an_accepted_change_when_its_order_is_read_then_both_have_the_same_identity() {
    let current = example();
    let accepted = sparrouter_config::accept(
        Method::Patch,
        EXAMPLE_PATCH.as_bytes(),
        Some(7),
        Some(&current),
    );
    let order = order(Method::Patch, EXAMPLE_PATCH, 7);
    assert_eq!(accepted.map(|a| a.order), Ok(order));
}
