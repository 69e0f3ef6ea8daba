//! Members, ballots and states: what is voted on, and what an acceptor keeps on disk.
use crate::codec::{self, read_bytes, read_list, read_text, write_bytes, write_list};
use nanoserde::{DeBin, DeBinErr, SerBin};
use std::ops::Deref;
use std::sync::Arc;

/// Most members of a group; further counted nodes wait as spares.
pub const MAX_MEMBERS: usize = 9;
/// Slots back to which a proposer can tell whether its own proposal was chosen.
pub const MAX_RECENT_PROPOSALS: usize = 8;

/// A node in its vote. Only `disk` counts: the random id of its disk's life, made with the folder and lost with it, so
/// that a wiped machine is somebody else, who has promised nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    pub disk_id: u64,
    pub name: String,
    /// Internal ip:port.
    pub address: String,
}

/// Orders the tries at a slot. `life` is drawn anew at each start, so that a round that a dead life of this disk used
/// is never used for a second value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct ProposalNumber {
    pub term: u64,
    pub replica: u64,
    pub incarnation: u64,
}

/// Which vote: by slot, then ballot. Equal ones are one vote, of one value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct VoteId {
    pub slot: u64,
    pub number: ProposalNumber,
}

/// The value of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    pub slot: u64,
    /// The group that governs slot `seq + 1`.
    pub members: Vec<Member>,
    /// Size of the first group: reconfiguration shrinks no group below it.
    pub initial_size: u8,
    /// Random numbers of the proposals that made the last slots, newest first: by them a proposer that was cut off
    /// learns whether its own was chosen after all.
    pub recent_proposals: Vec<u64>,
    pub body: Vec<u8>,
}

/// A state under a ballot, with the group that governs its slot: a reader may never have seen the state before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    pub number: ProposalNumber,
    /// Members of the state before, if they were others.
    pub previous_members: Option<Vec<Member>>,
    pub state: State,
}

impl Vote {
    pub fn id(&self) -> VoteId {
        VoteId {
            slot: self.state.slot,
            number: self.number,
        }
    }

    /// The group whose majority chooses this slot, next to that of `state.members`.
    pub fn governing(&self) -> &[Member] {
        self.previous_members
            .as_ref()
            .unwrap_or(&self.state.members)
    }

    /// Everybody whose vote may count here, each once.
    pub fn electorate(&self) -> Vec<Member> {
        let mut all = self.state.members.clone();
        for member in self.previous_members.iter().flatten() {
            if all.iter().all(|m| m.disk_id != member.disk_id) {
                all.push(member.clone());
            }
        }
        all
    }
}

/// A vote held by several at once: bodies are large, and most messages and records hold the same one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedVote(pub Arc<Vote>);

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

/// What an acceptor has on disk for one part.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Record {
    pub promised: ProposalNumber,
    pub accepted: Option<SharedVote>,
}

impl Record {
    /// The same bytes for every member of a part's first group; each has them on disk before it takes part.
    pub fn bootstrap(mut members: Vec<Member>, body: Vec<u8>) -> Record {
        members.sort_unstable();
        let founding = members.len().min(MAX_MEMBERS) as u8;
        let state = State {
            slot: 0,
            members,
            initial_size: founding,
            recent_proposals: Vec::new(),
            body,
        };
        let vote = Vote {
            number: ProposalNumber::default(),
            previous_members: None,
            state,
        };
        Record {
            promised: ProposalNumber::default(),
            accepted: Some(vote.into()),
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    pub fn decode(bytes: &[u8], most: usize) -> Result<Record, codec::CodecError> {
        codec::decode(bytes, most)
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
    fn de_bin(at: &mut usize, input: &[u8]) -> Result<Member, DeBinErr> {
        let disk = u64::de_bin(at, input)?;
        Ok(Member {
            disk_id: disk,
            name: read_text(at, input)?,
            address: read_text(at, input)?,
        })
    }
}

impl SerBin for Vote {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.number.ser_bin(out);
        self.previous_members.is_some().ser_bin(out);
        if let Some(before) = &self.previous_members {
            write_list(before, out);
        }
        self.state.slot.ser_bin(out);
        write_list(&self.state.members, out);
        self.state.initial_size.ser_bin(out);
        write_list(&self.state.recent_proposals, out);
        write_bytes(&self.state.body, out);
    }
}

impl DeBin for Vote {
    fn de_bin(at: &mut usize, input: &[u8]) -> Result<Vote, DeBinErr> {
        let ballot = ProposalNumber::de_bin(at, input)?;
        let before = match bool::de_bin(at, input)? {
            true => Some(read_list(at, input, MAX_MEMBERS)?),
            false => None,
        };
        let state = State {
            slot: u64::de_bin(at, input)?,
            members: read_list(at, input, MAX_MEMBERS)?,
            initial_size: u8::de_bin(at, input)?,
            recent_proposals: read_list(at, input, MAX_RECENT_PROPOSALS)?,
            body: read_bytes(at, input, input.len())?,
        };
        Ok(Vote {
            number: ballot,
            previous_members: before,
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
    fn de_bin(at: &mut usize, input: &[u8]) -> Result<SharedVote, DeBinErr> {
        Ok(Vote::de_bin(at, input)?.into())
    }
}
