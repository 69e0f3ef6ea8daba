//! Anti-entropy: when this node compares what it has with another one, and with which.
//!
//! It guards against lost messages: a member that missed a chosen state, or that doesn't know whether its newest vote is
//! chosen, finds out without any call.
use crate::settings::Settings;
use crate::time::Nanos;
use crate::vote::Member;
use fastrand::Rng;

/// Of this many anti-entropy messages one goes to a node that may be outside of the group.
const OUTSIDE_PEER_INTERVAL: usize = 4;

/// Timers and peers of anti-entropy.
#[derive(Clone, Debug)]
pub(crate) struct AntiEntropy {
    /// When the next peer is asked.
    next_comparison: Nanos,
    /// Some live node, in the group or not, by the last observation of the nodes.
    outside_peer: Option<Member>,
    /// When to find out whether the newest vote is chosen; `None` while nothing made that necessary.
    next_confirmation: Option<Nanos>,
    /// The slot that this node, outside the group, last reported to the members to be on its disk.
    announced_slot: Option<u64>,
}

impl AntiEntropy {
    /// Starts with a first comparison within one interval from now.
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

    /// Chooses one of the live nodes to ask now and then, in case the group was replaced altogether.
    pub fn choose_outside_peer(&mut self, live: &[&Member], rng: &mut Rng) {
        let index = rng.usize(..live.len().max(1));
        self.outside_peer = live.get(index).map(|member| (*member).clone());
    }

    /// Whether a peer is to be asked now, which sets the time of the next comparison.
    pub fn start_comparison(&mut self, rng: &mut Rng, settings: &Settings, now: Nanos) -> bool {
        if self.next_comparison > now {
            return false;
        }
        self.next_comparison = now + jittered(settings.anti_entropy_interval, rng);
        true
    }

    /// The peer to ask: mostly a member, at times the outside peer. A group that was replaced altogether has nobody left
    /// to say so.
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

    /// The newest vote may be chosen without this node's knowledge: it is confirmed after about one interval.
    pub fn schedule_confirmation(&mut self, rng: &mut Rng, settings: &Settings, now: Nanos) {
        if self.next_confirmation.is_none() {
            self.next_confirmation = Some(now + jittered(settings.anti_entropy_interval, rng));
        }
    }

    /// Whether the newest vote is to be confirmed now.
    pub fn start_confirmation(&mut self, now: Nanos) -> bool {
        self.next_confirmation
            .take_if(|time| *time <= now)
            .is_some()
    }

    /// Whether this slot has not been announced last.
    pub fn should_announce(&mut self, slot: u64) -> bool {
        self.announced_slot.replace(slot) != Some(slot)
    }
}

/// Half of a span to one and a half of it, so that nodes don't fall into step.
fn jittered(span: Nanos, rng: &mut Rng) -> Nanos {
    span / 2 + rng.u64(0..=span)
}
