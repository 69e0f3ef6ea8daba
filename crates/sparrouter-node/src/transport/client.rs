//! A client's connection: one invocation at a time, each with exactly one answer.
use super::budget::{BodyMemory, IdleConnections, Reservation};
use super::reading::{self, ReadError};
use crate::protocol::MAX_BODY;
use crate::protocol::head::{self, RequestHead};
use crate::protocol::messages::{self, Answer, Invocation};
use bytes::{Buf, Bytes, BytesMut};
use sparrouter_balancer::types::InvocationIndex;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// A connection with nothing open may be closed after 2 s; one that idles for good holds a descriptor.
const IDLE: Duration = Duration::from_millis(2100);
/// A whole message takes no longer, the first one invariant from the connect: by 3 s a client whose message
/// can't be used is owed an error or a close.
const WHOLE: Duration = Duration::from_millis(2600);
/// The first message of a connection that came while the node leaves is waited for so long.
const FIRST: Duration = Duration::from_millis(250);
/// Between looks whether a client that has sent more has ended its side.
const SETTLE: Duration = Duration::from_millis(20);
/// So much is taken at a time of what has come.
const PIECE: usize = 4 << 10;
/// How long, and how much, is still read of what a client sends after an error.
const LINGER: (Duration, usize) = (Duration::from_millis(300), 256 << 10);

/// The final answer, with the right to the memory that it takes until it is written.
pub type ReservedAnswer = (Answer, Vec<Reservation>);

/// What a client's connection says to whoever decides.
pub enum ClientEvent {
    Received {
        inv: InvocationIndex,
        invocation: Rc<Invocation>,
        at: Instant,
        answer: oneshot::Sender<ReservedAnswer>,
    },
    Left {
        inv: InvocationIndex,
    },
}

/// How far the node is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum ServingStage {
    Serving,
    /// No longer ready, but all that comes is still taken and answered.
    Draining,
    /// Connections between invocations are closed.
    Closing,
}

/// What all client connections share.
pub struct ClientContext<M> {
    pub mailbox: mpsc::Sender<M>,
    pub stage: watch::Receiver<ServingStage>,
    pub idlers: Rc<IdleConnections>,
    /// Longest time for a message to come in or an answer to go out.
    pub patience: Cell<Duration>,
    /// Once the node leaves: what can't be over by then is not begun.
    pub leaves: Cell<Option<Instant>>,
    pub next: Cell<InvocationIndex>,
}

struct Client<M> {
    stream: TcpStream,
    buffer: BytesMut,
    context: Rc<ClientContext<M>>,
    connected: Instant,
    /// Nothing whole has come yet.
    new: bool,
    /// Beyond what the node can carry: answered at once, by the transport itself.
    beyond: bool,
    /// It has ended its side.
    ended: bool,
}

pub async fn serve_connection<M: From<ClientEvent>>(
    stream: TcpStream,
    permit: Reservation,
    beyond: bool,
    context: Rc<ClientContext<M>>,
) {
    let (connected, buffer) = (Instant::now(), BytesMut::new());
    let mut client = Client {
        stream,
        buffer,
        context,
        connected,
        new: true,
        beyond,
        ended: false,
    };
    while client.next().await.is_some() {}
    drop(client);
    drop(permit);
}

impl<M: From<ClientEvent>> Client<M> {
    fn stage(&self) -> ServingStage {
        *self.context.stage.borrow()
    }

    /// One message and its answer; none once the connection is to be closed.
    async fn next(&mut self) -> Option<()> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            let came = timeout(IDLE, self.idle()).await.ok().flatten();
            // Guards against closing over a message that has come since the runtime last looked.
            if came.is_none() && (!self.look() || self.buffer.is_empty()) {
                return None;
            }
        }
        let from = if self.new {
            self.connected
        } else {
            Instant::now()
        };
        let until = from + WHOLE.min(self.context.patience.get());
        // Guards against clients that each send half a message: they held all descriptors until it was too late.
        let place = self.context.idlers.enter(false);
        let read = tokio::select! {
            biased;
            read = timeout_at(until, self.read()) => read.ok()?,
            () = place.asked() => return self.turn_away().await,
        };
        drop(place);
        let (call, body) = match read {
            Ok(message) => message,
            Err(ReadError::Closed | ReadError::Reset) => return None,
            Err(ReadError::Bad(bad)) => {
                log::debug!("bad input from a client: {}", bad.0);
                self.write(messages::answer(&Answer::Bad(bad.0), false))
                    .await?;
                self.linger().await;
                return None;
            }
        };
        self.new = false;
        let at = Instant::now();
        if &call.target[..] == b"/health/ready" {
            let keep = call.keep_alive && self.stage() == ServingStage::Serving;
            let ready = self.stage() == ServingStage::Serving;
            return self.say(messages::readiness(ready, keep), keep).await;
        }
        let (answer, _granted) = match Invocation::new(&call, body) {
            Err(bad) => (Answer::Bad(bad.0), Vec::new()),
            Ok(invocation) if self.beyond || self.too_late(&invocation, at) || !self.look() => {
                log::debug!("not begun: {:?}", invocation.id);
                (Answer::Throttled { retry_after: 0 }, Vec::new())
            }
            Ok(invocation) => self.ask(Rc::new(invocation), at).await?,
        };
        // What has been read behind it is answered first.
        let more = !self.buffer.is_empty() && self.stage() < ServingStage::Closing;
        let stays = self.stage() == ServingStage::Serving && !self.ended;
        let keep = call.keep_alive && !self.beyond && (more || stays);
        self.say(messages::answer(&answer, keep), keep).await
    }

    /// Half a message, and its descriptor is wanted.
    async fn turn_away(&mut self) -> Option<()> {
        self.write(messages::answer(
            &Answer::Throttled { retry_after: 0 },
            false,
        ))
        .await?;
        // More may be on its way: the answer gets a start on the reset, and the others wait no longer than that.
        let _ = self.stream.shutdown().await;
        sleep(SETTLE).await;
        None
    }

    /// Whether it may take longer than the node is there.
    fn too_late(&self, invocation: &Invocation, at: Instant) -> bool {
        let longest = self.context.patience.get();
        let patience = invocation
            .patience_ms
            .map_or(longest, |ms| Duration::from_millis(ms).min(longest));
        self.context
            .leaves
            .get()
            .is_some_and(|leaves| at + patience > leaves)
    }

    /// Takes what has come by now; false where the client has ended its side. Guards against handing over what
    /// waited here, behind others or while the node was held up, after its client had left.
    fn look(&mut self) -> bool {
        let mut piece = [0; PIECE];
        while !self.ended && self.buffer.len() <= MAX_BODY {
            match reading::read_available(&self.stream, &mut piece) {
                Some(Ok(read)) if read > 0 => self.buffer.extend_from_slice(&piece[..read]),
                None => break,
                Some(_) => self.ended = true,
            }
        }
        !self.ended
    }

    /// An answer, and the end of the connection behind it where it is not kept.
    async fn say(&mut self, answer: (Bytes, Bytes), keep: bool) -> Option<()> {
        self.write(answer).await?;
        if !keep {
            self.part().await;
        }
        Some(()).filter(|()| keep)
    }

    /// Ends its side and waits for the client's. Guards against a reset that overtakes the answer where more has
    /// come meanwhile. Nothing is read any more: what crosses the end has not been taken.
    async fn part(&mut self) {
        let place = self.context.idlers.enter(true);
        let _ = self.stream.shutdown().await;
        let closed = async {
            while self
                .stream
                .ready(Interest::READABLE)
                .await
                .is_ok_and(|r| !r.is_read_closed())
            {
                sleep(SETTLE).await;
            }
        };
        tokio::select! {
            () = closed => {}
            () = place.asked() => {}
            () = sleep(LINGER.0) => {}
        }
    }

    async fn read(&mut self) -> Result<(RequestHead, Bytes), ReadError> {
        let head = reading::head(&mut self.stream, &mut self.buffer, b"").await?;
        let call = head::parse_request(&head)?;
        // A client that asks first would hold its body back for a while.
        if call.fields.text("Expect") == Some("100-continue") && self.buffer.is_empty() {
            let going_on = self.stream.write_all(messages::CONTINUE).await;
            going_on.map_err(|_| ReadError::Reset)?;
        }
        let body = reading::body(
            &mut self.stream,
            &mut self.buffer,
            call.framing,
            &BodyMemory::USUAL,
        )
        .await?;
        Ok((call, body.bytes))
    }

    /// Guards against a reset that overtakes the error: closed with bytes unread, a connection is reset,
    /// and its client may never see what it was told.
    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let (time, mut left) = LINGER;
        let rest = async {
            while left > 0 {
                self.buffer.clear();
                match self.stream.read_buf(&mut self.buffer).await {
                    Ok(read) if read > 0 => left = left.saturating_sub(read),
                    _ => return,
                }
            }
        };
        let _ = timeout(time, rest).await;
    }

    /// Until the first byte of the next message. Asked to close, it first looks whether one has come.
    async fn idle(&mut self) -> Option<()> {
        let place = self.context.idlers.enter(!self.new);
        let mut stage = self.context.stage.clone();
        let (new, connected) = (self.new, self.connected);
        let closing = async {
            let closing = stage
                .wait_for(|s| *s == ServingStage::Closing)
                .await
                .is_ok();
            // Its first message is on the way, and none would be sent again for it.
            if closing && new {
                sleep_until(connected + FIRST).await;
            }
        };
        tokio::select! {
            biased;
            read = reading::more(&mut self.stream, &mut self.buffer) => read.ok(),
            () = place.asked() => None,
            () = closing => None,
        }
    }

    /// Hands the invocation over and waits for its answer, or for the client to go away.
    async fn ask(&mut self, invocation: Rc<Invocation>, at: Instant) -> Option<ReservedAnswer> {
        let inv = self.context.next.get();
        self.context.next.set(inv.wrapping_add(1));
        let (answer, mut answered) = oneshot::channel();
        let taken = ClientEvent::Received {
            inv,
            invocation,
            at,
            answer,
        };
        self.context.mailbox.send(taken.into()).await.ok()?;
        loop {
            // A client sends nothing more before its answer; what comes all the same waits its turn.
            let listen = self.buffer.len() <= MAX_BODY;
            tokio::select! {
                biased;
                answer = &mut answered => return answer.ok(),
                read = reading::more(&mut self.stream, &mut self.buffer), if listen && !self.ended => {
                    if read.is_err() {
                        // Only its side may have ended: it is told what became of the invocation.
                        self.ended = true;
                        let _ = self.context.mailbox.send(ClientEvent::Left { inv }.into()).await;
                    }
                }
            }
        }
    }

    async fn write(&mut self, (head, body): (Bytes, Bytes)) -> Option<()> {
        let mut all = head.chain(body);
        timeout(
            self.context.patience.get(),
            self.stream.write_all_buf(&mut all),
        )
        .await
        .ok()?
        .ok()
    }
}
