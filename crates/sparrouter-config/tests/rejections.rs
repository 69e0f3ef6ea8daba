//! What is refused: each kind of invalid configuration, by PUT and by PATCH, and bodies that are not whole JSON.

mod common;

use common::{EXAMPLE, EXAMPLE_PATCH, example, patch, put, route, with_routes};
use sparrouter_config::{
    ConfigError, Document, MAX_BYTES, MAX_DEPTH, MAX_VALUES, Method, RouteTable, change,
};

/// The refusal of one bad route, sent in a whole configuration and as a patch.
fn both_ways(bad: &str) -> (ConfigError, ConfigError) {
    let good = route("r-good", "h.example", "/good/", r#""service":"a""#);
    let current = put(&with_routes(3, &good)).expect("valid");
    let body = with_routes(5, &format!("{good},{bad}"));
    let by_put =
        change(Method::Put, body.as_bytes(), Some(3), Some(&current)).expect_err("invalid");
    let body = format!(r#"{{"version":5,"upsert_items":{{"routes":[{bad}]}}}}"#);
    (by_put, patch(&body, &current).expect_err("invalid"))
}

macro_rules! assert_both_ways {
    ($bad:expr, $refusal:pat) => {
        let (by_put, by_patch) = both_ways(&$bad);
        assert!(matches!(by_put, $refusal), "{by_put}");
        assert!(matches!(by_patch, $refusal), "{by_patch}");
        assert_eq!((by_put.status(), by_patch.status()), (422, 422));
    };
}

#[test]
fn given_an_unknown_service_when_sent_then_refused() {
    assert_both_ways!(
        route("x", "h", "/x/", r#""service":"nobody""#),
        ConfigError::UnknownService { .. }
    );
    let split = r#""traffic_split":[{"service":"a","weight":1},{"service":"nobody","weight":0}]"#;
    assert_both_ways!(
        route("x", "h", "/x/", split),
        ConfigError::UnknownService { .. }
    );
    let beside = r#""service":"nobody","traffic_split":[{"service":"a","weight":1}]"#;
    assert_both_ways!(
        route("x", "h", "/x/", beside),
        ConfigError::UnknownService { .. }
    );
}

#[test]
fn given_a_store_in_a_route_when_sent_then_refused() {
    assert_both_ways!(
        route("x", "h", "/x/", r#""service":"s""#),
        ConfigError::StoreInRoute { .. }
    );
}

#[test]
fn given_two_routes_with_one_host_and_prefix_when_sent_then_refused() {
    assert_both_ways!(
        route("x", "h.example", "/good/", r#""service":"b""#),
        ConfigError::SamePlace { .. }
    );
    assert_both_ways!(
        route("x", "H.Example:80", "/good/", r#""service":"b""#),
        ConfigError::SamePlace { .. }
    );
}

#[test]
fn given_weights_without_a_sum_when_sent_then_refused() {
    let split = r#""traffic_split":[{"service":"a","weight":0},{"service":"b","weight":0.0}]"#;
    assert_both_ways!(route("x", "h", "/x/", split), ConfigError::NoWeight { .. });
    let split = r#""traffic_split":[{"service":"a","weight":2},{"service":"b","weight":-1}]"#;
    assert_both_ways!(route("x", "h", "/x/", split), ConfigError::BadWeight { .. });
    let split =
        r#""traffic_split":[{"service":"a","weight":1e308},{"service":"b","weight":1e308}]"#;
    assert_both_ways!(route("x", "h", "/x/", split), ConfigError::BadWeight { .. });
    let split = r#""traffic_split":[{"service":"a"}]"#;
    assert_both_ways!(route("x", "h", "/x/", split), ConfigError::Missing { .. });
    assert_both_ways!(
        route("x", "h", "/x/", r#""traffic_split":[]"#),
        ConfigError::Missing { .. }
    );
}

#[test]
fn given_a_timeout_of_zero_when_sent_then_refused() {
    assert_both_ways!(
        route("x", "h", "/x/", r#""service":"a","timeout_ms":0"#),
        ConfigError::NoTimeout { .. }
    );
    assert_both_ways!(
        route("x", "h", "/x/", r#""service":"a","timeout_ms":0.0"#),
        ConfigError::NoTimeout { .. }
    );
    assert_both_ways!(
        route("x", "h", "/x/", r#""service":"a","timeout_ms":-5"#),
        ConfigError::WrongType { .. }
    );
    assert_both_ways!(
        route("x", "h", "/x/", r#""service":"a","timeout_ms":"5""#),
        ConfigError::WrongType { .. }
    );
}

#[test]
fn given_a_prefix_without_a_slash_at_an_end_when_sent_then_refused() {
    assert_both_ways!(
        route("x", "h", "x/", r#""service":"a""#),
        ConfigError::BadPrefix { .. }
    );
    assert_both_ways!(
        route("x", "h", "/x", r#""service":"a""#),
        ConfigError::BadPrefix { .. }
    );
}

#[test]
fn given_missing_fields_or_unknown_kinds_when_sent_then_refused_by_path() {
    assert_both_ways!(
        r#"{"name":"x","path_prefix":"/x/","service":"a"}"#,
        ConfigError::Missing { .. }
    );
    assert_both_ways!(
        r#"{"name":"x","host":"h","service":"a"}"#,
        ConfigError::Missing { .. }
    );
    assert_both_ways!(
        r#"{"name":"x","host":"h","path_prefix":"/x/"}"#,
        ConfigError::Missing { .. }
    );
    assert_both_ways!(
        r#"{"host":"h","path_prefix":"/x/","service":"a"}"#,
        ConfigError::Missing { .. }
    );
    let kind = route("x", "h", "/x/", r#""service":"a","kind":"sometimes""#);
    assert_both_ways!(kind, ConfigError::UnknownKind { .. });
    let message = both_ways(&kind).0.to_string();
    assert!(
        message.contains("routes[1] (`x`).kind") && message.contains("sometimes"),
        "{message}"
    );
}

#[test]
fn given_an_old_version_when_sent_then_refused() {
    let current = example();
    for version in ["7", "6", "0"] {
        let body = EXAMPLE.replacen("7", version, 1);
        let refusal =
            change(Method::Put, body.as_bytes(), Some(7), Some(&current)).expect_err("old");
        assert!(
            matches!(refusal, ConfigError::OldVersion { current: 7, .. }),
            "{refusal}"
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
        let refusal = put(&EXAMPLE.replacen("7", version, 1)).expect_err("no integer");
        assert_eq!(refusal.status(), 422, "{version}: {refusal}");
    }
    assert_eq!(
        put(&EXAMPLE.replacen("7", "18446744073709551615", 1))
            .expect("valid")
            .version,
        u64::MAX
    );
}

#[test]
fn given_a_stale_if_match_when_sent_then_412() {
    let current = example();
    for if_match in [None, Some(0), Some(6), Some(8)] {
        for (method, body) in [
            (Method::Put, EXAMPLE.replacen("7", "9", 1)),
            (Method::Patch, EXAMPLE_PATCH.into()),
        ] {
            let refusal =
                change(method, body.as_bytes(), if_match, Some(&current)).expect_err("stale");
            assert_eq!(
                refusal,
                ConfigError::Stale {
                    sent: if_match,
                    current: 7
                }
            );
            assert_eq!(refusal.status(), 412);
        }
    }
    assert_eq!(
        change(Method::Put, EXAMPLE.as_bytes(), Some(5), None).map_err(|r| r.status()),
        Err(412)
    );
    assert!(change(Method::Put, EXAMPLE.as_bytes(), None, None).is_ok());
    let refusal =
        change(Method::Patch, EXAMPLE_PATCH.as_bytes(), Some(0), None).expect_err("nothing there");
    assert_eq!(
        (refusal.status(), refusal),
        (422, ConfigError::NothingToPatch)
    );
}

#[test]
fn given_tenants_that_share_a_key_when_sent_then_refused_without_the_key() {
    let key = "i9n73hh2b9wu3fexd9dn";
    let thief = format!(r#"{{"name":"thief","api_keys":["{key}"]}}"#);
    let by_put = put(&EXAMPLE.replace(r#""tenants":["#, &format!(r#""tenants":[{thief},"#)))
        .expect_err("shared");
    let body = format!(r#"{{"version":8,"upsert_items":{{"tenants":[{thief}]}}}}"#);
    let by_patch = patch(&body, &example()).expect_err("shared");
    for refusal in [by_put, by_patch] {
        assert!(
            matches!(refusal, ConfigError::SharedKey { .. }),
            "{refusal}"
        );
        assert!(!format!("{refusal} {refusal:?}").contains(key));
    }
}

#[test]
fn given_two_items_of_one_name_when_sent_then_refused() {
    let tenant = r#"{"name":"kaje80","api_keys":[]},"#;
    let body = EXAMPLE.replace(r#""tenants":["#, &format!(r#""tenants":[{tenant}"#));
    assert!(matches!(put(&body), Err(ConfigError::SharedName { .. })));
    let body = EXAMPLE.replace(r#""services":["#, r#""services":[{"name":"huvo11a"},"#);
    assert!(matches!(put(&body), Err(ConfigError::SharedName { .. })));
    let body = EXAMPLE.replace("r-y35ieis", "r-jcda9rg");
    assert!(matches!(put(&body), Err(ConfigError::SharedName { .. })));
    let body = r#"{"version":8,"upsert_items":{"services":[{"name":"n"},{"name":"n"}]}}"#;
    assert!(matches!(
        patch(body, &example()),
        Err(ConfigError::SharedName { .. })
    ));
}

#[test]
fn given_a_patch_that_takes_a_service_from_its_routes_when_sent_then_refused() {
    let body = r#"{"version":8,"remove_names":{"services":["huvo11a"]}}"#;
    assert!(matches!(
        patch(body, &example()),
        Err(ConfigError::UnknownService { .. })
    ));
}

#[test]
fn given_a_patch_of_a_wrong_shape_when_sent_then_refused() {
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
        let refusal = patch(body, &example()).expect_err(body);
        assert_eq!(refusal.status(), 422, "{body}: {refusal}");
    }
}

#[test]
fn given_a_patch_sent_as_a_put_when_read_then_it_does_not_empty_the_fleet() {
    let refusal = change(
        Method::Put,
        EXAMPLE_PATCH.as_bytes(),
        Some(7),
        Some(&example()),
    )
    .expect_err("no lists");
    assert_eq!(
        refusal,
        ConfigError::Missing {
            at: "routes".to_owned()
        }
    );
}

#[test]
fn given_a_body_cut_short_at_any_byte_when_sent_then_refused() {
    let current = example();
    for end in 0..EXAMPLE.len() {
        let refusal = put(&EXAMPLE[..end]).expect_err("cut short");
        assert!(
            matches!(refusal, ConfigError::Truncated { .. }),
            "{end}: {refusal}"
        );
        assert_eq!(refusal.status(), 400);
    }
    for end in 0..EXAMPLE_PATCH.len() {
        assert!(
            matches!(
                patch(&EXAMPLE_PATCH[..end], &current),
                Err(ConfigError::Truncated { .. })
            ),
            "{end}"
        );
    }
}

#[test]
fn given_bytes_after_the_end_when_sent_then_refused() {
    for after in ["}", "]", "{}", ",", "0", "\"", "\0", "null"] {
        let refusal = put(&format!("{EXAMPLE}{after}")).expect_err(after);
        assert_eq!(refusal.status(), 400, "{after}: {refusal}");
    }
    assert!(put(&format!(" \r\n\t{EXAMPLE} \n")).is_ok());
}

#[test]
fn given_a_field_twice_when_sent_then_refused_at_any_depth() {
    for (from, to) in [
        (r#"{"version":7"#, r#"{"version":6,"version":7"#),
        (r#"{"version":7"#, r#"{"\u0076ersion":6,"version":7"#),
        (r#""slot_count":64"#, r#""slot_count":64,"slot_count":64"#),
        (r#""isolated":true"#, r#""isolated":false,"isolated":true"#),
        (r#""isolated":true"#, r#""x":[[{"y":1,"z":[],"y":1}]]"#),
    ] {
        let refusal = put(&EXAMPLE.replacen(from, to, 1)).expect_err(to);
        assert!(
            matches!(refusal, ConfigError::DuplicateField { .. }),
            "{refusal}"
        );
    }
    // The same name as a value, in a sibling object or in a nested object is no duplicate.
    let apart = r#""isolated":true,"x":[{"y":"y"},{"y":{"y":["y","y"]}}]"#;
    assert!(put(&EXAMPLE.replacen(r#""isolated":true"#, apart, 1)).is_ok());
}

#[test]
fn given_deep_nesting_when_sent_then_refused_before_it_is_parsed() {
    for bomb in ["[".repeat(100_000), "{\"a\":".repeat(100_000)] {
        assert!(matches!(put(&bomb), Err(ConfigError::TooDeep { .. })));
    }
    let nested = |depth: usize| {
        let inner = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        EXAMPLE.replacen(
            r#"{"version":7"#,
            &format!(r#"{{"x":{inner},"version":7"#),
            1,
        )
    };
    assert!(put(&nested(MAX_DEPTH - 1)).is_ok());
    assert!(matches!(
        put(&nested(MAX_DEPTH)),
        Err(ConfigError::TooDeep { .. })
    ));
}

#[test]
fn given_too_many_bytes_or_values_when_sent_then_413() {
    let refusal = put(&format!("{EXAMPLE}{}", " ".repeat(MAX_BYTES))).expect_err("too large");
    assert_eq!(
        (
            refusal.status(),
            matches!(refusal, ConfigError::TooLarge { .. })
        ),
        (413, true)
    );
    let refusal = put(&format!("[{}", "0,".repeat(MAX_VALUES))).expect_err("too many");
    assert_eq!(
        (
            refusal.status(),
            matches!(refusal, ConfigError::TooManyValues { .. })
        ),
        (413, true)
    );
    // A patch may not make the configuration larger than a PUT may be.
    let fat = format!(r#"{{"name":"fat","x":"{}"}}"#, "x".repeat(MAX_BYTES / 2));
    let current = patch(
        &format!(r#"{{"version":8,"upsert_items":{{"services":[{fat}]}}}}"#),
        &example(),
    );
    let current = current.expect("below the bound");
    let more = fat.replacen("fat", "more", 1);
    let refusal = patch(
        &format!(r#"{{"version":9,"upsert_items":{{"services":[{more}]}}}}"#),
        &current,
    );
    assert_eq!(refusal.map_err(|r| r.status()), Err(413));
}

#[test]
fn given_numbers_out_of_range_when_sent_then_refused_without_a_panic() {
    for number in [
        "1e999",
        "-1e999",
        &"9".repeat(100_000),
        "1e99999999999999999999",
        "01",
        "+1",
        ".5",
        "1.",
        "-",
    ] {
        let refusal = put(&EXAMPLE.replacen("390", number, 1)).expect_err(number);
        assert_eq!(refusal.status(), 400, "{refusal}");
    }
    for number in [
        "4294967296",
        "1e300",
        "-1",
        "0.5",
        "18446744073709551616",
        "true",
        "\"390\"",
        "[390]",
    ] {
        let refusal = put(&EXAMPLE.replacen("390", number, 1)).expect_err(number);
        assert!(
            matches!(refusal, ConfigError::WrongType { .. }),
            "{number}: {refusal}"
        );
    }
    for number in [
        "390.0",
        "39e1",
        "0",
        "-0",
        "null",
        "1e-99999999999",
        "4294967295",
    ] {
        assert!(put(&EXAMPLE.replacen("390", number, 1)).is_ok(), "{number}");
    }
}

#[test]
fn given_broken_strings_when_sent_then_refused() {
    for bad in [
        r"\ud800",
        r"\udc00",
        r"\ud800\ud800",
        r"\ud800x",
        r"\u12",
        r"\x",
        "\u{1}",
        "\n",
    ] {
        let body = EXAMPLE.replacen("nyali-hall", bad, 1);
        assert_eq!(put(&body).map_err(|r| r.status()), Err(400), "{bad:?}");
        let body = EXAMPLE.replacen(r#""zone""#, &format!("\"{bad}\""), 1);
        assert_eq!(
            put(&body).map_err(|r| r.status()),
            Err(400),
            "{bad:?} as a key"
        );
    }
    assert!(put(&EXAMPLE.replacen("nyali-hall", r"\ud83d\ude00 \u0000 \\ \/", 1)).is_ok());
    let mut body = EXAMPLE.as_bytes().to_vec();
    body[3] = 0xff;
    assert_eq!(
        change(Method::Put, &body, Some(0), None),
        Err(ConfigError::NotUtf8 { at: 3 })
    );
}

#[test]
fn given_tokens_that_would_join_without_white_space_when_sent_then_refused() {
    for bad in ["1 2", "tr ue", "3 90", "- 1", "\"a\" \"b\"", "390 null"] {
        assert_eq!(
            put(&EXAMPLE.replacen("390", bad, 1)),
            Err(ConfigError::Malformed),
            "{bad}"
        );
    }
    for bad in [
        "[1,]",
        "[,1]",
        "{\"a\":1,}",
        "{\"a\"}",
        "{1:2}",
        "[1:2]",
        "{\"a\":1]",
        "[1}",
        "NaN",
        "é",
    ] {
        assert_eq!(
            put(&EXAMPLE.replacen("390", bad, 1)).map_err(|r| r.status()),
            Err(400),
            "{bad}"
        );
    }
}

#[test]
fn given_random_bit_flips_when_sent_then_no_panic_and_accepted_documents_can_be_read() {
    let mut random = fastrand::Rng::with_seed(11);
    let current = example();
    let mut taken = 0;
    for _ in 0..20_000 {
        let (method, text) = if random.bool() {
            (Method::Put, EXAMPLE)
        } else {
            (Method::Patch, EXAMPLE_PATCH)
        };
        let mut body = text.as_bytes().to_vec();
        for _ in 0..random.usize(1..4) {
            let at = random.usize(..body.len());
            match random.u8(..3) {
                0 => body[at] = *random.choice(b"{}[]\",:\\0e-. \xff").expect("not empty"),
                1 => drop(body.remove(at)),
                _ => body.insert(at, text.as_bytes()[random.usize(..text.len())]),
            }
        }
        if let Ok(document) = change(method, &body, Some(7), Some(&current)) {
            assert_eq!(
                RouteTable::read(&document).expect("readable").version,
                document.version
            );
            taken += 1;
        }
    }
    assert!(taken > 100, "{taken}");
}

#[test]
fn given_a_document_under_another_number_when_read_then_refused() {
    let document = Document {
        version: 8,
        ..example()
    };
    assert_eq!(
        RouteTable::read(&document),
        Err(ConfigError::Misfiled { filed: 8, text: 7 })
    );
    assert!(
        RouteTable::read(&Document {
            version: 1,
            text: String::new()
        })
        .is_err()
    );
}
