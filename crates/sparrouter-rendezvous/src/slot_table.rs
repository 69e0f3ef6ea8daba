//! Owners of keys by a table of slots: a lookup is O(1), and where the set of members changes only the slots of the
//! members that came or went get another owner.
//!
//! Each slot is owned by the member with the highest rendezvous score for the slot's number, so two nodes that know the
//! same members agree without talking. Source for a table in front of a hash of members: Eisenbud et al., "Maglev: A
//! Fast and Reliable Software Network Load Balancer", NSDI 2016, section 3.4.
use crate::mix;

/// Bits of a mixed key that choose its slot.
const SLOT_BITS: u32 = 14;
/// Slots of a table. With 340 members each owns 48 of them, give or take 7; a table takes 64 KiB.
pub const SLOT_COUNT: usize = 1 << SLOT_BITS;

/// One member of the set that keys are divided among.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Hash of its name: all that its scores depend on.
    pub name: u64,
    /// Changes when the process restarts under the same name, and so loses what it was sent.
    pub process: u64,
}

/// Which member owns which slot. Never changed: another set of members is another table.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    /// Ordered by name, each name once.
    members: Vec<Member>,
    /// By slot, the place of its owner in `members`; empty without members.
    owners: Vec<u32>,
    /// Scores that were computed to make this table from the one before.
    scored: u64,
}

impl SlotTable {
    /// The table of these members, made from this one: slots are scored anew only against members that came, and
    /// against all members where the owner went.
    pub fn with_members(&self, mut members: Vec<Member>) -> SlotTable {
        members.sort_unstable();
        members.dedup_by_key(|member| member.name);
        if members.is_empty() {
            return SlotTable::default();
        }
        let mut build = SlotTableBuild::from(self, &members);
        for (place, member) in (0..).zip(&members) {
            if !self.members.is_empty() && !self.has_name(member.name) {
                build.challenge(place, member);
            }
        }
        build.fill_orphaned(&members);
        SlotTable {
            members,
            owners: build.owners,
            scored: build.scored,
        }
    }

    fn has_name(&self, name: u64) -> bool {
        self.members.binary_search_by_key(&name, |m| m.name).is_ok()
    }

    /// All members, ordered by the hash of their names.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The place of a key's owner in [`SlotTable::members`]; None without members.
    pub fn owner_index(&self, key: u64) -> Option<usize> {
        let slot = (mix(key) >> (u64::BITS - SLOT_BITS)) as usize;
        self.owners.get(slot).map(|&place| place as usize)
    }

    /// The owner of a key; None without members.
    pub fn owner(&self, key: u64) -> Option<Member> {
        self.owner_index(key).map(|place| self.members[place])
    }

    /// Scores that were computed to make this table from the one before.
    pub fn scored(&self) -> u64 {
        self.scored
    }
}

/// No owner, while a table is made.
const ORPHANED: u32 = u32::MAX;

/// A table that is being made.
struct SlotTableBuild {
    owners: Vec<u32>,
    /// By slot, the owner's score and name: equal scores go by the name, so that the order of arrival does not count.
    ranks: Vec<(u64, u64)>,
    scored: u64,
}

impl SlotTableBuild {
    /// With the owners of the table before, as far as they are still members; other slots are orphaned.
    fn from(before: &SlotTable, members: &[Member]) -> SlotTableBuild {
        let place_of = |old: &Member| {
            members
                .binary_search_by_key(&old.name, |member| member.name)
                .map_or(ORPHANED, |place| place as u32)
        };
        let places: Vec<u32> = before.members.iter().map(place_of).collect();
        let owners: Vec<u32> = if before.owners.is_empty() {
            vec![ORPHANED; SLOT_COUNT]
        } else {
            let new_place = |&old: &u32| places[old as usize];
            before.owners.iter().map(new_place).collect()
        };
        let rank_of = |(slot, &owner): (usize, &u32)| match members.get(owner as usize) {
            Some(member) => rank(member, slot),
            None => (0, 0),
        };
        SlotTableBuild {
            ranks: owners.iter().enumerate().map(rank_of).collect(),
            owners,
            scored: 0,
        }
    }

    /// Gives a member that came the slots in which it beats the owner. Orphaned slots are left to the end.
    fn challenge(&mut self, place: u32, member: &Member) {
        for (slot, (owner, best)) in self.owners.iter_mut().zip(&mut self.ranks).enumerate() {
            let rank = rank(member, slot);
            if *owner != ORPHANED && rank > *best {
                (*owner, *best) = (place, rank);
            }
        }
        self.scored += SLOT_COUNT as u64;
    }

    /// Gives each orphaned slot the best of all members.
    fn fill_orphaned(&mut self, members: &[Member]) {
        for (slot, owner) in self.owners.iter_mut().enumerate() {
            if *owner != ORPHANED {
                continue;
            }
            let best = (0..)
                .zip(members)
                .max_by_key(|(_, member)| rank(member, slot));
            *owner = best.map_or(0, |(place, _)| place);
            self.scored += members.len() as u64;
        }
    }
}

/// A member's rank for a slot; the highest owns it.
fn rank(member: &Member, slot: usize) -> (u64, u64) {
    (mix(member.name ^ mix(slot as u64 + 1)), member.name)
}
