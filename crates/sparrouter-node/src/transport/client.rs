//! A client's connection: one invocation at a time, each with exactly one answer.
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

/// A connection with nothing in flight may be closed after 2 s; one that idles for good occupies a descriptor.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// A complete message takes no longer, the first one counted from the connect: by 3 s a client whose message can't be
/// used has to get an error or a close.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2600);
/// The first message of a connection that was accepted while the node drains is waited for so long.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// Between looks whether a client that has sent more has closed its side.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes that are read at a time of what the system has buffered.
const READ_SIZE: usize = 4 << 10;
/// How long the end of the client's side is waited for after the node has closed its own.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// How many bytes are still read of what a client sends after an error.
const LINGER_BYTES: usize = 256 << 10;

/// The final answer, with the right to the memory that it takes until it is written.
pub struct ReservedAnswer {
    /// The answer.
    pub answer: Answer,
    /// What was reserved for its body beyond the usual.
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

/// What a client's connection reports to the decision actor.
pub enum ClientEvent {
    /// An invocation was received.
    Received {
        /// The node's number for it.
        inv: InvocationIndex,
        /// What the client sent.
        invocation: Rc<Invocation>,
        /// When it was received completely.
        received_at: Instant,
        /// Where its one answer goes.
        answer: oneshot::Sender<ReservedAnswer>,
    },
    /// The client has left, or closed its side, while its invocation was in flight.
    Left {
        /// The node's number for the invocation.
        inv: InvocationIndex,
    },
}

/// How far the node is in its graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum ServingStage {
    /// Not shutting down.
    Serving,
    /// Not ready any more, but all that is received is still answered.
    Draining,
    /// Connections between invocations are closed.
    Closing,
}

/// What all client connections share.
pub struct ClientContext<M> {
    /// The decision actor's mailbox.
    pub mailbox: mpsc::Sender<M>,
    /// How far the node is in its shutdown.
    pub stage: watch::Receiver<ServingStage>,
    /// The idle connections.
    pub idle: Rc<IdleConnections>,
    /// Longest time for a message to be received or an answer to be written: the longest client timeout.
    pub max_timeout: Cell<Duration>,
    /// Once the node drains: an invocation that may not be over by then is rejected.
    pub shutdown_deadline: Cell<Option<Instant>>,
    /// Number of the next invocation.
    pub next_invocation: Cell<InvocationIndex>,
}

struct Client<M> {
    stream: TcpStream,
    buffer: BytesMut,
    context: Rc<ClientContext<M>>,
    connected_at: Instant,
    /// No complete message has been received.
    is_new: bool,
    /// Beyond what the node can serve: answered at once, without the decision actor.
    is_rejected: bool,
    /// It has closed its side.
    has_closed: bool,
}

/// Serves a client's connection until it closes. `is_rejected`: its invocations are answered 503 at once.
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

    /// Reads one message and answers it; none once the connection is to be closed.
    async fn serve_message(&mut self) -> Option<()> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            let first = timeout(IDLE_TIMEOUT, self.wait_for_message()).await;
            // Guards against closing over a message that was received since the runtime last looked.
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
        // What has been read behind it is answered first.
        let has_more = !self.buffer.is_empty() && self.stage() < ServingStage::Closing;
        let stays_open = self.stage() == ServingStage::Serving && !self.has_closed;
        let keep_alive = request.keep_alive && !self.is_rejected && (has_more || stays_open);
        let sent = self
            .send(messages::answer(&answer, keep_alive), keep_alive)
            .await;
        drop(memory);
        sent
    }

    /// Receives the rest of a message. Where it can't be used, or its descriptor is needed, the client gets its answer
    /// here and the connection is to be closed.
    async fn receive_message(&mut self) -> Option<(RequestHead, Bytes)> {
        let start = if self.is_new {
            self.connected_at
        } else {
            Instant::now()
        };
        let deadline = start + MESSAGE_TIMEOUT.min(self.context.max_timeout.get());
        // Guards against clients that each send an incomplete message: they occupied all descriptors until it was too
        // late for others.
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
                log::debug!("bad input from a client: {}", error.0);
                let answer = Answer::Bad(error.0);
                self.write(messages::answer(&answer, false)).await?;
                self.linger().await;
                None
            }
        }
    }

    /// The answer to a request; none if the node ends first.
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
            log::debug!("not begun: {:?}", invocation.id);
            return Some(Answer::Throttled { retry_after: 0 }.into());
        }
        self.submit(Rc::new(invocation), received_at).await
    }

    /// Answers an incomplete message whose descriptor is needed.
    async fn reject_incomplete(&mut self) {
        let answer = Answer::Throttled { retry_after: 0 };
        let written = self.write(messages::answer(&answer, false)).await;
        if written.is_none() {
            return;
        }
        // More may be on its way: the answer gets a start on the reset, and the others wait no longer than that.
        let _ = self.stream.shutdown().await;
        sleep(CLOSE_POLL_INTERVAL).await;
    }

    /// Whether it may take longer than the node runs.
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

    /// Reads what the system has buffered by now; false where the client has closed its side. Guards against submitting
    /// what waited here, behind others or while the node was suspended, after its client had left.
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

    /// Sends an answer, and closes this side behind it where the connection is not kept alive.
    async fn send(&mut self, answer: EncodedAnswer, keep_alive: bool) -> Option<()> {
        self.write(answer).await?;
        if !keep_alive {
            self.close_gracefully().await;
            return None;
        }
        Some(())
    }

    /// Closes this side and waits for the client's. Guards against a reset that overtakes the answer where more was
    /// received meanwhile. Nothing is read any more: what crosses the close has not been received.
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
        // A client that waits for the go-ahead would delay its body.
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

    /// Reads on for a while after an error. Guards against a reset that overtakes the error: closed with bytes unread,
    /// a connection is reset, and its client may never see the answer.
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

    /// Waits for the first byte of the next message. Asked to close, it first looks whether one was received.
    async fn wait_for_message(&mut self) -> Option<()> {
        let idle = self.context.idle.enter(!self.is_new);
        let mut stage = self.context.stage.clone();
        let (is_new, connected_at) = (self.is_new, self.connected_at);
        let closing = async {
            let is_closing = stage
                .wait_for(|s| *s == ServingStage::Closing)
                .await
                .is_ok();
            // Its first message is on the way, and its client would not send it again.
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

    /// Submits an invocation and waits for its answer; reports if the client leaves meanwhile.
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
            // A client sends nothing more before its answer; what it sends all the same waits in the buffer.
            let may_read = self.buffer.len() <= MAX_BODY;
            tokio::select! {
                biased;
                answer = &mut answered => return answer.ok(),
                read = reading::more(&mut self.stream, &mut self.buffer), if may_read && !self.has_closed => {
                    if read.is_err() {
                        // It may have closed only its side: it gets the answer.
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
