//! Nodes outside a group that may join it: which of them hold the group's state on their own disk.
//!
//! A candidate is asked with `Have` and answers with `Kept` once its disk holds what it was asked for. Only that answer
//! makes it eligible: an entry in a membership table says nothing of its disk.
use crate::Nanos;
use crate::types::Member;
use std::collections::BTreeMap;

/// Candidates that are asked at one time.
pub(crate) const MOST_CANDIDATES: usize = 3;

/// An answer is asked for again once it is older than this part of the time for which it counts.
const REFRESH_PARTS: Nanos = 3;

#[derive(Clone, Debug)]
struct Confirmation {
    /// The slot that the candidate's disk has to hold.
    asked: u64,
    /// When it last answered that it does.
    confirmed: Option<Nanos>,
}

/// What is known of the candidates' disks, by disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    confirmations: BTreeMap<u64, Confirmation>,
}

impl Candidates {
    /// Chooses whom to ask now whether its disk holds slot `chosen`, and forgets all who are no candidates any more.
    pub fn choose_questions(
        &mut self,
        candidates: &[Member],
        chosen: u64,
        valid_for: Nanos,
        now: Nanos,
    ) -> Vec<Member> {
        let asked = &candidates[..candidates.len().min(MOST_CANDIDATES)];
        self.confirmations
            .retain(|disk, _| asked.iter().any(|c| c.disk_id == *disk));
        let mut due = Vec::new();
        for candidate in asked {
            let confirmation =
                self.confirmations
                    .entry(candidate.disk_id)
                    .or_insert(Confirmation {
                        asked: chosen,
                        confirmed: None,
                    });
            let age = confirmation.confirmed.map(|at| now.saturating_sub(at));
            if age.is_some_and(|age| age < valid_for / REFRESH_PARTS) {
                continue;
            }
            // While an answer is missing the question stays the same, or a group that changes often would never get one.
            if age.is_some() {
                confirmation.asked = chosen;
            }
            due.push(candidate.clone());
        }
        due
    }

    /// The disk holds all slots up to `stored`, as its node says.
    pub fn confirm(&mut self, disk: u64, stored: u64, now: Nanos) {
        if let Some(confirmation) = self.confirmations.get_mut(&disk)
            && stored >= confirmation.asked
        {
            confirmation.confirmed = Some(now);
        }
    }

    /// Whether the disk answered within `valid_for` that it holds what it was asked for.
    pub fn is_confirmed(&self, disk: u64, valid_for: Nanos, now: Nanos) -> bool {
        self.confirmations
            .get(&disk)
            .and_then(|confirmation| confirmation.confirmed)
            .is_some_and(|at| now.saturating_sub(at) < valid_for)
    }
}
