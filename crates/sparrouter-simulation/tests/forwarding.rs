//! Requests of clients at servers that fail in every way: what may be sent twice, what proves that nothing ran, and
//! that no answer goes to another caller. Each guard has an injected defect that makes its test fail.
mod scripted;

use bytes::Bytes;
use scripted::{Reaction, Received, ScriptedRequest, Servers, answer, declined, success};
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

/// A stream in chunks; `last`: it is complete.
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

/// Whether a check fails with an injected defect.
fn fails(defect: Defect, check: impl FnOnce() -> bool) -> bool {
    inject(Some(defect));
    let passes = check();
    inject(None);
    !passes
}

/// Three servers with one script, and one request at one node.
async fn one(
    seed: u64,
    script: impl Fn(usize) -> Reaction + 'static,
    request: ScriptedRequest<'_>,
) -> (Rc<Servers>, Received) {
    let cluster = scripted::cluster(seed).await;
    let servers = Servers::start(&cluster, 3, move |_, n| script(n)).await;
    let response = request.send_to(&cluster, NODE).await;
    (servers, response)
}

fn denies_run(response: &Received) -> bool {
    matches!(response.status, 408 | 421 | 429 | 503)
}

#[test]
fn given_a_failure_after_a_byte_was_sent_then_only_retryable_requests_are_sent_again() {
    let failures = [
        Reaction::Reset,
        Reaction::ResetBeforeBody,
        Reaction::End,
        Reaction::RespondAndEnd("no answer at all\r\n\r\n".to_owned()),
        // A server's own response with these statuses does not deny a run without the field that says so.
        Reaction::Respond(answer(503, "", "")),
        Reaction::Respond(answer(429, "", "")),
    ];
    for (index, failure) in failures.into_iter().enumerate() {
        for (path, is_retryable) in ROUTES {
            for body in [Bytes::new(), Bytes::from_static(b"a body"), long_body()] {
                let (failure, size) = (failure.clone(), body.len());
                let (servers, response) = play(one(
                    200 + index as u64,
                    move |_| failure.clone(),
                    ScriptedRequest {
                        body,
                        ..ScriptedRequest::new(path, "a1")
                    },
                ));
                let runs = servers.runs();
                let description =
                    format!("{path}, {size} bytes, failure {index}: {runs} runs, {response:?}");
                assert!(
                    !denies_run(&response) && !response.is_sealed,
                    "{description}"
                );
                assert_eq!(runs, if is_retryable { 3 } else { 1 }, "{description}");
            }
        }
    }
}

fn sent_once_when_reset_in_a_long_body() -> bool {
    let request = ScriptedRequest {
        body: long_body(),
        ..ScriptedRequest::new("/once/a", "a1")
    };
    let (servers, response) = play(one(210, |_| Reaction::ResetBeforeBody, request));
    servers.runs() == 1 && !denies_run(&response)
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
fn given_an_unresponsive_server_then_every_request_ends_at_its_deadline_and_nothing_is_sent_again()
{
    for (path, _) in ROUTES {
        let (servers, response) = play(one(
            211,
            |_| Reaction::NoResponse,
            ScriptedRequest::new(path, "a1"),
        ));
        assert_eq!((servers.runs(), response.status), (1, 504), "{path}");
        let late = response.elapsed.saturating_sub(Duration::from_secs(3));
        assert!(late < Duration::from_millis(500), "{path}: {late:?}");
    }
}

#[test]
fn given_no_deadline_of_the_client_when_a_server_is_unresponsive_then_the_route_s_timeout_ends_it()
{
    let request = ScriptedRequest {
        fields: "",
        ..ScriptedRequest::new("/once/a", "a1")
    };
    let (servers, response) = play(one(212, |_| Reaction::NoResponse, request));
    assert_eq!(response.status, 504);
    // `timeout_ms` of the first plan's routes is 8,000.
    assert!(
        response.elapsed >= Duration::from_secs(8)
            && response.elapsed < Duration::from_millis(8_500)
    );
    let deadline_ms = servers
        .last()
        .text("sparrouter-deadline-ms")
        .map(str::to_owned);
    let deadline_ms: u64 = deadline_ms.expect("a deadline").parse().expect("a number");
    assert!((7_900..=8_000).contains(&deadline_ms), "{deadline_ms}");
}

#[test]
fn given_a_server_that_declines_then_the_next_one_is_asked_for_every_kind_of_request() {
    for status in [503, 429, 421] {
        for (path, _) in ROUTES {
            let script = move |n| match n {
                0 => Reaction::Respond(declined(status)),
                _ => Reaction::Respond(success("ok")),
            };
            let (servers, response) = play(one(213, script, ScriptedRequest::new(path, "a1")));
            assert_eq!(
                (servers.runs(), response.status),
                (2, 200),
                "{path} {status}"
            );
        }
    }
}

#[test]
fn given_servers_that_all_decline_then_the_client_is_asked_to_retry() {
    for (path, _) in ROUTES {
        let (servers, response) = play(one(
            214,
            |_| Reaction::Respond(declined(503)),
            ScriptedRequest::new(path, "a1"),
        ));
        assert_eq!(
            (servers.runs(), response.status, response.retry_after),
            (3, 503, true),
            "{path}"
        );
    }
}

/// Five servers of which none takes a request that its route lets go to three.
fn attempts_are_limited() -> bool {
    ["/once/a", "/idem/a"].iter().all(|path| {
        play(async {
            let cluster = scripted::cluster(228).await;
            let reaction = Reaction::Respond(declined(503));
            let servers = Servers::start(&cluster, 5, move |_, _| reaction.clone()).await;
            ScriptedRequest::new(path, "a1")
                .send_to(&cluster, NODE)
                .await;
            servers.runs() <= 3
        })
    })
}

#[test]
fn given_more_servers_than_a_route_s_attempts_when_all_decline_then_no_more_are_asked() {
    assert!(attempts_are_limited());
    assert!(fails(Defect::AttemptsUncounted, attempts_are_limited));
}

/// Two requests at a server that answers the first before its long body is in, and reads on a second later.
fn bodies_stay_separate() -> bool {
    play(async {
        let cluster = scripted::cluster(215).await;
        let servers = Servers::start(&cluster, 1, |_, n| match n {
            0 => Reaction::RespondEarly(success("early"), Duration::from_secs(1)),
            _ => Reaction::Respond(success("next")),
        })
        .await;
        let first = ScriptedRequest {
            body: long_body(),
            ..ScriptedRequest::new("/once/a", "a1")
        };
        let first = first.send_to(&cluster, NODE).await;
        let second = ScriptedRequest::new("/once/b", "a2")
            .send_to(&cluster, NODE)
            .await;
        sleep(Duration::from_secs(2)).await;
        assert_eq!((first.status, first.text.as_str()), (200, "early"));
        assert!(
            first.elapsed < Duration::from_millis(500),
            "{:?}",
            first.elapsed
        );
        let own = |body: &Bytes| body.iter().all(|b| *b == b'x') || &body[..] == b"a body";
        let all_own = servers
            .received
            .borrow()
            .iter()
            .all(|h| h.body.as_ref().is_none_or(own));
        all_own && servers.unexpected_bytes.borrow().is_empty() && second.text == "next"
    })
}

#[test]
fn given_an_early_answer_then_nothing_else_comes_where_the_rest_of_the_body_is_due() {
    assert!(bodies_stay_separate());
    assert!(fails(
        Defect::UnfinishedConnectionPooled,
        bodies_stay_separate
    ));
}

#[test]
fn given_a_long_request_that_is_rejected_before_it_is_in_then_another_server_runs_it() {
    for (path, _) in ROUTES {
        let script = |n| match n {
            0 => Reaction::RespondEarly(declined(503), Duration::from_secs(1)),
            _ => Reaction::Respond(success("ok")),
        };
        let request = ScriptedRequest {
            body: long_body(),
            ..ScriptedRequest::new(path, "a1")
        };
        let (servers, response) = play(one(216, script, request));
        assert_eq!((servers.runs(), response.status), (2, 200), "{path}");
        assert!(
            response.elapsed < Duration::from_millis(500),
            "{path} {:?}",
            response.elapsed
        );
    }
}

#[test]
fn given_an_answer_without_a_length_when_its_connection_ends_then_it_is_complete() {
    for (path, _) in ROUTES {
        let body = event(1);
        let script = move |_| Reaction::RespondAndEnd(without_length(&body));
        let (_, response) = play(one(217, script, ScriptedRequest::new(path, "a1")));
        assert!(
            response.is_complete && response.text == event(1),
            "{path} {response:?}"
        );
    }
}

fn reset_is_no_end() -> bool {
    let script = |_| Reaction::RespondAndReset(without_length(&event(1)));
    ["/once/a", "/stream/a", "/resume/a", "/idem/a"]
        .iter()
        .all(|path| {
            let (_, response) = play(one(218, script, ScriptedRequest::new(path, "a1")));
            !response.is_complete || response.status >= 500
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
            0 => Reaction::RespondAndReset(chunked(&[event(1), "id: 2\nda".to_owned()], false)),
            _ => Reaction::Respond(failure.clone()),
        };
        let (_, response) = play(one(219, script, ScriptedRequest::new("/resume/a", "a1")));
        response.text == event(1) && !response.is_complete && !response.unexpected_bytes
    })
}

#[test]
fn given_a_resumed_stream_when_the_next_server_fails_then_the_failure_is_not_forwarded() {
    assert!(failures_stay_out_of_streams());
    assert!(fails(Defect::ErrorInStream, failures_stay_out_of_streams));
}

#[test]
fn given_a_server_that_breaks_off_in_an_event_then_another_resumes_the_stream_behind_the_last_complete_one()
 {
    let script = |n| match n {
        0 => Reaction::RespondAndReset(chunked(&[event(1), "id: 2\nda".to_owned()], false)),
        _ => Reaction::Respond(chunked(&[event(2), event(3)], true)),
    };
    let (servers, response) = play(one(220, script, ScriptedRequest::new("/resume/a", "a1")));
    assert!(response.is_complete);
    assert_eq!(response.text, [event(1), event(2), event(3)].concat());
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
        let script = move |_| Reaction::Respond(format!("{foreign}{own}"));
        let (_, response) = play(one(221, script, ScriptedRequest::new("/once/a", id)));
        response.text == "own"
    })
}

#[test]
fn given_another_request_s_answer_first_then_the_client_gets_its_own() {
    assert!(foreign_answers_stay_away());
    assert!(fails(Defect::ForeignAnswer, foreign_answers_stay_away));
}

#[test]
fn given_a_second_answer_behind_a_complete_one_then_the_next_request_does_not_get_it() {
    play(async {
        let cluster = scripted::cluster(222).await;
        let twice = |n| format!("{}{}", success(&format!("answer {n}")), success("twice"));
        let servers = Servers::start(&cluster, 1, move |_, n| Reaction::Respond(twice(n))).await;
        for n in 0..5 {
            let response = ScriptedRequest::new("/once/a", &format!("a{n}"))
                .send_to(&cluster, NODE)
                .await;
            assert_eq!(response.text, format!("answer {n}"));
        }
        assert_eq!(servers.runs(), 5);
    });
}

fn within_half_a_second_of_leaving(path: &str, reaction: Reaction) -> bool {
    play(async {
        let cluster = scripted::cluster(223).await;
        let servers = Servers::start(&cluster, 3, move |_, _| reaction.clone()).await;
        let request = ScriptedRequest {
            disconnects_after: Some(Duration::from_millis(400)),
            ..ScriptedRequest::new(path, "a1")
        };
        request.send_to(&cluster, NODE).await;
        sleep(Duration::from_millis(500)).await;
        let ended = servers.disconnects.borrow().len();
        sleep(Duration::from_secs(4)).await;
        ended == 1 && servers.runs() == 1
    })
}

#[test]
fn given_a_client_that_leaves_then_its_server_is_left_within_half_a_second_and_no_other_is_asked() {
    for (path, _) in ROUTES {
        assert!(
            within_half_a_second_of_leaving(path, Reaction::NoResponse),
            "{path}"
        );
        let stream = Reaction::RespondAndStall(chunked(&[event(1)], false));
        assert!(within_half_a_second_of_leaving(path, stream), "{path}");
    }
    let unwatched = || {
        let stream = Reaction::RespondAndStall(chunked(&[event(1)], false));
        within_half_a_second_of_leaving("/stream/a", stream)
    };
    assert!(fails(Defect::ClientUnwatched, unwatched));
}

/// A client that leaves while its request waits to be admitted, with a connection to the server at hand.
fn nothing_is_sent_for_a_client_that_left() -> bool {
    play(async {
        let cluster = scripted::cluster(224).await;
        let servers = Servers::start(&cluster, 3, |_, _| Reaction::Respond(success("ok"))).await;
        let fields = "Sparrouter-Deadline-Ms: 3000\r\nSparrouter-Model: daka510000\r\n\
                      Sparrouter-Token-Usage: 900,5\r\n";
        for n in 0..9 {
            let id = format!("a{n}");
            let request = ScriptedRequest {
                fields,
                ..ScriptedRequest::new("/once/a", &id)
            };
            assert_eq!(request.send_to(&cluster, NODE).await.status, 200);
        }
        // Admission queries the node that counts what waits at the server, which does not answer any more.
        for name in cluster.names().iter().filter(|n| *n != NODE) {
            cluster.freeze(name, true);
        }
        let before = servers.runs();
        for n in 0..9 {
            let id = format!("b{n}");
            let request = ScriptedRequest {
                fields,
                disconnects_after: Some(Duration::from_millis(10)),
                ..ScriptedRequest::new("/once/a", &id)
            };
            request.send_to(&cluster, NODE).await;
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

/// A client whose body takes a while: the server gets the remaining time as its deadline.
fn deadline_includes_a_slow_body() -> bool {
    let request = ScriptedRequest {
        body_pause: Duration::from_millis(1_200),
        ..ScriptedRequest::new("/once/a", "a1")
    };
    let (servers, _) = play(one(225, |_| Reaction::Respond(success("ok")), request));
    let deadline_ms = servers
        .last()
        .text("sparrouter-deadline-ms")
        .map(str::to_owned);
    deadline_ms
        .and_then(|t| t.parse::<u64>().ok())
        .is_some_and(|deadline_ms| deadline_ms <= 1_850)
}

#[test]
fn given_a_body_that_comes_slowly_then_a_server_is_handed_only_the_time_that_is_left() {
    assert!(deadline_includes_a_slow_body());
    assert!(fails(
        Defect::DeadlineFromBody,
        deadline_includes_a_slow_body
    ));
}

#[test]
fn given_a_later_send_then_its_deadline_ends_with_the_first_one() {
    for (path, _) in ROUTES {
        let script = |n| match n {
            0 => Reaction::RespondAfter(Duration::from_millis(1_000), declined(503)),
            _ => Reaction::Respond(success("ok")),
        };
        let (servers, response) = play(one(226, script, ScriptedRequest::new(path, "a1")));
        assert_eq!(response.status, 200, "{path}");
        let received = servers.received.borrow();
        let deadline_ms = |n: usize| -> u64 {
            let deadline_ms = received[n]
                .text("sparrouter-deadline-ms")
                .expect("a deadline");
            deadline_ms.parse().expect("a number")
        };
        assert!(
            deadline_ms(0) <= 3_000 && deadline_ms(0) > 2_900,
            "{path} {}",
            deadline_ms(0)
        );
        assert!(
            deadline_ms(1) <= 2_000 && deadline_ms(1) > 1_800,
            "{path} {}",
            deadline_ms(1)
        );
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
    let request = ScriptedRequest {
        fields,
        ..ScriptedRequest::new("/once/a?x=1", "a1")
    };
    let (servers, _) = play(one(227, |_| Reaction::Respond(success("ok")), request));
    let received = servers.last();
    assert_eq!(received.path(), "/once/a?x=1");
    assert_eq!(received.body.as_deref(), Some(&b"a body"[..]));
    assert_eq!(
        (received.text("x-hop"), received.text("sparrouter-key")),
        (None, None)
    );
    assert_ne!(received.text("cache-salt"), Some("theirs"));
    let same = |(name, value): &(&str, &str)| {
        let all = received.head.fields.iter();
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
