//! Following the cache events of servers and stores: each source by one node, which reports to the owners of the blocks.
//!
//! A store's epoch is reported to all nodes as well: a store that does not answer is not named to servers, and one that
//! came back empty is asked to save again.
use super::assignment::{AssignmentBasis, EventSource, assigned_sources, exists};
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

/// Time between two checks of which sources fall to this node.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two requests to a source: its events of that time come in one reply.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// First backoff after a request without a reply, and the longest for a server. A store is asked again at the first.
const BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The backoff grows by its first value with each failure, up to this many.
const MAX_BACKOFF_STEPS: u32 = 32;
/// Requests in a row without a reply after which a store counts as down. One may be the network; a store that is down
/// costs each server that is pointed at it some hundred milliseconds.
const FAILURES_OF_DOWN_STORE: u32 = 2;

/// The sources that this node follows now.
#[derive(Default)]
struct Following {
    /// Their names. Invariant: each has one task.
    names: RefCell<HashSet<u64>>,
    /// Whether a task has ended since the last check.
    has_ended: Cell<bool>,
}

/// Follows the sources that fall to this node, until the process ends. Each has a task, which ends by itself once the
/// source falls to another node, is gone, or this node leaves.
pub async fn follow(node: Rc<Node>) {
    let following: Rc<Following> = Rc::default();
    let mut known_basis = AssignmentBasis::default();
    loop {
        let basis = AssignmentBasis::now(&node);
        let has_ended = following.has_ended.replace(false);
        if has_ended || !basis.is_same(&known_basis) {
            known_basis = basis;
            follow_new_sources(&node, &following);
        }
        tokio::time::sleep(node.jitter(ASSIGNMENT_INTERVAL)).await;
    }
}

/// Starts a task for each source that falls to this node and is not followed yet.
fn follow_new_sources(node: &Rc<Node>, following: &Rc<Following>) {
    if node.is_leaving() {
        return;
    }
    for source in assigned_sources(node) {
        if !following.names.borrow_mut().insert(source.name) {
            continue;
        }
        let (node, following) = (node.clone(), following.clone());
        spawn_local(async move {
            follow_source(&node, source).await;
            following.names.borrow_mut().remove(&source.name);
            following.has_ended.set(true);
        });
    }
}

/// Follows one source while it falls to this node.
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
            if failures >= FAILURES_OF_DOWN_STORE && source.is_store {
                report_store_epoch(node, source.address, STORE_DOWN);
            }
            tokio::time::sleep(node.jitter(backoff(&source, failures))).await;
        }
    }
    if !exists(node, &source) {
        // Nobody follows it any more to report that its blocks are gone.
        node.report_cached_blocks(&mut Source::default(), source.name, true);
    }
}

/// Reports what a page of events says.
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

/// Reports a store's epoch to all nodes when it changes. Its sequence number is above that of the nodes that followed the
/// store before.
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
