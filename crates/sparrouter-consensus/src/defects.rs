//! Defects that tests inject into a register, so that a test which must find one is known to find it. All are off
//! outside of tests; the sound code stands beside each use.

/// Which defects are injected.
#[derive(Clone, Debug, Default)]
pub struct Defects {
    /// Promises and votes are sent before they are on disk.
    pub ack_before_sync: bool,
    /// A promise is not stored.
    pub promise_not_stored: bool,
    /// Proposals below the promise are accepted.
    pub accept_below_promise: bool,
    /// Majorities are counted over the first group that the node knew.
    pub old_group_only: bool,
    /// A change of the group counts the new group's majority only.
    pub skip_joint: bool,
    /// Callers are answered on the newest vote reported, before it is chosen.
    pub judge_unchosen: bool,
    /// Callers are answered (and fencing tokens handed out) when `Accept` is sent.
    pub answer_before_chosen: bool,
    /// The first vote that a promise brings is proposed again, not the newest.
    pub any_promise: bool,
    /// Half of a group counts as its majority.
    pub half_is_majority: bool,
    /// Proposal numbers lack the proposer's disk id and incarnation.
    pub ballots_shared: bool,
    /// Accepted votes are published without being known to be chosen.
    pub publish_accepted: bool,
    /// Reads are answered from this node alone.
    pub read_locally: bool,
    /// An operation whose proposal lost contact is evaluated again as if it had never been proposed.
    pub forget_sent: bool,
    /// A node joins a group before its disk has the group's state.
    pub unconfirmed_candidates: bool,
    /// For the caller: a wiped disk comes back under its old id.
    pub wiped_keeps_id: bool,
    /// Large bodies go with each message that carries their vote.
    pub bodies_pushed: bool,
    /// A fetched body is not compared with its digest.
    pub body_unchecked: bool,
    /// A fetch that was interrupted starts from its first chunk.
    pub fetch_from_start: bool,
    /// A promise counts before the body of the vote that it reports has arrived.
    pub promise_without_body: bool,
    /// A fetch is abandoned for any other body that is offered.
    pub fetch_overtaken: bool,
    /// Members don't run anti-entropy.
    pub anti_entropy_disabled: bool,
}
