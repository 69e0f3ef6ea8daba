//! One run: everything is started, arrivals and faults go by the clock, all is stopped, the ledger judges.
use crate::clients::{self, Front};
use crate::ledger::audit::Verdict;
use crate::ledger::figures::Tally;
use crate::ledger::{InvocationLog, Record};
use crate::rollout::{self, RolloutResult, Tools};
use crate::scenario::schedule::{self, Action, Listed, Schedule};
use crate::scenario::{Before, Scenario};
use crate::stand_ins::Lab;
use crate::stand_ins::bad_node::{self, BadNodeKind};
use crate::stand_ins::discovery::Discovery;
use crate::stand_ins::fleet::Fleet;
use crate::stand_ins::link::Link;
use crate::stand_ins::node::{Node, Start, Version};
use crate::stand_ins::peer_network::PeerNetwork;
use crate::workers::Workers;
use crate::{MS, Nanos, SECOND, nanos};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

/// What is played.
#[derive(Clone, Debug)]
pub enum Program {
    /// A node's program.
    Node(PathBuf),
    /// This program as a bare forwarder of bytes.
    Relay(PathBuf),
    /// No node: clients ask one cache server.
    Direct,
    Bad(BadNodeKind),
}

impl Program {
    pub fn name(&self) -> String {
        match self {
            Program::Node(path) => path.display().to_string(),
            Program::Relay(_) => "relay".into(),
            Program::Direct => "direct".into(),
            Program::Bad(kind) => format!("bad:{kind:?}").to_lowercase(),
        }
    }
}

#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    #[error("the change of the nodes: {0}")]
    Rollout(String),
    #[error("node {0} was not ready within 30 s; its log: {1}")]
    NotReady(usize, PathBuf),
}

/// What was seen of the fleet at one moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sample {
    pub at_s: f64,
    /// By node: seconds of CPU so far, memory in MB, descriptors.
    pub nodes: Vec<(f64, f64, usize)>,
    /// By cache server: 0 down, 1 up and cold, 2 up, 3 draining; in hand; open connections.
    pub caches: Vec<(u8, usize, usize)>,
}

/// A fault on the time axis.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Band {
    pub from_s: f64,
    pub to_s: f64,
    pub what: String,
}

/// All that a run leaves behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    pub scenario: Scenario,
    pub program: String,
    pub verdict: Verdict,
    pub tally: Tally,
    pub samples: Vec<Sample>,
    pub bands: Vec<Band>,
    /// The first arrival, by the machine's clock.
    #[serde(default)]
    pub began_unix_ms: u64,
    /// How a change of the nodes went, where there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutResult>,
    /// CPU seconds of all nodes together, from the first arrival on.
    pub cpu_s: f64,
    /// Highest memory of one node, MB.
    pub memory_mb: f64,
    pub descriptors: usize,
}

impl Run {
    /// CPU microseconds of the nodes for each invocation.
    pub fn cpu_us(&self) -> f64 {
        self.cpu_s * 1e6 / self.tally.total.asked.max(1) as f64
    }
}

/// Cache servers that samples tell of, at the most.
const SAMPLED: usize = 64;

type Nodes = Arc<Vec<Mutex<Node>>>;

pub(crate) struct Environment {
    pub(crate) lab: Arc<Lab>,
    fleet: Arc<Fleet>,
    discovery: Arc<Discovery>,
    notes: PeerNetwork,
    links: HashMap<(Before, usize), Arc<Link>>,
    front: Arc<Front>,
    pub(crate) nodes: Nodes,
    /// Nodes that were told to stop and not yet started again.
    pub(crate) stopped_nodes: Vec<AtomicBool>,
    starts: AtomicU64,
    /// Nodes that there are now.
    size: AtomicUsize,
}

/// Plays a scenario. `folder` takes the nodes' configurations and logs; `progress` hears of the time.
pub fn play(
    scenario: &Scenario,
    program: &Program,
    folder: &Path,
    progress: impl Fn(Nanos),
) -> Result<Run, RunError> {
    play_with(scenario, program, &Tools::own(), folder, progress)
}

/// The same, where planted nodes and the conductor are not parts of this program.
pub fn play_with(
    scenario: &Scenario,
    program: &Program,
    tools: &Tools,
    folder: &Path,
    progress: impl Fn(Nanos),
) -> Result<Run, RunError> {
    let scenario = scenario.clone().with_defaults();
    std::fs::create_dir_all(folder).map_err(|e| RunError::Io(folder.display().to_string(), e))?;
    let (tape, told) = mpsc::channel();
    let mut ledger = InvocationLog::new(&scenario);
    let collector = std::thread::spawn(move || {
        for record in told {
            if matches!(record, Record::EndOfRun) {
                break;
            }
            ledger.record(record);
        }
        ledger.finish()
    });
    let cores = std::thread::available_parallelism().map_or(4, |n| n.get());
    let servers = Workers::start("stand", (cores / 2).max(2));
    let clients = Workers::start("client", (cores * 3 / 8).max(2));
    let lab = Lab::new(scenario.clone(), tape.clone(), servers.clone());
    let schedule = schedule::draw(&scenario);
    let stage = match Environment::start(&lab, &schedule, program, folder) {
        Ok(stage) => Arc::new(stage),
        Err(failed) => {
            servers.stop();
            clients.stop();
            return Err(failed);
        }
    };
    let before: f64 = stage
        .nodes
        .iter()
        .map(|n| n.lock().expect("not poisoned").usage().cpu_s)
        .sum();
    lab.begin();
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let over = Arc::new(AtomicBool::new(false));
    let (injecting, watcher) = (stage.clone(), stage.clone());
    let (until, sampling_over) = (over.clone(), over.clone());
    let steps = schedule.steps.clone();
    let fault_injector = std::thread::spawn(move || injecting.inject_faults(&steps, &until));
    let samples = std::thread::spawn(move || watcher.sample_until(&sampling_over));
    let change = scenario.rollout.clone().map(|wanted| {
        let (stage, tools, folder, over) = (
            stage.clone(),
            tools.clone(),
            folder.to_path_buf(),
            over.clone(),
        );
        std::thread::spawn(move || rollout::run(&stage, &wanted, &tools, &folder, &over))
    });
    clients::play(&lab, &stage.front, &clients, progress);
    // What is still under way at cache servers is let come to its end.
    std::thread::sleep(Duration::from_millis(200));
    over.store(true, Relaxed);
    let _ = fault_injector.join();
    let samples = samples.join().unwrap_or_default();
    let changed = change
        .map(|c| c.join().unwrap_or_else(|_| Err("it panicked".into())))
        .transpose();
    let changed = changed.map_err(RunError::Rollout)?;
    clients.stop();
    let mut run = Run {
        scenario: scenario.clone(),
        program: program.name(),
        verdict: Verdict::default(),
        tally: Tally::default(),
        bands: bands(&scenario),
        began_unix_ms: unix.as_millis() as u64,
        rollout: changed,
        cpu_s: 0.0,
        memory_mb: 0.0,
        descriptors: 0,
        samples,
    };
    for node in stage.nodes.iter() {
        let mut node = node.lock().expect("not poisoned");
        run.cpu_s += node.usage().cpu_s;
        node.kill();
    }
    run.cpu_s -= before;
    lab.over.store(true, Relaxed);
    servers.stop();
    let _ = tape.send(Record::EndOfRun);
    (run.verdict, run.tally) = collector.join().expect("the ledger does not panic");
    for sample in &run.samples {
        for node in &sample.nodes {
            run.memory_mb = run.memory_mb.max(node.1);
            run.descriptors = run.descriptors.max(node.2);
        }
    }
    Ok(run)
}

fn bands(s: &Scenario) -> Vec<Band> {
    let band = |(from_s, to_s, what): (f64, f64, &str)| Band {
        from_s,
        to_s,
        what: what.into(),
    };
    s.fault.iter().map(|f| band(f.span())).collect()
}

impl Environment {
    fn start(
        lab: &Arc<Lab>,
        schedule: &Schedule,
        program: &Program,
        folder: &Path,
    ) -> Result<Environment, RunError> {
        let s = &lab.scenario;
        let io = |what: &str| {
            let what = what.to_string();
            move |e| RunError::Io(what, e)
        };
        let fleet = Fleet::new(lab, schedule).map_err(io("addresses for cache servers"))?;
        fleet.start(s.caches.count);
        let mut links = HashMap::new();
        let mut end = |before: Before, n: usize, to: SocketAddr| {
            if !s.link.iter().any(|l| l.before == before) {
                return to;
            }
            let link = Link::start(lab, to, 9100, schedule::base(s, before));
            let at = link.at;
            links.insert((before, n), link);
            at
        };
        let mut ends: Vec<SocketAddr> = Vec::new();
        for (n, cache) in fleet.caches.iter().enumerate() {
            ends.push(end(Before::Caches, n, cache.at));
        }
        ends.push(end(Before::Origin, 0, fleet.origin.at));
        let discovery = Discovery::new(lab, &fleet, ends);
        (0..s.caches.count).for_each(|n| discovery.list(n, Listed::Ready, false));
        discovery.start();
        let notes = PeerNetwork::start(lab).map_err(io("sockets for notes"))?;
        let mut nodes = Vec::new();
        let mut at = Vec::new();
        match program {
            Program::Direct => at.push(fleet.caches[0].at),
            Program::Bad(kind) => {
                for n in 0..s.nodes.count {
                    let own = lab.free().map_err(io("an address for a node"))?;
                    let (lab, kind, discovery) = (lab.clone(), *kind, discovery.address(n));
                    let workers = lab.workers.clone();
                    workers.run(move || bad_node::serve(lab, kind, own, discovery));
                    at.push(own);
                }
            }
            Program::Node(path) | Program::Relay(path) => {
                let to: Vec<String> = fleet.caches.iter().map(|c| c.at.to_string()).collect();
                for n in 0..s.most_nodes() {
                    let own = lab.free().map_err(io("an address for a node"))?;
                    let relay = matches!(program, Program::Relay(_));
                    let args = if relay {
                        vec![
                            "relay".into(),
                            "--listen".into(),
                            own.to_string(),
                            "--to".into(),
                            to.join(","),
                        ]
                    } else {
                        Vec::new()
                    };
                    let generation = s.rollout.is_some().then(|| rollout::OLD.to_string());
                    let version = Version {
                        program: path.clone(),
                        args,
                        generation,
                        ..Version::default()
                    };
                    let node = Node::new(n, own, version, folder);
                    let _ = std::fs::remove_file(node.report());
                    nodes.push(Mutex::new(node));
                    at.push(own);
                }
            }
        }
        let seen: Vec<SocketAddr> = at
            .iter()
            .enumerate()
            .map(|(n, a)| end(Before::Nodes, n, *a))
            .collect();
        let stage = Environment {
            lab: lab.clone(),
            fleet,
            discovery,
            notes,
            links,
            front: Front::new(seen),
            stopped_nodes: nodes.iter().map(|_| AtomicBool::new(false)).collect(),
            nodes: Arc::new(nodes),
            starts: AtomicU64::new(0),
            size: AtomicUsize::new(s.nodes.count),
        };
        for n in s.nodes.count..stage.nodes.len() {
            stage.stopped_nodes[n].store(true, Relaxed);
            stage.front.set(n, false);
        }
        for n in 0..stage.nodes.len().min(s.nodes.count) {
            let name = stage.nodes[n].lock().expect("not poisoned").at.to_string();
            stage.start_node(n).map_err(io(&format!(
                "starting a node at {name}: {}",
                program.name()
            )))?;
        }
        for (n, at) in at.iter().enumerate().take(s.nodes.count) {
            if !ready(*at, Duration::from_secs(30)) {
                return Err(RunError::NotReady(n, folder.join(format!("n{n}/log.txt"))));
            }
        }
        Ok(stage)
    }

    fn start_node(&self, n: usize) -> std::io::Result<()> {
        self.with_start(n, |node, lab, start| node.start(lab, start))
    }

    fn with_start<T>(&self, n: usize, act: impl FnOnce(&mut Node, &Lab, &Start) -> T) -> T {
        let start = Start {
            discovery: self.discovery.address(n),
            known: self.discovery.known(n),
            peers: &self.notes.peers[..self.size.load(Relaxed).min(self.notes.peers.len())],
            peer_listen: self.notes.listen[n],
            starts: self.starts.fetch_add(1, Relaxed),
        };
        act(
            &mut self.nodes[n].lock().expect("not poisoned"),
            &self.lab,
            &start,
        )
    }

    // -- faults --

    fn inject_faults(self: &Arc<Self>, steps: &[schedule::Step], over: &AtomicBool) {
        for step in steps {
            let due = self.lab.instant(step.at);
            loop {
                if over.load(Relaxed) {
                    return;
                }
                let left = due.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                std::thread::sleep(left.min(Duration::from_millis(20)));
            }
            self.apply(&step.act);
        }
    }

    fn apply(self: &Arc<Self>, act: &Action) {
        let cache = |n: &usize| &self.fleet.caches[*n];
        match act {
            Action::Start(n) => cache(n).start(true),
            Action::Die(n) => cache(n).die(),
            Action::Drain(n) => cache(n).drain(),
            Action::Hang(n, on) => cache(n).hang(*on),
            Action::Pause(n, ms) => cache(n).pause_for(*ms),
            Action::Spoil(n, errors, resets) => cache(n).spoil(*errors, *resets),
            Action::SpoilOrigin(errors, resets) => self.fleet.origin.spoil(*errors, *resets),
            Action::List(n, listed) => {
                let cold = cache(n).warmth() < 1.0;
                self.discovery.list(*n, *listed, cold);
            }
            Action::Flush(part) => self.fleet.flush(*part),
            Action::NodeStop(n) if *n < self.nodes.len() => self.stop_node(*n, false),
            Action::NodeKill(n) if *n < self.nodes.len() => self.stop_node(*n, true),
            Action::NodeStart(n) if *n < self.nodes.len() => self.restart_node(*n),
            Action::NodeStop(_) | Action::NodeKill(_) | Action::NodeStart(_) => {}
            Action::Lies(node) => self.notes.set_liar(*node),
            Action::Skew(part, nodes) => self.front.skew(*part, *nodes),
            Action::NodesAre(count, killed) => {
                self.resize_fleet((*count).min(self.nodes.len()), *killed)
            }
            Action::NodesTold(count) => self.notify_fleet_size((*count).min(self.nodes.len())),
            Action::Discovery(fault) => self.discovery.set_fault(*fault),
            Action::DiscoveryMoves => {
                self.discovery.moves();
                for n in 0..self.nodes.len() {
                    if let Err(e) =
                        self.with_start(n, |node, lab, start| node.reconfigure(lab, start))
                    {
                        eprintln!("lab: node {n} could not be told that discovery moved: {e}");
                    }
                }
            }
            Action::Link(before, n, way) => {
                if let Some(link) = self.links.get(&(*before, *n)) {
                    link.set(*way);
                }
            }
            Action::Notes(lost, delay) => self.notes.set(*lost, *delay),
            Action::NotesCut(first, one_way) => self.notes.partition(*first, *one_way),
            Action::NodePause(n, on) if *n < self.nodes.len() => {
                let node = *n as u16;
                if *on {
                    // What a stopped process owes counts like that of one that was killed.
                    self.lab.record(Record::NodeDown {
                        at: self.lab.now(),
                        node,
                        killed: true,
                    });
                }
                self.nodes[*n].lock().expect("not poisoned").pause(*on);
                self.front.set(*n, !on);
                if !*on {
                    self.lab.record(Record::NodeUp {
                        at: self.lab.now(),
                        node,
                    });
                }
            }
            Action::NodePause(..) => {}
        }
    }

    fn resize_fleet(self: &Arc<Self>, count: usize, killed: bool) {
        let before = self.size.swap(count, Relaxed);
        for n in before..count {
            self.restart_node(n);
        }
        for n in count..before {
            self.stop_node(n, killed);
        }
    }

    fn notify_fleet_size(&self, count: usize) {
        // Those that started with it know already; to be told again changes nothing.
        for n in 0..count {
            if let Err(e) = self.with_start(n, |node, lab, start| node.reconfigure(lab, start)) {
                eprintln!("lab: node {n} could not be told how many there are: {e}");
            }
        }
    }

    pub(crate) fn stop_node(self: &Arc<Self>, n: usize, killed: bool) {
        self.stopped_nodes[n].store(true, Relaxed);
        let node = n as u16;
        self.lab.record(Record::NodeDown {
            at: self.lab.now(),
            node,
            killed,
        });
        let notices = self.lab.scenario.nodes.front_notices_s;
        let stage = self.clone();
        if killed {
            self.nodes[n].lock().expect("not poisoned").kill();
        } else {
            self.nodes[n].lock().expect("not poisoned").terminate();
        }
        std::thread::spawn(move || {
            // One that says it is no longer ready is noticed sooner than one that is silent.
            let notices = if killed { notices } else { notices.min(0.3) };
            std::thread::sleep(Duration::from_secs_f64(notices));
            if stage.stopped_nodes[n].load(Relaxed) {
                stage.front.set(n, false);
            }
        });
        let stage = self.clone();
        // Guards against ending its successor, which may be up before this is first looked at.
        let told = self.nodes[n].lock().expect("not poisoned").process();
        let longest = Duration::from_millis(self.lab.scenario.max_client_timeout_ms() + 700);
        std::thread::spawn(move || {
            let latest = Instant::now() + longest;
            loop {
                let mut node = stage.nodes[n].lock().expect("not poisoned");
                if node.take_exited() || !node.running() || node.process() != told {
                    return;
                }
                if Instant::now() > latest {
                    let at = stage.lab.now();
                    stage.lab.record(Record::NodeDown {
                        at,
                        node: n as u16,
                        killed: true,
                    });
                    return node.kill();
                }
                drop(node);
                std::thread::sleep(Duration::from_millis(10));
            }
        });
    }

    pub(crate) fn restart_node(self: &Arc<Self>, n: usize) {
        let stage = self.clone();
        std::thread::spawn(move || {
            while stage.nodes[n].lock().expect("not poisoned").running() {
                std::thread::sleep(Duration::from_millis(10));
            }
            if stage.lab.over.load(Relaxed) {
                return;
            }
            if let Err(e) = stage.start_node(n) {
                return eprintln!("lab: node {n} did not start again: {e}");
            }
            let at = stage.nodes[n].lock().expect("not poisoned").at;
            if ready(at, Duration::from_secs(30)) {
                stage.stopped_nodes[n].store(false, Relaxed);
                stage.lab.record(Record::NodeUp {
                    at: stage.lab.now(),
                    node: n as u16,
                });
                stage.front.set(n, true);
            }
        });
    }

    // -- what can be seen --

    fn sample_until(&self, over: &AtomicBool) -> Vec<Sample> {
        let every = nanos((self.lab.scenario.length_s / 240.0).max(0.25));
        let (mut samples, mut next) = (Vec::new(), 0);
        while !over.load(Relaxed) {
            std::thread::sleep(Duration::from_millis(20));
            for (n, node) in self.nodes.iter().enumerate() {
                let ended = !self.stopped_nodes[n].load(Relaxed)
                    && node.lock().expect("not poisoned").take_exited();
                // Told to stop meanwhile, it was no crash.
                if ended && !self.stopped_nodes[n].load(Relaxed) {
                    self.lab.record(Record::NodeCrashed {
                        at: self.lab.now(),
                        node: n as u16,
                    });
                    self.front.set(n, false);
                }
            }
            if self.lab.now() >= next {
                next += every;
                samples.push(self.sample());
            }
        }
        samples.push(self.sample());
        samples
    }

    fn sample(&self) -> Sample {
        let node = |n: &Mutex<Node>| {
            let usage = n.lock().expect("not poisoned").usage();
            (usage.cpu_s, usage.memory_mb, usage.descriptors)
        };
        let caches = self.fleet.caches.iter().take(SAMPLED);
        let cache = caches.map(|c| {
            let state = match (c.up(), c.draining(), c.warmth() < 1.0) {
                (false, ..) => 0,
                (true, true, _) => 3,
                (true, false, true) => 1,
                (true, false, false) => 2,
            };
            (state, c.pending_count(), c.open.load(Relaxed))
        });
        Sample {
            at_s: self.lab.now() as f64 / SECOND as f64,
            nodes: self.nodes.iter().map(node).collect(),
            caches: cache.collect(),
        }
    }
}

/// Asks until it says that it is ready.
fn ready(at: SocketAddr, limit: Duration) -> bool {
    let latest = Instant::now() + limit;
    while Instant::now() < latest {
        let asked = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream
                .write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer)?;
            Ok(answer.ends_with(b"200"))
        };
        if asked().unwrap_or(false) {
            return true;
        }
        std::thread::sleep(Duration::from_nanos(10 * MS));
    }
    false
}
