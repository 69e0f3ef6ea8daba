//! What another node is answered: polls held until there is news, rows told, messages and changes of the control state.
use crate::planted::{Defect, has};
use crate::run::ControlServices;
use crate::wire::{Call, Reply, Update};
use sparrouter_codec::Blob;
use sparrouter_consensus::{Member, Outcome};
use sparrouter_membership::Delta;
use sparrouter_prefix_index::Question;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A node without quorum contact holds a poll no longer than this.
const LEAVE_ME_MS: u32 = 300;

/// Answers another node.
pub async fn answer(services: Rc<ControlServices>, _peer: SocketAddr, call: Call) -> Option<Reply> {
    let node = &services.node;
    match call {
        Call::Poll(poll) => {
            if let Some(control) = &services.control {
                control.heard_of(&poll.name);
                control.polled(&poll.name);
            }
            if let Some(row) = poll.row {
                node.learn(Delta {
                    nodes: vec![row].into(),
                    ..Delta::default()
                });
            }
            let mut changes = node.changes();
            let came = Instant::now();
            loop {
                changes.mark_unchanged();
                let quorum_contact = services.has_quorum_contact();
                // Whoever asks a node without quorum contact should soon ask another.
                let longest = if quorum_contact { 5_000 } else { LEAVE_ME_MS };
                let until = came + Duration::from_millis(u64::from(poll.hold_ms.min(longest)));
                let rows = node.rows_since(poll.epoch, poll.revision);
                let known = node.in_force();
                let older = has(Defect::OlderTaken) && known.seq > 0 && known.seq < poll.config_seq;
                let news = known.seq > poll.config_seq || older;
                if news || rows.is_some() || Instant::now() >= until {
                    let config = news.then(|| node.config_update(poll.config_digest));
                    return Some(Reply::Update(Update {
                        rows: Blob(rows.unwrap_or_default()),
                        config,
                        quorum_contact,
                    }));
                }
                // Either news, or the end of the hold.
                let _ = tokio::time::timeout_at(until, changes.changed()).await;
            }
        }
        Call::Notify(delta) => {
            node.learn(delta);
            // The sender acknowledges what it was told on this word: nodes that have a quorum must hear of it from here.
            if services.has_quorum_contact() || has(Defect::NotifyWithoutContact) {
                Some(Reply::Done)
            } else {
                Some(Reply::No("this node has no contact with a quorum".into()))
            }
        }
        Call::Consensus {
            part,
            disk,
            name,
            address,
            message,
        } => {
            if let Some(control) = &services.control {
                control.heard_of(&name);
                control.heard(
                    part,
                    Member {
                        disk,
                        name,
                        address,
                    },
                    &message,
                );
            }
            None
        }
        Call::Change {
            part,
            change,
            patience_ms,
        } => {
            let Some(control) = services.control.as_ref().filter(|c| c.is_member()) else {
                return Some(Reply::NotChanged(
                    "this node keeps no part of the control state".into(),
                ));
            };
            // Nothing was proposed, so the sender may try another member at once. A call that waited in a frozen process
            // ends here too: its sender gave it up long ago.
            if control.lost_quorum_contact() && !has(Defect::RelayWithoutContact) {
                return Some(Reply::NotChanged(
                    "this node has no contact with a quorum: see which members are down".into(),
                ));
            }
            let patience = Duration::from_millis(u64::from(patience_ms.min(10_000)));
            Some(match control.change_here(part, change.0, patience).await {
                Outcome::Answered(answer) => Reply::Changed(Blob(answer)),
                Outcome::Refused(why) => Reply::NotChanged(control.explain(&why.to_string())),
                Outcome::Unknown => Reply::Unknown,
            })
        }
        Call::Prefix { key, server, store } => {
            let advice = node
                .index
                .borrow_mut()
                .ask(Question { key, server, store }, node.now());
            let sparrouter_prefix_index::Advice {
                save,
                held,
                holders,
                reader,
            } = advice;
            Some(Reply::Prefix {
                save,
                held,
                holders: holders.into(),
                reader,
            })
        }
        Call::Kept { source, void, rows } => {
            node.kept_here(source, void, &rows);
            None
        }
        Call::Wait {
            server,
            token,
            cost,
            urgency,
            most_ms,
        } => {
            let wait = node.wait_here(server, token, cost, urgency, u64::from(most_ms) * 1_000_000);
            Some(Reply::Wait {
                ms: (wait / 1_000_000).min(u64::from(u32::MAX)) as u32,
            })
        }
        Call::Over {
            server,
            token,
            began,
        } => {
            node.over_here(server, token, began);
            None
        }
        Call::Found { records } => {
            let taken = services
                .control
                .as_ref()
                .is_some_and(|c| c.take_record(&records));
            Some(if taken {
                Reply::Done
            } else {
                Reply::No("this node can't be a founder".into())
            })
        }
    }
}
