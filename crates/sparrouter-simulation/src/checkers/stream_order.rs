//! ORDER: the events of a stream rise by one, and a change of the run is where that run was asked to continue.

use super::response_integrity::sealed_run;
use super::{Checker, Context};
use crate::monitor::{AttemptRecord, ClientResponse, Observations};
use crate::server::{ResponseSpec, event_of};

/// See the module.
pub(super) struct StreamOrder;

/// Follows the events of a response.
struct StreamReader<'a> {
    runs: &'a [u64],
    observations: &'a Observations,
    /// The run that the last event came from.
    run: u64,
    /// Number of the last event.
    last: u64,
}

impl StreamReader<'_> {
    /// Number of the event that a run continues after.
    fn resumed_after(&self, run: u64) -> u64 {
        self.observations.runs[run as usize].resumed_after
    }

    /// Whether this is the next event, of the same run or of one that continues here.
    fn accept(&mut self, event: &str) -> bool {
        let next = self.last + 1;
        if event == event_of(self.run, next) {
            self.last = next;
            return true;
        }
        let continues =
            |run: &&u64| self.resumed_after(**run) == self.last && event == event_of(**run, next);
        let Some(run) = self.runs.iter().find(continues) else {
            return false;
        };
        self.run = *run;
        self.last = next;
        true
    }
}

/// How the events of a response are out of order.
fn disorder(
    response: &ClientResponse,
    runs: &[u64],
    observations: &Observations,
) -> Option<String> {
    let first = sealed_run(response, runs)?;
    let mut reader = StreamReader {
        runs,
        observations,
        run: first,
        last: observations.runs[first as usize].resumed_after,
    };
    let text = String::from_utf8_lossy(&response.body);
    let mut rest: &str = &text;
    while let Some(end) = rest.find("\n\n") {
        let (event, after) = rest.split_at(end + 2);
        if !reader.accept(event) {
            let StreamReader { run, last, .. } = reader;
            return Some(format!(": {event:?} after event {last} of run {run}"));
        }
        rest = after;
    }
    let count = ResponseSpec::of_path(&observations.runs[first as usize].path).count;
    let last = reader.last;
    (response.is_complete && (last != count || !rest.is_empty()))
        .then(|| format!(" looks complete after event {last} of {count}"))
}

impl Checker for StreamOrder {
    fn response_received(
        &mut self,
        response: &ClientResponse,
        record: &AttemptRecord,
        context: &mut Context,
    ) {
        if !response.is_stream || !matches!(response.status, 200..=299) {
            return;
        }
        if let Some(disorder) = disorder(response, &record.runs, context.observations) {
            context.violated("ORDER", format!("{}{disorder}", record.id));
        }
    }
}
