//! The doors of one part at one node: calls, messages and ends of stores in, actions out.
use crate::Nanos;
use crate::acceptor::Acceptor;
use crate::codec::CodecError;
use crate::handover::HandoverCheck;
use crate::learner::Learner;
use crate::machine::Machine;
use crate::message::Message;
use crate::operation::{Kind, Operation, Outcome, Rejection};
use crate::proposer::{Lead, Phase};
use crate::reconfiguration::{NodeObservation, Reconfiguration};
use crate::settings::Settings;
use crate::transfer::{TransferCounts, Transfers};
use crate::types::{Member, ProposalNumber, Record, SharedVote, State, Vote, VoteId};
use fastrand::Rng;
use std::collections::VecDeque;

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: Member,
        message: Message,
    },
    /// Keep these bytes for this part instead of those before, then call `stored`.
    Store {
        token: u64,
        bytes: Vec<u8>,
    },
    /// News, in rising `seq`: this state is chosen.
    Chosen(State),
    /// The end of a call, told once.
    Completed {
        op: u64,
        outcome: Outcome,
    },
}

#[derive(Debug, thiserror::Error)]
pub enum RegisterError {
    #[error(
        "the record of shard {shard} can't be read: {source}; treat the disk as wiped, so that it joins under a new id"
    )]
    Record { shard: u16, source: CodecError },
}

#[derive(Clone, Debug)]
pub struct Register<M: Machine> {
    pub(crate) shard: u16,
    pub(crate) me: Member,
    pub(crate) machine: M,
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    /// Of this start; see `ProposalNumber`.
    pub(crate) incarnation: u64,
    pub(crate) acceptor: Acceptor,
    pub(crate) learner: Learner,
    pub(crate) operations: Vec<Operation>,
    pub(crate) step: u64,
    pub(crate) phase: Phase,
    pub(crate) lead: Option<Lead>,
    /// Highest round of any ballot that was met.
    pub(crate) round: u64,
    pub(crate) round_trip: Nanos,
    pub(crate) back_offs: u32,
    pub(crate) inbox: VecDeque<(Member, Message)>,
    pub(crate) actions: Vec<Action>,
    /// The first group that was known, for a planted defect.
    pub(crate) at_start: Vec<Member>,
    exchange_at: Nanos,
    /// Some live node, in the group or not, by the last look around.
    stranger: Option<Member>,
    settle_at: Option<Nanos>,
    /// The slot that this node, outside the group, last told the members to be on its disk.
    announced: Option<u64>,
    /// While this node leaves as a member.
    pub(crate) handover: Option<HandoverCheck>,
    /// A node that may join the group was there at the last look around.
    pub(crate) successor_waits: bool,
    reconfiguration: Reconfiguration,
    transfers: Transfers,
}

impl<M: Machine> Register<M> {
    /// `record`: what the last store of this part kept, `None` if there never was one. `rng` must differ from start to
    /// start of a machine: it names its ballots. A group's first record is `Record::found`.
    pub fn new(
        shard: u16,
        me: Member,
        record: Option<&[u8]>,
        machine: M,
        mut rng: Rng,
        settings: Settings,
        now: Nanos,
    ) -> Result<Register<M>, RegisterError> {
        let most = settings.max_message_bytes();
        let record = record.map(|bytes| Record::decode(bytes, most)).transpose();
        let record = record
            .map_err(|source| RegisterError::Record { shard, source })?
            .unwrap_or_default();
        let life = rng.u64(..);
        let at_start = record
            .accepted
            .as_ref()
            .map_or_else(Vec::new, |v| v.state.members.clone());
        let exchange_at = now + rng.u64(0..=settings.exchange_interval);
        Ok(Register {
            shard,
            machine,
            rng,
            incarnation: life,
            round: record.promised.term,
            acceptor: Acceptor::new(record),
            learner: Learner::new(me.disk_id),
            me,
            operations: Vec::new(),
            step: 0,
            phase: Phase::Idle,
            lead: None,
            round_trip: settings.round_trip,
            back_offs: 0,
            inbox: VecDeque::new(),
            actions: Vec::new(),
            at_start,
            exchange_at,
            stranger: None,
            settle_at: None,
            announced: None,
            handover: None,
            successor_waits: false,
            reconfiguration: Reconfiguration::default(),
            transfers: Transfers::default(),
            settings,
        })
    }

    pub fn shard(&self) -> u16 {
        self.shard
    }

    /// The newest state known to be chosen.
    pub fn chosen(&self) -> Option<&State> {
        self.learner.chosen().map(|v| &v.state)
    }

    /// The newest state that this node voted for or was told, chosen or not: it may never have been in force, and what
    /// is in force may be newer by any amount. Only `read` and `propose` confirm a state.
    pub fn unconfirmed(&self) -> Option<&State> {
        self.newest().map(|v| &v.state)
    }

    /// Slots of which this node was told two states: anything but 0 is a breach of agreement, to be logged as such.
    pub fn conflicts(&self) -> u64 {
        self.learner.conflicts()
    }

    /// What became of the large bodies that this node fetched.
    pub fn transfer_counts(&self) -> TransferCounts {
        self.transfers.counts
    }

    /// The group, as far as this node knows.
    pub fn members(&self) -> &[Member] {
        self.newest().map_or(&[], |v| &v.state.members)
    }

    /// Everybody whose vote may count at the slot of the newest vote that this node has, chosen or not.
    pub fn electorate(&self) -> Vec<Member> {
        self.newest().map_or_else(Vec::new, |v| v.electorate())
    }

    /// The newest vote that this node accepted, on disk or about to be.
    pub fn accepted_vote(&self) -> Option<VoteId> {
        self.newest().map(|vote| vote.id())
    }

    /// Whether this node's vote counts in the newest group that it knows.
    pub fn is_member(&self) -> bool {
        self.members().iter().any(|m| m.disk_id == self.me.disk_id)
    }

    pub(crate) fn newest(&self) -> Option<&SharedVote> {
        self.acceptor.accepted()
    }

    /// Applies `change` to the newest state; ends in `Done` by `deadline`. `op` names the call, the caller's choice.
    pub fn propose(&mut self, op: u64, change: Vec<u8>, deadline: Nanos, now: Nanos) {
        if change.len() > self.settings.max_change_bytes {
            return self.done(op, Outcome::Rejected(Rejection::TooLarge));
        }
        self.call(op, Kind::Change(change), deadline, now);
    }

    /// Asks for the body that is in force; ends in `Done` by `deadline`. Writes nothing while the group agrees.
    pub fn read(&mut self, op: u64, deadline: Nanos, now: Nanos) {
        self.call(op, Kind::Read, deadline, now);
    }

    fn call(&mut self, op: u64, kind: Kind, deadline: Nanos, now: Nanos) {
        if self.operations.len() >= self.settings.max_pending {
            return self.done(op, Outcome::Rejected(Rejection::Busy));
        }
        self.enqueue(Some(op), kind, deadline);
        self.work(now);
    }

    fn enqueue(&mut self, id: Option<u64>, kind: Kind, deadline: Nanos) {
        let step = self.next_step();
        self.operations.push(Operation {
            id,
            kind,
            deadline,
            step,
            sent: Vec::new(),
        });
    }

    pub(crate) fn next_step(&mut self) -> u64 {
        self.step += 1;
        self.step
    }

    /// `from`: the node at the other end, under the disk's id that it has now.
    pub fn handle(&mut self, from: Member, message: Message, now: Nanos) {
        self.inbox.push_back((from, message));
        self.work(now);
    }

    /// The store `token` ended; after `false` it may have happened all the same, and is tried again later.
    pub fn stored(&mut self, token: u64, ok: bool, now: Nanos) {
        self.acceptor.stored(token, ok, now, &self.settings);
        self.announce_copy();
        self.work(now);
    }

    /// Asks a node, who may know the part's group, for what it knows.
    pub fn request_state(&mut self, of: Member, now: Nanos) {
        let message = self.have();
        self.send(of, message);
        self.work(now);
    }

    /// Time passed: calls end, questions are repeated, members compared.
    pub fn tick(&mut self, now: Nanos) {
        let ended: Vec<Operation> = self
            .operations
            .extract_if(.., |o| o.deadline <= now)
            .collect();
        for operation in ended {
            let outcome = operation.expired();
            self.finish(operation.id, outcome);
        }
        if self.operations.is_empty() {
            self.abandon();
        }
        self.round_timer(now);
        let sends = self.transfers.tick(&self.settings, now);
        self.send_all(sends);
        if self.exchange_at <= now {
            self.exchange(now);
        }
        if self.settle_at.is_some_and(|at| at <= now) {
            self.settle_at = None;
            if self.unsettled()
                && !self
                    .operations
                    .iter()
                    .any(|o| matches!(o.kind, Kind::Settle))
            {
                self.enqueue(
                    None,
                    Kind::Settle,
                    now + 8 * self.settings.exchange_interval,
                );
            }
        }
        self.work(now);
    }

    /// Looks at who is there, and changes the group by at most one member; call it at each news and now and then.
    pub fn observe_nodes(&mut self, seen: &[NodeObservation], now: Nanos) {
        let live = |s: &&NodeObservation| {
            s.member.disk_id != self.me.disk_id
                && s.since_last_contact
                    .is_some_and(|h| h < self.settings.contact_timeout)
        };
        let count = seen.iter().filter(live).count();
        let chance = self.rng.usize(..count.max(1));
        self.stranger = seen
            .iter()
            .filter(live)
            .nth(chance)
            .map(|s| s.member.clone());
        let Some(chosen) = self.learner.chosen() else {
            return;
        };
        let candidates =
            Reconfiguration::candidates(self.shard, &self.me, &chosen.state, seen, &self.settings);
        self.successor_waits = !candidates.is_empty();
        let due = self.reconfiguration.choose_questions(
            &candidates,
            chosen.state.slot,
            &self.settings,
            now,
        );
        for candidate in due {
            let question = self.have();
            self.send(candidate, question);
        }
        let Some(chosen) = self.learner.chosen() else {
            return;
        };
        let busy = self
            .operations
            .iter()
            .any(|o| matches!(o.kind, Kind::Members { .. }));
        let to = self.reconfiguration.decide(
            self.shard,
            &self.me,
            &chosen.state,
            seen,
            &self.settings,
            now,
        );
        if let (Some(to), false) = (to, busy) {
            let from = chosen.state.members.iter().map(|m| m.disk_id).collect();
            self.enqueue(
                None,
                Kind::Members { from, to },
                now + self.settings.contact_timeout,
            );
            self.work(now);
        }
    }

    /// When `tick` has something to do.
    pub fn next_wake(&self) -> Option<Nanos> {
        let calls = self.operations.iter().map(|o| o.deadline).min();
        let timers = [
            calls,
            self.phase.next_wake(),
            Some(self.exchange_at),
            self.settle_at,
            self.acceptor.next_wake(),
            self.transfers.next_wake(),
        ];
        timers.into_iter().flatten().min()
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn send(&mut self, to: Member, message: Message) {
        if to.disk_id == self.me.disk_id {
            self.inbox.push_back((to, message));
        } else {
            let message = self.transfers.outline(message, &self.settings);
            self.actions.push(Action::Send { to, message });
        }
    }

    fn send_all(&mut self, sends: Vec<(Member, Message)>) {
        for (to, message) in sends {
            self.send(to, message);
        }
    }

    pub(crate) fn finish(&mut self, id: Option<u64>, outcome: Outcome) {
        if let Some(op) = id {
            self.done(op, outcome);
        }
    }

    fn done(&mut self, op: u64, outcome: Outcome) {
        self.actions.push(Action::Completed { op, outcome });
    }

    /// Messages to oneself and calls until nothing is left to do now; then what the acceptor may tell, and its store.
    pub(crate) fn work(&mut self, now: Nanos) {
        loop {
            while let Some((from, message)) = self.inbox.pop_front() {
                self.dispatch(from, message, now);
            }
            self.drive(now);
            for (to, message) in self.acceptor.take_free(&self.settings) {
                self.send(to, message);
            }
            if let Some((token, bytes)) = self.acceptor.next_store(now, &self.settings) {
                self.actions.push(Action::Store { token, bytes });
            }
            if self.inbox.is_empty() {
                break;
            }
        }
        if self.unsettled() && self.settle_at.is_none() {
            self.settle_at = Some(now + self.spread(self.settings.exchange_interval));
        }
    }

    fn dispatch(&mut self, from: Member, message: Message, now: Nanos) {
        match message {
            Message::Prepare { ballot, known } => {
                self.meet(ballot);
                self.acceptor.prepare(&from, ballot, known, &self.settings);
            }
            Message::Accept { vote } => {
                self.meet(vote.number);
                self.acceptor.accept(&from, vote, &self.settings);
                if self.settings.defects.publish_accepted
                    && let Some(vote) = self.newest().cloned()
                {
                    self.publish(&vote, now);
                }
            }
            Message::Query { nonce, known } => self.acceptor.query(&from, nonce, known),
            Message::Promise { ballot, at, newer } => self.promised(from, ballot, at, newer, now),
            Message::Accepted { at } => self.accepted(from, at, now),
            Message::Reject {
                ballot, promised, ..
            } => {
                self.meet(promised);
                self.rejected(from, ballot, now);
            }
            Message::Report {
                nonce,
                promised,
                at,
                newer,
            } => {
                self.meet(promised);
                if let Some(check) = self.handover.as_mut().filter(|c| c.is_answer(nonce)) {
                    check.report(from.disk_id, at, newer.as_ref(), now);
                    return self.bring_up_to_date(from, at);
                }
                self.reported(from, nonce, at, newer, now);
            }
            Message::Chosen { at } => match self.newest().filter(|v| v.id() == at).cloned() {
                Some(vote) => drop(self.publish(&vote, now)),
                None if self.learner.seq().is_none_or(|seq| seq < at.slot) => {
                    let message = self.have();
                    self.send(from, message);
                }
                None => {}
            },
            Message::Have { at, chosen } => {
                let message = match self.learner.hand_over(at, chosen) {
                    Some(message) => Some(message),
                    None if chosen > self.learner.seq() => Some(self.have()),
                    None => self.kept_for(&from),
                };
                if let Some(message) = message {
                    self.send(from, message);
                }
            }
            Message::Stored { chosen } => {
                self.learner.heard(from.disk_id, chosen);
                self.reconfiguration
                    .confirm_candidate(from.disk_id, chosen, now);
            }
            Message::Learn { vote } => drop(self.publish(&vote, now)),
            Message::Outline {
                purpose,
                vote,
                body,
            } => {
                let newest = self.acceptor.accepted().cloned();
                let (message, sends) = self.transfers.arrived(
                    from.clone(),
                    purpose,
                    vote,
                    body,
                    newest.as_ref(),
                    &self.settings,
                    now,
                );
                self.inbox.extend(message.map(|m| (from, m)));
                self.send_all(sends);
            }
            Message::FetchBody { body, offset } => {
                let answer = self.transfers.asked(body, offset, &self.settings);
                self.send(from, answer);
            }
            Message::BodyChunk {
                body,
                offset,
                bytes,
            } => {
                let (ready, sends) =
                    self.transfers
                        .piece(&from, body, offset, bytes.0, &self.settings, now);
                self.inbox.extend(ready);
                self.send_all(sends);
            }
            Message::BodyUnavailable { body } => {
                let sends = self.transfers.gone(&from, body, &self.settings, now);
                self.send_all(sends);
            }
        }
    }

    fn meet(&mut self, ballot: ProposalNumber) {
        self.round = self.round.max(ballot.term);
    }

    /// This vote is known to be chosen. Gives it without the group before, which has no more say and may be gone.
    pub(crate) fn publish(&mut self, vote: &SharedVote, now: Nanos) -> SharedVote {
        let vote = match vote.previous_members {
            Some(_) => Vote {
                previous_members: None,
                ..(*vote.0).clone()
            }
            .into(),
            None => vote.clone(),
        };
        self.meet(vote.number);
        self.acceptor.learn(&vote);
        if self.at_start.is_empty() {
            self.at_start = vote.state.members.clone();
        }
        if self.learner.learn(&vote) {
            self.actions.push(Action::Chosen(vote.state.clone()));
            // Its next slot is gone. Whoever just won this one sets it anew.
            self.lead = None;
        }
        self.round_learns(&vote, now);
        vote
    }

    /// Tells a member whose disk answered with an older vote that the newest one here is chosen.
    fn bring_up_to_date(&mut self, member: Member, at: Option<VoteId>) {
        if let Some(chosen) = self.learner.chosen().map(|v| v.id())
            && at < Some(chosen)
        {
            self.send(member, Message::Chosen { at: chosen });
        }
    }

    pub(crate) fn have(&self) -> Message {
        Message::Have {
            at: self.newest().map(|v| v.id()),
            chosen: self.learner.seq(),
        }
    }

    /// Tells what this disk keeps where just one of the two is in the group: a node that leaves waits to hear whether
    /// it is missed, a member whether the other one may join.
    fn kept_for(&self, from: &Member) -> Option<Message> {
        if self.is_chosen_member(self.me.disk_id) == self.is_chosen_member(from.disk_id) {
            return None;
        }
        let chosen = self.kept_slot()?;
        Some(Message::Stored { chosen })
    }

    /// Whether a disk is in the group of the newest state that is known to be chosen.
    fn is_chosen_member(&self, disk: u64) -> bool {
        let group = self.learner.chosen().map_or(&[][..], |v| &v.state.members);
        group.iter().any(|m| m.disk_id == disk)
    }

    /// The newest chosen slot, if it is on disk.
    fn kept_slot(&self) -> Option<u64> {
        let chosen = self.learner.seq()?;
        let is_kept = self
            .acceptor
            .lasting()
            .is_some_and(|v| match v.previous_members {
                // A later slot on disk says as much of this one.
                Some(_) => v.state.slot > chosen,
                None => v.state.slot >= chosen,
            });
        is_kept.then_some(chosen)
    }

    /// A node outside the group tells the members as soon as its disk holds what they handed over.
    fn announce_copy(&mut self) {
        if self.is_chosen_member(self.me.disk_id) {
            return;
        }
        let (Some(chosen), Some(vote)) = (self.kept_slot(), self.learner.chosen().cloned()) else {
            return;
        };
        if self.announced.replace(chosen) == Some(chosen) {
            return;
        }
        for member in &vote.state.members {
            self.send(member.clone(), Message::Stored { chosen });
        }
    }

    /// Whether a node that leaves may end without being missed: it is in no group, and a majority of the group without
    /// it keeps that as chosen. Before, a vote of its own may be needed to find that out.
    pub fn may_leave(&self) -> bool {
        self.newest().is_none_or(|v| {
            v.electorate().iter().all(|m| m.disk_id != self.me.disk_id)
                && self.learner.missed_by_none()
        })
    }

    /// Whether the newest vote here may be chosen without this node having heard so: whoever proposed it may be gone.
    fn unsettled(&self) -> bool {
        let newest = self.newest();
        newest.is_some_and(|v| {
            self.learner.seq().is_none_or(|seq| seq < v.state.slot)
                && v.electorate().iter().any(|m| m.disk_id == self.me.disk_id)
        })
    }

    fn exchange(&mut self, now: Nanos) {
        self.exchange_at = now + self.spread(self.settings.exchange_interval);
        if self.settings.defects.exchange_silent {
            return;
        }
        let chance = self.rng.usize(..);
        let others: Vec<&Member> = self
            .members()
            .iter()
            .filter(|m| m.disk_id != self.me.disk_id)
            .collect();
        // A group that has been replaced altogether meanwhile has nobody left to tell so.
        let stranger = self
            .stranger
            .as_ref()
            .filter(|_| others.is_empty() || chance.is_multiple_of(4));
        let member = || others.get((chance / 4) % others.len().max(1)).copied();
        if let Some(peer) = stranger.or_else(member).cloned() {
            let message = self.have();
            self.send(peer, message);
        }
    }

    /// Half of a span to one and a half of it, so that nodes don't fall into step.
    pub(crate) fn spread(&mut self, span: Nanos) -> Nanos {
        span / 2 + self.rng.u64(0..=span)
    }
}
