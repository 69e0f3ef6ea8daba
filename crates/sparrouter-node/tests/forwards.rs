//! Forwards of one node: results of invocations under faults of their forwards.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Server, field, message};
use std::io::{BufRead, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::Ordering::SeqCst;
use std::thread::{self, sleep};
use std::time::Instant;

#[test]
fn a_miss_is_forwarded_to_the_origin_and_connections_are_reused() {
    let (cache, origin) = (Server::always(Act::Miss), Server::always(Act::Hit));
    let w = start_node(&[&cache], origin.at, 256);
    let mut stream = w.client();
    for id in ["a1", "a2", "a3"] {
        send_request(&mut stream, "GET", "/api/k?full=1", id, "get", "");
        let (status, _, body) = read_answer(&mut stream).unwrap();
        assert_eq!((status, body), (200, format!("value of {id}")));
    }
    for seen in [cache.seen(), origin.seen()].concat() {
        assert_eq!(seen.first, "GET /api/k?full=1 HTTP/1.1");
        let wait: u64 = field(&seen.head, "x-deadline-ms").unwrap().parse().unwrap();
        assert!((1..=900).contains(&wait));
    }
    assert_eq!((cache.seen().len(), origin.seen().len()), (3, 3));
    assert_eq!(
        (cache.links.load(SeqCst), origin.links.load(SeqCst)),
        (1, 1)
    );
    // Idle connections are closed well before the peer may close them, at 600 ms.
    sleep(590 * MS);
    assert_eq!(cache.closed.load(SeqCst), 1);
    // Two pipelined requests on one connection, the first with a chunked body, are answered in order.
    let put = "PUT /api/k HTTP/1.1\r\nX-Request-Id: p1\r\nX-Class: pay\r\nIdempotency-Key: m\r\n\
               Transfer-Encoding: chunked\r\n\r\n2\r\nne\r\n1\r\nw\r\n0\r\n\r\n";
    stream.write_all(put.as_bytes()).unwrap();
    send_request(&mut stream, "GET", "/api/k", "p2", "get", "");
    for id in ["p1", "p2"] {
        assert_eq!(
            read_answer(&mut stream).unwrap().2,
            format!("value of {id}")
        );
    }
    let put = origin.seen().into_iter().find(|s| s.id() == "p1").unwrap();
    assert_eq!(
        (put.body, field(&put.head, "idempotency-key").as_deref()),
        (b"new".to_vec(), Some("m"))
    );
    // A client that expects `100 Continue` gets it.
    let put = "PUT /api/k HTTP/1.1\r\nX-Request-Id: p3\r\nX-Class: pay\r\nExpect: 100-continue\r\n\
               Content-Length: 3\r\n\r\n";
    stream.write_all(put.as_bytes()).unwrap();
    assert!(message(&mut stream).unwrap().0.starts_with("HTTP/1.1 100 "));
    stream.write_all(b"new").unwrap();
    assert_eq!(read_answer(&mut stream).unwrap().2, "value of p3");
    // A write is forwarded to the origin immediately, with its body.
    assert_eq!(w.call("PUT", "/api/k", "w1", "pay").0, 200);
    let write = origin.seen().pop().unwrap();
    assert_eq!(
        (write.body, write.first),
        (b"new".to_vec(), "PUT /api/k HTTP/1.1".to_string())
    );
    assert_eq!(cache.seen().len(), 4);
}

/// The answer to an invocation that must not be executed twice, for each fault of its forward.
#[test]
fn each_fault_of_a_forward_gives_the_outcome_of_the_protocol() {
    for (act, status, forwards) in [
        (Act::Reset, 502, 1),
        (Act::Half, 502, 1),
        (Act::Broken, 502, 1),
        (Act::NoAnswer, 502, 1),
        (Act::NotRun, 503, 2),
    ] {
        let (cache, origin) = (Server::always(Act::Hit), Server::always(act));
        let w = start_node(&[&cache], origin.at, 256);
        let (got, _, body) = w.call("PUT", "/api/k", "w", "pay");
        assert_eq!(
            (got, body.as_str(), origin.seen().len()),
            (status, "", forwards),
            "{act:?}"
        );
    }
    // Nothing was written, so a retry is safe.
    let cache = Server::always(Act::Hit);
    let w = start_node(&[&cache], unused_address(), 256);
    let (got, head, _) = w.call("PUT", "/api/k", "w", "pay");
    assert_eq!(got, 503);
    assert!(field(&head, "retry-after").unwrap().parse::<f64>().unwrap() > 0.0);
    // A read is retried at the next cache server after each of these faults.
    for act in [Act::Reset, Act::Half, Act::Broken, Act::NotRun] {
        let bad = Server::always(act);
        let w = start_node(&[&bad, &cache], unused_address(), 256);
        let good: Vec<String> = (0..12)
            .map(|n| format!("r{n}"))
            .filter(|id| w.get(id) == 200)
            .collect();
        assert!(bad.seen().iter().any(|s| good.contains(&s.id())), "{act:?}");
    }
}

/// Guards against dropping valid answers because of their length, and against buffering endless answers.
#[test]
fn long_answers_are_relayed_as_far_as_memory_allows() {
    let (cache, origin) = (Server::always(Act::Long), Server::always(Act::Endless));
    let w = start_node(&[&cache], origin.at, 256);
    let answers = thread::scope(|scope| {
        let calls: Vec<_> = (0..20)
            .map(|n| {
                scope.spawn({
                    let w = &w;
                    move || w.call("GET", &format!("/api/{n}"), &format!("l{n}"), "get")
                })
            })
            .collect();
        calls
            .into_iter()
            .map(|c| c.join().unwrap())
            .collect::<Vec<_>>()
    });
    assert!(
        answers
            .iter()
            .any(|(status, _, body)| *status == 200 && body.len() == 300_000)
    );
    assert!(
        answers
            .iter()
            .all(|(status, _, body)| *status == 503 || body.len() == 300_000)
    );
    let start = Instant::now();
    assert_eq!(w.call("PUT", "/api/k", "e", "pay").0, 502);
    assert!(start.elapsed() < 300 * MS);
}

/// Guards against waiting for the end of an invalid answer, and against serving an answer that may be truncated.
#[test]
fn invalid_answers_fail_immediately_and_valid_ones_with_extras_count() {
    for act in [Act::Noise, Act::Truncated, Act::Interims] {
        let (bad, good) = (Server::always(act), Server::always(Act::Hit));
        let w = start_node(&[&bad, &good], bad.at, 256);
        let start = Instant::now();
        assert_eq!(w.call("PUT", "/api/k", "e", "pay").0, 502, "{act:?}");
        assert!(start.elapsed() < 300 * MS, "{act:?}");
        w.reads("r", 12);
        let links: Vec<usize> = bad.seen().iter().map(|s| s.link).collect();
        assert!(
            links.len() > 1 && links.windows(2).all(|l| l[0] != l[1]),
            "reused after {act:?}"
        );
    }
    for (act, links) in [(Act::Hinted, 1), (Act::Trailed, 6), (Act::ToEnd, 6)] {
        let cache = Server::always(act);
        let w = start_node(&[&cache], unused_address(), 256);
        let mut stream = w.client();
        for n in 0..6 {
            send_request(&mut stream, "GET", "/api/k", &format!("g{n}"), "get", "");
            assert_eq!(
                read_answer(&mut stream).unwrap().2,
                format!("value of g{n}")
            );
        }
        assert_eq!(cache.links.load(SeqCst), links, "{act:?}");
    }
}

/// Guards against repeated writes to idle connections that were dropped silently.
#[test]
fn the_pool_learns_the_lifetime_of_idle_connections() {
    let last = Mutex::new(std::collections::HashMap::<usize, Instant>::new());
    let cache = Server::start(move |seen| {
        let before = last.lock().unwrap().insert(seen.link, Instant::now());
        if before.is_some_and(|at| at.elapsed() > 120 * MS) {
            Act::Reset
        } else {
            Act::Hit
        }
    });
    let w = start_node(&[&cache], unused_address(), 256);
    for n in 0..24 {
        w.get(&format!("s{n}"));
        sleep(150 * MS);
    }
    let broke = cache.seen().iter().filter(|s| s.act == Act::Reset).count();
    assert!((1..=4).contains(&broke), "{broke}");
}

/// A partitioned machine: connections to it are never established, and never refused.
#[test]
fn a_write_whose_connect_times_out_is_reported_as_not_executed() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .unwrap();
    let _entered = runtime.enter();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let unresponsive = socket.listen(1).unwrap();
    let address = unresponsive.local_addr().unwrap();
    // The listen queue is full from now on, so no further connection is accepted.
    let full = |_: &usize| TcpStream::connect_timeout(&address, 50 * MS);
    let connections: Vec<_> = (0..4).map_while(|n| full(&n).ok()).collect();
    assert!(connections.len() < 4, "connections there still come up");
    let w = start_node(&[&Server::always(Act::Hit)], address, 256);
    let start = Instant::now();
    let (status, ..) = w.call("PUT", "/api/k", "w", "pay");
    // A write that was never sent may be retried; its client is told so after the connect timeout.
    assert_eq!(status, 503);
    assert!(start.elapsed() >= 200 * MS && start.elapsed() < 900 * MS);
}

#[test]
fn a_late_reply_is_never_delivered_to_another_invocation() {
    let cache = Server::start(|seen| {
        if seen.id() == "slow" {
            Act::Late(600)
        } else {
            Act::Hit
        }
    });
    let w = start_node(&[&cache], unused_address(), 256);
    let mut stream = w.client();
    send_request(&mut stream, "GET", "/api/k", "slow", "get", "");
    assert_eq!(read_answer(&mut stream).unwrap().0, 503);
    for n in 0..30 {
        send_request(&mut stream, "GET", "/api/k", &format!("q{n}"), "get", "");
        if let (200, _, body) = read_answer(&mut stream).unwrap() {
            assert_eq!(body, format!("value of q{n}"));
        }
        sleep(20 * MS);
    }
    let slow = cache.seen().iter().find(|s| s.id() == "slow").unwrap().link;
    assert!(
        cache
            .seen()
            .iter()
            .all(|s| s.id() == "slow" || s.link != slow)
    );
}

/// Guards against suspecting a cache server because the node lacks descriptors: with three descriptors for forwards two
/// of five can't be sent, and no server is suspected.
#[test]
fn a_lack_of_descriptors_in_the_node_does_not_suspect_a_cache_server() {
    let cache = Server::start(|seen| {
        if seen.id().starts_with('s') {
            Act::Late(200)
        } else {
            Act::Hit
        }
    });
    let w = start_node(&[&cache], unused_address(), 32);
    let call = |n| w.get(&format!("s{n}"));
    let answers: Vec<u16> = thread::scope(|scope| {
        let calls: Vec<_> = (0..5).map(|n| scope.spawn(move || call(n))).collect();
        calls.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert_eq!(
        answers.iter().filter(|a| **a == 200).count(),
        3,
        "{answers:?}"
    );
    assert_eq!(w.get("after"), 200);
}

/// Guards against a leak of invocations that time out while they wait for another invocation's fetch.
#[test]
fn finished_invocations_leave_no_state() {
    let (cache, origin) = (Server::always(Act::Miss), Server::always(Act::NoAnswer));
    let mut w = start_node(&[&cache], origin.at, 256);
    thread::scope(|scope| {
        for n in 0..10 {
            let w = &w;
            scope.spawn(move || {
                assert_eq!(w.call("GET", "/api/same", &format!("f{n}"), "get").0, 503)
            });
        }
    });
    let log = std::io::BufReader::new(w.node.stderr.take().unwrap());
    let mut counts = log
        .lines()
        .map_while(Result::ok)
        .filter(|l| l.contains("counts: "));
    let line = counts.find(|l| !l.contains("taken: 0")).unwrap();
    assert!(
        line.contains("taken: 10") && line.contains("open 0"),
        "{line}"
    );
}
