//! What a change means to a body: the caller's part, a pure function that every node computes alike.

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    Changed {
        body: Vec<u8>,
        answer: Vec<u8>,
    },
    /// A refusal, or a question: the answer holds for the body that it was judged on.
    Unchanged {
        answer: Vec<u8>,
    },
}

pub trait Machine {
    /// Bytes of the change come from a caller: what they are not must be an `Unchanged` answer, not a panic.
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied;
}
