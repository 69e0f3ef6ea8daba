//! Nodes outside a group that may join it: which of them have the group's state on their own disk.
//!
//! A candidate is sent `Progress` and answers `Stored` once its disk has what it was asked for. Only that answer makes
//! it eligible: an entry in a membership table says nothing about its disk.
use crate::time::Nanos;
use crate::vote::{Member, contains_disk};
use std::collections::BTreeMap;

/// Candidates that are asked at one time.
const MAX_CANDIDATES: usize = 3;

/// A confirmation is asked for again once it is older than this fraction (one third) of its validity.
const REFRESHES_PER_VALIDITY: Nanos = 3;

#[derive(Clone, Debug)]
struct Confirmation {
    /// The slot that the candidate's disk must have. While no answer came it stays the same, or a group that changes
    /// often would never get one.
    required_slot: u64,
    /// When the candidate last answered that its disk has that slot.
    confirmed_at: Option<Nanos>,
}

/// What is known of the candidates' disks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    /// By disk id; at most `MAX_CANDIDATES`, all of them candidates at the last call of `choose_questions`.
    confirmations: BTreeMap<u64, Confirmation>,
}

impl Candidates {
    /// Chooses whom to ask now whether its disk has slot `chosen_slot`, and forgets all who are no candidates any more.
    /// An answer is valid for `valid_for`.
    pub fn choose_questions(
        &mut self,
        candidates: &[Member],
        chosen_slot: u64,
        valid_for: Nanos,
        now: Nanos,
    ) -> Vec<Member> {
        let candidates = &candidates[..candidates.len().min(MAX_CANDIDATES)];
        self.confirmations
            .retain(|&disk_id, _| contains_disk(candidates, disk_id));
        let mut questions = Vec::new();
        for candidate in candidates {
            let confirmation =
                self.confirmations
                    .entry(candidate.disk_id)
                    .or_insert(Confirmation {
                        required_slot: chosen_slot,
                        confirmed_at: None,
                    });
            if let Some(confirmed_at) = confirmation.confirmed_at {
                let age = now.saturating_sub(confirmed_at);
                if age < valid_for / REFRESHES_PER_VALIDITY {
                    continue;
                }
                confirmation.required_slot = chosen_slot;
            }
            questions.push(candidate.clone());
        }
        questions
    }

    /// A node reported that its disk has the chosen slots up to `stored_slot`.
    pub fn on_stored(&mut self, disk_id: u64, stored_slot: u64, now: Nanos) {
        if let Some(confirmation) = self.confirmations.get_mut(&disk_id)
            && stored_slot >= confirmation.required_slot
        {
            confirmation.confirmed_at = Some(now);
        }
    }

    /// Whether the disk was confirmed within `valid_for` to have the slot that was asked for.
    pub fn is_confirmed(&self, disk_id: u64, valid_for: Nanos, now: Nanos) -> bool {
        self.confirmations
            .get(&disk_id)
            .and_then(|confirmation| confirmation.confirmed_at)
            .is_some_and(|confirmed_at| now.saturating_sub(confirmed_at) < valid_for)
    }
}
