//! The values that the members of a group vote on: proposal numbers, states, and votes (a state proposed under a
//! number).
//!
//! The encodings of types with lists or strings are written by hand. Encoded values are stored on disk and sent over
//! the network.
use crate::codec::{read_bytes, read_list, read_text, write_bytes, write_list};
use nanoserde::{DeBin, DeBinErr, SerBin};
use std::ops::Deref;
use std::sync::Arc;

/// Maximum number of members of a group; further nodes that count toward a quorum are spares.
pub const MAX_MEMBERS: usize = 9;
/// Maximum length of `State::recent_proposals`: the state's own slot and the slots before it.
pub const MAX_RECENT_PROPOSALS: usize = 8;

/// A member of a replica group, identified by `disk_id` alone: the same node with another disk is another member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Random id of the data folder, created and lost together with it, so that a wiped machine returns as another
    /// member, which has promised nothing.
    pub disk_id: u64,
    /// The node's name, which stays the same if its disk is replaced.
    pub name: String,
    /// The node's internal address, as ip:port.
    pub address: String,
}

/// The number of a proposal. Numbers are ordered by term, then by proposer.
///
/// Invariant: a number is used for at most one value in each slot. `incarnation` is drawn at random at each start, so
/// that a restarted proposer, which may use a term again, never reuses a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ProposalNumber {
    /// The term, which a proposer raises above every term that it has observed.
    pub term: u64,
    /// Disk id of the proposer.
    pub replica: u64,
    /// Random number drawn at the proposer's start.
    pub incarnation: u64,
}

/// Identifies a vote. Ids are ordered by slot, then by number; votes with equal ids have equal values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct VoteId {
    /// The slot voted on.
    pub slot: u64,
    /// The number under which the value was proposed.
    pub number: ProposalNumber,
}

/// The value of a slot: the register's content, and the group that decides on the next slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// Position of the state in the sequence of states; the initial state has slot 0.
    pub slot: u64,
    /// The group that governs slot `slot + 1`, ordered by disk id.
    pub members: Vec<Member>,
    /// Size of the first group. Reconfiguration never makes the group smaller.
    pub initial_size: u8,
    /// Random ids of the proposals that were chosen for this slot and the slots before it, newest first, at most
    /// `MAX_RECENT_PROPOSALS`. A proposer that was partitioned learns from them whether its own proposal was chosen.
    pub recent_proposals: Vec<u64>,
    /// The register's content, in the encoding of the state machine.
    pub body: Vec<u8>,
}

/// A state proposed under a number, with the groups whose majorities choose it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The number under which the state was proposed.
    pub number: ProposalNumber,
    /// The group of the previous state, if this state changes the group; otherwise `None`. It is part of the vote
    /// because a reader may never have received the previous state.
    pub previous_members: Option<Vec<Member>>,
    /// The proposed value.
    pub state: State,
}

impl Vote {
    /// The id of this vote: its slot and number.
    pub fn id(&self) -> VoteId {
        VoteId {
            slot: self.state.slot,
            number: self.number,
        }
    }

    /// The group that governs this slot. A vote is chosen by a majority of this group and a majority of
    /// `state.members`.
    pub fn governing_members(&self) -> &[Member] {
        self.previous_members
            .as_ref()
            .unwrap_or(&self.state.members)
    }

    /// All members whose votes count for this slot, each once: the new group, then the members of the previous group
    /// only.
    pub fn electorate(&self) -> Vec<Member> {
        let mut electorate = self.state.members.clone();
        for member in self.previous_members.iter().flatten() {
            if !contains_disk(&electorate, member.disk_id) {
                electorate.push(member.clone());
            }
        }
        electorate
    }

    /// Whether the vote of the member with this disk counts for this slot.
    pub(crate) fn is_elector(&self, disk_id: u64) -> bool {
        contains_disk(&self.state.members, disk_id)
            || contains_disk(self.governing_members(), disk_id)
    }

    /// The same state under another number.
    pub(crate) fn with_number(&self, number: ProposalNumber) -> Vote {
        Vote {
            number,
            ..self.clone()
        }
    }

    /// The same vote with another body. The body of this vote is not copied.
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

/// A vote with shared ownership, because bodies are large and most messages and records refer to the same vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedVote(pub Arc<Vote>);

impl SharedVote {
    /// The vote without its previous group, which no longer votes once the vote is chosen and whose nodes may be lost.
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
