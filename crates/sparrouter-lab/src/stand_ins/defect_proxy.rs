//! A version that does one thing wrong: a process that starts the real node behind itself, takes its place, and
//! reports for both. Small and slow.
use crate::http;
use crate::scenario::rollout::Defect;
use bytes::BytesMut;
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

/// With what the lab hands to a node: `PROXY_CONFIG`, `SPARROUTER_CONFIG`; and `SPARROUTER_PLANT`, `SPARROUTER_NODE`.
pub fn run() -> Result<(), String> {
    let var = |name: &str| std::env::var(name).map_err(|_| format!("{name} is not set"));
    let plant = <Defect as clap::ValueEnum>::from_str(&var("SPARROUTER_PLANT")?, true)?;
    let read = |path: &str| std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"));
    let path = var("PROXY_CONFIG")?;
    let mut config: Value = serde_json::from_str(&read(&path)?).map_err(|e| e.to_string())?;
    let operator: toml::Table =
        toml::from_str(&read(&var("SPARROUTER_CONFIG")?)?).map_err(|e| e.to_string())?;
    let folder = Path::new(&path)
        .parent()
        .unwrap_or(Path::new("."))
        .to_path_buf();
    let own: SocketAddr = from(&config["listen"])?;
    let peers: Vec<SocketAddr> = config["peers"]
        .as_array()
        .into_iter()
        .flatten()
        .map(from)
        .collect::<Result<_, _>>()?;
    let inner = std::net::TcpListener::bind((own.ip(), 0)).and_then(|l| l.local_addr());
    let inner = inner.map_err(|e| e.to_string())?;
    config["listen"] = Value::String(inner.to_string());
    let sends_datagrams = matches!(plant, Defect::Rubbish | Defect::NewerNotes | Defect::Lies);
    let peer_socket: Option<SocketAddr> = sends_datagrams
        .then(|| from(&config["peer_listen"]))
        .transpose()?;
    if sends_datagrams {
        config["settings"]["Limits"]["Peers"] = Value::Bool(false);
    }
    let generation = operator["identity"]["generation"]
        .as_str()
        .unwrap_or_default()
        .to_string();
    let report = PathBuf::from(operator["report"]["path"].as_str().unwrap_or_default());
    let inner_report = folder.join("inner.jsonl");
    let _ = std::fs::remove_file(&inner_report);
    let write = |name: &str, text: String| {
        let path = folder.join(name);
        std::fs::write(&path, text)
            .map(|()| path)
            .map_err(|e| e.to_string())
    };
    let inner_operator = write(
        "inner.toml",
        format!(
            "[identity]\ngeneration = {generation:?}\n[report]\npath = {inner_report:?}\nevery_ms = 200\n"
        ),
    )?;
    let inner_config = write("inner.json", config.to_string())?;
    let mut command = Command::new(var("SPARROUTER_NODE")?);
    command
        .env("PROXY_CONFIG", inner_config)
        .env("SPARROUTER_CONFIG", inner_operator);
    let child = NodeProcess(command.spawn().map_err(|e| e.to_string())?);
    start_watchdog(std::process::id(), child.0.id());
    let class = |c: &Value| OperationValue {
        value: c["Worth"].as_f64().unwrap_or(1.0),
        objective: Duration::from_micros(c["ObjectiveUs"].as_u64().unwrap_or(0)),
    };
    let classes = || {
        config["settings"]["Classes"]
            .as_array()
            .into_iter()
            .flatten()
    };
    let operation = |c: &Value| Operation {
        name: c["Name"].as_str().unwrap_or_default().to_string(),
        latency: vec![0; BUCKETS],
        ..Operation::default()
    };
    let planted = Rc::new(DefectProxy {
        plant,
        inner,
        began: Instant::now(),
        count: Cell::new(0),
        values: classes().map(class).collect(),
        report: RefCell::new(Report {
            generation,
            operations: classes().map(operation).collect(),
            ..Report::default()
        }),
        inner_report,
        leaked: RefCell::default(),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(
        &runtime.map_err(|e| e.to_string())?,
        planted.serve(own, report, peer_socket, peers, child),
    )
}

fn from(value: &Value) -> Result<SocketAddr, String> {
    value
        .as_str()
        .and_then(|t| t.parse().ok())
        .ok_or(format!("{value} is no address"))
}

impl DefectProxy {
    async fn serve(
        self: Rc<Self>,
        own: SocketAddr,
        report: PathBuf,
        peer_socket: Option<SocketAddr>,
        peers: Vec<SocketAddr>,
        child: NodeProcess,
    ) -> Result<(), String> {
        // Passed on.
        let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
            .map_err(|e| e.to_string())?;
        if let Some(at) = peer_socket {
            spawn_local(self.clone().send_datagrams(at, peers));
        }
        let number = child.0.id() as i32;
        let accepting = self.clone();
        let accept = async move {
            if accepting.plant == Defect::NeverReady {
                return std::future::pending().await;
            }
            while !accepting.ready().await {
                sleep(Duration::from_millis(20)).await;
            }
            let listener = TcpListener::bind(own).await?;
            let reporter = accepting.clone();
            spawn_local(async move {
                loop {
                    let _ = reporter.write(&report);
                    sleep(Duration::from_millis(250)).await;
                }
            });
            loop {
                let (stream, _) = listener.accept().await?;
                spawn_local(accepting.clone().serve_connection(stream));
            }
        };
        let dies = async {
            match self.plant {
                Defect::Dies => sleep(Duration::from_secs(3)).await,
                _ => std::future::pending().await,
            }
        };
        // Goes on while it leaves: clients still come for a moment.
        let accept = spawn_local(accept);
        tokio::select! {
            ended = accept => {
                let ended: Result<std::io::Result<()>, _> = ended;
                return ended.map_err(|e| e.to_string())?.map_err(|e| e.to_string());
            }
            () = dies => std::process::exit(9),
            _ = term.recv() => {}
        }
        let _ = nix::sys::signal::kill(
            nix::unistd::Pid::from_raw(number),
            nix::sys::signal::Signal::SIGTERM,
        );
        let mut child = child;
        let latest = Instant::now() + Duration::from_secs(3);
        while matches!(child.0.try_wait(), Ok(None)) && Instant::now() < latest {
            sleep(Duration::from_millis(10)).await;
        }
        // What the node answered last is on its way through here.
        sleep(Duration::from_millis(100)).await;
        Ok(())
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
                Defect::NewerNotes => std::iter::once(130)
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
