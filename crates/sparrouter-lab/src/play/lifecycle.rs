//! Stops and restarts nodes during a run.
use super::Environment;
use super::environment::READY_TIMEOUT;
use crate::ledger::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Within this time, in seconds, the front notices a node that says it is no longer ready.
const GRACEFUL_NOTICE_S: f64 = 0.3;
/// Beyond the longest client timeout a stopping node gets this before it is killed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Environment {
    /// Kills a node, or tells it to stop and kills it only where it takes too long. Returns at once.
    pub(crate) fn stop_node(self: &Arc<Self>, n: usize, killed: bool) {
        self.stopped_nodes[n].store(true, Relaxed);
        self.record_down(n, killed);
        {
            let mut node = self.nodes[n].lock().expect("not poisoned");
            if killed {
                node.kill();
            } else {
                node.terminate();
            }
        }
        self.leave_front_later(n, killed);
        self.kill_overdue(n);
    }

    fn record_down(&self, n: usize, killed: bool) {
        self.lab.record(Record::NodeDown {
            at: self.lab.now(),
            node: n as u16,
            killed,
        });
    }

    fn leave_front_later(self: &Arc<Self>, n: usize, killed: bool) {
        let notices_s = self.lab.scenario.nodes.front_notices_s;
        let environment = self.clone();
        spawn(move || {
            // A node that reports itself not ready is noticed sooner than one that is unresponsive.
            let notices_s = if killed {
                notices_s
            } else {
                notices_s.min(GRACEFUL_NOTICE_S)
            };
            sleep(Duration::from_secs_f64(notices_s));
            if environment.stopped_nodes[n].load(Relaxed) {
                environment.front.set(n, false);
            }
        });
    }

    fn kill_overdue(self: &Arc<Self>, n: usize) {
        // Guards against killing the node's successor, which may be up before the thread first looks.
        let stopping = self.nodes[n].lock().expect("not poisoned").process();
        let client_timeout = Duration::from_millis(self.lab.scenario.max_client_timeout_ms());
        let environment = self.clone();
        spawn(move || {
            let deadline = Instant::now() + client_timeout + SHUTDOWN_MARGIN;
            loop {
                let mut node = environment.nodes[n].lock().expect("not poisoned");
                if node.take_exited() || !node.running() || node.process() != stopping {
                    return;
                }
                if Instant::now() > deadline {
                    environment.record_down(n, true);
                    return node.kill();
                }
                drop(node);
                sleep(POLL_INTERVAL);
            }
        });
    }

    /// Starts a node once its earlier process has ended; the front includes it when it is ready. Returns at once.
    pub(crate) fn restart_node(self: &Arc<Self>, n: usize) {
        let environment = self.clone();
        spawn(move || {
            let node = &environment.nodes[n];
            while node.lock().expect("not poisoned").running() {
                sleep(POLL_INTERVAL);
            }
            if environment.lab.over.load(Relaxed) {
                return;
            }
            if let Err(e) = environment.start_node(n) {
                return eprintln!("lab: node {n} did not start again: {e}");
            }
            let address = node.lock().expect("not poisoned").at;
            if ready(address, READY_TIMEOUT) {
                environment.stopped_nodes[n].store(false, Relaxed);
                environment.lab.record(Record::NodeUp {
                    at: environment.lab.now(),
                    node: n as u16,
                });
                environment.front.set(n, true);
            }
        });
    }
}

/// Probes a node until it is ready; false where it is not within the time-out.
pub(super) fn ready(address: SocketAddr, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if probe(address).unwrap_or(false) {
            return true;
        }
        sleep(POLL_INTERVAL);
    }
    false
}

fn probe(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, PROBE_TIMEOUT)?;
    stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
    stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer)?;
    Ok(answer.ends_with(b"200"))
}
