//! ONE: a single owner of the rollout lease at a time commands a server. DUTY: an owner that was refused, since another had
//! used a higher fencing token, gives up its own within the time of a lease.

use super::{Checker, Context};
use crate::monitor::{Bounds, RolloutCommand};
use std::time::Duration;
use tokio::time::Instant;

/// A fencing token that a server refused.
struct Refusal {
    lease_owner: String,
    fencing_token: u64,
    /// When it was first refused.
    refused_at: Instant,
}

/// See the module.
#[derive(Default)]
pub(super) struct RolloutLease {
    refusals: Vec<Refusal>,
}

impl RolloutLease {
    /// How long after its first refusal a token is used again, and records that it is refused.
    fn record_refusal(&mut self, command: &RolloutCommand, is_refused: bool) -> Option<Duration> {
        let is_same = |refusal: &&Refusal| {
            refusal.lease_owner == command.lease_owner
                && refusal.fencing_token == command.fencing_token
        };
        if let Some(refusal) = self.refusals.iter().find(is_same) {
            return Some(command.received_at - refusal.refused_at);
        }
        if is_refused {
            self.refusals.push(Refusal {
                lease_owner: command.lease_owner.clone(),
                fencing_token: command.fencing_token,
                refused_at: command.received_at,
            });
        }
        None
    }
}

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
    // Where servers check no tokens, a successor waits out the lease before its first command too.
    let last = earlier.last().filter(|last| is_other(last));
    let since_last = last.map(|last| *received_at - last.received_at);
    if let Some(elapsed) = since_last.filter(|elapsed| !bounds.fencing && *elapsed < bounds.lease) {
        return Some(format!(
            "{lease_owner} commands {server} {elapsed:?} after another one, within a lease"
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
        let bounds = &context.observations.bounds;
        if let Some(conflict) = conflict(command, earlier, bounds) {
            context.violated("ONE", conflict);
        }
        let is_higher = |e: &RolloutCommand| e.fencing_token > command.fencing_token;
        let is_refused = bounds.fencing && earlier.iter().any(is_higher);
        let since_refusal = self.record_refusal(command, is_refused);
        if since_refusal.is_some_and(|elapsed| elapsed > bounds.lease) {
            let RolloutCommand {
                server,
                lease_owner,
                fencing_token,
                ..
            } = command;
            context.violated(
                "DUTY",
                format!("{lease_owner} commands {server} under {fencing_token}, which was refused long before"),
            );
        }
    }
}
