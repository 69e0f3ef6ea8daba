//! Bytes of every record and message, as the release of 2026-12-02 wrote them: stored records must stay readable, and
//! nodes of two releases exchange these messages. Each line of the fixture is a name and the bytes in hexadecimal.
use nanoserde::{DeBin, SerBin};
use sparrouter_consensus::codec::{decode, encode};
use sparrouter_consensus::lease::{Lease, LeaseAnswer, LeaseChange, LeaseHolder};
use sparrouter_consensus::message::{ChunkBytes, Reason};
use sparrouter_consensus::transfer::{BodyReference, Purpose};
use sparrouter_consensus::{
    Member, Message, ProposalNumber, Record, SharedVote, State, Vote, VoteId,
};
use std::fmt::{Debug, Write};

const RECORDED: &str = include_str!("recorded/messages.hex");
const MAX_BYTES: usize = 1 << 16;

fn member(disk: u64) -> Member {
    Member {
        disk_id: disk,
        name: format!("n{disk}"),
        address: format!("10.0.0.{disk}:7400"),
    }
}

fn ballot(round: u64) -> ProposalNumber {
    ProposalNumber {
        term: round,
        replica: 2,
        incarnation: 0x0102_0304_0506_0708,
    }
}

fn vote_id() -> VoteId {
    VoteId {
        slot: 41,
        number: ballot(7),
    }
}

fn vote(before: Option<Vec<Member>>) -> SharedVote {
    Vote {
        number: ballot(7),
        previous_members: before,
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

fn messages() -> Vec<(&'static str, Message)> {
    let at = Some(vote_id());
    vec![
        (
            "prepare",
            Message::Prepare {
                ballot: ballot(8),
                known: at,
            },
        ),
        (
            "promise",
            Message::Promise {
                ballot: ballot(8),
                at,
                newer: Some(vote(None)),
            },
        ),
        (
            "accept",
            Message::Accept {
                vote: vote(Some(vec![member(1), member(2)])),
            },
        ),
        ("accepted", Message::Accepted { at: vote_id() }),
        (
            "reject-outrun",
            Message::Reject {
                ballot: ballot(8),
                promised: ballot(9),
                reason: Reason::Outrun,
            },
        ),
        (
            "reject-disk",
            Message::Reject {
                ballot: ballot(8),
                promised: ballot(9),
                reason: Reason::Disk,
            },
        ),
        (
            "query",
            Message::Query {
                nonce: 77,
                known: None,
            },
        ),
        (
            "report",
            Message::Report {
                nonce: 77,
                promised: ballot(9),
                at,
                newer: None,
            },
        ),
        ("chosen", Message::Chosen { at: vote_id() }),
        (
            "have",
            Message::Have {
                at,
                chosen: Some(41),
            },
        ),
        ("kept", Message::Stored { chosen: 41 }),
        ("learn", Message::Learn { vote: vote(None) }),
        (
            "outline-promise",
            outline(Purpose::Promise { ballot: ballot(8) }),
        ),
        ("outline-accept", outline(Purpose::Accept)),
        (
            "outline-report",
            outline(Purpose::Report {
                nonce: 77,
                promised: ballot(9),
            }),
        ),
        ("outline-learn", outline(Purpose::Learn)),
        (
            "fetch-body",
            Message::FetchBody {
                body: body(),
                offset: 32_768,
            },
        ),
        (
            "body-piece",
            Message::BodyChunk {
                body: body(),
                offset: 32_768,
                bytes: ChunkBytes(b"a piece".to_vec()),
            },
        ),
        ("body-gone", Message::BodyUnavailable { body: body() }),
    ]
}

fn outline(purpose: Purpose) -> Message {
    Message::Outline {
        purpose,
        vote: vote(None),
        body: body(),
    }
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
                promised: ballot(9),
                accepted: Some(vote(Some(vec![member(1), member(2)]))),
            },
        ),
        ("record-empty", Record::default()),
    ]
}

fn holder() -> LeaseHolder {
    LeaseHolder {
        name: "n1".to_owned(),
        incarnation: 0x1122,
    }
}

fn leases() -> Vec<(&'static str, Lease)> {
    let lease = Lease {
        fencing_token: 12,
        holder: Some(holder()),
        duration: 3_000_000_000,
        takeover_wait: 4_000_000_000,
    };
    vec![("lease-held", lease), ("lease-free", Lease::default())]
}

fn lease_changes() -> Vec<(&'static str, LeaseChange)> {
    vec![
        (
            "lease-acquire",
            LeaseChange::Acquire {
                holder: holder(),
                duration: 3_000_000_000,
            },
        ),
        (
            "lease-renew",
            LeaseChange::Renew {
                holder: holder(),
                fencing_token: 12,
            },
        ),
        (
            "lease-release",
            LeaseChange::Release {
                holder: holder(),
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
    let line = RECORDED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let digits = line.unwrap_or_else(|| panic!("the fixture has no `{name}`"));
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal"))
        .collect()
}

/// Each value is written as recorded, and what was recorded is read as that value.
fn check<T: SerBin + DeBin + PartialEq + Debug>(values: Vec<(&'static str, T)>) -> usize {
    let count = values.len();
    for (name, value) in values {
        let written = encode(&value);
        assert_eq!(hex(&written), hex(&recorded(name)), "bytes of {name}");
        let read: T = decode(&recorded(name), MAX_BYTES).expect(name);
        assert_eq!(read, value, "value of {name}");
    }
    count
}

#[test]
fn given_recorded_bytes_when_read_and_written_then_they_are_the_same() {
    let checked = check(messages())
        + check(records())
        + check(leases())
        + check(lease_changes())
        + check(lease_answers());
    assert_eq!(checked, RECORDED.lines().count(), "every line is checked");
}
