//! The client connection during an exchange: data read ahead, and how much of the response has been sent.
use super::{ExchangeOutcome, deadline_passed_response};
use crate::platform::defects::rules;
use crate::platform::memory::Reservation;
use crate::platform::net::Stream;
use crate::proxy::event_stream::EventSplitter;
use bytes::BytesMut;
use sparrouter_http::reading;
use tokio::io::{ReadHalf, WriteHalf, split};

/// Maximum number of bytes that are read ahead from the client while its request is served.
const MAX_READ_AHEAD: usize = 64 << 10;
/// Largest capacity of the buffer for bytes that are read ahead, as a multiple of its length.
const BUFFER_GROWTH: usize = 2;

/// What the client has of a response. Only this decides whether another server's response may follow: a route's kind says
/// nothing about what was relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseProgress {
    /// Not a byte: a response of any server may follow.
    NotBegun,
    /// A part that only its own server can complete: of a failure, or of a body that is not relayed by events.
    Begun,
    /// The head of a successful response with this status, in chunks, and complete events: the stream of another server may
    /// continue it.
    ResumableStream {
        /// HTTP status of the head.
        status: u16,
    },
}

/// The client's connection during an exchange.
pub(super) struct ClientSide<'a> {
    reader: ReadHalf<&'a mut Stream>,
    pub(super) writer: WriteHalf<&'a mut Stream>,
    read_ahead: &'a mut BytesMut,
    /// The memory of the request and of the bytes that are read ahead.
    reservation: &'a mut Reservation,
    /// Bytes of `reservation` for those that are read ahead.
    read_ahead_reserved: usize,
    /// What the client has of a response.
    pub(super) progress: ResponseProgress,
    /// Splits an event stream that may be resumed at another server. `None` if the route's requests are not idempotent.
    pub(super) events: Option<EventSplitter>,
}

impl<'a> ClientSide<'a> {
    pub(super) fn new(
        client: &'a mut Stream,
        read_ahead: &'a mut BytesMut,
        reservation: &'a mut Reservation,
        is_idempotent: bool,
    ) -> ClientSide<'a> {
        let (reader, writer) = split(client);
        ClientSide {
            reader,
            writer,
            read_ahead,
            reservation,
            read_ahead_reserved: 0,
            progress: ResponseProgress::NotBegun,
            events: is_idempotent.then(EventSplitter::default),
        }
    }

    /// The id of the event after which a resumed stream continues.
    pub(super) fn last_event_id(&self) -> Option<String> {
        if !rules::streams_resume_after_last_event() {
            return None;
        }
        let events = self.events.as_ref()?;
        events.last_id().map(str::to_owned)
    }

    /// Completes once the client has disconnected. Bytes that the client sends ahead are stored for its next request.
    pub(super) async fn disconnected(&mut self) {
        while self.read_ahead.len() < MAX_READ_AHEAD && self.reserves_read_ahead() {
            if reading::more(&mut self.reader, self.read_ahead)
                .await
                .is_err()
            {
                return;
            }
        }
        std::future::pending().await
    }

    /// Reserves memory for the bytes that were read ahead; false if there is none, so that no more are read. A buffer
    /// without such bytes belongs to the connection.
    fn reserves_read_ahead(&mut self) -> bool {
        let needed = self.read_ahead.len() * BUFFER_GROWTH;
        let missing = needed.saturating_sub(self.read_ahead_reserved);
        if missing == 0 {
            return true;
        }
        let is_reserved = self.reservation.grow_optional(missing);
        if is_reserved {
            self.read_ahead_reserved += missing;
        }
        is_reserved
    }

    /// Whether any byte of a response has been sent to the client.
    pub(super) fn has_response_begun(&self) -> bool {
        self.progress != ResponseProgress::NotBegun
    }

    /// The outcome if the deadline passes.
    pub(super) fn end_at_deadline(&self) -> ExchangeOutcome {
        if self.has_response_begun() {
            ExchangeOutcome::Closed
        } else {
            ExchangeOutcome::Respond(deadline_passed_response())
        }
    }

    /// The outcome if a response breaks off; `None` if another server's response may follow what the client has.
    pub(super) fn resume_or_close(&mut self) -> Option<ExchangeOutcome> {
        if self.progress == ResponseProgress::Begun {
            return Some(ExchangeOutcome::Closed);
        }
        if let Some(events) = &mut self.events {
            events.discard_partial();
        }
        None
    }
}
