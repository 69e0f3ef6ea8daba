//! What is read from a server's or store's answer to the question for events.
use sparrouter_fleet::prefix_cache::event_follower::page;
use sparrouter_prefix_index::BlockChange;

fn key(of: &str) -> u64 {
    sparrouter_rendezvous::hash(of.as_bytes())
}

#[test]
fn given_events_then_what_is_kept_now_is_read_by_salt_and_part_and_small_rests_count_as_nothing() {
    let told = r#"{"epoch":7,"next_page_token":3,"lost_count":false,
        "events":[[1,"+","s:1:","aa",800,"m"],[2,"-","s:1:","bb",63,"m"],[3,"-","s:1:","cc",0,"m"]]}"#;
    let page = page(told.as_bytes()).expect("an answer");
    assert_eq!((page.epoch, page.next, page.gap), (7, 3, false));
    let kept = |of, tokens| BlockChange {
        key: key(of),
        tokens,
    };
    assert_eq!(
        page.events,
        [kept("s:1:/aa", 800), kept("s:1:/bb", 0), kept("s:1:/cc", 0)]
    );
}

#[test]
fn given_a_gap_in_either_form_then_it_is_seen() {
    for (lost, gap) in [
        ("true", true),
        ("false", false),
        ("4", true),
        ("0", false),
        ("null", false),
    ] {
        let told =
            format!("{{\"epoch\":7,\"next_page_token\":3,\"lost_count\":{lost},\"events\":[]}}");
        assert_eq!(page(told.as_bytes()).expect("an answer").gap, gap, "{lost}");
    }
}

#[test]
fn given_events_that_make_no_sense_then_they_are_passed_over_and_no_answer_is_none() {
    let told = r#"{"epoch":7,"next_page_token":3,
        "events":[7,[],[1,"+"],[1,"+",4,"aa",800],[1,"+","s","aa","many"],[2,"+","s","dd",-5],[3,"+","s","ee",1e30]]}"#;
    let events = page(told.as_bytes()).expect("an answer").events;
    let kept = |of, tokens| BlockChange {
        key: key(of),
        tokens,
    };
    assert_eq!(events, [kept("s/dd", 0), kept("s/ee", u32::MAX)]);
    for bad in [
        "",
        "[]",
        "{\"epoch\":-1,\"next_page_token\":3,\"events\":[]}",
        "{\"epoch\":7}",
    ] {
        assert!(page(bad.as_bytes()).is_none(), "{bad}");
    }
    assert!(page(&[0xff, 0xfe]).is_none());
}
