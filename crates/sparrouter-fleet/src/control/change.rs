//! Makes one change of a shard through any member that can make it.
use super::Control;
use crate::control::configuration_state::{Change, Verdict};
use crate::node::Node;
use crate::peer::links::LinkError;
use crate::peer::messages::{Call, Reply};
use sparrouter_codec::Blob;
use sparrouter_consensus::{Outcome, Rejection};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Shortest time-out of an attempt; no further attempt begins if less time remains.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);
/// Ratio of the remaining time that an attempt may use while other members can be tried after it.
const ATTEMPT_TIME_RATIO: f64 = 0.6;
/// How much longer than the member's own time-out this node waits for its reply.
const REPLY_MARGIN: Duration = Duration::from_millis(20);

/// Why a change has no answer. The variant decides what the caller may do next.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The change was not applied. Another node may know a member.
    #[error("this node knows no node that keeps the control state: ask another node")]
    NoMember,
    /// The change was not applied, and this call will not apply it later: the caller may retry.
    #[error("{}", with_remedy(*.rejection, .disk_failure.as_deref()))]
    Rejected {
        /// Why this node's register rejected the change.
        rejection: Rejection,
        /// Why this node's disk fails, with the remedy; `None` if the disk works.
        disk_failure: Option<String>,
    },
    /// Another member rejected the change: it was not applied and may be retried.
    #[error("{reason}")]
    RejectedByPeer {
        /// The member's reason, as text for the operator.
        reason: String,
    },
    /// The change may or may not be applied; sending the same change again gives a definite answer.
    #[error(
        "no quorum answered in time: the change may be in force or not; send it again unchanged"
    )]
    Unknown,
}

fn with_remedy(rejection: Rejection, disk_failure: Option<&str>) -> String {
    match disk_failure {
        Some(failure) => format!("{rejection}; {failure}"),
        None => rejection.to_string(),
    }
}

/// The outcome of one attempt.
enum AttemptOutcome {
    Answered(Vec<u8>),
    /// The attempt proved that it did not apply the change.
    Rejected(ChangeError),
    /// The change did not reach a register.
    Unsent,
    Unknown,
}

/// Makes a change of a shard through this node's register or another member's, the shard's owner first. Returns the
/// answer of the shard's state machine. A copy of the change that an earlier attempt sent may still be applied later.
///
/// # Errors
///
/// [`ChangeError::Unknown`] if any attempt may have been applied; otherwise the reason of the last rejection.
pub async fn change(
    node: &Rc<Node>,
    control: Option<&Rc<Control>>,
    shard: u16,
    change: Vec<u8>,
    timeout: Duration,
) -> Result<Vec<u8>, ChangeError> {
    let deadline = Instant::now() + timeout;
    let attempt = Attempt {
        node,
        own_register: control.filter(|c| c.is_member()),
        shard,
        change: &change,
    };
    let addresses = addresses_to_ask(node, control, shard);
    let last_index = addresses.len().saturating_sub(1);
    let mut error = ChangeError::NoMember;
    for (index, address) in addresses.into_iter().enumerate() {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining < MIN_ATTEMPT_TIME {
            break;
        }
        let attempt_timeout = if index == last_index {
            remaining
        } else {
            remaining.mul_f64(ATTEMPT_TIME_RATIO)
        };
        match attempt.send_to(address, attempt_timeout).await {
            AttemptOutcome::Answered(answer) => return Ok(answer),
            AttemptOutcome::Unknown => error = ChangeError::Unknown,
            // An earlier attempt may still be applied, even though this one proved that it was not.
            AttemptOutcome::Rejected(_) if error == ChangeError::Unknown => {}
            AttemptOutcome::Rejected(rejected) => error = rejected,
            AttemptOutcome::Unsent => {}
        }
    }
    Err(error)
}

/// The internal addresses of the nodes to try, in order: the members by their rank for the shard, with unresponsive and
/// leaving ones last. If this node knows no group, all control nodes.
fn addresses_to_ask(node: &Node, control: Option<&Rc<Control>>, shard: u16) -> Vec<SocketAddr> {
    let own_address = node.own_record.borrow().internal_address.clone();
    let members = control.map(|c| c.members(shard)).unwrap_or_default();
    let is_away = |name: &str| {
        let membership = node.membership.borrow();
        membership
            .node(name)
            .is_some_and(|n| n.unresponsive || n.leaving)
    };
    let ranked = sparrouter_consensus::owner::ranked(shard, &members);
    let (live, away): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|m| m.address == own_address || !is_away(&m.name));
    let addresses: Vec<SocketAddr> = live
        .iter()
        .chain(&away)
        .filter_map(|m| m.address.parse().ok())
        .collect();
    if !addresses.is_empty() {
        return addresses;
    }
    let mut control_nodes = node.control_nodes();
    control_nodes.sort_by_key(|control_node| {
        let name = &control_node.name;
        let rank = sparrouter_rendezvous::hash(name.as_bytes()) ^ u64::from(shard);
        (is_away(name), rank)
    });
    control_nodes.into_iter().map(|n| n.address).collect()
}

/// A change, with the context that each attempt to make it needs.
struct Attempt<'a> {
    node: &'a Rc<Node>,
    /// This node's control state; `None` if the node is no member.
    own_register: Option<&'a Rc<Control>>,
    shard: u16,
    change: &'a [u8],
}

impl Attempt<'_> {
    async fn send_to(&self, address: SocketAddr, timeout: Duration) -> AttemptOutcome {
        let own_address = self.node.own_record.borrow().internal_address.parse().ok();
        if Some(address) == own_address {
            self.apply_here(timeout).await
        } else {
            self.send_to_peer(address, timeout).await
        }
    }

    async fn apply_here(&self, timeout: Duration) -> AttemptOutcome {
        let Some(control) = self.own_register else {
            return AttemptOutcome::Unsent;
        };
        let outcome = control.change_here(self.shard, self.change.to_vec(), timeout);
        match outcome.await {
            Outcome::Answered(answer) => AttemptOutcome::Answered(answer),
            Outcome::Rejected(rejection) => AttemptOutcome::Rejected(ChangeError::Rejected {
                rejection,
                disk_failure: control.disk.failure(),
            }),
            Outcome::Unknown => AttemptOutcome::Unknown,
        }
    }

    async fn send_to_peer(&self, address: SocketAddr, timeout: Duration) -> AttemptOutcome {
        let call = Call::Change {
            shard: self.shard,
            change: Blob(self.change.to_vec()),
            timeout_ms: timeout.as_millis() as u32,
        };
        let reply = self.node.links.call(address, &call, timeout + REPLY_MARGIN);
        match reply.await {
            Ok(Reply::Applied(answer)) => AttemptOutcome::Answered(answer.0),
            Ok(Reply::NotApplied(reason)) => {
                AttemptOutcome::Rejected(ChangeError::RejectedByPeer { reason })
            }
            Err(LinkError::Unreachable | LinkError::QueueFull) => AttemptOutcome::Unsent,
            _ => AttemptOutcome::Unknown,
        }
    }
}

/// Decodes the answer of the configuration's shard; `None` if this release cannot decode it.
pub fn decode_verdict(answer: &[u8]) -> Option<Verdict> {
    sparrouter_codec::read(answer)
}

/// Encodes a change of the configuration's shard.
pub fn encode(change: &Change) -> Vec<u8> {
    nanoserde::SerBin::serialize_bin(change)
}
