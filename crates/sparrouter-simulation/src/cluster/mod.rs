//! One deployment: the fleet's machines with their disks and processes, model servers, clients, the platform's load
//! balancer, the operator.
//!
//! | file | its job |
//! | --- | --- |
//! | `settings` | size and speed of a deployment |
//! | `defaults` | the first configuration, and requests on its routes |
//! | `machines` | machines: added, replaced, removed; power and disks |
//! | `processes` | processes on them: started, ended, frozen, slowed |
//! | `process_settings` | the settings that a process starts with |
//! | `partitions` | partitions between machines |
//! | `servers` | model servers |

mod defaults;
mod machines;
pub mod partitions;
mod process_settings;
mod processes;
mod servers;
mod settings;

pub use defaults::{HOST, KEY, initial_configuration, kv_store_address, request};
pub use machines::RetiredMachine;
pub use settings::ClusterSettings;

use crate::client::{Client, ClientRequest, RequestOutcome};
use crate::disk::SimulatedDisk;
use crate::http_messages::{Reply, call};
use crate::load_balancer::LoadBalancer;
use crate::monitor::Monitor;
use crate::network::SimulatedNetwork;
use crate::network::interface::NetworkInterface;
use crate::operator::Operator;
use crate::process::SimulatedProcess;
use crate::server::{BlockStore, BlockStores, Server};
use fastrand::Rng;
use machines::Machine;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Ports, alike on all machines.
const FRONT_PORT: u16 = 8689;
const READINESS_PORT: u16 = 8687;
const CONTROL_PORT: u16 = 8683;
const METRICS_PORT: u16 = 9464;
/// Port of model servers.
const SERVER_PORT: u16 = 8080;

/// How long a GET of a test may take.
const GET_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure domains of the machines.
pub const ZONES: [&str; 3] = ["lalitpur", "bhaktapur", "kirtipur"];

/// Seeds that a process is given.
const SEEDS: usize = 3;
/// Last byte of the address of the first machine.
const FIRST_IP: u8 = 20;
/// Last bytes of the addresses outside of the fleet.
const LOAD_BALANCER_IP: u8 = 1;
const OPERATOR_IP: u8 = 2;
const CLIENTS_IP: u8 = 3;

struct ServerProcess {
    server: Rc<Server>,
    process: SimulatedProcess,
}

/// A deployment. Machines and servers are named; functions that take a name panic if there is none of that name.
pub struct SimulatedCluster {
    /// Its size and speed.
    pub settings: ClusterSettings,
    /// The network between all machines.
    pub network: Rc<SimulatedNetwork>,
    /// What is observed, and the rules.
    pub monitor: Rc<Monitor>,
    /// What clients connect through.
    pub load_balancer: Rc<LoadBalancer>,
    /// Who changes the configuration.
    pub operator: Operator,
    machines: RefCell<BTreeMap<String, Machine>>,
    servers: RefCell<BTreeMap<String, ServerProcess>>,
    /// Addresses that serve control, as the operator's list has them now.
    pub control: Rc<RefCell<Vec<SocketAddr>>>,
    /// Addresses that processes start with.
    seeds: RefCell<Vec<SocketAddr>>,
    /// KV cache of all servers and stores.
    pub block_stores: BlockStores,
    /// Source of all random draws.
    pub rng: RefCell<Rng>,
    /// Last byte of the next machine's or server's address.
    next_ip: Cell<u8>,
    /// Number of the next server.
    next_server: Cell<u32>,
    /// The newest version of the weights that was named: new servers start with it.
    pub newest_weights: Cell<u64>,
}

fn outside_ip(last: u8) -> IpAddr {
    IpAddr::from([172, 16, 0, last])
}

impl SimulatedCluster {
    /// Machines that are not started yet, a load balancer, an operator.
    pub fn new(settings: ClusterSettings) -> Rc<SimulatedCluster> {
        let mut rng = Rng::with_seed(settings.seed);
        // Nothing uses this draw. It stays, since a seed stands for all draws that follow it.
        let _ = rng.fork();
        let delay_in_zone = (settings.cross_zone_delay / 2).max(Duration::from_millis(1));
        let network = SimulatedNetwork::new(delay_in_zone, settings.cross_zone_delay);
        for last in [LOAD_BALANCER_IP, OPERATOR_IP, CLIENTS_IP] {
            network.add(outside_ip(last), "outside");
        }
        let interface = |last| NetworkInterface::new(network.clone(), outside_ip(last));
        let monitor = Rc::new(Monitor::new(settings.bounds));
        let control: Rc<RefCell<Vec<SocketAddr>>> = Rc::default();
        let operator = Operator::new(
            interface(OPERATOR_IP),
            monitor.clone(),
            rng.fork(),
            control.clone(),
        );
        let kv_store = BTreeMap::from([(kv_store_address(), BlockStore::default())]);
        let cluster = Rc::new(SimulatedCluster {
            settings,
            load_balancer: LoadBalancer::new(interface(LOAD_BALANCER_IP)),
            network,
            monitor,
            operator,
            machines: RefCell::default(),
            servers: RefCell::default(),
            control,
            seeds: RefCell::default(),
            block_stores: Rc::new(RefCell::new(kv_store)),
            rng: RefCell::new(rng),
            next_ip: Cell::new(FIRST_IP),
            next_server: Cell::new(0),
            newest_weights: Cell::new(1),
        });
        cluster.add_machines();
        cluster
    }

    fn add_machines(&self) {
        for n in 0..self.settings.core_machines {
            self.add_machine(&format!("core-{n}"), ZONES[n % ZONES.len()], true);
        }
        for n in 0..self.settings.edge_machines {
            self.add_machine(&format!("edge-{n}"), ZONES[n % ZONES.len()], false);
        }
        let core = self.core();
        let seeds = core.iter().take(SEEDS).map(|name| self.control_of(name));
        *self.seeds.borrow_mut() = seeds.collect();
    }

    /// A fleet that has formed, has servers and the first configuration, and is in contact.
    ///
    /// # Panics
    ///
    /// If the fleet does not form.
    pub async fn serving(settings: ClusterSettings) -> Rc<SimulatedCluster> {
        let cluster = SimulatedCluster::new(settings);
        cluster.start_all(true).await;
        for n in 0..settings.servers {
            cluster.add_server("models", ZONES[n % ZONES.len()]);
        }
        let status = cluster.operator.put(&initial_configuration(), 0).await;
        assert_eq!(status, 200, "the first configuration is accepted");
        cluster.wait_until_ready().await;
        // The start of a machine counts as a fault, so that none was in contact until now.
        sleep(settings.bounds.contact + Duration::from_millis(500)).await;
        cluster
    }

    /// Names of all machines.
    pub fn names(&self) -> Vec<String> {
        self.machines.borrow().keys().cloned().collect()
    }

    /// Names of the core machines.
    pub fn core(&self) -> Vec<String> {
        let machines = self.machines.borrow();
        let core = machines.iter().filter(|(_, machine)| machine.is_core);
        core.map(|(name, _)| name.clone()).collect()
    }

    /// Address of a machine.
    pub fn ip(&self, name: &str) -> IpAddr {
        self.machines.borrow()[name].ip
    }

    /// Where a machine serves control.
    pub fn control_of(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.ip(name), CONTROL_PORT)
    }

    /// Where a machine serves its metrics.
    pub fn metrics_of(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.ip(name), METRICS_PORT)
    }

    /// Where a machine serves clients.
    pub fn front_of(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.ip(name), FRONT_PORT)
    }

    /// GET of a path at the control address of a machine; `None` without a reply within a second.
    pub async fn get(&self, machine: &str, path: &str) -> Option<Reply> {
        let network = self.outside_network();
        let address = self.control_of(machine);
        let reply = call(&network, address, "GET", path, &[], "", GET_TIMEOUT);
        reply.await.ok()
    }

    /// The value of a metric, by its full name with labels; `None` where the machine has none or does not answer.
    pub async fn metric(&self, machine: &str, metric: &str) -> Option<f64> {
        let network = self.outside_network();
        let address = self.metrics_of(machine);
        let reply = call(&network, address, "GET", "/metrics", &[], "", GET_TIMEOUT);
        let reply = reply.await.ok()?;
        let value = |line: &str| line.strip_prefix(metric)?.trim().parse().ok();
        reply.text().lines().find_map(value)
    }

    /// The machine with this address.
    pub fn name_of(&self, ip: IpAddr) -> Option<String> {
        let machines = self.machines.borrow();
        let machine = machines.iter().find(|(_, machine)| machine.ip == ip);
        machine.map(|(name, _)| name.clone())
    }

    /// Zone of a machine.
    pub fn zone_of(&self, name: &str) -> &'static str {
        self.machines.borrow()[name].zone
    }

    /// Disk of a core machine.
    ///
    /// # Panics
    ///
    /// If the machine has no disk.
    pub fn disk(&self, name: &str) -> SimulatedDisk {
        let machines = self.machines.borrow();
        machines[name].disk.clone().expect("a machine with a disk")
    }

    /// What a machine's processes wrote to standard error.
    pub fn stderr_of(&self, name: &str) -> String {
        self.machines.borrow()[name].stderr.text()
    }

    /// A client; `keeps_alive`: it uses a connection for many requests.
    pub fn client(&self, keeps_alive: bool) -> Rc<Client> {
        let rng = self.rng.borrow_mut().fork();
        Rc::new(Client::new(
            self.outside_network(),
            self.monitor.clone(),
            self.load_balancer.clone(),
            rng,
            keeps_alive,
        ))
    }

    /// Sends a request to one node, and returns its outcome.
    pub async fn send_to_node(&self, request: &ClientRequest, name: &str) -> RequestOutcome {
        let client = self.client(false);
        client.send_to(request, self.front_of(name), 0).await
    }

    /// Address of the operator.
    pub fn operator_ip(&self) -> IpAddr {
        outside_ip(OPERATOR_IP)
    }

    /// The network as clients see it.
    pub fn outside_network(&self) -> NetworkInterface {
        NetworkInterface::new(self.network.clone(), outside_ip(CLIENTS_IP))
    }
}
