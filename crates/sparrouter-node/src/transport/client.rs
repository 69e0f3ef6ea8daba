//! A client connection, which carries one invocation at a time, each with exactly one answer.
use super::budget::{BodyMemory, Reservation};
use super::idle::IdleConnections;
use super::reading::{self, ReadError};
use crate::protocol::MAX_BODY;
use crate::protocol::head::{self, RequestHead};
use crate::protocol::messages::{self, Answer, EncodedAnswer, Invocation};
use bytes::{Buf, Bytes, BytesMut};
use sparrouter_balancer::types::InvocationIndex;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Idle timeout of a client connection, which occupies a descriptor. The protocol allows the close after 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// Timeout for receiving a complete message; for the first message it starts at the connect. Within 3 s a client with
/// an unusable message has to get an error or a close.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2600);
/// Timeout for the first message of a connection that was accepted while the node drains.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of checks whether a client that has sent further data has closed its side.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Size of one read, in bytes.
const READ_SIZE: usize = 4 << 10;
/// Timeout for the client's close after the node has closed its side.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of bytes that are read from a client after an error.
const LINGER_BYTES: usize = 256 << 10;

/// The final answer, with its memory reservations until it is written.
pub struct ReservedAnswer {
    /// The final answer.
    pub answer: Answer,
    /// Reservations for the length of the body beyond `MAX_BODY`.
    pub memory: Vec<Reservation>,
}

impl From<Answer> for ReservedAnswer {
    fn from(answer: Answer) -> ReservedAnswer {
        ReservedAnswer {
            answer,
            memory: Vec::new(),
        }
    }
}

/// An event from a client connection to the decision actor.
pub enum ClientEvent {
    /// An invocation was received.
    Received {
        /// Index of the invocation in this node.
        inv: InvocationIndex,
        /// The client's request.
        invocation: Rc<Invocation>,
        /// Time at which the request was received completely.
        received_at: Instant,
        /// Channel for the only answer.
        answer: oneshot::Sender<ReservedAnswer>,
    },
    /// The client has disconnected, or closed its side, while its invocation was in flight.
    Left {
        /// Index of the invocation in this node.
        inv: InvocationIndex,
    },
}

/// Stage of the node's graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum ServingStage {
    /// Not shutting down.
    Serving,
    /// The node is not ready, but still answers all received requests.
    Draining,
    /// Idle connections are closed.
    Closing,
}

/// State shared by all client connections.
pub struct ClientContext<M> {
    /// The decision actor's mailbox.
    pub mailbox: mpsc::Sender<M>,
    /// Stage of the node's shutdown.
    pub stage: watch::Receiver<ServingStage>,
    /// The idle client connections.
    pub idle: Rc<IdleConnections>,
    /// Timeout for receiving a message or writing an answer: the longest client timeout.
    pub max_timeout: Cell<Duration>,
    /// Set once the node drains: an invocation that may not complete before this time is rejected.
    pub shutdown_deadline: Cell<Option<Instant>>,
    /// Index of the next invocation.
    pub next_invocation: Cell<InvocationIndex>,
}

struct Client<M> {
    stream: TcpStream,
    buffer: BytesMut,
    context: Rc<ClientContext<M>>,
    connected_at: Instant,
    /// Whether no complete message has been received yet.
    is_new: bool,
    /// Whether the node has too many clients to serve this one: requests are rejected without the decision actor.
    is_rejected: bool,
    /// Whether the client has closed its side.
    has_closed: bool,
}

/// Serves a client connection until it closes. If `is_rejected` is true, invocations are answered with 503 immediately.
pub async fn serve_connection<M: From<ClientEvent>>(
    stream: TcpStream,
    descriptor: Reservation,
    is_rejected: bool,
    context: Rc<ClientContext<M>>,
) {
    let mut client = Client {
        stream,
        buffer: BytesMut::new(),
        context,
        connected_at: Instant::now(),
        is_new: true,
        is_rejected,
        has_closed: false,
    };
    while client.serve_message().await.is_some() {}
    drop(client);
    drop(descriptor);
}

impl<M: From<ClientEvent>> Client<M> {
    fn stage(&self) -> ServingStage {
        *self.context.stage.borrow()
    }

    /// Reads one message and answers it. Returns `None` if the connection is to be closed.
    async fn serve_message(&mut self) -> Option<()> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            let first = timeout(IDLE_TIMEOUT, self.wait_for_message()).await;
            // Guards against closing a connection whose next message was received since the last poll.
            let is_idle = first.ok().flatten().is_none();
            if is_idle && (!self.read_buffered() || self.buffer.is_empty()) {
                return None;
            }
        }
        let (request, body) = self.receive_message().await?;
        self.is_new = false;
        let received_at = Instant::now();
        if &request.target[..] == b"/health/ready" {
            let keep_alive = request.keep_alive && self.stage() == ServingStage::Serving;
            let is_ready = self.stage() == ServingStage::Serving;
            return self
                .send(messages::readiness(is_ready, keep_alive), keep_alive)
                .await;
        }
        let ReservedAnswer { answer, memory } = self.answer(&request, body, received_at).await?;
        // Pipelined messages that are already read are answered first.
        let has_more = !self.buffer.is_empty() && self.stage() < ServingStage::Closing;
        let stays_open = self.stage() == ServingStage::Serving && !self.has_closed;
        let keep_alive = request.keep_alive && !self.is_rejected && (has_more || stays_open);
        let sent = self
            .send(messages::answer(&answer, keep_alive), keep_alive)
            .await;
        drop(memory);
        sent
    }

    /// Receives the rest of a message. If the message is invalid, or the descriptor is needed for another client, this
    /// function answers the client and returns `None`: the connection is to be closed.
    async fn receive_message(&mut self) -> Option<(RequestHead, Bytes)> {
        let start = if self.is_new {
            self.connected_at
        } else {
            Instant::now()
        };
        let deadline = start + MESSAGE_TIMEOUT.min(self.context.max_timeout.get());
        // Guards against clients with incomplete messages: they occupied all descriptors until other clients timed out.
        let idle = self.context.idle.enter(false);
        let read = tokio::select! {
            biased;
            read = timeout_at(deadline, self.read_message()) => read.ok()?,
            () = idle.close_requested() => {
                self.reject_incomplete().await;
                return None;
            }
        };
        drop(idle);
        match read {
            Ok(message) => Some(message),
            Err(ReadError::Closed | ReadError::Reset) => None,
            Err(ReadError::Bad(error)) => {
                log::debug!("invalid request from a client: {}", error.0);
                let answer = Answer::Bad(error.0);
                self.write(messages::answer(&answer, false)).await?;
                self.linger().await;
                None
            }
        }
    }

    /// Returns the answer to a request; `None` if the node exits first.
    async fn answer(
        &mut self,
        request: &RequestHead,
        body: Bytes,
        received_at: Instant,
    ) -> Option<ReservedAnswer> {
        let invocation = match Invocation::new(request, body) {
            Err(error) => return Some(Answer::Bad(error.0).into()),
            Ok(invocation) => invocation,
        };
        if self.is_rejected || self.is_too_late(&invocation, received_at) || !self.read_buffered() {
            log::debug!(
                "invocation {:?} answered 503 without being submitted",
                invocation.id
            );
            return Some(Answer::Throttled { retry_after: 0 }.into());
        }
        self.submit(Rc::new(invocation), received_at).await
    }

    /// Rejects an incomplete message because its descriptor is needed for another client.
    async fn reject_incomplete(&mut self) {
        let answer = Answer::Throttled { retry_after: 0 };
        let written = self.write(messages::answer(&answer, false)).await;
        if written.is_none() {
            return;
        }
        // The client may still be sending, which causes a reset. The shutdown lets the answer precede the reset without
        // keeping other clients waiting.
        let _ = self.stream.shutdown().await;
        sleep(CLOSE_POLL_INTERVAL).await;
    }

    /// Whether the invocation may not complete before the shutdown deadline.
    fn is_too_late(&self, invocation: &Invocation, received_at: Instant) -> bool {
        let max_timeout = self.context.max_timeout.get();
        let client_timeout = invocation
            .client_timeout_ms
            .map_or(max_timeout, |ms| Duration::from_millis(ms).min(max_timeout));
        self.context
            .shutdown_deadline
            .get()
            .is_some_and(|deadline| received_at + client_timeout > deadline)
    }

    /// Reads the data in the socket buffer. Returns false if the client has closed its side. Guards against submitting
    /// an invocation that was queued here, or received while the process was suspended, after its client disconnected.
    fn read_buffered(&mut self) -> bool {
        let mut bytes = [0; READ_SIZE];
        while !self.has_closed && self.buffer.len() <= MAX_BODY {
            match reading::read_available(&self.stream, &mut bytes) {
                Some(Ok(length)) if length > 0 => self.buffer.extend_from_slice(&bytes[..length]),
                None => break,
                Some(_) => self.has_closed = true,
            }
        }
        !self.has_closed
    }

    /// Sends an answer, then closes the node's side unless `keep_alive` is true.
    async fn send(&mut self, answer: EncodedAnswer, keep_alive: bool) -> Option<()> {
        self.write(answer).await?;
        if !keep_alive {
            self.close_gracefully().await;
            return None;
        }
        Some(())
    }

    /// Closes the node's side and waits for the client's close. Guards against a reset that overtakes the answer if
    /// further data was received. Data that arrives after the close counts as not received and is not read.
    async fn close_gracefully(&mut self) {
        let idle = self.context.idle.enter(true);
        let _ = self.stream.shutdown().await;
        let closed = async {
            while self
                .stream
                .ready(Interest::READABLE)
                .await
                .is_ok_and(|r| !r.is_read_closed())
            {
                sleep(CLOSE_POLL_INTERVAL).await;
            }
        };
        tokio::select! {
            () = closed => {}
            () = idle.close_requested() => {}
            () = sleep(LINGER_TIMEOUT) => {}
        }
    }

    async fn read_message(&mut self) -> Result<(RequestHead, Bytes), ReadError> {
        let head = reading::head(&mut self.stream, &mut self.buffer, b"").await?;
        let request = head::parse_request(&head)?;
        // Without the interim answer the client would delay its body.
        if request.fields.text("Expect") == Some("100-continue") && self.buffer.is_empty() {
            let written = self.stream.write_all(messages::CONTINUE).await;
            written.map_err(|_| ReadError::Reset)?;
        }
        let body = reading::body(
            &mut self.stream,
            &mut self.buffer,
            request.framing,
            &BodyMemory::USUAL,
        )
        .await?;
        Ok((request, body.bytes))
    }

    /// Continues to read for a limited time after an error. Guards against a reset that overtakes the error answer:
    /// closing a connection with unread bytes resets it, and the client may never receive the answer.
    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let mut remaining = LINGER_BYTES;
        let rest = async {
            while remaining > 0 {
                self.buffer.clear();
                match self.stream.read_buf(&mut self.buffer).await {
                    Ok(read) if read > 0 => remaining = remaining.saturating_sub(read),
                    _ => return,
                }
            }
        };
        let _ = timeout(LINGER_TIMEOUT, rest).await;
    }

    /// Waits for the first byte of the next message. On a request to close, it first checks whether one was received.
    async fn wait_for_message(&mut self) -> Option<()> {
        let idle = self.context.idle.enter(!self.is_new);
        let mut stage = self.context.stage.clone();
        let (is_new, connected_at) = (self.is_new, self.connected_at);
        let closing = async {
            let is_closing = stage
                .wait_for(|s| *s == ServingStage::Closing)
                .await
                .is_ok();
            // The first message of a new connection may be in transit, and its client would not retry it.
            if is_closing && is_new {
                sleep_until(connected_at + FIRST_MESSAGE_TIMEOUT).await;
            }
        };
        tokio::select! {
            biased;
            read = reading::more(&mut self.stream, &mut self.buffer) => read.ok(),
            () = idle.close_requested() => None,
            () = closing => None,
        }
    }

    /// Submits an invocation and waits for its answer. Reports to the decision actor if the client disconnects first.
    async fn submit(
        &mut self,
        invocation: Rc<Invocation>,
        received_at: Instant,
    ) -> Option<ReservedAnswer> {
        let inv = self.context.next_invocation.get();
        self.context.next_invocation.set(inv.wrapping_add(1));
        let (answer, mut answered) = oneshot::channel();
        let received = ClientEvent::Received {
            inv,
            invocation,
            received_at,
            answer,
        };
        self.context.mailbox.send(received.into()).await.ok()?;
        loop {
            // Clients are not expected to send further data before the answer; such data stays in the buffer.
            let may_read = self.buffer.len() <= MAX_BODY;
            tokio::select! {
                biased;
                answer = &mut answered => return answer.ok(),
                read = reading::more(&mut self.stream, &mut self.buffer), if may_read && !self.has_closed => {
                    if read.is_err() {
                        // The client may have closed only its sending side, so it still gets the answer.
                        self.has_closed = true;
                        let _ = self.context.mailbox.send(ClientEvent::Left { inv }.into()).await;
                    }
                }
            }
        }
    }

    async fn write(&mut self, answer: EncodedAnswer) -> Option<()> {
        let mut bytes = answer.head.chain(answer.body);
        timeout(
            self.context.max_timeout.get(),
            self.stream.write_all_buf(&mut bytes),
        )
        .await
        .ok()?
        .ok()
    }
}
