//! STALE: a run uses KV cache only of the weights that it runs on.

use super::{Checker, Violation};
use crate::monitor::{Event, Observations};

/// See the module.
pub(super) struct StaleCache;

impl Checker for StaleCache {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        let Event::RunStarted(run) = event else {
            return;
        };
        if !observations.attempts.contains_key(&run.attempt_id) {
            return;
        }
        let is_stale = |block: &&crate::monitor::CachedBlock| block.version != run.version;
        if let Some(block) = run.cached_blocks.iter().find(is_stale) {
            violations.push(Violation::new(
                "STALE",
                format!(
                    "{} runs on {} with cache of {}",
                    run.attempt_id, run.version, block.version
                ),
            ));
        }
    }
}
