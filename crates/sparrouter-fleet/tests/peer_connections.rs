//! Connections between nodes: the versions of the protocol that a node of this release accepts and speaks.
mod common;

use common::PipeConnection;
use nanoserde::{DeBin, SerBin};
use sparrouter_fleet::peer::links::{LinkError, Links};
use sparrouter_fleet::peer::messages::{Call, HELLO, QUOTA_HELLO, Reply};
use sparrouter_fleet::peer::server;
use sparrouter_fleet::platform::net::{BoxFuture, Listener, Net, Stream};
use std::cell::RefCell;
use std::future::{Future, pending};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Longer than a connection may take for its first bytes.
const PATIENCE: Duration = Duration::from_secs(20);

fn peer() -> SocketAddr {
    "10.0.0.2:7360".parse().expect("an address")
}

/// Connections that the test makes.
struct Arriving(RefCell<Vec<DuplexStream>>);

impl Listener for Arriving {
    fn accept(&self) -> BoxFuture<'_, io::Result<(Stream, SocketAddr)>> {
        let next = self.0.borrow_mut().pop();
        Box::pin(async move {
            match next {
                Some(stream) => Ok((Box::new(PipeConnection(stream)) as Stream, peer())),
                None => pending().await,
            }
        })
    }
}

/// Each connection that is dialled comes out at the other end of the channel.
struct Dialled(UnboundedSender<DuplexStream>);

impl Net for Dialled {
    fn dial(&self, _: SocketAddr) -> BoxFuture<'_, io::Result<Stream>> {
        let (near, far) = duplex(1 << 20);
        let dialled = self.0.send(far);
        Box::pin(async move {
            dialled.map_err(|_| io::Error::from(ErrorKind::ConnectionRefused))?;
            Ok(Box::new(PipeConnection(near)) as Stream)
        })
    }
    fn listen(&self, _: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(ErrorKind::Unsupported.into())
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// A call as an earlier or later node writes it: its bytes in a frame with the id 1.
fn frame(body: &[u8]) -> Vec<u8> {
    let mut frame = ((body.len() + 8) as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&1_u64.to_le_bytes());
    frame.extend_from_slice(body);
    frame
}

fn take_permits() -> Call {
    Call::TakePermits {
        shard: 1,
        tenant: "t".to_owned(),
        wanted: 1,
    }
}

/// What a node of this release does with a connection that begins with these bytes and goes on with a call.
#[derive(Debug, PartialEq)]
struct Served {
    /// Calls that it answered.
    answered: usize,
    /// Bytes that it sent.
    reply: Vec<u8>,
    /// Whether it closed the connection.
    is_closed: bool,
}

async fn served(hello: &[u8]) -> Served {
    let (near, mut far) = duplex(1 << 20);
    let answered = Rc::new(RefCell::new(0));
    let counted = answered.clone();
    let listener = Box::new(Arriving(RefCell::new(vec![near])));
    spawn_local(server::serve(listener, move |_, _| {
        let counted = counted.clone();
        async move {
            *counted.borrow_mut() += 1;
            Some(Reply::Acknowledged)
        }
    }));
    far.write_all(hello).await.expect("a reader");
    // The node may have closed the connection by now.
    let _ = far.write_all(&frame(&take_permits().serialize_bin())).await;
    let mut reply = Vec::new();
    let ended = timeout(PATIENCE, far.read_to_end(&mut reply)).await;
    let answered = *answered.borrow();
    Served {
        answered,
        reply,
        is_closed: ended.is_ok(),
    }
}

/// Guards against a release that refuses calls of nodes that were not upgraded yet, or calls of quotas.
#[test]
fn given_a_connection_of_either_version_when_it_is_made_then_its_calls_are_answered() {
    run(async {
        for hello in [HELLO, QUOTA_HELLO] {
            let expected = Served {
                answered: 1,
                reply: frame(&Reply::Acknowledged.serialize_bin()),
                is_closed: false,
            };
            assert_eq!(served(hello).await, expected, "{hello:?}");
        }
    });
}

/// Guards against calls of a later release that are taken for others of this one: their numbers may mean something else.
#[test]
fn given_a_connection_of_another_version_when_it_is_made_then_it_is_closed_without_an_answer() {
    run(async {
        for hello in [
            b"sprtrfl4",
            b"sprtrfl7",
            b"sprtrfl\0",
            b"GET / HT",
            b"\0\0\0\0\0\0\0\0",
        ] {
            let expected = Served {
                answered: 0,
                reply: Vec::new(),
                is_closed: true,
            };
            assert_eq!(served(hello).await, expected, "{hello:?}");
        }
    });
}

/// Guards against a node that was not upgraded yet and closes the connection that its other calls wait on: calls of quotas
/// have connections of their own, which begin with the version that knows them.
#[test]
fn given_calls_of_both_versions_when_sent_then_each_goes_by_a_connection_of_its_own_version() {
    run(async {
        let (give, mut dialled) = unbounded_channel();
        let net = Rc::new(Dialled(give));
        let earlier = Links::new(net.clone());
        let quotas = Links::speaking(QUOTA_HELLO, net);
        earlier.cast(peer(), &Call::ServedElsewhere { server: 1 });
        quotas.cast(peer(), &take_permits());
        for (hello, is_of_quotas) in [(HELLO, false), (QUOTA_HELLO, true)] {
            let mut stream = dialled.recv().await.expect("a connection");
            let mut read = [0; HELLO.len()];
            stream.read_exact(&mut read).await.expect("a greeting");
            assert_eq!(&read, hello);
            let length = stream.read_u32_le().await.expect("a frame") as usize;
            let mut body = vec![0; length];
            stream.read_exact(&mut body).await.expect("a call");
            let call = Call::deserialize_bin(&body[8..]).expect("a call");
            let is_take = matches!(call, Call::TakePermits { .. });
            assert_eq!(is_take, is_of_quotas, "{call:?}");
        }
    });
}

/// Guards against a request that waits for long where a holder of an earlier release closes the connection.
#[test]
fn given_a_node_of_an_earlier_release_when_it_is_asked_for_permits_then_the_call_ends_at_once() {
    run(async {
        let (give, mut dialled) = unbounded_channel();
        let quotas = Links::speaking(QUOTA_HELLO, Rc::new(Dialled(give)));
        let call = take_permits();
        let asking = quotas.call(peer(), &call, CALL_TIMEOUT);
        let closing = async {
            let mut stream = dialled.recv().await.expect("a connection");
            let mut hello = [0; HELLO.len()];
            stream.read_exact(&mut hello).await.expect("a greeting");
        };
        let began = tokio::time::Instant::now();
        let (asked, ()) = tokio::join!(asking, closing);
        assert_eq!(asked.expect_err("closed"), LinkError::Broken);
        assert!(began.elapsed() < CALL_TIMEOUT, "{:?}", began.elapsed());
    });
}
