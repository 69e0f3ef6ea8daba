//! Bodies that are rejected before their fields are read: incomplete or invalid JSON, or beyond a size limit.

mod common;

use common::{EXAMPLE, EXAMPLE_PATCH, example, patch, put};
use sparrouter_config::{
    ConfigError, MAX_BYTES, MAX_DEPTH, MAX_VALUES, Method, RouteTable, change,
};

#[test]
fn given_a_body_truncated_at_any_byte_when_sent_then_rejected() {
    let current = example();
    for end in 0..EXAMPLE.len() {
        let error = put(&EXAMPLE[..end]).expect_err("truncated");
        assert!(
            matches!(error, ConfigError::Truncated { .. }),
            "{end}: {error}"
        );
        assert_eq!(error.status(), 400);
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
fn given_bytes_after_the_json_value_when_sent_then_rejected() {
    for suffix in ["}", "]", "{}", ",", "0", "\"", "\0", "null"] {
        let error = put(&format!("{EXAMPLE}{suffix}")).expect_err(suffix);
        assert_eq!(error.status(), 400, "{suffix}: {error}");
    }
    assert!(put(&format!(" \r\n\t{EXAMPLE} \n")).is_ok());
}

#[test]
fn given_a_duplicate_field_at_any_depth_when_sent_then_rejected() {
    for (from, to) in [
        (r#"{"version":7"#, r#"{"version":6,"version":7"#),
        (r#"{"version":7"#, r#"{"\u0076ersion":6,"version":7"#),
        (r#""slot_count":64"#, r#""slot_count":64,"slot_count":64"#),
        (r#""isolated":true"#, r#""isolated":false,"isolated":true"#),
        (r#""isolated":true"#, r#""x":[[{"y":1,"z":[],"y":1}]]"#),
    ] {
        let error = put(&EXAMPLE.replacen(from, to, 1)).expect_err(to);
        assert!(
            matches!(error, ConfigError::DuplicateField { .. }),
            "{error}"
        );
    }
    // A field name that recurs as a value, in a sibling object or in a nested object is not a duplicate.
    let distinct = r#""isolated":true,"x":[{"y":"y"},{"y":{"y":["y","y"]}}]"#;
    assert!(put(&EXAMPLE.replacen(r#""isolated":true"#, distinct, 1)).is_ok());
}

#[test]
fn given_nesting_beyond_the_depth_limit_when_sent_then_rejected_before_parsing() {
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
fn given_more_bytes_or_values_than_the_limit_when_sent_then_status_413() {
    let error = put(&format!("{EXAMPLE}{}", " ".repeat(MAX_BYTES))).expect_err("too large");
    assert_eq!(
        (
            error.status(),
            matches!(error, ConfigError::TooLarge { .. })
        ),
        (413, true)
    );
    let error = put(&format!("[{}", "0,".repeat(MAX_VALUES))).expect_err("too many");
    assert_eq!(
        (
            error.status(),
            matches!(error, ConfigError::TooManyValues { .. })
        ),
        (413, true)
    );
    // A patch must not make the configuration larger than a PUT may be.
    let large_service = format!(r#"{{"name":"fat","x":"{}"}}"#, "x".repeat(MAX_BYTES / 2));
    let current = patch(
        &format!(r#"{{"version":8,"upsert_items":{{"services":[{large_service}]}}}}"#),
        &example(),
    );
    let current = current.expect("below the size limit");
    let second_service = large_service.replacen("fat", "more", 1);
    let error = patch(
        &format!(r#"{{"version":9,"upsert_items":{{"services":[{second_service}]}}}}"#),
        &current,
    );
    assert_eq!(error.map_err(|r| r.status()), Err(413));
}

#[test]
fn given_malformed_or_out_of_range_numbers_when_sent_then_rejected_without_a_panic() {
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
        let error = put(&EXAMPLE.replacen("390", number, 1)).expect_err(number);
        assert_eq!(error.status(), 400, "{error}");
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
        let error = put(&EXAMPLE.replacen("390", number, 1)).expect_err(number);
        assert!(
            matches!(error, ConfigError::WrongType { .. }),
            "{number}: {error}"
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
fn given_invalid_escapes_or_utf8_when_sent_then_rejected() {
    for invalid in [
        r"\ud800",
        r"\udc00",
        r"\ud800\ud800",
        r"\ud800x",
        r"\u12",
        r"\x",
        "\u{1}",
        "\n",
    ] {
        let body = EXAMPLE.replacen("nyali-hall", invalid, 1);
        assert_eq!(put(&body).map_err(|r| r.status()), Err(400), "{invalid:?}");
        let body = EXAMPLE.replacen(r#""zone""#, &format!("\"{invalid}\""), 1);
        assert_eq!(
            put(&body).map_err(|r| r.status()),
            Err(400),
            "{invalid:?} as a key"
        );
    }
    assert!(put(&EXAMPLE.replacen("nyali-hall", r"\ud83d\ude00 \u0000 \\ \/", 1)).is_ok());
    let mut body = EXAMPLE.as_bytes().to_vec();
    body[3] = 0xff;
    assert_eq!(
        change(Method::Put, &body, Some(0), None),
        Err(ConfigError::NotUtf8 { offset: 3 })
    );
}

#[test]
fn given_invalid_json_that_removing_white_space_could_make_valid_when_sent_then_rejected() {
    for invalid in ["1 2", "tr ue", "3 90", "- 1", "\"a\" \"b\"", "390 null"] {
        assert_eq!(
            put(&EXAMPLE.replacen("390", invalid, 1)),
            Err(ConfigError::Malformed),
            "{invalid}"
        );
    }
    for invalid in [
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
            put(&EXAMPLE.replacen("390", invalid, 1)).map_err(|r| r.status()),
            Err(400),
            "{invalid}"
        );
    }
}

#[test]
fn given_randomly_corrupted_bodies_when_sent_then_no_panic_and_accepted_documents_are_readable() {
    let mut random = fastrand::Rng::with_seed(11);
    let current = example();
    let mut accepted = 0;
    for _ in 0..20_000 {
        let (method, text) = if random.bool() {
            (Method::Put, EXAMPLE)
        } else {
            (Method::Patch, EXAMPLE_PATCH)
        };
        let mut body = text.as_bytes().to_vec();
        for _ in 0..random.usize(1..4) {
            let offset = random.usize(..body.len());
            match random.u8(..3) {
                0 => body[offset] = *random.choice(b"{}[]\",:\\0e-. \xff").expect("not empty"),
                1 => drop(body.remove(offset)),
                _ => body.insert(offset, text.as_bytes()[random.usize(..text.len())]),
            }
        }
        if let Ok(document) = change(method, &body, Some(7), Some(&current)) {
            assert_eq!(
                RouteTable::read(&document).expect("readable").version,
                document.version
            );
            accepted += 1;
        }
    }
    assert!(accepted > 100, "{accepted}");
}
