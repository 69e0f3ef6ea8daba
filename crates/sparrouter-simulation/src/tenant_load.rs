//! Tenants that send at a rate of their own over all nodes, whatever becomes of their requests: for limits.

use crate::client::{Client, ClientRequest, RequestOutcome};
use crate::cluster::{SimulatedCluster, ZONES, request};
use crate::configuration::Quota;
use crate::load::REQUEST_MIX;
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// What a tenant sends.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantDemand {
    /// Its API key.
    pub key: String,
    /// Requests a second, over all nodes.
    pub rate_per_s: f64,
    /// Most attempts of a request after the first one.
    pub retries: u32,
}

impl TenantDemand {
    /// So many times what a limit allows a second; requests that are refused are not sent again.
    pub fn times(key: &str, quota: Quota, times: f64) -> TenantDemand {
        TenantDemand {
            key: key.to_owned(),
            rate_per_s: f64::from(quota.rate_per_s) * times,
            retries: 0,
        }
    }
}

/// A tenant that sends until it is stopped, and counts of its requests by how they ended.
#[derive(Default)]
pub struct TenantLoad {
    /// All that were sent.
    pub sent: Cell<u32>,
    /// Those that got a complete response.
    pub served: Cell<u32>,
    /// Status of each that was rejected.
    pub rejected: RefCell<Vec<u16>>,
    /// Those that ended without a complete response.
    pub failed: Cell<u32>,
    is_stopped: Cell<bool>,
    /// Requests in flight.
    in_flight: Cell<u32>,
}

impl TenantLoad {
    /// Starts a tenant. Its requests go to the running nodes in turn, whether the load balancer knows them as ready or not.
    pub fn start(cluster: &Rc<SimulatedCluster>, demand: TenantDemand) -> Rc<TenantLoad> {
        let load = Rc::new(TenantLoad::default());
        let sender = Sender {
            client: cluster.client(false),
            rng: cluster.rng.borrow_mut().fork(),
            cluster: cluster.clone(),
            load: load.clone(),
            demand,
        };
        spawn_local(sender.run());
        load
    }

    /// Several tenants send at once for so long; ends once all their requests have.
    pub async fn run_all(
        cluster: &Rc<SimulatedCluster>,
        demands: Vec<TenantDemand>,
        lasts: Duration,
    ) -> Vec<Rc<TenantLoad>> {
        let demands = demands.into_iter();
        let loads: Vec<Rc<TenantLoad>> = demands
            .map(|demand| TenantLoad::start(cluster, demand))
            .collect();
        sleep(lasts).await;
        for load in &loads {
            load.stop().await;
        }
        loads
    }

    /// Stops the tenant, and waits for its requests in flight.
    pub async fn stop(&self) {
        self.is_stopped.set(true);
        while self.in_flight.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn count_outcome(&self, outcome: &RequestOutcome) {
        self.in_flight.set(self.in_flight.get() - 1);
        match outcome {
            RequestOutcome::Served => self.served.set(self.served.get() + 1),
            RequestOutcome::Rejected(status) => self.rejected.borrow_mut().push(*status),
            RequestOutcome::Failed => self.failed.set(self.failed.get() + 1),
        }
    }
}

struct Sender {
    client: Rc<Client>,
    rng: Rng,
    cluster: Rc<SimulatedCluster>,
    load: Rc<TenantLoad>,
    demand: TenantDemand,
}

impl Sender {
    async fn run(mut self) {
        let interval = Duration::from_secs_f64(1.0 / self.demand.rate_per_s);
        let mut next_at = Instant::now() + interval.mul_f64(self.rng.f64());
        let mut turn = self.rng.usize(..ZONES.len());
        loop {
            sleep_until(next_at).await;
            next_at += interval.mul_f64(0.5 + self.rng.f64());
            if self.load.is_stopped.get() {
                return;
            }
            let running = self.cluster.running();
            if !running.is_empty() {
                turn += 1;
                let node = &running[turn % running.len()];
                self.send(node);
            }
        }
    }

    /// Does not wait for the response.
    fn send(&mut self, node: &str) {
        let (kind, response_spec) = REQUEST_MIX[self.rng.usize(..REQUEST_MIX.len())];
        let request = ClientRequest {
            key: self.demand.key.clone(),
            retries: self.demand.retries,
            prompt_id: format!("{:08x}", self.rng.u32(..6)),
            ..request(kind, response_spec)
        };
        let address = self.cluster.front_of(node);
        let incarnation = self.cluster.load_balancer.incarnation(address.ip());
        let (client, load) = (self.client.clone(), self.load.clone());
        load.sent.set(load.sent.get() + 1);
        load.in_flight.set(load.in_flight.get() + 1);
        spawn_local(async move {
            let outcome = client.send_to(&request, address, incarnation).await;
            load.count_outcome(&outcome);
        });
    }
}
