//! The platform's load balancer in front of the fleet: checks each second whether each node is ready, and sends new
//! connections to ready nodes, those in the client's zone first.

use crate::http_messages;
use crate::network::interface::NetworkInterface;
use fastrand::Rng;
use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time between two checks of a node, and how long one may take.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Failed checks after which a node gets no new connections.
const MAX_FAILED_CHECKS: u32 = 2;

/// A node that clients connect to.
#[derive(Clone, Debug)]
struct Backend {
    name: String,
    zone: String,
    address: SocketAddr,
    /// Where its readiness is checked.
    readiness: SocketAddr,
    /// Counts the processes that ran on the node before the current one.
    incarnation: u64,
    /// Failed checks in a row.
    failed_checks: u32,
    /// It was ready at least once.
    was_ready: bool,
}

impl Backend {
    fn is_in_service(&self) -> bool {
        self.was_ready && self.failed_checks < MAX_FAILED_CHECKS
    }
}

/// A node that a client is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// See [`LoadBalancer::incarnation`].
    pub incarnation: u64,
}

/// The load balancer.
pub struct LoadBalancer {
    network: NetworkInterface,
    backends: RefCell<Vec<Backend>>,
}

impl LoadBalancer {
    /// A load balancer without nodes; begins its checks.
    pub fn new(network: NetworkInterface) -> Rc<LoadBalancer> {
        let load_balancer = Rc::new(LoadBalancer {
            network,
            backends: RefCell::default(),
        });
        spawn_local(load_balancer.clone().check_nodes());
        load_balancer
    }

    /// Adds a node, with its addresses for clients and for checks.
    pub fn add(&self, name: &str, zone: &str, address: SocketAddr, readiness: SocketAddr) {
        let backend = Backend {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address,
            readiness,
            incarnation: 0,
            failed_checks: MAX_FAILED_CHECKS,
            was_ready: false,
        };
        self.backends.borrow_mut().push(backend);
    }

    /// Removes a node.
    pub fn remove(&self, name: &str) {
        self.backends.borrow_mut().retain(|b| b.name != name);
    }

    /// A new process runs on the node.
    pub fn restarted(&self, name: &str) {
        for backend in self.backends.borrow_mut().iter_mut() {
            if backend.name == name {
                backend.incarnation += 1;
            }
        }
    }

    /// How many processes ran on the node with this address before the current one.
    pub fn incarnation(&self, ip: IpAddr) -> u64 {
        let backends = self.backends.borrow();
        let backend = backends.iter().find(|b| b.address.ip() == ip);
        backend.map_or(0, |b| b.incarnation)
    }

    /// Whether the node gets new connections.
    pub fn is_in_service(&self, name: &str) -> bool {
        let backends = self.backends.borrow();
        backends.iter().any(|b| b.name == name && b.is_in_service())
    }

    /// Checks all nodes for ever.
    async fn check_nodes(self: Rc<Self>) {
        loop {
            let all: Vec<(String, SocketAddr)> = self
                .backends
                .borrow()
                .iter()
                .map(|b| (b.name.clone(), b.readiness))
                .collect();
            for (name, readiness) in all {
                spawn_local(self.clone().check_node(name, readiness));
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn check_node(self: Rc<Self>, name: String, readiness: SocketAddr) {
        let call = http_messages::call(
            &self.network,
            readiness,
            "GET",
            "/api/readiness",
            &[],
            "",
            CHECK_INTERVAL,
        );
        let is_ready = call.await.is_ok_and(|reply| reply.status == 200);
        let mut backends = self.backends.borrow_mut();
        if let Some(backend) = backends.iter_mut().find(|b| b.name == name) {
            backend.failed_checks = if is_ready {
                0
            } else {
                backend.failed_checks + 1
            };
            backend.was_ready |= is_ready;
        }
    }

    /// The node for a new connection of a client in a zone; `None` without nodes. Nodes of the zone are preferred, all of
    /// them where less than half is in service, others where none is; any node where none at all is in service.
    pub fn pick(&self, zone: &str, rng: &mut Rng) -> Option<Target> {
        let backends = self.backends.borrow();
        let in_zone: Vec<&Backend> = backends.iter().filter(|b| b.zone == zone).collect();
        let serving_in_zone: Vec<&Backend> = in_zone
            .iter()
            .copied()
            .filter(|b| b.is_in_service())
            .collect();
        let serving: Vec<&Backend> = backends.iter().filter(|b| b.is_in_service()).collect();
        let preferred = if serving_in_zone.is_empty() && !serving.is_empty() {
            serving
        } else if serving_in_zone.len() * 2 < in_zone.len() {
            in_zone
        } else {
            serving_in_zone
        };
        let candidates = if preferred.is_empty() {
            backends.iter().collect()
        } else {
            preferred
        };
        if candidates.is_empty() {
            return None;
        }
        let backend = candidates[rng.usize(..candidates.len())];
        Some(Target {
            address: backend.address,
            incarnation: backend.incarnation,
        })
    }
}
