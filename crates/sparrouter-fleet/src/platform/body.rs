//! Bodies of requests, in segments of bounded size: a body that grows is never copied, and its segments fit where those
//! of an earlier body were.
use super::memory::{MemoryExhausted, Reservation};
use bytes::{Bytes, BytesMut};
use std::borrow::Cow;

/// Smallest capacity of a segment, in bytes, unless less is missing of the body.
const MIN_SEGMENT_BYTES: usize = 4 << 10;
/// Largest capacity of a segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// A complete body.
#[derive(Clone, Debug, Default)]
pub struct Body {
    segments: Vec<Bytes>,
    length: usize,
}

impl Body {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The bytes in order, in parts.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// The bytes as one slice; a body of more than one segment is copied.
    pub fn contiguous(&self) -> Cow<'_, [u8]> {
        match &self.segments[..] {
            [] => Cow::Borrowed(&[]),
            [only] => Cow::Borrowed(only),
            segments => Cow::Owned(segments.concat()),
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Body {
        Body {
            length: bytes.len(),
            segments: vec![bytes],
        }
    }
}

/// A body that is being received. Memory is reserved for each segment before it is allocated.
#[derive(Default)]
pub(super) struct BodyBuilder {
    full: Vec<Bytes>,
    current: BytesMut,
    /// Length of `full` and `current` together.
    length: usize,
}

impl BodyBuilder {
    /// Length of the received part in bytes.
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Provides free capacity in the current segment and returns it, with the number of bytes that it may receive. The
    /// capacity doubles with the received bytes, so that a body which is only announced takes little. `missing_bytes`: most
    /// bytes that the body may still have, at least 1.
    ///
    /// # Errors
    ///
    /// [`MemoryExhausted`] if no memory is available for a further segment.
    pub(super) async fn spare(
        &mut self,
        missing_bytes: usize,
        reservation: &mut Reservation,
    ) -> Result<(&mut BytesMut, usize), MemoryExhausted> {
        if self.current.capacity() == self.current.len() {
            let doubled = self.length.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
            let capacity = doubled.min(missing_bytes);
            reservation.grow(capacity).await?;
            let full = std::mem::replace(&mut self.current, BytesMut::with_capacity(capacity));
            if !full.is_empty() {
                self.full.push(full.freeze());
            }
        }
        let spare_bytes = self.current.capacity() - self.current.len();
        Ok((&mut self.current, spare_bytes.min(missing_bytes)))
    }

    /// Records that bytes were appended to the segment that [`BodyBuilder::spare`] returned.
    pub(super) fn record_received(&mut self, bytes: usize) {
        self.length += bytes;
    }

    /// Appends a copy of `data`, which has at most `missing_bytes`.
    ///
    /// # Errors
    ///
    /// [`MemoryExhausted`] if no memory is available for a further segment.
    pub(super) async fn push(
        &mut self,
        mut data: &[u8],
        missing_bytes: usize,
        reservation: &mut Reservation,
    ) -> Result<(), MemoryExhausted> {
        let length_after = self.length + missing_bytes;
        while !data.is_empty() {
            let missing = length_after - self.length;
            let (segment, spare_bytes) = self.spare(missing, reservation).await?;
            let (first, rest) = data.split_at(spare_bytes.min(data.len()));
            segment.extend_from_slice(first);
            self.record_received(first.len());
            data = rest;
        }
        Ok(())
    }

    /// The complete body.
    pub(super) fn finish(mut self) -> Body {
        if !self.current.is_empty() {
            self.full.push(self.current.freeze());
        }
        Body {
            segments: self.full,
            length: self.length,
        }
    }
}
