//! Clients that send requests continuously, and counts of how these requests ended.

use crate::client::{Client, ClientRequest, RequestOutcome};
use crate::cluster::{SimulatedCluster, ZONES, request};
use crate::configuration::RouteKind;
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// What clients request, by kind of route, each with the response that it asks the server for.
pub(crate) const REQUEST_MIX: [(RouteKind, &str); 4] = [
    (RouteKind::Idempotent, "b400"),
    (RouteKind::NonIdempotent, "b90"),
    (RouteKind::Streaming, "s12"),
    (RouteKind::Resumable, "s20"),
];
/// Tokens of a prompt whose KV cache is worth moving between servers.
const LARGE_PROMPT_TOKENS: u64 = 1_800;
/// One request in so many is abandoned by its client, within so many ms.
const ABANDONED_ONE_IN: u8 = 40;
const MAX_ABANDON_MS: u64 = 120;

/// Requests since the last call of [`ClientLoad::reset_recent`].
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentCounts {
    /// Those that were sent.
    pub sent: u32,
    /// Those that got a complete response.
    pub served: u32,
}

/// Clients that send requests until they are stopped, and counts of requests by how they ended.
#[derive(Default)]
pub struct ClientLoad {
    /// All that were sent.
    pub sent: Cell<u32>,
    /// Those that got a complete response.
    pub served: Cell<u32>,
    /// Status of each that was rejected.
    pub rejected: RefCell<Vec<u16>>,
    /// Those that ended without a complete response.
    pub failed: Cell<u32>,
    /// The newest requests; see [`ClientLoad::reset_recent`].
    pub recent: Cell<RecentCounts>,
    stopped: Cell<bool>,
    /// Requests in flight.
    in_flight: Cell<u32>,
}

/// Which tenants send requests, and with which prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// One tenant, whose key does not change; prompts too small to move their KV cache.
    Plain,
    /// Both tenants, one of them isolated, with their current keys; also large prompts.
    Mixed,
}

impl ClientLoad {
    /// Starts clients with [`Traffic::Plain`], each of which sends a request of any kind about every `interval`.
    pub fn start(
        cluster: &Rc<SimulatedCluster>,
        clients: usize,
        interval: Duration,
    ) -> Rc<ClientLoad> {
        ClientLoad::start_with(Traffic::Plain, cluster, clients, interval)
    }

    /// Starts clients with the given traffic, each of which sends a request of any kind about every `interval`.
    pub fn start_with(
        traffic: Traffic,
        cluster: &Rc<SimulatedCluster>,
        clients: usize,
        interval: Duration,
    ) -> Rc<ClientLoad> {
        let load = Rc::new(ClientLoad::default());
        for number in 0..clients {
            let task = ClientTask {
                client: cluster.client(number % 2 == 0),
                rng: cluster.rng.borrow_mut().fork(),
                load: load.clone(),
                cluster: cluster.clone(),
                zone: ZONES[number % ZONES.len()],
                traffic,
            };
            spawn_local(task.run(interval));
        }
        load
    }

    /// Stops the clients, and waits for the requests in flight.
    pub async fn stop(&self) {
        self.stopped.set(true);
        while self.in_flight.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Fraction of the requests that was served, 0 to 1.
    pub fn served_fraction(&self) -> f64 {
        f64::from(self.served.get()) / f64::from(self.sent.get().max(1))
    }

    /// Fails the test unless all requests were served.
    ///
    /// # Panics
    ///
    /// If a request was rejected or failed.
    pub fn assert_all_served(&self) {
        assert_eq!(
            self.served.get(),
            self.sent.get(),
            "rejected: {:?}, failed: {}",
            self.rejected.borrow(),
            self.failed.get()
        );
    }

    /// Sets [`ClientLoad::recent`] to zero.
    pub fn reset_recent(&self) {
        self.recent.set(RecentCounts::default());
    }

    fn count_sent(&self) {
        self.sent.set(self.sent.get() + 1);
        self.in_flight.set(self.in_flight.get() + 1);
        let recent = self.recent.get();
        self.recent.set(RecentCounts {
            sent: recent.sent + 1,
            ..recent
        });
    }

    fn count_outcome(&self, outcome: &RequestOutcome) {
        self.in_flight.set(self.in_flight.get() - 1);
        match outcome {
            RequestOutcome::Served => {
                self.served.set(self.served.get() + 1);
                let recent = self.recent.get();
                self.recent.set(RecentCounts {
                    served: recent.served + 1,
                    ..recent
                });
            }
            RequestOutcome::Rejected(status) => self.rejected.borrow_mut().push(*status),
            RequestOutcome::Failed => self.failed.set(self.failed.get() + 1),
        }
    }
}

/// One client of a [`ClientLoad`].
struct ClientTask {
    client: Rc<Client>,
    rng: Rng,
    load: Rc<ClientLoad>,
    cluster: Rc<SimulatedCluster>,
    zone: &'static str,
    traffic: Traffic,
}

impl ClientTask {
    async fn run(mut self, interval: Duration) {
        let mut next_at = Instant::now() + interval.mul_f64(self.rng.f64());
        while !self.load.stopped.get() {
            sleep_until(next_at).await;
            next_at += interval.mul_f64(0.5 + self.rng.f64());
            let request = self.next_request();
            if self.rng.u8(..ABANDONED_ONE_IN) == 0 {
                self.send_and_abandon(request).await;
            } else {
                self.send_and_count(&request).await;
            }
        }
    }

    fn next_request(&mut self) -> ClientRequest {
        let (kind, response_spec) = REQUEST_MIX[self.rng.usize(..REQUEST_MIX.len())];
        let request = ClientRequest {
            zone: self.zone.to_owned(),
            prompt_id: format!("{:08x}", self.rng.u32(..6)),
            ..request(kind, response_spec)
        };
        match self.traffic {
            Traffic::Plain => request,
            Traffic::Mixed => self.vary(request),
        }
    }

    /// Changes a request to either tenant and a prompt of any size.
    fn vary(&mut self, request: ClientRequest) -> ClientRequest {
        let isolated_key = self
            .cluster
            .monitor
            .newest_acknowledged()
            .and_then(|newest| {
                let tenant = newest.configuration.tenants.get(1)?;
                tenant.keys.first().cloned()
            });
        let key = isolated_key
            .filter(|_| self.rng.bool())
            .unwrap_or(request.key);
        let shared_tokens = if self.rng.u8(..3) == 0 {
            LARGE_PROMPT_TOKENS
        } else {
            request.shared_tokens
        };
        ClientRequest {
            key,
            shared_tokens,
            ..request
        }
    }

    /// An abandoned request is not counted, but it must not harm others.
    async fn send_and_abandon(&mut self, request: ClientRequest) {
        let abandon_after = Duration::from_millis(self.rng.u64(..MAX_ABANDON_MS));
        let request = ClientRequest {
            disconnects_after: Some(abandon_after),
            retries: 0,
            ..request
        };
        self.client.send(&request).await;
    }

    async fn send_and_count(&self, request: &ClientRequest) {
        self.load.count_sent();
        let outcome = self.client.send(request).await;
        self.load.count_outcome(&outcome);
    }
}
