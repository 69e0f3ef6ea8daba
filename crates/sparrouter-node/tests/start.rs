//! The program starts while what it depends on is missing, and says what it can't use.
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

/// A discovery that says this to every call, and then nothing more.
fn says(text: String) -> (TcpListener, SocketAddr) {
    let (listener, at) = listen();
    let door = listener.try_clone().unwrap();
    thread::spawn(move || {
        let mut held = Vec::new();
        for stream in door.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 1024]);
            let _ = stream.write_all(text.as_bytes());
            held.push(stream);
        }
    });
    (listener, at)
}

/// A node with one cache server that serves and one that drains by the list that it had, and what it took until ready.
fn ready(
    discovery: SocketAddr,
    mode: &str,
    cache: &Server,
    drains: &Server,
) -> (Running, Duration) {
    let (start, at) = (Instant::now(), free());
    let known = [
        target(0, cache.at, "in_service"),
        target(1, drains.at, "terminating"),
    ]
    .join(",");
    let config = format!(
        r#"{{"name":"n0","listen":"{at}","discovery":"{discovery}","seed":"1",
 "known":{{"rev":41,"all":true,"targets":[{known}]}},"settings":{}}}"#,
        SETTINGS.replace("subscribe", mode)
    );
    let (node, _folder) = harness::start(&config);
    let running = Running { node, at, _folder };
    until("ready", || {
        TcpStream::connect(at).is_ok()
            && running
                .call("GET", "/health/ready")
                .is_some_and(|s| s == 200)
    });
    (running, start.elapsed())
}

struct Running {
    node: std::process::Child,
    at: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Running {
    fn call(&self, method: &str, id: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.at).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let path = if id.starts_with('/') {
            id.to_string()
        } else {
            format!("/api/{id}")
        };
        ask(&mut stream, method, &path, id, "get", "");
        answer(&mut stream).map(|a| a.0)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.node.kill();
        let _ = self.node.wait();
    }
}

/// Down, silent, refusing, talking nonsense, half a list, or none of the cache servers to be reached: the node is
/// ready at once, serves by the list that it had, and keeps to what drains there from the first moment.
#[test]
fn ready_whatever_discovery_does_and_drains_bind_from_the_first_moment() {
    let open = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let half = r#"{"rev":42,"all":true,"targets":[{"uid":"c0","#;
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
                "half a list",
                Some(format!("{open}{:x}\r\n{half}\r\n", half.len())),
            ),
        ];
        for (name, text) in cases {
            let held = text.map(says);
            let discovery = held.as_ref().map_or_else(nowhere, |(_, at)| *at);
            let (node, took) = ready(discovery, mode, &cache, &drains);
            assert!(took < Duration::from_secs(5), "{name}: {took:?}");
            // Held up on a loaded machine, the one that serves may be doubted for a moment.
            let (mut asked, mut good) = (0, 0);
            until(name, || {
                let status = node.call("GET", &format!("k{asked}"));
                assert!(matches!(status, Some(200 | 503)), "{name}: {status:?}");
                (asked, good) = (asked + 1, good + usize::from(status == Some(200)));
                good == 20
            });
        }
        assert!(drains.seen().is_empty());
    }
}

/// Seven of ten start in one moment, with no cache server to be reached: all are ready, and all that is asked of them
/// is answered.
#[test]
fn many_that_start_at_once_are_ready_in_time() {
    let start = Instant::now();
    thread::scope(|scope| {
        for n in 0..14 {
            scope.spawn(move || {
                let at = free();
                let known = target(0, nowhere(), "in_service");
                let config = format!(
                    r#"{{"name":"n{n}","listen":"{at}","discovery":"{}","seed":"1",
 "known":{{"rev":41,"all":true,"targets":[{known}]}},"settings":{SETTINGS}}}"#,
                    nowhere()
                );
                let (node, _folder) = harness::start(&config);
                let mut running = Running { node, at, _folder };
                until("ready", || {
                    harness::still_runs(&mut running.node);
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

/// What is optional may be absent, and what can't be used is named by its field, with exit code 2.
#[test]
fn settings_are_taken_or_refused_by_field() {
    let least = r#"{"Areas":["x"],"Classes":[{"Name":"uus","ObjectiveUs":400000,"DeadlineUs":900000,"Effect":"read_like"}],
 "Limits":{"MaxAttempts":1},"Safety":{"AnswerSlackUs":0,"StartCapacity":0.1,"ColdUs":0,"FallMultiple":1.0,"FallUs":0}}"#;
    let config = |at: SocketAddr, settings: &str| {
        format!(
            r#"{{"name":"n","listen":"{at}","discovery":"{}","seed":"1","settings":{settings}}}"#,
            nowhere()
        )
    };
    let at = free();
    let (node, _folder) = harness::start(&config(at, least));
    let running = Running { node, at, _folder };
    until("ready", || {
        running.call("GET", "/health/ready") == Some(200)
    });
    let mut stream = TcpStream::connect(at).unwrap();
    ask(&mut stream, "GET", "/api/k", "a", "uus", "");
    assert_eq!(
        answer(&mut stream).unwrap().0,
        503,
        "no cache server is known"
    );
    for (good, bad, field) in [
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
    ] {
        assert!(least.contains(good), "{good}");
        let (node, _folder) = harness::start(&config(free(), &least.replace(good, bad)));
        let out = node.wait_with_output().unwrap();
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{bad}: {text}");
        assert!(text.contains(field), "{bad}: {text}");
    }
}
