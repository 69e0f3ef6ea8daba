//! How long prompts wait at servers: each server's backlog is counted by the node that owns the server.
use crate::node::{Node, PREFIX_RETENTION};
use crate::peer::messages::{Call, Reply};
use sparrouter_routing::Nanos;
use std::time::Duration;

/// Servers that are kept count of before old counts are dropped.
const MOST_BACKLOGS: usize = 4_096;
/// An owner's answer is waited for so long: reading a prefix anew costs more, but not every time.
const ADVICE: Duration = Duration::from_millis(25);

impl Node {
    /// Counts a prompt at a server that this node keeps, unless it would wait too long. Gives back how long it would.
    pub fn wait_here(&self, server: u64, token: u64, cost: u32, urgency: u8, most: Nanos) -> Nanos {
        let now = self.now();
        let mut backlogs = self.owned_keys.backlogs.borrow_mut();
        if backlogs.len() > MOST_BACKLOGS {
            backlogs.retain(|_, b| now.saturating_sub(b.last_used_at()) < PREFIX_RETENTION);
        }
        let backlog = backlogs.entry(server).or_default();
        let wait = backlog.estimate_wait(u32::from(urgency), now);
        if wait <= most {
            backlog.enqueue(token, f64::from(cost), u32::from(urgency), now);
        }
        wait
    }

    pub fn over_here(&self, server: u64, token: u64, began: bool) {
        if let Some(backlog) = self.owned_keys.backlogs.borrow_mut().get_mut(&server) {
            backlog.remove(token, began, self.now());
        }
    }

    /// Asks the server's keeper. None where it did not answer: then nothing is known.
    pub async fn estimate_wait(
        &self,
        server: u64,
        token: u64,
        cost: u32,
        urgency: u8,
        most: Nanos,
    ) -> Option<Nanos> {
        let Some(keeper) = self.owner(server) else {
            return Some(self.wait_here(server, token, cost, urgency, most));
        };
        let most_ms = (most / 1_000_000).min(u64::from(u32::MAX)) as u32;
        match self
            .links
            .call(
                keeper,
                &Call::EstimateWait {
                    server,
                    token,
                    cost,
                    urgency,
                    max_wait_ms: most_ms,
                },
                ADVICE,
            )
            .await
        {
            Ok(Reply::Wait { ms }) => Some(u64::from(ms) * 1_000_000),
            _ => None,
        }
    }

    pub fn finish_prompt(&self, server: u64, token: u64, began: bool) {
        match self.owner(server) {
            None => self.over_here(server, token, began),
            Some(keeper) => self.links.cast(
                keeper,
                &Call::PromptFinished {
                    server,
                    token,
                    began,
                },
            ),
        }
    }
}
