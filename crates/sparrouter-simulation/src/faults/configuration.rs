//! Changes by the operator: configurations, single or many, in a race or invalid; API keys; new weights.
use super::Fault::*;
use super::{Fault, ScenarioRun};
use crate::configuration::{Configuration, Route, RouteKind};
use crate::operator::Encoding;

/// Changes in a row in a configuration storm.
const STORM: usize = 8;

impl ScenarioRun {
    /// A next configuration: a route is added, removed or moved to another service, or has another timeout.
    pub(super) fn another(&self, configuration: &Configuration) -> Configuration {
        let mut rng = self.rng.borrow_mut();
        // Two changes of the same version differ by the name of their route too.
        let (step, name) = (
            rng.u64(1..4),
            format!("r{}x{:x}", configuration.version, rng.u16(..)),
        );
        let what = rng.u8(..5);
        configuration.next(step, |p| match what {
            0 => p.routes[0].timeout_ms = rng.u64(5_000..9_000),
            1 if p.routes.len() > 4 => drop(p.routes.remove(4)),
            2 if p.routes.len() > 4 => p.routes[4].service = "others".to_owned(),
            _ => p
                .routes
                .push(Route::new(&name, RouteKind::Idempotent, "models")),
        })
    }

    pub(super) async fn configure(&self, fault: Fault) {
        let mut configuration = self.configuration.lock().await;
        match fault {
            ConfigurationRace => self.race(&mut configuration).await,
            InvalidConfiguration => self.send_invalid(&configuration).await,
            ConfigurationRepeated => self.repeat_change(&mut configuration).await,
            KeyReplaced => self.replace_key(&mut configuration).await,
            ConfigurationBurst => {
                for _ in 0..STORM {
                    self.change_once(&mut configuration).await;
                }
            }
            _ => self.change_once(&mut configuration).await,
        }
    }

    /// Sends two changes of the same version at once.
    async fn race(&self, configuration: &mut Configuration) {
        let operator = &self.cluster.operator;
        let (left, right) = (self.another(configuration), self.another(configuration));
        let right = Configuration {
            // Two operators may pick the same number for different changes.
            version: left.version + left.version % 2,
            ..right
        };
        let statuses = tokio::join!(
            operator.put(&left, configuration.version),
            operator.put(&right, configuration.version)
        );
        match statuses {
            (200, _) => *configuration = left,
            (_, 200) => *configuration = right,
            // Either may be in force.
            _ => self.reread(configuration, &[left, right]).await,
        }
    }

    /// Sends a configuration whose routes name a service that does not exist.
    async fn send_invalid(&self, configuration: &Configuration) {
        let next = self.another(configuration);
        let body = next
            .json()
            .replace("\"service\":\"models\"", "\"service\":\"nobody\"");
        let how = Encoding::Body(body);
        self.cluster
            .operator
            .change(&next, configuration.version, how, false)
            .await;
    }

    /// Sends two changes, then the first one again.
    async fn repeat_change(&self, configuration: &mut Configuration) {
        let operator = &self.cluster.operator;
        let step = self.rng.borrow_mut().u64(1..4);
        let next = configuration.next(step, |_| ());
        if operator.put(&next, configuration.version).await != 200 {
            return self.reread(configuration, &[next]).await;
        }
        let later = self.another(&next);
        match operator.put(&later, next.version).await {
            200 => *configuration = later,
            _ => self.reread(configuration, &[next.clone(), later]).await,
        }
        operator.put(&next, next.version - step).await;
    }

    /// Replaces the API key of a tenant.
    async fn replace_key(&self, configuration: &mut Configuration) {
        let key = format!("key-{}", self.rng.borrow_mut().u32(..));
        let next = configuration.next(2, |p| p.tenants[1].keys = vec![key]);
        if self.cluster.operator.patch(&next, configuration).await == 200 {
            *configuration = next;
        }
    }

    /// Sends one change, by PUT or PATCH.
    async fn change_once(&self, configuration: &mut Configuration) {
        let operator = &self.cluster.operator;
        let next = self.another(configuration);
        let is_whole = self.rng.borrow_mut().bool();
        let status = if is_whole {
            operator.put(&next, configuration.version).await
        } else {
            operator.patch(&next, configuration).await
        };
        match status {
            200 => *configuration = next,
            // It may be in force or not.
            _ => self.reread(configuration, &[next]).await,
        }
    }

    /// Finds out from the nodes which of the configurations sent is in force.
    pub(super) async fn reread(&self, configuration: &mut Configuration, sent: &[Configuration]) {
        for name in self.cluster.names() {
            let Some(reply) = self
                .cluster
                .operator
                .get_from(self.cluster.control_of(&name))
                .await
            else {
                continue;
            };
            let is = |p: &&Configuration| reply.text() == p.json();
            if let Some(found) = sent.iter().find(is) {
                return *configuration = found.clone();
            }
        }
    }

    /// Names the next version of the weights.
    pub(super) async fn name_next_version(&self) {
        let mut weights = self.weights.lock().await;
        *weights += 1;
        self.cluster.newest_weights.set(*weights);
        if !self.cluster.operator.name_version(*weights).await {
            self.cluster.monitor.report_violation(
                "ACKS",
                format!("weights {} were never acknowledged", *weights),
            );
        }
    }
}
