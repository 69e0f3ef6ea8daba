//! The Paxos acceptor of one shard at this node. It acknowledges a promise or an accepted vote only once the record
//! with it is on disk.
//!
//! At most one store is in flight. Requests that arrive during a store change the record in memory, and the next store
//! writes these changes. A store that fails or hangs delays only the replies that depend on it; a `Query` is still
//! answered from the record on disk.
//!
//! A node without a record may promise: the disk id is created with the data folder and records are never removed.
//! Therefore a missing record means that no vote was cast under this id. A wiped or damaged folder gets a new disk id,
//! which is in no group.
use crate::message::{Message, Outgoing, RejectReason};
use crate::record::Record;
use crate::settings::Settings;
use crate::time::{MILLISECOND, Nanos};
use crate::vote::{Member, ProposalNumber, SharedVote, VoteId};

/// Maximum number of replies that wait for a store; further replies are dropped, as if the network had lost them.
const MAX_PENDING_REPLIES: usize = 256;

/// A reply that waits for the record to be stored.
#[derive(Clone, Debug)]
struct PendingReply {
    /// The reply may be sent once this version of the record is on disk.
    version: u64,
    reply: Outgoing,
}

/// A request to the caller to store the record.
#[derive(Clone, Debug)]
pub(crate) struct StoreRequest {
    pub token: u64,
    /// The encoded record.
    pub bytes: Vec<u8>,
}

/// The store in flight.
#[derive(Clone, Debug)]
struct StoreInFlight {
    token: u64,
    started_at: Nanos,
    version: u64,
    vote: Option<SharedVote>,
}

/// The record in memory, its version on disk, and the replies that wait for a store.
#[derive(Clone, Debug)]
pub(crate) struct Acceptor {
    /// The record in memory. No other node relies on the changes that are not on disk yet (`stored_version..version`).
    record: Record,
    /// The newest vote on disk; never newer than `record.accepted`.
    stored_vote: Option<SharedVote>,
    /// Version of the record in memory; each change increments it.
    version: u64,
    /// Version of the record on disk; at most `version`.
    stored_version: u64,
    store_in_flight: Option<StoreInFlight>,
    /// How long the last store took that ended, with the wait for other writes to the disk.
    last_store_time: Nanos,
    /// Earliest time of the next store after a failed store; `None` if the last store succeeded.
    retry_at: Option<Nanos>,
    /// Number of failed stores since the last successful store.
    consecutive_failures: u32,
    /// Token of the most recently started store.
    last_token: u64,
    /// Replies in sending order. A reply is sent only once its version of the record is on disk.
    pending_replies: Vec<PendingReply>,
}

impl Acceptor {
    /// Creates the acceptor from the record on disk.
    pub fn new(record: Record) -> Acceptor {
        Acceptor {
            stored_vote: record.accepted.clone(),
            record,
            version: 0,
            stored_version: 0,
            store_in_flight: None,
            last_store_time: 0,
            retry_at: None,
            consecutive_failures: 0,
            last_token: 0,
            pending_replies: Vec::new(),
        }
    }

    /// The newest accepted vote, which may not be on disk yet.
    pub fn accepted(&self) -> Option<&SharedVote> {
        self.record.accepted.as_ref()
    }

    /// The newest vote on disk.
    pub fn stored_vote(&self) -> Option<&SharedVote> {
        self.stored_vote.as_ref()
    }

    /// Promises to accept no proposal below `number`, or rejects `number` if a higher number was promised.
    pub fn on_prepare(
        &mut self,
        from: &Member,
        number: ProposalNumber,
        known: Option<VoteId>,
        settings: &Settings,
    ) {
        if number < self.record.promised {
            return self.reject(from, number, RejectReason::Superseded);
        }
        if number > self.record.promised {
            self.record.promised = number;
            if !settings.defects.promise_not_stored {
                self.version += 1;
            }
        }
        let reply = Message::Promise {
            number,
            accepted: self.accepted().map(|vote| vote.id()),
            newer_vote: newer_than(self.accepted(), known),
        };
        self.reply_once_stored(from, reply);
    }

    /// Accepts a vote, unless a higher number was promised or a later slot accepted.
    pub fn on_accept(&mut self, from: &Member, vote: SharedVote, settings: &Settings) {
        if vote.state.body.len() > settings.max_body_bytes {
            return self.reject(from, vote.number, RejectReason::Disk);
        }
        let vote_id = vote.id();
        let accepted = self.accepted().map(|vote| vote.id());
        let is_below_promise = vote.number < self.record.promised;
        // A vote for a later slot is only proposed once all earlier slots are decided.
        let is_older_slot = accepted.is_some_and(|accepted| accepted.slot > vote_id.slot);
        if (is_below_promise && !settings.defects.accept_below_promise) || is_older_slot {
            return self.reject(from, vote.number, RejectReason::Superseded);
        }
        if accepted != Some(vote_id) {
            self.replace_vote(vote);
        }
        self.reply_once_stored(from, Message::Accepted { vote_id });
    }

    /// Stores a chosen vote, which the caller passes without its previous group. A promise of a higher number doesn't
    /// prevent this, because every proposal with a higher number adopts the chosen vote.
    pub fn learn(&mut self, vote: &SharedVote) {
        let is_newer = self.accepted().is_none_or(|accepted| {
            // Once a vote is known to be chosen, the record no longer needs the previous group.
            let drops_previous_members =
                accepted.id() == vote.id() && accepted.previous_members.is_some();
            vote.id() > accepted.id() || drops_previous_members
        });
        if is_newer {
            self.replace_vote(vote.clone());
        }
    }

    fn replace_vote(&mut self, vote: SharedVote) {
        self.record.promised = self.record.promised.max(vote.number);
        self.record.accepted = Some(vote);
        self.version += 1;
    }

    /// Reports the newest vote on disk. The report promises nothing and therefore waits for no store.
    pub fn on_query(&mut self, from: &Member, nonce: u64, known: Option<VoteId>) {
        let report = Message::Report {
            nonce,
            promised: self.record.promised,
            accepted: self.stored_vote().map(|vote| vote.id()),
            newer_vote: newer_than(self.stored_vote(), known),
        };
        self.reply_now(from, report);
    }

    fn reject(&mut self, to: &Member, number: ProposalNumber, reason: RejectReason) {
        let reject = Message::Reject {
            number,
            promised: self.record.promised,
            reason,
        };
        self.reply_now(to, reject);
    }

    /// Queues a reply that waits for no store.
    fn reply_now(&mut self, to: &Member, message: Message) {
        self.push_reply(to, message, 0);
    }

    /// Queues a reply that is sent once the current version of the record is on disk. A duplicate of a pending reply is
    /// dropped, and so is every reply beyond `MAX_PENDING_REPLIES`.
    fn reply_once_stored(&mut self, to: &Member, message: Message) {
        let is_repeat = self
            .pending_replies
            .iter()
            .any(|pending| pending.reply.to == *to && pending.reply.message == message);
        if !is_repeat && self.pending_replies.len() < MAX_PENDING_REPLIES {
            self.push_reply(to, message, self.version);
        }
    }

    fn push_reply(&mut self, to: &Member, message: Message, version: u64) {
        let reply = Outgoing {
            to: to.clone(),
            message,
        };
        self.pending_replies.push(PendingReply { version, reply });
    }

    /// Removes and returns the replies whose version of the record is on disk.
    pub fn take_replies(&mut self, settings: &Settings) -> Vec<Outgoing> {
        let stored_version = self.stored_version;
        let is_stored = |pending: &mut PendingReply| {
            pending.version <= stored_version || settings.defects.ack_before_sync
        };
        self.pending_replies
            .extract_if(.., is_stored)
            .map(|pending| pending.reply)
            .collect()
    }

    /// Starts a store if the record in memory has changed, no store is in flight and no retry delay is running.
    pub fn next_store(&mut self, now: Nanos, settings: &Settings) -> Option<StoreRequest> {
        let may_start = self.retry_at.is_none_or(|retry_at| retry_at <= now);
        if self.version == self.stored_version || self.store_in_flight.is_some() || !may_start {
            return None;
        }
        self.last_token += 1;
        self.store_in_flight = Some(StoreInFlight {
            token: self.last_token,
            started_at: now,
            version: self.version,
            vote: self.record.accepted.clone(),
        });
        Some(StoreRequest {
            token: self.last_token,
            bytes: self.record_bytes(settings),
        })
    }

    fn record_bytes(&self, settings: &Settings) -> Vec<u8> {
        if !settings.defects.promise_not_stored {
            return self.record.encode();
        }
        let accepted = self.record.accepted.clone();
        Record {
            promised: accepted
                .as_ref()
                .map_or_else(Default::default, |v| v.number),
            accepted,
        }
        .encode()
    }

    /// Handles the end of the store `token`. A failed store may have written any bytes; it is retried after a backoff.
    pub fn on_store_ended(&mut self, token: u64, ok: bool, now: Nanos, settings: &Settings) {
        let Some(store) = self.store_in_flight.take_if(|store| store.token == token) else {
            return;
        };
        self.last_store_time = now.saturating_sub(store.started_at);
        if ok {
            self.stored_version = store.version;
            self.stored_vote = store.vote;
            (self.retry_at, self.consecutive_failures) = (None, 0);
            return;
        }
        self.consecutive_failures += 1;
        let backoff = settings.round_trip << self.consecutive_failures.min(6);
        self.retry_at = Some(now + backoff.max(MILLISECOND));
        self.reject_pending_acknowledgements();
    }

    /// Replaces the acknowledgements that wait for a failed store by rejections. The record in memory stays newer than
    /// the record on disk, which is safe because no other node relies on the difference.
    fn reject_pending_acknowledgements(&mut self) {
        for pending in std::mem::take(&mut self.pending_replies) {
            let to = &pending.reply.to;
            match pending.reply.message {
                Message::Promise { number, .. } => self.reject(to, number, RejectReason::Disk),
                Message::Accepted { vote_id } => {
                    self.reject(to, vote_id.number, RejectReason::Disk);
                }
                _ => self.pending_replies.push(pending),
            }
        }
    }

    /// Whether a store is in flight, so that the newest vote may not be on disk yet.
    pub fn is_storing(&self) -> bool {
        self.store_in_flight.is_some()
    }

    /// How long a store takes: the last one, or the one in flight if it takes longer.
    pub fn store_time(&self, now: Nanos) -> Nanos {
        let in_flight = self.store_in_flight.as_ref();
        let elapsed = in_flight.map_or(0, |store| now.saturating_sub(store.started_at));
        elapsed.max(self.last_store_time)
    }

    /// When a failed store is retried; `None` if no retry is scheduled.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.retry_at
            .filter(|_| self.version > self.stored_version && self.store_in_flight.is_none())
    }
}

/// The vote, if it is newer than `known`, the newest vote that the receiver has.
fn newer_than(vote: Option<&SharedVote>, known: Option<VoteId>) -> Option<SharedVote> {
    vote.filter(|vote| known.is_none_or(|known| vote.id() > known))
        .cloned()
}
