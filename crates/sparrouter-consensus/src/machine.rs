//! The replicated state machine, which applies changes to a body. The register's caller implements it.

/// The result of applying a change to a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change replaces the body. It takes effect once the new body is chosen.
    Changed {
        /// The new body.
        body: Vec<u8>,
        /// The answer to the caller once the new body is chosen.
        answer: Vec<u8>,
    },
    /// The change was rejected or only asks for information. The answer is valid for the body that it was evaluated on.
    Unchanged {
        /// The answer to the caller.
        answer: Vec<u8>,
    },
}

/// A deterministic state machine: a pure function of body and change, with the same result at every node.
pub trait Machine {
    /// Applies a change to a body. The change's bytes come from a caller and may be malformed: the result is then
    /// `Unchanged`, never a panic.
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied;
}
