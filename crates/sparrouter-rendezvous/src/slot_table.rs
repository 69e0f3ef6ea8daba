//! Owners of keys by a table of slots: a lookup takes constant time, and where the set of members changes only the slots
//! of the members that joined or left get another owner.
//!
//! Each slot is owned by the member with the highest rendezvous score for the slot's number, so two nodes that know the
//! same members agree without communication. Source for a table in front of a hash of members: Eisenbud et al., "Maglev:
//! A Fast and Reliable Software Network Load Balancer", NSDI 2016, section 3.4.
use crate::mix;

/// Bits of a mixed key that select its slot.
const SLOT_BITS: u32 = 14;
/// Number of slots of a table. With 340 members each owns 48 of them, give or take 7; a table takes 64 KiB.
pub const SLOT_COUNT: usize = 1 << SLOT_BITS;

/// Marks a slot without an owner while a table is built.
const ORPHANED: u32 = u32::MAX;

/// One member of the set that keys are divided among.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Hash of its name: all that its scores depend on.
    pub name: u64,
    /// Changes when the process restarts under the same name, and so loses what it was sent.
    pub process: u64,
}

/// Which member owns which slot. Immutable: another set of members is another table.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    /// Ordered by name, each name once.
    members: Vec<Member>,
    /// By slot, the index of its owner in `members`; empty without members.
    owners: Vec<u32>,
    /// See [`SlotTable::scored`].
    scored: u64,
}

impl SlotTable {
    /// Builds the table of these members from this one: slots are scored anew only against members that joined, and
    /// against all members where the owner left.
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
            scored: build.scored,
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

    /// The index of a key's owner in [`SlotTable::members`]; `None` without members.
    pub fn owner_index(&self, key: u64) -> Option<usize> {
        let slot = (mix(key) >> (u64::BITS - SLOT_BITS)) as usize;
        self.owners.get(slot).map(|&index| index as usize)
    }

    /// The owner of a key; `None` without members.
    pub fn owner(&self, key: u64) -> Option<Member> {
        self.owner_index(key).map(|index| self.members[index])
    }

    /// How many scores were computed to build this table from the one before. Tests show with it that the work is small.
    pub fn scored(&self) -> u64 {
        self.scored
    }
}

/// A member's score for a slot; the highest owns the slot. Equal scores are ordered by the name, so that the order in
/// which members joined does not matter.
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

/// A table that is being built.
struct SlotTableBuild {
    /// By slot, the index of its owner among the new members, or [`ORPHANED`].
    owners: Vec<u32>,
    /// By slot, the owner's score; the lowest possible one for orphaned slots.
    scores: Vec<SlotScore>,
    scored: u64,
}

impl SlotTableBuild {
    /// Starts with the owners of the table before, as far as they are still members; other slots are orphaned.
    fn new(before: &SlotTable, members: &[Member]) -> SlotTableBuild {
        let new_index = |old: &Member| {
            members
                .binary_search_by_key(&old.name, |member| member.name)
                .map_or(ORPHANED, |index| index as u32)
        };
        let new_indices: Vec<u32> = before.members.iter().map(new_index).collect();
        let owners: Vec<u32> = if before.owners.is_empty() {
            vec![ORPHANED; SLOT_COUNT]
        } else {
            let owners = before.owners.iter();
            owners.map(|&old| new_indices[old as usize]).collect()
        };
        let owner_score = |(slot, &owner): (usize, &u32)| match members.get(owner as usize) {
            Some(member) => SlotScore::new(member, slot),
            None => SlotScore::default(),
        };
        SlotTableBuild {
            scores: owners.iter().enumerate().map(owner_score).collect(),
            owners,
            scored: 0,
        }
    }

    /// Assigns a member that joined the slots in which it scores higher than the owner. Orphaned slots are left to
    /// [`SlotTableBuild::assign_orphaned`].
    fn assign_slots_won(&mut self, index: u32, member: &Member) {
        for (slot, (owner, highest)) in self.owners.iter_mut().zip(&mut self.scores).enumerate() {
            let score = SlotScore::new(member, slot);
            if *owner != ORPHANED && score > *highest {
                (*owner, *highest) = (index, score);
            }
        }
        self.scored += SLOT_COUNT as u64;
    }

    /// Assigns each orphaned slot the best of all members.
    fn assign_orphaned(&mut self, members: &[Member]) {
        for (slot, owner) in self.owners.iter_mut().enumerate() {
            if *owner != ORPHANED {
                continue;
            }
            let best = (0..)
                .zip(members)
                .max_by_key(|(_, member)| SlotScore::new(member, slot));
            *owner = best.map_or(0, |(index, _)| index);
            self.scored += members.len() as u64;
        }
    }
}
