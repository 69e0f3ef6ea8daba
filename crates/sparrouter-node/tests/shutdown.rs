//! The program is told to end while something is under way: all that was taken is answered, and it ends with 0.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Server, until};
use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

/// At rest, in half a head, in half a body, at a cache server that hangs, at one that is slow, between the miss and
/// the origin's answer, behind another's fetch. Told once more, and told to read its file, it goes on leaving.
#[test]
fn whatever_is_under_way_is_answered_before_the_end() {
    let cache = Server::start(|seen| match seen.id().as_str() {
        "hangs" => Act::Silent,
        "slow" => Act::Late(300),
        _ => Act::Miss,
    });
    let origin = Server::start(|seen| {
        if seen.id() == "rests" {
            Act::Hit
        } else {
            Act::Late(300)
        }
    });
    let mut w = world(&[&cache], origin.at, 256);
    let [
        mut rests,
        mut head,
        mut body,
        mut hangs,
        mut slow,
        mut misses,
        mut waits,
    ] = [(); 7].map(|()| w.client());
    ask(&mut rests, "GET", "/api/r", "rests", "get", "");
    assert_eq!(status(&mut rests), 200);
    let half = "GET /api/h HTTP/1.1\r\nX-Request-Id: head\r\nX-Cl";
    head.write_all(half.as_bytes()).unwrap();
    let put =
        "PUT /api/b HTTP/1.1\r\nX-Request-Id: body\r\nX-Class: pay\r\nContent-Length: 6\r\n\r\nhal";
    body.write_all(put.as_bytes()).unwrap();
    ask(&mut hangs, "GET", "/api/1", "hangs", "get", "");
    ask(&mut slow, "GET", "/api/2", "slow", "get", "");
    ask(&mut misses, "GET", "/api/3", "misses", "get", "");
    until("the fetch", || {
        origin.seen().iter().any(|s| s.id() == "misses")
    });
    ask(&mut waits, "GET", "/api/3", "waits", "get", "");
    until("all at the cache server", || cache.seen().len() == 5);
    let start = Instant::now();
    w.signal("-TERM");
    until("that it leaves", || {
        w.call("GET", "/health/ready", "", "").0 == 503
    });
    w.signal("-TERM");
    w.signal("-HUP");
    w.signal("-INT");
    head.write_all(b"ass: get\r\n\r\n").unwrap();
    body.write_all(b"ves").unwrap();
    assert_eq!(status(&mut body), 200);
    // The one cache server that hangs for some may be doubted for it, and reads then be turned away.
    for (name, stream) in [
        ("head", &mut head),
        ("slow", &mut slow),
        ("misses", &mut misses),
    ] {
        let status = status(stream);
        assert!(matches!(status, 200 | 503), "{name}: {status}");
    }
    assert!(matches!(status(&mut waits), 200 | 503));
    assert!(matches!(status(&mut hangs), 502 | 503));
    // The resting one: ended without a word, or its request is answered.
    ask(&mut rests, "GET", "/api/r", "crosses", "get", "");
    let answered = answer(&mut rests).is_some();
    let sent_on = cache.seen().iter().any(|s| s.id() == "crosses");
    assert!(answered || !sent_on, "read, sent on and lost");
    until("the end", || w.node.try_wait().unwrap().is_some());
    assert!(w.node.wait().unwrap().success());
    // The longest client timeout, and 0.7 s.
    assert!(start.elapsed() < 1600 * MS, "{:?}", start.elapsed());
}

/// Forty resting connections, each written to a millisecond later than the one before, around the moment in which
/// the node closes them.
#[test]
fn requests_around_the_close_are_answered_or_never_sent_on() {
    let cache = Server::always(Act::Hit);
    let mut w = world(&[&cache], nowhere(), 512);
    let mut resting: Vec<TcpStream> = (0..40).map(|_| w.client()).collect();
    for (n, stream) in resting.iter_mut().enumerate() {
        ask(stream, "GET", "/api/k", &format!("r{n}"), "get", "");
        assert_eq!(status(stream), 200);
    }
    let start = Instant::now();
    w.signal("-TERM");
    for (n, stream) in resting.iter_mut().enumerate() {
        while start.elapsed() < (430 + n as u32) * MS {
            std::hint::spin_loop();
        }
        ask(stream, "GET", "/api/k", &format!("x{n}"), "get", "");
    }
    let answered: Vec<bool> = resting.iter_mut().map(|s| answer(s).is_some()).collect();
    until("the end", || w.node.try_wait().unwrap().is_some());
    assert!(w.node.wait().unwrap().success());
    for (n, answered) in answered.iter().enumerate() {
        let sent_on = cache.seen().iter().any(|s| s.id() == format!("x{n}"));
        assert!(*answered || !sent_on, "x{n} was read, sent on and lost");
    }
}

/// A client that sends a byte now and then holds nobody up, and a node that nobody asks ends soon.
#[test]
fn slow_clients_do_not_keep_the_node() {
    let cache = Server::always(Act::Hit);
    let mut w = world(&[&cache], nowhere(), 256);
    let mut slow = w.client();
    slow.write_all(b"GET /api/k HT").unwrap();
    let start = Instant::now();
    w.signal("-TERM");
    while w.node.try_wait().unwrap().is_none() {
        let _ = slow.write_all(b"T");
        std::thread::sleep(20 * MS);
        assert!(start.elapsed() < 1600 * MS);
    }
    assert!(w.node.wait().unwrap().success());
    let mut w = world(&[&cache], nowhere(), 256);
    let start = Instant::now();
    w.signal("-TERM");
    until("the end", || w.node.try_wait().unwrap().is_some());
    assert!(start.elapsed() < 1000 * MS, "{:?}", start.elapsed());
}
