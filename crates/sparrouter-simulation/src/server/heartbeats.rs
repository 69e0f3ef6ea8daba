//! A server's lifecycle as the fleet sees it: heartbeats, drain, removal.

use super::{MODEL, Server, State};
use crate::http_messages::{self, CallError, Reply};
use crate::network::interface::SimulatedListener;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A server goes on serving for so long beyond its drain time-out, and then for its last requests.
pub(super) const DRAIN_SLACK: Duration = Duration::from_millis(800);
/// A drain that nobody acknowledges is announced for so long.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(50);
/// Nodes that are called, one after the other, until one answers.
const MAX_CALLS: u32 = 3;
/// How often the server looks whether its state has changed.
const STATE_POLL: Duration = Duration::from_millis(20);
/// Largest answer to a heartbeat that is accepted, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 10;

impl Server {
    /// The whole lifecycle. It ends by itself only after [`Server::drain`] or [`Server::leave`].
    pub async fn run(self: Rc<Self>, listener: SimulatedListener) {
        spawn_local(self.clone().accept_connections(listener));
        sleep(self.settings.first_heartbeat_after).await;
        let first = self.heartbeat_body();
        self.send_heartbeats().await;
        if self.deregisters_first.get() {
            self.drain_acknowledged_by.set(self.deregister().await);
            sleep(self.serves_on_for.get()).await;
            return self.finish_runs().await;
        }
        if let Some(node) = self.announce_drain().await {
            self.drain_acknowledged_by.set(Some(node));
            self.monitor.drain_acknowledged(&self.settings.id, node);
            if self.duplicate_first_heartbeat.get() {
                // The duplicate must change nothing, so its answer does not matter.
                let _ = self.call(node, "PUT", &first).await;
            }
            sleep(self.serves_on_for.get()).await;
        }
        self.deregister().await;
        self.finish_runs().await;
    }

    async fn accept_connections(self: Rc<Self>, listener: SimulatedListener) {
        loop {
            let (socket, from) = listener.next().await;
            spawn_local(self.clone().serve_connection(socket, from));
        }
    }

    /// Sends heartbeats until the server drains.
    async fn send_heartbeats(&self) {
        while self.state.get() == State::Ready {
            self.send_heartbeat().await;
            let jitter = 0.9 + 0.2 * self.rng.borrow_mut().f64();
            let next_at = Instant::now() + self.settings.heartbeat.mul_f64(jitter);
            while self.state.get() == State::Ready && Instant::now() < next_at {
                sleep(STATE_POLL).await;
            }
        }
    }

    /// Announces the drain until a node acknowledges it; returns that node.
    async fn announce_drain(&self) -> Option<SocketAddr> {
        let started_at = Instant::now();
        while started_at.elapsed() < ANNOUNCE_TIMEOUT {
            let acknowledged_by = self.send_heartbeat().await;
            if acknowledged_by.is_some() {
                return acknowledged_by;
            }
            sleep(ANNOUNCE_INTERVAL).await;
        }
        None
    }

    /// Asks the fleet to remove it; returns the node that acknowledges it.
    async fn deregister(&self) -> Option<SocketAddr> {
        for _ in 0..MAX_CALLS {
            if let Some(node) = self.next_node()
                && let Ok(reply) = self.call(node, "DELETE", "").await
                && reply.status < 300
            {
                self.monitor.drain_acknowledged(&self.settings.id, node);
                return Some(node);
            }
            self.heartbeat_target.set(None);
        }
        None
    }

    async fn finish_runs(&self) {
        let deadline = Instant::now() + DRAIN_SLACK;
        while self.running.get() > 0 && Instant::now() < deadline {
            sleep(STATE_POLL).await;
        }
    }

    /// The node that the next heartbeat goes to; `None`: any of the operator's list.
    pub fn set_heartbeat_target(&self, node: Option<SocketAddr>) {
        self.heartbeat_target.set(node);
    }

    /// Begins to drain: no new requests, and an end once those that arrive are answered.
    pub fn drain(&self) {
        self.state.set(State::Draining);
    }

    /// Begins to leave without the announcement of a drain: it deregisters, serves on for as long as a server that drains,
    /// and ends.
    pub fn leave(&self) {
        self.deregisters_first.set(true);
        self.state.set(State::Draining);
    }

    fn next_node(&self) -> Option<SocketAddr> {
        if let Some(target) = self.heartbeat_target.get() {
            return Some(target);
        }
        let nodes = self.settings.control.borrow();
        if nodes.is_empty() {
            return None;
        }
        let index = self.rng.borrow_mut().usize(..nodes.len());
        Some(nodes[index])
    }

    async fn call(&self, node: SocketAddr, method: &str, body: &str) -> Result<Reply, CallError> {
        let path = format!("/api/instances/{}", self.settings.id);
        http_messages::call(&self.network, node, method, &path, &[], body, CALL_TIMEOUT).await
    }

    fn heartbeat_body(&self) -> String {
        self.call_sequence.set(self.call_sequence.get() + 1);
        let settings = &self.settings;
        let state = match self.state.get() {
            State::Ready => "ready",
            State::Draining => "draining",
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slot_count\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"serving_stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\
             \"version\":{},\"adapters\":[]}}],\"call_sequence\":{}}}",
            settings.service,
            settings.address,
            settings.zone,
            settings.slots,
            self.version.get(),
            self.call_sequence.get()
        )
    }

    /// Sends one heartbeat; returns the node that acknowledged it.
    async fn send_heartbeat(&self) -> Option<SocketAddr> {
        for _ in 0..MAX_CALLS {
            let node = self.next_node()?;
            let body = self.heartbeat_body();
            match self.call(node, "PUT", &body).await {
                Ok(reply) if reply.status < 300 && reply.body.len() <= MAX_REPLY_BYTES => {
                    if let Some(target) = target_in(&reply) {
                        self.heartbeat_target.set(Some(target));
                    }
                    return Some(node);
                }
                _ => self.heartbeat_target.set(None),
            }
        }
        None
    }
}

/// The node that an answer asks the next heartbeat to be sent to.
fn target_in(reply: &Reply) -> Option<SocketAddr> {
    let (_, after) = reply.text().split_once("\"heartbeat_target\":\"")?;
    after.split('"').next()?.parse().ok()
}
