//! A table of slots that maps keys to owners. A lookup takes constant time, and a change of the members only moves
//! slots to members that joined or from members that left.
//!
//! Each slot is owned by the member with the highest rendezvous score for the slot's number, so two nodes with the
//! same members agree without communication. Source for a lookup table in front of a hash of members: Eisenbud et
//! al., "Maglev: A Fast and Reliable Software Network Load Balancer", NSDI 2016, section 3.4.
use crate::mix;

/// Number of bits of a mixed key that select its slot.
const SLOT_BITS: u32 = 14;
/// Number of slots in a table. With 340 members each owns 48 slots on average, with a standard deviation of 7. A
/// table takes 64 KiB.
pub const SLOT_COUNT: usize = 1 << SLOT_BITS;

/// Marks a slot without an owner during the construction of a table.
const ORPHANED: u32 = u32::MAX;

/// A member of the set that keys are distributed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Hash of the member's name, the only input of its scores.
    pub name: u64,
    /// Identifies the member's process. It changes when the process restarts under the same name and loses its state.
    pub process: u64,
}

/// The owner of each slot. A table is immutable: a different set of members needs another table.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    /// The members, ordered by name, without duplicate names.
    members: Vec<Member>,
    /// Index of each slot's owner in `members`, by slot; empty if there are no members.
    owners: Vec<u32>,
    /// See [`SlotTable::scores_computed`].
    scores_computed: u64,
}

impl SlotTable {
    /// Builds a table for `members` from this table: slots are scored only for members that joined, and for all
    /// members if the slot's owner left.
    pub fn with_members(&self, mut members: Vec<Member>) -> SlotTable {
        members.sort_unstable();
        members.dedup_by_key(|member| member.name);
        if members.is_empty() {
            return SlotTable::default();
        }
        let mut build = SlotTableBuild::new(self, &members);
        for (index, member) in (0..).zip(&members) {
            if !self.members.is_empty() && !self.has_name(member.name) {
                build.assign_slots_won(index, member);
            }
        }
        build.assign_orphaned(&members);
        SlotTable {
            members,
            owners: build.owners,
            scores_computed: build.scores_computed,
        }
    }

    fn has_name(&self, name: u64) -> bool {
        self.members
            .binary_search_by_key(&name, |member| member.name)
            .is_ok()
    }

    /// All members, ordered by the hash of their names.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Index of a key's owner in [`SlotTable::members`]; `None` if there are no members.
    pub fn owner_index(&self, key: u64) -> Option<usize> {
        let slot = (mix(key) >> (u64::BITS - SLOT_BITS)) as usize;
        self.owners.get(slot).map(|&index| index as usize)
    }

    /// Owner of a key; `None` if there are no members.
    pub fn owner(&self, key: u64) -> Option<Member> {
        self.owner_index(key).map(|index| self.members[index])
    }

    /// Number of scores that were computed to build this table from the previous one. Tests use it to show that an
    /// update is cheap.
    pub fn scores_computed(&self) -> u64 {
        self.scores_computed
    }
}

/// A member's score for a slot; the member with the highest score owns the slot. Equal scores are ordered by name, so
/// that the order in which members joined doesn't matter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct SlotScore {
    score: u64,
    name: u64,
}

impl SlotScore {
    fn new(member: &Member, slot: usize) -> SlotScore {
        SlotScore {
            score: mix(member.name ^ mix(slot as u64 + 1)),
            name: member.name,
        }
    }
}

/// A table under construction.
struct SlotTableBuild {
    /// Index of each slot's owner among the new members, or [`ORPHANED`], by slot.
    owners: Vec<u32>,
    /// Score of each slot's owner, by slot; the lowest possible score for orphaned slots.
    scores: Vec<SlotScore>,
    scores_computed: u64,
}

impl SlotTableBuild {
    /// Starts with the owners of the previous table that are still members; all other slots are orphaned.
    fn new(previous: &SlotTable, members: &[Member]) -> SlotTableBuild {
        let new_index = |old: &Member| {
            members
                .binary_search_by_key(&old.name, |member| member.name)
                .map_or(ORPHANED, |index| index as u32)
        };
        let new_indices: Vec<u32> = previous.members.iter().map(new_index).collect();
        let owners: Vec<u32> = if previous.owners.is_empty() {
            vec![ORPHANED; SLOT_COUNT]
        } else {
            let owners = previous.owners.iter();
            owners.map(|&old| new_indices[old as usize]).collect()
        };
        let owner_score = |(slot, &owner): (usize, &u32)| match members.get(owner as usize) {
            Some(member) => SlotScore::new(member, slot),
            None => SlotScore::default(),
        };
        SlotTableBuild {
            scores: owners.iter().enumerate().map(owner_score).collect(),
            owners,
            scores_computed: 0,
        }
    }

    /// Assigns to a member that joined the slots in which it scores higher than the current owner. Orphaned slots are
    /// left to [`SlotTableBuild::assign_orphaned`].
    fn assign_slots_won(&mut self, index: u32, member: &Member) {
        for (slot, (owner, highest)) in self.owners.iter_mut().zip(&mut self.scores).enumerate() {
            let score = SlotScore::new(member, slot);
            if *owner != ORPHANED && score > *highest {
                (*owner, *highest) = (index, score);
            }
        }
        self.scores_computed += SLOT_COUNT as u64;
    }

    /// Assigns each orphaned slot to the member with the highest score.
    fn assign_orphaned(&mut self, members: &[Member]) {
        for (slot, owner) in self.owners.iter_mut().enumerate() {
            if *owner != ORPHANED {
                continue;
            }
            let best = (0..)
                .zip(members)
                .max_by_key(|(_, member)| SlotScore::new(member, slot));
            *owner = best.map_or(0, |(index, _)| index);
            self.scores_computed += members.len() as u64;
        }
    }
}
