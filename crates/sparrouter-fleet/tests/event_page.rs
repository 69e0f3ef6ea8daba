//! Parsing of the reply of a server or store to a request for cache events.
use sparrouter_fleet::prefix_cache::event_page::parse;
use sparrouter_prefix_index::BlockChange;

fn key(salted_id: &str) -> u64 {
    sparrouter_rendezvous::hash(salted_id.as_bytes())
}

#[test]
fn given_cache_events_when_parsed_then_blocks_are_keyed_by_salt_and_id_and_small_blocks_have_no_tokens()
 {
    let body = r#"{"epoch":7,"next_page_token":3,"lost_count":false,
        "events":[[1,"+","s:1:","aa",800,"m"],[2,"-","s:1:","bb",63,"m"],[3,"-","s:1:","cc",0,"m"]]}"#;
    let page = parse(body.as_bytes()).expect("an event page");
    assert_eq!((page.epoch, page.next, page.gap), (7, 3, false));
    let cached = |salted_id, tokens| BlockChange {
        key: key(salted_id),
        tokens,
    };
    assert_eq!(
        page.events,
        [
            cached("s:1:/aa", 800),
            cached("s:1:/bb", 0),
            cached("s:1:/cc", 0)
        ]
    );
}

#[test]
fn given_a_lost_count_as_boolean_or_number_when_parsed_then_the_gap_is_recognized() {
    for (lost_count, expected_gap) in [
        ("true", true),
        ("false", false),
        ("4", true),
        ("0", false),
        ("null", false),
    ] {
        let body = format!(
            "{{\"epoch\":7,\"next_page_token\":3,\"lost_count\":{lost_count},\"events\":[]}}"
        );
        assert_eq!(
            parse(body.as_bytes()).expect("an event page").gap,
            expected_gap,
            "{lost_count}"
        );
    }
}

#[test]
fn given_malformed_events_when_parsed_then_they_are_skipped_and_a_malformed_body_is_rejected() {
    let body = r#"{"epoch":7,"next_page_token":3,
        "events":[7,[],[1,"+"],[1,"+",4,"aa",800],[1,"+","s","aa","many"],[2,"+","s","dd",-5],[3,"+","s","ee",1e30]]}"#;
    let events = parse(body.as_bytes()).expect("an event page").events;
    let cached = |salted_id, tokens| BlockChange {
        key: key(salted_id),
        tokens,
    };
    assert_eq!(events, [cached("s/dd", 0), cached("s/ee", u32::MAX)]);
    for malformed_body in [
        "",
        "[]",
        "{\"epoch\":-1,\"next_page_token\":3,\"events\":[]}",
        "{\"epoch\":7}",
    ] {
        assert!(
            parse(malformed_body.as_bytes()).is_none(),
            "{malformed_body}"
        );
    }
    assert!(parse(&[0xff, 0xfe]).is_none());
}
