//! Calls between nodes: each answer goes to the caller that it is for, none is sent twice, and what an error proves.
#[path = "../../sparrouter-fleet/tests/common/mod.rs"]
mod common;

use common::PipeConnection;
use nanoserde::{DeBin, SerBin};
use sparrouter_fleet::peer::links::{LinkError, Links};
use sparrouter_fleet::peer::messages::{Call, HELLO, MAX_FRAME, Reply};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_fleet::platform::net::{BoxFuture, Listener, Net, Stream};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{JoinHandle, LocalSet, spawn_local};

const CALL_TIMEOUT: Duration = Duration::from_millis(300);

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

/// A node's connections, and the peer that the test plays.
struct TestPeer {
    links: Rc<Links>,
    dialled: UnboundedReceiver<DuplexStream>,
}

fn peer() -> SocketAddr {
    "10.0.0.2:7360".parse().expect("an address")
}

fn run<T: std::future::Future>(test: impl FnOnce(TestPeer) -> T) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let (give, dialled) = unbounded_channel();
    let links = Links::new(Rc::new(Dialled(give)));
    let test = test(TestPeer { links, dialled });
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

impl TestPeer {
    /// Begins a call that is recognised by its number.
    fn call(&self, number: u64) -> JoinHandle<Result<Reply, LinkError>> {
        let links = self.links.clone();
        let call = Call::QueryPrefix {
            key: number,
            server: 0,
            store: 0,
        };
        spawn_local(async move { links.call(peer(), &call, CALL_TIMEOUT).await })
    }

    async fn connection(&mut self) -> Peer {
        let mut stream = self.dialled.recv().await.expect("a connection");
        let mut hello = [0; HELLO.len()];
        stream.read_exact(&mut hello).await.expect("a greeting");
        assert_eq!(&hello, HELLO);
        Peer(stream)
    }
}

struct Peer(DuplexStream);

impl Peer {
    /// Id and number of the next call.
    async fn next(&mut self) -> (u64, u64) {
        let length = self.0.read_u32_le().await.expect("a frame") as usize;
        let id = self.0.read_u64_le().await.expect("an id");
        let mut body = vec![0; length - 8];
        self.0.read_exact(&mut body).await.expect("a body");
        match Call::deserialize_bin(&body).expect("a call") {
            Call::QueryPrefix { key, .. } => (id, key),
            other => panic!("another call: {other:?}"),
        }
    }

    async fn answer(&mut self, id: u64, number: u64) {
        let body = SerBin::serialize_bin(&Reply::Wait { ms: number as u32 });
        let mut frame = ((body.len() + 8) as u32).to_le_bytes().to_vec();
        frame.extend_from_slice(&id.to_le_bytes());
        frame.extend_from_slice(&body);
        self.0.write_all(&frame).await.expect("a reader");
    }
}

async fn number(call: JoinHandle<Result<Reply, LinkError>>) -> Result<u64, LinkError> {
    match call.await.expect("a caller") {
        Ok(Reply::Wait { ms }) => Ok(u64::from(ms)),
        Ok(other) => panic!("another answer: {other:?}"),
        Err(why) => Err(why),
    }
}

#[test]
fn given_answers_in_another_order_when_they_come_then_each_caller_has_its_own() {
    run(|mut test| async move {
        let calls = [test.call(1), test.call(2), test.call(3)];
        let mut peer = test.connection().await;
        let mut ids = Vec::new();
        for _ in 0..3 {
            ids.push(peer.next().await);
        }
        for (id, number) in ids.into_iter().rev() {
            peer.answer(id, number).await;
        }
        for (index, call) in calls.into_iter().enumerate() {
            assert_eq!(number(call).await, Ok(index as u64 + 1));
        }
    });
}

#[test]
fn given_a_late_answer_when_its_caller_has_given_up_then_no_later_call_gets_it() {
    run(|mut test| async move {
        let first = test.call(1);
        let mut peer = test.connection().await;
        let (old, _) = peer.next().await;
        assert_eq!(number(first).await, Err(LinkError::TimedOut));
        let second = test.call(2);
        let (new, _) = peer.next().await;
        assert_ne!(old, new);
        peer.answer(old, 1).await;
        peer.answer(new, 2).await;
        assert_eq!(number(second).await, Ok(2));
    });
}

#[test]
fn given_call_ids_that_are_used_again_when_an_answer_is_late_then_a_later_call_gets_it() {
    run(|mut test| async move {
        inject(Some(Defect::CallIdReused));
        let first = test.call(1);
        let mut peer = test.connection().await;
        let (old, _) = peer.next().await;
        assert_eq!(number(first).await, Err(LinkError::TimedOut));
        let second = test.call(2);
        peer.next().await;
        peer.answer(old, 1).await;
        assert_eq!(number(second).await, Ok(1));
        inject(None);
    });
}

#[test]
fn given_an_answer_that_comes_twice_or_for_nobody_when_others_wait_then_they_do_not_get_it() {
    run(|mut test| async move {
        let first = test.call(1);
        let mut peer = test.connection().await;
        let (id, _) = peer.next().await;
        peer.answer(id, 1).await;
        assert_eq!(number(first).await, Ok(1));
        let second = test.call(2);
        let (next, _) = peer.next().await;
        peer.answer(id, 1).await;
        peer.answer(next + 1_000, 9).await;
        peer.answer(next, 2).await;
        assert_eq!(number(second).await, Ok(2));
    });
}

#[test]
fn given_a_connection_that_breaks_when_calls_wait_then_they_may_have_run_and_are_not_sent_again() {
    run(|mut test| async move {
        let calls = [test.call(1), test.call(2)];
        let mut peer = test.connection().await;
        let (first, _) = peer.next().await;
        peer.next().await;
        drop(peer);
        for call in calls {
            assert_eq!(number(call).await, Err(LinkError::Broken));
        }
        // The next process at the address is called by another id, and sees the new call alone.
        let third = test.call(3);
        let mut peer = test.connection().await;
        let (id, called) = peer.next().await;
        assert_eq!(called, 3);
        assert!(id > first + 1);
        peer.answer(first, 1).await;
        peer.answer(id, 3).await;
        assert_eq!(number(third).await, Ok(3));
    });
}

#[test]
fn given_nobody_at_the_address_when_called_then_it_is_certain_that_nothing_was_sent() {
    run(|test| async move {
        let TestPeer { links, dialled } = test;
        drop(dialled);
        let call = Call::QueryPrefix {
            key: 1,
            server: 0,
            store: 0,
        };
        let answer = links.call(peer(), &call, CALL_TIMEOUT).await;
        assert!(matches!(answer, Err(LinkError::Unreachable)), "{answer:?}");
    });
}

#[test]
fn given_bytes_that_are_no_frame_when_a_call_waits_then_it_ends_as_broken() {
    run(|mut test| async move {
        let call = test.call(1);
        let mut peer = test.connection().await;
        peer.next().await;
        let length = (MAX_FRAME as u32 + 1).to_le_bytes();
        peer.0.write_all(&length).await.expect("a reader");
        assert_eq!(number(call).await, Err(LinkError::Broken));
    });
}
