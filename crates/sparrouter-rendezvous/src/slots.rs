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
        let place_of = |name: u64| members.binary_search_by_key(&name, |m| m.name).ok();
        let kept: Vec<Option<u32>> = self
            .members
            .iter()
            .map(|old| place_of(old.name).map(|place| place as u32))
            .collect();
        let came: Vec<u32> = (0..members.len() as u32)
            .filter(|&place| !self.has_name(members[place as usize].name))
            .collect();
        let every: Vec<u32> = (0..members.len() as u32).collect();
        let mut scored = 0;
        let owners = (0..SLOT_COUNT)
            .map(|slot| {
                let before = self.owners.get(slot).and_then(|&old| kept[old as usize]);
                let challengers = if before.is_some() { &came } else { &every };
                scored += challengers.len() as u64;
                best(&members, slot, before, challengers)
            })
            .collect();
        SlotTable {
            members,
            owners,
            scored,
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
    pub fn owner_place(&self, key: u64) -> Option<usize> {
        let slot = (mix(key) >> (u64::BITS - SLOT_BITS)) as usize;
        self.owners.get(slot).map(|&place| place as usize)
    }

    /// The owner of a key; None without members.
    pub fn owner(&self, key: u64) -> Option<Member> {
        self.owner_place(key).map(|place| self.members[place])
    }

    /// Scores that were computed to make this table from the one before.
    pub fn scored(&self) -> u64 {
        self.scored
    }
}

/// The place with the highest score for a slot among `challengers` and the owner before.
fn best(members: &[Member], slot: usize, before: Option<u32>, challengers: &[u32]) -> u32 {
    let slot_key = mix(slot as u64 + 1);
    // Equal scores go by the name, so that the order of arrival does not count.
    let rank = |place: u32| {
        let name = members[place as usize].name;
        (mix(name ^ slot_key), name)
    };
    challengers
        .iter()
        .copied()
        .chain(before)
        .max_by_key(|&place| rank(place))
        .unwrap_or(0)
}
