//! Checks the encoding of every record and message against the bytes that the release of 2026-12-02 wrote: stored
//! records must stay readable, and nodes of two releases exchange these messages. Each line of the fixture contains a
//! name and the bytes in hexadecimal.
use nanoserde::{DeBin, SerBin};
use sparrouter_consensus::codec::{decode, encode};
use sparrouter_consensus::lease::{Lease, LeaseAnswer, LeaseChange, LeaseHolder};
use sparrouter_consensus::message::{Outline, OutlinedMessage, RejectReason};
use sparrouter_consensus::{
    BodyReference, Chunk, Member, Message, ProposalNumber, Record, SharedVote, State, Vote, VoteId,
};
use std::fmt::{Debug, Write};

const RECORDED: &str = include_str!("recorded/messages.hex");
const MAX_BYTES: usize = 1 << 16;

fn member(disk_id: u64) -> Member {
    Member {
        disk_id,
        name: format!("n{disk_id}"),
        address: format!("10.0.0.{disk_id}:7400"),
    }
}

fn number(term: u64) -> ProposalNumber {
    ProposalNumber {
        term,
        replica: 2,
        incarnation: 0x0102_0304_0506_0708,
    }
}

fn vote_id() -> VoteId {
    VoteId {
        slot: 41,
        number: number(7),
    }
}

fn vote(previous_members: Option<Vec<Member>>) -> SharedVote {
    Vote {
        number: number(7),
        previous_members,
        state: State {
            slot: 41,
            members: vec![member(1), member(2), member(3)],
            initial_size: 3,
            recent_proposals: vec![0xa1, 0xa2],
            body: b"body".to_vec(),
        },
    }
    .into()
}

fn body() -> BodyReference {
    BodyReference::of(b"a body")
}

fn outline(message: OutlinedMessage) -> Message {
    Message::Outline(Outline {
        message,
        vote: vote(None),
        body: body(),
    })
}

/// The messages of a proposal.
fn proposal_messages() -> Vec<(&'static str, Message)> {
    let prepare = Message::Prepare {
        number: number(8),
        known: Some(vote_id()),
    };
    let promise = Message::Promise {
        number: number(8),
        accepted: Some(vote_id()),
        newer_vote: Some(vote(None)),
    };
    let accept = Message::Accept {
        vote: vote(Some(vec![member(1), member(2)])),
    };
    let accepted = Message::Accepted { vote_id: vote_id() };
    let reject = |reason| Message::Reject {
        number: number(8),
        promised: number(9),
        reason,
    };
    vec![
        ("prepare", prepare),
        ("promise", promise),
        ("accept", accept),
        ("accepted", accepted),
        ("reject-outrun", reject(RejectReason::Superseded)),
        ("reject-disk", reject(RejectReason::Disk)),
    ]
}

/// The messages of reads and anti-entropy.
fn learner_messages() -> Vec<(&'static str, Message)> {
    let query = Message::Query {
        nonce: 77,
        known: None,
    };
    let report = Message::Report {
        nonce: 77,
        promised: number(9),
        accepted: Some(vote_id()),
        newer_vote: None,
    };
    let progress = Message::Progress {
        accepted: Some(vote_id()),
        chosen_slot: Some(41),
    };
    vec![
        ("query", query),
        ("report", report),
        ("chosen", Message::Chosen { vote_id: vote_id() }),
        ("have", progress),
        ("kept", Message::Stored { chosen_slot: 41 }),
        ("learn", Message::Learn { vote: vote(None) }),
    ]
}

/// The messages of the transfer of large bodies.
fn transfer_messages() -> Vec<(&'static str, Message)> {
    let promise = OutlinedMessage::Promise { number: number(8) };
    let report = OutlinedMessage::Report {
        nonce: 77,
        promised: number(9),
    };
    let fetch_chunk = Message::FetchChunk {
        body: body(),
        offset: 32_768,
    };
    let body_chunk = Message::BodyChunk {
        body: body(),
        offset: 32_768,
        chunk: Chunk(b"a piece".to_vec()),
    };
    vec![
        ("outline-promise", outline(promise)),
        ("outline-accept", outline(OutlinedMessage::Accept)),
        ("outline-report", outline(report)),
        ("outline-learn", outline(OutlinedMessage::Learn)),
        ("fetch-body", fetch_chunk),
        ("body-piece", body_chunk),
        ("body-gone", Message::BodyUnavailable { body: body() }),
    ]
}

fn records() -> Vec<(&'static str, Record)> {
    vec![
        (
            "record-first-group",
            Record::bootstrap(vec![member(3), member(1), member(2)], b"first".to_vec()),
        ),
        (
            "record-accepted",
            Record {
                promised: number(9),
                accepted: Some(vote(Some(vec![member(1), member(2)]))),
            },
        ),
        ("record-empty", Record::default()),
    ]
}

fn leases(holder: &LeaseHolder) -> Vec<(&'static str, Lease)> {
    let lease = Lease {
        fencing_token: 12,
        holder: holder.clone().into(),
        duration: 3_000_000_000,
        takeover_wait: 4_000_000_000,
    };
    vec![("lease-held", lease), ("lease-free", Lease::default())]
}

fn lease_changes(holder: &LeaseHolder) -> Vec<(&'static str, LeaseChange)> {
    vec![
        (
            "lease-acquire",
            LeaseChange::Acquire {
                holder: holder.clone(),
                duration: 3_000_000_000,
            },
        ),
        (
            "lease-renew",
            LeaseChange::Renew {
                holder: holder.clone(),
                fencing_token: 12,
            },
        ),
        (
            "lease-release",
            LeaseChange::Release {
                holder: holder.clone(),
                fencing_token: 12,
                waited: true,
            },
        ),
    ]
}

fn lease_answers() -> Vec<(&'static str, LeaseAnswer)> {
    vec![
        (
            "lease-acquired",
            LeaseAnswer::Acquired {
                fencing_token: 13,
                takeover_wait: 4_000_000_000,
            },
        ),
        ("lease-renewed", LeaseAnswer::Renewed),
        ("lease-released", LeaseAnswer::Released),
        ("lease-refused", LeaseAnswer::Rejected { fencing_token: 13 }),
        ("lease-malformed", LeaseAnswer::Malformed),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string");
        text
    })
}

fn recorded(name: &str) -> Vec<u8> {
    let digits = RECORDED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = digits.unwrap_or_else(|| panic!("the fixture has no line `{name}`"));
    (0..digits.len())
        .step_by(2)
        .map(|index| u8::from_str_radix(&digits[index..index + 2], 16).expect("hexadecimal"))
        .collect()
}

/// Checks that each value is encoded to its recorded bytes, and that the recorded bytes are decoded to the value.
/// Returns the number of values.
fn check<T: SerBin + DeBin + PartialEq + Debug>(values: Vec<(&'static str, T)>) -> usize {
    let count = values.len();
    for (name, value) in values {
        let encoded = encode(&value);
        assert_eq!(hex(&encoded), hex(&recorded(name)), "bytes of {name}");
        let decoded: T = decode(&recorded(name), MAX_BYTES).expect(name);
        assert_eq!(decoded, value, "value of {name}");
    }
    count
}

#[test]
fn given_recorded_bytes_when_decoded_and_encoded_then_they_are_unchanged() {
    let holder = LeaseHolder {
        name: "n1".to_owned(),
        incarnation: 0x1122,
    };
    let checked = check(proposal_messages())
        + check(learner_messages())
        + check(transfer_messages())
        + check(records())
        + check(leases(&holder))
        + check(lease_changes(&holder))
        + check(lease_answers());
    assert_eq!(
        checked,
        RECORDED.lines().count(),
        "the number of checked values differs from the number of lines of the fixture"
    );
}
