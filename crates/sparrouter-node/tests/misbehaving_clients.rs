//! Clients that do not behave: crowds that send large bodies, most of which stop short of their end, and stay connected.
//! The node must live, stay within the memory and the descriptors of its machine, and serve ordinary callers. The tests
//! check no times and no share of served requests; they run one at a time.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Server};
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The machine of the node, and the bounds of the tests.
const MACHINE: MachineLimits = MachineLimits {
    memory_mb: 48,
    sockets: 512,
};
/// Clients of a crowd, whose bodies together are four times the memory.
const MEMBERS: usize = 200;
const BODY_BYTES: usize = 1 << 20;
/// Time after which a client that can't write is left as it is, with its connection open.
const BLOCKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Only one test runs at a time.
static TEST_LOCK: Mutex<()> = Mutex::new(());

/// Sends these bytes on as many connections as the crowd has clients, each in a thread of its own. The connections stay
/// open.
fn send_crowd(address: SocketAddr, bytes: &[u8], write_bytes: usize) -> Vec<TcpStream> {
    let send = || -> Option<TcpStream> {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(BLOCKED_TIMEOUT)).ok()?;
        for chunk in bytes.chunks(write_bytes) {
            // A client that is refused or can't write any more stays connected.
            if stream.write_all(chunk).is_err() {
                break;
            }
            std::thread::yield_now();
        }
        Some(stream)
    };
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..MEMBERS).map(|_| scope.spawn(send)).collect();
        clients
            .into_iter()
            .filter_map(|client| client.join().unwrap())
            .collect()
    })
}

/// The largest resident memory of the node since its start, in bytes.
fn peak_bytes(node: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{node}/status")).unwrap();
    let field = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = field.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|kb| kb.parse::<usize>().ok()).unwrap() * 1024
}

fn assert_within_bounds(node: &mut TestNode) {
    assert_running(&mut node.node);
    let peak = peak_bytes(node.node.id());
    let descriptors = fs::read_dir(format!("/proc/{}/fd", node.node.id()))
        .unwrap()
        .count();
    eprintln!("peak {} kB, {descriptors} descriptors", peak / 1000);
    assert!(peak <= MACHINE.memory_mb * 1_000_000, "{peak} bytes");
    assert!(descriptors <= MACHINE.sockets, "{descriptors} descriptors");
}

/// Sends an ordinary request until it is served; a node that refuses asks to retry.
fn assert_serves(node: &TestNode) {
    let is_served = (0..100).any(|retry| {
        std::thread::sleep(retry * MS * 10);
        node.get(&format!("ordinary{retry}")) == 200
    });
    assert!(is_served, "an ordinary request is served");
}

fn check(framing: &str, body: &[u8]) {
    check_writes(framing, body, usize::MAX);
}

/// The same with bodies that are sent in writes of this size.
fn check_writes(framing: &str, body: &[u8], write_bytes: usize) {
    let _only = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let cache = Server::always(Act::Hit);
    let mut node = start_node_in(MACHINE, SETTINGS, &[&cache], unused_address(), "info");
    let head =
        format!("POST /api/x HTTP/1.1\r\nX-Request-Id: c\r\nX-Class: pay\r\n{framing}\r\n\r\n");
    let bytes = [head.as_bytes(), body].concat();
    let connections = send_crowd(node.address, &bytes, write_bytes);
    assert_within_bounds(&mut node);
    drop(connections);
    assert_serves(&node);
    assert_within_bounds(&mut node);
}

/// Guards against bodies of announced length that are never completed.
#[test]
fn large_bodies_that_stop_short_stay_within_memory() {
    let framing = format!("Content-Length: {BODY_BYTES}");
    check(&framing, &vec![b'x'; BODY_BYTES - 1]);
}

/// Guards against chunked bodies that never end.
#[test]
fn chunked_bodies_that_never_end_stay_within_memory() {
    let chunk = [b"10000\r\n", &vec![b'x'; 0x1_0000][..], b"\r\n"].concat();
    check("Transfer-Encoding: chunked", &chunk.repeat(16));
}

/// Guards against memory that each very small chunk takes beside its data.
#[test]
fn very_small_chunks_stay_within_memory() {
    let chunk = b"10\r\nxxxxxxxxxxxxxxxx\r\n";
    check("Transfer-Encoding: chunked", &chunk.repeat(BODY_BYTES / 16));
}

/// Longest body that a client may send.
const LIMIT: usize = 64 << 10;

/// Guards against bodies that just stay inside the limit of a body and are never completed.
#[test]
fn bodies_inside_the_limit_that_stop_short_stay_within_memory() {
    check(&format!("Content-Length: {LIMIT}"), &vec![b'x'; LIMIT - 1]);
}

/// Guards against the same where the bodies grow side by side.
#[test]
fn bodies_inside_the_limit_in_small_writes_stay_within_memory() {
    check_writes(
        &format!("Content-Length: {LIMIT}"),
        &vec![b'x'; LIMIT - 1],
        1 << 10,
    );
}

/// Guards against chunked bodies inside the limit that never end.
#[test]
fn large_chunks_inside_the_limit_stay_within_memory() {
    let chunk = [b"4000\r\n", &vec![b'x'; 0x4000][..], b"\r\n"].concat();
    check("Transfer-Encoding: chunked", &chunk.repeat(LIMIT / 0x4000));
}

/// Guards against memory that each very small chunk of a body inside the limit takes beside its data.
#[test]
fn very_small_chunks_inside_the_limit_stay_within_memory() {
    let chunk = b"10\r\nxxxxxxxxxxxxxxxx\r\n";
    check("Transfer-Encoding: chunked", &chunk.repeat(LIMIT / 16));
}
