//! MIXED: a client gets the response of a run of its own request, unchanged, and nothing else on its connection.

use super::{Checker, Context};
use crate::monitor::{AttemptRecord, ClientResponse, Observations};
use crate::server::{FAILURE_STATUS, ResponseSpec, body_of, failure_of};

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

/// Why a complete failure with a seal is not the one that a run gave.
fn defect_of_failure(response: &ClientResponse, runs: &[u64]) -> Option<String> {
    if !response.is_complete || response.seal.is_none() {
        return None;
    }
    let Some(run) = sealed_run(response, runs) else {
        return Some(format!("got a failure under the seal {:?}", response.seal));
    };
    let is_given = response.status == FAILURE_STATUS && response.body == failure_of(run).as_bytes();
    (!is_given).then(|| format!("got another failure than run {run} gave"))
}

impl Checker for ResponseIntegrity {
    fn response_received(
        &mut self,
        response: &ClientResponse,
        record: &AttemptRecord,
        context: &mut Context,
    ) {
        let id = &record.id;
        if let Some(malformed) = response.malformed {
            context.violated(
                "MIXED",
                format!("{id}: bytes that are no response: {malformed}"),
            );
        }
        if let Some(other) = &response.attempt_id
            && other != id
        {
            context.violated("MIXED", format!("{id} got the response of {other}"));
        }
        let defect = match response.status {
            200..=299 => defect_of_success(response, &record.runs, context.observations),
            300.. => defect_of_failure(response, &record.runs),
            _ => None,
        };
        if let Some(defect) = defect {
            context.violated("MIXED", format!("{id} {defect}"));
        }
    }
}
