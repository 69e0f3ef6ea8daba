//! Handover: a member that shuts down makes sure that the other members have its control state before it ends.
use super::{CONFIG, Control};
use crate::platform::defects::rules;
use std::rc::Rc;
use std::time::Duration;

/// Time between two requests to the other members for their state.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(150);

impl Control {
    /// Asks the other members which states they have, until this process ends.
    pub async fn hand_over(self: Rc<Self>) {
        loop {
            let now = self.node.now();
            for register in self.registers.borrow_mut().iter_mut() {
                register.continue_handover(now);
            }
            self.carry_out_actions();
            tokio::time::sleep(self.node.jitter(HANDOVER_INTERVAL)).await;
        }
    }

    /// Whether the other members have all the state of this member and can act without it, and no call waits here for
    /// an answer of a group.
    pub fn is_handed_over(&self) -> bool {
        if !rules::shutdown_awaits_handover() {
            return true;
        }
        self.operations.is_empty() && self.shards_not_handed_over().is_empty()
    }

    /// The shards that are not handed over, by the names that operators see.
    pub fn shards_not_handed_over(&self) -> Vec<String> {
        let now = self.node.now();
        let registers = self.registers.borrow();
        let remaining = registers.iter().filter(|r| !r.is_handed_over(now));
        remaining
            .map(|register| match register.shard() {
                CONFIG => "configuration".to_owned(),
                shard => format!("leases {shard}"),
            })
            .collect()
    }
}
