//! Who belongs to a part's group: one member added, removed or swapped at a time, by what is seen of the nodes.
//!
//! | seen | done |
//! | --- | --- |
//! | a node at a member's address under another disk | swapped at once: the old disk is gone |
//! | a member unheard of for `contact` or leaving, a counted node waits | swapped |
//! | a member unheard of for `contact` or leaving, group above its founding size | removed |
//! | for a `contact` every member heard of within half of it, a counted node waits, fewer than nine | added |
//!
//! A node is swapped in or added only after its own disk has answered that it holds the group's state (`candidate`).
//! Until then the old group stands: with a member whose disk is empty or stalled the next loss would leave no majority.
//!
//! The first of the live members in the part's order does it; each behind it waits a further tenth of `contact`.
//! Nothing depends on that: a change is judged on the group that it was made for.
use crate::Nanos;
use crate::candidate::Candidates;
use crate::owner::ranked;
use crate::settings::Settings;
use crate::types::{MAX_MEMBERS, Member, State};

/// A node as discovery has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeObservation {
    pub member: Member,
    /// Whether it may belong to a group.
    pub counts_toward_quorum: bool,
    /// Since it was last heard of; `None` if it never was.
    pub since_last_contact: Option<Nanos>,
    pub leaving: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Reconfiguration {
    wanted: Option<(Vec<Member>, Nanos)>,
    /// First look: who was not heard of then may only not have spoken yet.
    first: Option<Nanos>,
    candidates: Candidates,
}

impl Reconfiguration {
    /// The group to propose now, if it is this node's turn.
    pub fn decide(
        &mut self,
        part: u16,
        me: &Member,
        state: &State,
        seen: &[NodeObservation],
        settings: &Settings,
        now: Nanos,
    ) -> Option<Vec<Member>> {
        let looking = now - *self.first.get_or_insert(now);
        let is_eligible = |disk| {
            settings.defects.unconfirmed_candidates
                || self
                    .candidates
                    .is_confirmed(disk, confirmation_valid_for(settings), now)
        };
        let view = View {
            me,
            state,
            seen,
            contact: settings.contact_timeout,
            looking,
            is_eligible: &is_eligible,
        };
        let Some(to) = view
            .change(part)
            .filter(|_| state.members.iter().any(|m| m.disk_id == me.disk_id))
        else {
            self.wanted = None;
            return None;
        };
        let since = match &self.wanted {
            Some((wanted, since)) if *wanted == to => *since,
            _ => {
                self.wanted = Some((to.clone(), now));
                now
            }
        };
        let live = ranked(part, &state.members)
            .into_iter()
            .filter(|m| m.disk_id == me.disk_id || view.stays(m));
        let rank = live.take_while(|m| m.disk_id != me.disk_id).count() as u64;
        // A new node may stand in for a member whose silence nobody has noticed yet: then it is swapped, not added.
        let patience = if to.len() > state.members.len() {
            settings.contact_timeout
        } else {
            0
        };
        (now - since >= patience + rank * settings.contact_timeout / 10).then_some(to)
    }

    /// The nodes that may join the group, if their disks confirm that they hold its state.
    pub fn candidates(
        part: u16,
        me: &Member,
        state: &State,
        seen: &[NodeObservation],
        settings: &Settings,
    ) -> Vec<Member> {
        let view = View {
            me,
            state,
            seen,
            contact: settings.contact_timeout,
            looking: settings.contact_timeout,
            is_eligible: &|_| true,
        };
        view.waiting(part)
    }

    /// The candidates to be asked now whether their disks hold slot `chosen`.
    pub fn choose_questions(
        &mut self,
        candidates: &[Member],
        chosen: u64,
        settings: &Settings,
        now: Nanos,
    ) -> Vec<Member> {
        self.candidates
            .choose_questions(candidates, chosen, confirmation_valid_for(settings), now)
    }

    /// A node outside the group answered that its disk holds all slots up to `stored`.
    pub fn confirm_candidate(&mut self, disk: u64, stored: u64, now: Nanos) {
        self.candidates.confirm(disk, stored, now);
    }
}

/// How long a candidate's answer counts: a proposal that lets in a node that has gone meanwhile may hold up the group.
fn confirmation_valid_for(settings: &Settings) -> Nanos {
    settings.contact_timeout / 2
}

struct View<'a> {
    me: &'a Member,
    state: &'a State,
    seen: &'a [NodeObservation],
    contact: Nanos,
    looking: Nanos,
    /// Whether this disk holds the group's state.
    is_eligible: &'a dyn Fn(u64) -> bool,
}

impl View<'_> {
    fn find(&self, member: &Member) -> Option<&NodeObservation> {
        self.seen
            .iter()
            .find(|s| s.member.disk_id == member.disk_id)
    }

    /// Since it was heard of, or since this node listens.
    fn silent(&self, member: &Member) -> Nanos {
        match self.find(member).and_then(|s| s.since_last_contact) {
            _ if member.disk_id == self.me.disk_id => 0,
            Some(ago) => ago,
            None => self.looking,
        }
    }

    /// Whether a member is there for a group that needs one more vote. Half of `contact`, since a proposal to a member
    /// that has just been cut off holds up the group until it is back.
    fn is_present(&self, member: &Member) -> bool {
        let heard = self.find(member).and_then(|s| s.since_last_contact);
        member.disk_id == self.me.disk_id || heard.is_some_and(|ago| ago < self.contact / 2)
    }

    fn stays(&self, member: &Member) -> bool {
        self.silent(member) < self.contact && self.find(member).is_none_or(|s| !s.leaving)
    }

    /// Counted nodes outside the group, in the order in which the part would take them.
    fn waiting(&self, part: u16) -> Vec<Member> {
        let outside = |s: &&NodeObservation| {
            self.state
                .members
                .iter()
                .all(|m| m.disk_id != s.member.disk_id)
        };
        // Word of a disk that was wiped may go round longer than the disk lived.
        let newest = |s: &&NodeObservation| {
            let same = self
                .state
                .members
                .iter()
                .find(|m| m.address == s.member.address);
            same.is_none_or(|m| self.silent(m) > self.silent(&s.member))
        };
        let fit = self.seen.iter().filter(|s| {
            s.counts_toward_quorum
                && !s.leaving
                && s.since_last_contact.is_some_and(|h| h < self.contact)
        });
        let nodes: Vec<Member> = fit
            .filter(outside)
            .filter(newest)
            .map(|s| s.member.clone())
            .collect();
        let mut waiting: Vec<Member> = ranked(part, &nodes).into_iter().cloned().collect();
        // Those at a member's address first: they take its place at once.
        waiting.sort_by_key(|node| {
            let returns = |m: &Member| m.address == node.address;
            !self.state.members.iter().any(returns)
        });
        waiting.retain(|node| (self.is_eligible)(node.disk_id));
        waiting
    }

    fn change(&self, part: u16) -> Option<Vec<Member>> {
        let members = &self.state.members;
        let waiting = self.waiting(part);
        for new in &waiting {
            if let Some(index) = members.iter().position(|m| m.address == new.address) {
                return Some(self.with(index, Some(new)));
            }
        }
        // A leaving one goes last: it still votes.
        let lost = members.iter().position(|m| self.silent(m) >= self.contact);
        let going = lost.or_else(|| members.iter().position(|m| !self.stays(m)));
        match (going, waiting.first()) {
            (Some(index), Some(new)) => Some(self.with(index, Some(new))),
            (Some(index), None) if members.len() > usize::from(self.state.initial_size) => {
                Some(self.with(index, None))
            }
            // One more beside a lost one would leave fewer to spare than before.
            (None, Some(new))
                if members.len() < MAX_MEMBERS && members.iter().all(|m| self.is_present(m)) =>
            {
                let mut to = members.clone();
                to.push(new.clone());
                to.sort_unstable();
                Some(to)
            }
            _ => None,
        }
    }

    fn with(&self, index: usize, new: Option<&Member>) -> Vec<Member> {
        let mut to = self.state.members.clone();
        to.remove(index);
        to.extend(new.cloned());
        to.sort_unstable();
        to
    }
}
