//! Answers to the calls of other nodes: long polls, membership notifications, consensus messages, relayed changes of the
//! control state, queries of cached prefixes and waiting prompts, and quota permits.
use crate::api::ControlServices;
use crate::peer::messages::{Call, ConfirmedRead, Poll, Reply, Update};
use crate::platform::defects::rules;
use crate::proxy::WaitingPrompt;
use crate::quota::Grant;
use sparrouter_codec::Blob;
use sparrouter_consensus::bootstrap::{BootstrapReply, BootstrapRequest};
use sparrouter_consensus::{Member, Outcome};
use sparrouter_membership::{LifecycleState, MembershipDelta, ServerRecord};
use sparrouter_prefix_index::{PrefixLocation, PrefixQuery};
use sparrouter_quota::ReturnedTokens;
use sparrouter_routing::Nanos;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest time that a long poll waits for an update, in milliseconds.
const MAX_POLL_WAIT_MS: u32 = 5_000;
/// Longest time that a long poll waits at a node without quorum contact, in milliseconds. It is short because the poller
/// should soon poll another node.
const MAX_POLL_WAIT_WITHOUT_CONTACT_MS: u32 = 300;
/// Longest timeout of a relayed change, in milliseconds.
const MAX_CHANGE_TIMEOUT_MS: u32 = 10_000;
const NANOS_PER_MS: u64 = 1_000_000;

#[expect(clippy::too_many_lines, reason = "a flat match of all calls")]
/// Answers a call of another node; `None` if the call has no reply.
pub async fn answer(services: Rc<ControlServices>, call: Call) -> Option<Reply> {
    let node = &services.node;
    match call {
        Call::Poll(poll) => Some(answer_poll(&services, poll).await),
        Call::Notify(delta) => Some(accept_notification(&services, delta).await),
        Call::Consensus {
            shard,
            disk_id,
            name,
            address,
            message,
        } => {
            let sender = Member {
                disk_id,
                name,
                address,
            };
            handle_message(&services, shard, sender, &message);
            None
        }
        Call::Change {
            shard,
            change,
            timeout_ms,
        } => Some(relay_change(&services, shard, change, timeout_ms).await),
        Call::QueryPrefix { key, server, store } => {
            let location = node.locate_owned_prefix(PrefixQuery { key, server, store });
            Some(prefix_reply(location))
        }
        Call::CachedBlocks {
            source,
            replaces_all,
            blocks,
        } => {
            node.record_cached_blocks(source, replaces_all, &blocks);
            None
        }
        Call::EstimateWait {
            server,
            token,
            cost,
            urgency,
            max_wait_ms,
        } => {
            let prompt = WaitingPrompt {
                server,
                token,
                cost,
                urgency,
            };
            let wait = node.enqueue_here(prompt, u64::from(max_wait_ms) * NANOS_PER_MS);
            Some(wait_reply(wait))
        }
        Call::RequestFailed {
            server,
            key,
            answered_milli,
        } => {
            node.count_reported_failure(server, key, answered_milli);
            None
        }
        Call::ServedElsewhere { server } => {
            node.count_served_elsewhere(server);
            None
        }
        Call::PromptFinished {
            server,
            token,
            began,
        } => {
            node.dequeue_here(server, token, began);
            None
        }
        Call::TakePermits {
            shard,
            tenant,
            wanted,
        } => {
            let grant = node.grant_permits(shard, &tenant, wanted);
            Some(grant_reply(grant))
        }
        Call::RelayTakePermits {
            shard,
            tenant,
            wanted,
        } => {
            let grant = node.relay_take(shard, &tenant, wanted).await;
            Some(grant_reply(grant))
        }
        Call::ReturnPermits {
            shard,
            tenant,
            fencing_token,
            granted_at,
            count,
        } => {
            let returned = ReturnedTokens {
                fencing_token,
                granted_at,
                count,
            };
            node.take_back_permits(shard, &tenant, returned);
            None
        }
        Call::Bootstrap { records } => Some(accept_bootstrap(&services, &records)),
        Call::VoteOnBootstrap { request } => Some(vote_on_bootstrap(&services, &request).await),
    }
}

/// Answers a long poll as soon as there is an update for its sender, or the wait time has passed.
async fn answer_poll(services: &ControlServices, poll: Poll) -> Reply {
    record_poll(services, &poll);
    if let Some(record) = poll.record.clone() {
        services.node.merge_records(MembershipDelta {
            nodes: vec![record].into(),
            ..MembershipDelta::default()
        });
    }
    let mut changes = services.node.subscribe();
    let (arrived_at, arrived_at_nanos) = (Instant::now(), services.node.now());
    loop {
        changes.mark_unchanged();
        let max_wait_ms = if services.has_quorum_contact() {
            MAX_POLL_WAIT_MS
        } else {
            MAX_POLL_WAIT_WITHOUT_CONTACT_MS
        };
        let wait = Duration::from_millis(u64::from(poll.max_wait_ms.min(max_wait_ms)));
        let deadline = arrived_at + wait;
        let is_expired = Instant::now() >= deadline;
        if let Some(update) = update(services, &poll, arrived_at_nanos, is_expired) {
            return Reply::Update(update);
        }
        // Wakes up on a change or at the deadline; the loop checks which.
        let _ = timeout_at(deadline, changes.changed()).await;
    }
}

/// Records that the sender of a poll is alive, and the version ages that it reports.
fn record_poll(services: &ControlServices, poll: &Poll) {
    if let Some(control) = &services.control {
        control.record_contact(&poll.name);
        control.record_poll(&poll.name);
    }
    if rules::pollers_report_version_ages() {
        services.node.record_models(&poll.models);
    }
}

/// The update for the sender of a poll; `None` if there is nothing new and the poll has not expired.
fn update(
    services: &ControlServices,
    poll: &Poll,
    arrived_at: Nanos,
    is_expired: bool,
) -> Option<Update> {
    let node = &services.node;
    let records = node.packed_delta_since(poll.epoch, poll.revision);
    let slot = node.active_configuration().slot;
    let is_older = slot > 0 && slot < poll.config_slot;
    let sends_config =
        slot > poll.config_slot || (is_older && !rules::older_configurations_ignored());
    if !sends_config && records.is_none() && !is_expired {
        return None;
    }
    Some(Update {
        records: Blob(records.unwrap_or_default()),
        config: sends_config.then(|| node.config_update(poll.config_digest)),
        confirmed: services.confirmed_read().map(|began| ConfirmedRead {
            began_ms: ms_between(arrived_at, began),
        }),
    })
}

/// Milliseconds from `from` to `to`, rounded down; negative if `to` is earlier.
fn ms_between(from: Nanos, to: Nanos) -> i64 {
    let nanos = i128::from(to) - i128::from(from);
    let ms = nanos.div_euclid(i128::from(NANOS_PER_MS));
    i64::try_from(ms).unwrap_or(i64::MIN)
}

/// Merges membership records that changed at the sender, and acknowledges them only if this node has quorum contact. The
/// sender waits for acknowledgements before it confirms to a server that it drains or has left, so the records must be on
/// disk here, and this node one from which the other nodes get them: a node with quorum contact.
async fn accept_notification(services: &ControlServices, delta: MembershipDelta) -> Reply {
    let is_departure = |server: &ServerRecord| server.state != LifecycleState::Ready;
    let must_be_stored = delta.servers.iter().any(is_departure) && rules::departures_are_stored();
    services.node.merge_records(delta);
    if must_be_stored
        && let Some(control) = &services.control
        && !control.store_membership().await
    {
        let cause = "the record cannot be written to disk here";
        return Reply::Rejected(control.with_disk_failure(cause));
    }
    if services.has_quorum_contact() || !rules::notified_node_needs_contact() {
        Reply::Acknowledged
    } else {
        Reply::Rejected("this node has no contact with a quorum".into())
    }
}

fn handle_message(services: &ControlServices, shard: u16, sender: Member, message: &Blob) {
    if let Some(control) = &services.control {
        control.record_contact(&sender.name);
        control.handle_message(shard, sender, message);
    }
}

/// Applies a change of a shard for another node, if this node is a member of the replica group with quorum contact.
async fn relay_change(
    services: &ControlServices,
    shard: u16,
    change: Blob,
    timeout_ms: u32,
) -> Reply {
    let Some(control) = services.control.as_ref().filter(|c| c.is_member()) else {
        return Reply::NotApplied(
            "this node is not a member of the control state's replica group".into(),
        );
    };
    // Nothing was proposed, so the sender may ask another member at once. This also rejects a call that waited in a
    // frozen process: its sender has timed out long ago.
    if control.lost_quorum_contact() && rules::relay_needs_contact() {
        return Reply::NotApplied(
            "this node has no contact with a quorum: see which members are down".into(),
        );
    }
    let timeout = Duration::from_millis(u64::from(timeout_ms.min(MAX_CHANGE_TIMEOUT_MS)));
    match control.change_here(shard, change.0, timeout).await {
        Outcome::Answered(answer) => Reply::Applied(Blob(answer)),
        Outcome::Rejected(rejection) => {
            Reply::NotApplied(control.with_disk_failure(&rejection.to_string()))
        }
        Outcome::Unknown => Reply::Unknown,
    }
}

fn prefix_reply(location: PrefixLocation) -> Reply {
    let PrefixLocation {
        save,
        is_cached,
        cached_at,
        prefilling_server,
    } = location;
    Reply::PrefixLocation {
        save,
        is_cached,
        cached_at: cached_at.into(),
        prefilling_server,
    }
}

fn wait_reply(wait: Nanos) -> Reply {
    Reply::Wait {
        ms: u32::try_from(wait / NANOS_PER_MS).unwrap_or(u32::MAX),
    }
}

/// The reply with the result of a request for permits. Times are rounded up, so that a token is available when the caller
/// retries.
fn grant_reply(grant: Grant) -> Reply {
    let ms_of = |time: Nanos| u32::try_from(time.div_ceil(NANOS_PER_MS)).unwrap_or(u32::MAX);
    match grant {
        Grant::Permits {
            fencing_token,
            granted_at,
            count,
        } => Reply::Permits {
            fencing_token,
            granted_at,
            count,
        },
        Grant::Exhausted { retry_after } => Reply::QuotaExhausted {
            retry_after_ms: ms_of(retry_after),
        },
        Grant::NotHolder { active_in } => Reply::NotLeaseHolder {
            active_in_ms: active_in.map(ms_of),
        },
    }
}

fn accept_bootstrap(services: &ControlServices, records: &[Blob]) -> Reply {
    let control = services.control.as_ref();
    if control.is_some_and(|c| c.accept_bootstrap(records)) {
        Reply::Acknowledged
    } else {
        Reply::Rejected("this node can't be a member of the first group".into())
    }
}

async fn vote_on_bootstrap(services: &ControlServices, request: &Blob) -> Reply {
    let Ok(request) = BootstrapRequest::decode(request) else {
        return Reply::Rejected("the request can't be decoded".into());
    };
    let vote = match &services.control {
        Some(control) => control.vote_on_bootstrap(&request).await,
        None => BootstrapReply::Abstained,
    };
    Reply::BootstrapVote(Blob(vote.encode()))
}
