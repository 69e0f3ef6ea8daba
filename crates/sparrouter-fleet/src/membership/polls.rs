//! Long polls: asking sources for what is new.
use crate::membership::sources::{KnownRevision, RecordForm, Sources};
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

/// Longest time for which a source waits with its reply while there is nothing new.
const MAX_WAIT: Duration = Duration::from_millis(1_200);
/// The same between control nodes, which conclude from these polls that they are in contact.
const MAX_WAIT_OF_CONTROL_NODES: Duration = Duration::from_millis(600);
/// Time after a poll that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two checks of which control nodes there are.
const SOURCES_INTERVAL: Duration = Duration::from_millis(150);
/// A process that starts polls at short intervals until it is informed, but no longer than this.
const START_TIME: Duration = Duration::from_secs(10);
/// Longest wait at a source in that time, in milliseconds.
const MAX_WAIT_AT_START_MS: u32 = 40;

/// What a poll came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollOutcome {
    /// The source has contact with a quorum.
    WithQuorumContact,
    /// The source answered and has no such contact.
    WithoutQuorumContact,
    /// No reply, or none that can be read.
    Failed,
}

/// Starts the tasks that poll sources; they run until the process ends. A node with control state polls all other control
/// nodes; any other node polls a few.
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

/// One of the loops of a node without control state.
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

/// Runs one loop for each other control node and seed, started as they become known.
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

/// Polls a control node until it is neither one nor a seed any more.
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

/// One poll: sends what this node has, and applies the reply.
async fn poll(
    node: &Rc<Node>,
    sources: &Sources,
    source: SocketAddr,
    max_wait: Duration,
) -> PollOutcome {
    let max_wait = node.configuration.poll_wait(max_wait);
    let own_form = {
        let own = node.own_record.borrow();
        RecordForm {
            incarnation: own.incarnation,
            leaving: own.leaving,
        }
    };
    let request = poll_request(node, sources, source, own_form, max_wait);
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
        // It was read by the process that answered, whose epoch is known by now.
        let revisions = sources.revisions.borrow();
        let epoch = revisions.get(&source).map_or(0, |known| known.epoch);
        let mut sent = sources.sent_records.borrow_mut();
        sent.insert(source, (epoch, own_form));
    }
    let is_applied = apply_configuration(node, sources, config);
    record_contact(node, confirmed, is_applied, sent_at, timeout)
}

/// What this node has, as a poll of a source.
fn poll_request(
    node: &Node,
    sources: &Sources,
    source: SocketAddr,
    own_form: RecordForm,
    max_wait: Duration,
) -> Poll {
    let revisions = sources.revisions.borrow();
    let KnownRevision { epoch, revision } = revisions.get(&source).copied().unwrap_or_default();
    let sent_records = sources.sent_records.borrow();
    let has_record = sent_records.get(&source) == Some(&(epoch, own_form));
    let own_record = node.own_record.borrow().clone();
    let active = node.active_configuration();
    let is_starting = !node.fleet_contact.is_informed() && node.now() <= nanos(START_TIME);
    Poll {
        name: own_record.name.clone(),
        record: (!has_record).then_some(own_record),
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
        models: if has_record {
            Seq::default()
        } else {
            node.model_updates()
        },
    }
}

fn count_unanswered(sources: &Sources, reply: &Result<Reply, LinkError>) {
    let count = match reply {
        Ok(_) => 0,
        // A node that is not there says nothing of the links.
        Err(LinkError::Unreachable) => sources.unanswered.get(),
        Err(_) => sources.unanswered.get().saturating_add(1),
    };
    sources.unanswered.set(count);
}

/// Merges the records of a reply; false if they cannot be read.
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

/// Applies the configuration of a reply, if it has one. False where it has edits of another text than the one here: the
/// next poll then asks for the complete text.
fn apply_configuration(node: &Node, sources: &Sources, config: Option<ConfigUpdate>) -> bool {
    let Some(config) = config else {
        return true;
    };
    let is_applied = node.apply_configuration(config);
    sources.needs_complete_text.set(!is_applied);
    is_applied
}

/// Renews the lease on the configuration, and records contact, by the read that the source confirmed.
fn record_contact(
    node: &Node,
    confirmed: Option<ConfirmedRead>,
    is_applied: bool,
    sent_at: Nanos,
    timeout: Duration,
) -> PollOutcome {
    let Some(read) = confirmed else {
        return PollOutcome::WithoutQuorumContact;
    };
    if is_applied {
        // The poll arrived at the source after it was sent here.
        let sent_at = Timestamp::try_from(sent_at).unwrap_or(Timestamp::MAX);
        node.confirm_configuration(sent_at.saturating_add(nanos_of_ms(read.began_ms)));
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

/// Whether the reply to a call that was sent at `sent_at` still says what is so. One that waited while this process was
/// frozen says what was so, and the timer of the call has not fired if the reply was read before it.
pub fn is_timely(sent_at: Nanos, now: Nanos, timeout: Duration) -> bool {
    now.saturating_sub(sent_at) <= nanos(timeout) || !rules::late_poll_replies_ignored()
}
