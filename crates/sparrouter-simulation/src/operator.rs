//! The operator: submits configurations and versions of weights, each until there is a clear outcome, to any node of a
//! list that lags behind.

use crate::configuration::Configuration;
use crate::history::{OrderCall, Outcome};
use crate::http_messages::{self, CallError, Reply};
use crate::monitor::Monitor;
use crate::network::interface::NetworkInterface;
use crate::server::MODEL;
use fastrand::Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Nothing is submitted for longer.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Backoff between two calls for an order: the first, and the longest.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// A status that says that a node does not know the call is final from this one on: the list may name other processes.
const MAX_UNKNOWN_CALLS: u32 = 3;
/// Delay between two calls to name a version of the weights.
const NAME_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between two reads of the configuration.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Characters of a reply that go into the trace.
const TRACED_CHARACTERS: usize = 80;

/// How a configuration is encoded.
#[derive(Clone, Debug)]
pub enum Encoding {
    /// PUT of the full configuration.
    Full,
    /// PATCH of the differences from this one.
    Patch(Configuration),
    /// PUT of this body instead of the configuration's.
    Body(String),
}

/// A change of the configuration, as it goes over the wire.
#[derive(Clone, Debug)]
pub struct Order {
    /// HTTP method.
    pub method: &'static str,
    /// Version that it replaces.
    pub base: u64,
    /// Body of the request.
    pub body: String,
    /// The configuration that is in force once it is accepted.
    pub configuration: Configuration,
    /// Whether it may be accepted at all.
    pub is_valid: bool,
}

impl Order {
    /// An order that replaces version `base`.
    pub fn new(
        configuration: &Configuration,
        base: u64,
        encoding: Encoding,
        is_valid: bool,
    ) -> Order {
        let (method, body) = match encoding {
            Encoding::Full => ("PUT", configuration.json()),
            Encoding::Patch(before) => ("PATCH", configuration.patch_json(&before)),
            Encoding::Body(body) => ("PUT", body),
        };
        Order {
            method,
            base,
            body,
            configuration: configuration.clone(),
            is_valid,
        }
    }

    fn request(&self) -> String {
        format!("{} {}", self.method, self.body)
    }

    fn as_call(&self) -> OrderCall {
        OrderCall {
            base: self.base,
            number: self.configuration.version,
            request: self.request(),
            document: self.configuration.json(),
            is_valid: self.is_valid,
        }
    }
}

/// How the submission of an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmitOutcome {
    /// The status that ended it; 0: none did.
    pub status: u16,
    /// The node that answered with it.
    pub node: Option<SocketAddr>,
}

/// Statuses that reject an order for good.
fn is_rejection(status: u16) -> bool {
    matches!(status, 400 | 409 | 412 | 413 | 422)
}

/// An operator.
pub struct Operator {
    network: NetworkInterface,
    monitor: Rc<Monitor>,
    rng: RefCell<Rng>,
    /// Addresses that serve control, as the operator's list has them.
    control: Rc<RefCell<Vec<SocketAddr>>>,
}

impl Operator {
    /// `control`: addresses of nodes that serve control; never empty when the operator calls.
    pub fn new(
        network: NetworkInterface,
        monitor: Rc<Monitor>,
        rng: Rng,
        control: Rc<RefCell<Vec<SocketAddr>>>,
    ) -> Operator {
        Operator {
            network,
            monitor,
            rng: RefCell::new(rng),
            control,
        }
    }

    fn any_node(&self) -> SocketAddr {
        let nodes = self.control.borrow();
        nodes[self.rng.borrow_mut().usize(..nodes.len())]
    }

    /// Submits a full configuration on top of `base`. Returns the status that ended it, 0 where none did.
    pub async fn put(&self, configuration: &Configuration, base: u64) -> u16 {
        let order = Order::new(configuration, base, Encoding::Full, true);
        self.submit(&order).await.status
    }

    /// Submits the differences from `before`. Returns the status that ended it, 0 where none did.
    pub async fn patch(&self, configuration: &Configuration, before: &Configuration) -> u16 {
        let encoding = Encoding::Patch(before.clone());
        let order = Order::new(configuration, before.version, encoding, true);
        self.submit(&order).await.status
    }

    /// Sends an order to any nodes until there is a clear outcome.
    pub async fn submit(&self, order: &Order) -> SubmitOutcome {
        self.submit_first_to(None, order).await
    }

    /// Sends an order to this node first, then to any nodes, until there is a clear outcome.
    pub async fn submit_first_to(
        &self,
        mut first: Option<SocketAddr>,
        order: &Order,
    ) -> SubmitOutcome {
        let id = self.monitor.submit(
            &order.configuration,
            order.base,
            order.is_valid,
            order.request(),
        );
        let started_at = Instant::now();
        let mut is_late = false;
        let mut unknown_calls = 0;
        let mut backoff = MIN_BACKOFF;
        while started_at.elapsed() < SUBMIT_TIMEOUT {
            let node = first.take().unwrap_or_else(|| self.any_node());
            let status = self.send(node, order).await;
            unknown_calls += u32::from(matches!(status, 404 | 405));
            let is_accepted = matches!(status, 200..=299);
            if is_accepted {
                self.monitor.configuration_acknowledged(id);
            } else if is_rejection(status) {
                // Had a node accepted an earlier call without an answer, the status would be 200.
                self.monitor.configuration_rejected(id, status);
            }
            if is_accepted || is_rejection(status) || unknown_calls >= MAX_UNKNOWN_CALLS {
                return SubmitOutcome {
                    status,
                    node: Some(node),
                };
            }
            is_late = is_late || self.check_acknowledgement(order, started_at);
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        SubmitOutcome {
            status: 0,
            node: None,
        }
    }

    /// ACKS: a valid order is acknowledged in time while the core is stable. Returns whether this one is late.
    fn check_acknowledgement(&self, order: &Order, started_at: Instant) -> bool {
        let now = Instant::now();
        let is_late = order.is_valid
            && now - started_at > self.monitor.bounds.ack_timeout
            && self.monitor.core_stable(started_at, now)
            && !self.monitor.any_unplanned_fault(started_at, now);
        if is_late {
            let version = order.configuration.version;
            let age = now - started_at;
            self.monitor.report_violation(
                "ACKS",
                format!("{version} has no acknowledgement after {age:?}"),
            );
        }
        is_late
    }

    /// One call to one node, recorded in the history. Returns the status, 0 without an answer.
    pub async fn send(&self, node: SocketAddr, order: &Order) -> u16 {
        let call = self
            .monitor
            .history
            .borrow_mut()
            .order_invoked(order.as_call());
        let base = order.base.to_string();
        let fields = [
            ("If-Match", base.as_str()),
            ("Content-Type", "application/json"),
        ];
        let reply = http_messages::call(
            &self.network,
            node,
            order.method,
            "/api/config",
            &fields,
            &order.body,
            CALL_TIMEOUT,
        )
        .await;
        self.trace_reply(node, &reply);
        let status = reply.map_or(0, |reply| reply.status);
        let outcome = match status {
            200..=299 => Outcome::Acknowledged,
            status if is_rejection(status) => Outcome::Rejected,
            _ => return status,
        };
        self.monitor.history.borrow_mut().answered(call, outcome);
        status
    }

    fn trace_reply(&self, node: SocketAddr, reply: &Result<Reply, CallError>) {
        self.monitor.trace_detail(|| {
            let shown = reply.as_ref().map(|reply| {
                let start: String = reply.text().chars().take(TRACED_CHARACTERS).collect();
                format!("{} {start}", reply.status)
            });
            format!("{node} answers the operator: {shown:?}")
        });
    }

    /// Names new weights until a node acknowledges that; false if none does in time.
    pub async fn name_version(&self, version: u64) -> bool {
        let started_at = Instant::now();
        let body = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        while started_at.elapsed() < SUBMIT_TIMEOUT {
            let node = self.any_node();
            let call = http_messages::call(
                &self.network,
                node,
                "POST",
                "/api/version-put",
                &[],
                &body,
                CALL_TIMEOUT,
            );
            if call.await.is_ok_and(|reply| reply.status < 300) {
                self.monitor.weights_acknowledged(version);
                return true;
            }
            sleep(NAME_INTERVAL).await;
        }
        false
    }

    /// One read of the configuration at one node, recorded in the history.
    pub async fn get_from(&self, node: SocketAddr) -> Option<Reply> {
        let call = self.monitor.history.borrow_mut().read_invoked();
        let reply = http_messages::call(
            &self.network,
            node,
            "GET",
            "/api/config",
            &[],
            "",
            CALL_TIMEOUT,
        );
        let reply = reply.await.ok()?;
        let outcome = match reply.status {
            200 => Some(Outcome::Document(reply.text().to_owned())),
            404 => Some(Outcome::NoDocument),
            _ => None,
        };
        if let Some(outcome) = outcome {
            self.monitor.history.borrow_mut().answered(call, outcome);
        }
        Some(reply)
    }

    /// Reads the configuration back at the end of a scenario, from any node that has one.
    pub async fn read_back(&self) {
        let started_at = Instant::now();
        let mut status = 0;
        let mut text = String::new();
        while started_at.elapsed() < self.monitor.bounds.contact * 2 {
            if let Some(reply) = self.get_from(self.any_node()).await {
                status = reply.status;
                reply.text().clone_into(&mut text);
                if status == 200 {
                    break;
                }
            }
            sleep(READ_INTERVAL).await;
        }
        self.monitor.configuration_read(status, &text);
    }
}
