//! Clients that disconnect, flood, or cancel and retry: their requests are not processed, and other clients are served.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Server, until};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

/// Clients that wait for another invocation's fetch disconnect in a burst: none of their invocations is forwarded when
/// the fetch ends.
#[test]
fn waiting_invocations_of_clients_that_left_are_not_forwarded() {
    let (cache, origin) = (Server::always(Act::Miss), Server::always(Act::Late(300)));
    let w = start_node(&[&cache], origin.at, 256);
    let mut clients: Vec<TcpStream> = (0..12).map(|_| w.client()).collect();
    for (n, stream) in clients.iter_mut().enumerate() {
        send_request(stream, "GET", "/api/same", &format!("w{n}"), "get", "");
        until("the fetch", || origin.seen().len() == 1);
    }
    assert_eq!(w.call("GET", "/health/ready", "", "").0, 200);
    let mut fetching = clients.remove(0);
    drop(clients);
    assert_eq!(read_status(&mut fetching), 200);
    std::thread::sleep(350 * MS);
    assert_eq!((cache.seen().len(), origin.seen().len()), (1, 1));
}

/// A client floods one connection and disconnects at once: at most a handful of its requests is forwarded, and other
/// clients are served in the meantime.
#[test]
fn a_flood_of_a_client_that_left_is_not_processed() {
    let cache = Server::start(|seen| {
        if seen.id().starts_with('f') {
            Act::Late(50)
        } else {
            Act::Hit
        }
    });
    let w = start_node(&[&cache], unused_address(), 256);
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
    until("the first forward", || !cache.seen().is_empty());
    drop(flood);
    std::thread::sleep(300 * MS);
    let forwarded = cache.seen().len();
    assert_eq!(w.get("other"), 200);
    std::thread::sleep(300 * MS);
    let after = cache
        .seen()
        .iter()
        .filter(|s| s.id().starts_with('f'))
        .count();
    assert!(after <= forwarded && forwarded < 12, "{forwarded}, {after}");
}

/// A client repeatedly cancels early and retries immediately: no state of the cancelled requests remains, and the last
/// request is served.
#[test]
fn a_client_that_cancels_and_retries_immediately_is_served() {
    let cache = Server::start(|seen| {
        if seen.id() == "last" {
            Act::Hit
        } else {
            Act::Late(700)
        }
    });
    let w = start_node(&[&cache], unused_address(), 64);
    for n in 0..40 {
        let mut stream = w.client();
        send_request(
            &mut stream,
            "GET",
            "/api/k",
            &format!("early{n}"),
            "get",
            "",
        );
        // Some clients disconnect before their request is forwarded, some while it is in flight.
        if n % 2 == 0 {
            until("that it is forwarded or rejected", || {
                cache.seen().iter().any(|s| s.id() == format!("early{n}"))
                    || has_answer_or_end(&stream)
            });
        }
    }
    until("the last one's answer", || w.get("last") == 200);
    let open = cache.seen().iter().filter(|s| s.until.is_none()).count();
    assert!(
        open <= 1,
        "{open} forwards of clients that left are still in flight"
    );
}

/// Whether the node has answered on the connection or closed it.
fn has_answer_or_end(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let is_readable = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).unwrap();
    is_readable
}

#[test]
fn a_client_that_leaves_cancels_its_forward() {
    let cache = Server::always(Act::NoAnswer);
    let w = start_node(&[&cache], unused_address(), 256);
    let mut stream = w.client();
    send_request(&mut stream, "GET", "/api/k", "a", "get", "");
    until("the forward", || cache.seen().len() == 1);
    let start = Instant::now();
    drop(stream);
    until("the forward's end", || cache.closed.load(SeqCst) == 1);
    // The forward ends before the node's timeout.
    assert!(start.elapsed() < 200 * MS);
}
