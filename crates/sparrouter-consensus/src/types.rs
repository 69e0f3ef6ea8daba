//! Members, ballots and states: what is voted on, and what an acceptor keeps on disk.
use crate::codec::{self, read_bytes, read_list, read_text, write_bytes, write_list};
use nanoserde::{DeBin, DeBinErr, SerBin};
use std::ops::Deref;
use std::sync::Arc;

/// Most members of a group; further counted nodes wait as spares.
pub const MOST_MEMBERS: usize = 9;
/// Slots back to which a proposer can tell whether its own proposal was chosen.
pub const ORIGINS: usize = 8;

/// A node in its vote. Only `disk` counts: the random id of its disk's life, made with the folder and lost with it, so
/// that a wiped machine is somebody else, who has promised nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    pub disk: u64,
    pub name: String,
    /// Internal ip:port.
    pub address: String,
}

/// Orders the tries at a slot. `life` is drawn anew at each start, so that a round that a dead life of this disk used
/// is never used for a second value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct Ballot {
    pub round: u64,
    pub disk: u64,
    pub life: u64,
}

/// Which vote: by slot, then ballot. Equal ones are one vote, of one value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerBin, DeBin)]
pub struct VoteId {
    pub seq: u64,
    pub ballot: Ballot,
}

/// The value of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    pub seq: u64,
    /// The group that governs slot `seq + 1`.
    pub members: Vec<Member>,
    /// Size of the first group: reconfiguration shrinks no group below it.
    pub founding: u8,
    /// Random numbers of the proposals that made the last slots, newest first: by them a proposer that was cut off
    /// learns whether its own was chosen after all.
    pub origins: Vec<u64>,
    pub body: Vec<u8>,
}

/// A state under a ballot, with the group that governs its slot: a reader may never have seen the state before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    pub ballot: Ballot,
    /// Members of the state before, if they were others.
    pub before: Option<Vec<Member>>,
    pub state: State,
}

impl Vote {
    pub fn at(&self) -> VoteId {
        VoteId {
            seq: self.state.seq,
            ballot: self.ballot,
        }
    }

    /// The group whose majority chooses this slot, next to that of `state.members`.
    pub fn governing(&self) -> &[Member] {
        self.before.as_ref().unwrap_or(&self.state.members)
    }

    /// Everybody whose vote may count here, each once.
    pub fn electorate(&self) -> Vec<Member> {
        let mut all = self.state.members.clone();
        for member in self.before.iter().flatten() {
            if all.iter().all(|m| m.disk != member.disk) {
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
    pub promised: Ballot,
    pub accepted: Option<SharedVote>,
}

impl Record {
    /// The same bytes for every member of a part's first group; each has them on disk before it takes part.
    pub fn found(mut members: Vec<Member>, body: Vec<u8>) -> Record {
        members.sort_unstable();
        let founding = members.len().min(MOST_MEMBERS) as u8;
        let state = State {
            seq: 0,
            members,
            founding,
            origins: Vec::new(),
            body,
        };
        let vote = Vote {
            ballot: Ballot::default(),
            before: None,
            state,
        };
        Record {
            promised: Ballot::default(),
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
        self.disk.ser_bin(out);
        write_bytes(self.name.as_bytes(), out);
        write_bytes(self.address.as_bytes(), out);
    }
}

impl DeBin for Member {
    fn de_bin(at: &mut usize, input: &[u8]) -> Result<Member, DeBinErr> {
        let disk = u64::de_bin(at, input)?;
        Ok(Member {
            disk,
            name: read_text(at, input)?,
            address: read_text(at, input)?,
        })
    }
}

impl SerBin for Vote {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.ballot.ser_bin(out);
        self.before.is_some().ser_bin(out);
        if let Some(before) = &self.before {
            write_list(before, out);
        }
        self.state.seq.ser_bin(out);
        write_list(&self.state.members, out);
        self.state.founding.ser_bin(out);
        write_list(&self.state.origins, out);
        write_bytes(&self.state.body, out);
    }
}

impl DeBin for Vote {
    fn de_bin(at: &mut usize, input: &[u8]) -> Result<Vote, DeBinErr> {
        let ballot = Ballot::de_bin(at, input)?;
        let before = match bool::de_bin(at, input)? {
            true => Some(read_list(at, input, MOST_MEMBERS)?),
            false => None,
        };
        let state = State {
            seq: u64::de_bin(at, input)?,
            members: read_list(at, input, MOST_MEMBERS)?,
            founding: u8::de_bin(at, input)?,
            origins: read_list(at, input, ORIGINS)?,
            body: read_bytes(at, input, input.len())?,
        };
        Ok(Vote {
            ballot,
            before,
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
