//! Sends one order to a server to load weights.
use super::RolloutTask;
use super::directives::ServerModel;
use super::server_calls::read_reply;
use crate::control::shard_lease::ActiveLease;
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::upstream::{SendOutcome, Upstream};
use crate::settings::nanos;
use bytes::Bytes;
use std::net::SocketAddr;

/// Maximum time between the start of the lease renewal and the sending of the order, as a divisor of the lease
/// duration. The process may have been frozen during any wait.
const MAX_WAIT_DIVISOR: u64 = 3;

/// An order to load a model version.
pub(super) struct Order<'a> {
    pub(super) server: ServerModel<'a>,
    pub(super) address: SocketAddr,
    pub(super) version: u64,
    /// Number of orders that the server had accepted according to its last report. The server declines this order if it
    /// has accepted another one since.
    pub(super) accepted_before: Option<u64>,
}

impl Order<'_> {
    fn body(&self, holder: &str, fencing_token: u64) -> String {
        let expected = self
            .accepted_before
            .map(|count| format!(",\"expected_count\":{count}"))
            .unwrap_or_default();
        let (model, version) = (self.server.model, self.version);
        format!(
            "{{\"operation\":\"version\",\"model\":\"{model}\",\"version\":{version},\"method\":\"queue\",\
             \"holder_id\":\"{holder}\",\"fence_token\":{fencing_token}{expected}}}"
        )
    }

    fn head(&self, body_bytes: usize) -> String {
        let (id, address) = (self.server.id, self.address);
        // Without this field a restarted server, or another server that now has the address, would accept the order.
        let instance = if rules::orders_name_instance() {
            format!("Sparrouter-Expected-Instance: {id}\r\n")
        } else {
            String::new()
        };
        format!(
            "POST /api/order HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n{instance}\
             Content-Length: {body_bytes}\r\nConnection: close\r\n\r\n"
        )
    }
}

impl RolloutTask {
    /// Renews the lease and sends an order under it. Returns the HTTP status; `None` if there was no reply or the order
    /// was not sent.
    pub(super) async fn send_order(&self, lease: ActiveLease, order: &Order<'_>) -> Option<u16> {
        let mut connection = Upstream::dial(&*self.node.net, order.address).await?;
        let renewal_started_at = self.node.now();
        if !self.lease.renew(lease).await {
            return None;
        }
        let body = order.body(&self.lease.holder().name, lease.fencing_token);
        let head = order.head(body.len());
        // Last check before the bytes are sent.
        let elapsed = self.node.now().saturating_sub(renewal_started_at);
        if elapsed > nanos(self.lease.duration()) / MAX_WAIT_DIVISOR || self.node.is_leaving() {
            return None;
        }
        self.lease.record_order();
        let sent = connection
            .send(&Bytes::from(head), &[Bytes::from(body)])
            .await;
        if sent == SendOutcome::NotSent {
            return None;
        }
        let status = read_reply(&mut connection).await.map(|reply| reply.status);
        // The server may have taken the order at any time until now.
        self.lease.record_order();
        self.record_order(lease, order, status);
        status
    }

    fn record_order(&self, lease: ActiveLease, order: &Order<'_>, status: Option<u16>) {
        let counters = &self.node.counters;
        count(match status {
            Some(200..=299) => &counters.orders_accepted,
            Some(_) => &counters.orders_declined,
            None => &counters.orders_unanswered,
        });
        let ServerModel { id, model } = order.server;
        log::info!(
            "order to load weights: server={id} model={model} version={} fencing_token={} status={}",
            order.version,
            lease.fencing_token,
            status.map_or("none".to_owned(), |status| status.to_string())
        );
    }
}
