//! Mistakes made on purpose, one at a time, so that a hunt can show that it would notice them.
//!
//! Only the feature `planted` holds them, which the hunts' own tests ask for; without it `has` is a constant and the
//! program knows nothing of them. The switch is of the thread, so that all nodes of one story share it.

/// One mistake. What each rests on in the sound program is at the line that asks for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Promises and votes are told before they are on disk.
    AckBeforeSync,
    /// A wiped disk comes back under its old id, and votes.
    WipedDiskVotes,
    /// Majorities are counted over the first group that the node knew.
    OldGroupCounts,
    /// A change of the group asks the new group only.
    OldGroupNotAsked,
    /// Callers are answered, and fences handed out, when the votes are asked for.
    AnsweredBeforeChosen,
    /// A proposal that this node had accepted is in force after its restart, won or lost.
    LosingProposalInForce,
    /// The same change sent again is judged anew.
    SameBodyRefused,
    /// A change that no quorum answered is acknowledged.
    MinorityAcks,
    /// New routes, old keys.
    MixedSnapshot,
    /// A node that missed a version counts it as taken.
    CatchUpSkips,
    /// A source tells what it has, and a node takes it, be it older.
    OlderConfigurationApplied,
    /// Seeds are read at the start only.
    SeedsReadAtStartOnly,
    /// A late beat makes a draining server ready.
    DrainReverted,
    /// Draining and leaving are acknowledged before anybody else has heard.
    AckWithoutReplica,
    /// A lease is believed without asking again.
    LeaseUnrenewed,
    /// A process that starts anew has its slack of the retry budget anew.
    RetrySlackRenewedByRestart,
    /// The salt leaves out the version of the weights.
    SaltWithoutVersion,
    /// The salt leaves out the tenant that is isolated.
    SaltWithoutTenant,
    /// Requests do not name the server that they are for.
    ExpectedInstanceOmitted,
    /// What may have run is sent again, whatever its route says.
    NonIdempotentRetried,
    /// 503 is said for what may have run.
    NeverRunPromiseBroken,
    /// A stream that broke off is closed as if it were whole.
    BrokenStreamClosedAsComplete,
    /// A stream is taken up from its beginning.
    ResumedFromStart,
    /// Another request's answer is passed on.
    ForeignAnswer,
    /// A leaving process takes whatever comes.
    RequestsAdmittedWhileLeaving,
    /// Where no server is ready the route is called unknown.
    NoServerReportedAsNoRoute,
    /// An order is known again by its base and number alone.
    OrderDigestIgnored,
    /// An order is judged on the version in force, whatever version it builds on.
    BaseIgnored,
    /// Orders that were taken are forgotten once they are overtaken.
    AppliedOrdersForgotten,
    /// An order that is too old to tell whether it was taken is refused.
    OldOrderRefused,
    /// An order whose base has not been in force is refused, though a copy of it is still on its way.
    EarlyReplicaRejected,
    /// A data directory of a newer release is emptied.
    NewerFolderEmptied,
    /// A record on disk that cannot be read counts as none, under the disk's old id.
    RecordForgotten,
    /// A holder that starts anew acts under the fencing token that its disk has.
    FenceFromDisk,
    /// A request that broke off while it was written counts as not sent.
    PartialSendTreatedAsUnsent,
    /// A connection whose last request is unfinished carries another.
    UnfinishedConnectionPooled,
    /// A failure is passed on as the rest of a resumed stream.
    ErrorInStream,
    /// A reset ends an answer without a length as if it were whole.
    ResetTreatedAsEnd,
    /// An order does not name the server that it is for.
    OrderInstanceOmitted,
    /// A request is sent though its client has left or its time is over.
    SentAfterClientLeft,
    /// A client's time runs from the end of its body.
    DeadlineFromBody,
    /// `Connection` takes away any field that it names.
    ConnectionStripsFields,
    /// Calls between nodes have no number of their own.
    CallIdReused,
    /// A node joins a group before its disk holds the group's state.
    UnconfirmedJoins,
    /// A member ends without having handed over what only it holds.
    LeavesWithoutHandover,
    /// Members don't compare what they have with each other.
    AntiEntropyDisabled,
    /// Quorum contact, once confirmed, is never lost again.
    ContactNeverLost,
    /// Frames that arrive from a majority count as quorum contact.
    ContactFromAnyFrame,
    /// A quorum's answer confirms the moment at which it is read, not the one at which it was asked for.
    LateAnswerConfirms,
    /// A poll's answer that waited in a frozen process counts as contact now.
    StaleAnswerInforms,
    /// A process that starts calls itself ready with a configuration that no quorum confirmed.
    UnconfirmedReady,
    /// A machine without quorum contact confirms rows to the node that sends them.
    NotifyWithoutContact,
    /// A draining heartbeat that is sent again is acknowledged though nobody else has it.
    DrainRepeatAcked,
    /// A machine without quorum contact acknowledges heartbeats.
    HeartbeatWithoutContact,
    /// A machine without quorum contact carries out changes that it is asked to relay.
    RelayWithoutContact,
    /// A machine without quorum contact calls nodes silent that no longer ask it.
    MarksUnresponsiveWithoutContact,
    /// An answer that is coming in is given up like one that is not.
    VersionLimitNotRestarted,
    /// A request goes to more servers than its route allows.
    AttemptsUncounted,
    /// A process that was told to end still counts as ready.
    ReadyWhileLeaving,
    /// An answer goes on although its client has left.
    ClientUnwatched,
    /// A version that is named takes the time limit of the one before it away.
    LimitReplaced,
    /// A process that starts counts the nodes that it learns of as changes of the core, which start time limits anew.
    StartMovesLimits,
    /// A process is not told how long ago versions were named.
    VersionAgeUnreported,
    /// The sum of calm stretches sets no limit to older versions.
    VersionSumIgnored,
    /// Nodes that poll don't tell a source that starts how long ago versions were named.
    VersionAgeUnreturned,
    /// The lease on the configuration runs from the answer that renews it.
    LeaseFromAnswer,
    /// A process that starts counts the configuration on its disk as confirmed.
    LeaseFromStart,
    /// A source without a quorum renews the leases of the nodes that poll it.
    LeaseFromAnySource,
    /// The lease on the configuration is not asked for before a request is sent on.
    LeaseUnchecked,
    /// Nobody is told of a server that fails what others would serve.
    OutlierUnreported,
    /// A key that was removed meanwhile still lets a request go to a further server.
    RemovedKeyRetries,
}

impl Defect {
    pub const ALL: &[Defect] = &[
        Defect::AckBeforeSync,
        Defect::WipedDiskVotes,
        Defect::OldGroupCounts,
        Defect::OldGroupNotAsked,
        Defect::AnsweredBeforeChosen,
        Defect::LosingProposalInForce,
        Defect::SameBodyRefused,
        Defect::MinorityAcks,
        Defect::MixedSnapshot,
        Defect::CatchUpSkips,
        Defect::OlderConfigurationApplied,
        Defect::SeedsReadAtStartOnly,
        Defect::DrainReverted,
        Defect::AckWithoutReplica,
        Defect::LeaseUnrenewed,
        Defect::RetrySlackRenewedByRestart,
        Defect::SaltWithoutVersion,
        Defect::SaltWithoutTenant,
        Defect::ExpectedInstanceOmitted,
        Defect::NonIdempotentRetried,
        Defect::NeverRunPromiseBroken,
        Defect::BrokenStreamClosedAsComplete,
        Defect::ResumedFromStart,
        Defect::ForeignAnswer,
        Defect::RequestsAdmittedWhileLeaving,
        Defect::NoServerReportedAsNoRoute,
        Defect::OrderDigestIgnored,
        Defect::BaseIgnored,
        Defect::AppliedOrdersForgotten,
        Defect::OldOrderRefused,
        Defect::EarlyReplicaRejected,
        Defect::NewerFolderEmptied,
        Defect::RecordForgotten,
        Defect::FenceFromDisk,
        Defect::PartialSendTreatedAsUnsent,
        Defect::UnfinishedConnectionPooled,
        Defect::ErrorInStream,
        Defect::ResetTreatedAsEnd,
        Defect::OrderInstanceOmitted,
        Defect::SentAfterClientLeft,
        Defect::DeadlineFromBody,
        Defect::ConnectionStripsFields,
        Defect::CallIdReused,
        Defect::UnconfirmedJoins,
        Defect::LeavesWithoutHandover,
        Defect::AntiEntropyDisabled,
        Defect::ContactNeverLost,
        Defect::ContactFromAnyFrame,
        Defect::LateAnswerConfirms,
        Defect::StaleAnswerInforms,
        Defect::UnconfirmedReady,
        Defect::NotifyWithoutContact,
        Defect::DrainRepeatAcked,
        Defect::HeartbeatWithoutContact,
        Defect::RelayWithoutContact,
        Defect::MarksUnresponsiveWithoutContact,
        Defect::VersionLimitNotRestarted,
        Defect::AttemptsUncounted,
        Defect::ReadyWhileLeaving,
        Defect::ClientUnwatched,
        Defect::LimitReplaced,
        Defect::StartMovesLimits,
        Defect::VersionAgeUnreported,
        Defect::VersionSumIgnored,
        Defect::VersionAgeUnreturned,
        Defect::LeaseFromAnswer,
        Defect::LeaseFromStart,
        Defect::LeaseFromAnySource,
        Defect::LeaseUnchecked,
        Defect::RemovedKeyRetries,
        Defect::OutlierUnreported,
    ];
}

#[cfg(feature = "injected-defects")]
thread_local! {
    static NOW: std::cell::Cell<Option<Defect>> = const { std::cell::Cell::new(None) };
}

/// Plants a defect in all processes of this thread, or takes it out.
#[cfg(feature = "injected-defects")]
pub fn inject(defect: Option<Defect>) {
    NOW.set(defect);
}

#[cfg(feature = "injected-defects")]
pub(crate) fn is_injected(defect: Defect) -> bool {
    NOW.get() == Some(defect)
}

#[cfg(not(feature = "injected-defects"))]
pub(crate) const fn is_injected(_: Defect) -> bool {
    false
}

/// Mistakes that the reads for quorum contact hide, as a second guard: they are planted together with the absence of
/// those reads once a process has caught up. A member that reads learns what it missed, and one that cannot read gives up
/// the lead with which it could go on without the old group.
pub(crate) fn hidden_by_reads() -> bool {
    is_injected(Defect::OldGroupNotAsked) || is_injected(Defect::AntiEntropyDisabled)
}

/// Those that lie in the registers.
pub(crate) fn of_registers() -> sparrouter_consensus::Defects {
    sparrouter_consensus::Defects {
        ack_before_sync: is_injected(Defect::AckBeforeSync),
        old_group_only: is_injected(Defect::OldGroupCounts),
        skip_joint: is_injected(Defect::OldGroupNotAsked),
        answer_unchosen: is_injected(Defect::AnsweredBeforeChosen),
        unconfirmed_candidates: is_injected(Defect::UnconfirmedJoins),
        exchange_silent: is_injected(Defect::AntiEntropyDisabled),
        ..sparrouter_consensus::Defects::default()
    }
}

/// A configuration with the tenants of another, where that is planted.
pub(crate) fn half(text: &str, known: &str) -> String {
    let cut = |of: &str| of.find("\"tenants\":");
    match (cut(text), cut(known)) {
        (Some(new), Some(old)) if is_injected(Defect::MixedSnapshot) => {
            format!("{}{}", &text[..new], &known[old..])
        }
        _ => text.to_owned(),
    }
}
