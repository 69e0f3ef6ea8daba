//! ONE: a single owner of the rollout lease at a time commands a server.

use super::{Checker, Context};
use crate::monitor::{Bounds, RolloutCommand};

/// See the module.
pub(super) struct RolloutLease;

/// How a command conflicts with the earlier ones at the same server.
fn conflict(
    command: &RolloutCommand,
    earlier: &[RolloutCommand],
    bounds: &Bounds,
) -> Option<String> {
    let RolloutCommand {
        server,
        lease_owner,
        fencing_token,
        received_at,
    } = command;
    let is_other = |other: &RolloutCommand| other.lease_owner != *lease_owner;
    if !bounds.fencing && earlier.iter().any(|e| e.fencing_token > *fencing_token) {
        return Some(format!(
            "{lease_owner} commands {server} under {fencing_token}, lower than before"
        ));
    }
    // An owner, another one, and the first one again.
    let own = earlier.iter().rposition(|e| !is_other(e));
    if let Some(own) = own
        && earlier[own + 1..].iter().any(is_other)
        && *received_at - earlier[own].received_at <= bounds.lease
    {
        return Some(format!(
            "{lease_owner} and another one command {server} alternately"
        ));
    }
    let has_same_token = |e: &RolloutCommand| e.fencing_token == *fencing_token && is_other(e);
    earlier
        .iter()
        .any(has_same_token)
        .then(|| format!("two lease owners command {server} under {fencing_token}"))
}

impl Checker for RolloutLease {
    fn command_received(
        &mut self,
        command: &RolloutCommand,
        earlier: &[RolloutCommand],
        context: &mut Context,
    ) {
        if let Some(conflict) = conflict(command, earlier, &context.observations.bounds) {
            context.violated("ONE", conflict);
        }
    }
}
