//! The rules that an exploration checks, as the ways in which they are broken.
use sparrouter_consensus::VoteId;

/// A rule that a step broke.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    #[error("two values proposed under {0:?}")]
    TwoValuesProposed(VoteId),
    #[error("{vote_id:?} is on disk {disk} and was never proposed")]
    NeverProposed { vote_id: VoteId, disk: u64 },
    #[error("two values chosen at slot {slot}: {first:?} and {second:?}")]
    TwoValuesChosen {
        slot: u64,
        first: Vec<u8>,
        second: Vec<u8>,
    },
    #[error("another state than the chosen one published at slot {0}")]
    OtherStatePublished(u64),
    #[error("slot {0} published before a state was chosen")]
    PublishedBeforeChosen(u64),
    #[error("slot {0} is chosen and on no majority of its group's disks")]
    OnNoMajority(u64),
    #[error("call {0} was answered by a value not chosen")]
    AnsweredUnchosen(usize),
    /// With the history's summary.
    #[error("not linearizable: {0}")]
    NotLinearizable(String),
    #[error("an assertion of the register")]
    AssertionFailed,
}
