//! The timers that the decisions set, and their tokens.
use crate::types::InvocationIndex;

/// What a timer is for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Timer {
    /// An answer to the invocation is of no use from now on.
    UselessAnswer {
        /// The invocation.
        invocation: InvocationIndex,
    },
    /// A forward is out for longer than usual.
    Overdue {
        /// Its invocation.
        invocation: InvocationIndex,
        /// Its index among the forwards of the invocation.
        copy: usize,
    },
    /// The list is to be requested again.
    ListRequest,
    /// The next message to peers is to be sent.
    Gossip,
    /// The origin's pause is over.
    Origin,
}

// Numbers in tokens: 3 bits of kind, 13 bits of the forward's index, then the invocation's.
const KIND_MASK: u64 = 7;
const COPY_SHIFT: u32 = 3;
const COPY_MASK: u64 = 0x1fff;
const INVOCATION_SHIFT: u32 = 16;
const USELESS_ANSWER: u64 = 0;
const OVERDUE: u64 = 2;
const LIST_REQUEST: u64 = 4;
const GOSSIP: u64 = 5;
const ORIGIN: u64 = 6;

impl Timer {
    /// The number that stands for the timer.
    pub fn token(self) -> u64 {
        let of_forward = |kind: u64, invocation: InvocationIndex, copy: usize| {
            kind | (copy as u64) << COPY_SHIFT | u64::from(invocation) << INVOCATION_SHIFT
        };
        match self {
            Timer::UselessAnswer { invocation } => of_forward(USELESS_ANSWER, invocation, 0),
            Timer::Overdue { invocation, copy } => of_forward(OVERDUE, invocation, copy),
            Timer::ListRequest => LIST_REQUEST,
            Timer::Gossip => GOSSIP,
            Timer::Origin => ORIGIN,
        }
    }

    /// The timer that a number stands for; `None` if no timer has it.
    pub fn from_token(token: u64) -> Option<Timer> {
        let invocation = (token >> INVOCATION_SHIFT) as InvocationIndex;
        let copy = (token >> COPY_SHIFT & COPY_MASK) as usize;
        match token & KIND_MASK {
            USELESS_ANSWER => Some(Timer::UselessAnswer { invocation }),
            OVERDUE => Some(Timer::Overdue { invocation, copy }),
            LIST_REQUEST => Some(Timer::ListRequest),
            GOSSIP => Some(Timer::Gossip),
            ORIGIN => Some(Timer::Origin),
            _ => None,
        }
    }
}
