//! MIXED where a server breaks off its response: whatever its status and framing, wherever it breaks and on every kind of
//! route, a client gets no complete response that no server gave, and nothing behind it on its connection.
mod scripted;

use scripted::{Reaction, Received, ScriptedRequest, Servers};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_simulation::runtime::play;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const NODE: &str = "edge-0";
/// Number of events in a complete body.
const EVENTS: usize = 3;
/// Between two requests, so that the retry budget never ends.
const REQUEST_INTERVAL: Duration = Duration::from_secs(2);
/// How long a client listens for bytes behind a response.
const LISTENS_AFTER: Duration = Duration::from_millis(500);
const PATHS: [&str; 4] = ["/idem/a", "/once/a", "/stream/a", "/resume/a"];
const STATUSES: [u16; 8] = [200, 201, 206, 302, 404, 410, 500, 504];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    /// The connection's end ends the body.
    ToEnd,
}

/// Where a response breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakPoint {
    BehindHead,
    /// In the middle of the first event.
    InFirstEvent,
    BehindFirstEvent,
    /// In the middle of the last event.
    InLastEvent,
    /// Malformed bytes, in one write with the first event.
    RotBehindFirstEvent,
}

/// How one server's response breaks off; another server responds completely.
#[derive(Clone, Copy, Debug)]
struct Case {
    path: &'static str,
    status: u16,
    framing: Framing,
    break_point: BreakPoint,
    is_reset: bool,
    /// Status of the next server's response.
    next_status: u16,
}

/// One event; `run`: which of the two responses it is from.
fn event(run: &str, number: usize) -> String {
    format!("id: {number}\ndata: event {number} of the {run} run\n\n")
}

fn events(run: &str, numbers: std::ops::RangeInclusive<usize>) -> String {
    numbers.map(|number| event(run, number)).collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn head(status: u16, framing: Framing, length: usize) -> String {
    let framing = match framing {
        Framing::Length => format!("Content-Length: {length}\r\n"),
        Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::ToEnd => String::new(),
    };
    format!(
        "HTTP/1.1 {status} Word\r\nSparrouter-Attempt-Id: {{id}}\r\nSparrouter-Response-Seal: seal\r\n{framing}\r\n"
    )
}

impl Case {
    fn all() -> Vec<Case> {
        let mut cases = Vec::new();
        for path in PATHS {
            for status in STATUSES {
                for framing in [Framing::Length, Framing::Chunked, Framing::ToEnd] {
                    for break_point in [
                        BreakPoint::BehindHead,
                        BreakPoint::InFirstEvent,
                        BreakPoint::BehindFirstEvent,
                        BreakPoint::InLastEvent,
                        BreakPoint::RotBehindFirstEvent,
                    ] {
                        // Only chunks can be malformed, and only a reset breaks off a body that ends with its connection.
                        let is_malformed = break_point == BreakPoint::RotBehindFirstEvent;
                        if is_malformed && framing != Framing::Chunked {
                            continue;
                        }
                        for is_reset in [true, false] {
                            if !is_reset && framing == Framing::ToEnd {
                                continue;
                            }
                            for next_status in [200, 404] {
                                cases.push(Case {
                                    path,
                                    status,
                                    framing,
                                    break_point,
                                    is_reset,
                                    next_status,
                                });
                            }
                        }
                    }
                }
            }
        }
        cases
    }

    /// What of the first body is sent, and whether malformed bytes follow.
    fn first_body(&self) -> (String, bool) {
        let complete = events("first", 1..=EVENTS);
        let first_event = event("first", 1).len();
        match self.break_point {
            BreakPoint::BehindHead => (String::new(), false),
            BreakPoint::InFirstEvent => (complete[..first_event / 2].to_owned(), false),
            BreakPoint::BehindFirstEvent => (complete[..first_event].to_owned(), false),
            BreakPoint::InLastEvent => (complete[..complete.len() - 3].to_owned(), false),
            BreakPoint::RotBehindFirstEvent => (complete[..first_event].to_owned(), true),
        }
    }

    fn first_reaction(&self) -> Reaction {
        let (body, is_malformed) = self.first_body();
        let length = events("first", 1..=EVENTS).len();
        let mut text = head(self.status, self.framing, length);
        match self.framing {
            Framing::Chunked if body.is_empty() => {}
            Framing::Chunked => text.push_str(&chunk(&body)),
            Framing::Length | Framing::ToEnd => text.push_str(&body),
        }
        if is_malformed {
            text.push_str("no chunk\r\n");
        }
        if self.is_reset {
            Reaction::RespondAndReset(text)
        } else {
            Reaction::RespondAndEnd(text)
        }
    }

    /// The complete response of another server: a stream goes on behind the event that the request names.
    fn next_reaction(&self, last_event_id: Option<&str>) -> Reaction {
        let last: usize = last_event_id.and_then(|id| id.parse().ok()).unwrap_or(0);
        let mut text = head(self.next_status, Framing::Chunked, 0);
        for number in last + 1..=EVENTS {
            text.push_str(&chunk(&event("next", number)));
        }
        text.push_str("0\r\n\r\n");
        Reaction::Respond(text)
    }

    /// Whether a server gave this complete response, or two servers one stream that was resumed as the pages allow.
    fn was_given(&self, response: &Received) -> bool {
        if response.status == self.next_status && response.text == events("next", 1..=EVENTS) {
            return true;
        }
        let may_resume = self.path == "/resume/a"
            && response.status == self.status
            && (200..300).contains(&self.status)
            && self.next_status == 200;
        let resumed = |last: usize| {
            let first = if last == 0 {
                String::new()
            } else {
                events("first", 1..=last)
            };
            first + &events("next", last + 1..=EVENTS)
        };
        may_resume && (0..EVENTS).any(|last| response.text == resumed(last))
    }

    /// What is wrong with a response.
    fn defect(&self, response: &Received) -> Option<&'static str> {
        if response.unexpected_bytes {
            return Some("bytes that belong to no response");
        }
        // The node's own responses have no seal.
        if response.is_complete && response.is_sealed && !self.was_given(response) {
            return Some("a complete response that no server gave");
        }
        None
    }
}

/// Plays the cases one after the other; returns those that went wrong.
fn wrong_responses(seed: u64, cases: Vec<Case>) -> Vec<String> {
    play(async move {
        let cluster = scripted::cluster(seed).await;
        let by_id: BTreeMap<String, Case> = (0..)
            .map(|number: u32| format!("case{number}"))
            .zip(cases)
            .collect();
        let (scripts, begun) = (by_id.clone(), RefCell::new(Vec::new()));
        let servers = Servers::start(&cluster, 4, move |head, _| {
            let id = head.fields.text("sparrouter-attempt-id");
            let id = id.expect("an id").to_owned();
            let case = scripts[&id];
            let is_first = !begun.borrow().contains(&id);
            if is_first {
                begun.borrow_mut().push(id);
                return case.first_reaction();
            }
            case.next_reaction(head.fields.text("last-event-id"))
        });
        let _servers: Rc<Servers> = servers.await;
        let mut wrong = Vec::new();
        for (id, case) in &by_id {
            let request = ScriptedRequest {
                listens_after: LISTENS_AFTER,
                ..ScriptedRequest::new(case.path, id)
            };
            let response = request.send_to(&cluster, NODE).await;
            if let Some(defect) = case.defect(&response) {
                wrong.push(format!("{case:?}: {defect}: {response:?}"));
            }
            sleep(REQUEST_INTERVAL).await;
        }
        wrong
    })
}

/// Failures whose server breaks them off.
fn failures() -> Vec<Case> {
    let mut cases = Case::all();
    cases.retain(|case| case.status >= 300);
    cases
}

/// Successes with malformed bytes behind their first event.
fn malformed_successes() -> Vec<Case> {
    let mut cases = Case::all();
    cases.retain(|case| case.status < 300 && case.break_point == BreakPoint::RotBehindFirstEvent);
    cases
}

fn assert_all_right(cases: Vec<Case>) {
    let (count, wrong) = (cases.len(), wrong_responses(300, cases));
    assert!(
        wrong.is_empty(),
        "{} of {count}: {:#?}",
        wrong.len(),
        &wrong[..wrong.len().min(6)]
    );
}

/// Guards against a failure that its server broke off, and that was completed with the stream of another server.
#[test]
fn given_a_failure_that_breaks_off_on_any_route_then_no_other_response_completes_it() {
    assert_all_right(failures());
}

#[test]
fn given_any_response_resumed_when_failures_break_off_then_it_is_found() {
    inject(Some(Defect::AnyResponseResumed));
    let wrong = wrong_responses(300, failures());
    inject(None);
    assert!(!wrong.is_empty());
}

/// Guards against a success that broke off, and was continued though nothing of it may be: not as a stream, or without an
/// event that the client has.
#[test]
fn given_a_success_that_breaks_off_on_any_route_then_only_a_resumable_stream_goes_on() {
    let mut cases = Case::all();
    cases.retain(|case| case.status < 300 && case.break_point != BreakPoint::RotBehindFirstEvent);
    assert_all_right(cases);
}

/// Guards against a stream that goes on behind an event which the client never got, as malformed bytes followed it.
#[test]
fn given_a_stream_with_malformed_bytes_behind_an_event_then_it_goes_on_behind_what_the_client_has()
{
    assert_all_right(malformed_successes());
}

#[test]
fn given_events_lost_before_malformed_bytes_when_streams_are_resumed_then_it_is_found() {
    inject(Some(Defect::EventsLostBeforeMalformedBytes));
    let wrong = wrong_responses(300, malformed_successes());
    inject(None);
    assert!(!wrong.is_empty());
}
