//! Long polls: this node asks its sources for new records and configurations.
use crate::membership::sources::{KnownRevision, RecordVersion, Sources};
use crate::node::Node;
use crate::peer::links::LinkError;
use crate::peer::messages::{Call, ConfigUpdate, ConfirmedRead, Poll, Reply, Update};
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_codec::{Blob, Seq};
use sparrouter_membership::{MembershipDelta, SOURCE_COUNT};
use sparrouter_routing::{Nanos, Timestamp};
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Maximum time for which a source delays its reply while it has no updates.
const MAX_WAIT: Duration = Duration::from_millis(1_200);
/// Maximum delay of a reply between control nodes, which use these polls to detect whether they are in contact.
const MAX_WAIT_OF_CONTROL_NODES: Duration = Duration::from_millis(600);
/// Delay after a failed poll.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which the set of control nodes is checked.
const SOURCES_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum time after process start during which a node polls at short intervals until it has received the current
/// state.
const START_PERIOD: Duration = Duration::from_secs(10);
/// Maximum time for which a source delays its reply during that period, in milliseconds.
const MAX_WAIT_AT_START_MS: u32 = 40;

/// Outcome of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollOutcome {
    /// The source answered and has contact with a quorum.
    WithQuorumContact,
    /// The source answered but has no contact with a quorum.
    WithoutQuorumContact,
    /// There was no reply, or it could not be parsed.
    Failed,
}

/// Starts the tasks that poll sources until the process ends. A node with control state polls all other control nodes;
/// any other node polls [`SOURCE_COUNT`] sources.
pub fn start(node: &Rc<Node>, has_control_state: bool) {
    let sources = Rc::new(Sources::default());
    if has_control_state {
        spawn_local(poll_all_control_nodes(node.clone(), sources));
        return;
    }
    sources.set_loop_count(SOURCE_COUNT);
    for loop_index in 0..SOURCE_COUNT {
        spawn_local(poll_some_sources(node.clone(), sources.clone(), loop_index));
    }
}

/// Poll loop of a node without control state; the node runs one loop for each concurrent source.
async fn poll_some_sources(node: Rc<Node>, sources: Rc<Sources>, loop_index: usize) {
    loop {
        let Some(source) = sources.next(&node, loop_index) else {
            tokio::time::sleep(node.jitter(RETRY_INTERVAL * 4)).await;
            continue;
        };
        sources.begin_poll(loop_index, source);
        let outcome = poll(&node, &sources, source, MAX_WAIT).await;
        if outcome != PollOutcome::WithQuorumContact {
            sources.avoid(&node, source);
            tokio::time::sleep(node.jitter(RETRY_INTERVAL)).await;
        }
    }
}

/// Runs one poll loop for each other control node and seed, and starts new loops as nodes become known.
async fn poll_all_control_nodes(node: Rc<Node>, sources: Rc<Sources>) {
    let polled: Rc<RefCell<HashSet<SocketAddr>>> = Rc::default();
    loop {
        for source in control_nodes_and_seeds(&node) {
            if source == node.own_address() || !polled.borrow_mut().insert(source) {
                continue;
            }
            let (node, sources, polled) = (node.clone(), sources.clone(), polled.clone());
            spawn_local(async move {
                poll_control_node(&node, &sources, source).await;
                polled.borrow_mut().remove(&source);
            });
        }
        tokio::time::sleep(node.jitter(SOURCES_INTERVAL)).await;
    }
}

fn control_nodes_and_seeds(node: &Node) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = node
        .control_nodes()
        .into_iter()
        .map(|n| n.address)
        .collect();
    let settings = node.settings.borrow();
    addresses.extend(settings.seeds.iter().map(|s| settings.internal_of(s.ip())));
    addresses
}

/// Polls a node until it is neither a control node nor a seed any more.
async fn poll_control_node(node: &Rc<Node>, sources: &Sources, source: SocketAddr) {
    while is_control_node_or_seed(node, source) {
        let outcome = poll(node, sources, source, MAX_WAIT_OF_CONTROL_NODES).await;
        if outcome == PollOutcome::Failed {
            tokio::time::sleep(node.jitter(RETRY_INTERVAL * 3)).await;
        }
    }
}

fn is_control_node_or_seed(node: &Node, source: SocketAddr) -> bool {
    let settings = node.settings.borrow();
    node.control_nodes()
        .iter()
        .any(|control_node| control_node.address == source)
        || settings.seeds.iter().any(|s| s.ip() == source.ip())
}

/// Executes one poll: sends the revisions that this node has, and applies the reply.
async fn poll(
    node: &Rc<Node>,
    sources: &Sources,
    source: SocketAddr,
    max_wait: Duration,
) -> PollOutcome {
    let max_wait = node.configuration.poll_wait(max_wait);
    let own_version = {
        let own = node.own_record.borrow();
        RecordVersion {
            incarnation: own.incarnation,
            leaving: own.leaving,
        }
    };
    let request = poll_request(node, sources, source, own_version, max_wait);
    let sends_record = request.record.is_some();
    let sent_at = node.now();
    let timeout = sources.poll_timeout(node, max_wait);
    let reply = node.links.call(source, &Call::Poll(request), timeout).await;
    count_unanswered(sources, &reply);
    let Ok(Reply::Update(update)) = reply else {
        return PollOutcome::Failed;
    };
    let Update {
        records,
        config,
        confirmed,
    } = update;
    if !merge_packed(node, sources, source, &records) {
        return PollOutcome::Failed;
    }
    if sends_record {
        // The process that replied has read the record; its epoch is known from the reply.
        let revisions = sources.revisions.borrow();
        let epoch = revisions.get(&source).map_or(0, |known| known.epoch);
        let mut sent = sources.sent_records.borrow_mut();
        sent.insert(source, (epoch, own_version));
    }
    let is_applied = apply_configuration(node, sources, config);
    record_contact(node, confirmed, is_applied, sent_at, timeout)
}

/// Creates the poll request, which states the record revision and the configuration that this node has.
fn poll_request(
    node: &Node,
    sources: &Sources,
    source: SocketAddr,
    own_version: RecordVersion,
    max_wait: Duration,
) -> Poll {
    let revisions = sources.revisions.borrow();
    let KnownRevision { epoch, revision } = revisions.get(&source).copied().unwrap_or_default();
    let sent_records = sources.sent_records.borrow();
    let source_has_record = sent_records.get(&source) == Some(&(epoch, own_version));
    let own_record = node.own_record.borrow().clone();
    let active = node.active_configuration();
    let is_starting = !node.fleet_contact.is_informed() && node.now() <= nanos(START_PERIOD);
    Poll {
        name: own_record.name.clone(),
        record: (!source_has_record).then_some(own_record),
        epoch,
        revision,
        config_slot: active.slot,
        config_digest: if sources.needs_complete_text.take() {
            0
        } else {
            active.digest
        },
        max_wait_ms: if is_starting {
            MAX_WAIT_AT_START_MS
        } else {
            max_wait.as_millis() as u32
        },
        models: if source_has_record {
            Seq::default()
        } else {
            node.model_updates()
        },
    }
}

fn count_unanswered(sources: &Sources, reply: &Result<Reply, LinkError>) {
    let count = match reply {
        Ok(_) => 0,
        // An unreachable node says nothing about the speed of the links.
        Err(LinkError::Unreachable) => sources.unanswered.get(),
        Err(_) => sources.unanswered.get().saturating_add(1),
    };
    sources.unanswered.set(count);
}

/// Merges the records of a reply; false if they cannot be parsed.
fn merge_packed(node: &Node, sources: &Sources, source: SocketAddr, packed: &Blob) -> bool {
    if packed.is_empty() {
        return true;
    }
    let Some(delta) = MembershipDelta::unpack(packed) else {
        return false;
    };
    let known = KnownRevision {
        epoch: delta.epoch,
        revision: delta.revision,
    };
    sources.revisions.borrow_mut().insert(source, known);
    node.merge_records(delta);
    true
}

/// Applies the configuration of a reply, if there is one. Returns false if the reply contains edits to a different base
/// text than this node has; the next poll then asks for the complete text.
fn apply_configuration(node: &Node, sources: &Sources, config: Option<ConfigUpdate>) -> bool {
    let Some(config) = config else {
        return true;
    };
    let is_applied = node.apply_configuration(config);
    sources.needs_complete_text.set(!is_applied);
    is_applied
}

/// Renews the lease of the configuration and records the contact with the fleet, based on the quorum read that the
/// source confirmed.
fn record_contact(
    node: &Node,
    confirmed: Option<ConfirmedRead>,
    is_applied: bool,
    sent_at: Nanos,
    timeout: Duration,
) -> PollOutcome {
    let Some(confirmed_read) = confirmed else {
        return PollOutcome::WithoutQuorumContact;
    };
    if is_applied {
        // `began_ms` is relative to the poll's arrival at the source, which was later than `sent_at`. The computed
        // start of the read is therefore not later than the actual one.
        let sent_at = Timestamp::try_from(sent_at).unwrap_or(Timestamp::MAX);
        node.confirm_configuration(sent_at.saturating_add(nanos_of_ms(confirmed_read.began_ms)));
    }
    if !is_timely(sent_at, node.now(), timeout) {
        return PollOutcome::WithoutQuorumContact;
    }
    node.fleet_contact.record(node.now());
    node.fleet_contact.mark_informed();
    PollOutcome::WithQuorumContact
}

fn nanos_of_ms(ms: i64) -> Timestamp {
    const NANOS_PER_MS: i64 = 1_000_000;
    ms.saturating_mul(NANOS_PER_MS)
}

/// Whether a reply to a call that was sent at `sent_at` is recent enough to be trusted. If this process was frozen, a
/// reply may have waited in the socket and be read before the call's time-out fires; its content is then outdated.
pub fn is_timely(sent_at: Nanos, now: Nanos, timeout: Duration) -> bool {
    now.saturating_sub(sent_at) <= nanos(timeout) || !rules::late_poll_replies_ignored()
}
