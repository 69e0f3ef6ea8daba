//! Transfer of large bodies between members: left out of messages, fetched once in chunks, checked by a digest.
//!
//! A message whose vote has a body above `Settings::max_inline_body_bytes` leaves as an `Outline`: all but the body, and
//! the body's reference. A receiver that has this body already, under whatever number or slot, fills it in. Any other
//! parks the outline and fetches the body from whoever offered it, a few chunks at a time; then the message is handled
//! as if it had only now arrived. To the protocol an outline is therefore a message that was in flight for long.
//!
//! | state of the fetch | event | next |
//! | --- | --- | --- |
//! | none | outline of an unknown body | its first chunks are requested |
//! | active | chunk | the next one is requested; after the last one the digest is checked, parked messages go on |
//! | active | no chunk in time | the missing ones are requested again, from the next member that offered the body |
//! | active | too many time-outs in a row | paused: what has arrived is kept until another body is wanted |
//! | late or paused | outline of the same body | its sender is asked, from where the fetch stopped |
//! | late or paused | outline of another body | that one is fetched |
//! | active | outline of another body | parked: the newest one is fetched next, so that no change overtakes for ever |
//! | active | the source no longer has the body | the next member that offered it, or the newest parked outline |
use crate::body::{BodyReference, Chunk};
use crate::body_cache::{BodyCache, CachedBytes};
use crate::fetch::Fetch;
use crate::message::{Message, Outgoing, Outline, OutlinedMessage, Received};
use crate::settings::Settings;
use crate::time::Nanos;
use crate::vote::{Member, SharedVote};
use std::mem::discriminant;
use std::sync::Arc;

/// Outlines that wait for a body; beyond them the oldest is dropped, as if lost on the way.
const MAX_PARKED: usize = 32;

/// Counts since the start, for tests and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferCounts {
    /// Bodies that arrived complete and matched their digest.
    pub fetched: u64,
    /// Bodies that arrived complete and did not match their digest.
    pub damaged: u64,
}

/// What a step of a transfer leads to.
#[derive(Debug, Default)]
pub(crate) struct TransferStep {
    /// Messages whose bodies are here, to be handled now.
    pub ready: Vec<Received>,
    pub sends: Vec<Outgoing>,
}

/// The bodies that one register offers and fetches.
#[derive(Clone, Debug, Default)]
pub(crate) struct Transfers {
    cache: BodyCache,
    /// Outlines whose bodies are not here, oldest first: at most `MAX_PARKED`, and one of a kind from one member, as a
    /// newer message of that kind makes the older one useless.
    parked: Vec<ParkedOutline>,
    /// At most one fetch at a time, so that a member that is behind receives each body once.
    fetch: Option<Fetch>,
    pub counts: TransferCounts,
}

#[derive(Clone, Debug)]
struct ParkedOutline {
    from: Member,
    outline: Outline,
}

impl Transfers {
    /// The message as it leaves: as it is, or without its vote's body.
    pub fn outline(&mut self, message: Message, settings: &Settings) -> Message {
        let Some((outlined, vote)) = message.carried_vote() else {
            return message;
        };
        let is_small = vote.state.body.len() <= settings.max_inline_body_bytes;
        if is_small || settings.defects.bodies_pushed {
            return message;
        }
        Message::Outline(Outline {
            message: outlined,
            body: self.cache.insert_vote(vote),
            vote: vote.with_body(Vec::new()).into(),
        })
    }

    /// An outline arrived; `accepted` is this node's newest vote.
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
        TransferStep::sends(self.want(&from, body, settings, now))
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

    /// Requests a body that a member offers, unless it or another one is being fetched.
    fn want(
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
            if fetch.is_active() && (is_same_body || !settings.defects.fetch_overtaken) {
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

    /// The answer to a request for a chunk.
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

    /// A chunk arrived.
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

    /// All chunks are here: the parked messages that the body completes, and what to fetch next.
    fn finish_fetch(
        &mut self,
        from: &Member,
        fetch: Fetch,
        settings: &Settings,
        now: Nanos,
    ) -> TransferStep {
        let body = fetch.body;
        let bytes = fetch.into_bytes();
        if BodyReference::of(&bytes) == body || settings.defects.body_unchecked {
            self.counts.fetched += 1;
            self.cache
                .insert(body, CachedBytes::Fetched(Arc::new(bytes)));
        } else {
            // Whatever damaged it, none of these bytes can be trusted. Other members that offered it are asked, or it
            // is offered again.
            self.counts.damaged += 1;
            self.parked
                .retain(|p| p.outline.body != body || p.from.disk_id != from.disk_id);
        }
        TransferStep {
            ready: self.take_ready(),
            sends: self.fetch_newest_parked(settings, now),
        }
    }

    /// Parked messages whose bodies are here.
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

    /// Fetches the body of the newest vote that waits.
    fn fetch_newest_parked(&mut self, settings: &Settings, now: Nanos) -> Vec<Outgoing> {
        let newest = self.parked.iter().max_by_key(|p| p.outline.vote.id());
        let Some((from, body)) = newest.map(|p| (p.from.clone(), p.outline.body)) else {
            return Vec::new();
        };
        let sends = self.want(&from, body, settings, now);
        if let Some(fetch) = &mut self.fetch {
            let offers = self.parked.iter().filter(|p| p.outline.body == body);
            fetch.add_earlier_offers(offers.map(|parked| parked.from.clone()));
        }
        sends
    }

    /// A member no longer has a body: what it offered is out of date.
    pub fn on_body_unavailable(
        &mut self,
        from: &Member,
        body: BodyReference,
        settings: &Settings,
        now: Nanos,
    ) -> Vec<Outgoing> {
        // By address: after a wipe the same node answers under another disk.
        self.parked
            .retain(|p| p.outline.body != body || p.from.address != from.address);
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.body == body) else {
            return Vec::new();
        };
        let sources_before = fetch.sources.len();
        fetch
            .sources
            .retain(|source| source.address != from.address);
        // Only the first of the answers to a window makes a new request: their number would grow without end.
        if fetch.sources.len() == sources_before {
            return Vec::new();
        }
        if let Some(other) = fetch.sources.first().cloned() {
            return fetch.resume(&other, settings, now);
        }
        self.fetch = None;
        self.fetch_newest_parked(settings, now)
    }

    /// When `tick` has something to do.
    pub fn next_wake(&self) -> Option<Nanos> {
        self.fetch.as_ref()?.retry_at
    }

    /// Requests chunks again that did not come in time.
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
