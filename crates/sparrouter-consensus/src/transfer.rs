//! Large bodies between members: left out of messages, fetched once in pieces, checked by a digest.
//!
//! A message whose vote has a body above `Settings::max_inline_body_bytes` leaves as an `Outline`: all but the body, and the
//! body's reference. A receiver that has this body already, under whatever ballot or slot, fills it in. Any other
//! parks the outline and fetches the body from whoever offered it, `WINDOW` pieces at a time; then the message is
//! handled as if it had only now arrived. To the protocol an outline is therefore a message that was long under way.
//!
//! | state of the fetch | event | next |
//! | --- | --- | --- |
//! | none | outline of an unknown body | pieces are asked for |
//! | asking | piece | the next piece is asked for; after the last one the digest is checked, parked messages go on |
//! | asking | no piece in time | the missing ones are asked for again, of the next member that offered the body |
//! | asking | silent too often | paused: what has arrived is kept until another body is wanted |
//! | late or paused | outline of the same body | asking its sender, from where it stopped |
//! | late or paused | outline of another body | asking for that one |
//! | asking | outline of another body | parked: the newest one is fetched next, so that no change overtakes for ever |
use crate::message::Message;
use crate::settings::Settings;
use crate::types::{Member, ProposalNumber, SharedVote, Vote};
use crate::{MILLISECOND, Nanos};
use nanoserde::{DeBin, SerBin};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Pieces of one fetch that may be under way: at 10 Mbit/s and 20 ms there and back two of 32 KiB fill the line, and
/// a small message waits behind no more than these.
const WINDOW: usize = 2;
/// Bodies kept for others to fetch, and to fill in outlines: one being fetched stays although a few newer ones came.
const MOST_HELD: usize = 4;
/// Outlines that wait for a body; the oldest goes first, as if lost on the way.
const MOST_PARKED: usize = 32;
/// Rounds of silence until a fetch is paused.
const MOST_SILENT: u32 = 5;

/// Names a body by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct BodyReference {
    /// In bytes.
    pub length: u32,
    /// SHA-256.
    pub digest: [u8; 32],
}

impl BodyReference {
    /// The reference of these bytes.
    pub fn of(body: &[u8]) -> BodyReference {
        BodyReference {
            length: body.len() as u32,
            digest: Sha256::digest(body).into(),
        }
    }
}

/// Which message an outline is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Purpose {
    /// `Message::Promise` under this ballot.
    Promise { ballot: ProposalNumber },
    /// `Message::Accept`.
    Accept,
    /// `Message::Report` to the question with this nonce.
    Report {
        nonce: u64,
        promised: ProposalNumber,
    },
    /// `Message::Learn`.
    Learn,
}

impl Purpose {
    fn message(self, vote: SharedVote) -> Message {
        let at = Some(vote.id());
        match self {
            Purpose::Promise { ballot } => Message::Promise {
                ballot,
                at,
                newer: Some(vote),
            },
            Purpose::Accept => Message::Accept { vote },
            Purpose::Report { nonce, promised } => Message::Report {
                nonce,
                promised,
                at,
                newer: Some(vote),
            },
            Purpose::Learn => Message::Learn { vote },
        }
    }

    fn same_kind(&self, other: &Purpose) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

/// The vote that a message carries, and what else it says.
fn carried(message: &Message) -> Option<(Purpose, &SharedVote)> {
    match message {
        Message::Promise {
            ballot,
            newer: Some(vote),
            ..
        } => Some((Purpose::Promise { ballot: *ballot }, vote)),
        Message::Accept { vote } => Some((Purpose::Accept, vote)),
        Message::Report {
            nonce,
            promised,
            newer: Some(vote),
            ..
        } => {
            let purpose = Purpose::Report {
                nonce: *nonce,
                promised: *promised,
            };
            Some((purpose, vote))
        }
        Message::Learn { vote } => Some((Purpose::Learn, vote)),
        _ => None,
    }
}

fn with_body(vote: &Vote, body: Vec<u8>) -> SharedVote {
    let mut state = crate::types::State {
        slot: vote.state.slot,
        members: vote.state.members.clone(),
        initial_size: vote.state.initial_size,
        recent_proposals: vote.state.recent_proposals.clone(),
        body: Vec::new(),
    };
    state.body = body;
    Vote {
        number: vote.number,
        previous_members: vote.previous_members.clone(),
        state,
    }
    .into()
}

#[derive(Clone, Debug)]
struct Held {
    body: BodyReference,
    bytes: Bytes,
}

/// Of a vote or of a fetch: neither is copied to be held.
#[derive(Clone, Debug)]
enum Bytes {
    Vote(SharedVote),
    Fetched(Arc<Vec<u8>>),
}

impl Bytes {
    fn as_slice(&self) -> &[u8] {
        match self {
            Bytes::Vote(vote) => &vote.state.body,
            Bytes::Fetched(bytes) => bytes,
        }
    }
}

#[derive(Clone, Debug)]
struct Parked {
    from: Member,
    purpose: Purpose,
    vote: SharedVote,
    body: BodyReference,
}

#[derive(Clone, Debug)]
struct Fetch {
    body: BodyReference,
    /// Members that offered it.
    sources: Vec<Member>,
    source: usize,
    /// By offset.
    pieces: BTreeMap<u32, Vec<u8>>,
    /// Offset of the first piece that was not asked for yet.
    next: u32,
    silent: u32,
    /// `None`: paused.
    retry_at: Option<Nanos>,
}

/// Counts since the start, for tests and figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferCounts {
    /// Bodies that arrived whole with the digest that was told.
    pub fetched: u64,
    /// Bodies that were not what their digest said.
    pub damaged: u64,
}

/// The bodies that one register offers and fetches.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transfers {
    /// The one used last comes last.
    held: Vec<Held>,
    parked: Vec<Parked>,
    fetch: Option<Fetch>,
    pub counts: TransferCounts,
}

/// Where to send what.
pub(crate) type Sends = Vec<(Member, Message)>;

impl Transfers {
    /// The message as it leaves: as it is, or without its vote's body.
    pub fn outline(&mut self, message: Message, settings: &Settings) -> Message {
        let Some((purpose, vote)) = carried(&message) else {
            return message;
        };
        if vote.state.body.len() <= settings.max_inline_body_bytes || settings.defects.bodies_pushed
        {
            return message;
        }
        let body = self.hold_vote(vote);
        Message::Outline {
            purpose,
            vote: with_body(vote, Vec::new()),
            body,
        }
    }

    /// Keeps a vote's body for who may want it; its reference.
    fn hold_vote(&mut self, vote: &SharedVote) -> BodyReference {
        let same = |h: &Held| match &h.bytes {
            Bytes::Vote(held) => Arc::ptr_eq(&held.0, &vote.0),
            Bytes::Fetched(_) => false,
        };
        let found = self.held.iter().position(same);
        let body = match found {
            Some(index) => self.held[index].body,
            None => BodyReference::of(&vote.state.body),
        };
        self.hold(body, Bytes::Vote(vote.clone()));
        body
    }

    fn hold(&mut self, body: BodyReference, bytes: Bytes) {
        self.held.retain(|h| h.body != body);
        self.held.push(Held { body, bytes });
        if self.held.len() > MOST_HELD {
            self.held.remove(0);
        }
    }

    fn held(&mut self, body: BodyReference) -> Option<Bytes> {
        let index = self.held.iter().position(|h| h.body == body)?;
        // Used last, it goes last.
        let held = self.held.remove(index);
        let bytes = held.bytes.clone();
        self.held.push(held);
        Some(bytes)
    }

    /// An outline arrived. The message with its body, if that is here; `newest` is this node's newest vote.
    #[expect(
        clippy::too_many_arguments,
        reason = "an outline's fields and where it came from"
    )]
    pub fn arrived(
        &mut self,
        from: Member,
        purpose: Purpose,
        vote: SharedVote,
        body: BodyReference,
        newest: Option<&SharedVote>,
        settings: &Settings,
        now: Nanos,
    ) -> (Option<Message>, Sends) {
        if body.length as usize > settings.max_body_bytes {
            return (None, Sends::new());
        }
        if let Some(newest) = newest.filter(|v| v.state.body.len() == body.length as usize) {
            self.hold_vote(newest);
        }
        if let Some(bytes) = self.held(body) {
            let vote = with_body(&vote, bytes.as_slice().to_vec());
            return (Some(purpose.message(vote)), Sends::new());
        }
        if settings.defects.promise_without_body
            && let Purpose::Promise { ballot } = purpose
        {
            let at = Some(vote.id());
            let promise = Message::Promise {
                ballot,
                at,
                newer: None,
            };
            return (Some(promise), Sends::new());
        }
        self.parked
            .retain(|p| p.from.disk_id != from.disk_id || !p.purpose.same_kind(&purpose));
        if self.parked.len() == MOST_PARKED {
            self.parked.remove(0);
        }
        self.parked.push(Parked {
            from: from.clone(),
            purpose,
            vote,
            body,
        });
        (None, self.want(from, body, settings, now))
    }

    /// Asks for a body, unless it or another one is being asked for.
    fn want(
        &mut self,
        from: Member,
        body: BodyReference,
        settings: &Settings,
        now: Nanos,
    ) -> Sends {
        match &mut self.fetch {
            Some(fetch) if fetch.body == body => {
                if fetch.sources.iter().all(|s| s.disk_id != from.disk_id) {
                    fetch.sources.push(from.clone());
                }
                if fetch.is_asking() {
                    return Sends::new();
                }
                fetch.resume(&from, settings, now)
            }
            Some(fetch) if fetch.is_asking() && !settings.defects.fetch_overtaken => Sends::new(),
            _ => {
                let mut fetch = Fetch::new(body, from.clone());
                let sends = fetch.resume(&from, settings, now);
                self.fetch = Some(fetch);
                sends
            }
        }
    }

    /// Another node asks for a piece.
    pub fn asked(&mut self, body: BodyReference, offset: u32, settings: &Settings) -> Message {
        let Some(held) = self.held(body) else {
            return Message::BodyUnavailable { body };
        };
        let bytes = held.as_slice();
        let start = (offset as usize).min(bytes.len());
        let end = start.saturating_add(settings.chunk_bytes).min(bytes.len());
        Message::BodyChunk {
            body,
            offset,
            bytes: bytes[start..end].into(),
        }
    }

    /// A piece arrived. Messages that waited for the body, if this was the last one, and what to ask for next.
    pub fn piece(
        &mut self,
        from: &Member,
        body: BodyReference,
        offset: u32,
        bytes: Vec<u8>,
        settings: &Settings,
        now: Nanos,
    ) -> (Sends, Sends) {
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.body == body) else {
            return Default::default();
        };
        if !fetch.fits(offset, bytes.len(), settings) {
            return Default::default();
        }
        let news = fetch.pieces.insert(offset, bytes).is_none();
        fetch.silent = 0;
        if fetch.received() < body.length as usize {
            let sends = if news {
                fetch.ask_next(from, 1, settings, now)
            } else {
                Sends::new()
            };
            return (Sends::new(), sends);
        }
        let whole: Vec<u8> = std::mem::take(&mut fetch.pieces)
            .into_values()
            .flatten()
            .collect();
        self.fetch = None;
        if BodyReference::of(&whole) == body || settings.defects.body_unchecked {
            self.counts.fetched += 1;
            self.hold(body, Bytes::Fetched(Arc::new(whole)));
        } else {
            // Whatever garbled it, none of these bytes can be trusted. Others that offered it are asked, or it is
            // offered again.
            self.counts.damaged += 1;
            self.parked
                .retain(|p| p.body != body || p.from.disk_id != from.disk_id);
        }
        let ready = self.take_ready();
        (ready, self.fetch_next(settings, now))
    }

    /// Parked messages whose bodies are here.
    fn take_ready(&mut self) -> Sends {
        let held = &self.held;
        let find = |body| held.iter().find(|h| h.body == body).map(|h| &h.bytes);
        let ready = self.parked.extract_if(.., |p| find(p.body).is_some());
        let whole = ready.filter_map(|p| {
            let vote = with_body(&p.vote, find(p.body)?.as_slice().to_vec());
            Some((p.from, p.purpose.message(vote)))
        });
        whole.collect()
    }

    /// Begins with the newest vote that waits.
    fn fetch_next(&mut self, settings: &Settings, now: Nanos) -> Sends {
        let newest = self.parked.iter().max_by_key(|p| p.vote.id());
        let Some((from, body)) = newest.map(|p| (p.from.clone(), p.body)) else {
            return Sends::new();
        };
        let offers = self.parked.iter().filter(|p| p.body == body);
        let sources: Vec<Member> = offers.map(|p| p.from.clone()).collect();
        let sends = self.want(from, body, settings, now);
        if let Some(fetch) = &mut self.fetch {
            let first = fetch.sources[0].disk_id;
            let others = sources.into_iter().filter(|s| s.disk_id != first);
            fetch.sources.extend(others);
        }
        sends
    }

    /// A member has a body no more: what it offered is out of date.
    pub fn gone(
        &mut self,
        from: &Member,
        body: BodyReference,
        settings: &Settings,
        now: Nanos,
    ) -> Sends {
        // By address: after a wipe the same node answers under another disk.
        self.parked
            .retain(|p| p.body != body || p.from.address != from.address);
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.body == body) else {
            return Sends::new();
        };
        let offered = fetch.sources.len();
        fetch.sources.retain(|s| s.address != from.address);
        // One answer asks on, not each of those to a whole window: their number would grow without end.
        if fetch.sources.len() == offered {
            return Sends::new();
        }
        if let Some(other) = fetch.sources.first().cloned() {
            return fetch.resume(&other, settings, now);
        }
        self.fetch = None;
        self.fetch_next(settings, now)
    }

    /// When `tick` has something to do.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.fetch.as_ref()?.retry_at
    }

    /// Asks again for pieces that did not come.
    pub fn tick(&mut self, settings: &Settings, now: Nanos) -> Sends {
        let Some(fetch) = &mut self.fetch else {
            return Sends::new();
        };
        if fetch.retry_at.is_none_or(|at| at > now) {
            return Sends::new();
        }
        fetch.silent += 1;
        if settings.defects.fetch_from_start {
            fetch.pieces.clear();
        }
        if fetch.silent < MOST_SILENT {
            fetch.source = (fetch.source + 1) % fetch.sources.len().max(1);
            let source = fetch.sources[fetch.source].clone();
            return fetch.resume(&source, settings, now);
        }
        fetch.retry_at = None;
        let body = fetch.body;
        self.parked.retain(|p| p.body != body);
        self.fetch_next(settings, now)
    }
}

impl Fetch {
    fn new(body: BodyReference, source: Member) -> Fetch {
        Fetch {
            body,
            sources: vec![source],
            source: 0,
            pieces: BTreeMap::new(),
            next: 0,
            silent: 0,
            retry_at: None,
        }
    }

    /// Whether pieces may be on their way. Once they were late, whoever offers a body anew is there for certain, and
    /// is asked at once.
    fn is_asking(&self) -> bool {
        self.retry_at.is_some() && self.silent == 0
    }

    fn received(&self) -> usize {
        self.pieces.values().map(Vec::len).sum()
    }

    /// Whether this is one of the pieces that the body is cut into.
    fn fits(&self, offset: u32, length: usize, settings: &Settings) -> bool {
        let left = (self.body.length as usize).saturating_sub(offset as usize);
        (offset as usize).is_multiple_of(settings.chunk_bytes)
            && left > 0
            && length == left.min(settings.chunk_bytes)
    }

    /// Asks for the first missing pieces.
    fn resume(&mut self, of: &Member, settings: &Settings, now: Nanos) -> Sends {
        self.next = 0;
        self.ask_next(of, WINDOW, settings, now)
    }

    fn ask_next(&mut self, of: &Member, count: usize, settings: &Settings, now: Nanos) -> Sends {
        let patience = (2 * settings.exchange_interval).max(MILLISECOND) << self.silent.min(2);
        self.retry_at = Some(now + patience);
        let mut sends = Sends::new();
        while sends.len() < count && self.next < self.body.length {
            let offset = self.next;
            self.next = offset.saturating_add(settings.chunk_bytes as u32);
            if !self.pieces.contains_key(&offset) {
                let ask = Message::FetchBody {
                    body: self.body,
                    offset,
                };
                sends.push((of.clone(), ask));
            }
        }
        sends
    }
}
