//! MIXED: a client gets the response of a run of its own request, unchanged, and nothing else on its connection.

use super::{Checker, Context};
use crate::monitor::{AttemptRecord, ClientResponse, Observations};
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
        if matches!(response.status, 200..=299)
            && let Some(defect) = defect_of_success(response, &record.runs, context.observations)
        {
            context.violated("MIXED", format!("{id} {defect}"));
        }
    }
}
