//! Client connections: invalid input, incomplete messages, and more clients than descriptors.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Server, until};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream, UdpSocket};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Guards against descriptors that are held by clients with unusable requests, and against resets that overtake error
/// answers. A request id that is in flight must not reach a cache server twice.
#[test]
fn unusable_clients_are_answered_or_closed_in_time() {
    let mut settings = SETTINGS.replace("900000", "4000000");
    settings = settings.replace("400000", "900000");
    let cache = Server::always(Act::Late(400));
    let w = start_node_with(&settings, &[&cache], unused_address(), 256);
    let start = Instant::now();
    let (silent, mut half, mut trickle) = (w.client(), w.client(), w.client());
    half.write_all(b"GET /api/k HTTP/1.1\r\nX-Re").unwrap();
    let mut endless = w.client();
    endless
        .write_all(b"PUT /api/k HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
        .unwrap();
    for _ in 0..30 {
        endless.write_all(&[b'x'; 8192]).unwrap();
    }
    assert_eq!(read_answer(&mut endless).unwrap().0, 400);
    let (mut first, mut second) = (w.client(), w.client());
    send_request(&mut first, "GET", "/api/k", "same", "get", "");
    until("the forward", || cache.seen().len() == 1);
    send_request(&mut second, "GET", "/api/k", "same", "get", "");
    assert_eq!(read_answer(&mut second).unwrap().0, 400);
    assert_eq!(read_answer(&mut first).unwrap().0, 200);
    // The request id is free again after the invocation has completed.
    send_request(&mut first, "GET", "/api/k", "same", "get", "");
    assert_eq!(
        (read_answer(&mut first).unwrap().0, cache.seen().len()),
        (200, 2)
    );
    trickle.set_read_timeout(Some(50 * MS)).unwrap();
    while trickle.write_all(b"G").is_ok() && !is_closed(&trickle) && start.elapsed() < 4000 * MS {}
    assert!(is_closed(&silent) && is_closed(&half));
    assert!(start.elapsed() < 3000 * MS, "{:?}", start.elapsed());
}

/// Requests that violate the protocol or the limits of the node.
fn invalid_requests() -> Vec<String> {
    let named = "X-Request-Id: i\r\nX-Class: get\r\n";
    vec![
        "nonsense\r\n\r\n".to_string(),
        "GET /api/k HTTP/2.0\r\n\r\n".into(),
        "GET api HTTP/1.1\r\n\r\n".into(),
        "GET /api/k HTTP/1.1\r\nno colon\r\n\r\n".into(),
        "GET /api/k HTTP/1.1\r\nX-Class: get\r\n\r\n".into(),
        format!(
            "GET /api/k HTTP/1.1\r\nX-Request-Id: i\r\nX-Class: {}\r\n\r\n",
            "unheard-of"
        ),
        format!("GET /api/k HTTP/1.1\r\n{named}X-Deadline-Ms: soon\r\n\r\n"),
        format!("DELETE /api/k HTTP/1.1\r\n{named}\r\n"),
        format!("PUT /api/k HTTP/1.1\r\n{named}Content-Length: -1\r\n\r\n"),
        format!("PUT /api/k HTTP/1.1\r\n{named}Content-Length: 99999999999999999999\r\n\r\n"),
        format!("PUT /api/k HTTP/1.1\r\n{named}Content-Length: 65537\r\n\r\n"),
        format!("PUT /api/k HTTP/1.1\r\n{named}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
        format!(
            "PUT /api/k HTTP/1.1\r\n{named}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"
        ),
        format!("PUT /api/k HTTP/1.1\r\n{named}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc"),
        format!("PUT /api/k HTTP/1.1\r\n{named}Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n"),
        format!(
            "PUT /api/k HTTP/1.1\r\n{named}Transfer-Encoding: chunked\r\n\r\n10001\r\n{}",
            "x".repeat(65537)
        ),
        format!("GET /{} HTTP/1.1\r\n\r\n", "k".repeat(20_000)),
    ]
}

#[test]
fn invalid_requests_get_400_or_a_closed_connection_and_leave_the_node_serving() {
    let cache = Server::always(Act::Hit);
    let w = start_node(&[&cache], unused_address(), 256);
    for bad in invalid_requests() {
        let mut stream = w.client();
        // The node may close the connection before it has read the whole request.
        let _ = stream.write_all(bad.as_bytes());
        let status = read_answer(&mut stream).map(|a| a.0);
        assert!(
            matches!(status, None | Some(400)),
            "{status:?} to {}",
            &bad[..bad.len().min(90)]
        );
    }
    // The node waits for an endless head no longer than a client timeout.
    let mut slow = w.client();
    slow.write_all(b"GET /api/k HTTP/1.1\r\n").unwrap();
    assert_eq!(slow.read(&mut [0; 1]).unwrap(), 0);
    // Datagrams from unknown senders, truncated datagrams, and datagrams that are too long.
    let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    for text in [&[0u8; 0][..], &[255; 3], &[255; 256], &[7; 300]] {
        w.other.send_to(text, w.datagrams).unwrap();
        stranger.send_to(text, w.datagrams).unwrap();
    }
    assert_eq!(w.get("after"), 200);
    assert_eq!(cache.seen().len(), 1);
    // The node sends its gossip from the address that the other nodes know.
    let mut datagram = [0; 300];
    w.other
        .set_read_timeout(Some(Duration::from_secs(3)))
        .unwrap();
    let (length, from) = w.other.recv_from(&mut datagram).unwrap();
    assert!(length <= 256 && from == w.datagrams);
}

/// Guards against clients that occupy all descriptors: idle connections are closed, and no client has to wait.
#[test]
fn few_descriptors_still_answer_all_clients() {
    let cache = Server::start(|seen| {
        if seen.id().starts_with('s') {
            Act::Late(300)
        } else {
            Act::Hit
        }
    });
    let w = start_node(&[&cache], unused_address(), 64);
    let idle: Vec<TcpStream> = (0..100).map(|_| w.client()).collect();
    w.reads("a", 20);
    let closed = idle
        .iter()
        .filter(|s| s.set_nonblocking(true).is_ok() && is_closed(s))
        .count();
    assert!(closed > 50, "{closed}");
    // Many more concurrent clients than can be served: all get an answer.
    thread::scope(|scope| {
        for n in 0..60 {
            let w = &w;
            scope.spawn(move || assert!(matches!(w.get(&format!("s{n}")), 200 | 503)));
        }
    });
}

/// Guards against clients with incomplete heads that occupy all descriptors, so that no other client can connect.
#[test]
fn clients_with_incomplete_messages_do_not_block_other_clients() {
    let cache = Server::always(Act::Hit);
    let w = start_node(&[&cache], unused_address(), 64);
    let half: Vec<TcpStream> = (0..120)
        .map(|_| {
            let mut stream = w.client();
            stream.write_all(b"GET /api/k HTTP/1.1\r\nX-Re").unwrap();
            stream
        })
        .collect();
    let start = Instant::now();
    w.reads("w", 20);
    // Each connection may stay for 2.6 s, but only 0.25 s if another client needs its descriptor.
    assert!(start.elapsed() < 2000 * MS, "{:?}", start.elapsed());
    drop(half);
}

/// Guards against clients that send one request and keep the connection, so that no other client can connect.
#[test]
fn the_longest_idle_connections_are_closed_first() {
    let cache = Server::always(Act::Hit);
    let w = start_node(&[&cache], unused_address(), 256);
    let mut stay: Vec<TcpStream> = (0..60).map(|_| w.client()).collect();
    for (n, stream) in stay.iter_mut().enumerate() {
        send_request(stream, "GET", "/api/k", &format!("o{n}"), "get", "");
        assert!(read_answer(stream).is_some());
    }
    sleep(50 * MS);
    let open: Vec<bool> = stay
        .iter()
        .map(|s| s.set_nonblocking(true).is_ok() && !is_closed(s))
        .collect();
    // The most recently used connections stay open: a tenth of all descriptors.
    assert_eq!(
        (
            open.iter().filter(|o| **o).count(),
            open[34..].iter().all(|o| *o)
        ),
        (26, true)
    );
}

/// Guards against new connections that displace each other before their messages arrive.
#[test]
fn new_connections_displace_the_longest_idle_and_not_each_other() {
    let cache = Server::always(Act::Hit);
    let w = start_node(&[&cache], unused_address(), 64);
    // All descriptors are occupied by clients that sent one request and keep the connection.
    let mut idle: Vec<TcpStream> = (0..26).map(|_| w.client()).collect();
    for (n, stream) in idle.iter_mut().enumerate() {
        send_request(stream, "GET", "/api/k", &format!("i{n}"), "get", "");
        assert!(read_answer(stream).is_some());
    }
    let mut late: Vec<TcpStream> = (0..12).map(|_| w.client()).collect();
    sleep(50 * MS);
    for (n, stream) in late.iter_mut().enumerate() {
        send_request(stream, "GET", "/api/k", &format!("l{n}"), "get", "");
        assert_eq!(read_answer(stream).map(|a| a.0), Some(200), "{n}");
    }
}
