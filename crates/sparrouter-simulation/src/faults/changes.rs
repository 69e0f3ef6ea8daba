//! Changes by the operator: configurations, single or many, in a race or invalid; API keys; new weights.
use super::Fault::*;
use super::{DayRun, Fault};
use crate::operator::How;
use crate::plan::{Kind, Plan, Route};

/// Changes in a row in a configuration storm.
const STORM: usize = 8;

impl DayRun {
    /// A next configuration: a route is added, removed or moved to another service, or has another timeout.
    pub(super) fn another(&self, plan: &Plan) -> Plan {
        let mut rng = self.rng.borrow_mut();
        // Two changes of the same version differ by the name of their route too.
        let (step, name) = (
            rng.u64(1..4),
            format!("r{}x{:x}", plan.version, rng.u16(..)),
        );
        let what = rng.u8(..5);
        plan.next(step, |p| match what {
            0 => p.routes[0].timeout_ms = rng.u64(5_000..9_000),
            1 if p.routes.len() > 4 => drop(p.routes.remove(4)),
            2 if p.routes.len() > 4 => p.routes[4].service = "others".to_owned(),
            _ => p.routes.push(Route::new(&name, Kind::Idempotent, "models")),
        })
    }

    pub(super) async fn configure(&self, fault: Fault) {
        let mut plan = self.plan.lock().await;
        match fault {
            ConfigRace => self.race(&mut plan).await,
            BadConfig => self.send_invalid(&plan).await,
            ConfigAgain => self.repeat_change(&mut plan).await,
            Revoke => self.replace_key(&mut plan).await,
            ConfigStorm => {
                for _ in 0..STORM {
                    self.change_once(&mut plan).await;
                }
            }
            _ => self.change_once(&mut plan).await,
        }
    }

    /// Sends two changes of the same version at once.
    async fn race(&self, plan: &mut Plan) {
        let operator = &self.world.operator;
        let (left, right) = (self.another(plan), self.another(plan));
        let right = Plan {
            // Two operators may pick the same number for different changes.
            version: left.version + left.version % 2,
            ..right
        };
        let statuses = tokio::join!(
            operator.put(&left, plan.version),
            operator.put(&right, plan.version)
        );
        match statuses {
            (200, _) => *plan = left,
            (_, 200) => *plan = right,
            // Either may be in force.
            _ => self.reread(plan, &[left, right]).await,
        }
    }

    /// Sends a configuration whose routes name a service that does not exist.
    async fn send_invalid(&self, plan: &Plan) {
        let next = self.another(plan);
        let body = next
            .json()
            .replace("\"service\":\"models\"", "\"service\":\"nobody\"");
        let how = How::Body(body);
        self.world
            .operator
            .change(&next, plan.version, how, false)
            .await;
    }

    /// Sends two changes, then the first one again.
    async fn repeat_change(&self, plan: &mut Plan) {
        let operator = &self.world.operator;
        let step = self.rng.borrow_mut().u64(1..4);
        let next = plan.next(step, |_| ());
        if operator.put(&next, plan.version).await != 200 {
            return self.reread(plan, &[next]).await;
        }
        let later = self.another(&next);
        match operator.put(&later, next.version).await {
            200 => *plan = later,
            _ => self.reread(plan, &[next.clone(), later]).await,
        }
        operator.put(&next, next.version - step).await;
    }

    /// Replaces the API key of a tenant.
    async fn replace_key(&self, plan: &mut Plan) {
        let key = format!("key-{}", self.rng.borrow_mut().u32(..));
        let next = plan.next(2, |p| p.tenants[1].keys = vec![key]);
        if self.world.operator.patch(&next, plan).await == 200 {
            *plan = next;
        }
    }

    /// Sends one change, by PUT or PATCH.
    async fn change_once(&self, plan: &mut Plan) {
        let operator = &self.world.operator;
        let next = self.another(plan);
        let is_whole = self.rng.borrow_mut().bool();
        let status = if is_whole {
            operator.put(&next, plan.version).await
        } else {
            operator.patch(&next, plan).await
        };
        match status {
            200 => *plan = next,
            // It may be in force or not.
            _ => self.reread(plan, &[next]).await,
        }
    }

    /// Finds out from the nodes which of the configurations sent is in force.
    pub(super) async fn reread(&self, plan: &mut Plan, sent: &[Plan]) {
        for name in self.world.names() {
            let Some(reply) = self
                .world
                .operator
                .get_from(self.world.control_of(&name))
                .await
            else {
                continue;
            };
            let is = |p: &&Plan| reply.text() == p.json();
            if let Some(found) = sent.iter().find(is) {
                return *plan = found.clone();
            }
        }
    }

    /// Names the next version of the weights.
    pub(super) async fn name_next_version(&self) {
        let mut weights = self.weights.lock().await;
        *weights += 1;
        self.world.newest_weights.set(*weights);
        if !self.world.operator.name_version(*weights).await {
            self.world.judge.breach(
                "ACKS",
                format!("weights {} were never acknowledged", *weights),
            );
        }
    }
}
