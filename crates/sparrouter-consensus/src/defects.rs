//! Defects that tests inject into a register, to show that the tests detect them. All defects are off outside of
//! tests; the correct code is next to each use.

/// The defects to inject.
#[derive(Clone, Debug, Default)]
pub struct Defects {
    /// Promises and votes are sent before they are on disk.
    pub ack_before_sync: bool,
    /// Promises are not stored.
    pub promise_not_stored: bool,
    /// Proposals with a number below the promised one are accepted.
    pub accept_below_promise: bool,
    /// Majorities are counted in the first group that the node knew.
    pub old_group_only: bool,
    /// A change of the group requires a majority of the new group only.
    pub skip_joint: bool,
    /// Operations are evaluated on the newest reported vote before it is chosen.
    pub evaluate_on_unchosen: bool,
    /// Callers are answered (and fencing tokens issued) when `Accept` is sent.
    pub answer_before_chosen: bool,
    /// The first vote that a promise reports is proposed again, not the newest.
    pub adopt_first_vote: bool,
    /// Half of a group counts as its majority.
    pub half_is_majority: bool,
    /// Proposal numbers lack the proposer's disk id and incarnation.
    pub shared_proposal_numbers: bool,
    /// Accepted votes are published although they may not be chosen.
    pub publish_accepted: bool,
    /// Reads are answered from this node's newest vote, without a quorum.
    pub read_locally: bool,
    /// An operation whose proposal has an unknown result is evaluated again as if it had never been proposed.
    pub forget_sent_proposals: bool,
    /// A node joins a group before its disk has the group's state.
    pub unconfirmed_candidates: bool,
    /// A wiped disk keeps its old disk id. The register's caller has to implement this defect.
    pub wiped_disk_keeps_id: bool,
    /// Large bodies are sent inline in each message that carries their vote.
    pub always_inline_bodies: bool,
    /// A fetched body is not checked against its digest.
    pub skip_digest_check: bool,
    /// An interrupted fetch restarts from the first chunk.
    pub fetch_from_start: bool,
    /// A promise counts before the body of the vote that it reports has arrived.
    pub promise_without_body: bool,
    /// An active fetch is abandoned whenever another body is offered.
    pub abandon_active_fetch: bool,
    /// A request for votes ends with the last operation that waits for it.
    pub votes_end_with_operations: bool,
    /// Members don't run anti-entropy.
    pub anti_entropy_disabled: bool,
}
