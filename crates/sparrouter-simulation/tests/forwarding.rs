//! Requests of clients at servers that fail in every way: what may be sent twice, what proves that nothing ran, and
//! that no answer goes to another caller. Each guard has a planted mistake that makes its test fail.
mod scripted;

use bytes::Bytes;
use scripted::{Act, Ask, Got, Servers, answer, declined, success};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::runtime::play;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const NODE: &str = "edge-0";
/// Longer than what the network takes without its reader.
const LONG_BODY: usize = 600 << 10;
const ROUTES: [(&str, bool); 4] = [
    ("/idem/a", true),
    ("/once/a", false),
    ("/stream/a", false),
    ("/resume/a", true),
];

fn long_body() -> Bytes {
    Bytes::from(vec![b'x'; LONG_BODY])
}

fn event(number: u32) -> String {
    format!("id: {number}\ndata: event {number}\n\n")
}

/// A stream in chunks; `last`: it is whole.
fn chunked(events: &[String], last: bool) -> String {
    let mut text =
        "HTTP/1.1 200 OK\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Response-Seal: seal\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
            .to_owned();
    for event in events {
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    if last {
        text.push_str("0\r\n\r\n");
    }
    text
}

fn without_length(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nSparrouter-Attempt-Id: {{id}}\r\nSparrouter-Response-Seal: seal\r\n\r\n{body}"
    )
}

/// Whether a story's check fails under a planted mistake.
fn fails(defect: Defect, story: impl FnOnce() -> bool) -> bool {
    inject(Some(defect));
    let kept = story();
    inject(None);
    !kept
}

/// Three servers with one script, and one request at one node.
async fn one(
    seed: u64,
    script: impl Fn(usize) -> Act + 'static,
    ask: Ask<'_>,
) -> (Rc<Servers>, Got) {
    let cluster = scripted::cluster(seed).await;
    let servers = Servers::start(&cluster, 3, move |_, n| script(n)).await;
    let got = ask.at(&cluster, NODE).await;
    (servers, got)
}

fn promises(got: &Got) -> bool {
    matches!(got.status, 408 | 421 | 429 | 503)
}

#[test]
fn given_a_failure_after_a_byte_was_sent_then_only_repeatable_requests_are_sent_again() {
    let failures = [
        Act::Reset,
        Act::ResetAtHead,
        Act::End,
        Act::AnswerAndEnd("no answer at all\r\n\r\n".to_owned()),
        // Servers' own words of these kinds promise nothing without the field that says so.
        Act::ClientResponse(answer(503, "", "")),
        Act::ClientResponse(answer(429, "", "")),
    ];
    for (index, failure) in failures.into_iter().enumerate() {
        for (path, is_retryable) in ROUTES {
            for body in [Bytes::new(), Bytes::from_static(b"a body"), long_body()] {
                let (failure, size) = (failure.clone(), body.len());
                let (servers, got) = play(one(
                    200 + index as u64,
                    move |_| failure.clone(),
                    Ask {
                        body,
                        ..Ask::new(path, "a1")
                    },
                ));
                let runs = servers.runs();
                let shown = format!("{path}, {size} bytes, failure {index}: {runs} runs, {got:?}");
                assert!(!promises(&got) && !got.sealed, "{shown}");
                assert_eq!(runs, if is_retryable { 3 } else { 1 }, "{shown}");
            }
        }
    }
}

fn sent_once_when_reset_in_a_long_body() -> bool {
    let ask = Ask {
        body: long_body(),
        ..Ask::new("/once/a", "a1")
    };
    let (servers, got) = play(one(210, |_| Act::ResetAtHead, ask));
    servers.runs() == 1 && !promises(&got)
}

#[test]
fn given_a_partial_send_counted_as_unsent_then_the_request_is_sent_twice() {
    assert!(sent_once_when_reset_in_a_long_body());
    assert!(fails(
        Defect::PartialSendTreatedAsUnsent,
        sent_once_when_reset_in_a_long_body
    ));
}

#[test]
fn given_a_silent_server_then_every_request_ends_at_its_deadline_and_nothing_is_sent_again() {
    for (path, _) in ROUTES {
        let (servers, got) = play(one(211, |_| Act::Unresponsive, Ask::new(path, "a1")));
        assert_eq!((servers.runs(), got.status), (1, 504), "{path}");
        let late = got.took.saturating_sub(Duration::from_secs(3));
        assert!(late < Duration::from_millis(500), "{path}: {late:?}");
    }
}

#[test]
fn given_no_deadline_of_the_client_when_a_server_is_silent_then_the_route_s_timeout_ends_it() {
    let ask = Ask {
        fields: "",
        ..Ask::new("/once/a", "a1")
    };
    let (servers, got) = play(one(212, |_| Act::Unresponsive, ask));
    assert_eq!(got.status, 504);
    // `timeout_ms` of the first plan's routes is 8,000.
    assert!(got.took >= Duration::from_secs(8) && got.took < Duration::from_millis(8_500));
    let told = servers
        .last()
        .text("sparrouter-deadline-ms")
        .map(str::to_owned);
    let told: u64 = told.expect("a deadline").parse().expect("a number");
    assert!((7_900..=8_000).contains(&told), "{told}");
}

#[test]
fn given_a_server_that_declines_then_the_next_one_is_asked_for_every_kind_of_request() {
    for status in [503, 429, 421] {
        for (path, _) in ROUTES {
            let script = move |n| match n {
                0 => Act::ClientResponse(declined(status)),
                _ => Act::ClientResponse(success("ok")),
            };
            let (servers, got) = play(one(213, script, Ask::new(path, "a1")));
            assert_eq!((servers.runs(), got.status), (2, 200), "{path} {status}");
        }
    }
}

#[test]
fn given_servers_that_all_decline_then_the_client_is_told_to_come_back() {
    for (path, _) in ROUTES {
        let (servers, got) = play(one(
            214,
            |_| Act::ClientResponse(declined(503)),
            Ask::new(path, "a1"),
        ));
        assert_eq!(
            (servers.runs(), got.status, got.retry_after),
            (3, 503, true),
            "{path}"
        );
    }
}

/// Five servers of which none takes a request that its route lets go to three.
fn attempts_are_counted() -> bool {
    ["/once/a", "/idem/a"].iter().all(|path| {
        play(async {
            let cluster = scripted::cluster(228).await;
            let act = Act::ClientResponse(declined(503));
            let servers = Servers::start(&cluster, 5, move |_, _| act.clone()).await;
            Ask::new(path, "a1").at(&cluster, NODE).await;
            servers.runs() <= 3
        })
    })
}

#[test]
fn given_more_servers_than_a_route_s_attempts_when_all_decline_then_no_more_are_asked() {
    assert!(attempts_are_counted());
    assert!(fails(Defect::AttemptsUncounted, attempts_are_counted));
}

/// Two requests at a server that answers the first before its long body is in, and reads on a second later.
fn bodies_kept_apart() -> bool {
    play(async {
        let cluster = scripted::cluster(215).await;
        let servers = Servers::start(&cluster, 1, |_, n| match n {
            0 => Act::AnswerEarly(success("early"), Duration::from_secs(1)),
            _ => Act::ClientResponse(success("next")),
        })
        .await;
        let first = Ask {
            body: long_body(),
            ..Ask::new("/once/a", "a1")
        };
        let first = first.at(&cluster, NODE).await;
        let second = Ask::new("/once/b", "a2").at(&cluster, NODE).await;
        sleep(Duration::from_secs(2)).await;
        assert_eq!((first.status, first.text.as_str()), (200, "early"));
        assert!(first.took < Duration::from_millis(500), "{:?}", first.took);
        let own = |body: &Bytes| body.iter().all(|b| *b == b'x') || &body[..] == b"a body";
        let whole = servers
            .heard
            .borrow()
            .iter()
            .all(|h| h.body.as_ref().is_none_or(own));
        whole && servers.spoilt.borrow().is_empty() && second.text == "next"
    })
}

#[test]
fn given_an_early_answer_then_nothing_else_comes_where_the_rest_of_the_body_is_due() {
    assert!(bodies_kept_apart());
    assert!(fails(Defect::UnfinishedConnectionPooled, bodies_kept_apart));
}

#[test]
fn given_a_long_request_that_is_turned_away_before_it_is_in_then_another_server_runs_it() {
    for (path, _) in ROUTES {
        let script = |n| match n {
            0 => Act::AnswerEarly(declined(503), Duration::from_secs(1)),
            _ => Act::ClientResponse(success("ok")),
        };
        let ask = Ask {
            body: long_body(),
            ..Ask::new(path, "a1")
        };
        let (servers, got) = play(one(216, script, ask));
        assert_eq!((servers.runs(), got.status), (2, 200), "{path}");
        assert!(
            got.took < Duration::from_millis(500),
            "{path} {:?}",
            got.took
        );
    }
}

#[test]
fn given_an_answer_without_a_length_when_its_connection_ends_then_it_is_whole() {
    for (path, _) in ROUTES {
        let body = event(1);
        let script = move |_| Act::AnswerAndEnd(without_length(&body));
        let (_, got) = play(one(217, script, Ask::new(path, "a1")));
        assert!(got.is_complete && got.text == event(1), "{path} {got:?}");
    }
}

fn reset_is_no_end() -> bool {
    let script = |_| Act::AnswerAndReset(without_length(&event(1)));
    ["/once/a", "/stream/a", "/resume/a", "/idem/a"]
        .iter()
        .all(|path| {
            let (_, got) = play(one(218, script, Ask::new(path, "a1")));
            !got.is_complete || got.status >= 500
        })
}

#[test]
fn given_an_answer_without_a_length_when_its_connection_is_reset_then_it_is_not_complete() {
    assert!(reset_is_no_end());
    assert!(fails(Defect::ResetTreatedAsEnd, reset_is_no_end));
}

/// A resumable stream breaks off; the servers that take it up answer with a failure.
fn failures_stay_out_of_streams() -> bool {
    let failures = [
        answer(500, "", "failure\r\n"),
        answer(504, "", "failure\r\n"),
        answer(404, "", "failure\r\n"),
        answer(503, "", "failure\r\n"),
    ];
    failures.iter().all(|failure| {
        let failure = failure.clone();
        let script = move |n| match n {
            0 => Act::AnswerAndReset(chunked(&[event(1), "id: 2\nda".to_owned()], false)),
            _ => Act::ClientResponse(failure.clone()),
        };
        let (_, got) = play(one(219, script, Ask::new("/resume/a", "a1")));
        got.text == event(1) && !got.is_complete && !got.spoilt
    })
}

#[test]
fn given_a_resumed_stream_when_the_next_server_fails_then_the_failure_is_not_passed_on() {
    assert!(failures_stay_out_of_streams());
    assert!(fails(Defect::ErrorInStream, failures_stay_out_of_streams));
}

#[test]
fn given_a_server_that_breaks_off_in_an_event_then_another_takes_the_stream_up_behind_the_last_whole_one()
 {
    let script = |n| match n {
        0 => Act::AnswerAndReset(chunked(&[event(1), "id: 2\nda".to_owned()], false)),
        _ => Act::ClientResponse(chunked(&[event(2), event(3)], true)),
    };
    let (servers, got) = play(one(220, script, Ask::new("/resume/a", "a1")));
    assert!(got.is_complete);
    assert_eq!(got.text, [event(1), event(2), event(3)].concat());
    assert_eq!(servers.last().text("last-event-id"), Some("1"));
}

/// Answers to other requests before the own one: at once, with an id, for requests with and without one.
fn foreign_answers_stay_away() -> bool {
    ["a1", ""].iter().all(|id| {
        let foreign = success("foreign").replace("{id}", "another");
        let own = match *id {
            "" => success("own").replace("Sparrouter-Attempt-Id: {id}\r\n", ""),
            _ => success("own"),
        };
        let script = move |_| Act::ClientResponse(format!("{foreign}{own}"));
        let (_, got) = play(one(221, script, Ask::new("/once/a", id)));
        got.text == "own"
    })
}

#[test]
fn given_another_request_s_answer_first_then_the_client_gets_its_own() {
    assert!(foreign_answers_stay_away());
    assert!(fails(Defect::ForeignAnswer, foreign_answers_stay_away));
}

#[test]
fn given_a_second_answer_behind_a_whole_one_then_the_next_request_does_not_get_it() {
    play(async {
        let cluster = scripted::cluster(222).await;
        let twice = |n| format!("{}{}", success(&format!("answer {n}")), success("twice"));
        let servers = Servers::start(&cluster, 1, move |_, n| Act::ClientResponse(twice(n))).await;
        for n in 0..5 {
            let got = Ask::new("/once/a", &format!("a{n}"))
                .at(&cluster, NODE)
                .await;
            assert_eq!(got.text, format!("answer {n}"));
        }
        assert_eq!(servers.runs(), 5);
    });
}

fn within_half_a_second_of_leaving(path: &str, act: Act) -> bool {
    play(async {
        let cluster = scripted::cluster(223).await;
        let servers = Servers::start(&cluster, 3, move |_, _| act.clone()).await;
        let ask = Ask {
            disconnects_after: Some(Duration::from_millis(400)),
            ..Ask::new(path, "a1")
        };
        ask.at(&cluster, NODE).await;
        sleep(Duration::from_millis(500)).await;
        let ended = servers.ended.borrow().len();
        sleep(Duration::from_secs(4)).await;
        ended == 1 && servers.runs() == 1
    })
}

#[test]
fn given_a_client_that_leaves_then_its_server_is_left_within_half_a_second_and_no_other_is_asked() {
    for (path, _) in ROUTES {
        assert!(
            within_half_a_second_of_leaving(path, Act::Unresponsive),
            "{path}"
        );
        let stream = Act::AnswerAndStay(chunked(&[event(1)], false));
        assert!(within_half_a_second_of_leaving(path, stream), "{path}");
    }
    let unwatched = || {
        let stream = Act::AnswerAndStay(chunked(&[event(1)], false));
        within_half_a_second_of_leaving("/stream/a", stream)
    };
    assert!(fails(Defect::ClientUnwatched, unwatched));
}

/// A client that leaves while its request waits to be admitted, with a connection to the server at hand.
fn nothing_is_sent_for_a_client_that_left() -> bool {
    play(async {
        let cluster = scripted::cluster(224).await;
        let servers = Servers::start(&cluster, 3, |_, _| Act::ClientResponse(success("ok"))).await;
        let fields = "Sparrouter-Deadline-Ms: 3000\r\nSparrouter-Model: daka510000\r\n\
                      Sparrouter-Token-Usage: 900,5\r\n";
        for n in 0..9 {
            let id = format!("a{n}");
            let ask = Ask {
                fields,
                ..Ask::new("/once/a", &id)
            };
            assert_eq!(ask.at(&cluster, NODE).await.status, 200);
        }
        // Admission asks the node that counts what waits at the server, which does not answer any more.
        for name in cluster.names().iter().filter(|n| *n != NODE) {
            cluster.freeze(name, true);
        }
        let before = servers.runs();
        for n in 0..9 {
            let id = format!("b{n}");
            let ask = Ask {
                fields,
                disconnects_after: Some(Duration::from_millis(10)),
                ..Ask::new("/once/a", &id)
            };
            ask.at(&cluster, NODE).await;
            sleep(Duration::from_millis(100)).await;
        }
        let sent = servers.runs() - before;
        for name in cluster.names().iter().filter(|n| *n != NODE) {
            cluster.freeze(name, false);
        }
        sent == 0
    })
}

#[test]
fn given_a_client_that_left_while_its_request_was_admitted_then_nothing_is_sent() {
    assert!(nothing_is_sent_for_a_client_that_left());
    assert!(fails(
        Defect::SentAfterClientLeft,
        nothing_is_sent_for_a_client_that_left
    ));
}

/// A client whose body takes a while: what the server is told is what is left.
fn a_slow_body_counts() -> bool {
    let ask = Ask {
        pause: Duration::from_millis(1_200),
        ..Ask::new("/once/a", "a1")
    };
    let (servers, _) = play(one(225, |_| Act::ClientResponse(success("ok")), ask));
    let told = servers
        .last()
        .text("sparrouter-deadline-ms")
        .map(str::to_owned);
    told.and_then(|t| t.parse::<u64>().ok())
        .is_some_and(|told| told <= 1_850)
}

#[test]
fn given_a_body_that_comes_slowly_then_a_server_is_handed_only_the_time_that_is_left() {
    assert!(a_slow_body_counts());
    assert!(fails(Defect::DeadlineFromBody, a_slow_body_counts));
}

#[test]
fn given_a_later_send_then_its_deadline_ends_with_the_first_one() {
    for (path, _) in ROUTES {
        let script = |n| match n {
            0 => Act::AnswerAfter(Duration::from_millis(1_000), declined(503)),
            _ => Act::ClientResponse(success("ok")),
        };
        let (servers, got) = play(one(226, script, Ask::new(path, "a1")));
        assert_eq!(got.status, 200, "{path}");
        let heard = servers.heard.borrow();
        let told = |n: usize| -> u64 {
            let told = heard[n].text("sparrouter-deadline-ms").expect("a deadline");
            told.parse().expect("a number")
        };
        assert!(told(0) <= 3_000 && told(0) > 2_900, "{path} {}", told(0));
        assert!(told(1) <= 2_000 && told(1) > 1_800, "{path} {}", told(1));
    }
}

const CLIENTS_FIELDS: [(&str, &str); 4] = [
    ("Sparrouter-Attempt-Id", "a1"),
    ("Sparrouter-Model", "daka510000"),
    ("Sparrouter-Token-Usage", "900,80"),
    ("Sparrouter-Prompt-Prefix", "5c1e07a2:800"),
];

fn fields_reach_the_server() -> bool {
    let fields = "Sparrouter-Model: daka510000\r\nSparrouter-Token-Usage: 900,80\r\n\
                  Sparrouter-Prompt-Prefix: 5c1e07a2:800\r\nCache-Salt: theirs\r\nPriority: 0\r\n\
                  Connection: sparrouter-model, sparrouter-token-usage, sparrouter-prompt-prefix, \
                  sparrouter-attempt-id, host, x-hop\r\nX-Hop: 1\r\n";
    let ask = Ask {
        fields,
        ..Ask::new("/once/a?x=1", "a1")
    };
    let (servers, _) = play(one(227, |_| Act::ClientResponse(success("ok")), ask));
    let heard = servers.last();
    assert_eq!(heard.path(), "/once/a?x=1");
    assert_eq!(heard.body.as_deref(), Some(&b"a body"[..]));
    assert_eq!(
        (heard.text("x-hop"), heard.text("sparrouter-key")),
        (None, None)
    );
    assert_ne!(heard.text("cache-salt"), Some("theirs"));
    let same = |(name, value): &(&str, &str)| {
        let all = heard.head.fields.iter();
        let all = all.filter(|f| f.0.eq_ignore_ascii_case(name.as_bytes()));
        let all: Vec<&[u8]> = all.map(|f| &f.1[..]).collect();
        all == [value.as_bytes()]
    };
    CLIENTS_FIELDS.iter().all(same)
}

#[test]
fn given_a_client_s_fields_when_connection_names_them_then_the_server_gets_them_unchanged() {
    assert!(fields_reach_the_server());
    assert!(fails(
        Defect::ConnectionStripsFields,
        fields_reach_the_server
    ));
}
