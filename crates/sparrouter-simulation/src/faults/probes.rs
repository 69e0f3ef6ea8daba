//! Requests to single nodes, on routes and with keys that are in force, were, or never will be. The answers show which
//! configuration a node goes by.
use super::ScenarioRun;
use crate::client::ClientRequest;
use crate::cluster::request;
use crate::configuration::{Configuration, RouteKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Probes use routes and keys of so many of the last configurations.
const LAST: usize = 5;
/// How long a probe may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

impl ScenarioRun {
    /// Sends probes until the end of the day.
    pub(super) async fn probe(self: Rc<Self>) {
        let cluster = &self.cluster;
        while !self.probing_ended.get() {
            sleep(self.span(30..150)).await;
            let in_service: Vec<String> = cluster
                .names()
                .into_iter()
                .filter(|n| cluster.runs(n) && cluster.load_balancer.is_in_service(n))
                .collect();
            let Some(name) = self.any(&in_service) else {
                continue;
            };
            let Some(request) = self.question() else {
                continue;
            };
            let (front, run) = (cluster.front_of(&name), self.clone());
            let incarnation = cluster.load_balancer.incarnation(front.ip());
            run.open_probes.set(run.open_probes.get() + 1);
            spawn_local(async move {
                run.cluster
                    .client(false)
                    .send_to(&request, front, incarnation)
                    .await;
                run.open_probes.set(run.open_probes.get() - 1);
            });
        }
    }

    /// A random probe.
    fn question(&self) -> Option<ClientRequest> {
        let last = self.cluster.monitor.last_sent(LAST);
        let routes = self.any(&last)?.routes;
        // Half of the probes use the route that was added last.
        let newest = self.rng.borrow_mut().bool();
        let route = if newest {
            routes.last().cloned()
        } else {
            self.any(&routes)
        }?;
        let keys = |p: &Configuration| {
            p.tenants
                .iter()
                .flat_map(|t| t.keys.clone())
                .collect::<Vec<_>>()
        };
        let key = self.any(&last.iter().flat_map(keys).collect::<Vec<_>>())?;
        let unknown = self.rng.borrow_mut().u8(..12) == 0;
        let prefix = if unknown {
            "/never/".to_owned()
        } else {
            route.prefix
        };
        let word = if route.kind.streams() { "s4" } else { "b10" };
        let asked = request(RouteKind::Idempotent, word);
        Some(ClientRequest {
            path: format!("{prefix}{word}"),
            kind: route.kind,
            key,
            deadline: CALL_TIMEOUT,
            retries: 0,
            ..asked
        })
    }

    /// Sends no more probes, and waits for those under way.
    pub(super) async fn end_probes(&self) {
        self.probing_ended.set(true);
        while self.open_probes.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }
}
