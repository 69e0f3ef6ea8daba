//! A version that does one thing wrong: a process that starts the real node behind itself, takes its place, and
//! reports for both. Small and slow.
use crate::http;
use crate::scenario::rollout::Defect;
use bytes::BytesMut;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use sparrouter_report::{BUCKETS, Operation, Report, bucket};
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// The node behind.
struct NodeProcess(Child);

/// Guards against a node left behind by one that was killed: ends it once we are gone.
const WATCHDOG_SCRIPT: &str = r#"while kill -0 "$1" 2>/dev/null; do kill -0 "$2" 2>/dev/null || exit; sleep 0.1; done; kill -KILL "$2""#;

fn start_watchdog(own: u32, inner: u32) {
    let mut watchdog = Command::new("sh");
    watchdog
        .args([
            "-c",
            WATCHDOG_SCRIPT,
            "sh",
            &own.to_string(),
            &inner.to_string(),
        ])
        .stdin(std::process::Stdio::null());
    let _ = watchdog.spawn();
}

/// How long the node behind gets to end.
const END_TIMEOUT: Duration = Duration::from_secs(3);
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// What the node answered last gets so long to pass through here.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Time between two checks whether the node behind is ready, and between two reports.
const READY_INTERVAL: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// A version that dies does so after this time, with this exit code.
const TIME_TO_DEATH: Duration = Duration::from_secs(3);
const DEATH_EXIT_CODE: i32 = 9;

impl NodeProcess {
    /// Asks it to shut down, and waits for its end for a while.
    async fn terminate(&mut self) {
        let _ = kill(Pid::from_raw(self.0.id() as i32), Signal::SIGTERM);
        let deadline = Instant::now() + END_TIMEOUT;
        while matches!(self.0.try_wait(), Ok(None)) && Instant::now() < deadline {
            sleep(END_CHECK_INTERVAL).await;
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct OperationValue {
    value: f64,
    objective: Duration,
}

struct DefectProxy {
    plant: Defect,
    inner: SocketAddr,
    began: Instant,
    count: Cell<u64>,
    values: Vec<OperationValue>,
    report: RefCell<Report>,
    inner_report: PathBuf,
    leaked: RefCell<Vec<(std::fs::File, Vec<u8>)>>,
}

/// Why the process does not start, or ends by itself.
#[derive(Debug, thiserror::Error)]
pub enum DefectProxyError {
    /// The lab did not set a variable of the environment.
    #[error("{0} is not set")]
    NoVariable(&'static str),
    /// No defect has this name.
    #[error("{0} is no defect")]
    UnknownDefect(String),
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// How it failed.
        source: std::io::Error,
    },
    /// The node's configuration is no JSON.
    #[error("configuration: {0}")]
    Configuration(serde_json::Error),
    /// The operator's file is no TOML.
    #[error("operator's file: {0}")]
    OperatorFile(toml::de::Error),
    /// A field of the configuration is no address.
    #[error("{0} is no address")]
    Address(String),
    /// A socket, the runtime or the node behind failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The task that accepts connections panicked.
    #[error("accepting connections: {0}")]
    Task(tokio::task::JoinError),
}

fn variable(name: &'static str) -> Result<String, DefectProxyError> {
    std::env::var(name).map_err(|_| DefectProxyError::NoVariable(name))
}

fn read_file(path: &str) -> Result<String, DefectProxyError> {
    let path = PathBuf::from(path);
    std::fs::read_to_string(&path).map_err(|source| DefectProxyError::File { path, source })
}

fn write_file(path: PathBuf, text: &str) -> Result<PathBuf, DefectProxyError> {
    match std::fs::write(&path, text) {
        Ok(()) => Ok(path),
        Err(source) => Err(DefectProxyError::File { path, source }),
    }
}

/// What the lab hands to a node, as this process reads it: `PROXY_CONFIG`, `SPARROUTER_CONFIG`, and the defect in
/// `SPARROUTER_PLANT`.
struct Assignment {
    plant: Defect,
    /// The node's configuration.
    config: Value,
    /// Where clients expect the node.
    own: SocketAddr,
    peers: Vec<SocketAddr>,
    /// Where this process sends gossip from, in place of the node behind.
    peer_socket: Option<SocketAddr>,
    generation: String,
    /// Where the lab expects reports.
    report: PathBuf,
    folder: PathBuf,
}

impl Assignment {
    fn read() -> Result<Assignment, DefectProxyError> {
        let plant = variable("SPARROUTER_PLANT")?;
        let plant = <Defect as clap::ValueEnum>::from_str(&plant, true)
            .map_err(DefectProxyError::UnknownDefect)?;
        let path = variable("PROXY_CONFIG")?;
        let config: Value =
            serde_json::from_str(&read_file(&path)?).map_err(DefectProxyError::Configuration)?;
        let operator: toml::Table = toml::from_str(&read_file(&variable("SPARROUTER_CONFIG")?)?)
            .map_err(DefectProxyError::OperatorFile)?;
        let peers = config["peers"].as_array().into_iter().flatten();
        let peers = peers.map(address_of).collect::<Result<_, _>>()?;
        let sends_datagrams = matches!(plant, Defect::Rubbish | Defect::NewerGossip | Defect::Lies);
        let peer_socket = sends_datagrams.then(|| address_of(&config["peer_listen"]));
        let text = |section: &str, field: &str| {
            let text = operator[section][field].as_str();
            text.unwrap_or_default().to_string()
        };
        Ok(Assignment {
            plant,
            own: address_of(&config["listen"])?,
            peers,
            peer_socket: peer_socket.transpose()?,
            generation: text("identity", "generation"),
            report: PathBuf::from(text("report", "path")),
            folder: Path::new(&path)
                .parent()
                .unwrap_or(Path::new("."))
                .to_path_buf(),
            config,
        })
    }

    /// Starts the real node behind, at another address and without gossip where this process sends its own.
    fn start_node(&self, at: SocketAddr) -> Result<NodeProcess, DefectProxyError> {
        let mut config = self.config.clone();
        config["listen"] = Value::String(at.to_string());
        if self.peer_socket.is_some() {
            config["settings"]["Limits"]["Peers"] = Value::Bool(false);
        }
        let (generation, report) = (&self.generation, self.node_report());
        let _ = std::fs::remove_file(&report);
        let operator = format!(
            "[identity]\ngeneration = {generation:?}\n[report]\npath = {report:?}\nevery_ms = 200\n"
        );
        let operator = write_file(self.folder.join("inner.toml"), &operator)?;
        let config = write_file(self.folder.join("inner.json"), &config.to_string())?;
        let mut command = Command::new(variable("SPARROUTER_NODE")?);
        command
            .env("PROXY_CONFIG", config)
            .env("SPARROUTER_CONFIG", operator);
        let node = NodeProcess(command.spawn()?);
        start_watchdog(std::process::id(), node.0.id());
        Ok(node)
    }

    /// Where the node behind reports to.
    fn node_report(&self) -> PathBuf {
        self.folder.join("inner.jsonl")
    }

    fn operations(&self) -> impl Iterator<Item = &Value> {
        let operations = self.config["settings"]["Classes"].as_array();
        operations.into_iter().flatten()
    }

    /// What this process counts, before anything was counted.
    fn first_report(&self) -> Report {
        let operation = |operation: &Value| Operation {
            name: operation["Name"].as_str().unwrap_or_default().to_string(),
            latency: vec![0; BUCKETS],
            ..Operation::default()
        };
        Report {
            generation: self.generation.clone(),
            operations: self.operations().map(operation).collect(),
            ..Report::default()
        }
    }

    fn operation_values(&self) -> Vec<OperationValue> {
        let value = |operation: &Value| OperationValue {
            value: operation["Worth"].as_f64().unwrap_or(1.0),
            objective: Duration::from_micros(operation["ObjectiveUs"].as_u64().unwrap_or(0)),
        };
        self.operations().map(value).collect()
    }
}

fn address_of(value: &Value) -> Result<SocketAddr, DefectProxyError> {
    let address = value.as_str().and_then(|text| text.parse().ok());
    address.ok_or_else(|| DefectProxyError::Address(value.to_string()))
}

/// Runs in the place of a node until it is told to end, with what the lab hands to a node and `SPARROUTER_NODE`, the
/// program of the node behind.
///
/// # Errors
///
/// A [`DefectProxyError`] where it cannot start, or can accept no connections any more.
pub fn run() -> Result<(), DefectProxyError> {
    let assignment = Assignment::read()?;
    let inner = std::net::TcpListener::bind((assignment.own.ip(), 0))?.local_addr()?;
    let node = assignment.start_node(inner)?;
    let proxy = Rc::new(DefectProxy {
        plant: assignment.plant,
        inner,
        began: Instant::now(),
        count: Cell::new(0),
        values: assignment.operation_values(),
        report: RefCell::new(assignment.first_report()),
        inner_report: assignment.node_report(),
        leaked: RefCell::default(),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, proxy.serve(assignment, node))
}

impl DefectProxy {
    /// Serves until the process is told to end, which it passes on to the node behind.
    async fn serve(
        self: Rc<Self>,
        assignment: Assignment,
        mut node: NodeProcess,
    ) -> Result<(), DefectProxyError> {
        let mut terminate = signal(SignalKind::terminate())?;
        if let Some(at) = assignment.peer_socket {
            spawn_local(self.clone().send_datagrams(at, assignment.peers));
        }
        // Goes on while it leaves: clients still come for a moment.
        let accepting = spawn_local(self.clone().accept(assignment.own, assignment.report));
        tokio::select! {
            ended = accepting => {
                return ended.map_err(DefectProxyError::Task)?.map_err(DefectProxyError::Io);
            }
            () = self.time_to_die() => std::process::exit(DEATH_EXIT_CODE),
            _ = terminate.recv() => {}
        }
        node.terminate().await;
        // What the node answered last is on its way through here.
        sleep(LAST_ANSWERS_TIME).await;
        Ok(())
    }

    /// Accepts clients once the node behind is ready, and reports from then on.
    async fn accept(self: Rc<Self>, own: SocketAddr, report: PathBuf) -> std::io::Result<()> {
        if self.plant == Defect::NeverReady {
            return std::future::pending().await;
        }
        while !self.ready().await {
            sleep(READY_INTERVAL).await;
        }
        let listener = TcpListener::bind(own).await?;
        let reporter = self.clone();
        spawn_local(async move {
            loop {
                let _ = reporter.write(&report);
                sleep(REPORT_INTERVAL).await;
            }
        });
        loop {
            let (stream, _) = listener.accept().await?;
            spawn_local(self.clone().serve_connection(stream));
        }
    }

    /// Ends where the defect is to die.
    async fn time_to_die(&self) {
        match self.plant {
            Defect::Dies => sleep(TIME_TO_DEATH).await,
            _ => std::future::pending().await,
        }
    }

    async fn ready(&self) -> bool {
        let asked = async {
            let mut stream = TcpStream::connect(self.inner).await.ok()?;
            stream
                .write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await
                .ok()?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await.ok()?;
            Some(answer.ends_with(b"200"))
        };
        asked.await.unwrap_or(false)
    }

    async fn send_datagrams(self: Rc<Self>, at: SocketAddr, peers: Vec<SocketAddr>) {
        let Ok(socket) = UdpSocket::bind(at).await else {
            return;
        };
        let mut n: u64 = 0;
        loop {
            n += 1;
            let drawn = |k: u64| crate::scenario::arrivals::scramble(n ^ k << 32);
            let text: Vec<u8> = match self.plant {
                Defect::Rubbish => (0..drawn(0) % 250).map(|k| drawn(k + 1) as u8).collect(),
                Defect::NewerGossip => std::iter::once(130)
                    .chain((0..200).map(|k| drawn(k) as u8))
                    .collect(),
                _ => {
                    // Format 0, complete: it claims all tenants' traffic, nine tenths of it rejected.
                    let mut text = vec![1, 0];
                    text.extend(u16::MAX.to_le_bytes());
                    text.extend(0.9f32.to_le_bytes());
                    text.extend(1e6f32.to_le_bytes());
                    for k in 0..6 {
                        text.extend((drawn(k) as u32).to_le_bytes());
                        text.extend(5e5f32.to_le_bytes());
                        text.extend(5e5f32.to_le_bytes());
                    }
                    text
                }
            };
            for peer in peers.iter().filter(|p| **p != at) {
                let _ = socket.send_to(&text, peer).await;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn every_nth(&self, every: u64) -> bool {
        self.count.set(self.count.get() + 1);
        self.count.get().is_multiple_of(every)
    }

    /// One connection: messages of the client to the node behind, answers back.
    async fn serve_connection(self: Rc<Self>, mut near: TcpStream) {
        let Ok(mut far) = TcpStream::connect(self.inner).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (mut from_near, mut from_far) = (BytesMut::new(), BytesMut::new());
        loop {
            let Some(raw) = read_message(&mut near, &mut from_near).await else {
                return;
            };
            let head = String::from_utf8_lossy(&raw).to_string();
            let class = head
                .lines()
                .find_map(|l| l.strip_prefix("X-Class: "))
                .unwrap_or_default()
                .trim()
                .to_string();
            let at = self
                .report
                .borrow()
                .operations
                .iter()
                .position(|o| o.name == class);
            let writes = head.starts_with("PUT");
            let start = Instant::now();
            if far.write_all(&raw).await.is_err() {
                return;
            }
            let Some(mut answer) = read_message(&mut far, &mut from_far).await else {
                return;
            };
            if let Some(op) = at {
                answer = self
                    .apply_defect(raw, answer, writes, start, &mut far, &mut from_far)
                    .await;
                self.count_answer(op, &answer, start.elapsed());
            }
            if near.write_all(&answer).await.is_err() {
                return;
            }
        }
    }

    async fn apply_defect(
        &self,
        raw: Vec<u8>,
        answer: Vec<u8>,
        writes: bool,
        start: Instant,
        far: &mut TcpStream,
        rest: &mut BytesMut,
    ) -> Vec<u8> {
        let failed = || http::reply("502 Bad Gateway", "", b"");
        match self.plant {
            Defect::Slow => sleep(start.elapsed() / 3).await,
            Defect::Errs if self.every_nth(200) => return failed(),
            Defect::OneWorse if writes && self.every_nth(2) => return failed(),
            Defect::WhenWarm
                if self.began.elapsed() > Duration::from_secs(6) && self.every_nth(10) =>
            {
                return failed();
            }
            Defect::Twice if writes => {
                let again = far.write_all(&raw).await.is_ok();
                let _ = if again {
                    read_message(far, rest).await
                } else {
                    None
                };
            }
            Defect::Leaks if self.every_nth(10) => {
                let more = std::fs::File::open("/dev/null").map(|file| (file, vec![1; 64 << 10]));
                self.leaked.borrow_mut().extend(more);
            }
            _ => {}
        }
        answer
    }

    fn count_answer(&self, op: usize, answer: &[u8], took: Duration) {
        let mut report = self.report.borrow_mut();
        let (o, values) = (&mut report.operations[op], &self.values[op]);
        (o.taken, o.asked) = (o.taken + 1, o.asked + values.value);
        match answer.get(9..12) {
            Some(b"200" | b"404") => {
                o.succeeded += 1;
                o.in_time += if took <= values.objective {
                    values.value
                } else {
                    0.0
                };
                o.latency[bucket(took.as_micros() as u64)] += 1;
            }
            Some(b"503") => o.throttled += 1,
            _ => o.errored += 1,
        }
    }

    /// What the node behind says of itself, with what came of it here.
    fn write(&self, path: &Path) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.inner_report)?;
        let inner = text
            .lines()
            .rev()
            .find_map(|l| serde_json::from_str::<Report>(l).ok());
        let Some(inner) = inner else { return Ok(()) };
        let mut own = self.report.borrow_mut();
        let operations = std::mem::take(&mut own.operations);
        let generation = std::mem::take(&mut own.generation);
        *own = Report {
            operations,
            generation,
            ..inner
        };
        own.uptime_ms = self.began.elapsed().as_millis() as u64;
        if self.plant == Defect::Places {
            own.placement = "other".into();
        }
        // Only what it holds for nothing: that it is two processes is no fault of the version played.
        let leaked = self.leaked.borrow().len() as u64;
        own.memory_kib += 64 * leaked;
        own.descriptors += leaked;
        let mut line = serde_json::to_vec(&*own)?;
        line.push(b'\n');
        std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)?
            .write_all(&line)
    }
}

/// One message as it came, head and body.
async fn read_message(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<Vec<u8>> {
    loop {
        let before = buffer.clone();
        match http::parse(buffer) {
            Ok(Some(_)) => return Some(before[..before.len() - buffer.len()].to_vec()),
            Ok(None) => {}
            Err(_) => return None,
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
