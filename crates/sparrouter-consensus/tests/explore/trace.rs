//! Short summaries of messages, for the traces of violations.
use sparrouter_consensus::{Message, ProposalNumber, VoteId};

/// A summary of a message in one line.
pub fn summary(message: &Message) -> String {
    match message {
        Message::Accept { vote } => {
            let disks: Vec<u64> = vote.state.members.iter().map(|m| m.disk_id).collect();
            let body = String::from_utf8_lossy(&vote.state.body);
            format!("Accept {} {body:?} {disks:?}", vote_label(&vote.id()))
        }
        Message::Accepted { vote_id } => format!("Accepted {}", vote_label(vote_id)),
        Message::Learn { vote } => format!("Learn {}", vote_label(&vote.id())),
        Message::Chosen { vote_id } => format!("Chosen {}", vote_label(vote_id)),
        Message::Prepare { number, .. } => format!("Prepare {}", number_label(number)),
        Message::Promise {
            number, accepted, ..
        } => {
            let accepted = accepted.as_ref().map(vote_label);
            format!("Promise {}, accepted {accepted:?}", number_label(number))
        }
        Message::Reject {
            number, promised, ..
        } => format!(
            "Reject {}, promised {}",
            number_label(number),
            number_label(promised)
        ),
        Message::Query { .. } => "Query".to_owned(),
        Message::Report { accepted, .. } => {
            format!("Report {:?}", accepted.as_ref().map(vote_label))
        }
        other => format!("{other:?}"),
    }
}

fn vote_label(vote_id: &VoteId) -> String {
    format!(
        "slot {} number {}",
        vote_id.slot,
        number_label(&vote_id.number)
    )
}

fn number_label(number: &ProposalNumber) -> String {
    format!("{}.{}", number.term, number.replica)
}
