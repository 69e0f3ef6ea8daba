//! Estimates of how long prompts wait at servers. The node that owns a server counts that server's backlog.
use crate::node::{Node, PREFIX_RETENTION};
use crate::peer::messages::{Call, Reply};
use sparrouter_routing::Nanos;
use std::time::Duration;

/// Number of backlogs above which those unused for [`PREFIX_RETENTION`] are dropped.
const MAX_BACKLOGS: usize = 4_096;
/// Time-out of a call to a server's owner. Waiting longer would cost more time than the estimate saves.
const ESTIMATE_TIMEOUT: Duration = Duration::from_millis(25);
const NANOS_PER_MS: u64 = 1_000_000;

/// A prompt that waits at a server for its first token.
#[derive(Clone, Copy, Debug)]
pub struct WaitingPrompt {
    /// Hash of the server's id.
    pub server: u64,
    /// Random number that identifies the prompt in the server's backlog.
    pub token: u64,
    /// Number of tokens to prefill.
    pub cost: u32,
    /// Urgency class; 0 is the most urgent.
    pub urgency: u8,
}

impl Node {
    /// Adds a prompt to the backlog of a server that this node owns, unless its estimated wait exceeds `max_wait`.
    /// Returns the estimated wait in nanoseconds.
    pub fn enqueue_here(&self, prompt: WaitingPrompt, max_wait: Nanos) -> Nanos {
        let now = self.now();
        let mut backlogs = self.owned_keys.backlogs.borrow_mut();
        if backlogs.len() > MAX_BACKLOGS {
            backlogs.retain(|_, b| now.saturating_sub(b.last_used_at()) < PREFIX_RETENTION);
        }
        let backlog = backlogs.entry(prompt.server).or_default();
        let urgency = u32::from(prompt.urgency);
        let wait = backlog.estimate_wait(urgency, now);
        if wait <= max_wait {
            backlog.enqueue(prompt.token, f64::from(prompt.cost), urgency, now);
        }
        wait
    }

    /// Removes a prompt from the backlog of a server that this node owns. `has_first_token`: whether the prompt's first
    /// token has arrived; false if the request ended without one.
    pub fn dequeue_here(&self, server: u64, token: u64, has_first_token: bool) {
        let mut backlogs = self.owned_keys.backlogs.borrow_mut();
        if let Some(backlog) = backlogs.get_mut(&server) {
            backlog.remove(token, has_first_token, self.now());
        }
    }

    /// Adds a prompt to the backlog at the server's owner, as [`Node::enqueue_here`] does. Returns the estimated wait
    /// in nanoseconds, or `None` if the owner did not reply in time.
    pub async fn enqueue(&self, prompt: WaitingPrompt, max_wait: Nanos) -> Option<Nanos> {
        let Some(owner) = self.owner(prompt.server) else {
            return Some(self.enqueue_here(prompt, max_wait));
        };
        let call = Call::EstimateWait {
            server: prompt.server,
            token: prompt.token,
            cost: prompt.cost,
            urgency: prompt.urgency,
            max_wait_ms: (max_wait / NANOS_PER_MS).min(u64::from(u32::MAX)) as u32,
        };
        match self.links.call(owner, &call, ESTIMATE_TIMEOUT).await {
            Ok(Reply::Wait { ms }) => Some(u64::from(ms) * NANOS_PER_MS),
            _ => None,
        }
    }

    /// Removes a prompt from the backlog at the server's owner, as [`Node::dequeue_here`] does.
    pub fn dequeue(&self, server: u64, token: u64, has_first_token: bool) {
        let Some(owner) = self.owner(server) else {
            return self.dequeue_here(server, token, has_first_token);
        };
        let call = Call::PromptFinished {
            server,
            token,
            began: has_first_token,
        };
        self.links.cast(owner, &call);
    }
}
