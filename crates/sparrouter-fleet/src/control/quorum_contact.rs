//! Quorum contact of one member: whether a quorum answered a read of the configuration's shard lately enough.
//!
//! Contact is never inferred from traffic that arrives, because arriving frames may be old, may come over a link that
//! works in one direction only, or may come from a member that is cut off itself. It rests on confirmed reads alone
//! (the register's `read`, which takes the rule of ReadIndex: a quorum must answer a question asked after the call).
//!
//! Invariant: contact at `now` implies that a quorum answered a read that began after `now - window` and after contact
//! was last lost. Whatever was acknowledged before that read began is therefore known here.
//!
//! All times are of this process's steady clock, which runs on while the process is frozen, waits for a disk or gets no
//! processor. Contact ends by the passing of time alone, so no task has to notice that it did.
//!
//! Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.4 (ReadIndex).
use crate::platform::defects::rules;
use sparrouter_routing::Nanos;

/// Decides from confirmed reads and the steady clock whether this member is in contact with a quorum.
#[derive(Clone, Debug)]
pub struct QuorumContact {
    window: Nanos,
    /// When the newest confirmed read began.
    newest_read: Option<Nanos>,
}

impl QuorumContact {
    /// `window`: how long after its beginning a confirmed read counts.
    pub fn new(window: Nanos) -> QuorumContact {
        QuorumContact {
            window,
            newest_read: None,
        }
    }

    /// A quorum answered a read that began at `read_began`; the answer is taken at `now`. Returns whether there is
    /// contact after it: an answer that took longer than the window proves nothing, and neither does one to a question
    /// that was asked before contact was lost.
    pub fn confirm(&mut self, read_began: Nanos, now: Nanos) -> bool {
        let read_began = if !rules::reads_count_from_their_start() {
            now
        } else {
            read_began
        };
        let too_late = now >= self.end_of(read_began);
        let before_loss = self
            .lost_at(now)
            .is_some_and(|lost_at| read_began < lost_at);
        if !too_late && !before_loss {
            self.newest_read = self.newest_read.max(Some(read_began));
        }
        self.is_confirmed(now)
    }

    /// Whether there is contact at `now`. Take the time immediately before the answer that depends on it.
    pub fn is_confirmed(&self, now: Nanos) -> bool {
        let confirmed = self.newest_read.is_some();
        confirmed && (self.lost_at(now).is_none() || !rules::contact_expires())
    }

    /// When the newest confirmed read began, be there contact or not.
    pub fn newest_read(&self) -> Option<Nanos> {
        self.newest_read
    }

    /// Whether there was contact since this process started, and is none at `now`.
    pub fn is_lost(&self, now: Nanos) -> bool {
        self.newest_read.is_some() && !self.is_confirmed(now)
    }

    /// When contact was last lost, if it is lost at `now`.
    fn lost_at(&self, now: Nanos) -> Option<Nanos> {
        self.newest_read
            .map(|read_began| self.end_of(read_began))
            .filter(|end| *end <= now)
    }

    fn end_of(&self, read_began: Nanos) -> Nanos {
        read_began.saturating_add(self.window)
    }
}
