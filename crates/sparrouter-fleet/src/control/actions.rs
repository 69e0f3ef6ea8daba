//! The task that runs the registers: timers, completed disk writes, and the actions that the registers request.
use super::{CONFIG, Control, LEASE_SHARDS, MAX_MESSAGE_BYTES};
use crate::control::configuration_state::{ConfigurationState, NamedVersion};
use crate::control::disk::{WriteOutcome, WriteRequest};
use crate::peer::messages::{Call, ConfigUpdate, ModelUpdate, TextUpdate, VersionsUpdate};
use sparrouter_codec::Blob;
use sparrouter_consensus::{Action, Member, Message, Register};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// Longest time between two ticks of the registers, in nanoseconds.
const MAX_TICK_INTERVAL: u64 = 1_000_000_000;
/// Shortest time between two ticks, so that registers with constant work leave time for other tasks.
const MIN_TICK_INTERVAL: Duration = Duration::from_micros(200);

impl Control {
    /// Runs the registers until the process ends. `written` receives the outcomes of disk writes.
    pub(super) async fn run_registers(
        self: Rc<Self>,
        mut written: UnboundedReceiver<WriteOutcome>,
    ) {
        loop {
            // The fixed order makes runs with the same seed identical. The timer comes first because messages may never
            // stop arriving.
            tokio::select! {
                biased;
                () = tokio::time::sleep(self.until_next_tick()) => self.tick_registers(),
                Some(outcome) = written.recv() => self.handle_write_outcome(outcome),
                () = self.wake.notified() => {}
            }
            self.carry_out_actions();
        }
    }

    fn until_next_tick(&self) -> Duration {
        let now = self.node.now();
        let registers = self.registers.borrow();
        let next = registers.iter().filter_map(Register::next_wake).min();
        let tick_at = next.unwrap_or(now + MAX_TICK_INTERVAL);
        Duration::from_nanos(tick_at.saturating_sub(now)).max(MIN_TICK_INTERVAL)
    }

    fn tick_registers(&self) {
        let now = self.node.now();
        for register in self.registers.borrow_mut().iter_mut() {
            register.tick(now);
        }
    }

    fn handle_write_outcome(&self, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Vote { error } => self.handle_vote_written(error),
            WriteOutcome::Rows { error } => self.handle_membership_written(error),
            WriteOutcome::VersionAges => self.disk.is_writing_version_ages.set(false),
            WriteOutcome::Shard {
                shard,
                token,
                error,
            } => {
                self.confirm_write(shard, token, error.is_none());
                self.disk.record_failure(error);
            }
        }
    }

    /// Reports to a register whether its record was written to disk.
    fn confirm_write(&self, shard: u16, token: u64, is_written: bool) {
        let now = self.node.now();
        self.registers.borrow_mut()[usize::from(shard)].stored(token, is_written, now);
    }

    /// Carries out the requested actions until the registers request no more.
    pub(super) fn carry_out_actions(&self) {
        for shard in 0..=LEASE_SHARDS {
            loop {
                let actions = self.registers.borrow_mut()[usize::from(shard)].take_actions();
                if actions.is_empty() {
                    break;
                }
                for action in actions {
                    self.carry_out(shard, action);
                }
            }
        }
    }

    fn carry_out(&self, shard: u16, action: Action) {
        match action {
            Action::Send { to, message } => self.send_message(shard, &to, &message),
            Action::Store { token, bytes } => self.write_record(shard, token, bytes),
            Action::Chosen(state) => {
                if shard == CONFIG {
                    self.publish_configuration(state.slot, &state.body);
                }
                self.node.notify_subscribers();
            }
            Action::Completed { op, outcome } => self.operations.complete(op, outcome),
        }
    }

    fn send_message(&self, shard: u16, to: &Member, message: &Message) {
        let Ok(address) = to.address.parse::<SocketAddr>() else {
            return;
        };
        let own = &self.own_member;
        let call = Call::Consensus {
            shard,
            disk_id: own.disk_id,
            name: own.name.clone(),
            address: own.address.clone(),
            message: Blob(message.encode()),
        };
        self.node.links.cast(address, &call);
    }

    fn write_record(&self, shard: u16, token: u64, bytes: Vec<u8>) {
        let request = WriteRequest::Shard {
            shard,
            token,
            bytes,
        };
        if !self.disk.submit(request) {
            // Without a disk, promises hold only for this incarnation, and its disk id is never used again.
            self.confirm_write(shard, token, true);
        }
    }

    /// Applies a configuration that the group chose.
    pub(super) fn publish_configuration(&self, slot: u64, body: &[u8]) {
        let state = match ConfigurationState::read(body) {
            Ok(state) => state,
            Err(error) => {
                self.node.record_unreadable_state(slot_at_nodes(slot));
                return self.node.log_buffer.report_violation(&error.to_string());
            }
        };
        let versions = VersionsUpdate {
            models: state.models.iter().map(just_named).collect(),
            core_changed_age_ms: None,
        };
        self.node.apply_configuration(ConfigUpdate {
            slot: slot_at_nodes(slot),
            version: state.version,
            versions,
            text: TextUpdate::Complete(state.text),
        });
    }

    /// Handles a message of another member's register.
    pub fn handle_message(&self, shard: u16, from: Member, message: &[u8]) {
        let Ok(message) = Message::decode(message, MAX_MESSAGE_BYTES) else {
            return;
        };
        let now = self.node.now();
        if let Some(register) = self.registers.borrow_mut().get_mut(usize::from(shard)) {
            register.handle(from, message, now);
        }
        self.wake.notify_one();
    }
}

/// Converts a register slot to a configuration slot: register slots start at 0, nodes count from 1 and use 0 for
/// "unknown".
fn slot_at_nodes(slot: u64) -> u64 {
    slot + 1
}

/// Converts a named version of the register, which stores no times. The version counts as named now unless this node
/// knows it already, since the earliest time applies.
fn just_named(named: &NamedVersion) -> ModelUpdate {
    ModelUpdate {
        name: named.model.clone(),
        version: named.version,
        age_ms: 0,
    }
}
