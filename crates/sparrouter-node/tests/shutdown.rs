//! Graceful shutdown: all received requests are answered, and the program exits with 0.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Server, field, until};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Instant;

/// Opens connections that are each in another stage of an exchange, in the order of the names.
fn in_flight(w: &TestNode, cache: &Server, origin: &Server) -> [TcpStream; 7] {
    let [
        mut idle,
        mut head,
        mut body,
        mut hangs,
        mut slow,
        mut misses,
        mut waits,
    ] = [(); 7].map(|()| w.client());
    send_request(&mut idle, "GET", "/api/r", "idle", "get", "");
    assert_eq!(read_status(&mut idle), 200);
    let half = "GET /api/h HTTP/1.1\r\nX-Request-Id: head\r\nX-Cl";
    head.write_all(half.as_bytes()).unwrap();
    let put =
        "PUT /api/b HTTP/1.1\r\nX-Request-Id: body\r\nX-Class: pay\r\nContent-Length: 6\r\n\r\nhal";
    body.write_all(put.as_bytes()).unwrap();
    send_request(&mut hangs, "GET", "/api/1", "hangs", "get", "");
    send_request(&mut slow, "GET", "/api/2", "slow", "get", "");
    send_request(&mut misses, "GET", "/api/3", "misses", "get", "");
    until("the fetch", || {
        origin.seen().iter().any(|s| s.id() == "misses")
    });
    send_request(&mut waits, "GET", "/api/3", "waits", "get", "");
    until("all at the cache server", || cache.seen().len() == 5);
    [idle, head, body, hangs, slow, misses, waits]
}

/// At SIGTERM there are connections that are idle, within a head, within a body, waiting for a hanging cache server or
/// for a slow one, between a miss and the origin's answer, or waiting for another invocation's fetch. Further signals do
/// not interrupt the shutdown.
#[test]
fn all_requests_in_flight_are_answered_before_the_exit() {
    let cache = Server::start(|seen| match seen.id().as_str() {
        "hangs" => Act::NoAnswer,
        "slow" => Act::Late(300),
        _ => Act::Miss,
    });
    let origin = Server::start(|seen| {
        if seen.id() == "idle" {
            Act::Hit
        } else {
            Act::Late(300)
        }
    });
    let mut w = start_node(&[&cache], origin.at, 256);
    let [
        mut idle,
        mut head,
        mut body,
        mut hangs,
        mut slow,
        mut misses,
        mut waits,
    ] = in_flight(&w, &cache, &origin);
    let start = Instant::now();
    w.signal("-TERM");
    until("that it drains", || {
        w.call("GET", "/health/ready", "", "").0 == 503
    });
    w.signal("-TERM");
    w.signal("-HUP");
    w.signal("-INT");
    head.write_all(b"ass: get\r\n\r\n").unwrap();
    body.write_all(b"ves").unwrap();
    assert_eq!(read_status(&mut body), 200);
    // The hanging cache server may be suspected, and reads are then rejected.
    for (name, stream) in [
        ("head", &mut head),
        ("slow", &mut slow),
        ("misses", &mut misses),
    ] {
        let status = read_status(stream);
        assert!(matches!(status, 200 | 503), "{name}: {status}");
    }
    assert!(matches!(read_status(&mut waits), 200 | 503));
    assert!(matches!(read_status(&mut hangs), 502 | 503));
    // The idle connection is closed without an answer, or its request is answered.
    send_request(&mut idle, "GET", "/api/r", "crosses", "get", "");
    let answered = read_answer(&mut idle).is_some();
    let is_forwarded = cache.seen().iter().any(|s| s.id() == "crosses");
    assert!(answered || !is_forwarded, "forwarded but unanswered");
    until("the exit", || w.node.try_wait().unwrap().is_some());
    assert!(w.node.wait().unwrap().success());
    // The longest client timeout plus 0.7 s.
    assert!(start.elapsed() < 1600 * MS, "{:?}", start.elapsed());
}

/// Writes to forty idle connections, one per millisecond, around the time at which the node closes them.
#[test]
fn requests_around_the_close_are_answered_or_never_forwarded() {
    let cache = Server::always(Act::Hit);
    let mut w = start_node(&[&cache], unused_address(), 512);
    let mut idle: Vec<TcpStream> = (0..40).map(|_| w.client()).collect();
    for (n, stream) in idle.iter_mut().enumerate() {
        send_request(stream, "GET", "/api/k", &format!("r{n}"), "get", "");
        assert_eq!(read_status(stream), 200);
    }
    let start = Instant::now();
    w.signal("-TERM");
    for (n, stream) in idle.iter_mut().enumerate() {
        while start.elapsed() < (430 + n as u32) * MS {
            std::hint::spin_loop();
        }
        send_request(stream, "GET", "/api/k", &format!("x{n}"), "get", "");
    }
    let answered: Vec<bool> = idle.iter_mut().map(|s| read_answer(s).is_some()).collect();
    until("the exit", || w.node.try_wait().unwrap().is_some());
    assert!(w.node.wait().unwrap().success());
    for (n, answered) in answered.iter().enumerate() {
        let is_forwarded = cache.seen().iter().any(|s| s.id() == format!("x{n}"));
        assert!(
            *answered || !is_forwarded,
            "x{n} was forwarded but not answered"
        );
    }
}

/// A client that sends single bytes slowly does not delay the exit, and a node without requests exits promptly.
#[test]
fn slow_clients_do_not_delay_the_exit() {
    let cache = Server::always(Act::Hit);
    let mut w = start_node(&[&cache], unused_address(), 256);
    let mut slow = w.client();
    slow.write_all(b"GET /api/k HT").unwrap();
    let start = Instant::now();
    w.signal("-TERM");
    while w.node.try_wait().unwrap().is_none() {
        let _ = slow.write_all(b"T");
        sleep(20 * MS);
        assert!(start.elapsed() < 1600 * MS);
    }
    assert!(w.node.wait().unwrap().success());
    let mut w = start_node(&[&cache], unused_address(), 256);
    let start = Instant::now();
    w.signal("-TERM");
    until("the exit", || w.node.try_wait().unwrap().is_some());
    assert!(start.elapsed() < 1000 * MS, "{:?}", start.elapsed());
}

#[test]
fn after_sigterm_received_requests_are_answered_and_the_node_exits_in_time() {
    let (cache, origin) = (Server::always(Act::Hit), Server::always(Act::Late(250)));
    let mut w = start_node(&[&cache], origin.at, 256);
    let (mut old, mut slow) = (w.client(), w.client());
    send_request(&mut old, "GET", "/api/k", "o1", "get", "");
    assert_eq!(read_answer(&mut old).unwrap().0, 200);
    send_request(&mut slow, "PUT", "/api/k", "slow", "pay", "new");
    until("the forward", || origin.seen().len() == 1);
    w.signal("-TERM");
    sleep(50 * MS);
    // The node is not ready, but answers requests on open and on new connections.
    assert_eq!(w.call("GET", "/health/ready", "", "").0, 503);
    send_request(&mut old, "GET", "/api/k", "o2", "get", "");
    let (status, head, _) = read_answer(&mut old).unwrap();
    assert_eq!(
        (status, field(&head, "connection").as_deref()),
        (200, Some("close"))
    );
    assert_eq!(old.read(&mut [0; 1]).unwrap(), 0);
    // Clients may connect for this time after SIGTERM.
    let start = Instant::now();
    for n in 0.. {
        assert!(matches!(w.get(&format!("late{n}")), 200 | 503));
        if start.elapsed() > 300 * MS {
            break;
        }
    }
    assert_eq!(read_answer(&mut slow).unwrap().0, 200);
    let start = Instant::now();
    until("the exit", || w.node.try_wait().unwrap().is_some());
    assert!(w.node.wait().unwrap().success() && start.elapsed() < 700 * MS);
}
