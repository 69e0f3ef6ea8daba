//! Calls to other nodes: one connection for each peer, with many concurrent calls that have separate time-outs.
use super::frames::{self, MAX_QUEUED_FRAMES, Progress};
use crate::peer::messages::{Call, HELLO, Reply};
use crate::platform::defects::rules;
use crate::platform::net::{SharedNet, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader, ReadHalf, split};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Time-outs of the successive attempts to connect. TCP resends the first packet to a machine without power only after
/// a second, and the machine may be back sooner.
const CONNECT_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(80),
    Duration::from_millis(160),
    Duration::from_millis(400),
];
/// Longest total wait for a reply that is arriving: its time-out is extended while more bytes arrive. Without the
/// extension, nodes that request a large configuration at once over narrow links would each time out and retry for
/// ever.
const MAX_REPLY_TIME: Duration = Duration::from_secs(20);

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The call was not sent: it may be retried.
    #[error(
        "no connection to the node was established: check that it runs and that its internal port is open"
    )]
    Unreachable,
    /// The call may or may not have been carried out.
    #[error("the node did not answer in time: it may be frozen or cut off")]
    TimedOut,
    /// The call may or may not have been carried out.
    #[error("the connection to the node broke: its process may have ended")]
    Broken,
    /// The call was not sent: it may be retried.
    #[error("too many calls are queued for the node: it reads too slowly")]
    QueueFull,
}

/// The callers of pending calls, by call id.
type PendingCalls = RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>;

/// One connection, from the first call on it until it breaks.
struct Link {
    /// Frames to be written, at most [`MAX_QUEUED_FRAMES`].
    queue: mpsc::Sender<Vec<u8>>,
    pending: PendingCalls,
    /// Whether the connection was established.
    is_connected: Cell<bool>,
    /// Progress of the reply that is being received.
    arriving: Cell<Progress>,
}

/// This node's connections to other nodes.
///
/// Each connection has a task that owns it. The task ends when the connection breaks or cannot be established; then
/// pending calls get an error, and the next call opens a new connection. No borrow is held across an `await`.
pub struct Links {
    net: SharedNet,
    /// First bytes that are sent on each connection.
    hello: &'static [u8; 8],
    /// Invariant: a link has an entry as long as its task runs.
    links: RefCell<BTreeMap<SocketAddr, Rc<Link>>>,
    next_id: Cell<u64>,
}

impl Links {
    /// Creates the links, without connections, for the protocol version [`HELLO`].
    pub fn new(net: SharedNet) -> Rc<Links> {
        Links::with_hello(HELLO, net)
    }

    /// Creates the links, without connections; each connection will begin with `hello`, the name and version of the
    /// protocol.
    pub fn with_hello(hello: &'static [u8; 8], net: SharedNet) -> Rc<Links> {
        Rc::new(Links {
            net,
            hello,
            links: RefCell::default(),
            next_id: Cell::new(0),
        })
    }

    /// The link to an address; opens one if there is none.
    fn link(self: &Rc<Self>, to: SocketAddr) -> Rc<Link> {
        if let Some(link) = self.links.borrow().get(&to) {
            return link.clone();
        }
        let (queue, queued) = mpsc::channel(MAX_QUEUED_FRAMES);
        let link = Rc::new(Link {
            queue,
            pending: PendingCalls::default(),
            is_connected: Cell::new(false),
            arriving: Cell::default(),
        });
        self.links.borrow_mut().insert(to, link.clone());
        spawn_local(self.clone().run_link(to, link.clone(), queued));
        link
    }

    /// Runs the task of a link.
    async fn run_link(
        self: Rc<Self>,
        to: SocketAddr,
        link: Rc<Link>,
        queued: mpsc::Receiver<Vec<u8>>,
    ) {
        link.run(&self.net, self.hello, to, queued).await;
        // Dropping the senders reports the error to the callers.
        link.pending.borrow_mut().clear();
        let mut links = self.links.borrow_mut();
        if links.get(&to).is_some_and(|l| Rc::ptr_eq(l, &link)) {
            links.remove(&to);
        }
    }

    /// Returns an id that is unique among all calls of this process on any connection, so that a late reply matches no
    /// other call.
    fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        if rules::call_ids_are_unique() {
            self.next_id.set(id + 1);
        }
        id
    }

    /// Sends a call and waits for its reply. It is sent once; `reply_timeout` is extended while the reply is arriving.
    ///
    /// # Errors
    ///
    /// A [`LinkError`], which tells whether the call may be retried.
    pub async fn call(
        self: &Rc<Self>,
        to: SocketAddr,
        call: &Call,
        reply_timeout: Duration,
    ) -> Result<Reply, LinkError> {
        let link = self.link(to);
        let id = self.next_id();
        let (reply, mut replied) = oneshot::channel();
        link.pending.borrow_mut().insert(id, reply);
        if link.queue.try_send(frames::encode(id, call)).is_err() {
            link.pending.borrow_mut().remove(&id);
            return Err(LinkError::QueueFull);
        }
        let began = Instant::now();
        loop {
            let arrived_before = link.arrived_bytes(id);
            match timeout(reply_timeout, &mut replied).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(_)) => return Err(link.error()),
                Err(_) => {
                    let is_arriving = link.arrived_bytes(id) > arrived_before;
                    if !is_arriving || began.elapsed() >= MAX_REPLY_TIME {
                        link.pending.borrow_mut().remove(&id);
                        return Err(LinkError::TimedOut);
                    }
                }
            }
        }
    }

    /// Sends a call that has no reply. The call is lost if the peer is unreachable or reads too slowly; a sender that
    /// depends on it must send it again.
    pub fn cast(self: &Rc<Self>, to: SocketAddr, call: &Call) {
        let link = self.link(to);
        let id = self.next_id();
        let _ = link.queue.try_send(frames::encode(id, call));
    }
}

impl Link {
    /// The error for calls that are pending when the connection ends.
    fn error(&self) -> LinkError {
        if self.is_connected.get() {
            LinkError::Broken
        } else {
            LinkError::Unreachable
        }
    }

    /// Number of received bytes of the reply to a call; 0 unless that reply is being received now.
    fn arrived_bytes(&self, id: u64) -> usize {
        let arriving = self.arriving.get();
        if arriving.id == id && rules::arriving_replies_extend_timeout() {
            arriving.bytes
        } else {
            0
        }
    }

    /// Connects, then writes and reads frames until the connection breaks.
    async fn run(
        &self,
        net: &SharedNet,
        hello: &[u8; 8],
        to: SocketAddr,
        queued: mpsc::Receiver<Vec<u8>>,
    ) {
        let Some(mut stream) = connect(net, to).await else {
            return;
        };
        if stream.write_all(hello).await.is_err() {
            return;
        }
        self.is_connected.set(true);
        let (from, into) = split(stream);
        // The fixed order makes runs with the same seed identical.
        tokio::select! {
            biased;
            () = self.read_replies(BufReader::new(from)) => {}
            () = frames::write_queue(into, queued) => {}
        }
    }

    /// Passes each reply to its caller until the connection breaks.
    async fn read_replies(&self, mut from: BufReader<ReadHalf<Stream>>) {
        while let Some(frame) =
            frames::read(&mut from, |progress| self.arriving.set(progress)).await
        {
            let Some(reply) = sparrouter_codec::read::<Reply>(&frame.body) else {
                return;
            };
            if let Some(pending) = self.pending.borrow_mut().remove(&frame.id) {
                // The caller may have stopped waiting.
                let _ = pending.send(reply);
            }
        }
    }
}

/// Opens a connection; `None` if the peer refuses it or no attempt succeeds in time.
async fn connect(net: &SharedNet, to: SocketAddr) -> Option<Stream> {
    for attempt_timeout in CONNECT_TIMEOUTS {
        if let Ok(connected) = timeout(attempt_timeout, net.dial(to)).await {
            return connected.ok();
        }
    }
    None
}
