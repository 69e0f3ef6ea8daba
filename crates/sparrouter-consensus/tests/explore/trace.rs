//! Messages in few words, for the traces of breaches.
use sparrouter_consensus::{Message, VoteId};

pub fn summary(message: &Message) -> String {
    match message {
        Message::Accept { vote } => {
            let disks: Vec<u64> = vote.state.members.iter().map(|m| m.disk).collect();
            let body = String::from_utf8_lossy(&vote.state.body);
            format!("Accept {} {body:?} {disks:?}", place(&vote.at()))
        }
        Message::Accepted { at } => format!("Accepted {}", place(at)),
        Message::Learn { vote } => format!("Learn {}", place(&vote.at())),
        Message::Chosen { at } => format!("Chosen {}", place(at)),
        Message::Prepare { ballot, .. } => format!("Prepare {}.{}", ballot.round, ballot.disk),
        Message::Promise { ballot, at, .. } => {
            let at = at.as_ref().map(place);
            format!("Promise {}.{} holding {at:?}", ballot.round, ballot.disk)
        }
        Message::Reject {
            ballot, promised, ..
        } => format!(
            "Reject {}.{}, promised {}.{}",
            ballot.round, ballot.disk, promised.round, promised.disk
        ),
        Message::Query { .. } => "Query".to_owned(),
        Message::Report { at, .. } => format!("Report {:?}", at.as_ref().map(place)),
        other => format!("{other:?}"),
    }
}

fn place(at: &VoteId) -> String {
    format!(
        "slot {} ballot {}.{}",
        at.seq, at.ballot.round, at.ballot.disk
    )
}
