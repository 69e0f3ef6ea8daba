//! The few figures a register takes, each bound a ratio to them; and planted defects for tests.
use crate::{MILLISECOND, Nanos};

#[derive(Clone, Debug)]
pub struct Settings {
    /// A member unheard of for so long may be replaced (`bounds.contact_ms`).
    pub contact_timeout: Nanos,
    /// Between two exchanges with one other member; spread by half of it either way.
    pub exchange_interval: Nanos,
    /// Guess at a message there, a sync and the answer, until it was measured.
    pub round_trip: Nanos,
    /// Calls that wait at one register; further ones are `Busy`.
    pub max_pending: usize,
    /// Largest body, bytes.
    pub max_body_bytes: usize,
    /// Largest change, bytes.
    pub max_change_bytes: usize,
    /// Largest body that goes with the messages that carry a vote, bytes; larger ones are fetched in pieces.
    pub max_inline_body_bytes: usize,
    /// Length of a piece, bytes. A small message on the same connection waits behind a few of them at most.
    pub chunk_bytes: usize,
    pub defects: Defects,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            contact_timeout: 3_000 * MILLISECOND,
            exchange_interval: 500 * MILLISECOND,
            round_trip: 20 * MILLISECOND,
            max_pending: 256,
            max_body_bytes: 8 << 20,
            max_change_bytes: 8 << 20,
            max_inline_body_bytes: 16 << 10,
            chunk_bytes: 32 << 10,
            defects: Defects::default(),
        }
    }
}

impl Settings {
    /// Longest encoded message or record: a body with its head.
    pub fn max_message_bytes(&self) -> usize {
        self.max_body_bytes
            + crate::types::MAX_MEMBERS * 4 * (crate::codec::MAX_TEXT_BYTES + 16)
            + 1024
    }
}

/// Mistakes that the tests must be able to find; all off outside of them.
#[derive(Clone, Debug, Default)]
pub struct Defects {
    /// Promises and votes are told before they are on disk.
    pub ack_before_sync: bool,
    /// Of a promise nothing is stored.
    pub promise_not_stored: bool,
    /// Votes are taken under ballots below the promise.
    pub accept_below_promise: bool,
    /// Majorities are counted over the first group that the node knew.
    pub old_group_only: bool,
    /// A change of the group counts the new group's majority only.
    pub skip_joint: bool,
    /// Callers are answered on the newest vote seen, before it is chosen.
    pub judge_unchosen: bool,
    /// Callers are answered (and fences handed out) when the votes are asked for.
    pub answer_unchosen: bool,
    /// The first vote that a promise brings is taken, not the newest.
    pub any_promise: bool,
    /// Half of a group counts as its majority.
    pub half_is_majority: bool,
    /// Ballots are drawn without the proposer's id and life.
    pub ballots_shared: bool,
    /// Accepted votes are published without being known chosen.
    pub publish_accepted: bool,
    /// Reads are answered from this node alone.
    pub read_locally: bool,
    /// A change that was cut off is judged again as if it had never left.
    pub forget_sent: bool,
    /// A node joins a group before its disk holds the group's state.
    pub unconfirmed_candidates: bool,
    /// For the caller: a wiped disk comes back under its old id.
    pub wiped_keeps_id: bool,
    /// Large bodies go with each message that carries their vote.
    pub bodies_pushed: bool,
    /// A body is taken for what it was announced as, whatever arrived.
    pub body_unchecked: bool,
    /// A fetch that was interrupted begins anew.
    pub fetch_from_start: bool,
    /// A promise counts before the body of the vote that it tells of is here.
    pub promise_without_body: bool,
    /// A fetch is given up for each other body that is offered.
    pub fetch_overtaken: bool,
    /// Members don't compare what they have with each other.
    pub exchange_silent: bool,
}
