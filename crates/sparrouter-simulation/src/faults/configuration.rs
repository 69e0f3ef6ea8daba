//! Changes by the operator: configurations, single or many, in a race or invalid; API keys; new weights.

use crate::configuration::{Configuration, Route, RouteKind};
use crate::operator::{Encoding, Order};
use crate::scenario::ScenarioRun;

/// Changes in a burst.
const BURST: usize = 8;
/// Routes of the initial configuration. Only those behind them are removed or moved.
const INITIAL_ROUTES: usize = 4;

impl ScenarioRun {
    /// A random next configuration: a route is added, removed or moved to another service, or has another time-out.
    pub(crate) fn draw_change(&self, configuration: &Configuration) -> Configuration {
        let mut rng = self.rng.borrow_mut();
        let step = rng.u64(1..4);
        // Two changes of the same version differ by the name of their route too.
        let name = format!("r{}x{:x}", configuration.version, rng.u16(..));
        let kind = rng.u8(..5);
        configuration.next(step, |next| match kind {
            0 => next.routes[0].timeout_ms = rng.u64(5_000..9_000),
            1 if next.routes.len() > INITIAL_ROUTES => drop(next.routes.remove(INITIAL_ROUTES)),
            2 if next.routes.len() > INITIAL_ROUTES => {
                next.routes[INITIAL_ROUTES].service = "others".to_owned();
            }
            _ => next
                .routes
                .push(Route::new(&name, RouteKind::Idempotent, "models")),
        })
    }

    /// Submits one random change, by PUT or PATCH.
    async fn change_once(&self, configuration: &mut Configuration) {
        let operator = &self.cluster.operator;
        let next = self.draw_change(configuration);
        let is_put = self.rng.borrow_mut().bool();
        let status = if is_put {
            operator.put(&next, configuration.version).await
        } else {
            operator.patch(&next, configuration).await
        };
        self.adopt(configuration, next, status).await;
    }

    /// Makes a submitted configuration the current one if it was accepted. Without a clear outcome it may be in force.
    pub(crate) async fn adopt(
        &self,
        configuration: &mut Configuration,
        submitted: Configuration,
        status: u16,
    ) {
        if status == 200 {
            *configuration = submitted;
        } else {
            self.read_current(configuration, &[submitted]).await;
        }
    }

    /// Makes the accepted one of two rivals the current configuration. Without a clear outcome either may be in force.
    pub(super) async fn adopt_winner(
        &self,
        configuration: &mut Configuration,
        rivals: [Configuration; 2],
        statuses: [u16; 2],
    ) {
        let accepted = statuses.iter().position(|status| *status == 200);
        match accepted {
            Some(index) => configuration.clone_from(&rivals[index]),
            None => self.read_current(configuration, &rivals).await,
        }
    }

    /// Asks the nodes which of the submitted configurations is in force.
    async fn read_current(&self, configuration: &mut Configuration, submitted: &[Configuration]) {
        for name in self.cluster.names() {
            let address = self.cluster.control_of(&name);
            let Some(reply) = self.cluster.operator.get_from(address).await else {
                continue;
            };
            if let Some(current) = submitted.iter().find(|s| reply.text() == s.json()) {
                configuration.clone_from(current);
                return;
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

pub(super) async fn change(run: &ScenarioRun) {
    let mut configuration = run.configuration.lock().await;
    run.change_once(&mut configuration).await;
}

pub(super) async fn change_in_burst(run: &ScenarioRun) {
    let mut configuration = run.configuration.lock().await;
    for _ in 0..BURST {
        run.change_once(&mut configuration).await;
    }
}

/// Submits two changes on the same version at once.
pub(super) async fn race(run: &ScenarioRun) {
    let mut configuration = run.configuration.lock().await;
    let operator = &run.cluster.operator;
    let first = run.draw_change(&configuration);
    let second = Configuration {
        // Two operators may pick the same number for different changes.
        version: first.version + first.version % 2,
        ..run.draw_change(&configuration)
    };
    let base = configuration.version;
    let (first_status, second_status) =
        tokio::join!(operator.put(&first, base), operator.put(&second, base));
    let statuses = [first_status, second_status];
    run.adopt_winner(&mut configuration, [first, second], statuses)
        .await;
}

/// Submits a configuration whose routes name a service that does not exist.
pub(super) async fn submit_invalid(run: &ScenarioRun) {
    let configuration = run.configuration.lock().await;
    let next = run.draw_change(&configuration);
    let body = next
        .json()
        .replace("\"service\":\"models\"", "\"service\":\"nobody\"");
    let order = Order::new(&next, configuration.version, Encoding::Body(body), false);
    run.cluster.operator.submit(&order).await;
}

/// Submits two changes, then the first one again.
pub(super) async fn repeat_change(run: &ScenarioRun) {
    let mut configuration = run.configuration.lock().await;
    let operator = &run.cluster.operator;
    let step = run.rng.borrow_mut().u64(1..4);
    let first = configuration.next(step, |_| ());
    if operator.put(&first, configuration.version).await != 200 {
        return run.read_current(&mut configuration, &[first]).await;
    }
    let second = run.draw_change(&first);
    match operator.put(&second, first.version).await {
        200 => *configuration = second,
        _ => {
            let submitted = [first.clone(), second];
            run.read_current(&mut configuration, &submitted).await;
        }
    }
    operator.put(&first, first.version - step).await;
}

/// Replaces the API key of a tenant.
pub(super) async fn replace_key(run: &ScenarioRun) {
    let mut configuration = run.configuration.lock().await;
    let key = format!("key-{}", run.rng.borrow_mut().u32(..));
    let next = configuration.next(2, |next| next.tenants[1].keys = vec![key]);
    if run.cluster.operator.patch(&next, &configuration).await == 200 {
        *configuration = next;
    }
}

pub(super) async fn name_weights(run: &ScenarioRun) {
    run.name_next_version().await;
}
