//! Answers as clients got them: MIXED, ORDER, REFUSED, LOST, and refusals by the configuration.
use super::Monitor;
use super::requests::Handled;
use crate::server::{body_of, event_of};
use tokio::time::Instant;

/// What came on the client's connection.
#[derive(Clone, Debug, Default)]
pub struct ClientResponse {
    /// 0: none.
    pub status: u16,
    pub seal: Option<String>,
    pub attempt: Option<String>,
    pub streams: bool,
    pub body: Vec<u8>,
    /// The end came as the protocol has it.
    pub is_complete: bool,
    pub bad: Option<&'static str>,
    /// The client gave up on it.
    pub abandoned: bool,
}

impl Monitor {
    pub fn response_received(&self, id: &str, answer: &ClientResponse) {
        self.trace_detail(|| {
            format!(
                "{id} ends: {} whole {} {} bytes",
                answer.status,
                answer.is_complete,
                answer.body.len()
            )
        });
        if let Some(bad) = answer.bad {
            self.report_violation("MIXED", format!("{id}: bytes that are no answer: {bad}"));
        }
        let (asked, sent, runs) = {
            let requests = self.requests.borrow();
            let Some(attempt) = requests.attempts.get(id) else {
                return;
            };
            (attempt.attempt.clone(), attempt.sent, attempt.runs.clone())
        };
        self.count(&asked, sent, answer);
        if answer.attempt.as_deref().is_some_and(|other| other != id) {
            self.report_violation(
                "MIXED",
                format!("{id} got the answer of {:?}", answer.attempt),
            );
        }
        match answer.status {
            0 => {}
            200..=299 => self.check_success(id, answer, &runs),
            408 | 421 | 429 | 503 if !asked.kind.is_retryable() => {
                if !runs.is_empty() {
                    self.report_violation(
                        "REFUSED",
                        format!("{id} got {} and has run", answer.status),
                    );
                }
                if let Some(attempt) = self.requests.borrow_mut().attempts.get_mut(id) {
                    attempt.promised = Some(answer.status);
                }
            }
            401 | 403 | 404 => {
                self.check_config(id, &asked, sent, Handled::Refused(answer.status));
            }
            _ => {}
        }
        if answer.status == 0 && !answer.abandoned {
            self.count_unanswered(&asked, sent, &runs);
        }
        if !answer.is_complete && !answer.abandoned {
            self.check_lost(id, &asked, sent, &runs);
        }
    }

    fn check_success(&self, id: &str, answer: &ClientResponse, runs: &[u64]) {
        let sealed = answer
            .seal
            .as_deref()
            .and_then(|s| s.strip_prefix("seal-")?.parse::<u64>().ok());
        let Some(run) = sealed.filter(|r| runs.contains(r)) else {
            return self.report_violation(
                "MIXED",
                format!("{id} got a success under the seal {:?}", answer.seal),
            );
        };
        if answer.streams {
            return self.check_events(id, answer, runs, run);
        }
        let word = self.requests.borrow().runs[run as usize].path.clone();
        let length = word
            .rsplit('/')
            .next()
            .and_then(|w| w.get(1..)?.parse().ok())
            .unwrap_or(1);
        if answer.is_complete && answer.body != body_of(run, length).as_bytes() {
            self.report_violation(
                "MIXED",
                format!("{id} got another body than run {run} made"),
            );
        }
    }

    /// Events rise by one; a change of the run is where that run went on.
    fn check_events(&self, id: &str, answer: &ClientResponse, runs: &[u64], first: u64) {
        let (resumed, path): (Vec<(u64, u64)>, String) = {
            let requests = self.requests.borrow();
            let resumed = runs
                .iter()
                .map(|r| (*r, requests.runs[*r as usize].resumed))
                .collect();
            (resumed, requests.runs[first as usize].path.clone())
        };
        let count: u64 = path
            .rsplit('/')
            .next()
            .and_then(|w| w.get(1..)?.parse().ok())
            .unwrap_or(1);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let start = resumed.iter().find(|r| r.0 == first).map_or(0, |r| r.1);
        let (mut run, mut last) = (first, start);
        let mut rest = text.as_str();
        while let Some(end) = rest.find("\n\n") {
            let event = &rest[..end + 2];
            rest = &rest[end + 2..];
            if event == event_of(run, last + 1) {
                last += 1;
                continue;
            }
            // Taken up elsewhere: only by a run that was told to go on from here.
            let next = resumed
                .iter()
                .find(|(r, at)| event == event_of(*r, last + 1) && *at == last);
            match next {
                Some((next, _)) => {
                    run = *next;
                    last += 1;
                }
                None => {
                    let what = format!("{id}: {event:?} after event {last} of run {run}");
                    return self.report_violation("ORDER", what);
                }
            }
        }
        if answer.is_complete && (last != count || !rest.is_empty()) {
            self.report_violation(
                "ORDER",
                format!("{id} looks complete after event {last} of {count}"),
            );
        }
    }

    /// LOST: around planned work alone, what was read is answered.
    fn check_lost(&self, id: &str, asked: &super::Attempt, sent: Instant, runs: &[u64]) {
        let now = Instant::now();
        let server_faulted = self
            .requests
            .borrow()
            .server_faulted
            .iter()
            .any(|f| runs.contains(f));
        let from = sent.checked_sub(self.bounds.contact).unwrap_or(sent);
        let late = now - sent > self.bounds.loss_slack || !runs.is_empty();
        let planned = self.is_planned(asked.node, sent, now);
        if planned
            && late
            && !server_faulted
            && now < asked.until
            && !self.any_unplanned_fault(from, now)
        {
            let what = format!(
                "{id} at {} ended without a whole answer, sent {:?} before",
                asked.node,
                now - sent
            );
            self.report_violation("LOST", what);
        }
    }
}
