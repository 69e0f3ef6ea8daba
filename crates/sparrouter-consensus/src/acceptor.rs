//! Promises and votes of this node for one part; none is told before it is on disk.
//!
//! One store is under way at a time; what comes meanwhile changes the record in memory and rides on the next one. A
//! store that fails or hangs holds up only the answers that need it: what was stored before can still be asked for.
//!
//! Why a node that has no record may promise: its disk's id is as old as its folder and no record is ever removed, so
//! that no record means no vote under this id. A wiped or damaged folder gets another id, and is in no group.
use crate::message::{Message, Reason};
use crate::settings::Settings;
use crate::types::{Member, ProposalNumber, Record, SharedVote, VoteId};
use crate::{MILLISECOND, Nanos};

/// Answers held for one store; more are dropped, as if lost on the way.
const MOST_HELD: usize = 256;

#[derive(Clone, Debug)]
struct Held {
    version: u64,
    to: Member,
    message: Message,
}

#[derive(Clone, Debug)]
pub struct Acceptor {
    record: Record,
    /// The newest vote that is on disk.
    lasting: Option<SharedVote>,
    /// Counts changes of the record; those up to `stored` are on disk.
    version: u64,
    stored: u64,
    under_way: Option<UnderWay>,
    retry: Option<Nanos>,
    failures: u32,
    tokens: u64,
    held: Vec<Held>,
}

#[derive(Clone, Debug)]
struct UnderWay {
    token: u64,
    version: u64,
    vote: Option<SharedVote>,
}

impl Acceptor {
    pub fn new(record: Record) -> Acceptor {
        Acceptor {
            lasting: record.accepted.clone(),
            record,
            version: 0,
            stored: 0,
            under_way: None,
            retry: None,
            failures: 0,
            tokens: 0,
            held: Vec::new(),
        }
    }

    /// The newest vote, on disk or about to be.
    pub fn accepted(&self) -> Option<&SharedVote> {
        self.record.accepted.as_ref()
    }

    pub fn promised(&self) -> ProposalNumber {
        self.record.promised
    }

    /// The newest vote on disk.
    pub fn lasting(&self) -> Option<&SharedVote> {
        self.lasting.as_ref()
    }

    pub fn prepare(
        &mut self,
        from: &Member,
        ballot: ProposalNumber,
        known: Option<VoteId>,
        settings: &Settings,
    ) {
        if ballot < self.record.promised {
            return self.reject(from, ballot, Reason::Outrun);
        }
        if ballot > self.record.promised {
            self.record.promised = ballot;
            if !settings.defects.promise_not_stored {
                self.version += 1;
            }
        }
        let at = self.accepted().map(|v| v.id());
        let newer = self
            .accepted()
            .filter(|v| known.is_none_or(|k| v.id() > k))
            .cloned();
        self.hold(from, Message::Promise { ballot, at, newer });
    }

    pub fn accept(&mut self, from: &Member, vote: SharedVote, settings: &Settings) {
        if vote.state.body.len() > settings.max_body_bytes {
            return self.reject(from, vote.number, Reason::Disk);
        }
        let (at, mine) = (vote.id(), self.accepted().map(|v| v.id()));
        let low = vote.number < self.record.promised && !settings.defects.accept_below_promise;
        // An older slot is decided, whatever this proposer thinks.
        if low || mine.is_some_and(|m| m.slot > at.slot) {
            return self.reject(from, vote.number, Reason::Outrun);
        }
        if mine != Some(at) {
            self.record.promised = self.record.promised.max(vote.number);
            self.record.accepted = Some(vote);
            self.version += 1;
        }
        self.hold(from, Message::Accepted { at });
    }

    /// Takes over a chosen vote: no promise stands against it, since every later ballot finds it.
    pub fn learn(&mut self, vote: &SharedVote) {
        if self.accepted().is_none_or(|mine| vote.id() > mine.id()) {
            self.record.promised = self.record.promised.max(vote.number);
            self.record.accepted = Some(vote.clone());
            self.version += 1;
        } else if self
            .accepted()
            .is_some_and(|mine| mine.id() == vote.id() && mine.previous_members.is_some())
        {
            // Known to be chosen, it needs the group before no more.
            self.record.accepted = Some(vote.clone());
            self.version += 1;
        }
    }

    pub fn query(&mut self, from: &Member, nonce: u64, known: Option<VoteId>) {
        let at = self.lasting().map(|v| v.id());
        let newer = self
            .lasting()
            .filter(|v| known.is_none_or(|k| v.id() > k))
            .cloned();
        let promised = self.record.promised;
        // Nothing is promised here, so no store need be waited for: `lasting` is on disk by its name.
        let report = Message::Report {
            nonce,
            promised,
            at,
            newer,
        };
        self.held.push(Held {
            version: 0,
            to: from.clone(),
            message: report,
        });
    }

    fn reject(&mut self, to: &Member, ballot: ProposalNumber, reason: Reason) {
        let message = Message::Reject {
            ballot,
            promised: self.record.promised,
            reason,
        };
        self.held.push(Held {
            version: 0,
            to: to.clone(),
            message,
        });
    }

    fn hold(&mut self, to: &Member, message: Message) {
        // A repeat of what is held already: its answer is on its way.
        if self
            .held
            .iter()
            .any(|h| h.to == *to && h.message == message)
        {
            return;
        }
        if self.held.len() < MOST_HELD {
            self.held.push(Held {
                version: self.version,
                to: to.clone(),
                message,
            });
        }
    }

    /// Answers that may go now.
    pub fn take_free(&mut self, settings: &Settings) -> Vec<(Member, Message)> {
        let all = settings.defects.ack_before_sync;
        let stored = self.stored;
        let free = self.held.extract_if(.., |h| h.version <= stored || all);
        free.map(|h| (h.to, h.message)).collect()
    }

    /// The store that has to happen for the others, and its token.
    pub fn next_store(&mut self, now: Nanos, settings: &Settings) -> Option<(u64, Vec<u8>)> {
        let due = self.retry.is_none_or(|at| at <= now);
        if self.version == self.stored || self.under_way.is_some() || !due {
            return None;
        }
        self.tokens += 1;
        let vote = self.record.accepted.clone();
        self.under_way = Some(UnderWay {
            token: self.tokens,
            version: self.version,
            vote,
        });
        let mut record = self.record.clone();
        if settings.defects.promise_not_stored {
            record.promised = record
                .accepted
                .as_ref()
                .map(|v| v.number)
                .unwrap_or_default();
        }
        Some((self.tokens, record.encode()))
    }

    /// The store `token` ended. One that failed may have written anything; it is tried again, later and later.
    pub fn stored(&mut self, token: u64, ok: bool, now: Nanos, settings: &Settings) {
        let Some(done) = self.under_way.take_if(|u| u.token == token) else {
            return;
        };
        if ok {
            self.stored = done.version;
            self.lasting = done.vote;
            (self.retry, self.failures) = (None, 0);
            return;
        }
        self.failures += 1;
        self.retry = Some(now + (settings.round_trip << self.failures.min(6)).max(MILLISECOND));
        for held in std::mem::take(&mut self.held) {
            match held.message {
                // The record in memory is ahead of the disk, which harms nobody: it was told to nobody.
                Message::Promise { ballot, .. } => self.reject(&held.to, ballot, Reason::Disk),
                Message::Accepted { at } => self.reject(&held.to, at.number, Reason::Disk),
                message => self.held.push(Held { message, ..held }),
            }
        }
    }

    pub fn next_wake(&self) -> Option<Nanos> {
        self.retry
            .filter(|_| self.version > self.stored && self.under_way.is_none())
    }
}
