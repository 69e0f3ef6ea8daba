//! Follows the cache events of servers and stores. Each source is followed by one node, which reports the cached blocks
//! to their owners.
//!
//! The node that follows a store also reports the store's epoch to all nodes: servers are not referred to a store that
//! does not respond, and a store that restarted without its blocks is asked to save them again.
use super::assignment::{AssignmentInputs, EventSource, assigned_sources, exists};
use super::event_page::request;
use super::location::STORE_DOWN;
use crate::node::Node;
use sparrouter_membership::ServerDirective;
use sparrouter_prefix_index::{EventPage, Source};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Interval at which the assignment of sources is checked.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between requests to a source, so that one reply returns the events of a whole interval.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Initial backoff after a request without a reply, and the maximum backoff for a server. The backoff for a store stays
/// at the initial value.
const BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of backoff steps; each failure adds the initial backoff.
const MAX_BACKOFF_STEPS: u32 = 32;
/// Number of consecutive requests without a reply after which a store counts as down. A single failure may be caused by
/// the network. A store that is down delays each server that is referred to it by a few hundred milliseconds.
const MAX_STORE_FAILURES: u32 = 2;

/// The sources that this node currently follows.
#[derive(Default)]
struct FollowedSources {
    /// Hashes of the sources. Invariant: each source has exactly one task.
    names: RefCell<HashSet<u64>>,
    /// Whether a task has ended since the last check.
    has_ended: Cell<bool>,
}

/// Follows the sources that are assigned to this node, until the process ends. Each source has a task, which ends when
/// the source is assigned to another node or no longer exists, or when this node leaves.
pub async fn follow(node: Rc<Node>) {
    let followed: Rc<FollowedSources> = Rc::default();
    let mut known_inputs = AssignmentInputs::default();
    loop {
        let inputs = AssignmentInputs::current(&node);
        let has_ended = followed.has_ended.replace(false);
        if has_ended || !inputs.is_same(&known_inputs) {
            known_inputs = inputs;
            follow_new_sources(&node, &followed);
        }
        tokio::time::sleep(node.jitter(ASSIGNMENT_INTERVAL)).await;
    }
}

/// Starts a task for each assigned source that is not followed yet.
fn follow_new_sources(node: &Rc<Node>, followed: &Rc<FollowedSources>) {
    if node.is_leaving() {
        return;
    }
    for source in assigned_sources(node) {
        if !followed.names.borrow_mut().insert(source.name) {
            continue;
        }
        let (node, followed) = (node.clone(), followed.clone());
        spawn_local(async move {
            follow_source(&node, source).await;
            followed.names.borrow_mut().remove(&source.name);
            followed.has_ended.set(true);
        });
    }
}

/// Follows one source while it is assigned to this node.
async fn follow_source(node: &Node, source: EventSource) {
    let mut blocks = Source::default();
    let (mut failures, mut connection) = (0u32, None);
    while node.keeps(source.name) && !node.is_leaving() && exists(node, &source) {
        let since = blocks.next_event();
        let page = request(&*node.net, &mut connection, source.address, since).await;
        if let Some(page) = page {
            failures = 0;
            apply_page(node, &source, &mut blocks, page);
            tokio::time::sleep(REQUEST_INTERVAL).await;
        } else {
            failures += 1;
            connection = None;
            if failures >= MAX_STORE_FAILURES && source.is_store {
                report_store_epoch(node, source.address, STORE_DOWN);
            }
            tokio::time::sleep(node.jitter(backoff(&source, failures))).await;
        }
    }
    if !exists(node, &source) {
        // No node follows the source any more, so this node reports that none of its blocks are cached.
        node.report_cached_blocks(&mut Source::default(), source.name, true);
    }
}

/// Applies a page of events and reports the changed blocks to their owners.
fn apply_page(node: &Node, source: &EventSource, blocks: &mut Source, page: EventPage) {
    if source.is_store {
        report_store_epoch(node, source.address, page.epoch);
    }
    let replaces_all = blocks.apply_page(page);
    node.report_cached_blocks(blocks, source.name, replaces_all);
}

fn backoff(source: &EventSource, failures: u32) -> Duration {
    let max = if source.is_store {
        BACKOFF
    } else {
        MAX_BACKOFF
    };
    (BACKOFF * failures.min(MAX_BACKOFF_STEPS)).min(max)
}

/// Reports a store's epoch to all nodes if it has changed. The directive has a higher sequence number than all earlier
/// directives about the store, also if another node sent them.
fn report_store_epoch(node: &Node, store: SocketAddr, epoch: u64) {
    let key = format!("store/{store}");
    let known = node.membership.borrow().directive(&key).cloned();
    if known.as_ref().is_some_and(|k| k.version == epoch) {
        return;
    }
    node.merge_directive(ServerDirective {
        key,
        fencing_token: 0,
        sequence: known.map_or(1, |k| k.sequence + 1),
        version: epoch,
        withdrawn: false,
    });
}
