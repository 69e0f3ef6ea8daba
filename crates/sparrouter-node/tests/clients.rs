//! Clients that leave, flood, or give up and return: nothing is worked off for who has gone, and others are served.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Server, until};
use std::io::Write;
use std::net::TcpStream;

/// Clients that wait for another's fetch leave in a burst: none of theirs is sent on when it ends.
#[test]
fn those_that_left_while_they_waited_are_not_sent_on() {
    let (cache, origin) = (Server::always(Act::Miss), Server::always(Act::Late(300)));
    let w = world(&[&cache], origin.at, 256);
    let mut clients: Vec<TcpStream> = (0..12).map(|_| w.client()).collect();
    for (n, stream) in clients.iter_mut().enumerate() {
        ask(stream, "GET", "/api/same", &format!("w{n}"), "get", "");
        until("the fetch", || origin.seen().len() == 1);
    }
    assert_eq!(w.call("GET", "/health/ready", "", "").0, 200);
    let mut leads = clients.remove(0);
    drop(clients);
    assert_eq!(status(&mut leads), 200);
    std::thread::sleep(350 * MS);
    assert_eq!((cache.seen().len(), origin.seen().len()), (1, 1));
}

/// A flood on one connection by a client that goes at once: a handful is begun, and others are served meanwhile.
#[test]
fn a_flood_whose_client_has_gone_is_not_worked_off() {
    let cache = Server::start(|seen| {
        if seen.id().starts_with('f') {
            Act::Late(50)
        } else {
            Act::Hit
        }
    });
    let w = world(&[&cache], nowhere(), 256);
    let mut flood = w.client();
    flood.set_nonblocking(true).unwrap();
    let mut sent = 0;
    for n in 0..20_000 {
        let text = format!("GET /api/{n} HTTP/1.1\r\nX-Request-Id: f{n}\r\nX-Class: get\r\n\r\n");
        if flood.write_all(text.as_bytes()).is_err() {
            break;
        }
        sent = n;
    }
    assert!(sent > 500, "{sent}");
    until("the first", || !cache.seen().is_empty());
    drop(flood);
    std::thread::sleep(300 * MS);
    let begun = cache.seen().len();
    assert_eq!(w.get("other"), 200);
    std::thread::sleep(300 * MS);
    let after = cache
        .seen()
        .iter()
        .filter(|s| s.id().starts_with('f'))
        .count();
    assert!(after <= begun && begun < 12, "{begun}, {after}");
}

/// A client that gives up early and is back at once, over and over: nothing of what it left stays, and the last is served.
#[test]
fn one_that_gives_up_and_returns_at_once_is_served() {
    let cache = Server::start(|seen| {
        if seen.id() == "last" {
            Act::Hit
        } else {
            Act::Late(700)
        }
    });
    let w = world(&[&cache], nowhere(), 64);
    for n in 0..40 {
        let mut stream = w.client();
        ask(
            &mut stream,
            "GET",
            "/api/k",
            &format!("early{n}"),
            "get",
            "",
        );
        // Some leave before, some while it is forwarded.
        if n % 2 == 0 {
            until("that it is forwarded or turned away", || {
                cache.seen().iter().any(|s| s.id() == format!("early{n}")) || ended_now(&stream)
            });
        }
    }
    until("the last one's answer", || w.get("last") == 200);
    let open = cache.seen().iter().filter(|s| s.until.is_none()).count();
    assert!(
        open <= 1,
        "{open} forwards of clients that left are still out"
    );
}

/// Whether the node has said or ended something there.
fn ended_now(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let said = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).unwrap();
    said
}
