//! MIXED: a client gets the response of a run of its own request, unchanged, and nothing else on its connection.

use super::{Checker, Violation};
use crate::monitor::{ClientResponse, Event, Observations};
use crate::server::{ResponseSpec, body_of};

/// See the module.
pub(super) struct ResponseIntegrity;

/// The run whose seal a response has, if it is one of these.
pub(super) fn sealed_run(response: &ClientResponse, runs: &[u64]) -> Option<u64> {
    let seal = response.seal.as_deref()?;
    let run = seal.strip_prefix("seal-")?.parse().ok()?;
    runs.contains(&run).then_some(run)
}

/// Why a success is not the response of one of these runs.
fn defect_of_success(
    response: &ClientResponse,
    runs: &[u64],
    observations: &Observations,
) -> Option<String> {
    let Some(run) = sealed_run(response, runs) else {
        return Some(format!("got a success under the seal {:?}", response.seal));
    };
    if response.is_stream || !response.is_complete {
        return None;
    }
    let path = &observations.runs[run as usize].path;
    let length = ResponseSpec::of_path(path).count as usize;
    (response.body != body_of(run, length).as_bytes())
        .then(|| format!("got another body than run {run} made"))
}

impl Checker for ResponseIntegrity {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        let Event::ResponseReceived {
            attempt_id,
            response,
        } = event
        else {
            return;
        };
        let mut add = |description| violations.push(Violation::new("MIXED", description));
        if let Some(malformed) = response.malformed {
            add(format!(
                "{attempt_id}: bytes that are no response: {malformed}"
            ));
        }
        let Some(record) = observations.attempts.get(attempt_id) else {
            return;
        };
        let other = response.attempt_id.as_deref();
        if other.is_some_and(|other| other != attempt_id) {
            add(format!(
                "{attempt_id} got the response of {:?}",
                response.attempt_id
            ));
        }
        if matches!(response.status, 200..=299)
            && let Some(defect) = defect_of_success(response, &record.runs, observations)
        {
            add(format!("{attempt_id} {defect}"));
        }
    }
}
