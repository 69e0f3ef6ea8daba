//! Ages of named versions of weights, stored on the disks of control nodes so that they survive the loss of all
//! processes.
//!
//! The replicated register stores no timestamps, since clocks differ and may jump. Nodes report ages to each other, so
//! one surviving node preserves them; without the copy on disk every time limit would restart if all processes ended at
//! once. An age on disk is the age at its last write. The time since then, during which no process ran, is not added: a
//! version's total limit adds up only the time in which the core was stable, and without a process it was not.
use crate::control::Control;
use crate::node::Node;
use crate::peer::messages::ModelUpdate;
use crate::platform::defects::rules;
use nanoserde::SerBin;
use sparrouter_codec::Seq;

/// Restores the ages that the previous process wrote. Malformed data is ignored, and the time limits restart.
pub(super) fn restore(node: &Node, stored: &[u8]) {
    if !rules::stored_version_ages_count() {
        return;
    }
    match sparrouter_codec::read::<Seq<ModelUpdate>>(stored) {
        Some(models) => node.record_models(&models),
        None => log::warn!("ages of versions on disk cannot be read: time limits start anew"),
    }
}

/// Writes the current ages of the versions whose time limits are pending.
#[derive(Default)]
pub(super) struct VersionAgesWriter {
    /// Whether a limit was pending at the last call; if so, the ages are written one more time after all limits have
    /// passed.
    had_pending: bool,
}

impl VersionAgesWriter {
    /// Writes the ages, unless no limit is pending.
    pub(super) fn write(&mut self, node: &Node, control: &Control) {
        let has_pending = node.has_pending_version_limits();
        if has_pending || self.had_pending {
            control.write_version_ages(node.model_updates().serialize_bin());
        }
        self.had_pending = has_pending;
    }
}
