//! What another node is answered: polls held until there is news, rows told, messages and changes of the control state.
use crate::planted::{Defect, has};
use crate::run::House;
use crate::wire::{Call, Reply, Told};
use gleaner::Question;
use hedgerow::Delta;
use rootstock::{Member, Outcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use trug::Blob;

/// A poll is held at least so long unless something urgent is new.
const GATHER_MS: u32 = 60;
/// Rows of one answer, some 100 KB at most: all pollers ask for everything at once after a start.
const MOST_ROWS: usize = 400;

/// Answers another node.
pub async fn answer(house: Rc<House>, _peer: SocketAddr, call: Call) -> Option<Reply> {
    let node = &house.node;
    match call {
        Call::Poll(poll) => {
            if let Some(control) = &house.control {
                control.heard_of(&poll.node.name);
                control.polled(&poll.node.name);
            }
            node.learn(Delta { nodes: vec![poll.node].into(), ..Delta::default() });
            let mut changes = node.changes();
            let came = Instant::now();
            let until = Instant::now() + Duration::from_millis(u64::from(poll.hold_ms.min(5_000)));
            loop {
                changes.mark_unchanged();
                let at_once = {
                    let rows = node.rows.borrow();
                    rows.epoch() != poll.epoch || rows.urgent() > poll.revision || poll.hold_ms < GATHER_MS
                };
                // What can wait goes out with the next few: a thousand servers come one by one.
                let gathered = came + Duration::from_millis(u64::from(GATHER_MS));
                if !at_once && node.in_force().seq <= poll.config_seq && Instant::now() < gathered.min(until)
                {
                    let _ = tokio::time::timeout_at(gathered.min(until), changes.changed()).await;
                    continue;
                }
                let delta = node.rows.borrow().since(poll.epoch, poll.revision, MOST_ROWS);
                let known = node.in_force();
                let older = has(Defect::OlderTaken) && known.seq > 0 && known.seq < poll.config_seq;
                let news = known.seq > poll.config_seq || older;
                let late = Instant::now() >= until;
                if news || !delta.is_empty() || late || delta.epoch != poll.epoch {
                    let in_touch = house.control.as_ref().is_some_and(|c| c.in_touch());
                    let config = news.then(|| node.told());
                    return Some(Reply::Told(Told { delta, config, in_touch }));
                }
                // Either news, or the end of the hold.
                let _ = tokio::time::timeout_at(until, changes.changed()).await;
            }
        }
        Call::Tell(delta) => {
            node.learn(delta);
            Some(Reply::Done)
        }
        Call::Part { part, disk, name, address, message } => {
            if let Some(control) = &house.control {
                control.heard_of(&name);
                control.heard(part, Member { disk, name, address }, &message);
            }
            None
        }
        Call::Change { part, change, patience_ms } => {
            let Some(control) = house.control.as_ref().filter(|c| c.is_member()) else {
                return Some(Reply::NotChanged("this node keeps no part of the control state".into()));
            };
            let patience = Duration::from_millis(u64::from(patience_ms.min(10_000)));
            Some(match control.change_here(part, change.0, patience).await {
                Outcome::Answered(answer) => Reply::Changed(Blob(answer)),
                Outcome::Refused(why) => Reply::NotChanged(control.explain(&why.to_string())),
                Outcome::Unknown => Reply::Unknown,
            })
        }
        Call::Prefix { key, server, store } => {
            let advice = node.index.borrow_mut().ask(Question { key, server, store }, node.now());
            let gleaner::Advice { save, held, holders, reader } = advice;
            Some(Reply::Prefix { save, held, holders: holders.into(), reader })
        }
        Call::Kept { source, void, rows } => {
            node.kept_here(source, void, &rows);
            None
        }
        Call::Wait { server, token, cost, urgency, most_ms } => {
            let wait = node.wait_here(server, token, cost, urgency, u64::from(most_ms) * 1_000_000);
            Some(Reply::Wait { ms: (wait / 1_000_000).min(u64::from(u32::MAX)) as u32 })
        }
        Call::Over { server, token, began } => {
            node.over_here(server, token, began);
            None
        }
        Call::Found { records } => {
            let taken = house.control.as_ref().is_some_and(|c| c.take_record(&records));
            Some(if taken { Reply::Done } else { Reply::No("this node can't be a founder".into()) })
        }
    }
}
