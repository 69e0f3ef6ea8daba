//! Tenants with limits that ask for more than they may, and counts of what became of their requests.
#![allow(dead_code, reason = "each test file uses a part of it")]
use bytes::BytesMut;
use sparrouter_fleet::control::LEASE_SHARDS;
use sparrouter_http::head::{self, ResponseHead};
use sparrouter_http::reading;
use sparrouter_simulation::client::{Client, ClientRequest, RequestOutcome};
use sparrouter_simulation::cluster::{
    ClusterSettings, HOST, SimulatedCluster, initial_configuration, request,
};
use sparrouter_simulation::configuration::{Configuration, Quota, RouteKind, Tenant};
use sparrouter_simulation::monitor::Bounds;
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Longest head of a reply, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A tenant with a limit.
#[derive(Clone, Copy, Debug)]
pub struct Limited {
    pub name: &'static str,
    pub quota: Quota,
}

/// Its limit has a part in each of the four shards.
pub const LARGE: Limited = Limited {
    name: "garments",
    quota: Quota {
        rate_per_s: 40,
        burst_size: 60,
    },
};
/// Its limit is in one part.
pub const SMALL: Limited = Limited {
    name: "hospital",
    quota: Quota {
        rate_per_s: 8,
        burst_size: 6,
    },
};

impl Limited {
    pub fn rate_per_s(&self) -> f64 {
        f64::from(self.quota.rate_per_s)
    }

    pub fn key(&self) -> String {
        format!("key-of-{}", self.name)
    }

    pub fn request(&self, kind: RouteKind, response_spec: &str) -> ClientRequest {
        ClientRequest {
            key: self.key(),
            deadline: Duration::from_secs(4),
            shared_tokens: 0,
            retries: 0,
            ..request(kind, response_spec)
        }
    }
}

/// Seeds from `first` on: `count` of them, and as many times more as the variable says, to hunt.
pub fn seeds(first: u64, count: u64) -> Range<u64> {
    let times = std::env::var("QUOTA_SEEDS").ok();
    let times = times.and_then(|text| text.parse().ok()).unwrap_or(1);
    first..first + count * times
}

/// The configuration with these tenants beside its own; `of` has them already or not.
pub fn with_limits(of: &Configuration, tenants: &[Limited]) -> Configuration {
    of.next(1, |next| {
        for limited in tenants {
            next.tenants.retain(|tenant| tenant.name != limited.name);
            next.tenants.push(tenant(limited));
        }
    })
}

/// Servers that are never busy, so that what is sent runs at once, and limits that hold without overage or grace.
pub fn settings(seed: u64) -> ClusterSettings {
    let settings = ClusterSettings::with_seed(seed).slots(200);
    settings.bounds(Bounds {
        quota_overage: 0.0,
        quota_grace: 0.0,
        ..settings.bounds
    })
}

/// A fleet with these tenants whose lease holders grant, and its configuration.
pub async fn fleet(
    settings: ClusterSettings,
    tenants: &[Limited],
) -> (Rc<SimulatedCluster>, Configuration) {
    let cluster = SimulatedCluster::serving(settings).await;
    let configuration = with_limits(&initial_configuration(), tenants);
    assert_eq!(cluster.operator.put(&configuration, 1).await, 200);
    sleep(settings.bounds.config_apply + Duration::from_secs(1)).await;
    (cluster, configuration)
}

/// The machines that would take a shard's lease, each by its own view: mostly one a shard.
pub async fn holders(cluster: &SimulatedCluster) -> Vec<Vec<String>> {
    let mut holders = Vec::new();
    for shard in 1..=LEASE_SHARDS {
        let metric = format!("sparrouter_rollout_lease_candidate{{shard=\"{shard}\"}}");
        let mut of_shard = Vec::new();
        for name in cluster.core() {
            if cluster.runs(&name) && cluster.metric(&name, &metric).await == Some(1.0) {
                of_shard.push(name);
            }
        }
        holders.push(of_shard);
    }
    holders
}

/// How a request ended, and when it was sent.
#[derive(Clone, Debug)]
pub struct Ended {
    pub sent_at: Instant,
    pub took: Duration,
    pub outcome: RequestOutcome,
}

/// Requests of one tenant, to all machines in turn, whatever state they are in.
pub struct HotTenant {
    cluster: Rc<SimulatedCluster>,
    client: Rc<Client>,
    pub tenant: Limited,
    kinds: Vec<(RouteKind, &'static str)>,
    retries: u32,
    /// Each request has a prompt of its own, so that they go to all servers.
    has_own_prompts: bool,
    /// Name of the route; `None`: that of the kind.
    route: Option<&'static str>,
    /// Machines that it goes to; `None`: all.
    only_to: Option<Vec<String>>,
    stopped: Cell<bool>,
    in_flight: Cell<u32>,
    next: Cell<usize>,
    pub ended: RefCell<Vec<Ended>>,
}

impl HotTenant {
    /// Nothing is sent yet.
    pub fn new(cluster: &Rc<SimulatedCluster>, tenant: Limited) -> HotTenant {
        HotTenant {
            cluster: cluster.clone(),
            client: cluster.client(false),
            tenant,
            kinds: vec![(RouteKind::Idempotent, "b10")],
            retries: 0,
            has_own_prompts: false,
            route: None,
            only_to: None,
            stopped: Cell::new(false),
            in_flight: Cell::new(0),
            next: Cell::new(0),
            ended: RefCell::default(),
        }
    }

    /// The kinds of its requests, in turn, with the responses that they ask for.
    pub fn kinds(self, kinds: &[(RouteKind, &'static str)]) -> HotTenant {
        HotTenant {
            kinds: kinds.to_vec(),
            ..self
        }
    }

    /// It sends to these machines only.
    pub fn only_to(self, names: &[&str]) -> HotTenant {
        let only_to = names.iter().map(|name| (*name).to_owned()).collect();
        HotTenant {
            only_to: Some(only_to),
            ..self
        }
    }

    /// Each of its requests has a prompt of its own.
    pub fn own_prompts(self) -> HotTenant {
        HotTenant {
            has_own_prompts: true,
            ..self
        }
    }

    /// Its requests go to this route.
    pub fn on_route(self, name: &'static str) -> HotTenant {
        HotTenant {
            route: Some(name),
            ..self
        }
    }

    /// How often its clients come back.
    pub fn retries(self, retries: u32) -> HotTenant {
        HotTenant { retries, ..self }
    }

    /// Sends so many requests a second until it is stopped.
    pub fn start(self, per_s: f64) -> Rc<HotTenant> {
        let load = Rc::new(self);
        let running = load.clone();
        spawn_local(async move {
            let mean = Duration::from_secs_f64(1.0 / per_s);
            while !running.stopped.get() {
                let pause = running.cluster.rng.borrow_mut().f64() + 0.5;
                sleep(mean.mul_f64(pause)).await;
                running.send_next();
            }
        });
        load
    }

    /// Sends the next one to the next machine.
    fn send_next(self: &Rc<Self>) {
        let names = self.only_to.clone();
        let names = names.unwrap_or_else(|| self.cluster.names());
        let name = &names[self.next.get() % names.len()];
        self.send_one(name);
    }

    /// Sends so many at once to a machine.
    pub fn burst(self: &Rc<Self>, name: &str, count: usize) {
        for _ in 0..count {
            self.send_one(name);
        }
    }

    fn send_one(self: &Rc<Self>, name: &str) {
        let number = self.next.replace(self.next.get() + 1);
        let (kind, response_spec) = self.kinds[(number / 7) % self.kinds.len()];
        let mut request = self.tenant.request(kind, response_spec);
        if let Some(route) = self.route {
            request = request.to_route(route, response_spec);
        }
        request.retries = self.retries;
        if self.has_own_prompts {
            request.prompt_id = format!("{number:08x}");
        }
        let address = self.cluster.front_of(name);
        let incarnation = self.cluster.load_balancer.incarnation(address.ip());
        let load = self.clone();
        self.in_flight.set(self.in_flight.get() + 1);
        spawn_local(async move {
            let sent_at = Instant::now();
            let outcome = load.client.send_to(&request, address, incarnation).await;
            load.in_flight.set(load.in_flight.get() - 1);
            load.ended.borrow_mut().push(Ended {
                sent_at,
                took: sent_at.elapsed(),
                outcome,
            });
        });
    }

    /// Stops it, and waits for the requests in flight.
    pub async fn stop(&self) {
        self.stopped.set(true);
        while self.in_flight.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Requests sent in a period that ended like this.
    pub fn count(
        &self,
        from: Instant,
        until: Instant,
        is: impl Fn(&RequestOutcome) -> bool,
    ) -> u32 {
        let ended = self.ended.borrow();
        let counted = ended
            .iter()
            .filter(|e| e.sent_at >= from && e.sent_at < until && is(&e.outcome));
        counted.count() as u32
    }

    /// The longest time of a request that was sent in a period.
    pub fn longest(&self, from: Instant, until: Instant) -> Duration {
        let ended = self.ended.borrow();
        let sent = ended
            .iter()
            .filter(|e| e.sent_at >= from && e.sent_at < until);
        sent.map(|e| e.took).max().unwrap_or_default()
    }

    /// Requests a second that were served, of those sent in a period.
    pub fn served_per_s(&self, from: Instant, until: Instant) -> f64 {
        let served = self.count(from, until, |outcome| *outcome == RequestOutcome::Served);
        f64::from(served) / (until - from).as_secs_f64()
    }

    /// Expects that at least this part of the tenant's rate was served over the last `age`.
    pub fn assert_uses(&self, part: f64, age: Duration) {
        let now = Instant::now();
        let from = now - age;
        let used = self.served_per_s(from, now) / self.tenant.rate_per_s();
        let ended = self.ended.borrow();
        let mut others: Vec<String> = ended
            .iter()
            .filter(|e| e.sent_at >= from && e.outcome != RequestOutcome::Served)
            .map(|e| format!("{:?}", e.outcome))
            .collect();
        others.sort();
        others.dedup();
        assert!(
            used >= part,
            "{} uses {used:.2} of its rate in the last {age:?}; others: {others:?}",
            self.tenant.name
        );
    }

    /// Expects that all were served.
    pub fn assert_all_served(&self) {
        let ended = self.ended.borrow();
        let unserved: Vec<&Ended> = ended
            .iter()
            .filter(|e| e.outcome != RequestOutcome::Served)
            .collect();
        assert!(
            unserved.is_empty(),
            "{} of {} of {} are not served: {:?}",
            unserved.len(),
            ended.len(),
            self.tenant.name,
            &unserved[..unserved.len().min(8)]
        );
    }
}

fn tenant(limited: &Limited) -> Tenant {
    Tenant {
        name: limited.name.to_owned(),
        keys: vec![limited.key()],
        isolated: false,
        quota: Some(limited.quota),
    }
}

/// The head of a machine's reply to a request; `None` without one in time.
pub async fn ask(cluster: &SimulatedCluster, tenant: &Limited, name: &str) -> Option<ResponseHead> {
    let number = cluster.rng.borrow_mut().u64(..);
    let text = format!(
        "POST /none/b10 HTTP/1.1\r\nHost: {HOST}\r\nSparrouter-Attempt-Id: {number:016x}\r\n\
         Sparrouter-Key: {}\r\nContent-Length: 0\r\n\r\n",
        tenant.key()
    );
    let exchange = async {
        let network = cluster.outside_network();
        let mut stream = network.connect(cluster.front_of(name)).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut buffer = BytesMut::new();
        let bytes = reading::head(
            &mut stream,
            &mut buffer,
            head::RESPONSE_PREFIX,
            MAX_HEAD_BYTES,
        )
        .await;
        head::parse_response(&bytes.ok()?).ok()
    };
    timeout(Duration::from_secs(3), exchange).await.ok()?
}
