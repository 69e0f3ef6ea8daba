//! Tests of the endpoint list actor against a discovery that each case scripts.
use crate::protocol::endpoint_list::ListUpdate;
use crate::routing::Message;
use crate::routing::endpoint_list::{EndpointListActor, ListEvent, ListRequest};
use crate::routing::tests::run_local;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};

const MS: Duration = Duration::from_millis(1);
const OPEN: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The channels of the actor: the decision actor's mailbox, its own mailbox, and discovery's address.
struct ActorFixture {
    events: mpsc::Receiver<Message>,
    requests: mpsc::Sender<ListRequest>,
    address: watch::Sender<SocketAddr>,
}

impl ActorFixture {
    /// The next event: an update, or `None` for a failed call or a lost subscription.
    async fn next_event(&mut self) -> Option<ListUpdate> {
        match timeout(5000 * MS, self.events.recv())
            .await
            .expect("an event of the list's actor")
        {
            Some(Message::List(ListEvent::Updated(update))) => Some(update),
            Some(Message::List(ListEvent::Failed)) => None,
            _ => panic!("the endpoint list actor reports only list events"),
        }
    }
    /// The next update, skipping failures.
    async fn next_update(&mut self) -> ListUpdate {
        loop {
            if let Some(update) = self.next_event().await {
                return update;
            }
        }
    }
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn start(address: SocketAddr, is_pushed: bool) -> ActorFixture {
    let (decisions, events) = mpsc::channel(16);
    let (requests, mailbox) = mpsc::channel(4);
    let (sender, discovery) = watch::channel(address);
    let list = EndpointListActor {
        discovery,
        requests: mailbox,
        decisions,
        rev: 41,
        connect_timeout: 500 * MS,
        // Much longer than any case waits, so that a case that depends on this timeout fails.
        call_timeout: 60_000 * MS,
        heartbeat: 600 * MS,
        is_pushed,
        retry_interval: Rc::new(Cell::new(100 * MS)),
        rng: fastrand::Rng::with_seed(1),
    };
    tokio::task::spawn_local(list.run());
    ActorFixture {
        events,
        requests,
        address: sender,
    }
}

/// Accepts the next call and reads its first line.
async fn call(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = timeout(5000 * MS, listener.accept())
        .await
        .expect("a call")
        .unwrap();
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        assert!(stream.read_buf(&mut text).await.unwrap() > 0);
    }
    (
        stream,
        String::from_utf8(text)
            .unwrap()
            .lines()
            .next()
            .unwrap()
            .to_string(),
    )
}

async fn write_chunk(stream: &mut TcpStream, text: &str) {
    stream
        .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .await
        .unwrap();
}

/// Answers a call for the full list.
async fn answer(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
    stream.write_all(format!("{head}{text}").as_bytes()).await
}

fn list(rev: u64, all: bool, state: &str) -> String {
    let target = format!(r#"{{"uid":"c0","endpoint":"127.0.0.1:1","state":"{state}"}}"#);
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{target}]}}"#)
}

/// Starts an actor with an open subscription whose first line is reported.
async fn subscribed(is_pushed: bool) -> (TcpListener, TcpStream, ActorFixture) {
    let (listener, address) = bind().await;
    let mut actor = start(address, is_pushed);
    if !is_pushed {
        actor.requests.send(ListRequest::Subscribe).await.unwrap();
    }
    let (mut stream, first) = call(&listener).await;
    assert!(first.contains("watch=1&after=41"), "{first}");
    stream.write_all(OPEN.as_bytes()).await.unwrap();
    write_chunk(&mut stream, "\n").await;
    assert_eq!(actor.next_update().await.rev, 41);
    (listener, stream, actor)
}

/// A discovery that ends or breaks each subscription, immediately or after a valid line, is called at the retry
/// interval and not in a busy loop: each call costs both sides, and each lost subscription logs a line.
#[test]
fn a_pushed_subscription_that_is_lost_repeatedly_is_retried_at_the_interval() {
    let bad = "{\"rev\":oops}\n";
    let cases = [String::new(), bad.into(), format!("\n{bad}"), "\n".into()];
    for text in cases {
        run_local(async {
            let (listener, address) = bind().await;
            let mut actor = start(address, true);
            let (start, mut calls) = (Instant::now(), 0);
            while start.elapsed() < 1000 * MS {
                let (mut stream, _) = call(&listener).await;
                stream.write_all(OPEN.as_bytes()).await.unwrap();
                if !text.is_empty() {
                    write_chunk(&mut stream, &text).await;
                }
                calls += 1;
                while actor.events.try_recv().is_ok() {}
            }
            // The interval is 100 ms and each delay at least half of it; each interval allows one more call without a
            // delay.
            assert!(
                (5..=35).contains(&calls),
                "{text:?}: {calls} calls in a second"
            );
        });
    }
}

/// If the list is pushed, changes count as known at once: a closed or reset subscription is reopened immediately, even
/// while a call for the full list hangs.
#[test]
fn a_pushed_subscription_that_ends_is_reopened_immediately() {
    for reset in [false, true] {
        run_local(async {
            let (listener, stream, mut actor) = subscribed(true).await;
            actor.requests.send(ListRequest::FetchFull).await.unwrap();
            let (_hangs, first) = call(&listener).await;
            assert!(!first.contains("watch"), "{first}");
            let start = Instant::now();
            if reset {
                stream.set_zero_linger().unwrap();
            }
            drop(stream);
            let (mut stream, first) = call(&listener).await;
            assert!(first.contains("watch=1&after=41"), "{first}");
            stream.write_all(OPEN.as_bytes()).await.unwrap();
            write_chunk(&mut stream, &list(42, false, "terminating")).await;
            assert_eq!(actor.next_update().await.targets[0].state, "terminating");
            assert!(start.elapsed() < 100 * MS, "{:?}", start.elapsed());
        });
    }
}

/// Discovery goes down during a call and recovers: the call hangs forever, and the actor makes a second call.
#[test]
fn a_call_that_hangs_does_not_block_a_pushed_subscription() {
    run_local(async {
        let (listener, stream, mut actor) = subscribed(true).await;
        drop(stream);
        let (_hangs, _) = call(&listener).await;
        let start = Instant::now();
        let (mut stream, first) = call(&listener).await;
        assert!(first.contains("watch=1&after=41"), "{first}");
        assert!(start.elapsed() < 150 * MS, "{:?}", start.elapsed());
        stream.write_all(OPEN.as_bytes()).await.unwrap();
        write_chunk(&mut stream, &list(42, true, "in_service")).await;
        assert_eq!(actor.next_update().await.rev, 42);
        // The subscription is open again, so no call follows.
        assert!(timeout(300 * MS, listener.accept()).await.is_err());
    });
}

/// The answer of a discovery that takes longer than the time between attempts is still accepted.
#[test]
fn an_answer_slower_than_the_next_attempt_still_counts() {
    run_local(async {
        let (listener, stream, mut actor) = subscribed(true).await;
        drop(stream);
        let (mut slow, _) = call(&listener).await;
        let _others = [
            call(&listener).await,
            call(&listener).await,
            call(&listener).await,
        ];
        slow.write_all(OPEN.as_bytes()).await.unwrap();
        write_chunk(&mut slow, &list(42, true, "in_service")).await;
        assert_eq!(actor.next_update().await.rev, 42);
    });
}

/// The timeout starts at the last complete line: neither an incomplete line, nor single bytes, nor a concurrent call
/// keeps a subscription alive.
#[test]
fn a_subscription_with_an_incomplete_line_or_single_bytes_times_out() {
    for trickle in [false, true] {
        run_local(async {
            let (listener, mut stream, actor) = subscribed(true).await;
            let (start, incomplete) = (
                Instant::now(),
                r#"{"rev":42,"all":false,"targets":[{"uid":"c0","#,
            );
            write_chunk(&mut stream, incomplete).await;
            let drip = async {
                for byte in incomplete
                    .bytes()
                    .cycle()
                    .take(if trickle { 1000 } else { 0 })
                {
                    tokio::time::sleep(20 * MS).await;
                    let text = format!("1\r\n{}\r\n", char::from(byte).to_ascii_lowercase());
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        break;
                    }
                }
                std::future::pending::<()>().await
            };
            let reopened = async {
                actor.requests.send(ListRequest::FetchFull).await.unwrap();
                let (_full, first) = call(&listener).await;
                assert!(!first.contains("watch"), "{first}");
                let (_watch, first) = call(&listener).await;
                assert!(first.contains("watch=1&after=41"), "{first}");
            };
            tokio::select! { () = drip => {}, () = reopened => {} }
            // The subscription has to be open again within three heartbeats, including the time of the call.
            assert!(start.elapsed() < 1300 * MS, "{:?}", start.elapsed());
        });
    }
}

/// Lists may be indented, in a subscription and as a full list, with or without a final line end.
#[test]
fn indented_lists_are_read() {
    run_local(async {
        let (listener, mut stream, mut actor) = subscribed(false).await;
        let indented = list(43, false, "terminating")
            .replace(',', ",\n  ")
            .replace('{', "{\n\n ");
        let (a, b) = indented.split_at(indented.len() / 2);
        write_chunk(&mut stream, a).await;
        write_chunk(&mut stream, b).await;
        let update = actor.next_update().await;
        assert_eq!(
            (update.rev, update.targets[0].state.as_str()),
            (43, "terminating")
        );
        write_chunk(&mut stream, "\n\n").await;
        actor.requests.send(ListRequest::FetchFull).await.unwrap();
        let (mut full, _) = call(&listener).await;
        let text = format!("\n{}", list(44, true, "in_service").replace(',', ",\n\t"));
        answer(&mut full, &text).await.unwrap();
        assert_eq!(actor.next_update().await.rev, 44);
        // The subscription has continued in the meantime.
        write_chunk(
            &mut stream,
            &format!("{}\n", list(45, false, "terminating")),
        )
        .await;
        assert_eq!(actor.next_update().await.rev, 45);
    });
}

/// Guards against a full list, or changes to an older list, that undo later changes which the subscription has already
/// delivered.
#[test]
fn an_older_list_does_not_undo_later_changes() {
    run_local(async {
        let (listener, mut stream, mut actor) = subscribed(false).await;
        actor.requests.send(ListRequest::FetchFull).await.unwrap();
        let (mut full, _) = call(&listener).await;
        write_chunk(&mut stream, &list(43, false, "terminating")).await;
        assert_eq!(actor.next_update().await.rev, 43);
        let text = list(42, true, "in_service");
        answer(&mut full, &text).await.unwrap();
        assert_eq!(
            full.read(&mut [0]).await.unwrap_or(0),
            0,
            "the full list is read to its end"
        );
        write_chunk(&mut stream, &list(42, false, "in_service")).await;
        assert!(
            actor.next_event().await.is_none(),
            "the subscription is lost, and the older changes are not reported"
        );
        // The request starts from version 0: the new discovery may number its versions from the start.
        actor.requests.send(ListRequest::Subscribe).await.unwrap();
        let (mut stream, first) = call(&listener).await;
        assert!(first.contains("watch=1&after=0"), "{first}");
        stream.write_all(OPEN.as_bytes()).await.unwrap();
        write_chunk(&mut stream, &list(3, true, "terminating")).await;
        assert_eq!(actor.next_update().await.rev, 3);
    });
}

/// Guards against a list of the old discovery that is in transit when the discovery address changes.
#[test]
fn calls_in_flight_when_discovery_moves_are_dropped() {
    run_local(async {
        let (listener, mut stream, mut actor) = subscribed(true).await;
        actor.requests.send(ListRequest::FetchFull).await.unwrap();
        let (mut full, _) = call(&listener).await;
        let (new, address) = bind().await;
        actor.address.send(address).unwrap();
        let (mut moved, first) = call(&new).await;
        assert!(first.contains("watch=1&after=0"), "{first}");
        let text = list(99, true, "in_service");
        let _ = answer(&mut full, &text).await;
        let _ = stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await;
        moved.write_all(OPEN.as_bytes()).await.unwrap();
        write_chunk(&mut moved, &list(7, true, "terminating")).await;
        let update = actor.next_update().await;
        assert_eq!(
            (update.rev, update.targets[0].state.as_str()),
            (7, "terminating")
        );
    });
}

/// If the policy requests subscriptions, the actor does not retry on its own: it makes one call for each request and
/// reports each result.
#[test]
fn a_subscription_requested_by_the_policy_is_not_retried_by_the_actor() {
    run_local(async {
        let (listener, stream, mut actor) = subscribed(false).await;
        drop(stream);
        assert!(actor.next_event().await.is_none());
        assert!(
            timeout(300 * MS, listener.accept()).await.is_err(),
            "no subscription was requested"
        );
        actor.requests.send(ListRequest::Subscribe).await.unwrap();
        let (mut refused, _) = call(&listener).await;
        refused
            .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            .await
            .unwrap();
        assert!(actor.next_event().await.is_none());
        // A hanging call is replaced by the next.
        actor.requests.send(ListRequest::Subscribe).await.unwrap();
        let (_hangs, _) = call(&listener).await;
        actor.requests.send(ListRequest::Subscribe).await.unwrap();
        let (mut stream, _) = call(&listener).await;
        stream.write_all(OPEN.as_bytes()).await.unwrap();
        write_chunk(&mut stream, &list(42, false, "in_service")).await;
        assert_eq!(actor.next_update().await.rev, 42);
    });
}
