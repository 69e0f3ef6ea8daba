//! Candidates: nodes outside a group that may join it, and which of them have the group's state on disk.
//!
//! A member sends `Progress` to a candidate, which answers `Stored` once its disk has the state. Only that answer makes
//! the candidate eligible: an entry in a membership table says nothing about the node's disk.
use crate::time::Nanos;
use crate::vote::{Member, contains_disk};
use std::collections::BTreeMap;

/// Maximum number of candidates that are asked at the same time.
const MAX_CANDIDATES: usize = 3;

/// A confirmation is refreshed once its age exceeds its validity divided by this number (one third).
const REFRESHES_PER_VALIDITY: Nanos = 3;

#[derive(Clone, Debug)]
struct Confirmation {
    /// The slot that the candidate's disk must have. It stays fixed until the candidate confirms it. If it were raised
    /// with every chosen slot, a candidate of a group that changes often could never confirm it.
    required_slot: u64,
    /// When the candidate last confirmed that its disk has `required_slot`; `None` if it never did.
    confirmed_at: Option<Nanos>,
}

/// The confirmations of the candidates of one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    /// Confirmations by disk id: at most `MAX_CANDIDATES`, all of them candidates at the last call of
    /// `choose_candidates_to_ask`.
    confirmations: BTreeMap<u64, Confirmation>,
}

impl Candidates {
    /// Chooses the candidates to ask now whether their disks have slot `chosen_slot`, and removes the confirmations of
    /// nodes that are no longer candidates. A confirmation is valid for `valid_for`.
    pub fn choose_candidates_to_ask(
        &mut self,
        candidates: &[Member],
        chosen_slot: u64,
        valid_for: Nanos,
        now: Nanos,
    ) -> Vec<Member> {
        let candidates = &candidates[..candidates.len().min(MAX_CANDIDATES)];
        self.confirmations
            .retain(|&disk_id, _| contains_disk(candidates, disk_id));
        let mut candidates_to_ask = Vec::new();
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
            candidates_to_ask.push(candidate.clone());
        }
        candidates_to_ask
    }

    /// Records a node's report that `stored_slot` is the newest chosen slot on its disk.
    pub fn on_stored(&mut self, disk_id: u64, stored_slot: u64, now: Nanos) {
        if let Some(confirmation) = self.confirmations.get_mut(&disk_id)
            && stored_slot >= confirmation.required_slot
        {
            confirmation.confirmed_at = Some(now);
        }
    }

    /// Whether the candidate with this disk confirmed its required slot less than `valid_for` ago.
    pub fn is_confirmed(&self, disk_id: u64, valid_for: Nanos, now: Nanos) -> bool {
        self.confirmations
            .get(&disk_id)
            .and_then(|confirmation| confirmation.confirmed_at)
            .is_some_and(|confirmed_at| now.saturating_sub(confirmed_at) < valid_for)
    }
}
