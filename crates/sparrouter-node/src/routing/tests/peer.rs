//! A peer's actor alone, before a cache server that does what each case says, at the moment that it names.
use crate::protocol::messages::Invocation;
use crate::routing::Message;
use crate::routing::peer::{
    self, Forward, ForwardResult, Limits, PeerCommand, PeerEvent, PeerHandle,
};
use crate::routing::tests::play;
use crate::transport::budget::{BodyMemory, DescriptorBudget};
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
        mark: None,
        operation: text("get"),
        tenant: None,
        patience_ms: None,
        repeat: false,
        body: Bytes::new(),
    })
}

fn forward(inv: u32, invocation: Rc<Invocation>, before: Option<Instant>) -> Forward {
    let (over, wait) = (Rc::new(Cell::new(false)), 5000 * MS);
    Forward {
        inv,
        copy: 0,
        invocation,
        over,
        at: Instant::now(),
        wait,
        before,
    }
}

/// One forward, whole at the other side, then withdrawn: when the other side saw the close, and when the
/// module reported of the end, both since the withdrawal.
fn withdrawn() -> (Duration, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (module, mut events) = mpsc::channel(8);
        let limits = Limits {
            dial: 800 * MS,
            probe: 800 * MS,
            overlaps: false,
        };
        let pool = Pool::new(DescriptorBudget::new(8), 1000 * MS);
        let peer = peer::start(0, at, pool, module, limits, BodyMemory::USUAL);
        assert!(peer.order(PeerCommand::Forward(forward(1, invocation(), None))));
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut text).await.unwrap() > 0);
        }
        let start = Instant::now();
        assert!(peer.order(PeerCommand::Withdraw { inv: 1, copy: 0 }));
        let closed = async {
            assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0);
            start.elapsed()
        };
        let reported = async {
            let Some(Message::Peer(PeerEvent::ForwardEnded { how, .. })) = events.recv().await
            else {
                panic!("no end")
            };
            assert_eq!(how.outcome, Outcome::Withdrawn);
            start.elapsed()
        };
        timeout(5000 * MS, async { tokio::join!(closed, reported) })
            .await
            .unwrap()
    })
}

/// Guards against second copies where none are allowed: a next forward may leave only once the close of
/// the one before has had its way there.
#[test]
fn a_withdrawn_forward_has_ended_once_its_close_can_have_arrived() {
    let (closed, reported) = withdrawn();
    assert!(
        reported >= MS && reported > closed,
        "closed after {closed:?}, reported after {reported:?}"
    );
}

/// A peer's actor and the cache server's side of it. That side's streams are plain ones, so that what it does has
/// come to the system before the actor runs again, while the runtime has not looked yet.
struct PeerFixture {
    listener: TcpListener,
    peer: PeerHandle,
    events: mpsc::Receiver<Message>,
}

const HIT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhit";

impl PeerFixture {
    async fn new() -> PeerFixture {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (module, events) = mpsc::channel(8);
        let limits = Limits {
            dial: 800 * MS,
            probe: 800 * MS,
            overlaps: true,
        };
        let pool = Pool::new(DescriptorBudget::new(8), 5000 * MS);
        let peer = peer::start(
            0,
            listener.local_addr().unwrap(),
            pool,
            module,
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
                .order(PeerCommand::Forward(forward(inv, invocation(), None)))
        );
    }
    async fn ended(&mut self) -> ForwardResult {
        match timeout(5000 * MS, self.events.recv())
            .await
            .expect("an end")
        {
            Some(Message::Peer(PeerEvent::ForwardEnded { how, .. })) => how,
            _ => panic!("nothing but a forward's end"),
        }
    }
    /// One forward on a new connection, answered; the connection rests from now on.
    async fn rested(&mut self) -> TcpStream {
        self.send(1);
        let mut stream = self.accept().await;
        request(&mut stream).await;
        stream.write_all(HIT).unwrap();
        assert_eq!(self.ended().await.outcome, Outcome::Succeeded);
        stream
    }
}

/// The next byte; none at the end. The runtime goes on while there is none yet.
async fn byte(stream: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    for _ in 0..5000 {
        match stream.read(&mut byte) {
            Ok(1) => return Some(byte[0]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(MS).await,
            _ => return None,
        }
    }
    panic!("neither a byte nor an end");
}

async fn head(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(byte(stream).await.expect("a whole request"));
    }
    String::from_utf8(text).unwrap()
}

async fn request(stream: &mut TcpStream) {
    head(stream).await;
}

/// The cache server ends a resting connection, or writes into it what nobody asked for, just as a request is to go
/// out: it goes out on another one, and what was left there is no answer to it.
#[test]
fn what_came_on_a_resting_connection_is_seen_before_a_request_goes_out() {
    for unasked in [&b""[..], b"HTTP/1.", HIT] {
        play(async {
            let mut fixture = PeerFixture::new().await;
            let mut old = fixture.rested().await;
            if unasked.is_empty() {
                drop(old)
            } else {
                old.write_all(unasked).unwrap()
            }
            fixture.send(2);
            let mut new = fixture.accept().await;
            request(&mut new).await;
            new.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
                .unwrap();
            let how = fixture.ended().await;
            assert_eq!(
                (how.outcome, &how.body.bytes[..]),
                (Outcome::Succeeded, &b"new"[..])
            );
        });
    }
}

/// The list says that it drains, or is elsewhere, while a forward stands in the mailbox or its connection comes up.
#[test]
fn what_the_list_says_holds_for_forwards_already_ordered() {
    play(async {
        let (mut fixture, at) = (
            PeerFixture::new().await,
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let old = fixture.listener.local_addr().unwrap();
        fixture.send(1);
        fixture.peer.listed(old, false);
        assert_eq!(fixture.ended().await.outcome, Outcome::NotSent);
        let mut dialled = fixture.accept().await;
        assert_eq!(
            byte(&mut dialled).await,
            None,
            "nothing is sent to one that drains"
        );
        // Its connection stands at the old address when another one is listed.
        fixture.peer.listed(old, true);
        fixture.send(2);
        let mut in_flight = fixture.accept().await;
        request(&mut in_flight).await;
        fixture.peer.listed(at.local_addr().unwrap(), true);
        in_flight.write_all(HIT).unwrap();
        assert_eq!(fixture.ended().await.outcome, Outcome::Succeeded);
        fixture.listener = at;
        fixture.send(3);
        request(&mut fixture.accept().await).await;
        assert_eq!(
            byte(&mut in_flight).await,
            None,
            "not kept for the new address"
        );
    });
}

/// The time within which a repeat is dropped runs out between the decision and the write, or under it.
#[test]
fn nothing_leaves_past_the_window_of_repeats() {
    play(async {
        let mut fixture = PeerFixture::new().await;
        assert!(fixture.peer.order(PeerCommand::Forward(forward(
            1,
            invocation(),
            Some(Instant::now())
        ))));
        assert_eq!(fixture.ended().await.outcome, Outcome::NotSent);
        // The connection that received up for it rests, and the next one uses it.
        let mut stream = fixture.accept().await;
        assert!(fixture.peer.order(PeerCommand::Forward(forward(
            2,
            invocation(),
            Some(Instant::now() + 5000 * MS)
        ))));
        request(&mut stream).await;
        stream.write_all(HIT).unwrap();
        assert_eq!(fixture.ended().await.outcome, Outcome::Succeeded);
        // More than the way takes up while nobody reads.
        let body = Bytes::from(vec![b'x'; 32 << 20]);
        let long = Invocation {
            body: body.clone(),
            ..(*invocation()).clone()
        };
        let before = Some(Instant::now() + 100 * MS);
        assert!(
            fixture
                .peer
                .order(PeerCommand::Forward(forward(3, Rc::new(long), before)))
        );
        assert_eq!(fixture.ended().await.outcome, Outcome::NotSent);
        let mut received = 0;
        while byte(&mut stream).await.is_some() {
            received += 1;
        }
        assert!(received > 0 && received < body.len());
    });
}

/// An answer without a length ends with its connection; a reset is no end, soon after the head or long after.
#[test]
fn an_answer_without_a_length_ends_with_its_connection_and_with_nothing_else() {
    for (reset, late) in [(false, 0), (false, 60), (true, 0), (true, 60)] {
        play(async {
            let mut fixture = PeerFixture::new().await;
            fixture.send(1);
            let mut stream = fixture.accept().await;
            request(&mut stream).await;
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nall").unwrap();
            if late > 0 {
                assert!(
                    timeout(late * MS, fixture.events.recv()).await.is_err(),
                    "not before its end"
                );
            }
            if reset {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
            drop(stream);
            let how = fixture.ended().await;
            let expected = if reset {
                (Outcome::Reset, &b""[..])
            } else {
                (Outcome::Succeeded, &b"all"[..])
            };
            assert_eq!((how.outcome, &how.body.bytes[..]), expected);
            // It carries no other exchange.
            fixture.send(2);
            request(&mut fixture.accept().await).await;
        });
    }
}

/// The client has left while the connection for its forward received up: nothing is written, and the connection is there
/// for the next one.
#[test]
fn a_connection_that_comes_up_for_a_client_that_left_carries_nothing_of_it() {
    play(async {
        let mut fixture = PeerFixture::new().await;
        let departed = forward(1, invocation(), None);
        departed.over.set(true);
        assert!(fixture.peer.order(PeerCommand::Forward(departed)));
        assert_eq!(fixture.ended().await.outcome, Outcome::NotSent);
        let mut stream = fixture.accept().await;
        let next = Invocation {
            id: Bytes::from_static(b"next"),
            ..(*invocation()).clone()
        };
        assert!(
            fixture
                .peer
                .order(PeerCommand::Forward(forward(2, Rc::new(next), None)))
        );
        let text = head(&mut stream).await;
        assert!(
            text.contains("X-Request-Id: next") && text.matches("GET ").count() == 1,
            "{text}"
        );
    });
}

/// The client timeout runs out while a forward stands in the mailbox: a resting connection would take it at once.
#[test]
fn nothing_leaves_after_its_time() {
    play(async {
        let mut fixture = PeerFixture::new().await;
        let mut stream = fixture.rested().await;
        let late = Forward {
            wait: Duration::ZERO,
            ..forward(2, invocation(), None)
        };
        assert!(fixture.peer.order(PeerCommand::Forward(late)));
        assert_eq!(fixture.ended().await.outcome, Outcome::NotSent);
        let next = Invocation {
            id: Bytes::from_static(b"next"),
            ..(*invocation()).clone()
        };
        assert!(
            fixture
                .peer
                .order(PeerCommand::Forward(forward(3, Rc::new(next), None)))
        );
        assert!(
            head(&mut stream).await.contains("X-Request-Id: next"),
            "the first to come, on the same connection"
        );
    });
}
