//! The register: one shard's replicated value at one node. It combines the Paxos roles and reconfiguration.
//!
//! Inputs are calls, messages and completed stores; outputs are `Action`s (`Register::take_actions`). The register does
//! no I/O and has no clock and no threads: the caller passes in the time, sends messages, stores records, and calls
//! `tick` at `next_wake`.
//!
//! | part | state | submodule |
//! | --- | --- | --- |
//! | proposer | `proposer`, `operations` | `proposal` (changes), `read` (quorum reads) |
//! | acceptor | `acceptor` | `delivery` |
//! | learner | `learner` | `publication` |
//! | reconfiguration, hand-over | `reconfiguration`, `handover` | `membership` |
//! | catch-up | `transfers`, `anti_entropy` | `catch_up` |
mod catch_up;
mod delivery;
mod membership;
mod proposal;
mod publication;
mod read;

use crate::acceptor::{Acceptor, StoreRequest};
use crate::anti_entropy::AntiEntropy;
use crate::codec::CodecError;
use crate::handover::Handover;
use crate::learner::Learner;
use crate::machine::Machine;
use crate::message::{Message, Outgoing, Received};
use crate::operation::{OperationKind, OperationQueue, Outcome, Rejection};
use crate::proposer::Proposer;
use crate::quorum::QuorumRule;
use crate::reconfiguration::Reconfiguration;
use crate::record::Record;
use crate::settings::Settings;
use crate::time::Nanos;
use crate::transfer::{TransferCounts, Transfers};
use crate::vote::{Member, SharedVote, State, VoteId, contains_disk};
use fastrand::Rng;
use std::collections::VecDeque;

/// An action that the caller has to carry out for a register.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the node at this member's address. The message may be lost.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Replace this shard's record on disk by these bytes, sync the disk, then call `Register::stored`.
    Store {
        /// Identifies the store.
        token: u64,
        /// The encoded `Record`.
        bytes: Vec<u8>,
    },
    /// This state is chosen. The slots of consecutive `Chosen` actions strictly increase; slots may be skipped.
    Chosen(State),
    /// An operation completed. There is exactly one such action for each call of `propose` or `read`.
    Completed {
        /// The caller's id of the operation.
        op: u64,
        /// The result of the operation.
        outcome: Outcome,
    },
}

/// The reason why a register could not be started.
#[derive(Debug, thiserror::Error)]
pub enum RegisterError {
    /// The record on disk could not be decoded.
    #[error(
        "the record of shard {shard} can't be decoded: {source}; treat the disk as wiped, so that the node joins under a new disk id"
    )]
    Record {
        /// The register's shard.
        shard: u16,
        /// The decoding error.
        source: CodecError,
    },
}

/// One shard's replicated value at one node.
#[derive(Clone, Debug)]
pub struct Register<M: Machine> {
    shard: u16,
    /// This node with its disk id. Both are fixed: a wiped disk gets a new register.
    own_member: Member,
    /// The state machine that applies changes to the body.
    machine: M,
    settings: Settings,
    /// Source of the incarnation, proposal ids, nonces and random delays.
    rng: Rng,
    acceptor: Acceptor,
    learner: Learner,
    proposer: Proposer,
    /// Decides whether a set of disks is a quorum, for proposals and reads.
    quorum: QuorumRule,
    /// Pending operations. Each results in one `Action::Completed`, internal operations of the register in none.
    operations: OperationQueue,
    reconfiguration: Reconfiguration,
    handover: Handover,
    transfers: Transfers,
    anti_entropy: AntiEntropy,
    /// Received messages that are not handled yet. The inbox is empty between two calls of the register.
    inbox: VecDeque<Received>,
    /// Actions for the caller, in the order in which it has to carry them out.
    actions: Vec<Action>,
}

impl<M: Machine> Register<M> {
    /// Starts a register from `record`, the bytes of the last successful `Action::Store`, or `None` if there was none.
    /// The initial record of a shard's first group is created by `Record::bootstrap`. `rng` needs a different seed at
    /// each start of a node, because the incarnation in the node's proposal numbers is drawn from it.
    ///
    /// # Errors
    /// The record can't be decoded. The caller then has to treat the disk as wiped.
    pub fn new(
        shard: u16,
        own_member: Member,
        record: Option<&[u8]>,
        machine: M,
        mut rng: Rng,
        settings: Settings,
        now: Nanos,
    ) -> Result<Register<M>, RegisterError> {
        let max_bytes = settings.max_message_bytes();
        let record = record
            .map(|bytes| Record::decode(bytes, max_bytes))
            .transpose()
            .map_err(|source| RegisterError::Record { shard, source })?
            .unwrap_or_default();
        let incarnation = rng.u64(..);
        let term = record.promised.term;
        let first_group = record
            .accepted
            .as_ref()
            .map_or_else(Vec::new, |vote| vote.state.members.clone());
        Ok(Register {
            shard,
            proposer: Proposer::new(own_member.disk_id, incarnation, term, settings.round_trip),
            acceptor: Acceptor::new(record),
            learner: Learner::new(own_member.disk_id),
            quorum: QuorumRule::new(first_group, settings.defects.clone()),
            operations: OperationQueue::default(),
            reconfiguration: Reconfiguration::default(),
            handover: Handover::default(),
            transfers: Transfers::default(),
            anti_entropy: AntiEntropy::new(&mut rng, &settings, now),
            inbox: VecDeque::new(),
            actions: Vec::new(),
            own_member,
            machine,
            rng,
            settings,
        })
    }

    /// The shard whose value this register holds.
    pub fn shard(&self) -> u16 {
        self.shard
    }

    /// The newest state that this node knows to be chosen.
    pub fn chosen(&self) -> Option<&State> {
        self.learner.chosen().map(|vote| &vote.state)
    }

    /// The newest state that this node accepted. It may not be chosen, and the newest chosen state may be any number of
    /// slots newer. Only `read` and `propose` return a confirmed state.
    pub fn unconfirmed(&self) -> Option<&State> {
        self.accepted().map(|vote| &vote.state)
    }

    /// Number of times that a second state of a slot was reported as chosen. Any value but 0 is a violation of
    /// agreement, which the caller should log.
    pub fn conflicts(&self) -> u64 {
        self.learner.conflicts()
    }

    /// Counts of the large bodies that this node fetched.
    pub fn transfer_counts(&self) -> TransferCounts {
        self.transfers.counts
    }

    /// The newest group that this node knows; empty if it knows none.
    pub fn members(&self) -> &[Member] {
        self.accepted().map_or(&[], |vote| &vote.state.members)
    }

    /// The newest vote that this node accepted, which may not be on disk yet.
    pub fn accepted_vote(&self) -> Option<VoteId> {
        self.accepted().map(|vote| vote.id())
    }

    /// Whether this node is a member of the newest group that it knows.
    pub fn is_member(&self) -> bool {
        contains_disk(self.members(), self.own_member.disk_id)
    }

    fn accepted(&self) -> Option<&SharedVote> {
        self.acceptor.accepted()
    }

    /// Applies `change` to the newest state. Results in `Action::Completed` by `deadline`, with the caller's operation
    /// id `op`.
    pub fn propose(&mut self, op: u64, change: Vec<u8>, deadline: Nanos, now: Nanos) {
        if change.len() > self.settings.max_change_bytes {
            return self.complete(Some(op), Outcome::Rejected(Rejection::TooLarge));
        }
        self.submit(op, OperationKind::Change(change), deadline, now);
    }

    /// Reads the body of the newest chosen state. Results in `Action::Completed` by `deadline`, with the caller's
    /// operation id `op`. A read stores nothing unless the members disagree about the newest vote.
    pub fn read(&mut self, op: u64, deadline: Nanos, now: Nanos) {
        self.submit(op, OperationKind::Read, deadline, now);
    }

    fn submit(&mut self, op: u64, kind: OperationKind, deadline: Nanos, now: Nanos) {
        if self.operations.len() >= self.settings.max_pending {
            return self.complete(Some(op), Outcome::Rejected(Rejection::Busy));
        }
        self.operations.push(Some(op), kind, deadline);
        self.make_progress(now);
    }

    /// Handles a message from the node `from`, which the caller identifies by the node's current disk id.
    pub fn handle(&mut self, from: Member, message: Message, now: Nanos) {
        self.inbox.push_back(Received { from, message });
        self.make_progress(now);
    }

    /// Handles the end of the store `token`. If it failed (`ok == false`), its bytes may still be on disk, and the
    /// store is retried later.
    pub fn stored(&mut self, token: u64, ok: bool, now: Nanos) {
        self.acceptor.on_store_ended(token, ok, now, &self.settings);
        self.announce_stored_slot();
        self.make_progress(now);
    }

    /// Handles all timers that are due: deadlines of operations, repeats of requests, and anti-entropy.
    pub fn tick(&mut self, now: Nanos) {
        self.complete_expired(now);
        if self.operations.is_empty() {
            self.end_phase_without_operations();
        }
        self.on_proposer_timer(now);
        let sends = self.transfers.tick(&self.settings, now);
        self.send_all(sends);
        self.run_anti_entropy(now);
        self.run_confirmation(now);
        self.make_progress(now);
    }

    /// When the caller has to call `tick` next.
    pub fn next_wake(&self) -> Option<Nanos> {
        let timers = [
            self.operations.next_deadline(),
            self.proposer.next_wake(),
            Some(self.anti_entropy.next_wake()),
            self.acceptor.next_wake(),
            self.transfers.next_wake(),
        ];
        timers.into_iter().flatten().min()
    }

    /// Removes and returns the actions that the caller has to carry out, in this order. The list is empty if there were
    /// no new actions since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Handles received messages and pending operations until the inbox is empty, sends the replies whose record is on
    /// disk, and starts a store if the record has changed.
    fn make_progress(&mut self, now: Nanos) {
        loop {
            while let Some(received) = self.inbox.pop_front() {
                self.deliver(received, now);
            }
            self.drive_operations(now);
            let replies = self.acceptor.take_replies(&self.settings);
            self.send_all(replies);
            if let Some(store) = self.acceptor.next_store(now, &self.settings) {
                let StoreRequest { token, bytes } = store;
                self.actions.push(Action::Store { token, bytes });
            }
            if self.inbox.is_empty() {
                break;
            }
        }
        if self.needs_confirmation() {
            self.anti_entropy
                .schedule_confirmation(&mut self.rng, &self.settings, now);
        }
    }

    /// Sends a message. A message to this node itself is handled before the current call of the register returns.
    fn send(&mut self, to: Member, message: Message) {
        if to.disk_id == self.own_member.disk_id {
            self.inbox.push_back(Received { from: to, message });
        } else {
            let message = self.transfers.outline(message, &self.settings);
            self.actions.push(Action::Send { to, message });
        }
    }

    fn send_all(&mut self, sends: Vec<Outgoing>) {
        for Outgoing { to, message } in sends {
            self.send(to, message);
        }
    }

    /// Reports the outcome of an operation to the caller; without an id there is no caller to report to.
    fn complete(&mut self, id: Option<u64>, outcome: Outcome) {
        if let Some(op) = id {
            self.actions.push(Action::Completed { op, outcome });
        }
    }

    /// Ends a query, whose result no operation waits for. Votes are still awaited: if each operation requested them anew,
    /// none would complete where a store takes longer than an operation may.
    fn end_phase_without_operations(&mut self) {
        if self.proposer.is_querying() || self.settings.defects.votes_end_with_operations {
            self.proposer.end_phase();
        }
    }

    fn complete_expired(&mut self, now: Nanos) {
        for operation in self.operations.take(|o| o.deadline <= now) {
            let outcome = operation.expired_outcome();
            self.complete(operation.id, outcome);
        }
    }
}
