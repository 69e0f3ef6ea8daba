//! Stand-ins that do as a test's script says, one act a forward, on threads of their own: for plain cases,
//! where a scenario would say less than it hides. Whatever goes wrong in them panics, as in a test.
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// What becomes of one forward.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// A good answer.
    Hit,
    /// 404: the value is not stored.
    Miss,
    /// 503 with `X-Not-Run`.
    NotRun,
    /// 500.
    Broken,
    /// Takes it and ends the connection.
    Reset,
    /// Half an answer, then the end.
    Half,
    /// Nothing, until the node gives up.
    NoAnswer,
    /// A good answer, that late.
    Late(u32),
    /// A good answer, far longer than usual.
    Long,
    /// One that is said to have 3 GB.
    Endless,
    /// No HTTP, interim answers without end: the connection stays open.
    Noise,
    /// Interim answers without end.
    Interims,
    /// A good answer whose end is the connection's, and one that is reset in its place.
    ToEnd,
    /// The same, reset in the place of its end.
    Truncated,
    /// A good answer behind an interim one, and one with more behind it.
    Hinted,
    /// A good answer with more behind it.
    Trailed,
}

/// A forward that a scripted server received.
#[derive(Clone, Debug)]
pub struct ReceivedForward {
    /// The request line.
    pub first: String,
    /// The head.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
    /// What became of it.
    pub act: Act,
    /// When it was read.
    pub from: Instant,
    /// When the exchange was over, by our answer or by the node's giving up.
    pub until: Option<Instant>,
    /// Number of its connection.
    pub link: usize,
}

impl ReceivedForward {
    /// Value of `X-Request-Id`; empty where there is none.
    pub fn id(&self) -> String {
        field(&self.head, "x-request-id").unwrap_or_default()
    }
}

/// Value of the first header field of this name.
pub fn field(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|l| l.split_once(':'));
    lines
        .filter(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.trim().to_string())
        .next()
}

/// One message with its body; none at the end of the connection.
///
/// # Panics
///
/// If its length is no number.
pub fn message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let (mut text, mut byte) = (Vec::new(), [0; 1]);
    while !text.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(text).ok()?;
    let mut body = vec![0; field(&head, "content-length").map_or(0, |l| l.parse().unwrap())];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

type Script = Arc<dyn Fn(&ReceivedForward) -> Act + Send + Sync>;

/// A server that answers by a script.
pub struct Server {
    /// Where it listens.
    pub at: SocketAddr,
    /// All forwards so far, in order.
    pub seen: Arc<Mutex<Vec<ReceivedForward>>>,
    /// Connections accepted so far.
    pub links: Arc<AtomicUsize>,
    /// Connections that have ended.
    pub closed: Arc<AtomicUsize>,
}

/// A listener on a free port of 127.0.0.1, and its address.
///
/// # Panics
///
/// If nothing can be bound.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// An address for a program that is yet to listen, or for none: of this process alone, and another one each time.
/// Nothing is bound to find it: a process that another thread is about to start holds a copy of each listener until
/// it has begun, and a port that was let go meanwhile is still taken then.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let next = NEXT.fetch_add(1, SeqCst);
    let process = std::process::id();
    let address = Ipv4Addr::new(
        127,
        64 + (process >> 8) as u8 % 64,
        process as u8,
        1 + (next % 250) as u8,
    );
    // Below those that outgoing connections are given.
    SocketAddr::new(address.into(), 20_000 + (next / 250 % 10_000) as u16)
}

impl Server {
    /// Starts on a free port of 127.0.0.1.
    ///
    /// # Panics
    ///
    /// If nothing can be bound.
    pub fn start(script: impl Fn(&ReceivedForward) -> Act + Send + Sync + 'static) -> Server {
        let (listener, at) = listen();
        let seen = Arc::<Mutex<Vec<ReceivedForward>>>::default();
        let (links, closed) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let server = Server {
            at,
            seen: seen.clone(),
            links: links.clone(),
            closed: closed.clone(),
        };
        let script: Script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (script, seen, closed) = (script.clone(), seen.clone(), closed.clone());
                let link = links.fetch_add(1, SeqCst);
                thread::spawn(move || {
                    serve_connection(stream.unwrap(), link, &script, &seen);
                    closed.fetch_add(1, SeqCst);
                });
            }
        });
        server
    }
    /// A server that does the same for each forward.
    pub fn always(act: Act) -> Server {
        Server::start(move |_| act)
    }
    /// All forwards so far.
    ///
    /// # Panics
    ///
    /// If a script panicked.
    pub fn seen(&self) -> Vec<ReceivedForward> {
        self.seen.lock().unwrap().clone()
    }
}

/// The bytes that an act answers with; empty where it answers nothing.
fn reply_text(act: Act, id: &str) -> String {
    let text = format!("value of {id}");
    let good = format!(
        "HTTP/1.1 200 OK\r\nX-Cache: hit\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    match act {
        Act::Hit | Act::Late(_) => good,
        Act::Miss => {
            "HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nnone\r\n0\r\n\r\n"
                .into()
        }
        Act::NotRun => "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".into(),
        Act::Broken => "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".into(),
        Act::Half => good[..good.len() - 3].into(),
        Act::Long => format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n{}",
            "x".repeat(300_000)
        ),
        Act::Endless => format!("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n{text}"),
        Act::Noise => "\u{1}\u{2}noise".into(),
        Act::ToEnd | Act::Truncated => format!("HTTP/1.1 200 OK\r\n\r\n{text}"),
        Act::Interims => "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(200),
        Act::Hinted => format!("HTTP/1.1 103 Early Hints\r\n\r\n{good}"),
        Act::Trailed => format!("{good}{good}"),
        Act::Reset | Act::NoAnswer => String::new(),
    }
}

/// Waits as the act says; false if the node gave up meanwhile.
fn wait_for_act(stream: &mut TcpStream, act: Act) -> bool {
    match act {
        Act::Late(ms) => {
            stream.set_read_timeout(Some(MS * ms)).unwrap();
            let has_left = stream.peek(&mut [0; 1]).is_ok();
            stream.set_read_timeout(None).unwrap();
            !has_left
        }
        Act::NoAnswer => {
            // Until the node closes: that ends the exchange.
            let _ = stream.read(&mut [0; 1]);
            true
        }
        _ => true,
    }
}

fn serve_connection(
    mut stream: TcpStream,
    link: usize,
    script: &Script,
    all: &Mutex<Vec<ReceivedForward>>,
) {
    let _ = stream.set_nodelay(true);
    while let Some((head, body)) = message(&mut stream) {
        let first = head.lines().next().unwrap().to_string();
        if first.contains("/health/live") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let mut seen = ReceivedForward {
            first,
            head,
            body,
            act: Act::Hit,
            from: Instant::now(),
            until: None,
            link,
        };
        seen.act = script(&seen);
        let (act, id) = (seen.act, seen.id());
        let number = {
            let mut all = all.lock().unwrap();
            all.push(seen);
            all.len() - 1
        };
        let reply = if wait_for_act(&mut stream, act) {
            reply_text(act, &id)
        } else {
            String::new()
        };
        all.lock().unwrap()[number].until = Some(Instant::now());
        let sent = stream.write_all(reply.as_bytes());
        if act == Act::Truncated {
            // What was sent has arrived, as the other side shows by waiting for the rest.
            sleep(20 * MS);
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        if sent.is_err()
            || reply.is_empty()
            || matches!(act, Act::Half | Act::ToEnd | Act::Truncated)
        {
            return;
        }
    }
}

/// Discovery: each line of `feed` goes out on the watch that is open, or answers a call for the whole;
/// an empty feed beats.
pub struct Discovery {
    /// Where it listens.
    pub at: SocketAddr,
    /// Lines that are still to be said; the last one goes first.
    pub feed: Arc<Mutex<Vec<String>>>,
    /// Request lines of the watches so far.
    pub calls: Arc<Mutex<Vec<String>>>,
    /// Stays silent, heartbeats included.
    pub mute: Arc<AtomicUsize>,
}

impl Discovery {
    /// Starts on a free port of 127.0.0.1.
    ///
    /// # Panics
    ///
    /// If nothing can be bound.
    pub fn start() -> Discovery {
        let (listener, at) = listen();
        let feed = Arc::<Mutex<Vec<String>>>::default();
        let calls = Arc::<Mutex<Vec<String>>>::default();
        let mute = Arc::<AtomicUsize>::default();
        let discovery = Discovery {
            at,
            feed: feed.clone(),
            calls: calls.clone(),
            mute: mute.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (feed, calls, mute) = (feed.clone(), calls.clone(), mute.clone());
                thread::spawn(move || watch(stream.unwrap(), &feed, &calls, &mute));
            }
        });
        discovery
    }
    /// Queues a line for the watch, or the answer to a call for the list.
    ///
    /// # Panics
    ///
    /// If a watch panicked.
    pub fn say(&self, line: &str) {
        self.feed.lock().unwrap().push(line.to_string());
    }
    /// Number of watches opened so far.
    ///
    /// # Panics
    ///
    /// If a watch panicked.
    pub fn calls(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

fn watch(
    mut stream: TcpStream,
    feed: &Mutex<Vec<String>>,
    calls: &Mutex<Vec<String>>,
    mute: &AtomicUsize,
) {
    let Some((head, _)) = message(&mut stream) else {
        return;
    };
    if !head.contains("watch=1") {
        let list = feed.lock().unwrap().pop().unwrap_or_default();
        let length = list.len();
        let _ = stream.write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}").as_bytes(),
        );
        return;
    }
    let own = {
        let mut calls = calls.lock().unwrap();
        calls.push(head.lines().next().unwrap().to_string());
        calls.len()
    };
    let mut open = stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .is_ok();
    let mut heartbeat_at = Instant::now() - Duration::from_secs(2);
    // Only the newest watch takes lines: the node may have left this one.
    while open && calls.lock().unwrap().len() == own {
        let line = feed.lock().unwrap().pop();
        if line.as_deref() == Some("end") {
            return;
        }
        let line =
            line.or_else(|| (heartbeat_at.elapsed() > Duration::from_secs(1)).then(String::new));
        if let Some(line) = line.filter(|_| mute.load(SeqCst) == 0) {
            // In two chunks: lines need not end where chunks do.
            let line = format!("{line}\n");
            let (a, b) = line.split_at(line.len() / 2);
            let chunk = |t: &str| {
                if t.is_empty() {
                    String::new()
                } else {
                    format!("{:x}\r\n{t}\r\n", t.len())
                }
            };
            open = stream
                .write_all(format!("{}{}", chunk(a), chunk(b)).as_bytes())
                .is_ok();
            heartbeat_at = Instant::now();
        }
        sleep(5 * MS);
    }
}

/// An entry of discovery's list, as JSON.
pub fn target(uid: &str, at: SocketAddr, model: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"x","model":"{model}","pod_group":1,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// Waits until the condition holds.
///
/// # Panics
/// After 10 s.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "waited in vain: {what}"
        );
        sleep(5 * MS);
    }
}
