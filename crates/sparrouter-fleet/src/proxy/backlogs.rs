//! How long prompts wait at servers: each server's backlog is counted by the node that owns the server.
use crate::node::{Node, PREFIX_RETENTION};
use crate::peer::messages::{Call, Reply};
use sparrouter_routing::Nanos;
use std::time::Duration;

/// Beyond this many backlogs, those that were not used lately are dropped.
const MAX_BACKLOGS: usize = 4_096;
/// How long an owner's reply is awaited: its estimate is worth less than the time.
const ESTIMATE_TIMEOUT: Duration = Duration::from_millis(25);
const NANOS_PER_MS: u64 = 1_000_000;

/// A prompt that waits at a server until its first token.
#[derive(Clone, Copy, Debug)]
pub struct WaitingPrompt {
    /// Hash of the server's id.
    pub server: u64,
    /// By which the prompt is known: a random number.
    pub token: u64,
    /// Tokens to prefill.
    pub cost: u32,
    /// Class of urgency, 0 for the most urgent.
    pub urgency: u8,
}

impl Node {
    /// Counts a prompt at a server that this node owns, unless it would wait longer than `max_wait`. Returns how long it
    /// would wait.
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

    /// Ends the wait of a prompt at a server that this node owns. `began`: its first token came; false: it ended without.
    pub fn dequeue_here(&self, server: u64, token: u64, began: bool) {
        let mut backlogs = self.owned_keys.backlogs.borrow_mut();
        if let Some(backlog) = backlogs.get_mut(&server) {
            backlog.remove(token, began, self.now());
        }
    }

    /// Counts a prompt at the server's owner as [`Node::enqueue_here`] does. `None` if the owner did not answer in time:
    /// then nothing is known.
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

    /// Ends the wait of a prompt at the server's owner.
    pub fn dequeue(&self, server: u64, token: u64, began: bool) {
        let Some(owner) = self.owner(server) else {
            return self.dequeue_here(server, token, began);
        };
        let call = Call::PromptFinished {
            server,
            token,
            began,
        };
        self.links.cast(owner, &call);
    }
}
