//! ONE: a single owner of the rollout lease at a time commands a server.

use super::{Checker, Violation};
use crate::monitor::{Bounds, Event, Observations, RolloutCommand};

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
    let shares_token = |e: &RolloutCommand| e.fencing_token == *fencing_token && is_other(e);
    earlier
        .iter()
        .any(shares_token)
        .then(|| format!("two lease owners command {server} under {fencing_token}"))
}

impl Checker for RolloutLease {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        let Event::CommandReceived(command) = event else {
            return;
        };
        let commands = observations.commands.get(&command.server);
        let Some((_, earlier)) = commands.and_then(|all| all.split_last()) else {
            return;
        };
        let conflict = conflict(command, earlier, &observations.bounds);
        violations.extend(conflict.map(|c| Violation::new("ONE", c)));
    }
}
