//! One deployment: machines of the fleet with their disks and processes, servers, clients' platform, the operator.
//! `machines`: what becomes of machines; `hosts`: of servers.
mod machines;
pub mod partitions;
mod servers;

pub use machines::RetiredMachine;

use crate::checkers::{Bounds, Monitor};
use crate::client::{Client, ClientRequest};
use crate::configuration::{Configuration, Route, RouteKind, Tenant};
use crate::disk::SimulatedDisk;
use crate::http_messages::call;
use crate::load_balancer::LoadBalancer;
use crate::network::SimulatedNetwork;
use crate::network::interface::NetworkInterface;
use crate::operator::Operator;
use crate::process::SimulatedProcess;
use crate::server::{BlockStore, BlockStores, Server};
use fastrand::Rng;
use sparrouter_fleet::process::log_buffer::LogBuffer;
use sparrouter_fleet::process::run::ProcessSignal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep};

/// Ports, alike on all machines.
const FRONT: u16 = 8689;
const READINESS: u16 = 8687;
const CONTROL: u16 = 8683;
const METRICS: u16 = 9464;
const SERVER: u16 = 8080;

/// How large a deployment is.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSettings {
    pub seed: u64,
    /// Counted machines, one a zone in turn, and others.
    pub core: usize,
    pub others: usize,
    pub servers: usize,
    pub slots: u32,
    pub heartbeat: Duration,
    pub bounds: Bounds,
    /// One way between zones; half of it within one, in whole ms.
    pub across: Duration,
    /// What a disk takes for a save.
    pub sync: Duration,
    /// What new weights take at a server.
    pub load: Duration,
}

impl ClusterSettings {
    pub fn seeded(seed: u64) -> ClusterSettings {
        ClusterSettings {
            seed,
            core: 3,
            others: 3,
            servers: 4,
            slots: 16,
            heartbeat: Duration::from_millis(1_200),
            bounds: Bounds::default(),
            across: Duration::from_millis(2),
            sync: Duration::from_millis(2),
            load: Duration::from_millis(600),
        }
    }

    /// Counted machines that may be lost at one time.
    pub fn tolerated(&self) -> usize {
        self.core.saturating_sub(1) / 2
    }
}

pub const ZONES: [&str; 3] = ["lalitpur", "bhaktapur", "kirtipur"];
pub const HOST: &str = "rota.example";
pub const KEY: &str = "key-of-kaje";

/// What would go to standard error.
#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Machine {
    ip: IpAddr,
    zone: &'static str,
    counted: bool,
    disk: Option<SimulatedDisk>,
    process: Option<SimulatedProcess>,
    orders: Option<UnboundedSender<ProcessSignal>>,
    log_buffer: LogBuffer,
    written: Written,
    started: bool,
    /// Since when its process runs.
    up_since: Option<Instant>,
}

struct ServerProcess {
    server: Rc<Server>,
    process: SimulatedProcess,
}

pub struct SimulatedCluster {
    pub settings: ClusterSettings,
    pub network: Rc<SimulatedNetwork>,
    pub monitor: Rc<Monitor>,
    pub load_balancer: Rc<LoadBalancer>,
    pub operator: Operator,
    machines: RefCell<BTreeMap<String, Machine>>,
    servers: RefCell<BTreeMap<String, ServerProcess>>,
    /// Addresses that serve control, as the operator's list has them now.
    pub control: Rc<RefCell<Vec<SocketAddr>>>,
    seeds: RefCell<Vec<SocketAddr>>,
    pub block_stores: BlockStores,
    pub rng: RefCell<Rng>,
    next_ip: Cell<u8>,
    next_server: Cell<u32>,
    /// Versions of weights that were named: a new server has the newest.
    pub newest_weights: Cell<u64>,
}

fn outside(last: u8) -> IpAddr {
    IpAddr::from([172, 16, 0, last])
}

/// Where the store of kept prompts is.
pub fn kv_store_address() -> SocketAddr {
    SocketAddr::new(IpAddr::from([10, 0, 0, 9]), 8680)
}

impl SimulatedCluster {
    /// Machines that are not started yet, clients, an operator.
    pub fn new(settings: ClusterSettings) -> Rc<SimulatedCluster> {
        let mut rng = Rng::with_seed(settings.seed);
        let network = SimulatedNetwork::new(
            rng.fork(),
            (settings.across / 2).max(Duration::from_millis(1)),
            settings.across,
        );
        let monitor = Rc::new(Monitor::new(settings.bounds));
        for last in 1..=3 {
            network.add(outside(last), "outside");
        }
        let load_balancer = LoadBalancer::new(NetworkInterface::new(network.clone(), outside(1)));
        let control: Rc<RefCell<Vec<SocketAddr>>> = Rc::default();
        let operator = Operator::new(
            NetworkInterface::new(network.clone(), outside(2)),
            monitor.clone(),
            rng.fork(),
            control.clone(),
        );
        let cluster = Rc::new(SimulatedCluster {
            settings,
            network,
            monitor,
            load_balancer,
            operator,
            machines: RefCell::default(),
            servers: RefCell::default(),
            control,
            seeds: RefCell::default(),
            block_stores: BlockStores::default(),
            rng: RefCell::new(rng),
            next_ip: Cell::new(20),
            next_server: Cell::new(0),
            newest_weights: Cell::new(1),
        });
        cluster
            .block_stores
            .borrow_mut()
            .insert(kv_store_address(), BlockStore::default());
        for n in 0..settings.core {
            cluster.add_machine(&format!("core-{n}"), ZONES[n % 3], true);
        }
        for n in 0..settings.others {
            cluster.add_machine(&format!("edge-{n}"), ZONES[n % 3], false);
        }
        let seeds = cluster
            .core()
            .iter()
            .take(3)
            .map(|n| SocketAddr::new(cluster.ip(n), CONTROL))
            .collect();
        *cluster.seeds.borrow_mut() = seeds;
        cluster
    }

    /// A fleet that has formed, has servers and a first configuration.
    pub async fn serving(settings: ClusterSettings) -> Rc<SimulatedCluster> {
        let cluster = SimulatedCluster::new(settings);
        cluster.start_all(true).await;
        for n in 0..settings.servers {
            cluster.add_server("models", ZONES[n % 3]);
        }
        assert_eq!(
            cluster.operator.put(&initial_configuration(), 0).await,
            200,
            "the first configuration is taken"
        );
        cluster.wait_until_ready().await;
        // Until then the machines were not in touch, as their start counts as trouble.
        sleep(settings.bounds.contact + Duration::from_millis(500)).await;
        cluster
    }

    fn add_machine(&self, name: &str, zone: &'static str, counted: bool) {
        let last = self.next_ip.get();
        self.next_ip.set(last + 1);
        let ip = IpAddr::from([10, 0, 0, last]);
        self.network.add(ip, zone);
        let disk =
            counted.then(|| SimulatedDisk::new(self.rng.borrow_mut().u64(..), self.settings.sync));
        let written = Written::default();
        let machine = Machine {
            ip,
            zone,
            counted,
            disk,
            process: None,
            orders: None,
            log_buffer: LogBuffer::to(written.clone()),
            written,
            started: false,
            up_since: None,
        };
        self.machines.borrow_mut().insert(name.to_owned(), machine);
        self.control.borrow_mut().push(SocketAddr::new(ip, CONTROL));
        self.load_balancer.add(
            name,
            zone,
            SocketAddr::new(ip, FRONT),
            SocketAddr::new(ip, READINESS),
        );
    }

    pub fn names(&self) -> Vec<String> {
        self.machines.borrow().keys().cloned().collect()
    }
    pub fn core(&self) -> Vec<String> {
        self.machines
            .borrow()
            .iter()
            .filter(|m| m.1.counted)
            .map(|m| m.0.clone())
            .collect()
    }
    pub fn ip(&self, name: &str) -> IpAddr {
        self.machines.borrow()[name].ip
    }
    pub fn control_of(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.ip(name), CONTROL)
    }
    /// Where a machine tells its figures.
    pub fn metrics_of(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.ip(name), METRICS)
    }
    /// A figure as a machine tells it now, by the whole name with its labels; `None` where it has none or does not answer.
    pub async fn figure(&self, name: &str, figure: &str) -> Option<f64> {
        let (net, to) = (self.outside_net(), self.metrics_of(name));
        let timeout_after = Duration::from_secs(1);
        let reply = call(&net, to, "GET", "/metrics", &[], "", timeout_after);
        let reply = reply.await.ok()?;
        let value = |line: &str| line.strip_prefix(figure)?.trim().parse().ok();
        reply.text().lines().find_map(value)
    }
    pub fn front_of(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.ip(name), FRONT)
    }
    pub fn name_of(&self, ip: IpAddr) -> Option<String> {
        self.machines
            .borrow()
            .iter()
            .find(|m| m.1.ip == ip)
            .map(|m| m.0.clone())
    }
    pub fn disk(&self, name: &str) -> SimulatedDisk {
        self.machines.borrow()[name]
            .disk
            .clone()
            .expect("a machine with a disk")
    }
    /// What a machine's process wrote out, as a person would find it.
    pub fn written_by(&self, name: &str) -> String {
        let written = self.machines.borrow()[name].written.0.clone();
        String::from_utf8_lossy(&written.lock().unwrap_or_else(PoisonError::into_inner))
            .into_owned()
    }
    pub fn runs(&self, name: &str) -> bool {
        self.machines.borrow()[name]
            .process
            .as_ref()
            .is_some_and(|p| !p.has_ended())
    }

    /// Since when the process of a machine runs; `None` if none does.
    pub fn up_since(&self, name: &str) -> Option<Instant> {
        let since = self.machines.borrow()[name].up_since;
        since.filter(|_| self.runs(name))
    }

    pub fn zone_of(&self, name: &str) -> &'static str {
        self.machines.borrow()[name].zone
    }

    /// A client; `keeps`: whether it uses a connection for many requests.
    pub fn client(&self, keeps: bool) -> Rc<Client> {
        let net = NetworkInterface::new(self.network.clone(), outside(3));
        let rng = self.rng.borrow_mut().fork();
        Rc::new(Client::new(
            net,
            self.monitor.clone(),
            self.load_balancer.clone(),
            rng,
            keeps,
        ))
    }

    /// Where the operator calls from.
    pub fn operator_ip(&self) -> IpAddr {
        outside(2)
    }

    pub fn outside_net(&self) -> NetworkInterface {
        NetworkInterface::new(self.network.clone(), outside(3))
    }
}

/// Four routes, one of each kind, over one service; two tenants, of which one is alone with its memory.
pub fn initial_configuration() -> Configuration {
    let routes = vec![
        Route::new("idem", RouteKind::Idempotent, "models"),
        Route::new("once", RouteKind::NonIdempotent, "models"),
        Route::new("stream", RouteKind::Streaming, "models"),
        Route::new("resume", RouteKind::Resumable, "models"),
    ];
    let tenant = |name: &str, key: &str, isolated| Tenant {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        isolated,
    };
    Configuration {
        version: 1,
        routes,
        services: vec!["models".to_owned(), "others".to_owned()],
        kv_store: Some(kv_store_address()),
        tenants: vec![
            tenant("kaje", KEY, false),
            tenant("mela", "key-of-mela", true),
        ],
    }
}

/// A request on one of the routes of `initial_configuration`: `word` says what the server answers.
pub fn request(kind: RouteKind, word: &str) -> ClientRequest {
    let route = match kind {
        RouteKind::Idempotent => "idem",
        RouteKind::NonIdempotent => "once",
        RouteKind::Streaming => "stream",
        RouteKind::Resumable => "resume",
    };
    ClientRequest {
        host: HOST.to_owned(),
        path: format!("/{route}/{word}"),
        kind,
        key: KEY.to_owned(),
        zone: ZONES[0].to_owned(),
        deadline: Duration::from_secs(6),
        retries: 1,
        prompt_id: "5c1e07a2".to_owned(),
        shared_tokens: 800,
        disconnects_after: None,
    }
}
