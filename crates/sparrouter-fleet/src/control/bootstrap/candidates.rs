//! The candidates for the first group, and the electors, among the nodes that are known.
use crate::control::groups::member_of;
use crate::node::Node;
use crate::settings::{ProcessSettings, nanos};
use sparrouter_consensus::Member;
use sparrouter_membership::{MembershipTable, NodeRecord};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A group is proposed once its candidates have been the same for this long, and either a node that counts toward the
/// quorum is known or [`MAX_WAIT_FOR_COUNTED`] has passed.
const STABLE_FOR: Duration = Duration::from_millis(900);
/// Longest time after the start to wait for a node that counts toward the quorum before a group is proposed.
const MAX_WAIT_FOR_COUNTED: Duration = Duration::from_millis(4_000);
/// Time between two checks of the candidates.
const CANDIDATES_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time after the start to wait for seeds that have not registered, while the candidates are too few to bear the
/// losses that the settings allow.
const MAX_WAIT_FOR_CANDIDATES: Duration = Duration::from_secs(6);
/// Maximum number of members of the first group.
const MAX_FIRST_MEMBERS: usize = 9;

/// The seeds but those that are known to keep no control state. A fleet without seeds has one elector, this node.
pub(super) fn electors_among(node: &Node, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let own_address = node.settings.borrow().listen.control;
    if seeds.is_empty() {
        return own_address.into_iter().collect();
    }
    let keeps_no_state = |seed: &SocketAddr| {
        let membership = node.membership.borrow();
        let mut nodes = membership.nodes();
        let record = nodes.find(|n| n.control_address == seed.to_string());
        record.is_some_and(|record| record.disk_id == 0)
    };
    let seeds = seeds.iter().copied();
    seeds.filter(|seed| !keeps_no_state(seed)).collect()
}

/// Waits until the candidates for the first groups have been the same for [`STABLE_FOR`], and are enough to bear the
/// losses that the settings allow, or no seed is missing. A smaller group would end with its first lost disk.
pub(super) async fn stable_candidates(node: &Node) -> Vec<Member> {
    let mut candidates: Vec<Member> = Vec::new();
    let mut unchanged_since = Instant::now();
    loop {
        tokio::time::sleep(CANDIDATES_INTERVAL).await;
        let membership = node.membership.borrow();
        let records = candidates_in(&membership);
        let current: Vec<Member> = records.iter().copied().map(member_of).collect();
        if current != candidates {
            (candidates, unchanged_since) = (current, Instant::now());
        }
        let is_stable = unchanged_since.elapsed() >= STABLE_FOR;
        let any_counted = membership.nodes().any(|n| n.counts_toward_quorum);
        let has_counted = any_counted || node.now() >= nanos(MAX_WAIT_FOR_COUNTED);
        let settings = node.settings.borrow();
        let is_enough = bears_losses(&records, &settings)
            || are_seeds_known(&membership, &settings)
            || node.now() >= nanos(MAX_WAIT_FOR_CANDIDATES);
        if is_stable && has_counted && is_enough && !candidates.is_empty() {
            candidates.truncate(MAX_FIRST_MEMBERS);
            return candidates;
        }
    }
}

/// Whether all seeds are known, so that no seed that has not registered yet is missing among the candidates.
fn are_seeds_known(membership: &MembershipTable, settings: &ProcessSettings) -> bool {
    let is_known = |seed: &SocketAddr| {
        let address = seed.to_string();
        membership.nodes().any(|n| n.control_address == address)
    };
    settings.seeds.iter().all(is_known)
}

/// Whether a majority of the candidates remains when as many machines, zones or regions are lost as the settings allow.
fn bears_losses(candidates: &[&NodeRecord], settings: &ProcessSettings) -> bool {
    let zones: BTreeSet<&str> = candidates.iter().map(|n| n.zone.as_str()).collect();
    let regions: BTreeSet<&str> = candidates.iter().map(|n| n.region.as_str()).collect();
    let counts_and_losses = [
        (candidates.len(), settings.tolerated_machines),
        (zones.len(), settings.tolerated_zones),
        (regions.len(), settings.tolerated_regions),
    ];
    counts_and_losses
        .iter()
        .all(|(count, losses)| *count > 2 * *losses as usize)
}

/// The control nodes with a disk. If any control node counts toward the quorum, the nodes that do not count are left
/// out.
fn candidates_in(membership: &MembershipTable) -> Vec<&NodeRecord> {
    let is_control = |n: &&NodeRecord| !n.control_address.is_empty();
    let any_counted = membership
        .nodes()
        .any(|n| is_control(&n) && n.counts_toward_quorum);
    membership
        .nodes()
        .filter(is_control)
        .filter(|n| n.disk_id != 0 && (n.counts_toward_quorum || !any_counted))
        .collect()
}
