//! This node's votes on the first group, which are on disk before a proposer gets them.
use crate::control::disk::WriteRequest;
use crate::control::groups::knows_no_group;
use crate::control::{Control, LEASE_SHARDS, MAX_MESSAGE_BYTES};
use crate::node::Node;
use crate::platform::defects::rules;
use sparrouter_codec::Blob;
use sparrouter_consensus::bootstrap::{
    BootstrapNumber, BootstrapRecord, BootstrapReply, BootstrapRequest,
};
use sparrouter_consensus::{Message, Record, SharedVote};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// A caller that waits for the write of a vote; it receives whether the write succeeded.
type Waiter = oneshot::Sender<bool>;

/// This node's votes on the first group.
pub(in crate::control) struct Elector {
    /// The votes; `None` if this node has none, as it was no seed at its first start or may have forgotten its votes.
    record: RefCell<Option<BootstrapRecord>>,
    /// The record as it was last submitted for writing, unless that write failed.
    submitted: RefCell<Option<BootstrapRecord>>,
    /// The callers that wait for each write in progress, in the order of the writes.
    writes: RefCell<VecDeque<Vec<Waiter>>>,
    /// The highest term that this node proposed or observed.
    term: Cell<u64>,
}

impl Elector {
    /// The elector of a process that starts. `stored`: its record on disk.
    pub(in crate::control) fn new(node: &Node, stored: Option<&[u8]>) -> Elector {
        let stored = stored.map(BootstrapRecord::decode).and_then(|decoded| {
            let report = |error| node.log_buffer.report_violation(&format!("{error}"));
            decoded.map_err(report).ok()
        });
        let settings = node.settings.borrow();
        let is_seed =
            settings.seeds.is_empty() || settings.seeds.iter().any(|seed| seed.ip() == settings.ip);
        let record = stored.or_else(|| {
            let seeds = settings.seeds.iter().map(SocketAddr::to_string).collect();
            let may_vote = settings.first_start || !rules::wiped_electors_abstain();
            (may_vote && is_seed).then(|| BootstrapRecord::new(seeds))
        });
        let term = record.as_ref().map_or(0, |record| record.promised.term);
        Elector {
            record: RefCell::new(record),
            submitted: RefCell::default(),
            writes: RefCell::default(),
            term: Cell::new(term),
        }
    }

    /// Lets a caller wait for the newest write; it need not wait if that write has ended.
    fn await_last_write(&self, waiter: Option<Waiter>) {
        let Some(waiter) = waiter else {
            return;
        };
        match self.writes.borrow_mut().back_mut() {
            Some(waiters) => waiters.push(waiter),
            None => {
                // The proposer may have ended its proposal.
                let _ = waiter.send(true);
            }
        }
    }

    /// Draws the number of a new proposal, above those that this node has observed.
    pub(super) fn next_number(&self, node: &Node) -> BootstrapNumber {
        self.observe_term(self.term.get() + 1);
        let nonce = node.rng.borrow_mut().u64(..);
        BootstrapNumber {
            term: self.term.get(),
            nonce,
        }
    }

    pub(super) fn observe_term(&self, term: u64) {
        self.term.set(self.term.get().max(term));
    }
}

impl Control {
    /// Whether this node knows the group of each shard.
    pub fn knows_groups(&self) -> bool {
        !self.registers.borrow().iter().any(knows_no_group)
    }

    /// Writes the elector's record before this node votes, so that a process that restarts knows that it may vote.
    pub(in crate::control) fn store_elector(&self) {
        if !self.knows_groups() {
            self.write_vote(None);
        }
    }

    /// Votes on a request of a proposer. Returns once the vote is on disk.
    pub async fn vote_on_bootstrap(&self, request: &BootstrapRequest) -> BootstrapReply {
        if self.knows_a_group() {
            return BootstrapReply::GroupExists;
        }
        let reply = match self.elector.record.borrow_mut().as_mut() {
            Some(record) => record.vote(request),
            None => return BootstrapReply::Abstained,
        };
        let (waiter, written) = oneshot::channel();
        self.write_vote(Some(waiter));
        if written.await.unwrap_or(false) {
            reply
        } else {
            BootstrapReply::Abstained
        }
    }

    fn knows_a_group(&self) -> bool {
        !self.registers.borrow().iter().all(knows_no_group)
    }

    /// Writes the record. A request that is repeated changes nothing, and shares the write of the first one.
    fn write_vote(&self, waiter: Option<Waiter>) {
        let elector = &self.elector;
        let Some(record) = elector.record.borrow().clone() else {
            return;
        };
        if elector.submitted.borrow().as_ref() == Some(&record) {
            return elector.await_last_write(waiter);
        }
        let bytes = record.encode();
        *elector.submitted.borrow_mut() = Some(record);
        elector
            .writes
            .borrow_mut()
            .push_back(waiter.into_iter().collect());
        if !self.disk.submit(WriteRequest::Vote(bytes)) {
            // Without a disk, votes end with the process, which does not vote after a restart.
            self.handle_vote_written(None);
        }
    }

    /// Handles the outcome of the oldest write in progress. `error`: why it failed.
    pub(in crate::control) fn handle_vote_written(&self, error: Option<String>) {
        let elector = &self.elector;
        if error.is_some() {
            *elector.submitted.borrow_mut() = None;
        }
        let waiters = elector.writes.borrow_mut().pop_front().unwrap_or_default();
        for waiter in waiters {
            // The proposer may have ended its proposal.
            let _ = waiter.send(error.is_none());
        }
        self.disk.record_failure(error);
    }

    /// Learns the first groups from their records, one for each shard. Returns false if the records do not make this
    /// node a member of each group. A register that knows a group keeps it.
    pub fn accept_bootstrap(&self, records: &[Blob]) -> bool {
        let Some(votes) = self.first_votes(records) else {
            return false;
        };
        let now = self.node.now();
        for (register, vote) in self.registers.borrow_mut().iter_mut().zip(votes) {
            if knows_no_group(register) {
                register.handle(self.own_member.clone(), Message::Learn { vote }, now);
            }
        }
        self.wake.notify_one();
        true
    }

    /// The votes in the records; `None` unless there is one for each shard and each makes this node a member.
    fn first_votes(&self, records: &[Blob]) -> Option<Vec<SharedVote>> {
        if records.len() != usize::from(LEASE_SHARDS) + 1 {
            return None;
        }
        let vote = |record: &Blob| {
            let vote = Record::decode(record, MAX_MESSAGE_BYTES).ok()?.accepted?;
            let members = &vote.state.members;
            let is_member = members
                .iter()
                .any(|member| member.disk_id == self.own_member.disk_id);
            is_member.then_some(vote)
        };
        records.iter().map(vote).collect()
    }

    /// Why this node knows no group, with the remedy; `None` if it knows one.
    pub fn missing_group(&self) -> Option<String> {
        if self.knows_groups() {
            return None;
        }
        let record = self.elector.record.borrow();
        Some(match record.as_ref() {
            Some(record) => format!(
                "the control state has no group yet: waiting for a majority of the seeds of the first start ({}): start \
                 them with their disks, and check that they reach each other",
                record.seeds.join(", ")
            ),
            None => "no group of the control state is known here: waiting for a node that knows one: start the nodes of \
                     the core with their disks; if the fleet never served, start its seeds with first_start=true"
                .to_owned(),
        })
    }

    /// The control addresses of the seeds of the first start; `None` if this node has no vote.
    pub(super) fn electors(&self) -> Option<Vec<SocketAddr>> {
        let record = self.elector.record.borrow();
        let seeds = record.as_ref()?.seeds.iter();
        Some(seeds.filter_map(|seed| seed.parse().ok()).collect())
    }
}
