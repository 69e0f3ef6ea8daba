//! Requests to single nodes, on routes and with keys that are in force, were, or never will be. The responses show which
//! configuration a node goes by.

use super::ScenarioRun;
use crate::client::ClientRequest;
use crate::cluster::request;
use crate::configuration::{Configuration, RouteKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Probes use routes and keys of so many of the last configurations.
const RECENT_CONFIGURATIONS: usize = 5;
/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Prefix of no route.
const UNKNOWN_PREFIX: &str = "/never/";
/// One probe in so many goes there.
const UNKNOWN_ONE_IN: u8 = 12;

fn keys(configuration: &Configuration) -> impl Iterator<Item = String> + '_ {
    let tenants = configuration.tenants.iter();
    tenants.flat_map(|tenant| tenant.keys.clone())
}

impl ScenarioRun {
    /// Sends probes until they are stopped.
    pub(super) async fn send_probes(self: Rc<Self>) {
        let cluster = &self.cluster;
        while !self.probes_stopped.get() {
            self.pause(30..150).await;
            let mut in_service = cluster.running();
            in_service.retain(|name| cluster.load_balancer.is_in_service(name));
            let Some(name) = self.any(&in_service) else {
                continue;
            };
            if let Some(request) = self.draw_probe() {
                let address = cluster.front_of(&name);
                let incarnation = cluster.load_balancer.incarnation(address.ip());
                self.probes_in_flight.set(self.probes_in_flight.get() + 1);
                spawn_local(self.clone().send_probe(request, address, incarnation));
            }
        }
    }

    async fn send_probe(
        self: Rc<Self>,
        request: ClientRequest,
        address: SocketAddr,
        incarnation: u64,
    ) {
        let client = self.cluster.client(false);
        client.send_to(&request, address, incarnation).await;
        self.probes_in_flight.set(self.probes_in_flight.get() - 1);
    }

    fn draw_probe(&self) -> Option<ClientRequest> {
        let recent = self.cluster.monitor.last_submitted(RECENT_CONFIGURATIONS);
        let routes = self.any(&recent)?.routes;
        // Half of the probes use the route that was added last.
        let is_newest = self.rng.borrow_mut().bool();
        let route = if is_newest {
            routes.last().cloned()
        } else {
            self.any(&routes)
        }?;
        let keys: Vec<String> = recent.iter().flat_map(keys).collect();
        let key = self.any(&keys)?;
        let is_unknown = self.rng.borrow_mut().u8(..UNKNOWN_ONE_IN) == 0;
        let prefix = if is_unknown {
            UNKNOWN_PREFIX
        } else {
            &route.prefix
        };
        let response_spec = if route.kind.is_stream() { "s4" } else { "b10" };
        Some(ClientRequest {
            path: format!("{prefix}{response_spec}"),
            kind: route.kind,
            key,
            deadline: PROBE_TIMEOUT,
            retries: 0,
            ..request(RouteKind::Idempotent, response_spec)
        })
    }

    /// Sends no more probes, and waits for those in flight.
    pub(super) async fn stop_probes(&self) {
        self.probes_stopped.set(true);
        while self.probes_in_flight.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }
}
