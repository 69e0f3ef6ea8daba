//! Rejection of each kind of invalid configuration, sent by PUT and by PATCH.

mod common;

use common::{EXAMPLE, EXAMPLE_PATCH, example, patch, put, route, with_routes};
use sparrouter_config::{ConfigError, Document, Method, RouteTable, change};

/// The errors for one change, sent in a complete configuration and as a patch.
struct BothErrors {
    by_put: ConfigError,
    by_patch: ConfigError,
}

/// Sends an invalid route by PUT and by PATCH, and returns both errors.
fn put_and_patch_errors(invalid: &str) -> BothErrors {
    let good = route("r-good", "h.example", "/good/", r#""service":"a""#);
    let current = put(&with_routes(3, &good)).expect("valid");
    let body = with_routes(5, &format!("{good},{invalid}"));
    let by_put =
        change(Method::Put, body.as_bytes(), Some(3), Some(&current)).expect_err("invalid");
    let body = format!(r#"{{"version":5,"upsert_items":{{"routes":[{invalid}]}}}}"#);
    let by_patch = patch(&body, &current).expect_err("invalid");
    BothErrors { by_put, by_patch }
}

/// Checks the errors for an invalid route, sent by PUT and by PATCH.
fn check_put_and_patch(invalid: &str, is_expected: impl Fn(&ConfigError) -> bool) {
    let BothErrors { by_put, by_patch } = put_and_patch_errors(invalid);
    assert!(is_expected(&by_put), "{by_put}");
    assert!(is_expected(&by_patch), "{by_patch}");
    assert_eq!((by_put.status(), by_patch.status()), (422, 422));
}

macro_rules! assert_put_and_patch_rejected {
    ($invalid:expr, $error:pat) => {
        check_put_and_patch(&$invalid, |error| matches!(error, $error))
    };
}

#[test]
fn given_an_unknown_service_when_sent_then_rejected() {
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", r#""service":"nobody""#),
        ConfigError::UnknownService { .. }
    );
    let split = r#""traffic_split":[{"service":"a","weight":1},{"service":"nobody","weight":0}]"#;
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", split),
        ConfigError::UnknownService { .. }
    );
    let service_and_split = r#""service":"nobody","traffic_split":[{"service":"a","weight":1}]"#;
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", service_and_split),
        ConfigError::UnknownService { .. }
    );
}

#[test]
fn given_a_route_to_a_kv_store_when_sent_then_rejected() {
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", r#""service":"s""#),
        ConfigError::StoreInRoute { .. }
    );
}

#[test]
fn given_two_routes_with_one_host_and_prefix_when_sent_then_rejected() {
    assert_put_and_patch_rejected!(
        route("x", "h.example", "/good/", r#""service":"b""#),
        ConfigError::DuplicatePrefix { .. }
    );
    assert_put_and_patch_rejected!(
        route("x", "H.Example:80", "/good/", r#""service":"b""#),
        ConfigError::DuplicatePrefix { .. }
    );
}

#[test]
fn given_weights_that_are_missing_negative_or_without_a_positive_finite_sum_when_sent_then_rejected()
 {
    let split = r#""traffic_split":[{"service":"a","weight":0},{"service":"b","weight":0.0}]"#;
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", split),
        ConfigError::ZeroWeights { .. }
    );
    let split = r#""traffic_split":[{"service":"a","weight":2},{"service":"b","weight":-1}]"#;
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", split),
        ConfigError::InvalidWeight { .. }
    );
    let split =
        r#""traffic_split":[{"service":"a","weight":1e308},{"service":"b","weight":1e308}]"#;
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", split),
        ConfigError::InvalidWeight { .. }
    );
    let split = r#""traffic_split":[{"service":"a"}]"#;
    assert_put_and_patch_rejected!(route("x", "h", "/x/", split), ConfigError::Missing { .. });
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", r#""traffic_split":[]"#),
        ConfigError::Missing { .. }
    );
}

#[test]
fn given_a_zero_or_invalid_timeout_when_sent_then_rejected() {
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", r#""service":"a","timeout_ms":0"#),
        ConfigError::ZeroTimeout { .. }
    );
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", r#""service":"a","timeout_ms":0.0"#),
        ConfigError::ZeroTimeout { .. }
    );
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", r#""service":"a","timeout_ms":-5"#),
        ConfigError::WrongType { .. }
    );
    assert_put_and_patch_rejected!(
        route("x", "h", "/x/", r#""service":"a","timeout_ms":"5""#),
        ConfigError::WrongType { .. }
    );
}

#[test]
fn given_a_path_prefix_without_a_leading_or_trailing_slash_when_sent_then_rejected() {
    assert_put_and_patch_rejected!(
        route("x", "h", "x/", r#""service":"a""#),
        ConfigError::InvalidPrefix { .. }
    );
    assert_put_and_patch_rejected!(
        route("x", "h", "/x", r#""service":"a""#),
        ConfigError::InvalidPrefix { .. }
    );
}

#[test]
fn given_a_missing_field_or_an_unknown_kind_when_sent_then_rejected_with_the_path_of_the_field() {
    assert_put_and_patch_rejected!(
        r#"{"name":"x","path_prefix":"/x/","service":"a"}"#,
        ConfigError::Missing { .. }
    );
    assert_put_and_patch_rejected!(
        r#"{"name":"x","host":"h","service":"a"}"#,
        ConfigError::Missing { .. }
    );
    assert_put_and_patch_rejected!(
        r#"{"name":"x","host":"h","path_prefix":"/x/"}"#,
        ConfigError::Missing { .. }
    );
    assert_put_and_patch_rejected!(
        r#"{"host":"h","path_prefix":"/x/","service":"a"}"#,
        ConfigError::Missing { .. }
    );
    let kind = route("x", "h", "/x/", r#""service":"a","kind":"sometimes""#);
    assert_put_and_patch_rejected!(kind, ConfigError::UnknownKind { .. });
    let message = put_and_patch_errors(&kind).by_put.to_string();
    assert!(
        message.contains("routes[1] (`x`).kind") && message.contains("sometimes"),
        "{message}"
    );
}

#[test]
fn given_a_version_that_is_not_above_the_current_one_or_invalid_when_sent_then_rejected() {
    let current = example();
    for version in ["7", "6", "0"] {
        let body = EXAMPLE.replacen("7", version, 1);
        let error = change(Method::Put, body.as_bytes(), Some(7), Some(&current)).expect_err("old");
        assert!(
            matches!(error, ConfigError::OldVersion { current: 7, .. }),
            "{error}"
        );
        let body = EXAMPLE_PATCH.replacen("9", version, 1);
        assert!(matches!(
            patch(&body, &current),
            Err(ConfigError::OldVersion { current: 7, .. })
        ));
    }
    assert!(matches!(
        put(&EXAMPLE.replacen("7", "0", 1)),
        Err(ConfigError::OldVersion { .. })
    ));
    for version in ["7.5", "-1", "\"7\"", "null", "18446744073709551616", "[7]"] {
        let error = put(&EXAMPLE.replacen("7", version, 1)).expect_err("not an integer");
        assert_eq!(error.status(), 422, "{version}: {error}");
    }
    assert_eq!(
        put(&EXAMPLE.replacen("7", "18446744073709551615", 1))
            .expect("valid")
            .version,
        u64::MAX
    );
}

#[test]
fn given_an_if_match_that_is_not_the_current_version_when_sent_then_status_412() {
    let current = example();
    for if_match in [None, Some(0), Some(6), Some(8)] {
        for (method, body) in [
            (Method::Put, EXAMPLE.replacen("7", "9", 1)),
            (Method::Patch, EXAMPLE_PATCH.into()),
        ] {
            let error =
                change(method, body.as_bytes(), if_match, Some(&current)).expect_err("stale");
            assert_eq!(
                error,
                ConfigError::Stale {
                    sent: if_match,
                    current: 7
                }
            );
            assert_eq!(error.status(), 412);
        }
    }
    assert_eq!(
        change(Method::Put, EXAMPLE.as_bytes(), Some(5), None).map_err(|r| r.status()),
        Err(412)
    );
    assert!(change(Method::Put, EXAMPLE.as_bytes(), None, None).is_ok());
    let error = change(Method::Patch, EXAMPLE_PATCH.as_bytes(), Some(0), None)
        .expect_err("no configuration to patch");
    assert_eq!((error.status(), error), (422, ConfigError::NothingToPatch));
}

#[test]
fn given_tenants_that_share_an_api_key_when_sent_then_rejected_by_an_error_without_the_key() {
    let key = "i9n73hh2b9wu3fexd9dn";
    let tenant = format!(r#"{{"name":"thief","api_keys":["{key}"]}}"#);
    let by_put = put(&EXAMPLE.replace(r#""tenants":["#, &format!(r#""tenants":[{tenant},"#)))
        .expect_err("shared");
    let body = format!(r#"{{"version":8,"upsert_items":{{"tenants":[{tenant}]}}}}"#);
    let by_patch = patch(&body, &example()).expect_err("shared");
    for error in [by_put, by_patch] {
        assert!(matches!(error, ConfigError::SharedKey { .. }), "{error}");
        assert!(!format!("{error} {error:?}").contains(key));
    }
}

#[test]
fn given_two_items_with_the_same_name_when_sent_then_rejected() {
    let tenant = r#"{"name":"kaje80","api_keys":[]},"#;
    let body = EXAMPLE.replace(r#""tenants":["#, &format!(r#""tenants":[{tenant}"#));
    assert!(matches!(put(&body), Err(ConfigError::DuplicateName { .. })));
    let body = EXAMPLE.replace(r#""services":["#, r#""services":[{"name":"huvo11a"},"#);
    assert!(matches!(put(&body), Err(ConfigError::DuplicateName { .. })));
    let body = EXAMPLE.replace("r-y35ieis", "r-jcda9rg");
    assert!(matches!(put(&body), Err(ConfigError::DuplicateName { .. })));
    let body = r#"{"version":8,"upsert_items":{"services":[{"name":"n"},{"name":"n"}]}}"#;
    assert!(matches!(
        patch(body, &example()),
        Err(ConfigError::DuplicateName { .. })
    ));
}

#[test]
fn given_a_patch_that_removes_a_service_used_by_a_route_when_sent_then_rejected() {
    let body = r#"{"version":8,"remove_names":{"services":["huvo11a"]}}"#;
    assert!(matches!(
        patch(body, &example()),
        Err(ConfigError::UnknownService { .. })
    ));
}

#[test]
fn given_a_patch_with_invalid_structure_when_sent_then_status_422() {
    for body in [
        r#"{"version":8,"upsert_items":[]}"#,
        r#"{"version":8,"upsert_items":{"routes":{}}}"#,
        r#"{"version":8,"upsert_items":{"routes":[7]}}"#,
        r#"{"version":8,"upsert_items":{"routes":[{"name":7}]}}"#,
        r#"{"version":8,"upsert_items":{"version":[]}}"#,
        r#"{"version":8,"upsert_items":{"limits":[]}}"#,
        r#"{"version":8,"remove_names":{"routes":[7]}}"#,
        r#"{"version":8,"remove_names":{"routes":"r-old"}}"#,
        r#"{"version":8,"remove_names":7}"#,
        r#"{"version":8,"upsert_items":{"services":[{"name":"n"}]},"remove_names":{"services":["n"]}}"#,
        r#"{"version":8,"routes":[]}"#,
        r#"{"version":8,"limits":[]}"#,
        r#"{"upsert_items":{}}"#,
    ] {
        let error = patch(body, &example()).expect_err(body);
        assert_eq!(error.status(), 422, "{body}: {error}");
    }
}

/// Guards against a merged document with a duplicate `limits` field, which was rejected as malformed (400) although the patch
/// itself is well-formed.
#[test]
fn given_a_document_without_limits_when_a_patch_has_limits_as_object_and_as_list_then_status_422() {
    let text = r#"{"version":7,"routes":[],"services":[]}"#;
    let current = change(Method::Put, text.as_bytes(), None, None).expect("a valid document");
    let body =
        r#"{"version":8,"limits":{"max_body_bytes":10},"upsert_items":{"limits":[{"name":"n"}]}}"#;
    let error = change(Method::Patch, body.as_bytes(), Some(7), Some(&current))
        .expect_err("limits are not a list");
    assert_eq!(error.status(), 422, "{error}");
}

#[test]
fn given_the_body_of_a_patch_when_sent_by_put_then_rejected_for_the_missing_routes() {
    let error = change(
        Method::Put,
        EXAMPLE_PATCH.as_bytes(),
        Some(7),
        Some(&example()),
    )
    .expect_err("`routes` is missing");
    assert_eq!(
        error,
        ConfigError::Missing {
            path: "routes".to_owned()
        }
    );
}

#[test]
fn given_a_document_stored_under_another_version_than_in_its_text_when_read_then_rejected() {
    let document = Document {
        version: 8,
        ..example()
    };
    assert_eq!(
        RouteTable::read(&document),
        Err(ConfigError::VersionMismatch { stored: 8, text: 7 })
    );
    assert!(
        RouteTable::read(&Document {
            version: 1,
            text: String::new()
        })
        .is_err()
    );
}
