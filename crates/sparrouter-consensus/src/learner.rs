//! What is known to be chosen: published once, in rising order, and handed to members that missed it.
use crate::message::Message;
use crate::quorum::majority;
use crate::types::{SharedVote, VoteId};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Learner {
    /// This node's disk.
    me: u64,
    chosen: Option<SharedVote>,
    /// The first slot known whose group is without this node, since it last was in one.
    out_since: Option<u64>,
    /// Up to which slot members of the newest group keep what is chosen.
    told: BTreeMap<u64, u64>,
    /// Slots of which two states were called chosen: none, if all nodes keep to the rules.
    conflicts: u64,
}

impl Learner {
    pub fn new(me: u64) -> Learner {
        Learner {
            me,
            chosen: None,
            out_since: None,
            told: BTreeMap::new(),
            conflicts: 0,
        }
    }

    pub fn chosen(&self) -> Option<&SharedVote> {
        self.chosen.as_ref()
    }

    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    pub fn seq(&self) -> Option<u64> {
        self.chosen.as_ref().map(|v| v.state.slot)
    }

    /// Whether this vote, known to be chosen, is news. A slot is published once, by whichever ballot came first: they
    /// hold one value.
    pub fn learn(&mut self, vote: &SharedVote) -> bool {
        let mine = self.chosen.as_deref();
        let other = mine.is_some_and(|m| {
            m.state.slot == vote.state.slot
                && m.state.recent_proposals != vote.state.recent_proposals
        });
        debug_assert!(
            !other,
            "two states of slot {} are called chosen",
            vote.state.slot
        );
        self.conflicts += u64::from(other);
        let news = mine.is_none_or(|m| vote.state.slot > m.state.slot);
        if news {
            let belongs = |disk| vote.state.members.iter().any(|m| m.disk_id == disk);
            self.told.retain(|&disk, _| belongs(disk));
            self.out_since = (!belongs(self.me)).then(|| self.out_since.unwrap_or(vote.state.slot));
            self.chosen = Some(vote.clone());
        }
        news
    }

    /// A node told up to which slot it keeps what is chosen.
    pub fn heard(&mut self, disk: u64, kept: u64) {
        let members = self.chosen.as_ref().map_or(&[][..], |v| &v.state.members);
        if members.iter().any(|m| m.disk_id == disk) {
            self.told.insert(disk, kept);
        }
    }

    /// Whether a majority of the newest group told that it keeps a group without this node.
    pub fn missed_by_none(&self) -> bool {
        let Some(vote) = &self.chosen else {
            return false;
        };
        let told =
            |disk| self.told.get(&disk).copied() >= self.out_since && self.out_since.is_some();
        majority(&vote.state.members, told)
    }

    /// What to send to a node that has `at` and knows slots up to `chosen`, if this one knows more.
    pub fn hand_over(&self, at: Option<VoteId>, chosen: Option<u64>) -> Option<Message> {
        let mine = self
            .chosen
            .as_ref()
            .filter(|v| chosen < Some(v.state.slot))?;
        Some(match at {
            Some(at) if at == mine.id() => Message::Chosen { at },
            _ => Message::Learn { vote: mine.clone() },
        })
    }
}
