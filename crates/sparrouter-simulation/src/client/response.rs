//! Reads a response as a client does: its head, and its body by length, by chunks or to the connection's end.

use crate::monitor::ClientResponse;
use crate::network::socket::Socket;
use bytes::BytesMut;
use sparrouter_http::Parsed;
use sparrouter_http::chunks::{ChunkDecoder, ChunkEvent};
use sparrouter_http::head::{self, Framing, ResponseHead};
use sparrouter_http::reading;
use std::time::Duration;
use tokio::time::timeout;

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// A client abandons a response that pauses for so long.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// What a client knows after a response, beside the response itself.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReadOutcome {
    /// The connection may carry another request.
    pub is_reusable: bool,
    /// How long the response asks to wait before a retry.
    pub retry_after: Option<Duration>,
}

/// Reads a response into `response`, as far as it comes.
pub(super) async fn read(socket: &mut Socket, response: &mut ClientResponse) -> ReadOutcome {
    let mut buffer = BytesMut::new();
    let Some(head) = read_head(socket, &mut buffer, response).await else {
        return ReadOutcome::default();
    };
    let text = |name: &str| head.fields.text(name).map(str::to_owned);
    response.status = head.status;
    response.seal = text("sparrouter-response-seal");
    response.attempt_id = text("sparrouter-attempt-id");
    response.is_stream = text("content-type").is_some_and(|t| t == "text/event-stream");
    let retry_after = text("retry-after")
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs_f64);
    let is_complete = read_body(socket, &mut buffer, head.framing, response).await;
    ReadOutcome {
        is_reusable: is_complete && head.keep_alive && buffer.is_empty(),
        retry_after,
    }
}

async fn read_head(
    socket: &mut Socket,
    buffer: &mut BytesMut,
    response: &mut ClientResponse,
) -> Option<ResponseHead> {
    let bytes = match reading::head(socket, buffer, head::RESPONSE_PREFIX, MAX_HEAD_BYTES).await {
        Ok(bytes) => bytes,
        Err(reading::ReadError::Bad(bad)) => {
            response.malformed = Some(bad.0);
            return None;
        }
        Err(_) => return None,
    };
    match head::parse_response(&bytes) {
        Ok(head) => Some(head),
        Err(bad) => {
            response.malformed = Some(bad.0);
            None
        }
    }
}

/// Reads the body, and says whether it is complete. A body that ends with its connection never is: it cannot be
/// distinguished from a broken one.
async fn read_body(
    socket: &mut Socket,
    buffer: &mut BytesMut,
    framing: Framing,
    response: &mut ClientResponse,
) -> bool {
    let mut chunks = ChunkDecoder::default();
    loop {
        match framing {
            Framing::Length(length) => take_up_to(length, buffer, response),
            Framing::Chunked => {
                if let Err(error) = take_chunks(&mut chunks, buffer, response) {
                    response.malformed = Some(error.0);
                    return false;
                }
            }
            Framing::ToEnd => response.body.extend_from_slice(&buffer.split()),
        }
        if response.is_complete {
            return true;
        }
        match timeout(READ_TIMEOUT, reading::more(socket, buffer)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return false,
            Err(_) => {
                response.is_abandoned = true;
                return false;
            }
        }
    }
}

fn take_up_to(length: usize, buffer: &mut BytesMut, response: &mut ClientResponse) {
    let missing = length - response.body.len();
    let bytes = buffer.split_to(buffer.len().min(missing));
    response.body.extend_from_slice(&bytes);
    response.is_complete = response.body.len() == length;
}

/// Takes the chunks that are there.
fn take_chunks(
    chunks: &mut ChunkDecoder,
    buffer: &mut BytesMut,
    response: &mut ClientResponse,
) -> Parsed<()> {
    loop {
        match chunks.next(buffer)? {
            ChunkEvent::Data(bytes) => response.body.extend_from_slice(&bytes),
            ChunkEvent::Incomplete => return Ok(()),
            ChunkEvent::End => {
                response.is_complete = true;
                return Ok(());
            }
        }
    }
}
