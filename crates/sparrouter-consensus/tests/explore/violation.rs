//! The rules that an exploration checks, as their possible violations.
use sparrouter_consensus::VoteId;

/// A violation of a rule by a step.
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
    #[error("a state other than the chosen one was published at slot {0}")]
    OtherStatePublished(u64),
    #[error("slot {0} was published before a state was chosen")]
    PublishedBeforeChosen(u64),
    #[error("slot {0} is chosen but not on a majority of its group's disks")]
    OnNoMajority(u64),
    #[error("call {0} was answered with a value that is not chosen")]
    AnsweredUnchosen(usize),
    /// Contains the summary of the history.
    #[error("not linearizable: {0}")]
    NotLinearizable(String),
    #[error("an assertion of the register failed")]
    AssertionFailed,
}
