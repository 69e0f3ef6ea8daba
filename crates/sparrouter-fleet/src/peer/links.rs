//! Calls between nodes: one connection a peer and direction, many calls on it at a time, each with its own patience.
use crate::peer::messages::{Call, HELLO, MAX_FRAME, Reply};
use crate::platform::defects::rules;
use crate::platform::net::{self, Listener, SharedNet, Stream};
use nanoserde::SerBin;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{
    AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, ReadHalf, WriteHalf, split,
};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// How long a connection may take to come up, try after try. A first packet that found a machine without power is not
/// sent again before a second has gone, and the machine may be back sooner.
const DIALS: [Duration; 3] = [
    Duration::from_millis(80),
    Duration::from_millis(160),
    Duration::from_millis(400),
];
/// An answer that is coming in is waited for beyond its patience, as long as more of it comes, up to this. Without that
/// nodes that ask for a large configuration at once over narrow lines would each give up on it and ask again, for ever.
const LONGEST_ANSWER: Duration = Duration::from_secs(20);
/// Most frames that wait for one peer; more are refused at once.
const QUEUE: usize = 512;
/// Most calls of one connection that are worked on at a time.
const AT_ONCE: usize = 128;
/// Most connections that other nodes may hold here.
const PEERS: usize = 600;

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    #[error(
        "no connection to the node came up: check that it runs and that its internal port is open"
    )]
    Unreachable,
    #[error("the node did not answer in time: it may be frozen or cut off")]
    TimedOut,
    #[error("the connection to the node broke: it may have ended")]
    Broken,
    #[error("too many calls wait for the node: it reads too slowly")]
    Crowded,
}

type Waiting = Rc<RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>>;

struct Link {
    queue: mpsc::Sender<Vec<u8>>,
    waiting: Waiting,
    up: Cell<bool>,
    /// The answer that is coming in.
    arriving: Cell<Arriving>,
}

/// Id of a call, and how much of its answer has come.
#[derive(Clone, Copy, Default)]
struct Arriving {
    id: u64,
    bytes: usize,
}

/// This node's connections to others.
pub struct Links {
    net: SharedNet,
    peers: RefCell<BTreeMap<SocketAddr, Rc<Link>>>,
    next: Cell<u64>,
}

fn frame(id: u64, body: &impl SerBin) -> Vec<u8> {
    let mut out = vec![0; 12];
    body.ser_bin(&mut out);
    let length = (out.len() - 4) as u32;
    out[..4].copy_from_slice(&length.to_le_bytes());
    out[4..12].copy_from_slice(&id.to_le_bytes());
    out
}

/// Id and body of the next frame; None where the connection ends or is not ours. `progress` hears of each part that
/// comes.
async fn next_frame(
    from: &mut BufReader<ReadHalf<Stream>>,
    progress: impl Fn(Arriving),
) -> Option<(u64, Vec<u8>)> {
    let length = from.read_u32_le().await.ok()? as usize;
    if !(8..=MAX_FRAME).contains(&length) {
        return None;
    }
    let id = from.read_u64_le().await.ok()?;
    let wanted = length - 8;
    // Grows as bytes come, not as a hostile length claims.
    let mut body = Vec::new();
    while body.len() < wanted {
        let part = from.fill_buf().await.ok()?;
        if part.is_empty() {
            return None;
        }
        let taken = part.len().min(wanted - body.len());
        body.extend_from_slice(&part[..taken]);
        from.consume(taken);
        progress(Arriving {
            id,
            bytes: body.len(),
        });
    }
    Some((id, body))
}

/// None where the peer refuses, or no try came through.
async fn dial(net: &SharedNet, to: SocketAddr) -> Option<Stream> {
    for patience in DIALS {
        if let Ok(dialled) = timeout(patience, net.dial(to)).await {
            return dialled.ok();
        }
    }
    None
}

async fn write_frames(mut to: WriteHalf<Stream>, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Some(mut bytes) = queue.recv().await {
        // What waits goes out together: each write costs.
        while bytes.len() < 64 << 10 {
            match queue.try_recv() {
                Ok(more) => bytes.extend_from_slice(&more),
                Err(_) => break,
            }
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

impl Links {
    pub fn new(net: SharedNet) -> Rc<Links> {
        Rc::new(Links {
            net,
            peers: RefCell::default(),
            next: Cell::new(0),
        })
    }

    fn link(self: &Rc<Self>, to: SocketAddr) -> Rc<Link> {
        if let Some(link) = self.peers.borrow().get(&to) {
            return link.clone();
        }
        let (queue, queued) = mpsc::channel(QUEUE);
        let link = Rc::new(Link {
            queue,
            waiting: Waiting::default(),
            up: Cell::new(false),
            arriving: Cell::default(),
        });
        self.peers.borrow_mut().insert(to, link.clone());
        let (links, held) = (self.clone(), link.clone());
        spawn_local(async move {
            held.run(&links.net, to, queued).await;
            // Dropping the senders tells every caller.
            held.waiting.borrow_mut().clear();
            let mut peers = links.peers.borrow_mut();
            if peers.get(&to).is_some_and(|l| Rc::ptr_eq(l, &held)) {
                peers.remove(&to);
            }
        });
        link
    }

    /// A number that no other call of this process has, on any connection: an answer that comes late finds nobody.
    fn next_id(&self) -> u64 {
        let id = self.next.get();
        if rules::call_ids_are_unique() {
            self.next.set(id + 1);
        }
        id
    }

    /// One call and its answer. It is sent once: `Unreachable` and `Crowded` prove that it was not sent, `Broken` and
    /// `Silent` prove nothing, and the caller decides whether it may be repeated.
    pub async fn call(
        self: &Rc<Self>,
        to: SocketAddr,
        call: &Call,
        patience: Duration,
    ) -> Result<Reply, LinkError> {
        let link = self.link(to);
        let id = self.next_id();
        let (answer, mut answered) = oneshot::channel();
        link.waiting.borrow_mut().insert(id, answer);
        if link.queue.try_send(frame(id, call)).is_err() {
            link.waiting.borrow_mut().remove(&id);
            return Err(LinkError::Crowded);
        }
        let began = Instant::now();
        loop {
            let before = link.arrived(id);
            match timeout(patience, &mut answered).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(_)) if link.up.get() => return Err(LinkError::Broken),
                Ok(Err(_)) => return Err(LinkError::Unreachable),
                Err(_) if link.arrived(id) > before && began.elapsed() < LONGEST_ANSWER => {}
                Err(_) => {
                    link.waiting.borrow_mut().remove(&id);
                    return Err(LinkError::TimedOut);
                }
            }
        }
    }

    /// One word that needs no answer; lost where the peer can't be reached.
    pub fn cast(self: &Rc<Self>, to: SocketAddr, call: &Call) {
        let link = self.link(to);
        let id = self.next_id();
        // Full: the peer reads too slowly, and what was lost is said again by whoever needs it.
        let _ = link.queue.try_send(frame(id, call));
    }
}

impl Link {
    /// How much of the answer to a call has come, while it is the one that is coming.
    fn arrived(&self, id: u64) -> usize {
        let arriving = self.arriving.get();
        if arriving.id == id && rules::arriving_replies_extend_timeout() {
            arriving.bytes
        } else {
            0
        }
    }

    async fn run(&self, net: &SharedNet, to: SocketAddr, queued: mpsc::Receiver<Vec<u8>>) {
        let Some(mut stream) = dial(net, to).await else {
            return;
        };
        if stream.write_all(HELLO).await.is_err() {
            return;
        }
        self.up.set(true);
        let (from, into) = split(stream);
        let mut from = BufReader::new(from);
        let reading = async {
            while let Some((id, body)) = next_frame(&mut from, |a| self.arriving.set(a)).await {
                let Some(reply) = sparrouter_codec::read::<Reply>(&body) else {
                    return;
                };
                if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
                    // A caller that no longer waits has said so by dropping its end.
                    let _ = waiting.send(reply);
                }
            }
        };
        // In this order, so that the same seed gives the same run.
        tokio::select! {
            biased;
            () = reading => {}
            () = write_frames(into, queued) => {}
        }
    }
}

/// Takes the calls of other nodes; each is answered by `answer`, which may take its time.
pub async fn serve<F, A>(door: Box<dyn Listener>, answer: F)
where
    F: Fn(SocketAddr, Call) -> A + Clone + 'static,
    A: Future<Output = Option<Reply>> + 'static,
{
    let places = Arc::new(Semaphore::new(PEERS));
    loop {
        let (stream, peer) = net::accept(&*door).await;
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        let answer = answer.clone();
        spawn_local(async move {
            attend(stream, peer, answer).await;
            drop(place);
        });
    }
}

async fn attend<F, A>(stream: Stream, peer: SocketAddr, answer: F)
where
    F: Fn(SocketAddr, Call) -> A + Clone + 'static,
    A: Future<Output = Option<Reply>> + 'static,
{
    let (from, into) = split(stream);
    let mut from = BufReader::new(from);
    let mut hello = [0; HELLO.len()];
    let greeted = timeout(Duration::from_secs(5), from.read_exact(&mut hello)).await;
    if !matches!(greeted, Ok(Ok(_))) || &hello != HELLO {
        return;
    }
    let (queue, queued) = mpsc::channel(QUEUE);
    let at_once = Arc::new(Semaphore::new(AT_ONCE));
    let reading = async {
        while let Some((id, body)) = next_frame(&mut from, |_| ()).await {
            let Some(call) = sparrouter_codec::read::<Call>(&body) else {
                return;
            };
            let Ok(permit) = at_once.clone().acquire_owned().await else {
                return;
            };
            let (answer, queue) = (answer.clone(), queue.clone());
            spawn_local(async move {
                if let Some(reply) = answer(peer, call).await {
                    // The peer may have left meanwhile.
                    let _ = queue.send(frame(id, &reply)).await;
                }
                drop(permit);
            });
        }
    };
    // In this order, so that the same seed gives the same run.
    tokio::select! {
        biased;
        () = reading => {}
        () = write_frames(into, queued) => {}
    }
}
