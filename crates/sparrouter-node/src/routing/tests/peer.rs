//! A peer's actor alone, before a cache server that does what each case says, at the moment that it names.
use crate::protocol::messages::Invocation;
use crate::routing::Told;
use crate::routing::peer::{self, Ended, Forward, Handle, Limits, Order, PeerSays};
use crate::routing::tests::play;
use crate::transport::budget::{Room, Share};
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
/// module heard of the end, both since the withdrawal.
fn withdrawn() -> (Duration, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (module, mut told) = mpsc::channel(8);
        let limits = Limits {
            dial: 800 * MS,
            probe: 800 * MS,
            overlaps: false,
        };
        let pool = Pool::new(Share::new(8), 1000 * MS);
        let peer = peer::start(0, at, pool, module, limits, Room::USUAL);
        assert!(peer.order(Order::Forward(forward(1, invocation(), None))));
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut text).await.unwrap() > 0);
        }
        let start = Instant::now();
        assert!(peer.order(Order::Withdraw { inv: 1, copy: 0 }));
        let closed = async {
            assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0);
            start.elapsed()
        };
        let heard = async {
            let Some(Told::Peer(PeerSays::Ended { how, .. })) = told.recv().await else {
                panic!("no end")
            };
            assert_eq!(how.outcome, Outcome::Withdrawn);
            start.elapsed()
        };
        timeout(5000 * MS, async { tokio::join!(closed, heard) })
            .await
            .unwrap()
    })
}

/// Guards against second copies where none are allowed: a next forward may leave only once the close of
/// the one before has had its way there.
#[test]
fn a_withdrawn_forward_has_ended_once_its_close_can_have_arrived() {
    let (closed, heard) = withdrawn();
    assert!(
        heard >= MS && heard > closed,
        "closed after {closed:?}, heard after {heard:?}"
    );
}

/// A peer's actor and the cache server's side of it. That side's streams are plain ones, so that what it does has
/// come to the system before the actor runs again, while the runtime has not looked yet.
struct Stage {
    listener: TcpListener,
    peer: Handle,
    told: mpsc::Receiver<Told>,
}

const HIT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhit";

impl Stage {
    async fn new() -> Stage {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (module, told) = mpsc::channel(8);
        let limits = Limits {
            dial: 800 * MS,
            probe: 800 * MS,
            overlaps: true,
        };
        let pool = Pool::new(Share::new(8), 5000 * MS);
        let peer = peer::start(
            0,
            listener.local_addr().unwrap(),
            pool,
            module,
            limits,
            Room::USUAL,
        );
        Stage {
            listener,
            peer,
            told,
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
                .order(Order::Forward(forward(inv, invocation(), None)))
        );
    }
    async fn ended(&mut self) -> Ended {
        match timeout(5000 * MS, self.told.recv()).await.expect("an end") {
            Some(Told::Peer(PeerSays::Ended { how, .. })) => how,
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
            let mut stage = Stage::new().await;
            let mut old = stage.rested().await;
            if unasked.is_empty() {
                drop(old)
            } else {
                old.write_all(unasked).unwrap()
            }
            stage.send(2);
            let mut new = stage.accept().await;
            request(&mut new).await;
            new.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
                .unwrap();
            let how = stage.ended().await;
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
        let (mut stage, at) = (
            Stage::new().await,
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let old = stage.listener.local_addr().unwrap();
        stage.send(1);
        stage.peer.listed(old, false);
        assert_eq!(stage.ended().await.outcome, Outcome::NotSent);
        let mut dialled = stage.accept().await;
        assert_eq!(
            byte(&mut dialled).await,
            None,
            "nothing is sent to one that drains"
        );
        // Its connection stands at the old address when another one is listed.
        stage.peer.listed(old, true);
        stage.send(2);
        let mut held = stage.accept().await;
        request(&mut held).await;
        stage.peer.listed(at.local_addr().unwrap(), true);
        held.write_all(HIT).unwrap();
        assert_eq!(stage.ended().await.outcome, Outcome::Succeeded);
        stage.listener = at;
        stage.send(3);
        request(&mut stage.accept().await).await;
        assert_eq!(byte(&mut held).await, None, "not kept for the new address");
    });
}

/// The time within which a repeat is dropped runs out between the decision and the write, or under it.
#[test]
fn nothing_leaves_past_the_window_of_repeats() {
    play(async {
        let mut stage = Stage::new().await;
        assert!(stage.peer.order(Order::Forward(forward(
            1,
            invocation(),
            Some(Instant::now())
        ))));
        assert_eq!(stage.ended().await.outcome, Outcome::NotSent);
        // The connection that came up for it rests, and the next one uses it.
        let mut stream = stage.accept().await;
        assert!(stage.peer.order(Order::Forward(forward(
            2,
            invocation(),
            Some(Instant::now() + 5000 * MS)
        ))));
        request(&mut stream).await;
        stream.write_all(HIT).unwrap();
        assert_eq!(stage.ended().await.outcome, Outcome::Succeeded);
        // More than the way takes up while nobody reads.
        let body = Bytes::from(vec![b'x'; 32 << 20]);
        let long = Invocation {
            body: body.clone(),
            ..(*invocation()).clone()
        };
        let before = Some(Instant::now() + 100 * MS);
        assert!(
            stage
                .peer
                .order(Order::Forward(forward(3, Rc::new(long), before)))
        );
        assert_eq!(stage.ended().await.outcome, Outcome::NotSent);
        let mut came = 0;
        while byte(&mut stream).await.is_some() {
            came += 1;
        }
        assert!(came > 0 && came < body.len());
    });
}

/// An answer without a length ends with its connection; a reset is no end, soon after the head or long after.
#[test]
fn an_answer_without_a_length_ends_with_its_connection_and_with_nothing_else() {
    for (reset, late) in [(false, 0), (false, 60), (true, 0), (true, 60)] {
        play(async {
            let mut stage = Stage::new().await;
            stage.send(1);
            let mut stream = stage.accept().await;
            request(&mut stream).await;
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nall").unwrap();
            if late > 0 {
                assert!(
                    timeout(late * MS, stage.told.recv()).await.is_err(),
                    "not before its end"
                );
            }
            if reset {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
            }
            drop(stream);
            let how = stage.ended().await;
            let expected = if reset {
                (Outcome::Reset, &b""[..])
            } else {
                (Outcome::Succeeded, &b"all"[..])
            };
            assert_eq!((how.outcome, &how.body.bytes[..]), expected);
            // It carries no other exchange.
            stage.send(2);
            request(&mut stage.accept().await).await;
        });
    }
}

/// The client has left while the connection for its forward came up: nothing is written, and the connection is there
/// for the next one.
#[test]
fn a_connection_that_comes_up_for_a_client_that_left_carries_nothing_of_it() {
    play(async {
        let mut stage = Stage::new().await;
        let gone = forward(1, invocation(), None);
        gone.over.set(true);
        assert!(stage.peer.order(Order::Forward(gone)));
        assert_eq!(stage.ended().await.outcome, Outcome::NotSent);
        let mut stream = stage.accept().await;
        let next = Invocation {
            id: Bytes::from_static(b"next"),
            ..(*invocation()).clone()
        };
        assert!(
            stage
                .peer
                .order(Order::Forward(forward(2, Rc::new(next), None)))
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
        let mut stage = Stage::new().await;
        let mut stream = stage.rested().await;
        let late = Forward {
            wait: Duration::ZERO,
            ..forward(2, invocation(), None)
        };
        assert!(stage.peer.order(Order::Forward(late)));
        assert_eq!(stage.ended().await.outcome, Outcome::NotSent);
        let next = Invocation {
            id: Bytes::from_static(b"next"),
            ..(*invocation()).clone()
        };
        assert!(
            stage
                .peer
                .order(Order::Forward(forward(3, Rc::new(next), None)))
        );
        assert!(
            head(&mut stream).await.contains("X-Request-Id: next"),
            "the first to come, on the same connection"
        );
    });
}
