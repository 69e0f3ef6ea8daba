//! The platform in front of the fleet: checks each second whether each node is ready, and passes new connections to ready
//! nodes, those in the client's zone first.
#![deny(missing_docs)]

use crate::http_messages;
use crate::network::interface::NetworkInterface;
use fastrand::Rng;
use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Time between two checks of a node.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Failed checks after which a node gets no new connections.
const FAILED_CHECKS: u32 = 2;

/// A node that serves clients.
#[derive(Clone, Debug)]
struct Front {
    name: String,
    zone: String,
    address: SocketAddr,
    readiness: SocketAddr,
    /// Counts the processes that ran there.
    incarnation: u64,
    /// Failed checks in a row.
    misses: u32,
    /// It was ready at least once.
    known: bool,
}

/// The platform.
pub struct LoadBalancer {
    net: NetworkInterface,
    fronts: RefCell<Vec<Front>>,
}

impl LoadBalancer {
    /// A platform without nodes; begins its checks.
    pub fn new(net: NetworkInterface) -> Rc<LoadBalancer> {
        let load_balancer = Rc::new(LoadBalancer {
            net,
            fronts: RefCell::default(),
        });
        spawn_local(load_balancer.clone().check_nodes());
        load_balancer
    }

    /// Adds a node, with its addresses for clients and for checks.
    pub fn add(&self, name: &str, zone: &str, address: SocketAddr, readiness: SocketAddr) {
        let front = Front {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address,
            readiness,
            incarnation: 0,
            misses: FAILED_CHECKS,
            known: false,
        };
        self.fronts.borrow_mut().push(front);
    }

    /// Removes a node.
    pub fn remove(&self, name: &str) {
        self.fronts.borrow_mut().retain(|f| f.name != name);
    }

    /// A new process runs on the node.
    pub fn restarted(&self, name: &str) {
        self.fronts
            .borrow_mut()
            .iter_mut()
            .filter(|f| f.name == name)
            .for_each(|f| f.incarnation += 1);
    }

    /// How many processes ran on the node with this address before the current one.
    pub fn incarnation(&self, ip: IpAddr) -> u64 {
        self.fronts
            .borrow()
            .iter()
            .find(|f| f.address.ip() == ip)
            .map_or(0, |f| f.incarnation)
    }

    /// Whether the node gets new connections.
    pub fn is_in_service(&self, name: &str) -> bool {
        self.fronts
            .borrow()
            .iter()
            .any(|f| f.name == name && f.known && f.misses < FAILED_CHECKS)
    }

    /// Checks all nodes for ever.
    async fn check_nodes(self: Rc<Self>) {
        loop {
            let all: Vec<(String, SocketAddr)> = self
                .fronts
                .borrow()
                .iter()
                .map(|f| (f.name.clone(), f.readiness))
                .collect();
            for (name, at) in all {
                let load_balancer = self.clone();
                spawn_local(async move {
                    let call = http_messages::call(
                        &load_balancer.net,
                        at,
                        "GET",
                        "/api/readiness",
                        &[],
                        "",
                        CHECK_INTERVAL,
                    );
                    let ready = call.await.is_ok_and(|r| r.status == 200);
                    let mut fronts = load_balancer.fronts.borrow_mut();
                    if let Some(front) = fronts.iter_mut().find(|f| f.name == name) {
                        front.misses = if ready { 0 } else { front.misses + 1 };
                        front.known |= ready;
                    }
                });
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// The address for a new connection of a client in a zone, and the node's [`LoadBalancer::incarnation`]. `None` without nodes.
    pub fn pick(&self, zone: &str, rng: &mut Rng) -> Option<(SocketAddr, u64)> {
        let fronts = self.fronts.borrow();
        let is_in_service = |f: &&Front| f.known && f.misses < FAILED_CHECKS;
        let own: Vec<&Front> = fronts.iter().filter(|f| f.zone == zone).collect();
        let own_in: Vec<&Front> = own.iter().copied().filter(|f| is_in_service(f)).collect();
        let others: Vec<&Front> = fronts.iter().filter(is_in_service).collect();
        let from = if own_in.is_empty() && !others.is_empty() {
            others
        } else if own_in.len() * 2 < own.len() {
            own
        } else {
            own_in
        };
        let from = if from.is_empty() {
            fronts.iter().collect()
        } else {
            from
        };
        (!from.is_empty()).then(|| {
            let front = from[rng.usize(..from.len())];
            (front.address, front.incarnation)
        })
    }
}
