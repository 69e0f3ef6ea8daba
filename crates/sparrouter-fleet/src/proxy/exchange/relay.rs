//! Relays a response to the client: chunk by chunk as it arrives, or by complete events if the stream may be resumed.
use super::Exchange;
use super::client_side::{ClientSide, ResponseProgress};
use super::request_head::{is_hop_by_hop, is_named_by_connection};
use super::response_body::{BodyEvent, ResponseBody};
use crate::platform::defects::rules;
use crate::platform::http;
use crate::platform::upstream::Upstream;
use bytes::{BufMut, Bytes, BytesMut};
use sparrouter_http::head::{Framing, ResponseHead};
use sparrouter_http::reading::{self, ReadError};
use tokio::io::AsyncWriteExt;
use tokio::time::timeout_at;

/// The final chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How the relay of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayOutcome {
    /// The client has received the complete response.
    Complete,
    /// The response broke off or is malformed.
    Broken,
    /// The client disconnected.
    ClientDisconnected,
    /// The request's deadline passed.
    DeadlinePassed,
}

/// Framing of the body that is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyForm {
    /// By `Content-Length`, in bytes.
    Length(usize),
    Chunked,
    /// No body follows: the response to HEAD, or a status without a body.
    Absent {
        /// Value of `Content-Length`, in bytes: that of the body which a GET request would get.
        stated_length: Option<usize>,
    },
}

impl BodyForm {
    /// The form in which a response is relayed. `splits_events`: whether the client gets complete events only.
    fn of(head: &ResponseHead, splits_events: bool) -> BodyForm {
        const NO_CONTENT: u16 = 204;
        match head.framing {
            _ if !head.has_body => BodyForm::Absent {
                // RFC 9110, section 8.6, forbids the field with this status.
                stated_length: head.stated_length().filter(|_| head.status != NO_CONTENT),
            },
            Framing::Length(length) if !splits_events => BodyForm::Length(length),
            _ => BodyForm::Chunked,
        }
    }
}

/// Data that has been read from the server and not yet written to the client.
struct Pending {
    form: BodyForm,
    /// Whether only complete events are written.
    splits_events: bool,
    /// What the client has of the response once data has been written.
    progress: ResponseProgress,
    out: BytesMut,
}

impl Pending {
    fn push(&mut self, chunk: &[u8]) {
        if chunk.is_empty() {
            return;
        }
        match self.form {
            BodyForm::Absent { .. } => {}
            BodyForm::Length(_) => self.out.put_slice(chunk),
            BodyForm::Chunked => {
                let size = format!("{:x}\r\n", chunk.len());
                self.out.put_slice(size.as_bytes());
                self.out.put_slice(chunk);
                self.out.put_slice(b"\r\n");
            }
        }
    }
}

/// How much of a body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    NeedsMore,
    Complete,
    /// The body is malformed, or an event in it is too long.
    Broken,
}

impl Exchange<'_> {
    /// Relays a response as it arrives.
    pub(super) async fn relay(
        &mut self,
        head: &ResponseHead,
        connection: &mut Upstream,
        client: &mut ClientSide<'_>,
    ) -> RelayOutcome {
        let mut pending = self.begin_relay(head, client);
        let mut body = ResponseBody::new(head.framing);
        loop {
            let state = read_available(&mut body, &mut connection.buffer, &mut pending, client);
            if state == ReadState::Broken {
                return self.end_broken(&mut pending, client).await;
            }
            let is_complete = state == ReadState::Complete;
            // Until a byte has been written the request may be retried at another server, if its route is idempotent.
            let must_write = is_complete
                || client.has_response_begun()
                || body.has_begun
                || !self.route.is_idempotent();
            if must_write && let Err(outcome) = self.write(&mut pending, client).await {
                return outcome;
            }
            if is_complete {
                return RelayOutcome::Complete;
            }
            if let Err(outcome) = self
                .read_more(&mut body, connection, &pending, client)
                .await
            {
                return outcome;
            }
        }
    }

    /// The outcome of a malformed body. A resumed stream goes on behind the last event that was read, so the client must
    /// have the events that precede the malformed bytes.
    async fn end_broken(&self, pending: &mut Pending, client: &mut ClientSide<'_>) -> RelayOutcome {
        let has_events = pending.splits_events && client.last_event_id().is_some();
        if has_events
            && rules::read_events_are_written()
            && let Err(outcome) = self.write(pending, client).await
        {
            return outcome;
        }
        RelayOutcome::Broken
    }

    /// Prepares the response head, unless the client already has one.
    fn begin_relay(&self, head: &ResponseHead, client: &ClientSide<'_>) -> Pending {
        let is_success = (200..300).contains(&head.status);
        let is_resumable = self.route.resumable && is_success && head.has_body;
        let splits_events = is_resumable && client.events.is_some();
        let form = BodyForm::of(head, splits_events);
        let mut out = BytesMut::new();
        if !client.has_response_begun() {
            self.put_head(head, form, &mut out);
        }
        let progress = if splits_events {
            let status = head.status;
            ResponseProgress::ResumableStream { status }
        } else if self.route.resumable && !rules::only_streams_resume() {
            ResponseProgress::ResumableStream { status: 200 }
        } else {
            ResponseProgress::Begun
        };
        Pending {
            form,
            splits_events,
            progress,
            out,
        }
    }

    /// Writes the pending data to the client.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the client has disconnected or the deadline has passed.
    async fn write(
        &self,
        pending: &mut Pending,
        client: &mut ClientSide<'_>,
    ) -> Result<(), RelayOutcome> {
        if pending.out.is_empty() {
            return Ok(());
        }
        client.progress = pending.progress;
        match timeout_at(self.deadline, client.writer.write_all(&pending.out)).await {
            Ok(Ok(())) => {
                pending.out.clear();
                Ok(())
            }
            Ok(Err(_)) => Err(RelayOutcome::ClientDisconnected),
            Err(_) => Err(RelayOutcome::DeadlinePassed),
        }
    }

    /// Waits until more of the response has arrived.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the relay ends instead.
    async fn read_more(
        &self,
        body: &mut ResponseBody,
        connection: &mut Upstream,
        pending: &Pending,
        client: &mut ClientSide<'_>,
    ) -> Result<(), RelayOutcome> {
        let read = tokio::select! {
            biased;
            read = reading::more(&mut connection.stream, &mut connection.buffer) => read,
            () = client.disconnected(), if rules::client_watched_while_relaying() => {
                return Err(RelayOutcome::ClientDisconnected);
            }
            () = tokio::time::sleep_until(self.deadline) => {
                return Err(RelayOutcome::DeadlinePassed);
            }
        };
        let Err(error) = read else {
            return Ok(());
        };
        let is_end = match error {
            ReadError::Closed => true,
            ReadError::Reset => !rules::resets_are_no_end(),
            ReadError::Bad(_) => false,
        };
        if is_end && body.ends_with_connection() {
            body.close();
            return Ok(());
        }
        if pending.form == BodyForm::Chunked && !rules::broken_streams_stay_incomplete() {
            // A failure to write to the client does not change the outcome.
            let _ = client.writer.write_all(LAST_CHUNK).await;
            return Err(RelayOutcome::Complete);
        }
        Err(RelayOutcome::Broken)
    }

    /// Appends the response head that is sent to the client.
    fn put_head(&self, head: &ResponseHead, form: BodyForm, out: &mut BytesMut) {
        let reason = http::reason(head.status);
        out.put_slice(format!("HTTP/1.1 {} {reason}\r\n", head.status).as_bytes());
        for (name, value) in head.fields.iter() {
            if !is_hop_by_hop(name) && !is_named_by_connection(&head.fields, name) {
                out.put_slice(name);
                out.put_slice(b": ");
                out.put_slice(value);
                out.put_slice(b"\r\n");
            }
        }
        match form {
            BodyForm::Absent {
                stated_length: None,
            } => {}
            BodyForm::Length(length)
            | BodyForm::Absent {
                stated_length: Some(length),
            } => {
                out.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
            }
            BodyForm::Chunked => out.put_slice(b"Transfer-Encoding: chunked\r\n"),
        }
        if !self.keep_alive {
            out.put_slice(b"Connection: close\r\n");
        }
        out.put_slice(b"\r\n");
    }
}

/// Moves the received part of a body to the pending data, so that it is sent in a single write.
fn read_available(
    body: &mut ResponseBody,
    buffer: &mut BytesMut,
    pending: &mut Pending,
    client: &mut ClientSide<'_>,
) -> ReadState {
    loop {
        match body.next(buffer) {
            Ok(BodyEvent::Data(chunk)) => {
                let Some(complete) = complete_events(chunk, pending, client) else {
                    return ReadState::Broken;
                };
                pending.push(&complete);
            }
            Ok(BodyEvent::NeedsMore) => return ReadState::NeedsMore,
            Ok(BodyEvent::End) => {
                end_body(pending, client);
                return ReadState::Complete;
            }
            Err(_) => return ReadState::Broken,
        }
    }
}

/// The data that may be written after this chunk has been read: the chunk itself, or the events that it completes.
/// `None` if an event is too long.
fn complete_events(chunk: Bytes, pending: &Pending, client: &mut ClientSide<'_>) -> Option<Bytes> {
    match &mut client.events {
        Some(events) if pending.splits_events => events.push(&chunk),
        _ => Some(chunk),
    }
}

fn end_body(pending: &mut Pending, client: &mut ClientSide<'_>) {
    if let Some(events) = client.events.as_mut().filter(|_| pending.splits_events) {
        pending.push(&events.take_partial());
    }
    if pending.form == BodyForm::Chunked {
        pending.out.put_slice(LAST_CHUNK);
    }
}
