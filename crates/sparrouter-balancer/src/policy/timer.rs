//! Timers that the policy sets, and their tokens.
use crate::types::InvocationIndex;

/// The purpose of a timer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// An answer to the invocation has no value from now on.
    AnswerDeadline {
        /// Index of the invocation.
        invocation: InvocationIndex,
    },
    /// A forward has been in flight for longer than usual.
    Overdue {
        /// Index of the forward's invocation.
        invocation: InvocationIndex,
        /// Index of the forward among the forwards of the invocation.
        forward_index: usize,
    },
    /// The list of cache servers is to be requested again.
    ListRequest,
    /// The next gossip message is to be sent.
    Gossip,
    /// The pause of the origin has ended.
    Origin,
}

// Layout of a token: 3 bits for the kind, 13 bits for the index of the forward, the remaining bits for the
// invocation.
const KIND_MASK: u64 = 7;
const FORWARD_SHIFT: u32 = 3;
const FORWARD_MASK: u64 = 0x1fff;
const INVOCATION_SHIFT: u32 = 16;
const ANSWER_DEADLINE: u64 = 0;
const OVERDUE: u64 = 2;
const LIST_REQUEST: u64 = 4;
const GOSSIP: u64 = 5;
const ORIGIN: u64 = 6;

impl Timer {
    /// Encodes the timer as a token.
    pub fn token(self) -> u64 {
        let of_forward = |kind: u64, invocation: InvocationIndex, forward_index: usize| {
            kind | (forward_index as u64) << FORWARD_SHIFT
                | u64::from(invocation) << INVOCATION_SHIFT
        };
        match self {
            Timer::AnswerDeadline { invocation } => of_forward(ANSWER_DEADLINE, invocation, 0),
            Timer::Overdue {
                invocation,
                forward_index,
            } => of_forward(OVERDUE, invocation, forward_index),
            Timer::ListRequest => LIST_REQUEST,
            Timer::Gossip => GOSSIP,
            Timer::Origin => ORIGIN,
        }
    }

    /// Decodes a token; `None` if its kind is unknown.
    pub fn from_token(token: u64) -> Option<Timer> {
        let invocation = (token >> INVOCATION_SHIFT) as InvocationIndex;
        let forward_index = (token >> FORWARD_SHIFT & FORWARD_MASK) as usize;
        match token & KIND_MASK {
            ANSWER_DEADLINE => Some(Timer::AnswerDeadline { invocation }),
            OVERDUE => Some(Timer::Overdue {
                invocation,
                forward_index,
            }),
            LIST_REQUEST => Some(Timer::ListRequest),
            GOSSIP => Some(Timer::Gossip),
            ORIGIN => Some(Timer::Origin),
            _ => None,
        }
    }
}
