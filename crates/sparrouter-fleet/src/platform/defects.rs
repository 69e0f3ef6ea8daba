//! Injected defects: deliberate mistakes, one at a time, by which tests show that they would detect them.
//!
//! Correct code does not name a defect. A guard that a defect disables calls a *rule*, such as
//! `rules::relay_needs_contact`: a rule holds unless its defect is injected. Without the feature `injected-defects`,
//! which only tests enable, each rule is the constant `true`, and the program contains no injection code. The injected
//! defect is thread-local, so that all nodes of a simulation share it.

/// Defines [`Defect`], its list [`Defect::ALL`], and a rule for each variant from one table: `DEFECT => rule`.
macro_rules! defects {
    ($($(#[$doc:meta])* $defect:ident => $rule:ident,)*) => {
        /// A defect that can be injected.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Defect {
            $($(#[$doc])* $defect,)*
        }

        impl Defect {
            /// All defects, in the order in which tests inject them.
            pub const ALL: &[Defect] = &[$(Defect::$defect,)*];
        }

        /// The rules; each holds unless the defect that disables it is injected.
        pub(crate) mod rules {
            $(
                /// Whether the rule holds.
                #[cfg_attr(
                    not(feature = "injected-defects"),
                    allow(dead_code, reason = "some rules are called only if defects can be injected")
                )]
                pub(crate) fn $rule() -> bool {
                    !super::is_injected(super::Defect::$defect)
                }
            )*
        }
    };
}

defects! {
    /// Promises and accepted proposals are sent before they are on disk.
    AckBeforeSync => acks_follow_sync,
    /// A wiped disk is used again under its old id, and its node votes.
    WipedDiskVotes => wiped_disks_get_new_ids,
    /// Majorities are counted over the first group that the node knew.
    OldGroupCounts => only_current_group_counts,
    /// A reconfiguration asks the new group only.
    OldGroupNotAsked => both_groups_asked,
    /// Callers get their answers, and fencing tokens, when the votes are requested.
    AnsweredBeforeChosen => answers_follow_choice,
    /// A proposal that this node accepted is in force after its restart, chosen or not.
    LosingProposalInForce => only_chosen_state_applies,
    /// A change that is sent again is evaluated again.
    SameBodyRefused => repeated_orders_recognized,
    /// A change that no quorum answered is acknowledged.
    MinorityAcks => acks_need_quorum,
    /// A configuration applies with new routes and old keys.
    MixedSnapshot => snapshots_apply_complete,
    /// A node that missed a version counts it as applied.
    CatchUpSkips => missed_versions_apply,
    /// A source sends its configuration, and a node applies it, even if it is older.
    OlderConfigurationApplied => older_configurations_ignored,
    /// Seeds are read at the start only.
    SeedsReadAtStartOnly => seeds_follow_settings,
    /// A late heartbeat makes a draining server ready.
    DrainReverted => late_heartbeats_ignored,
    /// Draining and leaving are acknowledged before any other node has the record.
    AckWithoutReplica => acks_need_replica,
    /// Draining and leaving are acknowledged while the record is in memory only.
    DepartureNotStored => departures_are_stored,
    /// A rollout lease counts as valid without renewal.
    LeaseUnrenewed => orders_renew_lease,
    /// A restarted process gets the slack of its retry budget again.
    RetrySlackRenewedByRestart => restarts_renew_no_retry_slack,
    /// The cache salt leaves out the version of the weights.
    SaltWithoutVersion => salt_names_version,
    /// The cache salt leaves out the isolated tenant.
    SaltWithoutTenant => salt_names_tenant,
    /// Requests do not name the server for which they are meant.
    ExpectedInstanceOmitted => requests_name_instance,
    /// A request that may have run is retried even if its route forbids it.
    NonIdempotentRetried => only_idempotent_retried,
    /// A request that may have run is answered by 503, which promises that it has not run.
    NeverRunPromiseBroken => retry_later_proves_not_run,
    /// A stream that broke off is closed as if it were complete.
    BrokenStreamClosedAsComplete => broken_streams_stay_incomplete,
    /// A stream resumes from its beginning.
    ResumedFromStart => streams_resume_after_last_event,
    /// The response to another request is relayed.
    ForeignAnswer => responses_match_request,
    /// A process that shuts down admits every request.
    RequestsAdmittedWhileLeaving => shutdown_limits_admission,
    /// If no server is ready, the client gets the status of an unknown route.
    NoServerReportedAsNoRoute => missing_server_is_no_missing_route,
    /// A repeated order is recognized only by its base and number.
    OrderDigestIgnored => order_digests_compared,
    /// An order is evaluated on the version in force, even if it has another base.
    BaseIgnored => order_base_checked,
    /// Applied orders are forgotten once a newer version is in force.
    AppliedOrdersForgotten => applied_orders_remembered,
    /// An order that is too old to decide whether it was applied is refused.
    OldOrderRefused => old_orders_stay_unknown,
    /// An order whose base has not been in force is refused, though a copy of it is still in flight.
    EarlyReplicaRejected => early_copies_stay_unknown,
    /// A data directory of a newer release is emptied.
    NewerFolderEmptied => newer_folders_untouched,
    /// A record on disk that cannot be read counts as absent, under the disk's old id.
    RecordForgotten => unreadable_records_rejected,
    /// A lease holder that restarts acts under the fencing token on its disk.
    FenceFromDisk => fencing_tokens_come_from_quorum,
    /// A request that broke off while it was written counts as not sent.
    PartialSendTreatedAsUnsent => partial_sends_may_have_run,
    /// A connection whose last request is unfinished carries another.
    UnfinishedConnectionPooled => pooled_connections_are_finished,
    /// A failure is relayed as the rest of a resumed stream.
    ErrorInStream => only_success_resumes_stream,
    /// A reset ends a response without a length as if it were complete.
    ResetTreatedAsEnd => resets_are_no_end,
    /// An order to load weights does not name the server for which it is meant.
    OrderInstanceOmitted => orders_name_instance,
    /// A request is sent though its client has left or its deadline has passed.
    SentAfterClientLeft => client_checked_before_send,
    /// A client's deadline is counted from the end of its body.
    DeadlineFromBody => deadline_runs_from_first_byte,
    /// `Connection` removes any field that it names.
    ConnectionStripsFields => end_to_end_fields_preserved,
    /// Calls between nodes share one id.
    CallIdReused => call_ids_are_unique,
    /// A node joins a group before its disk holds the group's state.
    UnconfirmedJoins => joins_need_stored_state,
    /// A member ends without handing over the state that only it has.
    LeavesWithoutHandover => shutdown_awaits_handover,
    /// Members do not compare their states with each other.
    AntiEntropyDisabled => members_compare_states,
    /// Quorum contact, once confirmed, never expires.
    ContactNeverLost => contact_expires,
    /// Frames that arrive from a majority count as quorum contact.
    ContactFromAnyFrame => contact_needs_confirmed_read,
    /// A quorum's answer confirms the moment at which it is read, not the one at which the read began.
    LateAnswerConfirms => reads_count_from_their_start,
    /// The reply to a poll that waited in a frozen process counts as contact now.
    StaleAnswerInforms => late_poll_replies_ignored,
    /// A process that starts is ready with a configuration that no quorum has confirmed.
    UnconfirmedReady => readiness_needs_quorum,
    /// A node without quorum contact acknowledges records to the node that sends them.
    NotifyWithoutContact => notified_node_needs_contact,
    /// A repeated draining heartbeat is acknowledged though no other node has the record.
    DrainRepeatAcked => repeated_drains_need_replica,
    /// A node without quorum contact acknowledges heartbeats.
    HeartbeatWithoutContact => heartbeat_acks_need_contact,
    /// A node without quorum contact carries out changes that it is asked to relay.
    RelayWithoutContact => relay_needs_contact,
    /// A node without quorum contact marks nodes that stopped polling it as unresponsive.
    MarksUnresponsiveWithoutContact => watching_needs_contact,
    /// The time-out of a reply that is arriving is not extended.
    VersionLimitNotRestarted => arriving_replies_extend_timeout,
    /// A request goes to more servers than its route allows.
    AttemptsUncounted => attempts_are_limited,
    /// A process that shuts down still counts as ready.
    ReadyWhileLeaving => leaving_nodes_are_not_ready,
    /// A response is still relayed after its client has left.
    ClientUnwatched => client_watched_while_relaying,
    /// A newly named version removes the time limit of the previous version.
    LimitReplaced => older_limits_stay,
    /// A process that starts counts the nodes that it learns of as changes of the core, which restart time limits.
    StartMovesLimits => start_moves_no_limits,
    /// A core node whose record is forgotten, minutes after it left, counts as a change of the core.
    ForgottenNodeMovesLimits => forgotten_nodes_are_no_change,
    /// A process does not learn how long ago versions were named.
    VersionAgeUnreported => version_ages_reported,
    /// The total time on outdated weights, over all periods between changes of the core, is not limited.
    VersionSumIgnored => total_version_limit_applies,
    /// Nodes that poll do not report to a source that starts how long ago versions were named.
    VersionAgeUnreturned => pollers_report_version_ages,
    /// A process that starts does not read from its disk how long ago versions were named.
    VersionAgeNotStored => stored_version_ages_count,
    /// The configuration's state is written in a form that no release reads.
    StateFormUnknown => state_form_is_known,
    /// A member that cannot read the configuration's state confirms the older configuration that it has.
    UnreadableStateConfirmed => unreadable_states_confirm_nothing,
    /// The lease on the configuration runs from the answer that renews it.
    LeaseFromAnswer => lease_counts_from_read,
    /// A process that starts counts the configuration on its disk as confirmed.
    LeaseFromStart => lease_needs_confirmation,
    /// A source without a quorum renews the leases of the nodes that poll it.
    LeaseFromAnySource => lease_needs_quorum,
    /// The lease on the configuration is not checked before a request is forwarded.
    LeaseUnchecked => keys_need_lease,
    /// A request whose key was removed in the meantime is still sent to another server.
    RemovedKeyRetries => retries_need_known_key,
    /// No node learns of a server that fails requests which other servers complete.
    OutlierUnreported => outliers_are_reported,
    /// A permit's lifetime starts at the holder's answer.
    PermitFromAnswer => permits_run_from_asking,
    /// A permit is used for a request even after it has expired.
    PermitUnchecked => permits_checked_before_send,
    /// A lease holder grants permits although its lease has expired.
    GrantAfterLease => grants_need_valid_lease,
    /// Buckets are full after the takeover of a lease.
    FullAfterTakeover => takeovers_start_empty,
    /// Buckets are full after a lease is acquired that no other node holds.
    FullAfterRestart => restarts_start_empty,
    /// A lease that another holder may still use takes effect at once.
    TakeoverAtOnce => takeovers_wait,
    /// A returned permit counts twice.
    PermitReturnedTwice => permits_returned_once,
    /// A permit is returned although it was spent.
    SpentPermitReturned => spent_permits_kept,
    /// Only the first attempt of a request needs a permit.
    RetryWithoutPermit => retries_need_permit,
    /// The handle of a removed server names the server that is stored in its place.
    HandleNamesSuccessor => handles_expire,
    /// A response of any status and framing is resumed if its route is resumable.
    AnyResponseResumed => only_streams_resume,
    /// Events that precede malformed bytes are not written, though the stream is resumed behind them.
    EventsLostBeforeMalformedBytes => read_events_are_written,
    /// Requests get memory whether it is available or not.
    RequestMemoryUnbounded => request_memory_is_bounded,
    /// Requests that stopped arriving keep their memory until their time-out.
    StalledRequestsNotEvicted => stalled_requests_are_evicted,
    /// Small requests get no memory once large ones hold their part.
    NoMemoryForSmallRequests => memory_is_kept_for_small_requests,
    /// A seed forms the first group without the votes of others.
    BootstrapAlone => bootstrap_needs_majority,
    /// A node that lost its disk votes on the first group.
    ForgottenVoteCounts => wiped_electors_abstain,
    /// A request that waits at a server on outdated weights begins there, however late.
    LateRequestsNotWithdrawn => late_requests_are_withdrawn,
    /// A lease is released right after an order, and its next holder orders at once.
    LeaseReleasedAfterOrder => leases_outlast_orders,
    /// Responses to HEAD are read, and sent, with the body that their fields describe.
    BodyAfterHeadRequest => responses_to_head_have_no_body,
    /// A request for votes ends with the operation that needs them, however slow the disks are.
    VotesEndWithOperations => votes_outlast_operations,
    /// Each proposal of the first group has the same time, however slow the disks are.
    BootstrapTimeFixed => bootstrap_time_grows,
    /// Connections whose callers send nothing keep their place until their time-out.
    WaitingConnectionsNotDisplaced => waiting_connections_are_displaced,
}
#[cfg(feature = "injected-defects")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<Defect>> = const { std::cell::Cell::new(None) };
}

/// Injects a defect into all processes of this thread; `None` removes it.
#[cfg(feature = "injected-defects")]
pub fn inject(defect: Option<Defect>) {
    INJECTED.set(defect);
}

#[cfg(feature = "injected-defects")]
fn is_injected(defect: Defect) -> bool {
    INJECTED.get() == Some(defect)
}

#[cfg(not(feature = "injected-defects"))]
const fn is_injected(_: Defect) -> bool {
    false
}

/// Whether the injected defect would be hidden by the reads for quorum contact. It is therefore injected together with
/// the absence of those reads once a process has caught up: a member that reads learns the state that it missed, and a
/// member that cannot read gives up the proposal with which it could proceed without the old group.
pub(crate) fn hidden_by_reads() -> bool {
    !rules::both_groups_asked() || !rules::members_compare_states()
}

/// The defects that the registers implement.
pub(crate) fn of_registers() -> sparrouter_consensus::Defects {
    sparrouter_consensus::Defects {
        ack_before_sync: !rules::acks_follow_sync(),
        old_group_only: !rules::only_current_group_counts(),
        skip_joint: !rules::both_groups_asked(),
        answer_before_chosen: !rules::answers_follow_choice(),
        unconfirmed_candidates: !rules::joins_need_stored_state(),
        anti_entropy_disabled: !rules::members_compare_states(),
        votes_end_with_operations: !rules::votes_outlast_operations(),
        ..sparrouter_consensus::Defects::default()
    }
}

/// The text of a new configuration; if `MixedSnapshot` is injected, combined with the tenants of the previous one.
pub(crate) fn snapshot_text(text: &str, previous: &str) -> String {
    let tenants_offset = |text: &str| text.find("\"tenants\":");
    match (tenants_offset(text), tenants_offset(previous)) {
        (Some(new), Some(old)) if !rules::snapshots_apply_complete() => {
            format!("{}{}", &text[..new], &previous[old..])
        }
        _ => text.to_owned(),
    }
}
