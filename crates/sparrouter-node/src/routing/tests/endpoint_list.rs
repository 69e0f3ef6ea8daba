//! The list's actor alone, before a discovery that does what each case says, at the moment that it names.
use crate::protocol::endpoint_list::ListUpdate;
use crate::routing::Message;
use crate::routing::endpoint_list::{EndpointListActor, ListEvent, ListRequest};
use crate::routing::tests::play;
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

/// What the actor hangs on: the module's mailbox, its asks, and where discovery is.
struct Hold {
    told: mpsc::Receiver<Message>,
    asks: mpsc::Sender<ListRequest>,
    moves: watch::Sender<SocketAddr>,
}

impl Hold {
    /// None for a call or a watch that came to nothing.
    async fn told(&mut self) -> Option<ListUpdate> {
        match timeout(5000 * MS, self.told.recv())
            .await
            .expect("the list's actor says something")
        {
            Some(Message::List(ListEvent::Updated(listing))) => Some(listing),
            Some(Message::List(ListEvent::Failed)) => None,
            _ => panic!("the list's actor speaks of lists alone"),
        }
    }
    /// Past what was lost.
    async fn listed(&mut self) -> ListUpdate {
        loop {
            if let Some(listing) = self.told().await {
                return listing;
            }
        }
    }
}

async fn door() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

fn start(at: SocketAddr, unasked: bool) -> Hold {
    let (module, told) = mpsc::channel(16);
    let (asks, asked) = mpsc::channel(4);
    let (moves, discovery) = watch::channel(at);
    let list = EndpointListActor {
        discovery,
        asks: asked,
        module,
        rev: 41,
        dial_limit: 500 * MS,
        // Far longer than any case waits: whatever needs it to run out fails.
        limit: 60_000 * MS,
        heartbeat: 600 * MS,
        unasked,
        pace: Rc::new(Cell::new(100 * MS)),
        rng: fastrand::Rng::with_seed(1),
    };
    tokio::task::spawn_local(list.run());
    Hold { told, asks, moves }
}

/// The next call and its first line.
async fn call(door: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = timeout(5000 * MS, door.accept())
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

async fn say(stream: &mut TcpStream, text: &str) {
    stream
        .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .await
        .unwrap();
}

/// To a call for the whole.
async fn answer(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
    stream.write_all(format!("{head}{text}").as_bytes()).await
}

fn list(rev: u64, all: bool, state: &str) -> String {
    let target = format!(r#"{{"uid":"c0","endpoint":"127.0.0.1:1","state":"{state}"}}"#);
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{target}]}}"#)
}

/// A watch that is open, its first line told.
async fn watched(unasked: bool) -> (TcpListener, TcpStream, Hold) {
    let (door, at) = door().await;
    let mut hold = start(at, unasked);
    if !unasked {
        hold.asks.send(ListRequest::Subscribe).await.unwrap();
    }
    let (mut stream, first) = call(&door).await;
    assert!(first.contains("watch=1&after=41"), "{first}");
    stream.write_all(OPEN.as_bytes()).await.unwrap();
    say(&mut stream, "\n").await;
    assert_eq!(hold.listed().await.rev, 41);
    (door, stream, hold)
}

/// A discovery that ends or spoils each watch, at once or behind a good line, is called at the pace and not without a
/// pause: every call costs both sides, and each lost watch a line of the log.
#[test]
fn a_pushed_watch_that_is_lost_again_and_again_is_asked_for_at_the_pace() {
    let bad = "{\"rev\":oops}\n";
    let cases = [String::new(), bad.into(), format!("\n{bad}"), "\n".into()];
    for text in cases {
        play(async {
            let (door, at) = door().await;
            let mut hold = start(at, true);
            let (start, mut calls) = (Instant::now(), 0);
            while start.elapsed() < 1000 * MS {
                let (mut stream, _) = call(&door).await;
                stream.write_all(OPEN.as_bytes()).await.unwrap();
                if !text.is_empty() {
                    say(&mut stream, &text).await;
                }
                calls += 1;
                while hold.told.try_recv().is_ok() {}
            }
            // The pace is 100 ms and each wait at least half of it; one more at once in each of them.
            assert!(
                (5..=35).contains(&calls),
                "{text:?}: {calls} calls in a second"
            );
        });
    }
}

/// Where the list is pushed what changes counts as told at once: a watch that was ended or reset is opened anew
/// at once, whatever became of a call for the whole that hangs.
#[test]
fn a_pushed_watch_that_ends_is_opened_anew_at_once() {
    for reset in [false, true] {
        play(async {
            let (door, stream, mut hold) = watched(true).await;
            hold.asks.send(ListRequest::FetchFull).await.unwrap();
            let (_hangs, first) = call(&door).await;
            assert!(!first.contains("watch"), "{first}");
            let start = Instant::now();
            if reset {
                stream.set_zero_linger().unwrap();
            }
            drop(stream);
            let (mut stream, first) = call(&door).await;
            assert!(first.contains("watch=1&after=41"), "{first}");
            stream.write_all(OPEN.as_bytes()).await.unwrap();
            say(&mut stream, &list(42, false, "terminating")).await;
            assert_eq!(hold.listed().await.targets[0].state, "terminating");
            assert!(start.elapsed() < 100 * MS, "{:?}", start.elapsed());
        });
    }
}

/// Discovery goes down under a call and comes back: the call hangs for good, another is tried beside it.
#[test]
fn a_call_that_hangs_keeps_no_pushed_watch_from_coming_back() {
    play(async {
        let (door, stream, mut hold) = watched(true).await;
        drop(stream);
        let (_hangs, _) = call(&door).await;
        let start = Instant::now();
        let (mut stream, first) = call(&door).await;
        assert!(first.contains("watch=1&after=41"), "{first}");
        assert!(start.elapsed() < 150 * MS, "{:?}", start.elapsed());
        stream.write_all(OPEN.as_bytes()).await.unwrap();
        say(&mut stream, &list(42, true, "in_service")).await;
        assert_eq!(hold.listed().await.rev, 42);
        // Found back, it asks no more.
        assert!(timeout(300 * MS, door.accept()).await.is_err());
    });
}

/// A discovery that needs longer than the time between tries is heard all the same.
#[test]
fn an_answer_slower_than_the_next_try_still_counts() {
    play(async {
        let (door, stream, mut hold) = watched(true).await;
        drop(stream);
        let (mut slow, _) = call(&door).await;
        let _others = [call(&door).await, call(&door).await, call(&door).await];
        slow.write_all(OPEN.as_bytes()).await.unwrap();
        say(&mut slow, &list(42, true, "in_service")).await;
        assert_eq!(hold.listed().await.rev, 42);
    });
}

/// Silence is told by what came whole: half a line, or a byte now and then, does not keep a watch alive; nor
/// does a call that is made meanwhile.
#[test]
fn half_a_line_and_a_trickle_are_silence() {
    for trickle in [false, true] {
        play(async {
            let (door, mut stream, hold) = watched(true).await;
            let (start, half) = (
                Instant::now(),
                r#"{"rev":42,"all":false,"targets":[{"uid":"c0","#,
            );
            say(&mut stream, half).await;
            let drip = async {
                for byte in half.bytes().cycle().take(if trickle { 1000 } else { 0 }) {
                    tokio::time::sleep(20 * MS).await;
                    let text = format!("1\r\n{}\r\n", char::from(byte).to_ascii_lowercase());
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        break;
                    }
                }
                std::future::pending::<()>().await
            };
            let anew = async {
                hold.asks.send(ListRequest::FetchFull).await.unwrap();
                let (_whole, first) = call(&door).await;
                assert!(!first.contains("watch"), "{first}");
                let (_watch, first) = call(&door).await;
                assert!(first.contains("watch=1&after=41"), "{first}");
            };
            tokio::select! { () = drip => {}, () = anew => {} }
            // Before three heartbeats are over it has to be open again, and the call takes its time.
            assert!(start.elapsed() < 1300 * MS, "{:?}", start.elapsed());
        });
    }
}

/// Lists may come indented, on a watch and as a whole, with or without a line's end behind them.
#[test]
fn indented_lists_are_read() {
    play(async {
        let (door, mut stream, mut hold) = watched(false).await;
        let indented = list(43, false, "terminating")
            .replace(',', ",\n  ")
            .replace('{', "{\n\n ");
        let (a, b) = indented.split_at(indented.len() / 2);
        say(&mut stream, a).await;
        say(&mut stream, b).await;
        let told = hold.listed().await;
        assert_eq!(
            (told.rev, told.targets[0].state.as_str()),
            (43, "terminating")
        );
        say(&mut stream, "\n\n").await;
        hold.asks.send(ListRequest::FetchFull).await.unwrap();
        let (mut whole, _) = call(&door).await;
        let text = format!("\n{}", list(44, true, "in_service").replace(',', ",\n\t"));
        answer(&mut whole, &text).await.unwrap();
        assert_eq!(hold.listed().await.rev, 44);
        // The watch has gone on meanwhile.
        say(
            &mut stream,
            &format!("{}\n", list(45, false, "terminating")),
        )
        .await;
        assert_eq!(hold.listed().await.rev, 45);
    });
}

/// A whole list that was on its way while the watch told of later changes would undo them, and so would changes
/// to an older list.
#[test]
fn an_older_list_does_not_undo_what_came_since() {
    play(async {
        let (door, mut stream, mut hold) = watched(false).await;
        hold.asks.send(ListRequest::FetchFull).await.unwrap();
        let (mut whole, _) = call(&door).await;
        say(&mut stream, &list(43, false, "terminating")).await;
        assert_eq!(hold.listed().await.rev, 43);
        let text = list(42, true, "in_service");
        answer(&mut whole, &text).await.unwrap();
        assert_eq!(
            whole.read(&mut [0]).await.unwrap_or(0),
            0,
            "it was read to its end"
        );
        say(&mut stream, &list(42, false, "in_service")).await;
        assert!(hold.told().await.is_none(), "lost, and nothing undone");
        // From the beginning: its versions may be invariant anew.
        hold.asks.send(ListRequest::Subscribe).await.unwrap();
        let (mut stream, first) = call(&door).await;
        assert!(first.contains("watch=1&after=0"), "{first}");
        stream.write_all(OPEN.as_bytes()).await.unwrap();
        say(&mut stream, &list(3, true, "terminating")).await;
        assert_eq!(hold.listed().await.rev, 3);
    });
}

/// A list of the old discovery that is still on its way when the node is sent to another.
#[test]
fn what_is_in_flight_when_discovery_moves_no_longer_counts() {
    play(async {
        let (door, mut stream, mut hold) = watched(true).await;
        hold.asks.send(ListRequest::FetchFull).await.unwrap();
        let (mut whole, _) = call(&door).await;
        let (new, at) = self::door().await;
        hold.moves.send(at).unwrap();
        let (mut moved, first) = call(&new).await;
        assert!(first.contains("watch=1&after=0"), "{first}");
        let text = list(99, true, "in_service");
        let _ = answer(&mut whole, &text).await;
        let _ = stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await;
        moved.write_all(OPEN.as_bytes()).await.unwrap();
        say(&mut moved, &list(7, true, "terminating")).await;
        let told = hold.listed().await;
        assert_eq!(
            (told.rev, told.targets[0].state.as_str()),
            (7, "terminating")
        );
    });
}

/// Where the module asks, it alone asks again: one call for each ask, and each is answered.
#[test]
fn an_asked_watch_is_left_to_the_module() {
    play(async {
        let (door, stream, mut hold) = watched(false).await;
        drop(stream);
        assert!(hold.told().await.is_none());
        assert!(
            timeout(300 * MS, door.accept()).await.is_err(),
            "nobody has asked"
        );
        hold.asks.send(ListRequest::Subscribe).await.unwrap();
        let (mut refused, _) = call(&door).await;
        refused
            .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            .await
            .unwrap();
        assert!(hold.told().await.is_none());
        // One that hangs gives way to the next.
        hold.asks.send(ListRequest::Subscribe).await.unwrap();
        let (_hangs, _) = call(&door).await;
        hold.asks.send(ListRequest::Subscribe).await.unwrap();
        let (mut stream, _) = call(&door).await;
        stream.write_all(OPEN.as_bytes()).await.unwrap();
        say(&mut stream, &list(42, false, "in_service")).await;
        assert_eq!(hold.listed().await.rev, 42);
    });
}
