//! The acceptor: promises and accepted votes of this node for one shard; none is acknowledged before it is on disk.
//!
//! One store is in flight at a time. What comes meanwhile changes the record in memory and goes with the next store. A
//! store that fails or hangs delays only the replies that need it: what is on disk can still be asked for.
//!
//! Why a node without a record may promise: its disk id is as old as its data folder and no record is ever removed, so
//! that no record means no vote under this id. A wiped or damaged folder gets another id, which is in no group.
use crate::message::{Message, Outgoing, RejectReason};
use crate::record::Record;
use crate::settings::Settings;
use crate::time::{MILLISECOND, Nanos};
use crate::vote::{Member, ProposalNumber, SharedVote, VoteId};

/// Replies that wait for one store; more are dropped, as if lost on the way.
const MAX_PENDING_REPLIES: usize = 256;

/// A reply that may be sent once a version of the record is on disk.
#[derive(Clone, Debug)]
struct PendingReply {
    version: u64,
    reply: Outgoing,
}

/// A store to be started.
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
    version: u64,
    vote: Option<SharedVote>,
}

/// The record in memory, how much of it is on disk, and the replies that wait for the rest.
#[derive(Clone, Debug)]
pub(crate) struct Acceptor {
    /// Ahead of the disk by the changes `stored_version..version`. No other node relies on those.
    record: Record,
    /// The newest vote that is on disk; never newer than `record.accepted`.
    stored_vote: Option<SharedVote>,
    /// Counts changes of the record.
    version: u64,
    /// The version on disk; never above `version`.
    stored_version: u64,
    store_in_flight: Option<StoreInFlight>,
    /// When a failed store may be repeated.
    retry_at: Option<Nanos>,
    /// Stores that failed since the last one that succeeded.
    consecutive_failures: u32,
    /// The token of the last store that was started.
    last_token: u64,
    /// In the order in which they are sent. A reply leaves only once its version is on disk.
    pending_replies: Vec<PendingReply>,
}

impl Acceptor {
    /// `record`: what is on disk.
    pub fn new(record: Record) -> Acceptor {
        Acceptor {
            stored_vote: record.accepted.clone(),
            record,
            version: 0,
            stored_version: 0,
            store_in_flight: None,
            retry_at: None,
            consecutive_failures: 0,
            last_token: 0,
            pending_replies: Vec::new(),
        }
    }

    /// The newest vote, on disk or about to be.
    pub fn accepted(&self) -> Option<&SharedVote> {
        self.record.accepted.as_ref()
    }

    /// The newest vote on disk.
    pub fn stored_vote(&self) -> Option<&SharedVote> {
        self.stored_vote.as_ref()
    }

    /// Promises to accept nothing below `number`, unless more was promised already.
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
        let is_outrun = vote.number < self.record.promised;
        // An older slot is decided, whatever this proposer assumes.
        let is_older_slot = accepted.is_some_and(|accepted| accepted.slot > vote_id.slot);
        if (is_outrun && !settings.defects.accept_below_promise) || is_older_slot {
            return self.reject(from, vote.number, RejectReason::Superseded);
        }
        if accepted != Some(vote_id) {
            self.replace_vote(vote);
        }
        self.reply_once_stored(from, Message::Accepted { vote_id });
    }

    /// Takes over a chosen vote, given without a previous group. No promise stands against it, since every proposal with
    /// a higher number finds it.
    pub fn learn(&mut self, vote: &SharedVote) {
        let is_newer = self.accepted().is_none_or(|accepted| {
            // Once a vote is known to be chosen, the record needs the previous group no more.
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

    /// Reports what is on disk. Nothing is promised, so that no store need be waited for.
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

    /// Sends a reply that needs no store.
    fn reply_now(&mut self, to: &Member, message: Message) {
        self.push_reply(to, message, 0);
    }

    /// Sends a reply once the record as it is now is on disk. A repeat of a reply that waits already is dropped, and so
    /// is one beyond the limit.
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

    /// The replies that may be sent now.
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

    /// The store that the pending replies need, if none is in flight.
    pub fn next_store(&mut self, now: Nanos, settings: &Settings) -> Option<StoreRequest> {
        let may_start = self.retry_at.is_none_or(|retry_at| retry_at <= now);
        if self.version == self.stored_version || self.store_in_flight.is_some() || !may_start {
            return None;
        }
        self.last_token += 1;
        self.store_in_flight = Some(StoreInFlight {
            token: self.last_token,
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

    /// The store `token` ended. A failed one may have written anything; it is repeated after a backoff.
    pub fn on_store_ended(&mut self, token: u64, ok: bool, now: Nanos, settings: &Settings) {
        let Some(store) = self.store_in_flight.take_if(|store| store.token == token) else {
            return;
        };
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

    /// Replaces the acknowledgements that wait for a failed store by rejections. The record in memory stays ahead of
    /// the disk, which harms nobody, as nobody relies on it.
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

    /// When a failed store is to be repeated.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.retry_at
            .filter(|_| self.version > self.stored_version && self.store_in_flight.is_none())
    }
}

/// The vote, if it is above the one that the receiver knows.
fn newer_than(vote: Option<&SharedVote>, known: Option<VoteId>) -> Option<SharedVote> {
    vote.filter(|vote| known.is_none_or(|known| vote.id() > known))
        .cloned()
}
