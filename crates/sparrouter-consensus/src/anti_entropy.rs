//! Anti-entropy: when and with which peer this node compares its progress.
//!
//! Anti-entropy repairs the effect of lost messages: a member that missed a chosen state, or that doesn't know whether
//! its newest vote is chosen, finds out without waiting for a call.
use crate::settings::Settings;
use crate::time::Nanos;
use crate::vote::Member;
use fastrand::Rng;

/// Average number of comparisons for each comparison with the outside peer, which may not be a member of the group.
const OUTSIDE_PEER_INTERVAL: usize = 4;

/// Timers and peers of anti-entropy.
#[derive(Clone, Debug)]
pub(crate) struct AntiEntropy {
    /// When this node next compares its progress with a peer.
    next_comparison: Nanos,
    /// A node that may be outside the group, drawn from the nodes that were live at the last observation; `None` before
    /// the first observation and if no other node was live.
    outside_peer: Option<Member>,
    /// When to find out whether the newest vote is chosen; `None` if no confirmation is scheduled.
    next_confirmation: Option<Nanos>,
    /// The slot on disk that this node, while outside the group, last announced to the members.
    announced_slot: Option<u64>,
}

impl AntiEntropy {
    /// Schedules the first comparison within one interval from now.
    pub fn new(rng: &mut Rng, settings: &Settings, now: Nanos) -> AntiEntropy {
        AntiEntropy {
            next_comparison: now + rng.u64(0..=settings.anti_entropy_interval),
            outside_peer: None,
            next_confirmation: None,
            announced_slot: None,
        }
    }

    /// When the next comparison or confirmation is due.
    pub fn next_wake(&self) -> Nanos {
        self.next_confirmation
            .map_or(self.next_comparison, |time| time.min(self.next_comparison))
    }

    /// Chooses one of the live nodes as the outside peer, which is asked in case all members of the known group were
    /// replaced.
    pub fn choose_outside_peer(&mut self, live: &[&Member], rng: &mut Rng) {
        let index = rng.usize(..live.len().max(1));
        self.outside_peer = live.get(index).map(|member| (*member).clone());
    }

    /// Whether a comparison is due now. If so, schedules the next comparison.
    pub fn start_comparison(&mut self, rng: &mut Rng, settings: &Settings, now: Nanos) -> bool {
        if self.next_comparison > now {
            return false;
        }
        self.next_comparison = now + jittered(settings.anti_entropy_interval, rng);
        true
    }

    /// The peer of the next comparison: on average one of `OUTSIDE_PEER_INTERVAL` comparisons is with the outside peer,
    /// all others are with members. If all members of the known group were replaced, only an outside peer can report
    /// the new group.
    pub fn choose_peer<'a>(
        &'a self,
        other_members: &[&'a Member],
        rng: &mut Rng,
    ) -> Option<&'a Member> {
        let draw = rng.usize(..);
        let is_outside_turn =
            other_members.is_empty() || draw.is_multiple_of(OUTSIDE_PEER_INTERVAL);
        if let Some(peer) = self.outside_peer.as_ref().filter(|_| is_outside_turn) {
            return Some(peer);
        }
        let index = (draw / OUTSIDE_PEER_INTERVAL) % other_members.len().max(1);
        other_members.get(index).copied()
    }

    /// Schedules a confirmation after about one interval, because the newest vote may be chosen without this node's
    /// knowledge.
    pub fn schedule_confirmation(&mut self, rng: &mut Rng, settings: &Settings, now: Nanos) {
        if self.next_confirmation.is_none() {
            self.next_confirmation = Some(now + jittered(settings.anti_entropy_interval, rng));
        }
    }

    /// Whether a confirmation of the newest vote is due now. If so, it is no longer scheduled.
    pub fn start_confirmation(&mut self, now: Nanos) -> bool {
        self.next_confirmation
            .take_if(|time| *time <= now)
            .is_some()
    }

    /// Whether `slot` differs from the last announced slot. Records `slot` as announced.
    pub fn should_announce(&mut self, slot: u64) -> bool {
        self.announced_slot.replace(slot) != Some(slot)
    }
}

/// A random span between 0.5 and 1.5 times `span`, so that the timers of several nodes don't synchronize.
fn jittered(span: Nanos, rng: &mut Rng) -> Nanos {
    span / 2 + rng.u64(0..=span)
}
