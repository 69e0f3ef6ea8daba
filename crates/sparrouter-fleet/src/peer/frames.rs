//! Frames on a connection between nodes: length and call id, both little-endian, then the body.
use crate::peer::messages::MAX_FRAME;
use crate::platform::net::Stream;
use nanoserde::SerBin;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, ReadHalf, WriteHalf};
use tokio::sync::mpsc;

/// Size of the length field, which counts the bytes that follow it.
const LENGTH_BYTES: usize = size_of::<u32>();
/// Size of the call id.
const ID_BYTES: usize = size_of::<u64>();
/// Queued frames are written together until they reach this size, since each write has a fixed cost.
const MAX_WRITE_BYTES: usize = 64 << 10;
/// Maximum number of frames in a connection's write queue; further frames are rejected at once.
pub(super) const MAX_QUEUED_FRAMES: usize = 512;

/// A received frame.
pub(super) struct Frame {
    /// Id of the call.
    pub(super) id: u64,
    /// The encoded call or reply.
    pub(super) body: Vec<u8>,
}

/// How much of the current frame has been received.
#[derive(Clone, Copy, Default)]
pub(super) struct Progress {
    /// Id of the call.
    pub(super) id: u64,
    /// Bytes of the body that have been received.
    pub(super) bytes: usize,
}

/// Encodes a frame.
pub(super) fn encode(id: u64, body: &impl SerBin) -> Vec<u8> {
    let mut out = vec![0; LENGTH_BYTES + ID_BYTES];
    body.ser_bin(&mut out);
    let length = (out.len() - LENGTH_BYTES) as u32;
    out[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    out[LENGTH_BYTES..LENGTH_BYTES + ID_BYTES].copy_from_slice(&id.to_le_bytes());
    out
}

/// Reads the next frame; `None` if the connection ends or its bytes are not a valid frame. `observe` is called with
/// each received chunk.
pub(super) async fn read(
    from: &mut BufReader<ReadHalf<Stream>>,
    observe: impl Fn(Progress),
) -> Option<Frame> {
    let length = from.read_u32_le().await.ok()? as usize;
    if !(ID_BYTES..=MAX_FRAME).contains(&length) {
        return None;
    }
    let id = from.read_u64_le().await.ok()?;
    let expected = length - ID_BYTES;
    // The buffer grows with the received bytes, not with the length field, which a hostile peer may set.
    let mut body = Vec::new();
    while body.len() < expected {
        let chunk = from.fill_buf().await.ok()?;
        if chunk.is_empty() {
            return None;
        }
        let used = chunk.len().min(expected - body.len());
        body.extend_from_slice(&chunk[..used]);
        from.consume(used);
        observe(Progress {
            id,
            bytes: body.len(),
        });
    }
    Some(Frame { id, body })
}

/// Writes queued frames until the queue is closed or the connection breaks.
pub(super) async fn write_queue(mut to: WriteHalf<Stream>, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Some(mut bytes) = queue.recv().await {
        while bytes.len() < MAX_WRITE_BYTES {
            match queue.try_recv() {
                Ok(next) => bytes.extend_from_slice(&next),
                Err(_) => break,
            }
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
