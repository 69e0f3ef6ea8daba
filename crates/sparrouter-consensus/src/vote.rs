//! What the members of a group vote on: proposal numbers, states, and a state proposed under a number (a vote).
//!
//! The encodings are written by hand where a list or a text is part of them; their bytes are on disks and on the wire.
use crate::codec::{read_bytes, read_list, read_text, write_bytes, write_list};
use nanoserde::{DeBin, DeBinErr, SerBin};
use std::ops::Deref;
use std::sync::Arc;

/// Largest group; further nodes that count toward a quorum wait as spares.
pub const MAX_MEMBERS: usize = 9;
/// Number of preceding slots for which a state names the proposal that was chosen.
pub const MAX_RECENT_PROPOSALS: usize = 8;

/// A member of a replica group. Identity is `disk_id` alone: two members with one name and two disks are two members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Random id of the data folder, made with it and lost with it, so that a wiped machine comes back as another
    /// member, which has promised nothing.
    pub disk_id: u64,
    /// The node's name, which outlives its disk.
    pub name: String,
    /// Internal address, ip:port.
    pub address: String,
}

/// Orders the proposals for one slot: by term, then by who proposes.
///
/// Invariant: one number is used for one value a slot. `replica` is the proposer's disk id; `incarnation` is drawn anew
/// at each start, so that a restarted proposer, whose term may repeat, never reuses a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ProposalNumber {
    /// Raised by a proposer above every term that it has observed.
    pub term: u64,
    /// Disk id of the proposer.
    pub replica: u64,
    /// Random number of the proposer's start.
    pub incarnation: u64,
}

/// Identifies a vote: by slot, then by number. Equal ids mean equal values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct VoteId {
    /// The slot voted on.
    pub slot: u64,
    /// The number under which the value was proposed.
    pub number: ProposalNumber,
}

/// The value of a slot: the register's content and the group that decides on the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// Position in the sequence of states; the first group's is 0.
    pub slot: u64,
    /// The group that governs slot `slot + 1`, ordered by disk id.
    pub members: Vec<Member>,
    /// Size of the first group: reconfiguration shrinks no group below it.
    pub initial_size: u8,
    /// Random ids of the proposals that were chosen for this slot and the ones before it, newest first, at most
    /// `MAX_RECENT_PROPOSALS`. A proposer that was cut off learns from them whether its own proposal was chosen.
    pub recent_proposals: Vec<u64>,
    /// What the register holds, in the machine's own encoding.
    pub body: Vec<u8>,
}

/// A state proposed under a number, with the groups whose majorities choose it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The number under which it was proposed.
    pub number: ProposalNumber,
    /// The group of the state before, if this state changes the group. It travels along because a reader may never
    /// have seen the state before.
    pub previous_members: Option<Vec<Member>>,
    /// The proposed value.
    pub state: State,
}

impl Vote {
    /// Slot and number of this vote.
    pub fn id(&self) -> VoteId {
        VoteId {
            slot: self.state.slot,
            number: self.number,
        }
    }

    /// The group whose majority chooses this slot, together with a majority of `state.members`.
    pub fn governing(&self) -> &[Member] {
        self.previous_members
            .as_ref()
            .unwrap_or(&self.state.members)
    }

    /// Every member whose vote counts for this slot, each once: the new group, then those of the old one only.
    pub fn electorate(&self) -> Vec<Member> {
        let mut electorate = self.state.members.clone();
        for member in self.previous_members.iter().flatten() {
            if !contains_disk(&electorate, member.disk_id) {
                electorate.push(member.clone());
            }
        }
        electorate
    }

    /// Whether this disk's vote counts for this slot.
    pub(crate) fn is_elector(&self, disk_id: u64) -> bool {
        contains_disk(&self.state.members, disk_id) || contains_disk(self.governing(), disk_id)
    }

    /// The same value under another number.
    pub(crate) fn with_number(&self, number: ProposalNumber) -> Vote {
        Vote {
            number,
            ..self.clone()
        }
    }

    /// The same vote with another body. The body of this one is not copied.
    pub(crate) fn with_body(&self, body: Vec<u8>) -> Vote {
        Vote {
            number: self.number,
            previous_members: self.previous_members.clone(),
            state: State {
                slot: self.state.slot,
                members: self.state.members.clone(),
                initial_size: self.state.initial_size,
                recent_proposals: self.state.recent_proposals.clone(),
                body,
            },
        }
    }
}

/// Whether one of the members has this disk.
pub(crate) fn contains_disk(members: &[Member], disk_id: u64) -> bool {
    members.iter().any(|member| member.disk_id == disk_id)
}

/// A vote with shared ownership: bodies are large, and most messages and records refer to the same one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedVote(pub Arc<Vote>);

impl SharedVote {
    /// The vote as it stands once it is chosen: the previous group has no more say and may be gone.
    pub(crate) fn without_previous_members(&self) -> SharedVote {
        if self.previous_members.is_none() {
            return self.clone();
        }
        Vote {
            previous_members: None,
            ..(*self.0).clone()
        }
        .into()
    }
}

impl Deref for SharedVote {
    type Target = Vote;
    fn deref(&self) -> &Vote {
        &self.0
    }
}

impl From<Vote> for SharedVote {
    fn from(vote: Vote) -> SharedVote {
        SharedVote(Arc::new(vote))
    }
}

impl SerBin for Member {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.disk_id.ser_bin(out);
        write_bytes(self.name.as_bytes(), out);
        write_bytes(self.address.as_bytes(), out);
    }
}

impl DeBin for Member {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<Member, DeBinErr> {
        Ok(Member {
            disk_id: u64::de_bin(offset, input)?,
            name: read_text(offset, input)?,
            address: read_text(offset, input)?,
        })
    }
}

impl SerBin for Vote {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.number.ser_bin(out);
        self.previous_members.is_some().ser_bin(out);
        if let Some(members) = &self.previous_members {
            write_list(members, out);
        }
        self.state.slot.ser_bin(out);
        write_list(&self.state.members, out);
        self.state.initial_size.ser_bin(out);
        write_list(&self.state.recent_proposals, out);
        write_bytes(&self.state.body, out);
    }
}

impl DeBin for Vote {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<Vote, DeBinErr> {
        let number = ProposalNumber::de_bin(offset, input)?;
        let previous_members = if bool::de_bin(offset, input)? {
            Some(read_list(offset, input, MAX_MEMBERS)?)
        } else {
            None
        };
        let state = State {
            slot: u64::de_bin(offset, input)?,
            members: read_list(offset, input, MAX_MEMBERS)?,
            initial_size: u8::de_bin(offset, input)?,
            recent_proposals: read_list(offset, input, MAX_RECENT_PROPOSALS)?,
            body: read_bytes(offset, input, input.len())?,
        };
        Ok(Vote {
            number,
            previous_members,
            state,
        })
    }
}

impl SerBin for SharedVote {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.0.ser_bin(out);
    }
}

impl DeBin for SharedVote {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<SharedVote, DeBinErr> {
        Ok(Vote::de_bin(offset, input)?.into())
    }
}
