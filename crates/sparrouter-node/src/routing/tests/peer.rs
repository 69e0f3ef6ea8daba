//! Tests of a peer's actor against a cache server that each case scripts.
use crate::protocol::messages::Invocation;
use crate::routing::Message;
use crate::routing::peer::{
    self, Forward, ForwardId, ForwardResult, PeerCommand, PeerEvent, PeerHandle, PeerLimits,
};
use crate::routing::tests::run_local;
use crate::transport::budget::{BodyMemory, Budget};
use crate::transport::pool::Pool;
use bytes::Bytes;
use sparrouter_balancer::types::Outcome;
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

const MS: Duration = Duration::from_millis(1);

fn invocation() -> Rc<Invocation> {
    let text = |t: &'static str| Bytes::from_static(t.as_bytes());
    Rc::new(Invocation {
        method: text("GET"),
        target: text("/api/k"),
        host: Bytes::new(),
        id: text("a"),
        idempotency_key: None,
        operation: text("get"),
        tenant: None,
        client_timeout_ms: None,
        is_retry: false,
        body: Bytes::new(),
    })
}

fn forward(inv: u32, invocation: Rc<Invocation>, send_before: Option<Instant>) -> Forward {
    Forward {
        id: ForwardId {
            inv,
            number: 0,
            cache: 0,
        },
        invocation,
        is_answered: Rc::new(Cell::new(false)),
        ordered_at: Instant::now(),
        timeout: 5000 * MS,
        send_before,
    }
}

/// Withdraws a forward that the cache server has received completely. Returns the times from the withdrawal until the
/// cache server saw the close and until the decision actor got the result.
fn withdraw_forward() -> (Duration, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (decisions, mut events) = mpsc::channel(8);
        let limits = PeerLimits {
            connect_timeout: 800 * MS,
            health_check_timeout: 800 * MS,
            allows_hedging: false,
        };
        let pool = Pool::new(Budget::new(8), 1000 * MS);
        let peer = peer::start(0, address, pool, decisions, limits, BodyMemory::USUAL);
        assert!(peer.command(PeerCommand::Forward(forward(1, invocation(), None))));
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut text).await.unwrap() > 0);
        }
        let start = Instant::now();
        assert!(peer.command(PeerCommand::Withdraw { inv: 1, number: 0 }));
        let closed = async {
            assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0);
            start.elapsed()
        };
        let reported = async {
            let Some(Message::Peer(PeerEvent::ForwardEnded { result, .. })) = events.recv().await
            else {
                panic!("the event is not the end of a forward")
            };
            assert_eq!(result.outcome, Outcome::Withdrawn);
            start.elapsed()
        };
        timeout(5000 * MS, async { tokio::join!(closed, reported) })
            .await
            .unwrap()
    })
}

/// Guards against two forwards in flight if hedging is not allowed: the next forward may be sent only after the close
/// of the previous one can have arrived.
#[test]
fn a_withdrawn_forward_is_reported_once_its_close_can_have_arrived() {
    let (closed, reported) = withdraw_forward();
    assert!(
        reported >= MS && reported > closed,
        "closed after {closed:?}, reported after {reported:?}"
    );
}

/// A peer's actor and a scripted cache server. The server uses blocking streams of the standard library, so that its
/// writes and closes have reached the kernel before the actor runs again and before the runtime has polled the socket.
struct PeerFixture {
    listener: TcpListener,
    peer: PeerHandle,
    events: mpsc::Receiver<Message>,
}

const HIT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhit";

impl PeerFixture {
    async fn new() -> PeerFixture {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (decisions, events) = mpsc::channel(8);
        let limits = PeerLimits {
            connect_timeout: 800 * MS,
            health_check_timeout: 800 * MS,
            allows_hedging: true,
        };
        let pool = Pool::new(Budget::new(8), 5000 * MS);
        let peer = peer::start(
            0,
            listener.local_addr().unwrap(),
            pool,
            decisions,
            limits,
            BodyMemory::USUAL,
        );
        PeerFixture {
            listener,
            peer,
            events,
        }
    }
    async fn accept(&self) -> TcpStream {
        let (stream, _) = timeout(5000 * MS, self.listener.accept())
            .await
            .expect("a connection")
            .unwrap();
        stream.into_std().unwrap()
    }
    fn send(&self, inv: u32) {
        assert!(
            self.peer
                .command(PeerCommand::Forward(forward(inv, invocation(), None)))
        );
    }
    async fn forward_result(&mut self) -> ForwardResult {
        match timeout(5000 * MS, self.events.recv())
            .await
            .expect("an end")
        {
            Some(Message::Peer(PeerEvent::ForwardEnded { result, .. })) => result,
            _ => panic!("the event is not the end of a forward"),
        }
    }
    /// Completes one forward on a new connection, which is idle afterwards.
    async fn idle_connection(&mut self) -> TcpStream {
        self.send(1);
        let mut stream = self.accept().await;
        request(&mut stream).await;
        stream.write_all(HIT).unwrap();
        assert_eq!(self.forward_result().await.outcome, Outcome::Succeeded);
        stream
    }
}

/// Reads the next byte; `None` at the end of the stream. The runtime runs while no byte is available.
async fn byte(stream: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    for _ in 0..5000 {
        match stream.read(&mut byte) {
            Ok(1) => return Some(byte[0]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(MS).await,
            _ => return None,
        }
    }
    panic!("neither a byte nor the end of the stream was received");
}

async fn head(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(byte(stream).await.expect("a complete request"));
    }
    String::from_utf8(text).unwrap()
}

async fn request(stream: &mut TcpStream) {
    head(stream).await;
}

/// The cache server closes an idle connection, or writes unrequested data to it, just before a request is sent: the
/// request is sent on another connection, and the unrequested data is not taken for its answer.
#[test]
fn an_idle_connection_that_is_closed_or_has_unrequested_data_is_not_reused() {
    for unsolicited in [&b""[..], b"HTTP/1.", HIT] {
        run_local(async {
            let mut fixture = PeerFixture::new().await;
            let mut old = fixture.idle_connection().await;
            if unsolicited.is_empty() {
                drop(old)
            } else {
                old.write_all(unsolicited).unwrap()
            }
            fixture.send(2);
            let mut new = fixture.accept().await;
            request(&mut new).await;
            new.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
                .unwrap();
            let result = fixture.forward_result().await;
            assert_eq!(
                (result.outcome, &result.body.bytes[..]),
                (Outcome::Succeeded, &b"new"[..])
            );
        });
    }
}

/// The list marks the server as draining or changes its address while a forward waits in the mailbox or connects.
#[test]
fn list_updates_apply_to_queued_and_connecting_forwards() {
    run_local(async {
        let (mut fixture, other) = (
            PeerFixture::new().await,
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let old = fixture.listener.local_addr().unwrap();
        fixture.send(1);
        fixture.peer.update(old, false);
        assert_eq!(fixture.forward_result().await.outcome, Outcome::NotSent);
        let mut dialled = fixture.accept().await;
        assert_eq!(
            byte(&mut dialled).await,
            None,
            "nothing is sent to a draining server"
        );
        // The connection leads to the old address after another one is listed.
        fixture.peer.update(old, true);
        fixture.send(2);
        let mut in_flight = fixture.accept().await;
        request(&mut in_flight).await;
        fixture.peer.update(other.local_addr().unwrap(), true);
        in_flight.write_all(HIT).unwrap();
        assert_eq!(fixture.forward_result().await.outcome, Outcome::Succeeded);
        fixture.listener = other;
        fixture.send(3);
        request(&mut fixture.accept().await).await;
        assert_eq!(
            byte(&mut in_flight).await,
            None,
            "the old connection is not reused for the new address"
        );
    });
}

/// The deduplication window of a retry ends between the decision and the write, or during the write.
#[test]
fn a_retry_is_not_sent_after_its_deduplication_window() {
    run_local(async {
        let mut fixture = PeerFixture::new().await;
        assert!(fixture.peer.command(PeerCommand::Forward(forward(
            1,
            invocation(),
            Some(Instant::now())
        ))));
        assert_eq!(fixture.forward_result().await.outcome, Outcome::NotSent);
        // The connection that was established for the forward is idle, and the next forward uses it.
        let mut stream = fixture.accept().await;
        assert!(fixture.peer.command(PeerCommand::Forward(forward(
            2,
            invocation(),
            Some(Instant::now() + 5000 * MS)
        ))));
        request(&mut stream).await;
        stream.write_all(HIT).unwrap();
        assert_eq!(fixture.forward_result().await.outcome, Outcome::Succeeded);
        // Longer than the buffers of the connection, which the server does not read.
        let body = Bytes::from(vec![b'x'; 32 << 20]);
        let long = Invocation {
            body: body.clone(),
            ..(*invocation()).clone()
        };
        let send_before = Some(Instant::now() + 100 * MS);
        assert!(
            fixture
                .peer
                .command(PeerCommand::Forward(forward(3, Rc::new(long), send_before)))
        );
        assert_eq!(fixture.forward_result().await.outcome, Outcome::NotSent);
        let mut received = 0;
        while byte(&mut stream).await.is_some() {
            received += 1;
        }
        assert!(received > 0 && received < body.len());
    });
}

/// The invocation is answered, for example by its client timeout, while its forward's write waits for a server that
/// does not read: the rest is not written, even before the withdrawal has passed the mailbox.
#[test]
fn a_write_that_waits_ends_once_its_invocation_is_answered() {
    run_local(async {
        let mut fixture = PeerFixture::new().await;
        // Longer than the buffers of the connection, which the server does not read.
        let body = Bytes::from(vec![b'x'; 32 << 20]);
        let long = Invocation {
            body: body.clone(),
            ..(*invocation()).clone()
        };
        let waiting = forward(1, Rc::new(long), None);
        let is_answered = waiting.is_answered.clone();
        assert!(fixture.peer.command(PeerCommand::Forward(waiting)));
        let mut stream = fixture.accept().await;
        request(&mut stream).await;
        is_answered.set(true);
        let mut received = 0;
        while byte(&mut stream).await.is_some() {
            received += 1;
        }
        assert!(received < body.len(), "all {received} bytes were sent");
        assert_eq!(fixture.forward_result().await.outcome, Outcome::NotSent);
    });
}

/// An answer without a length ends with its connection. A reset is not a valid end, soon after the head or long after
/// it.
#[test]
fn an_answer_without_a_length_ends_only_with_a_regular_close_of_its_connection() {
    for (reset, late) in [(false, 0), (false, 60), (true, 0), (true, 60)] {
        run_local(async {
            let mut fixture = PeerFixture::new().await;
            fixture.send(1);
            let mut stream = fixture.accept().await;
            request(&mut stream).await;
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nall").unwrap();
            if late > 0 {
                assert!(
                    timeout(late * MS, fixture.events.recv()).await.is_err(),
                    "the forward ends only with the connection"
                );
            }
            if reset {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
            drop(stream);
            let result = fixture.forward_result().await;
            let expected = if reset {
                (Outcome::Reset, &b""[..])
            } else {
                (Outcome::Succeeded, &b"all"[..])
            };
            assert_eq!((result.outcome, &result.body.bytes[..]), expected);
            // The connection carries no other exchange.
            fixture.send(2);
            request(&mut fixture.accept().await).await;
        });
    }
}

/// The client disconnected while its forward was connecting: nothing is written, and the connection is available for
/// the next forward.
#[test]
fn a_connection_established_for_a_client_that_left_carries_only_the_next_forward() {
    run_local(async {
        let mut fixture = PeerFixture::new().await;
        let departed = forward(1, invocation(), None);
        departed.is_answered.set(true);
        assert!(fixture.peer.command(PeerCommand::Forward(departed)));
        assert_eq!(fixture.forward_result().await.outcome, Outcome::NotSent);
        let mut stream = fixture.accept().await;
        let next = Invocation {
            id: Bytes::from_static(b"next"),
            ..(*invocation()).clone()
        };
        assert!(
            fixture
                .peer
                .command(PeerCommand::Forward(forward(2, Rc::new(next), None)))
        );
        let text = head(&mut stream).await;
        assert!(
            text.contains("X-Request-Id: next") && text.matches("GET ").count() == 1,
            "{text}"
        );
    });
}

/// The client timeout ends while a forward waits in the mailbox. An idle connection is available, but nothing is sent.
#[test]
fn a_forward_is_not_sent_after_its_timeout() {
    run_local(async {
        let mut fixture = PeerFixture::new().await;
        let mut stream = fixture.idle_connection().await;
        let late = Forward {
            timeout: Duration::ZERO,
            ..forward(2, invocation(), None)
        };
        assert!(fixture.peer.command(PeerCommand::Forward(late)));
        assert_eq!(fixture.forward_result().await.outcome, Outcome::NotSent);
        let next = Invocation {
            id: Bytes::from_static(b"next"),
            ..(*invocation()).clone()
        };
        assert!(
            fixture
                .peer
                .command(PeerCommand::Forward(forward(3, Rc::new(next), None)))
        );
        assert!(
            head(&mut stream).await.contains("X-Request-Id: next"),
            "the next forward is the first on the idle connection"
        );
    });
}
