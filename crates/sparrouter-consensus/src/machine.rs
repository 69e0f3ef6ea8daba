//! The replicated state machine: what a change means to a body. The caller supplies it.

/// What a change makes of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change is in force once the new body is chosen.
    Changed {
        /// The new body.
        body: Vec<u8>,
        /// What the caller is answered then.
        answer: Vec<u8>,
    },
    /// A refusal, or a question: the answer holds for the body that it was evaluated on.
    Unchanged {
        /// What the caller is answered.
        answer: Vec<u8>,
    },
}

/// A pure function of body and change, computed alike at every node.
pub trait Machine {
    /// Applies a change to a body. The change's bytes come from a caller: malformed ones must give an `Unchanged`
    /// answer, not a panic.
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied;
}
