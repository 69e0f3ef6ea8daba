//! Agreement on the first group of a fleet: single-decree Paxos among the seed nodes of the first start.
//!
//! The registers need a group before they can agree on anything, and at its first start a node knows nothing about the
//! fleet but the seeds, which are the same for all nodes. A majority of the *electors*, the seeds that keep control
//! state, therefore chooses the first group: any of them may end, freeze or be partitioned while the others go on.
//!
//! An elector has a [`BootstrapRecord`] on disk before it answers. A node without a record, which was wiped or which
//! joined later, does not vote: its predecessor may have voted. Nor does an elector that knows a group; then there is
//! nothing to agree on.
//!
//! Source: Lamport, "Paxos made simple", 2001.
use crate::codec::{self, CodecError, read_list, read_text, write_bytes, write_list};
use crate::vote::{MAX_MEMBERS, Member};
use nanoserde::{DeBin, DeBinErr, SerBin};
use std::collections::BTreeSet;

/// Maximum number of seeds in a record; further seeds are no electors.
pub const MAX_SEEDS: usize = 9;
/// Maximum length of a record in bytes: the seeds, and the members with their names and addresses.
const MAX_RECORD_BYTES: usize =
    64 + (MAX_SEEDS + 2 * MAX_MEMBERS) * (codec::MAX_TEXT_BYTES + 2 * size_of::<u64>());

/// The number of a proposal of a first group. Numbers are ordered by term, then by proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, SerBin, DeBin)]
pub struct BootstrapNumber {
    /// The term, which a proposer raises above every term that it has observed.
    pub term: u64,
    /// Random number drawn for each proposal, so that no two proposals have the same number.
    pub nonce: u64,
}

/// A group that an elector accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedGroup {
    /// The number under which it was proposed.
    pub number: BootstrapNumber,
    /// Its members.
    pub members: Vec<Member>,
}

/// What an elector has on disk. It outlasts the agreement, and shows a process that restarts before it knows a group
/// that nothing of this node's votes is lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BootstrapRecord {
    /// Control addresses of the seeds at the first start.
    pub seeds: Vec<String>,
    /// The highest promised number: the elector rejects all proposals with lower numbers. Never decreases.
    pub promised: BootstrapNumber,
    /// The accepted group with the highest number.
    pub accepted: Option<AcceptedGroup>,
}

/// A proposer's request to an elector.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum BootstrapRequest {
    /// Asks for the promise to accept no proposal with a lower number.
    Prepare(BootstrapNumber),
    /// Asks for the acceptance of a group.
    Accept(AcceptedGroup),
}

/// An elector's reply.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum BootstrapReply {
    /// The number is promised. Contains the accepted group, if there is one.
    Promised(Option<AcceptedGroup>),
    /// The group is accepted.
    Accepted,
    /// A higher number is promised.
    Superseded(BootstrapNumber),
    /// The elector knows a group: none may be formed.
    GroupExists,
    /// The node has no vote, or cannot store it.
    Abstained,
}

impl BootstrapRequest {
    /// Encodes the request for the wire.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a request.
    ///
    /// # Errors
    /// The input is too long, has another format, or is not a request.
    pub fn decode(bytes: &[u8]) -> Result<BootstrapRequest, CodecError> {
        codec::decode(bytes, MAX_RECORD_BYTES)
    }
}

impl BootstrapReply {
    /// Encodes the reply for the wire.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a reply.
    ///
    /// # Errors
    /// The input is too long, has another format, or is not a reply.
    pub fn decode(bytes: &[u8]) -> Result<BootstrapReply, CodecError> {
        codec::decode(bytes, MAX_RECORD_BYTES)
    }
}

impl BootstrapRecord {
    /// The record of an elector that has not voted yet.
    pub fn new(mut seeds: Vec<String>) -> BootstrapRecord {
        seeds.truncate(MAX_SEEDS);
        BootstrapRecord {
            seeds,
            ..BootstrapRecord::default()
        }
    }

    /// Votes on a request. The reply may be sent once the changed record is on disk.
    pub fn vote(&mut self, request: &BootstrapRequest) -> BootstrapReply {
        let number = match request {
            BootstrapRequest::Prepare(number) => *number,
            BootstrapRequest::Accept(group) => group.number,
        };
        if number < self.promised {
            return BootstrapReply::Superseded(self.promised);
        }
        self.promised = number;
        match request {
            BootstrapRequest::Prepare(_) => BootstrapReply::Promised(self.accepted.clone()),
            BootstrapRequest::Accept(group) => {
                self.accepted = Some(group.clone());
                BootstrapReply::Accepted
            }
        }
    }

    /// Encodes the record for the disk.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// The input is too long, has another format, or is not a record.
    pub fn decode(bytes: &[u8]) -> Result<BootstrapRecord, CodecError> {
        codec::decode(bytes, MAX_RECORD_BYTES)
    }
}

/// What a proposer does after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalStep {
    /// Wait for further replies.
    Wait,
    /// Send this request to all electors.
    Send(BootstrapRequest),
    /// The group is chosen: it is the first group of the fleet.
    Chosen(Vec<Member>),
    /// Give up; a later proposal needs a term above this one.
    Superseded {
        /// The highest observed term.
        term: u64,
    },
    /// Give up: an elector knows a group.
    GroupExists,
}

/// One proposal of a first group. The caller sends its requests to all electors and passes their replies.
#[derive(Clone, Debug)]
pub struct BootstrapProposal {
    group: AcceptedGroup,
    /// Number of electors that are a majority of them.
    majority: usize,
    /// Whether the group was sent for acceptance. From then on, promises no longer count.
    is_accepting: bool,
    /// Electors that replied to the current request.
    votes: BTreeSet<String>,
    /// The number of the group that an elector reported as accepted; `group` has its members.
    adopted: Option<BootstrapNumber>,
}

impl BootstrapProposal {
    /// Starts a proposal of `members` to `electors` electors. `number` is used for no other proposal.
    pub fn new(
        number: BootstrapNumber,
        members: Vec<Member>,
        electors: usize,
    ) -> BootstrapProposal {
        BootstrapProposal {
            group: AcceptedGroup { number, members },
            majority: electors / 2 + 1,
            is_accepting: false,
            votes: BTreeSet::new(),
            adopted: None,
        }
    }

    /// The first request.
    pub fn prepare(&self) -> BootstrapRequest {
        BootstrapRequest::Prepare(self.group.number)
    }

    /// Handles the reply of an elector to `request`.
    pub fn on_reply(
        &mut self,
        elector: &str,
        request: &BootstrapRequest,
        reply: BootstrapReply,
    ) -> ProposalStep {
        let is_accept = matches!(request, BootstrapRequest::Accept(_));
        match reply {
            BootstrapReply::GroupExists => ProposalStep::GroupExists,
            BootstrapReply::Superseded(promised) => ProposalStep::Superseded {
                term: promised.term,
            },
            BootstrapReply::Promised(accepted) if !is_accept && !self.is_accepting => {
                self.adopt(accepted);
                self.count_vote(elector)
            }
            BootstrapReply::Accepted if is_accept && self.is_accepting => self.count_vote(elector),
            _ => ProposalStep::Wait,
        }
    }

    /// Adopts the reported group with the highest number, since it may be chosen.
    fn adopt(&mut self, accepted: Option<AcceptedGroup>) {
        let Some(accepted) = accepted else { return };
        if self.adopted.is_none_or(|adopted| accepted.number > adopted) {
            self.adopted = Some(accepted.number);
            self.group.members = accepted.members;
        }
    }

    fn count_vote(&mut self, elector: &str) -> ProposalStep {
        self.votes.insert(elector.to_owned());
        if self.votes.len() < self.majority {
            return ProposalStep::Wait;
        }
        if self.is_accepting {
            return ProposalStep::Chosen(self.group.members.clone());
        }
        self.is_accepting = true;
        self.votes.clear();
        ProposalStep::Send(BootstrapRequest::Accept(self.group.clone()))
    }
}

impl SerBin for AcceptedGroup {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        self.number.ser_bin(out);
        write_list(&self.members, out);
    }
}

impl DeBin for AcceptedGroup {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<AcceptedGroup, DeBinErr> {
        Ok(AcceptedGroup {
            number: BootstrapNumber::de_bin(offset, input)?,
            members: read_list(offset, input, MAX_MEMBERS)?,
        })
    }
}

/// A seed's address as an item of a list.
struct SeedAddress(String);

impl SerBin for SeedAddress {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        write_bytes(self.0.as_bytes(), out);
    }
}

impl DeBin for SeedAddress {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<SeedAddress, DeBinErr> {
        read_text(offset, input).map(SeedAddress)
    }
}

impl SerBin for BootstrapRecord {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        let seeds: Vec<SeedAddress> = self.seeds.iter().cloned().map(SeedAddress).collect();
        write_list(&seeds, out);
        self.promised.ser_bin(out);
        self.accepted.ser_bin(out);
    }
}

impl DeBin for BootstrapRecord {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<BootstrapRecord, DeBinErr> {
        let seeds: Vec<SeedAddress> = read_list(offset, input, MAX_SEEDS)?;
        Ok(BootstrapRecord {
            seeds: seeds.into_iter().map(|seed| seed.0).collect(),
            promised: BootstrapNumber::de_bin(offset, input)?,
            accepted: Option::de_bin(offset, input)?,
        })
    }
}
