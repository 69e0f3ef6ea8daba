//! All that surrounds the clients in a run: stand-ins, links and the nodes themselves.
use super::{Program, RunError};
use crate::clients::Front;
use crate::rollout;
use crate::scenario::schedule::{self, Listed, Schedule};
use crate::scenario::{Before, Scenario};
use crate::stand_ins::Lab;
use crate::stand_ins::bad_node::{self, BadNodeKind};
use crate::stand_ins::discovery::Discovery;
use crate::stand_ins::fleet::Fleet;
use crate::stand_ins::link::Link;
use crate::stand_ins::node::{Node, Start, Version};
use crate::stand_ins::peer_network::PeerNetwork;
use nix::unistd::Pid;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time that a node gets to become ready.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Port of every link, each on an address of its own.
const LINK_PORT: u16 = 9100;

/// The stand-ins and nodes of one run.
pub(crate) struct Environment {
    pub(crate) lab: Arc<Lab>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) discovery: Arc<Discovery>,
    pub(super) peer_network: PeerNetwork,
    pub(super) links: HashMap<(Before, usize), Arc<Link>>,
    pub(super) front: Arc<Front>,
    /// Node processes; empty where no program runs as a node.
    pub(crate) nodes: Vec<Mutex<Node>>,
    /// By node that runs inside the lab: the system's id of its thread.
    pub(super) bad_node_threads: Vec<Pid>,
    /// By node: it was told to stop and has not been started again.
    pub(crate) stopped_nodes: Vec<AtomicBool>,
    /// Starts of nodes so far: each gets another seed.
    starts: AtomicU64,
    /// Number of nodes that exist now.
    pub(super) size: AtomicUsize,
}

/// The links of a run, started as addresses are wired up.
struct Links<'a> {
    lab: &'a Arc<Lab>,
    started: HashMap<(Before, usize), Arc<Link>>,
}

impl Links<'_> {
    /// The address at which others find a member of a group: its own, or that of the link before it.
    fn address(&mut self, before: Before, n: usize, to: SocketAddr) -> SocketAddr {
        let scenario = &self.lab.scenario;
        if !scenario.link.iter().any(|link| link.before == before) {
            return to;
        }
        let link = Link::start(self.lab, to, LINK_PORT, schedule::base(scenario, before));
        let address = link.at;
        self.started.insert((before, n), link);
        address
    }
}

/// The nodes' processes, not started yet, and the addresses that clients send to.
#[derive(Default)]
struct Targets {
    nodes: Vec<Mutex<Node>>,
    addresses: Vec<SocketAddr>,
    /// Of nodes that run inside the lab.
    threads: Vec<Pid>,
}

fn io_error(action: &str) -> impl FnOnce(std::io::Error) -> RunError {
    let action = action.to_string();
    move |error| RunError::Io(action, error)
}

impl Environment {
    /// Starts everything and waits until all nodes are ready.
    pub(super) fn start(
        lab: &Arc<Lab>,
        schedule: &Schedule,
        program: &Program,
        folder: &Path,
    ) -> Result<Environment, RunError> {
        let s = &lab.scenario;
        let fleet = Fleet::new(lab, schedule).map_err(io_error("addresses for cache servers"))?;
        fleet.start(s.caches.count);
        let mut links = Links {
            lab,
            started: HashMap::new(),
        };
        let discovery = start_discovery(lab, &fleet, &mut links);
        let peer_network = PeerNetwork::start(lab).map_err(io_error("sockets for notes"))?;
        let targets = prepare_targets(lab, program, &fleet, &discovery, folder)?;
        let mut front = Vec::new();
        for (n, address) in targets.addresses.iter().enumerate() {
            front.push(links.address(Before::Nodes, n, *address));
        }
        let environment = Environment {
            lab: lab.clone(),
            fleet,
            discovery,
            peer_network,
            links: links.started,
            front: Front::new(front),
            stopped_nodes: targets
                .nodes
                .iter()
                .map(|_| AtomicBool::new(false))
                .collect(),
            nodes: targets.nodes,
            bad_node_threads: targets.threads,
            starts: AtomicU64::new(0),
            size: AtomicUsize::new(s.nodes.count),
        };
        environment.start_nodes(program, s)?;
        wait_until_ready(&targets.addresses, s, folder)?;
        Ok(environment)
    }

    /// Starts the nodes that exist from the beginning; the others stay out of the front.
    fn start_nodes(&self, program: &Program, s: &Scenario) -> Result<(), RunError> {
        for n in s.nodes.count..self.nodes.len() {
            self.stopped_nodes[n].store(true, Relaxed);
            self.front.set(n, false);
        }
        for n in 0..self.nodes.len().min(s.nodes.count) {
            let address = self.nodes[n].lock().expect("not poisoned").at;
            let action = format!("starting a node at {address}: {}", program.name());
            self.start_node(n).map_err(io_error(&action))?;
        }
        Ok(())
    }

    pub(super) fn start_node(&self, n: usize) -> std::io::Result<()> {
        self.with_start(n, |node, lab, start| node.start(lab, start))
    }

    /// Calls `act` on a node with what its next configuration says of the others.
    pub(super) fn with_start<T>(
        &self,
        n: usize,
        act: impl FnOnce(&mut Node, &Lab, &Start) -> T,
    ) -> T {
        let all_peers = &self.peer_network.peers;
        let start = Start {
            discovery: self.discovery.address(n),
            known: self.discovery.known(n),
            peers: &all_peers[..self.size.load(Relaxed).min(all_peers.len())],
            peer_listen: self.peer_network.listen[n],
            starts: self.starts.fetch_add(1, Relaxed),
        };
        let mut node = self.nodes[n].lock().expect("not poisoned");
        act(&mut node, &self.lab, &start)
    }

    pub(super) fn front(&self) -> &Arc<Front> {
        &self.front
    }

    /// CPU seconds of all nodes so far.
    pub(super) fn cpu_s(&self) -> f64 {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| node.lock().expect("not poisoned").usage().cpu_s)
            .sum()
    }

    /// Kills all nodes; gives their CPU seconds.
    pub(super) fn kill_nodes(&self) -> f64 {
        let mut cpu_s = 0.0;
        for node in &self.nodes {
            let mut node = node.lock().expect("not poisoned");
            cpu_s += node.usage().cpu_s;
            node.kill();
        }
        cpu_s
    }
}

fn start_discovery(lab: &Arc<Lab>, fleet: &Arc<Fleet>, links: &mut Links) -> Arc<Discovery> {
    let mut addresses = Vec::new();
    for (n, cache) in fleet.caches.iter().enumerate() {
        addresses.push(links.address(Before::Caches, n, cache.at));
    }
    addresses.push(links.address(Before::Origin, 0, fleet.origin.at));
    let discovery = Discovery::new(lab, fleet, addresses);
    for n in 0..lab.scenario.caches.count {
        discovery.list(n, Listed::Ready, false);
    }
    discovery.start();
    discovery
}

/// What clients send to, by the program that is played.
fn prepare_targets(
    lab: &Arc<Lab>,
    program: &Program,
    fleet: &Fleet,
    discovery: &Discovery,
    folder: &Path,
) -> Result<Targets, RunError> {
    match program {
        Program::Direct => Ok(Targets {
            nodes: Vec::new(),
            addresses: vec![fleet.caches[0].at],
            threads: Vec::new(),
        }),
        Program::Bad(kind) => bad_nodes(lab, *kind, discovery),
        Program::Node(path) => node_processes(lab, path, folder, |_| Vec::new()),
        Program::Relay(path) => {
            let caches: Vec<String> = fleet.caches.iter().map(|c| c.at.to_string()).collect();
            let caches = caches.join(",");
            node_processes(lab, path, folder, |own| relay_arguments(own, &caches))
        }
    }
}

/// Nodes that run inside the lab and break one rule.
fn bad_nodes(
    lab: &Arc<Lab>,
    kind: BadNodeKind,
    discovery: &Discovery,
) -> Result<Targets, RunError> {
    let mut targets = Targets::default();
    for n in 0..lab.scenario.nodes.count {
        let own = lab.free().map_err(io_error("an address for a node"))?;
        let (node_lab, discovery) = (lab.clone(), discovery.address(n));
        targets.threads.push(lab.workers.thread_id(n));
        lab.workers
            .run_on(n, move || bad_node::serve(node_lab, kind, own, discovery));
        targets.addresses.push(own);
    }
    Ok(targets)
}

/// Processes for all nodes that the scenario ever has, with arguments by their own address.
fn node_processes(
    lab: &Arc<Lab>,
    program: &Path,
    folder: &Path,
    arguments: impl Fn(SocketAddr) -> Vec<String>,
) -> Result<Targets, RunError> {
    let s = &lab.scenario;
    let mut targets = Targets::default();
    for n in 0..s.most_nodes() {
        let own = lab.free().map_err(io_error("an address for a node"))?;
        let version = Version {
            program: program.to_path_buf(),
            args: arguments(own),
            generation: s.rollout.is_some().then(|| rollout::OLD.to_string()),
            ..Version::default()
        };
        let node = Node::new(n, own, version, folder);
        // An earlier run in this folder may have left its reports.
        let _ = std::fs::remove_file(node.report());
        targets.nodes.push(Mutex::new(node));
        targets.addresses.push(own);
    }
    Ok(targets)
}

fn relay_arguments(own: SocketAddr, caches: &str) -> Vec<String> {
    let own = own.to_string();
    ["relay", "--listen", &own, "--to", caches]
        .map(str::to_string)
        .to_vec()
}

fn wait_until_ready(addresses: &[SocketAddr], s: &Scenario, folder: &Path) -> Result<(), RunError> {
    for (n, address) in addresses.iter().enumerate().take(s.nodes.count) {
        if !super::lifecycle::ready(*address, READY_TIMEOUT) {
            let log = folder.join(format!("n{n}/log.txt"));
            return Err(RunError::NotReady(n, log));
        }
    }
    Ok(())
}
