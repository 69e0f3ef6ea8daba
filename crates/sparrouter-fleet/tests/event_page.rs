//! What is read from a server's or store's reply to a request for cache events.
use sparrouter_fleet::prefix_cache::event_page::parse;
use sparrouter_prefix_index::BlockChange;

fn key(of: &str) -> u64 {
    sparrouter_rendezvous::hash(of.as_bytes())
}

#[test]
fn given_events_then_cached_tokens_are_read_by_salt_and_block_and_small_remainders_count_as_none() {
    let body = r#"{"epoch":7,"next_page_token":3,"lost_count":false,
        "events":[[1,"+","s:1:","aa",800,"m"],[2,"-","s:1:","bb",63,"m"],[3,"-","s:1:","cc",0,"m"]]}"#;
    let page = parse(body.as_bytes()).expect("a page");
    assert_eq!((page.epoch, page.next, page.gap), (7, 3, false));
    let cached = |of, tokens| BlockChange {
        key: key(of),
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
fn given_a_gap_in_either_form_then_it_is_read() {
    for (lost, gap) in [
        ("true", true),
        ("false", false),
        ("4", true),
        ("0", false),
        ("null", false),
    ] {
        let body =
            format!("{{\"epoch\":7,\"next_page_token\":3,\"lost_count\":{lost},\"events\":[]}}");
        assert_eq!(parse(body.as_bytes()).expect("a page").gap, gap, "{lost}");
    }
}

#[test]
fn given_malformed_events_then_they_are_skipped_and_a_malformed_body_is_none() {
    let body = r#"{"epoch":7,"next_page_token":3,
        "events":[7,[],[1,"+"],[1,"+",4,"aa",800],[1,"+","s","aa","many"],[2,"+","s","dd",-5],[3,"+","s","ee",1e30]]}"#;
    let events = parse(body.as_bytes()).expect("a page").events;
    let cached = |of, tokens| BlockChange {
        key: key(of),
        tokens,
    };
    assert_eq!(events, [cached("s/dd", 0), cached("s/ee", u32::MAX)]);
    for bad in [
        "",
        "[]",
        "{\"epoch\":-1,\"next_page_token\":3,\"events\":[]}",
        "{\"epoch\":7}",
    ] {
        assert!(parse(bad.as_bytes()).is_none(), "{bad}");
    }
    assert!(parse(&[0xff, 0xfe]).is_none());
}
