//! Messages in few words, for the traces of breaches.
use sparrouter_consensus::{Message, VoteId};

pub fn summary(message: &Message) -> String {
    match message {
        Message::Accept { vote } => {
            let disks: Vec<u64> = vote.state.members.iter().map(|m| m.disk_id).collect();
            let body = String::from_utf8_lossy(&vote.state.body);
            format!("Accept {} {body:?} {disks:?}", place(&vote.id()))
        }
        Message::Accepted { at } => format!("Accepted {}", place(at)),
        Message::Learn { vote } => format!("Learn {}", place(&vote.id())),
        Message::Chosen { at } => format!("Chosen {}", place(at)),
        Message::Prepare { ballot, .. } => format!("Prepare {}.{}", ballot.term, ballot.replica),
        Message::Promise { ballot, at, .. } => {
            let at = at.as_ref().map(place);
            format!("Promise {}.{} holding {at:?}", ballot.term, ballot.replica)
        }
        Message::Reject {
            ballot, promised, ..
        } => format!(
            "Reject {}.{}, promised {}.{}",
            ballot.term, ballot.replica, promised.term, promised.replica
        ),
        Message::Query { .. } => "Query".to_owned(),
        Message::Report { at, .. } => format!("Report {:?}", at.as_ref().map(place)),
        other => format!("{other:?}"),
    }
}

fn place(at: &VoteId) -> String {
    format!(
        "slot {} ballot {}.{}",
        at.slot, at.number.term, at.number.replica
    )
}
