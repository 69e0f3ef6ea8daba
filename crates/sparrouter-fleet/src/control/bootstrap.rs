//! Bootstrap: the electors agree on the first groups at the first start of the fleet.
//!
//! The electors are the seeds of the first start that keep control state. [`sparrouter_consensus::bootstrap`] decides the
//! agreement; this module stores the votes, proposes, and sends the chosen group to its members. Why there are never two
//! groups: docs/design/control-state/bootstrap.md.
mod candidates;
mod elector;
mod proposal;

use super::{Control, LEASE_SHARDS};
use crate::node::Node;
use crate::peer::messages::{Call, Reply};
use crate::platform::defects::rules;
use candidates::{electors_among, stable_candidates};
pub(super) use elector::Elector;
use proposal::propose;
use sparrouter_codec::Blob;
use sparrouter_consensus::{Member, Record};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How much later each seed proposes than the seed before it in the list.
const PROPOSER_STAGGER: Duration = Duration::from_millis(700);
/// Mean delay between the first two proposals of one node, and time-out of the first one, from the first request to the
/// last reply. Both double with each proposal that fails, up to their maxima: a vote takes as long as the slowest disk
/// of a majority, and proposals of several nodes must not supersede each other for ever.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(500);
const MAX_PROPOSAL_INTERVAL: Duration = Duration::from_secs(4);
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_PROPOSAL_TIMEOUT: Duration = Duration::from_secs(16);
/// Number of attempts to send the chosen group to a member. Each attempt has the time-out [`SEND_TIMEOUT`], and
/// [`SEND_RETRY`] is the mean delay between two.
const SEND_ATTEMPTS: usize = 200;
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
const SEND_RETRY: Duration = Duration::from_millis(50);
/// How long no group may be known after the start before that is reported.
const REPORT_AFTER: Duration = Duration::from_secs(5);

/// Proposes a first group while this node knows none and has a vote, and reports if none is formed.
pub async fn bootstrap(node: Rc<Node>, control: Option<Rc<Control>>) {
    let Some(control) = control else {
        return bootstrap_without_electors(&node).await;
    };
    spawn_local(report_missing_group(control.clone()));
    let Some(seeds) = control.electors() else {
        return;
    };
    let own_ip = node.settings.borrow().ip;
    let rank = seeds.iter().position(|seed| seed.ip() == own_ip);
    let Ok(rank) = u32::try_from(rank.unwrap_or(0)) else {
        return;
    };
    let propose_from = Instant::now() + PROPOSER_STAGGER * rank;
    let mut sent: Option<Vec<Member>> = None;
    let mut failures = 0;
    while !control.knows_groups() {
        let members = stable_candidates(&node).await;
        tokio::time::sleep_until(propose_from).await;
        if control.knows_groups() {
            return;
        }
        let timeout = doubled(PROPOSAL_TIMEOUT, failures, MAX_PROPOSAL_TIMEOUT);
        let chosen = propose(&node, &control, &seeds, members, timeout).await;
        failures += u32::from(chosen.is_none());
        if let Some(group) = chosen.filter(|group| sent.as_ref() != Some(group)) {
            send_to_members(&node, &group);
            sent = Some(group);
        }
        let interval = doubled(PROPOSAL_INTERVAL, failures, MAX_PROPOSAL_INTERVAL);
        tokio::time::sleep(node.jitter(interval)).await;
    }
}

/// The time doubled this often, up to `max`.
fn doubled(time: Duration, times: u32, max: Duration) -> Duration {
    if !rules::bootstrap_time_grows() {
        return time;
    }
    time.saturating_mul(2u32.saturating_pow(times)).min(max)
}

/// Reports once that this node knows no group for long.
async fn report_missing_group(control: Rc<Control>) {
    tokio::time::sleep(REPORT_AFTER).await;
    if let Some(reason) = control.missing_group() {
        control.node.log_buffer.report_violation(&reason);
    }
}

/// Forms the first groups where no seed keeps control state: the first seed alone does so at its first start, so that
/// there are never two first groups.
async fn bootstrap_without_electors(node: &Rc<Node>) {
    let (seeds, is_first_seed) = {
        let settings = node.settings.borrow();
        let first_seed = settings.seeds.first();
        let is_first_seed = first_seed.is_none_or(|seed| seed.ip() == settings.ip);
        (
            settings.seeds.clone(),
            settings.first_start && is_first_seed,
        )
    };
    if !is_first_seed {
        return;
    }
    loop {
        let members = stable_candidates(node).await;
        if electors_among(node, &seeds).is_empty() {
            return send_to_members(node, &members);
        }
    }
}

/// Sends the first groups to their members.
fn send_to_members(node: &Rc<Node>, members: &[Member]) {
    log::info!("control state is bootstrapped: members={}", members.len());
    let record = Record::bootstrap(members.to_vec(), Vec::new()).encode();
    let records: Vec<Blob> = (0..=LEASE_SHARDS).map(|_| Blob(record.clone())).collect();
    let call = Rc::new(Call::Bootstrap {
        records: records.into(),
    });
    for member in members {
        if let Ok(address) = member.address.parse() {
            spawn_local(send_to_member(node.clone(), address, call.clone()));
        }
    }
}

/// Sends the first groups to a member until it acknowledges them, since it is needed for the first quorum.
async fn send_to_member(node: Rc<Node>, address: SocketAddr, call: Rc<Call>) {
    for _ in 0..SEND_ATTEMPTS {
        let reply = node.links.call(address, &call, SEND_TIMEOUT).await;
        if matches!(reply, Ok(Reply::Acknowledged)) {
            return;
        }
        tokio::time::sleep(node.jitter(SEND_RETRY)).await;
    }
}
