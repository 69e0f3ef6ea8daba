//! The program started on free loopback ports, with cache servers, an origin and discovery played by the lab's
//! scripted stand-ins, and clients of plain sockets.
#![allow(dead_code, reason = "each test file uses a part")]
use sparrouter_lab::scripted::{Discovery, Server, free, message, target, until};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);

/// A running node beside scripted cache servers; it is killed when dropped.
pub struct TestNode {
    pub node: Child,
    pub address: SocketAddr,
    pub discovery: Discovery,
    pub other: UdpSocket,
    pub datagrams: SocketAddr,
    pub config: String,
    pub folder: tempfile::TempDir,
}

pub const SETTINGS: &str = r#"{"Areas":["x"],"Balancers":2,"SelfIndex":0,"Discovery":"subscribe","TickUs":5000,
 "Classes":[{"Name":"get","DeadlineUs":900000,"ObjectiveUs":400000,"Effect":"read_like"},
  {"Name":"pay","DeadlineUs":900000,"ObjectiveUs":400000,"Effect":"non_idempotent"},
  {"Name":"mark","DeadlineUs":900000,"ObjectiveUs":400000,"Effect":"idempotency_key","WindowUs":300000}],
 "FamilyInfo":{"Mode":"aside","OriginKind":1},"Kinds":["box","origin"],
 "Limits":{"MaxAttempts":4,"Cancel":true,"MayProbe":true,"Peers":true,"RetryAfter":true,"MaxRetryAfterUs":1000000,
  "DialTimeoutUs":200000,"ConnIdleUs":600000},
 "Safety":{"AnswerSlackUs":20000,"AskEveryUs":10000000,"StartCapacity":0.2,"ColdUs":1000000,"FallMultiple":3.0,
  "FallUs":1000000}}"#;

/// Starts a node with these cache servers and this origin, and returns it once it is ready.
pub fn start_node(caches: &[&Server], origin: SocketAddr, sockets: usize) -> TestNode {
    start_node_with(SETTINGS, caches, origin, sockets)
}

pub fn start_node_with(
    settings: &str,
    caches: &[&Server],
    origin: SocketAddr,
    sockets: usize,
) -> TestNode {
    start_node_with_log(settings, caches, origin, sockets, "info")
}

/// Starts a node that logs at `level`, and returns it once it is ready.
pub fn start_node_with_log(
    settings: &str,
    caches: &[&Server],
    origin: SocketAddr,
    sockets: usize,
    level: &str,
) -> TestNode {
    let limits = MachineLimits {
        memory_mb: 192,
        sockets,
    };
    start_node_in(limits, settings, caches, origin, level)
}

/// The limits of a node's machine.
#[derive(Clone, Copy)]
pub struct MachineLimits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// Starts a node in a machine with these limits, and returns it once it is ready.
pub fn start_node_in(
    limits: MachineLimits,
    settings: &str,
    caches: &[&Server],
    origin: SocketAddr,
    level: &str,
) -> TestNode {
    let MachineLimits { memory_mb, sockets } = limits;
    let discovery = Discovery::start();
    let address = free();
    let other = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let datagrams = free();
    let mut targets: Vec<String> = caches
        .iter()
        .enumerate()
        .map(|(n, c)| target(&format!("c{n}"), c.at, "box", "in_service"))
        .collect();
    targets.push(target("o", origin, "origin", "in_service"));
    let (targets, peer) = (targets.join(","), other.local_addr().unwrap());
    let config = format!(
        r#"{{"name":"n0","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"peer_listen":"{datagrams}",
 "peers":["{datagrams}","{peer}"],"known":{{"rev":41,"all":true,"targets":[{targets}]}},"settings":{settings}}}"#,
        discovery.at
    );
    let (node, folder) = spawn_node_with_log(&config, level);
    let test_node = TestNode {
        node,
        address,
        discovery,
        other,
        datagrams,
        config,
        folder,
    };
    until("ready", || {
        TcpStream::connect(address).is_ok()
            && test_node.call("GET", "/health/ready", "", "").0 == 200
    });
    test_node
}

pub fn spawn_node(config: &str) -> (Child, tempfile::TempDir) {
    spawn_node_with_log(config, "info")
}

/// Starts the program with `config` as its configuration file and `level` as its log level.
pub fn spawn_node_with_log(config: &str, level: &str) -> (Child, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sparrouter-node"));
    command
        .env("PROXY_CONFIG", &path)
        .env("RUST_LOG", level)
        .stderr(Stdio::piped());
    (command.spawn().unwrap(), folder)
}

/// Panics with the log if the program has ended.
pub fn assert_running(node: &mut Child) {
    if let Some(status) = node.try_wait().unwrap() {
        let mut log = String::new();
        node.stderr
            .take()
            .unwrap()
            .read_to_string(&mut log)
            .unwrap();
        panic!("the node ended with {status}: {log}");
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        let _ = self.node.kill();
        let _ = self.node.wait();
    }
}

pub fn send_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    id: &str,
    operation: &str,
    body: &str,
) {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: {operation}\r\n\
         X-Tenant: t\r\nX-Deadline-Ms: 900\r\n{length}\r\n{body}"
    );
    // The node may have closed the connection; reading the answer detects that.
    let _ = stream.write_all(text.as_bytes());
}

pub fn read_answer(stream: &mut TcpStream) -> Option<(u16, String, String)> {
    let (head, body) = message(stream)?;
    Some((
        head[9..12].parse().ok()?,
        head,
        String::from_utf8(body).ok()?,
    ))
}

impl TestNode {
    pub fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        stream
    }
    /// Sends one request and returns its answer. If the connection ends without an answer, the request is sent again on a
    /// new connection, in at most three attempts.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        id: &str,
        operation: &str,
    ) -> (u16, String, String) {
        let answer = (0..3).find_map(|_| {
            let mut stream = self.client();
            send_request(
                &mut stream,
                method,
                path,
                id,
                operation,
                if method == "PUT" { "new" } else { "" },
            );
            read_answer(&mut stream)
        });
        answer.expect("an answer")
    }
    /// Sends reads until `count` of them have succeeded. If a loaded machine delays the only fast cache server, the
    /// policy may suspect it and reject a read.
    pub fn reads(&self, name: &str, count: usize) {
        let (mut n, mut good) = (0, 0);
        until("the requested number of successful reads", || {
            let status = self.get(&format!("{name}{n}"));
            assert!(matches!(status, 200 | 503), "{status}");
            (n, good) = (n + 1, good + usize::from(status == 200));
            good >= count
        });
    }
    /// Sends a line of the endpoint list and returns once the node has applied it: discovery ends the subscription
    /// after the line, and the node requests later changes. Messages that are sent to the node afterwards follow the
    /// line in its mailbox.
    pub fn list(&self, rev: u32, line: &str) {
        let before = self.discovery.calls();
        self.discovery.say(line);
        until("the line is sent", || {
            self.discovery.feed.lock().unwrap().is_empty()
        });
        self.discovery.say("end");
        until("a call for later changes", || {
            self.discovery.calls() > before
        });
        let calls = self.discovery.calls.lock().unwrap();
        let newest = calls.last().unwrap();
        assert!(newest.contains(&format!("after={rev}")), "{newest}");
    }
    /// Sends reads until `holds` returns true.
    ///
    /// # Panics
    /// After 10 s.
    pub fn reads_until(&self, what: &str, name: &str, holds: impl Fn() -> bool) {
        let mut n = 0;
        until(what, || {
            self.reads(&format!("{name}{n}-"), 1);
            n += 1;
            holds()
        });
    }
    pub fn get(&self, id: &str) -> u16 {
        self.call("GET", &format!("/api/{id}"), id, "get").0
    }
    pub fn signal(&self, name: &str) {
        assert!(
            Command::new("kill")
                .args([name, &self.node.id().to_string()])
                .status()
                .unwrap()
                .success()
        );
    }
    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.folder.path().join("config.json"), config).unwrap();
        self.signal("-HUP");
    }
}

/// Returns an address without a listener.
pub fn unused_address() -> SocketAddr {
    free()
}

pub fn is_closed(mut stream: &TcpStream) -> bool {
    let waits = |e: std::io::Error| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
    !stream.read(&mut [0; 1]).is_err_and(waits)
}

pub fn read_status(stream: &mut TcpStream) -> u16 {
    read_answer(stream).expect("a complete answer").0
}
