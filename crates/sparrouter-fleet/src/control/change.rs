//! One change of a part, made through whoever may, and what a caller is told where it was not.
use super::Control;
use crate::control::configuration_state::{Change, Verdict};
use crate::node::Node;
use crate::peer::links::LinkError;
use crate::peer::messages::{Call, Reply};
use sparrouter_codec::Blob;
use sparrouter_consensus::{Member, Outcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Makes a change through whoever may: this node's register, or that of a member, the part's owner first.
pub async fn change(
    node: &Rc<Node>,
    control: Option<&Rc<Control>>,
    part: u16,
    change: Vec<u8>,
    patience: Duration,
) -> Result<Answered, NoChange> {
    let until = Instant::now() + patience;
    let own = node.own_record.borrow().internal_address.clone();
    let member = control.is_some_and(|c| c.is_member());
    let mut to: Vec<SocketAddr> = Vec::new();
    let known: Vec<Member> = control.map(|c| c.members(part)).unwrap_or_default();
    let silent = |name: &str| {
        node.membership
            .borrow()
            .node(name)
            .is_some_and(|n| n.unresponsive || n.leaving)
    };
    let ranked = sparrouter_consensus::owner::ranked(part, &known);
    let live = ranked
        .iter()
        .filter(|m| m.address == own || !silent(&m.name));
    let rest = ranked
        .iter()
        .filter(|m| m.address != own && silent(&m.name));
    to.extend(
        live.chain(rest)
            .filter_map(|m| m.address.parse::<SocketAddr>().ok()),
    );
    if to.is_empty() {
        let mut core = node.core();
        core.sort_by_key(|c| {
            (
                silent(&c.0),
                sparrouter_rendezvous::hash(c.0.as_bytes()) ^ u64::from(part),
            )
        });
        to.extend(core.into_iter().map(|c| c.1));
    }
    let own: Option<SocketAddr> = own.parse().ok();
    let answered = |answer: Vec<u8>, worst: &NoChange| Answered {
        answer,
        copies_under_way: *worst == NoChange::Unknown,
    };
    let mut worst = NoChange::NotMade(
        "no node that keeps the control state is known here: ask another one".into(),
    );
    let tries = to.len().max(1);
    for (place, address) in to.into_iter().enumerate() {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(10) {
            break;
        }
        // The rest of the time is shared with those that come after.
        let share = if place + 1 == tries {
            left
        } else {
            left.mul_f64(0.6)
        };
        if Some(address) == own {
            let (Some(control), true) = (control, member) else {
                continue;
            };
            match control.change_here(part, change.clone(), share).await {
                Outcome::Answered(answer) => return Ok(answered(answer, &worst)),
                Outcome::Rejected(why) => {
                    worst = worst.or(NoChange::NotMade(control.explain(&why.to_string())));
                }
                Outcome::Unknown => worst = NoChange::Unknown,
            }
            continue;
        }
        let call = Call::Change {
            shard: part,
            change: Blob(change.clone()),
            timeout_ms: share.as_millis() as u32,
        };
        match node
            .links
            .call(address, &call, share + Duration::from_millis(20))
            .await
        {
            Ok(Reply::Applied(answer)) => return Ok(answered(answer.0, &worst)),
            Ok(Reply::NotApplied(why)) => worst = worst.or(NoChange::NotMade(why)),
            Err(LinkError::Unreachable | LinkError::Crowded) => {}
            _ => worst = NoChange::Unknown,
        }
    }
    Err(worst)
}

/// What a quorum answered to a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    pub answer: Vec<u8>,
    /// An earlier try of the same call ended without an answer: its copy may still be judged, on a later state.
    pub copies_under_way: bool,
}

/// Why a change has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoChange {
    /// It was not made, and won't be.
    NotMade(String),
    /// Nobody can say.
    Unknown,
}

impl NoChange {
    /// Once nobody can say, nobody can.
    fn or(self, other: NoChange) -> NoChange {
        if self == NoChange::Unknown {
            self
        } else {
            other
        }
    }
}

pub fn verdict(answer: &[u8]) -> Option<Verdict> {
    sparrouter_codec::read(answer)
}

pub fn encode(change: &Change) -> Vec<u8> {
    nanoserde::SerBin::serialize_bin(change)
}
