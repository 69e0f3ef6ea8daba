//! What is known to be chosen: published once, in rising order, and handed to members that missed it.
use crate::message::Message;
use crate::types::{At, Shared, Vote};

#[derive(Debug, Default)]
pub struct Learner {
    chosen: Option<Shared>,
}

impl Learner {
    pub fn chosen(&self) -> Option<&Shared> {
        self.chosen.as_ref()
    }

    pub fn seq(&self) -> Option<u64> {
        self.chosen.as_ref().map(|v| v.state.seq)
    }

    /// Whether this vote, known to be chosen, is news. A slot is published once, by whichever ballot came first: they
    /// hold one value.
    pub fn learn(&mut self, vote: &Shared) -> bool {
        let mine = self.chosen.as_deref();
        debug_assert!(mine.is_none_or(|m| m.state.seq != vote.state.seq || m.state == vote.state));
        let news = mine.is_none_or(|m| vote.state.seq > m.state.seq);
        if news {
            self.chosen = Some(vote.clone());
        }
        news
    }

    /// What to send to a node that has `at` and knows slots up to `chosen`; `accepted` is this node's own newest vote.
    pub fn answer(&self, at: Option<At>, chosen: Option<u64>, accepted: Option<&Vote>) -> Option<Message> {
        match &self.chosen {
            Some(mine) if chosen.is_none_or(|theirs| theirs < mine.state.seq) => Some(match at {
                Some(at) if at == mine.at() => Message::Chosen { at },
                _ => Message::Learn { vote: mine.clone() },
            }),
            mine if chosen > mine.as_ref().map(|m| m.state.seq) => {
                Some(Message::Have { at: accepted.map(Vote::at), chosen: self.seq() })
            }
            _ => None,
        }
    }
}
