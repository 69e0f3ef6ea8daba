//! The node's log on its standard error.
mod harness;

use harness::*;
use sparrouter_lab::scripted::{Act, Server};
use std::io::Read;
use std::net::UdpSocket;

/// Number of invalid datagrams, each of which logs one line: together several times the capacity of a pipe.
const DATAGRAMS: usize = 6_000;

/// Guards against a full pipe at standard error, which blocked the node in the middle of its work.
#[test]
fn a_full_pipe_at_standard_error_does_not_block_the_node() {
    let cache = Server::always(Act::Hit);
    let mut w = start_node_with_log(SETTINGS, &[&cache], unused_address(), 256, "debug");
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..DATAGRAMS {
        stranger.send_to(b"no gossip", w.datagrams).unwrap();
        if n % 200 == 0 {
            // The answer shows that the node still reads its sockets.
            assert_eq!(w.get(&format!("d{n}")), 200);
        }
    }
    w.reads("after", 5);
    // The first lines of the log are still in the pipe.
    w.signal("-TERM");
    let mut log = String::new();
    let mut stderr = w.node.stderr.take().unwrap();
    stderr.read_to_string(&mut log).unwrap();
    assert!(log.contains("ready on"), "{}", &log[..log.len().min(300)]);
    assert!(log.contains("datagram of 9 bytes"));
    assert!(w.node.wait().unwrap().success());
}
