//! The fetch of one body in chunks from the members that offered it.
use crate::body::BodyReference;
use crate::message::{Message, Outgoing};
use crate::settings::Settings;
use crate::time::{MILLISECOND, Nanos};
use crate::vote::{Member, contains_disk};
use std::collections::BTreeMap;

/// Maximum number of chunks of one fetch in flight. Two chunks of 32 KiB fill a link of 10 Mbit/s with a round trip of
/// 20 ms, and a small message waits behind at most these chunks.
const MAX_CHUNKS_IN_FLIGHT: usize = 2;
/// Number of consecutive time-outs after which a fetch is paused.
const MAX_TIMEOUTS: u32 = 5;

/// A fetch of one body. The fetch is active, delayed (a request timed out and no chunk has arrived since) or paused
/// (after `MAX_TIMEOUTS` consecutive time-outs).
#[derive(Clone, Debug)]
pub(crate) struct Fetch {
    pub body: BodyReference,
    /// The members that offered the body, each once; not empty.
    pub sources: Vec<Member>,
    /// Index in `sources` of the member that was asked after the last time-out.
    current_source: usize,
    /// The received chunks by offset. Only valid chunks of the body are added, so that their total length never exceeds
    /// the body's length.
    chunks: BTreeMap<u32, Vec<u8>>,
    /// Offset of the first chunk that was not requested since the fetch was last resumed.
    next_offset: u32,
    /// Number of time-outs since the last received chunk.
    timeouts: u32,
    /// When the missing chunks are requested again; `None` if the fetch is paused.
    pub retry_at: Option<Nanos>,
}

impl Fetch {
    /// Creates a fetch that has not requested any chunk yet.
    pub fn new(body: BodyReference, source: Member) -> Fetch {
        Fetch {
            body,
            sources: vec![source],
            current_source: 0,
            chunks: BTreeMap::new(),
            next_offset: 0,
            timeouts: 0,
            retry_at: None,
        }
    }

    /// Adds a member that offers the body.
    pub fn add_source(&mut self, member: Member) {
        if !contains_disk(&self.sources, member.disk_id) {
            self.sources.push(member);
        }
    }

    /// Adds the members that offered the body before the fetch began.
    pub fn add_earlier_offers(&mut self, offers: impl Iterator<Item = Member>) {
        for member in offers {
            self.add_source(member);
        }
    }

    /// Whether the fetch is active: it is not paused, and no request timed out since the last received chunk. While the
    /// fetch is delayed or paused, a member that offers a body is asked at once, because that member is reachable.
    pub fn is_active(&self) -> bool {
        self.retry_at.is_some() && self.timeouts == 0
    }

    /// Whether a chunk of this length at this offset is one of the chunks that the body is split into.
    pub fn is_chunk(&self, offset: u32, length: usize, settings: &Settings) -> bool {
        let offset = offset as usize;
        let remaining = (self.body.length as usize).saturating_sub(offset);
        offset.is_multiple_of(settings.chunk_bytes)
            && remaining > 0
            && length == remaining.min(settings.chunk_bytes)
    }

    /// Adds a chunk. Returns whether the chunk was missing.
    pub fn add_chunk(&mut self, offset: u32, bytes: Vec<u8>) -> bool {
        self.timeouts = 0;
        self.chunks.insert(offset, bytes).is_none()
    }

    /// Whether all chunks have arrived.
    pub fn is_complete(&self) -> bool {
        let received: usize = self.chunks.values().map(Vec::len).sum();
        received >= self.body.length as usize
    }

    /// The body, assembled from its chunks; call this once the fetch is complete.
    pub fn into_bytes(self) -> Vec<u8> {
        self.chunks.into_values().flatten().collect()
    }

    /// Requests the first missing chunks.
    pub fn resume(&mut self, source: &Member, settings: &Settings, now: Nanos) -> Vec<Outgoing> {
        self.next_offset = 0;
        self.request_chunks(source, MAX_CHUNKS_IN_FLIGHT, settings, now)
    }

    /// Requests the next missing chunk.
    pub fn request_next(
        &mut self,
        source: &Member,
        settings: &Settings,
        now: Nanos,
    ) -> Vec<Outgoing> {
        self.request_chunks(source, 1, settings, now)
    }

    fn request_chunks(
        &mut self,
        source: &Member,
        count: usize,
        settings: &Settings,
        now: Nanos,
    ) -> Vec<Outgoing> {
        let timeout = (2 * settings.anti_entropy_interval).max(MILLISECOND);
        self.retry_at = Some(now + (timeout << self.timeouts.min(2)));
        let mut sends = Vec::new();
        while sends.len() < count && self.next_offset < self.body.length {
            let offset = self.next_offset;
            self.next_offset = offset.saturating_add(settings.chunk_bytes as u32);
            if !self.chunks.contains_key(&offset) {
                let message = Message::FetchChunk {
                    body: self.body,
                    offset,
                };
                sends.push(Outgoing {
                    to: source.clone(),
                    message,
                });
            }
        }
        sends
    }

    /// Handles a time-out: requests the missing chunks from the next source, or after `MAX_TIMEOUTS` consecutive
    /// time-outs pauses the fetch and returns `None`.
    pub fn on_timeout(&mut self, settings: &Settings, now: Nanos) -> Option<Vec<Outgoing>> {
        self.timeouts += 1;
        if settings.defects.fetch_from_start {
            self.chunks.clear();
        }
        if self.timeouts >= MAX_TIMEOUTS {
            self.retry_at = None;
            return None;
        }
        self.current_source = (self.current_source + 1) % self.sources.len().max(1);
        let source = self.sources[self.current_source].clone();
        Some(self.resume(&source, settings, now))
    }
}
