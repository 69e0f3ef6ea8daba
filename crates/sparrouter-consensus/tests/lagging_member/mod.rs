//! A single member that is behind. The test acts as the other members: it offers states and answers requests for
//! chunks.
use super::narrow_links::Counter;
use sparrouter_consensus::message::{Outline, OutlinedMessage};
use sparrouter_consensus::{
    Action, BodyReference, Chunk, Defects, Member, Message, ProposalNumber, Record, Register,
    Settings,
};

/// Length of a body in bytes.
pub const BODY_BYTES: usize = 120_000;
/// Length of a chunk in bytes.
pub const CHUNK_BYTES: usize = 8 << 10;

/// Settings with short chunks.
pub fn settings(defects: Defects) -> Settings {
    Settings {
        chunk_bytes: CHUNK_BYTES,
        defects,
        ..Settings::default()
    }
}

/// The member of the group with this disk id.
pub fn member(disk_id: u64) -> Member {
    Member {
        disk_id,
        name: format!("node-{disk_id}"),
        address: format!("10.0.0.{disk_id}:8689"),
    }
}

/// A register, and the outlines of two votes that are newer than its own: first the older, then the newer of the two.
pub struct LaggingMember {
    pub register: Register<Counter>,
    pub bodies: [Vec<u8>; 2],
    pub outlines: [Message; 2],
}

impl LaggingMember {
    /// Creates a member of a group of three, with the initial state on disk.
    pub fn new(defects: Defects) -> LaggingMember {
        let members: Vec<Member> = (1..=3).map(member).collect();
        let record = Record::bootstrap(members, vec![0; BODY_BYTES]);
        let bodies = [1u8, 2].map(|fill| vec![fill; BODY_BYTES]);
        let outline = |slot: u64, body: &[u8]| {
            let mut vote = record
                .accepted
                .as_ref()
                .expect("the initial vote")
                .0
                .as_ref()
                .clone();
            vote.state.slot = slot;
            vote.state.recent_proposals = vec![slot];
            vote.number.term = slot;
            vote.state.body = Vec::new();
            Message::Outline(Outline {
                message: OutlinedMessage::Learn,
                vote: vote.into(),
                body: BodyReference::of(body),
            })
        };
        let outlines = [outline(5, &bodies[0]), outline(9, &bodies[1])];
        let register = Register::new(
            0,
            member(1),
            Some(&record.encode()),
            Counter,
            fastrand::Rng::with_seed(1),
            settings(defects),
            0,
        );
        LaggingMember {
            register: register.expect("a valid record"),
            bodies,
            outlines,
        }
    }

    /// Completes the register's stores and returns the proposal number that it prepares.
    pub fn prepare_and_store(&mut self) -> ProposalNumber {
        let mut prepared = None;
        for action in self.register.take_actions() {
            match action {
                Action::Send {
                    message: Message::Prepare { number, .. },
                    ..
                } => prepared = Some(number),
                Action::Store { token, .. } => self.register.stored(token, true, 1),
                _ => {}
            }
        }
        prepared.expect("a Prepare message")
    }

    /// Answers the register's requests for chunks, modified by `damage`, until there are no more. Returns the number of
    /// chunks.
    pub fn serve(&mut self, damage: impl Fn(&mut Vec<u8>)) -> usize {
        let mut served = 0;
        for _ in 0..1_000 {
            let actions = self.register.take_actions();
            let served_before = served;
            for action in actions {
                let Action::Send {
                    to,
                    message: Message::FetchChunk { body, offset },
                } = action
                else {
                    continue;
                };
                let offered = self.bodies.iter().find(|b| BodyReference::of(b) == body);
                let offered = offered.expect("an offered body");
                let mut message = chunk_of(offered, body, offset);
                if let Message::BodyChunk { chunk, .. } = &mut message {
                    damage(&mut chunk.0);
                }
                self.register.handle(to, message, 1);
                served += 1;
            }
            if served == served_before {
                break;
            }
        }
        served
    }

    /// The newest slot that the member knows to be chosen.
    pub fn slot(&self) -> Option<u64> {
        self.register.chosen().map(|state| state.slot)
    }
}

/// The slot of the vote that this action proposes; `None` if the action is no `Accept`.
pub fn proposed_slot(action: &Action) -> Option<u64> {
    let Action::Send { message, .. } = action else {
        return None;
    };
    match message {
        Message::Accept { vote } => Some(vote.state.slot),
        Message::Outline(outline) if outline.message == OutlinedMessage::Accept => {
            Some(outline.vote.state.slot)
        }
        _ => None,
    }
}

/// The body and offset of the chunk that this action requests; `None` if the action is no `FetchChunk`.
pub fn fetched(action: &Action) -> Option<(BodyReference, u32)> {
    match action {
        Action::Send {
            message: Message::FetchChunk { body, offset },
            ..
        } => Some((*body, *offset)),
        _ => None,
    }
}

/// The chunk of `bytes` at `offset`.
pub fn chunk_of(bytes: &[u8], body: BodyReference, offset: u32) -> Message {
    let start = offset as usize;
    let end = (start + CHUNK_BYTES).min(bytes.len());
    Message::BodyChunk {
        body,
        offset,
        chunk: Chunk(bytes[start..end].to_vec()),
    }
}
