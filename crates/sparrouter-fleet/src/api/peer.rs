//! Answers to the calls of other nodes: long polls, notifications, messages and changes of the control state, questions
//! on kept prompts and on waiting prompts.
use crate::api::ControlServices;
use crate::peer::messages::{Call, ConfirmedRead, Poll, Reply, Update};
use crate::platform::defects::rules;
use sparrouter_codec::Blob;
use sparrouter_consensus::{Member, Outcome};
use sparrouter_membership::MembershipDelta;
use sparrouter_prefix_index::{PrefixLocation, PrefixQuery};
use sparrouter_routing::Nanos;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest time for which a poll is held, milliseconds.
const LONGEST_HOLD_MS: u32 = 5_000;
/// The same at a node without quorum contact: whoever asks it should soon ask another.
const LONGEST_HOLD_WITHOUT_CONTACT_MS: u32 = 300;
/// Longest time that a relayed change is given, milliseconds.
const LONGEST_PATIENCE_MS: u32 = 10_000;
const NANOS_PER_MS: u64 = 1_000_000;

/// Answers a call of another node; `None` where the call has no answer.
pub async fn answer(services: Rc<ControlServices>, _peer: SocketAddr, call: Call) -> Option<Reply> {
    let node = &services.node;
    match call {
        Call::Poll(poll) => Some(hold_poll(&services, poll).await),
        Call::Notify(delta) => Some(take_notification(&services, delta)),
        Call::Consensus {
            shard: part,
            disk_id: disk,
            name,
            address,
            message,
        } => {
            let member = Member {
                disk_id: disk,
                name,
                address,
            };
            take_message(&services, part, member, &message);
            None
        }
        Call::Change {
            shard: part,
            change,
            timeout_ms: patience_ms,
        } => Some(carry_out_change(&services, part, change, patience_ms).await),
        Call::QueryPrefix { key, server, store } => {
            Some(advise(&services, PrefixQuery { key, server, store }))
        }
        Call::CachedBlocks {
            source,
            replaces_all,
            blocks: rows,
        } => {
            node.record_cached_blocks(source, replaces_all, &rows);
            None
        }
        Call::EstimateWait {
            server,
            token,
            cost,
            urgency,
            max_wait_ms: most_ms,
        } => {
            let most = u64::from(most_ms) * NANOS_PER_MS;
            let wait_ms = node.wait_here(server, token, cost, urgency, most) / NANOS_PER_MS;
            Some(Reply::Wait {
                ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
            })
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
            node.over_here(server, token, began);
            None
        }
        Call::Bootstrap { records } => Some(join_first_group(&services, &records)),
    }
}

/// Holds a poll until there is something new for its sender, or the hold is over.
async fn hold_poll(services: &ControlServices, poll: Poll) -> Reply {
    let node = &services.node;
    if let Some(control) = &services.control {
        control.record_contact(&poll.name);
        control.record_poll(&poll.name);
    }
    if rules::pollers_report_version_ages() {
        node.record_models(&poll.models);
    }
    if let Some(row) = poll.record {
        node.merge_records(MembershipDelta {
            nodes: vec![row].into(),
            ..MembershipDelta::default()
        });
    }
    let mut changes = node.subscribe();
    let came = Instant::now();
    let came_at = node.now();
    loop {
        changes.mark_unchanged();
        let quorum_contact = services.has_quorum_contact();
        let longest = match quorum_contact {
            true => LONGEST_HOLD_MS,
            false => LONGEST_HOLD_WITHOUT_CONTACT_MS,
        };
        let until = came + Duration::from_millis(u64::from(poll.max_wait_ms.min(longest)));
        let rows = node.packed_delta_since(poll.epoch, poll.revision);
        let known = node.active_configuration();
        let older = !rules::older_configurations_ignored()
            && known.slot > 0
            && known.slot < poll.config_slot;
        let is_newer = known.slot > poll.config_slot || older;
        if is_newer || rows.is_some() || Instant::now() >= until {
            return Reply::Update(Update {
                records: Blob(rows.unwrap_or_default()),
                config: is_newer.then(|| node.config_update(poll.config_digest)),
                confirmed: services.confirmed_read().map(|began| ConfirmedRead {
                    began_ms: whole_ms_between(came_at, began),
                }),
            });
        }
        // Either something new, or the end of the hold.
        let _ = timeout_at(until, changes.changed()).await;
    }
}

/// Milliseconds from one moment to another, negative where the second comes first; rounded down.
fn whole_ms_between(from: Nanos, to: Nanos) -> i64 {
    let nanos = i128::from(to) - i128::from(from);
    let whole = nanos.div_euclid(i128::from(NANOS_PER_MS));
    i64::try_from(whole).unwrap_or(i64::MIN)
}

/// Takes rows that changed at the sender, which acknowledges to servers what this node confirms: nodes that have a quorum
/// must hear of it from here.
fn take_notification(services: &ControlServices, delta: MembershipDelta) -> Reply {
    services.node.merge_records(delta);
    if services.has_quorum_contact() || !rules::notified_node_needs_contact() {
        Reply::Acknowledged
    } else {
        Reply::Rejected("this node has no contact with a quorum".into())
    }
}

fn take_message(services: &ControlServices, shard: u16, from: Member, message: &Blob) {
    if let Some(control) = &services.control {
        control.record_contact(&from.name);
        control.handle_message(shard, from, message);
    }
}

/// Makes a change of a shard for another node, if this one is a member with quorum contact.
async fn carry_out_change(
    services: &ControlServices,
    shard: u16,
    change: Blob,
    patience_ms: u32,
) -> Reply {
    let Some(control) = services.control.as_ref().filter(|c| c.is_member()) else {
        return Reply::NotApplied("this node keeps no part of the control state".into());
    };
    // Nothing was proposed, so the sender may try another member at once. A call that waited in a frozen process ends here
    // too: its sender gave it up long ago.
    if control.lost_quorum_contact() && rules::relay_needs_contact() {
        return Reply::NotApplied(
            "this node has no contact with a quorum: see which members are down".into(),
        );
    }
    let patience = Duration::from_millis(u64::from(patience_ms.min(LONGEST_PATIENCE_MS)));
    match control.change_here(shard, change.0, patience).await {
        Outcome::Answered(answer) => Reply::Applied(Blob(answer)),
        Outcome::Rejected(why) => Reply::NotApplied(control.with_disk_failure(&why.to_string())),
        Outcome::Unknown => Reply::Unknown,
    }
}

/// Says where a prefix is kept and who should save it.
fn advise(services: &ControlServices, question: PrefixQuery) -> Reply {
    let node = &services.node;
    let advice = node
        .owned_keys
        .prefix_index
        .borrow_mut()
        .query(question, node.now());
    let PrefixLocation {
        save,
        is_cached: held,
        cached_at: holders,
        prefilling_server: reader,
    } = advice;
    Reply::PrefixLocation {
        save,
        is_cached: held,
        cached_at: holders.into(),
        prefilling_server: reader,
    }
}

fn join_first_group(services: &ControlServices, records: &[Blob]) -> Reply {
    let control = services.control.as_ref();
    if control.is_some_and(|c| c.accept_bootstrap(records)) {
        Reply::Acknowledged
    } else {
        Reply::Rejected("this node can't be a founder".into())
    }
}
