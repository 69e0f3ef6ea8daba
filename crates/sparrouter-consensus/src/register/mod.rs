//! The register: one shard's replicated value at one node, which joins the roles of Paxos and its reconfiguration.
//!
//! Calls, messages and ends of stores go in; `Action`s come out (`Register::take_actions`). It does no I/O, has no
//! clock and no threads: the caller says what time it is, sends, stores, and calls `tick` at `next_wake`.
//!
//! | part | state | submodule that drives it |
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

/// What the caller has to do for a register.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the node at this member's address; it may be lost.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Replace this shard's record on disk by these bytes, sync, then call `Register::stored`.
    Store {
        /// Names the store.
        token: u64,
        /// The encoded `Record`.
        bytes: Vec<u8>,
    },
    /// This state is chosen. Slots rise strictly from one such action to the next; some may be left out.
    Chosen(State),
    /// A call ended. There is one such action for each call.
    Completed {
        /// The caller's name for the call.
        op: u64,
        /// How it ended.
        outcome: Outcome,
    },
}

/// Why a register could not be started.
#[derive(Debug, thiserror::Error)]
pub enum RegisterError {
    /// The record on disk can't be decoded.
    #[error(
        "the record of shard {shard} can't be read: {source}; treat the disk as wiped, so that it joins under a new id"
    )]
    Record {
        /// The register's shard.
        shard: u16,
        /// What is wrong with the record.
        source: CodecError,
    },
}

/// One shard's replicated value at one node.
#[derive(Clone, Debug)]
pub struct Register<M: Machine> {
    shard: u16,
    /// This node under its disk's id. Neither changes: a wiped disk gets a register of its own.
    me: Member,
    /// What a change means to the body.
    machine: M,
    settings: Settings,
    /// Draws incarnation, proposal ids, nonces and delays.
    rng: Rng,
    acceptor: Acceptor,
    learner: Learner,
    proposer: Proposer,
    /// What counts as a quorum, for proposals and reads alike.
    quorum: QuorumRule,
    /// Operations that have not completed; each ends in one `Action::Completed`, or in none if it is the register's own.
    operations: OperationQueue,
    reconfiguration: Reconfiguration,
    handover: Handover,
    transfers: Transfers,
    anti_entropy: AntiEntropy,
    /// Messages that are not handled yet: empty between two calls of the register.
    inbox: VecDeque<Received>,
    /// For the caller, in the order in which they have to be carried out.
    actions: Vec<Action>,
}

impl<M: Machine> Register<M> {
    /// Starts a register from `record`, the bytes of the last `Action::Store` that ended well, or `None` if there never
    /// was one. A group's first record is `Record::bootstrap`. `rng` must differ from start to start of a machine: it
    /// draws the incarnation of this start's proposal numbers.
    ///
    /// # Errors
    /// The record can't be decoded: the disk has to count as wiped.
    pub fn new(
        shard: u16,
        me: Member,
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
            proposer: Proposer::new(me.disk_id, incarnation, term, settings.round_trip),
            acceptor: Acceptor::new(record),
            learner: Learner::new(me.disk_id),
            quorum: QuorumRule::new(first_group, settings.defects.clone()),
            operations: OperationQueue::default(),
            reconfiguration: Reconfiguration::default(),
            handover: Handover::default(),
            transfers: Transfers::default(),
            anti_entropy: AntiEntropy::new(&mut rng, &settings, now),
            inbox: VecDeque::new(),
            actions: Vec::new(),
            me,
            machine,
            rng,
            settings,
        })
    }

    /// The shard that this register belongs to.
    pub fn shard(&self) -> u16 {
        self.shard
    }

    /// The newest state known to be chosen.
    pub fn chosen(&self) -> Option<&State> {
        self.learner.chosen().map(|vote| &vote.state)
    }

    /// The newest state that this node accepted, chosen or not: it may never have been in force, and what is in force
    /// may be newer by any number of slots. Only `read` and `propose` confirm a state.
    pub fn unconfirmed(&self) -> Option<&State> {
        self.accepted().map(|vote| &vote.state)
    }

    /// Slots of which two states were reported to be chosen: anything but 0 is a violation of agreement, to be logged as such.
    pub fn conflicts(&self) -> u64 {
        self.learner.conflicts()
    }

    /// What became of the large bodies that this node fetched.
    pub fn transfer_counts(&self) -> TransferCounts {
        self.transfers.counts
    }

    /// The group, as far as this node knows; empty if it knows none.
    pub fn members(&self) -> &[Member] {
        self.accepted().map_or(&[], |vote| &vote.state.members)
    }

    /// The newest vote that this node accepted, on disk or about to be.
    pub fn accepted_vote(&self) -> Option<VoteId> {
        self.accepted().map(|vote| vote.id())
    }

    /// Whether this node's vote counts in the newest group that it knows.
    pub fn is_member(&self) -> bool {
        contains_disk(self.members(), self.me.disk_id)
    }

    fn accepted(&self) -> Option<&SharedVote> {
        self.acceptor.accepted()
    }

    /// Applies `change` to the newest state; ends in `Action::Completed` by `deadline`. `op` names the call for the
    /// caller.
    pub fn propose(&mut self, op: u64, change: Vec<u8>, deadline: Nanos, now: Nanos) {
        if change.len() > self.settings.max_change_bytes {
            return self.complete(Some(op), Outcome::Rejected(Rejection::TooLarge));
        }
        self.submit(op, OperationKind::Change(change), deadline, now);
    }

    /// Asks for the body that is in force; ends in `Action::Completed` by `deadline`. Nothing is stored while the group
    /// agrees.
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

    /// A message arrived. `from`: the node at the other end, under the disk id that it has now.
    pub fn handle(&mut self, from: Member, message: Message, now: Nanos) {
        self.inbox.push_back(Received { from, message });
        self.make_progress(now);
    }

    /// The store `token` ended. After `ok == false` its bytes may be on disk all the same; it is repeated later.
    pub fn stored(&mut self, token: u64, ok: bool, now: Nanos) {
        self.acceptor.on_store_ended(token, ok, now, &self.settings);
        self.announce_stored_slot();
        self.make_progress(now);
    }

    /// Time passed: operations reach their deadlines, requests are repeated, members compared.
    pub fn tick(&mut self, now: Nanos) {
        self.complete_expired(now);
        if self.operations.is_empty() {
            // Nobody waits for what is in progress.
            self.proposer.end_phase();
        }
        self.on_proposer_timer(now);
        let sends = self.transfers.tick(&self.settings, now);
        self.send_all(sends);
        self.run_anti_entropy(now);
        self.run_confirmation(now);
        self.make_progress(now);
    }

    /// When `tick` has something to do.
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

    /// What the caller has to do, in this order. Empty only if nothing came up since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Handles messages and operations until nothing is left to do now, then sends the replies that are on disk and
    /// starts the store that the others need.
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
        if self.is_newest_uncommitted() {
            self.anti_entropy
                .schedule_confirmation(&mut self.rng, &self.settings, now);
        }
    }

    /// Sends a message; one to this node itself is handled before the call of the register returns.
    fn send(&mut self, to: Member, message: Message) {
        if to.disk_id == self.me.disk_id {
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

    /// Ends an operation; without an id nobody waits for its outcome.
    fn complete(&mut self, id: Option<u64>, outcome: Outcome) {
        if let Some(op) = id {
            self.actions.push(Action::Completed { op, outcome });
        }
    }

    fn complete_expired(&mut self, now: Nanos) {
        for operation in self.operations.take(|o| o.deadline <= now) {
            let outcome = operation.expired_outcome();
            self.complete(operation.id, outcome);
        }
    }
}
