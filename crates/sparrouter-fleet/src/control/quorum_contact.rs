//! Quorum contact of one member: whether a quorum recently answered a read of the configuration's shard.
//!
//! Contact is never inferred from incoming traffic: arriving frames may be old, may use a link that works in one
//! direction only, or may come from a member that is itself partitioned. Contact is based only on confirmed reads (the
//! register's `read`, which follows the ReadIndex rule: a quorum must answer a request that was sent after the call).
//!
//! Invariant: contact at `now` implies that a quorum answered a read that began after `now - window` and after contact
//! was last lost. Every change that was acknowledged before that read began is therefore known here.
//!
//! All times are of this process's steady clock, which runs on while the process is frozen, waits for a disk or gets no
//! processor time. Contact expires by time, so no task has to detect that it ended.
//!
//! Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.4 (ReadIndex).
use crate::platform::defects::rules;
use sparrouter_routing::Nanos;

/// Decides from confirmed reads and the steady clock whether this member has contact with a quorum.
#[derive(Clone, Debug)]
pub struct QuorumContact {
    window: Nanos,
    /// When the newest confirmed read began.
    newest_read: Option<Nanos>,
}

impl QuorumContact {
    /// `window`: how long a confirmed read counts, from its beginning.
    pub fn new(window: Nanos) -> QuorumContact {
        QuorumContact {
            window,
            newest_read: None,
        }
    }

    /// Records that a quorum answered a read that began at `read_began`; the answer is processed at `now`. Returns
    /// whether there is contact after it: an answer that took longer than the window proves nothing, and neither does
    /// the answer to a read that began before contact was lost.
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

    /// Whether there is contact at `now`. The caller reads the clock immediately before the action that depends on the
    /// result.
    pub fn is_confirmed(&self, now: Nanos) -> bool {
        let confirmed = self.newest_read.is_some();
        confirmed && (self.lost_at(now).is_none() || !rules::contact_expires())
    }

    /// When the newest confirmed read began, with or without contact now.
    pub fn newest_read(&self) -> Option<Nanos> {
        self.newest_read
    }

    /// Whether this process has had contact since its start but has none at `now`.
    pub fn is_lost(&self, now: Nanos) -> bool {
        self.newest_read.is_some() && !self.is_confirmed(now)
    }

    /// When contact was last lost; `None` if there is contact at `now`.
    fn lost_at(&self, now: Nanos) -> Option<Nanos> {
        self.newest_read
            .map(|read_began| self.end_of(read_began))
            .filter(|end| *end <= now)
    }

    fn end_of(&self, read_began: Nanos) -> Nanos {
        read_began.saturating_add(self.window)
    }
}
