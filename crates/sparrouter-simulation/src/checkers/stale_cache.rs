//! STALE: a run uses KV cache only of the weights that it runs on.

use super::{Checker, Context};
use crate::monitor::{AttemptRecord, CachedBlock, Run};

/// See the module.
pub(super) struct StaleCache;

impl Checker for StaleCache {
    fn run_started(&mut self, run: &Run, _: &AttemptRecord, context: &mut Context) {
        let is_stale = |block: &&CachedBlock| block.version != run.version;
        if let Some(block) = run.cached_blocks.iter().find(is_stale) {
            context.violated(
                "STALE",
                format!(
                    "{} runs on {} with cache of {}",
                    run.attempt_id, run.version, block.version
                ),
            );
        }
    }
}
