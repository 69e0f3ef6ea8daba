//! Start of the program: with unavailable dependencies, and with invalid configuration files.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Server, free, listen, until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

fn target(n: usize, at: SocketAddr, state: &str) -> String {
    sparrouter_lab::scripted::target(&format!("c{n}"), at, "box", state)
}

/// Starts a discovery that answers every call with `text` and then sends nothing.
fn discovery_that_answers(text: String) -> (TcpListener, SocketAddr) {
    let (listener, address) = listen();
    let acceptor = listener.try_clone().unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        for stream in acceptor.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 1024]);
            let _ = stream.write_all(text.as_bytes());
            open.push(stream);
        }
    });
    (listener, address)
}

/// Starts a node whose last known list has a serving and a draining cache server. Returns it with the time until it was
/// ready.
fn ready(
    discovery: SocketAddr,
    mode: &str,
    cache: &Server,
    drains: &Server,
) -> (Running, Duration) {
    let (start, address) = (Instant::now(), free());
    let known = [
        target(0, cache.at, "in_service"),
        target(1, drains.at, "terminating"),
    ]
    .join(",");
    let config = format!(
        r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"1",
 "known":{{"rev":41,"all":true,"targets":[{known}]}},"settings":{}}}"#,
        SETTINGS.replace("subscribe", mode)
    );
    let (node, _folder) = harness::spawn_node(&config);
    let running = Running {
        node,
        address,
        _folder,
    };
    until("ready", || {
        TcpStream::connect(address).is_ok()
            && running
                .call("GET", "/health/ready")
                .is_some_and(|s| s == 200)
    });
    (running, start.elapsed())
}

struct Running {
    node: std::process::Child,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Running {
    fn call(&self, method: &str, id: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let path = if id.starts_with('/') {
            id.to_string()
        } else {
            format!("/api/{id}")
        };
        send_request(&mut stream, method, &path, id, "get", "");
        read_answer(&mut stream).map(|a| a.0)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.node.kill();
        let _ = self.node.wait();
    }
}

/// Discovery is down, silent, refuses, answers garbage or an incomplete list: the node is ready immediately, serves by
/// its last known list, and sends nothing to a server that is draining in that list.
#[test]
fn with_any_discovery_fault_the_node_is_ready_and_respects_draining_servers_of_the_known_list() {
    let open = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let incomplete = r#"{"rev":42,"all":true,"targets":[{"uid":"c0","#;
    let bad = "{\"rev\":oops}\n";
    for mode in ["subscribe", "automatic"] {
        let (cache, drains) = (Server::always(Act::Hit), Server::always(Act::Hit));
        let cases = [
            ("refuses", None),
            ("silent", Some(String::new())),
            (
                "503",
                Some("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".into()),
            ),
            ("no HTTP", Some("\u{1}\u{2}\r\n\r\n".into())),
            (
                "nonsense",
                Some(format!("{open}{:x}\r\n{bad}\r\n", bad.len())),
            ),
            (
                "an incomplete list",
                Some(format!("{open}{:x}\r\n{incomplete}\r\n", incomplete.len())),
            ),
        ];
        for (name, text) in cases {
            let started = text.map(discovery_that_answers);
            let discovery = started
                .as_ref()
                .map_or_else(unused_address, |(_, address)| *address);
            let (node, took) = ready(discovery, mode, &cache, &drains);
            assert!(took < Duration::from_secs(5), "{name}: {took:?}");
            // On a loaded machine the serving cache server may be delayed and briefly suspected.
            let (mut sent, mut good) = (0, 0);
            until(name, || {
                let status = node.call("GET", &format!("k{sent}"));
                assert!(matches!(status, Some(200 | 503)), "{name}: {status:?}");
                (sent, good) = (sent + 1, good + usize::from(status == Some(200)));
                good == 20
            });
        }
        assert!(drains.seen().is_empty());
    }
}

/// Fourteen nodes start at the same time, as when seven of ten nodes of a fleet restart, without a reachable cache
/// server: all become ready, and all requests are answered.
#[test]
fn many_nodes_that_start_at_once_are_ready_in_time() {
    let start = Instant::now();
    thread::scope(|scope| {
        for n in 0..14 {
            scope.spawn(move || {
                let address = free();
                let known = target(0, unused_address(), "in_service");
                let config = format!(
                    r#"{{"name":"n{n}","listen":"{address}","discovery":"{}","seed":"1",
 "known":{{"rev":41,"all":true,"targets":[{known}]}},"settings":{SETTINGS}}}"#,
                    unused_address()
                );
                let (node, _folder) = harness::spawn_node(&config);
                let mut running = Running {
                    node,
                    address,
                    _folder,
                };
                until("ready", || {
                    harness::assert_running(&mut running.node);
                    running.call("GET", "/health/ready") == Some(200)
                });
                assert!(matches!(running.call("GET", "k"), Some(502 | 503)));
            });
        }
    });
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "{:?}",
        start.elapsed()
    );
}

/// Valid text in the settings, its invalid replacement, and the field that the error names.
const INVALID_SETTINGS: [(&str, &str, &str); 9] = [
    (r#""DeadlineUs":900000"#, r#""DeadlineUs":-1"#, "DeadlineUs"),
    (
        r#""DeadlineUs":900000"#,
        r#""DeadlineUs":0"#,
        "client timeout",
    ),
    (
        r#""ObjectiveUs":400000"#,
        r#""ObjectiveUs":"soon""#,
        "ObjectiveUs",
    ),
    (
        r#""Effect":"read_like""#,
        r#""Effect":"idempotency_key","KeyScope":"shelf""#,
        "KeyScope",
    ),
    (
        r#""Effect":"read_like""#,
        r#""Effect":"idempotency_key","WindowUs":-5"#,
        "WindowUs",
    ),
    (r#""FallUs":0"#, r#""FallUs":-1"#, "FallUs"),
    (
        r#""FallUs":0"#,
        r#""FallUs":0,"DrainGraceUs":-1"#,
        "DrainGraceUs",
    ),
    (
        r#""MaxAttempts":1"#,
        r#""MaxAttempts":1,"DialTimeoutUs":-1"#,
        "DialTimeoutUs",
    ),
    (
        r#""MaxAttempts":1"#,
        r#""MaxAttempts":1,"ConnIdleUs":99999999999999999"#,
        "ConnIdleUs",
    ),
];

/// Optional fields may be absent. An invalid value exits with code 2 and an error that names the field.
#[test]
fn settings_are_accepted_or_rejected_by_field() {
    let minimal = r#"{"Areas":["x"],"Classes":[{"Name":"uus","ObjectiveUs":400000,"DeadlineUs":900000,"Effect":"read_like"}],
 "Limits":{"MaxAttempts":1},"Safety":{"AnswerSlackUs":0,"StartCapacity":0.1,"ColdUs":0,"FallMultiple":1.0,"FallUs":0}}"#;
    let config = |address: SocketAddr, settings: &str| {
        format!(
            r#"{{"name":"n","listen":"{address}","discovery":"{}","seed":"1","settings":{settings}}}"#,
            unused_address()
        )
    };
    let address = free();
    let (node, _folder) = harness::spawn_node(&config(address, minimal));
    let running = Running {
        node,
        address,
        _folder,
    };
    until("ready", || {
        running.call("GET", "/health/ready") == Some(200)
    });
    let mut stream = TcpStream::connect(address).unwrap();
    send_request(&mut stream, "GET", "/api/k", "a", "uus", "");
    assert_eq!(
        read_answer(&mut stream).unwrap().0,
        503,
        "no cache server is known"
    );
    for (good, bad, field) in INVALID_SETTINGS {
        assert!(minimal.contains(good), "{good}");
        let (node, _folder) = harness::spawn_node(&config(free(), &minimal.replace(good, bad)));
        let out = node.wait_with_output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{bad}: {text}");
        assert!(text.contains(field), "{bad}: {text}");
    }
}

#[test]
fn an_invalid_configuration_is_named_and_exits_with_2() {
    for (config, expected) in [
        ("{", "EOF"),
        ("{}", "missing field `name`"),
        (
            &format!(
                r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"xyz","settings":{SETTINGS}}}"#
            ),
            "seed",
        ),
        (
            &format!(
                r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{}}}"#,
                SETTINGS.replace("read_like", "whatever")
            ),
            "field Effect",
        ),
    ] {
        let (node, _folder) = spawn_node(config);
        let out = node.wait_with_output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{text}");
        assert!(text.contains(expected), "{text}");
    }
}
