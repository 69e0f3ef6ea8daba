//! A peer's actor alone, before a cache server that takes a request and says nothing.
use crate::protocol::messages::Invocation;
use crate::routing::Told;
use crate::routing::peer::{self, Forward, Limits, Order, PeerSays};
use crate::transport::budget::{Room, Share};
use crate::transport::pool::Pool;
use bytes::Bytes;
use sparrouter::types::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{Instant, timeout};

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

/// One forward, whole at the other side, then withdrawn: when the other side saw the close, and when the
/// module heard of the end, both since the withdrawal.
fn withdrawn() -> (Duration, Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (module, mut told) = mpsc::channel(8);
        let limits = Limits { dial: 800 * MS, probe: 800 * MS, overlaps: false };
        let pool = Pool::new(Share::new(8), 1000 * MS);
        let orders = peer::start(0, at, pool, module, limits, Room::USUAL);
        let (over, wait) = (Rc::new(Cell::new(false)), 5000 * MS);
        let forward = Forward { inv: 1, copy: 0, invocation: invocation(), over, at: Instant::now(), wait };
        assert!(orders.try_send(Order::Forward(forward)).is_ok());
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            assert!(stream.read_buf(&mut text).await.unwrap() > 0);
        }
        let start = Instant::now();
        assert!(orders.try_send(Order::Withdraw { inv: 1, copy: 0 }).is_ok());
        let closed = async {
            assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0);
            start.elapsed()
        };
        let heard = async {
            let Some(Told::Peer(PeerSays::Ended { how, .. })) = told.recv().await else { panic!("no end") };
            assert_eq!(how.outcome, Outcome::Withdrawn);
            start.elapsed()
        };
        timeout(5000 * MS, async { tokio::join!(closed, heard) }).await.unwrap()
    })
}

/// Guards against second copies where none are allowed: a next forward may leave only once the close of
/// the one before has had its way there.
#[test]
fn a_withdrawn_forward_has_ended_once_its_close_can_have_arrived() {
    let (closed, heard) = withdrawn();
    assert!(heard >= MS && heard > closed, "closed after {closed:?}, heard after {heard:?}");
}
