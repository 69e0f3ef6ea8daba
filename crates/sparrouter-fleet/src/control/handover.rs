//! A process that leaves hands its control state over to the other members before it ends.
use super::{CONFIG, Control};
use crate::platform::defects::rules;
use std::rc::Rc;
use std::time::Duration;

/// Between two questions to the other members what they hold.
const ASK_EVERY: Duration = Duration::from_millis(150);

impl Control {
    /// Asks the other members until this process ends.
    pub async fn hand_over(self: Rc<Self>) {
        loop {
            let now = self.node.now();
            for register in self.registers.borrow_mut().iter_mut() {
                register.continue_handover(now);
            }
            self.carry_out();
            tokio::time::sleep(self.node.jitter(ASK_EVERY)).await;
        }
    }

    /// Whether the other members hold everything that this one holds, and can act without it; calls that wait for an
    /// answer of the group here are over, too.
    pub fn is_handed_over(&self) -> bool {
        !rules::shutdown_awaits_handover()
            || (self.ops.borrow().is_empty() && self.held_back().is_empty())
    }

    /// The parts that are not handed over, by name.
    pub fn held_back(&self) -> Vec<String> {
        let now = self.node.now();
        let registers = self.registers.borrow();
        let parts = registers.iter().filter(|r| !r.is_handed_over(now));
        parts
            .map(|register| match register.shard() {
                CONFIG => "configuration".to_owned(),
                shard => format!("leases {shard}"),
            })
            .collect()
    }
}
