//! One change or read of a shard through this node's own register.
use super::Control;
use crate::settings::nanos;
use sparrouter_consensus::{Outcome, Rejection};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// The pending operations of callers, by operation number.
///
/// Invariant: an entry exists from before its register receives the operation until the register completes it.
#[derive(Default)]
pub(super) struct PendingOperations {
    waiting: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    last_id: Cell<u64>,
}

impl PendingOperations {
    /// Registers a new operation. Returns its number and the channel that receives its outcome.
    fn begin(&self) -> (u64, oneshot::Receiver<Outcome>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (outcome, completed) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, outcome);
        (id, completed)
    }

    /// Sends the outcome of an operation to its caller.
    pub(super) fn complete(&self, id: u64, outcome: Outcome) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
            // The caller may have stopped waiting.
            let _ = waiting.send(outcome);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }
}

impl Control {
    /// Makes a change through this node's own register, within `timeout`.
    pub async fn change_here(&self, shard: u16, change: Vec<u8>, timeout: Duration) -> Outcome {
        self.operate(shard, Some(change), timeout).await
    }

    /// Reads a shard by a quorum, within `timeout`.
    pub(super) async fn read_here(&self, shard: u16, timeout: Duration) -> Outcome {
        self.operate(shard, None, timeout).await
    }

    /// Submits a change, or a read if `change` is `None`.
    async fn operate(&self, shard: u16, change: Option<Vec<u8>>, timeout: Duration) -> Outcome {
        let now = self.node.now();
        let completed = {
            let mut registers = self.registers.borrow_mut();
            let Some(register) = registers.get_mut(usize::from(shard)) else {
                return Outcome::Rejected(Rejection::NoGroup);
            };
            let (id, completed) = self.operations.begin();
            let deadline = now + nanos(timeout);
            match change {
                Some(change) => register.propose(id, change, deadline, now),
                None => register.read(id, deadline, now),
            }
            completed
        };
        self.wake.notify_one();
        completed.await.unwrap_or(Outcome::Unknown)
    }
}
