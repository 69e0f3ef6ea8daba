//! Transfer of large bodies between members: bodies are left out of messages, fetched once in chunks, and checked
//! against a digest.
//!
//! A message whose vote has a body above `Settings::max_inline_body_bytes` is sent as an `Outline`, which contains the
//! body's reference instead of the body. A receiver that already has the body, from a vote with any number and slot,
//! completes the message. Any other receiver parks the outline and fetches the body in chunks from the members that
//! offered it; it handles the message once the body has arrived. To the protocol, a parked outline is therefore a
//! message with a long network delay.
//!
//! | state of the fetch | event | action |
//! | --- | --- | --- |
//! | none | outline of an unknown body | requests the first chunks of the body |
//! | active | chunk | requests the next chunk; after the last chunk, checks the digest and delivers the parked messages |
//! | active | time-out of the requested chunks | requests the missing chunks from the next member that offered the body |
//! | active | too many consecutive time-outs | pauses the fetch; keeps the received chunks until another body is fetched |
//! | delayed or paused | outline of the same body | requests the missing chunks from the sender |
//! | delayed or paused | outline of another body | fetches the other body instead |
//! | active | outline of another body | parks the outline; the newest parked body is fetched next, so that frequent changes can't starve a fetch |
//! | active | the source no longer has the body | asks the next member that offered it, or fetches the newest parked body |
use crate::body::{BodyReference, Chunk};
use crate::body_cache::{BodyCache, CachedBytes};
use crate::fetch::Fetch;
use crate::message::{Message, Outgoing, Outline, OutlinedMessage, Received};
use crate::settings::Settings;
use crate::time::Nanos;
use crate::vote::{Member, SharedVote};
use std::mem::discriminant;
use std::sync::Arc;

/// Maximum number of parked outlines; beyond it the oldest one is dropped, as if the network had lost it.
const MAX_PARKED: usize = 32;

/// Counts of fetched bodies since the start of the register, for tests and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferCounts {
    /// Number of completely received bodies that matched their digest.
    pub fetched: u64,
    /// Number of completely received bodies that did not match their digest.
    pub damaged: u64,
}

/// The result of an event of a transfer.
#[derive(Debug, Default)]
pub(crate) struct TransferStep {
    /// Messages whose bodies have arrived, which are to be handled now.
    pub ready: Vec<Received>,
    pub sends: Vec<Outgoing>,
}

/// The bodies that one register offers and fetches.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transfers {
    cache: BodyCache,
    /// Outlines whose bodies have not arrived, oldest first: at most `MAX_PARKED`, and at most one of each kind from
    /// each member, because a newer message of a kind supersedes the older one.
    parked: Vec<ParkedOutline>,
    /// The fetch in progress or paused. There is at most one, so that a member that is behind receives each body once.
    fetch: Option<Fetch>,
    pub counts: TransferCounts,
}

#[derive(Clone, Debug)]
struct ParkedOutline {
    from: Member,
    outline: Outline,
}

impl Transfers {
    /// The message to send: unchanged if it carries no large body, otherwise an outline.
    pub fn outline(&mut self, message: Message, settings: &Settings) -> Message {
        let Some((outlined, vote)) = message.carried_vote() else {
            return message;
        };
        let is_small = vote.state.body.len() <= settings.max_inline_body_bytes;
        if is_small || settings.defects.always_inline_bodies {
            return message;
        }
        Message::Outline(Outline {
            message: outlined,
            body: self.cache.insert_vote(vote),
            vote: vote.with_body(Vec::new()).into(),
        })
    }

    /// Handles a received outline. `accepted` is this node's newest vote.
    pub fn on_outline(
        &mut self,
        from: Member,
        outline: Outline,
        accepted: Option<&SharedVote>,
        settings: &Settings,
        now: Nanos,
    ) -> TransferStep {
        let body = outline.body;
        if body.length as usize > settings.max_body_bytes {
            return TransferStep::default();
        }
        if let Some(accepted) = accepted.filter(|v| v.state.body.len() == body.length as usize) {
            self.cache.insert_vote(accepted);
        }
        if let Some(bytes) = self.cache.get(body) {
            let message = outline.complete(bytes.as_slice());
            return TransferStep::ready(from, message);
        }
        if settings.defects.promise_without_body
            && let OutlinedMessage::Promise { number } = outline.message
        {
            let message = Message::Promise {
                number,
                accepted: Some(outline.vote.id()),
                newer_vote: None,
            };
            return TransferStep::ready(from, message);
        }
        self.park(from.clone(), outline);
        TransferStep::sends(self.request_body(&from, body, settings, now))
    }

    fn park(&mut self, from: Member, outline: Outline) {
        let kind = discriminant(&outline.message);
        self.parked.retain(|parked| {
            parked.from.disk_id != from.disk_id || discriminant(&parked.outline.message) != kind
        });
        if self.parked.len() == MAX_PARKED {
            self.parked.remove(0);
        }
        self.parked.push(ParkedOutline { from, outline });
    }

    /// Requests a body that a member offers, unless a fetch of this or another body is active.
    fn request_body(
        &mut self,
        from: &Member,
        body: BodyReference,
        settings: &Settings,
        now: Nanos,
    ) -> Vec<Outgoing> {
        if let Some(fetch) = &mut self.fetch {
            let is_same_body = fetch.body == body;
            if is_same_body {
                fetch.add_source(from.clone());
            }
            if fetch.is_active() && (is_same_body || !settings.defects.abandon_active_fetch) {
                return Vec::new();
            }
            if is_same_body {
                return fetch.resume(from, settings, now);
            }
        }
        let mut fetch = Fetch::new(body, from.clone());
        let sends = fetch.resume(from, settings, now);
        self.fetch = Some(fetch);
        sends
    }

    /// Answers a request for a chunk.
    pub fn on_fetch_chunk(
        &mut self,
        body: BodyReference,
        offset: u32,
        settings: &Settings,
    ) -> Message {
        let Some(cached) = self.cache.get(body) else {
            return Message::BodyUnavailable { body };
        };
        let bytes = cached.as_slice();
        let start = (offset as usize).min(bytes.len());
        let end = start.saturating_add(settings.chunk_bytes).min(bytes.len());
        Message::BodyChunk {
            body,
            offset,
            chunk: bytes[start..end].into(),
        }
    }

    /// Handles a received chunk.
    pub fn on_chunk(
        &mut self,
        from: &Member,
        body: BodyReference,
        offset: u32,
        chunk: Chunk,
        settings: &Settings,
        now: Nanos,
    ) -> TransferStep {
        let Some(mut fetch) = self.fetch.take_if(|fetch| fetch.body == body) else {
            return TransferStep::default();
        };
        let mut sends = Vec::new();
        if fetch.is_chunk(offset, chunk.0.len(), settings) {
            let was_missing = fetch.add_chunk(offset, chunk.0);
            if fetch.is_complete() {
                return self.finish_fetch(from, fetch, settings, now);
            }
            if was_missing {
                sends = fetch.request_next(from, settings, now);
            }
        }
        self.fetch = Some(fetch);
        TransferStep::sends(sends)
    }

    /// Handles a fetch whose chunks have all arrived. Returns the parked messages that the body completes, and the
    /// requests for the next body.
    fn finish_fetch(
        &mut self,
        from: &Member,
        fetch: Fetch,
        settings: &Settings,
        now: Nanos,
    ) -> TransferStep {
        let body = fetch.body;
        let bytes = fetch.into_bytes();
        if BodyReference::of(&bytes) == body || settings.defects.skip_digest_check {
            self.counts.fetched += 1;
            self.cache
                .insert(body, CachedBytes::Fetched(Arc::new(bytes)));
        } else {
            // All chunks are discarded, because any of them may be damaged. The body is fetched from another member
            // that offered it, or when it is offered again.
            self.counts.damaged += 1;
            self.parked
                .retain(|p| p.outline.body != body || p.from.disk_id != from.disk_id);
        }
        TransferStep {
            ready: self.take_ready(),
            sends: self.fetch_newest_parked(settings, now),
        }
    }

    /// Removes the parked outlines whose bodies have arrived, and returns the completed messages.
    fn take_ready(&mut self) -> Vec<Received> {
        let cache = &self.cache;
        self.parked
            .extract_if(.., |parked| cache.peek(parked.outline.body).is_some())
            .filter_map(|parked| {
                let bytes = cache.peek(parked.outline.body)?;
                Some(Received {
                    from: parked.from,
                    message: parked.outline.complete(bytes.as_slice()),
                })
            })
            .collect()
    }

    /// Requests the body of the newest parked vote.
    fn fetch_newest_parked(&mut self, settings: &Settings, now: Nanos) -> Vec<Outgoing> {
        let newest = self.parked.iter().max_by_key(|p| p.outline.vote.id());
        let Some((from, body)) = newest.map(|p| (p.from.clone(), p.outline.body)) else {
            return Vec::new();
        };
        let sends = self.request_body(&from, body, settings, now);
        if let Some(fetch) = &mut self.fetch {
            let offers = self.parked.iter().filter(|p| p.outline.body == body);
            fetch.add_earlier_offers(offers.map(|parked| parked.from.clone()));
        }
        sends
    }

    /// Handles a member's answer that it no longer has a body: its offers of that body are out of date.
    pub fn on_body_unavailable(
        &mut self,
        from: &Member,
        body: BodyReference,
        settings: &Settings,
        now: Nanos,
    ) -> Vec<Outgoing> {
        // Offers are matched by address, because after a wipe the same node answers with another disk id.
        self.parked
            .retain(|p| p.outline.body != body || p.from.address != from.address);
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.body == body) else {
            return Vec::new();
        };
        let sources_before = fetch.sources.len();
        fetch
            .sources
            .retain(|source| source.address != from.address);
        // Only the first such answer of a source starts new requests. If the answer to every outstanding chunk did, the
        // number of requests would grow without bound.
        if fetch.sources.len() == sources_before {
            return Vec::new();
        }
        if let Some(next_source) = fetch.sources.first().cloned() {
            return fetch.resume(&next_source, settings, now);
        }
        self.fetch = None;
        self.fetch_newest_parked(settings, now)
    }

    /// When `tick` has to be called next; `None` if no chunk is awaited.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.fetch.as_ref()?.retry_at
    }

    /// Requests the missing chunks again if their time-out has expired.
    pub fn tick(&mut self, settings: &Settings, now: Nanos) -> Vec<Outgoing> {
        let Some(fetch) = self
            .fetch
            .as_mut()
            .filter(|fetch| fetch.retry_at.is_some_and(|retry_at| retry_at <= now))
        else {
            return Vec::new();
        };
        if let Some(sends) = fetch.on_timeout(settings, now) {
            return sends;
        }
        let body = fetch.body;
        self.parked.retain(|p| p.outline.body != body);
        self.fetch_newest_parked(settings, now)
    }
}

impl TransferStep {
    fn ready(from: Member, message: Message) -> TransferStep {
        TransferStep {
            ready: vec![Received { from, message }],
            sends: Vec::new(),
        }
    }

    fn sends(sends: Vec<Outgoing>) -> TransferStep {
        TransferStep {
            ready: Vec::new(),
            sends,
        }
    }
}
