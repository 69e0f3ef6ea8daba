//! What the scripts of this review share: processes of the fleet, and stand-ins for model servers, clients, the operator
//! and the platform, on loopback addresses and the real clock. Standard library only.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/sparrouter";
const ARGUMENTS: [&str; 3] = ["proxy", "--metrics-port", "9464"];
const FRONT: u16 = 8689;
const READINESS: u16 = 8687;
const CONTROL: u16 = 8683;
const INTERNAL: u16 = 7360;
const SERVER_PORT: u16 = 8640;

/// Figures of the deployment; those of the example in DEPLOY.md.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
pub const CONTACT: Duration = Duration::from_millis(3000);

/// Processes that this script started and that have not ended.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);

pub fn now() -> Duration {
    STARTED.get().expect("init").elapsed()
}

/// One line of record.txt, with the time in ms since the start.
pub fn record(line: &str) {
    let at = now().as_secs_f64() * 1e3;
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = writeln!(file, "{at:10.1} {line}");
    }
}

fn end_children() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
}

/// Ends all processes and the script with this exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
pub fn finish(code: i32, text: &str) -> ! {
    record(&format!("RESULT exit={code}: {text}"));
    println!("{text}");
    end_children();
    std::process::exit(code)
}

/// To be called first. `record`: path of record.txt.
pub fn init(record: &str, limit: Duration) {
    STARTED.set(Instant::now()).expect("once");
    let file = File::create(record).expect("record.txt can be written");
    *RECORD.lock().unwrap() = Some(file);
    std::panic::set_hook(Box::new(|info| finish(2, &format!("the script failed: {info}"))));
    thread::spawn(move || {
        sleep(limit);
        finish(2, "the script took too long");
    });
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A small random number generator, seeded by the clock and the process id.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed)
        ^ STARTED.get().map_or(0, |s| s.elapsed().as_nanos() as u64)
        ^ (u64::from(std::process::id()) << 32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A /24 of loopback addresses whose ports are free.
#[derive(Clone, Copy)]
pub struct Subnet(u8, u8);

impl Subnet {
    pub fn free() -> Subnet {
        for _ in 0..50 {
            let draw = random();
            let subnet = Subnet(20 + (draw % 200) as u8, 1 + (draw >> 8) as u8 % 250);
            let ports = [FRONT, READINESS, CONTROL, INTERNAL, SERVER_PORT, 9464];
            let is_free = |port: &u16| TcpListener::bind((subnet.ip(11), *port)).is_ok();
            if ports.iter().all(is_free) {
                return subnet;
            }
        }
        finish(2, "no free loopback addresses")
    }
    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host))
    }
}

/// One machine of the fleet.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Nodes that all count toward the quorum, each with a disk.
pub fn core_nodes(subnet: Subnet, count: u8, folder: &PathBuf, contracts: &str) -> Vec<Arc<Node>> {
    let hosts: Vec<u8> = (0..count).map(|n| 11 + n).collect();
    let seeds: Vec<String> = hosts.iter().take(3).map(|h| format!("{}:{CONTROL}", subnet.ip(*h))).collect();
    let mut nodes = Vec::new();
    for (index, host) in hosts.into_iter().enumerate() {
        let (ip, zone) = (subnet.ip(host), format!("hall-{}", index % 3 + 1));
        let name = format!("frontend-{zone}-{}", index / 3 + 1);
        let data = folder.join(format!("data-{name}"));
        fs::create_dir_all(&data).expect("a data directory");
        let text = format!(
            "node_name={name}\nrole=proxy\nmachine_class=frontend\nserved_roles=frontend,control_plane\nip_address={ip}\n\
             zone={zone}\nregion=valley\nzones.hall-1=valley\nzones.hall-2=valley\nzones.hall-3=valley\n\
             listen_addresses.front_http={ip}:{FRONT}\nlisten_addresses.readiness={ip}:{READINESS}\n\
             listen_addresses.control_plane={ip}:{CONTROL}\ninternal_port_range={INTERNAL},{}\nseed_nodes={}\n\
             first_start=true\ncounts_toward_quorum=true\nlimits.cpu_share=0.45\nlimits.cpu_cores=1\nlimits.memory_mb=260\n\
             limits.max_open_files=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=64\ndata_directory={}\n\
             discovery=registration\nentry_mode=virtual_ip\nheartbeat_ms=1200\nactive_contracts={contracts}\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\n\
             bounds.address_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_timeout_ms=4000\nbounds.catch_up_s=4\n\
             bounds.drain_timeout_ms=2000\nbounds.grace_period_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.strict_revocation=false\n\
             bounds.revoke_timeout_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.retry_budget_slack=64\nbounds.quota_window_s=5\nbounds.quota_overage=0.1\nbounds.quota_grace=20\n\
             bounds.recovery_s=12\nbounds.transit_ms=120\nbounds.again_s=0\nbounds.fencing_enabled=true\n\
             bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.version_ms=8000\nbounds.version_all_ms=0\n",
            INTERNAL + 15,
            seeds.join(","),
            data.display()
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("a settings file");
        let log = folder.join(format!("{name}.log"));
        nodes.push(Arc::new(Node { name, ip, settings, log, child: Mutex::new(None) }));
    }
    nodes
}

impl Node {
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL)
    }
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }
    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(PROGRAM);
        command.args(ARGUMENTS).env_clear().env("SPARROUTER_BOOT", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("a log")).stderr(log);
        let child = command.spawn().unwrap_or_else(|e| finish(2, &format!("{PROGRAM} does not start: {e}")));
        CHILDREN.lock().unwrap().push(child.id() as i32);
        record(&format!("start {} pid={}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
    }
    pub fn signal(&self, signal: i32) {
        let child = self.child.lock().unwrap();
        if let Some(child) = child.as_ref() {
            unsafe { kill(child.id() as i32, signal) };
        }
    }
    /// Waits for the end of a process that was killed.
    pub fn reap(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.wait();
            CHILDREN.lock().unwrap().retain(|pid| *pid != child.id() as i32);
        }
    }
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
    }
    /// From now on it is not the first start of the whole system.
    pub fn mark_started(&self) {
        let text = fs::read_to_string(&self.settings).expect("settings");
        fs::write(&self.settings, text.replace("first_start=true", "first_start=false")).expect("settings");
    }
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READINESS);
        call(address, "GET", "/api/readiness", "", "", Duration::from_millis(500)).is_some_and(|(s, _)| s == 200)
    }
}

pub fn await_ready(nodes: &[Arc<Node>], limit: Duration) {
    let deadline = Instant::now() + limit;
    while !nodes.iter().all(|n| n.is_ready()) {
        if Instant::now() > deadline {
            finish(2, "the fleet did not become ready");
        }
        sleep(Duration::from_millis(20));
    }
}

/// A message with its head and its body.
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body is as long as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read ahead from it.
pub struct Wire {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, ahead: Vec::new() }
    }
    fn more(&mut self) -> bool {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(n) => {
                self.ahead.extend_from_slice(&chunk[..n]);
                true
            }
        }
    }
    /// The next message; `None` where the connection ends before its head does.
    pub fn message(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = find(&self.ahead, b"\r\n\r\n") {
                break end;
            }
            if !self.more() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let fields = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
            .collect();
        let mut message = Message { first, fields, body: Vec::new(), is_complete: true };
        if message.field("transfer-encoding").is_some() {
            message.is_complete = self.chunks(&mut message.body);
        } else {
            let length = message.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            while self.ahead.len() < length && self.more() {}
            let length_read = length.min(self.ahead.len());
            message.is_complete = length_read == length;
            message.body = self.ahead.drain(..length_read).collect();
        }
        Some(message)
    }
    fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(end) = find(&self.ahead, b"\r\n") else {
                if !self.more() {
                    return false;
                }
                continue;
            };
            let size = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return false };
            while self.ahead.len() < end + 2 + size + 2 {
                if !self.more() {
                    return false;
                }
            }
            body.extend_from_slice(&self.ahead[end + 2..end + 2 + size]);
            self.ahead.drain(..end + 2 + size + 2);
            if size == 0 {
                return true;
            }
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|w| w == wanted)
}

/// A call on a connection of its own: status and body; `None` without an answer in time.
pub fn call(to: SocketAddr, method: &str, path: &str, fields: &str, body: &str, limit: Duration) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    let _ = stream.set_read_timeout(Some(limit));
    let mut wire = Wire::new(stream);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n{fields}Content-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    wire.stream.write_all(text.as_bytes()).ok()?;
    let answer = wire.message().filter(|m| m.is_complete)?;
    Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
}

/// The operator: sends a configuration to one node after the other until one takes it.
pub fn put_config(nodes: &[Arc<Node>], if_match: u64, body: &str) {
    for attempt in 0..40 {
        let node = &nodes[attempt % nodes.len()];
        let field = format!("If-Match: {if_match}\r\n");
        let answer = call(node.control(), "PUT", "/api/config", &field, body, Duration::from_secs(1));
        record(&format!("operator PUT /api/config If-Match={if_match} at {}: {answer:?}", node.name));
        match answer {
            Some((200, _)) => return,
            Some((status @ (400 | 409 | 412 | 413 | 422), text)) => finish(2, &format!("configuration refused: {status} {text}")),
            _ => sleep(Duration::from_millis(150)),
        }
    }
    finish(2, "no node took the configuration")
}

/// What a server ran.
#[derive(Clone)]
pub struct Run {
    pub at: Duration,
    pub server: String,
    pub service: String,
    pub attempt: String,
    pub host: String,
    pub path: String,
    pub tenant: String,
}

/// All runs, in the order of their arrival.
pub static RUNS: Mutex<Vec<Run>> = Mutex::new(Vec::new());

/// What a server writes to a request that it has run.
pub struct Reply {
    pub bytes: Vec<u8>,
    /// It closes the connection after it.
    pub closes: bool,
}

impl From<String> for Reply {
    fn from(text: String) -> Reply {
        Reply { bytes: text.into_bytes(), closes: false }
    }
}

/// Answers in the place of the plain answer.
pub type Answerer = fn(&Server, &Message, attempt: &str) -> Reply;

/// A stand-in server by PROTOCOL.md: health, report, heartbeats, and short plain answers.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: String,
    work: Duration,
    sequence: AtomicU64,
    pub beats: AtomicBool,
    ended: AtomicBool,
    running: AtomicU64,
    target: Mutex<Option<SocketAddr>>,
    answerer: Option<Answerer>,
}

pub const SLOTS: u64 = 64;

impl Server {
    /// Starts to listen; it is not announced yet.
    pub fn start(subnet: Subnet, host: u8, id: &str, service: &str, work: Duration) -> Arc<Server> {
        Server::start_with(subnet, host, id, service, work, None)
    }
    /// The same with answers of its own.
    pub fn start_with(
        subnet: Subnet,
        host: u8,
        id: &str,
        service: &str,
        work: Duration,
        answerer: Option<Answerer>,
    ) -> Arc<Server> {
        let address = SocketAddr::new(subnet.ip(host), SERVER_PORT);
        let listener = TcpListener::bind(address).unwrap_or_else(|e| finish(2, &format!("{address}: {e}")));
        let server = Arc::new(Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: format!("hall-{}", host % 3 + 1),
            work,
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            running: AtomicU64::new(0),
            target: Mutex::new(None),
            answerer,
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        server
    }
    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Some(request) = wire.message().filter(|r| r.is_complete) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let reply = self.answer(&request);
            if wire.stream.write_all(&reply.bytes).is_err() || reply.closes {
                return;
            }
        }
    }
    fn answer(&self, request: &Message) -> Reply {
        let mut words = request.first.split(' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let running = self.running.load(Ordering::SeqCst);
        match (method, path) {
            ("GET", "/health") => {
                return format!(
                    "HTTP/1.1 200 OK\r\nSparrouter-Instance-Id: {}\r\nSparrouter-Instance-Load: {running},0,{SLOTS}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                )
                .into();
            }
            ("GET", "/api/report") => {
                let body = format!(
                    "{{\"serving_stage\":\"both\",\"models\":[],\"is_busy\":false,\"call_sequence\":0,\"queued\":0,\
                     \"running\":{running},\"kv_used_tokens\":0,\"kv_capacity\":0,\"handle_count\":0}}"
                );
                return format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .into();
            }
            _ if path.starts_with("/api/") => {
                return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_owned().into();
            }
            _ => {}
        }
        let attempt = request.field("sparrouter-attempt-id").unwrap_or_default().to_owned();
        let declined = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nSparrouter-Attempt-Id: {attempt}\r\nSparrouter-Not-Executed: 1\r\n\
                 Sparrouter-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            )
            .into()
        };
        if attempt.is_empty() {
            return declined("400 Bad Request");
        }
        if request.field("sparrouter-expected-instance").is_some_and(|wanted| wanted != self.id) {
            record(&format!("{} ({}) declines {attempt}: 421, another instance is named", self.id, self.service));
            return declined("421 Misdirected Request");
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return declined("503 Service Unavailable");
        }
        let run = Run {
            at: now(),
            server: self.id.clone(),
            service: self.service.clone(),
            attempt: attempt.clone(),
            host: request.field("host").unwrap_or_default().to_owned(),
            path: path.to_owned(),
            tenant: request.field("sparrouter-tenant").unwrap_or_default().to_owned(),
        };
        record(&format!(
            "{} ({}) runs {attempt} {method} {}{path} tenant={}",
            self.id, self.service, run.host, run.tenant
        ));
        RUNS.lock().unwrap().push(run);
        sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if let Some(answerer) = self.answerer {
            return answerer(self, request, &attempt);
        }
        let body = format!("answer of {} ({}) to {attempt}", self.id, self.service);
        format!(
            "HTTP/1.1 200 OK\r\nSparrouter-Attempt-Id: {attempt}\r\nSparrouter-Response-Seal: {}.{attempt}\r\n\
             Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into()
    }
    /// One heartbeat; true if it was acknowledged.
    pub fn beat(&self, to: SocketAddr) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slot_count\":{SLOTS},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"call_sequence\":{sequence}}}",
            self.service, self.address, self.zone
        );
        let path = format!("/api/instances/{}", self.id);
        let answer = call(to, "PUT", &path, "", &body, Duration::from_secs(1));
        let Some((200..=299, text)) = answer else {
            return false;
        };
        let target = text.split("\"heartbeat_target\":\"").nth(1).and_then(|t| t.split('"').next());
        if let Some(target) = target.and_then(|t| t.parse().ok()) {
            *self.target.lock().unwrap() = Some(target);
        }
        true
    }
    /// Announces the server until a node has acknowledged it, and then beats on.
    pub fn announce(self: &Arc<Self>, nodes: &[Arc<Node>], first: usize) {
        let controls: Vec<SocketAddr> = nodes.iter().map(|n| n.control()).collect();
        let mut next = first;
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.beat(controls[next % controls.len()]) {
            if Instant::now() > deadline {
                finish(2, &format!("no node acknowledged {}", self.id));
            }
            next += 1;
            sleep(Duration::from_millis(50));
        }
        record(&format!("{} ({}) is registered at {}", self.id, self.service, controls[next % controls.len()]));
        let server = self.clone();
        thread::spawn(move || {
            loop {
                sleep(HEARTBEAT - Duration::from_millis(100) + Duration::from_millis(random() % 200));
                if !server.beats.load(Ordering::SeqCst) {
                    return;
                }
                let target = *server.target.lock().unwrap();
                if server.beat(target.unwrap_or(controls[next % controls.len()])) {
                    continue;
                }
                *server.target.lock().unwrap() = None;
                for _ in 0..controls.len() {
                    next += 1;
                    sleep(Duration::from_millis(50));
                    if !server.beats.load(Ordering::SeqCst) || server.beat(controls[next % controls.len()]) {
                        break;
                    }
                }
            }
        });
    }
    /// The server's own DELETE; the moment of the acknowledgement.
    pub fn leave(&self, node: &Node) -> Option<Duration> {
        self.beats.store(false, Ordering::SeqCst);
        let path = format!("/api/instances/{}", self.id);
        let answer = call(node.control(), "DELETE", &path, "", "", Duration::from_secs(1));
        record(&format!("{} ({}) sends DELETE to {}: {answer:?}", self.id, self.service, node.name));
        matches!(answer, Some((200..=299, _))).then(now)
    }
    /// The process of the server ends.
    pub fn end(&self) {
        self.beats.store(false, Ordering::SeqCst);
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        record(&format!("{} ({}) ends", self.id, self.service));
    }
}

/// What a client got, by its attempt.
#[derive(Clone)]
pub struct Answer {
    /// The server's seal; empty where the answer has none.
    pub seal: String,
    pub sent_at: Duration,
    pub node: String,
    pub path: String,
    pub status: u16,
    pub body: String,
}
pub static ANSWERS: Mutex<BTreeMap<String, Answer>> = Mutex::new(BTreeMap::new());

/// What a client asks for.
#[derive(Clone)]
pub struct Kind {
    pub host: &'static str,
    pub path: &'static str,
    pub key: &'static str,
    pub deadline_ms: u64,
}

/// Clients of one node, each with a kept connection and one request at a time, until `stop`.
pub fn clients(node: &Arc<Node>, kind: &Kind, count: u64, interval: Duration, stop: &Arc<AtomicBool>) {
    for index in 0..count {
        let (node, kind, stop) = (node.clone(), kind.clone(), stop.clone());
        thread::spawn(move || {
            sleep(interval.mul_f64(index as f64 / count as f64));
            let mut wire: Option<Wire> = None;
            let mut next = Instant::now();
            while !stop.load(Ordering::SeqCst) {
                request(&node, &kind, &mut wire);
                next = (next + interval).max(Instant::now());
                sleep(next - Instant::now());
            }
        });
    }
}

fn request(node: &Node, kind: &Kind, wire: &mut Option<Wire>) {
    let attempt = format!("{:016x}", random());
    let sent_at = now();
    let Kind { host, path, key, deadline_ms } = kind;
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nSparrouter-Attempt-Id: {attempt}\r\n\
         Sparrouter-Deadline-Ms: {deadline_ms}\r\nSparrouter-Key: {key}\r\nContent-Length: 4\r\n\r\nbody"
    );
    if wire.is_none() {
        *wire = TcpStream::connect_timeout(&node.front(), Duration::from_secs(1)).ok().map(Wire::new);
    }
    let answer = wire.as_mut().and_then(|wire| {
        let _ = wire.stream.set_read_timeout(Some(Duration::from_millis(*deadline_ms)));
        wire.stream.write_all(text.as_bytes()).ok()?;
        wire.message().filter(|m| m.is_complete)
    });
    // A client closes a connection on which it gets bytes that are no answer, or the answer to another request.
    let is_own = |m: &Message| {
        m.first.starts_with("HTTP/1.1 ") && m.field("sparrouter-attempt-id").is_none_or(|id| id == attempt)
    };
    if let Some(foreign) = answer.as_ref().filter(|m| !is_own(m)) {
        record(&format!("client {attempt} at {} gets what is not its answer: {:?}", node.name, foreign.first));
    }
    let answer = answer.filter(is_own);
    let closes = answer.as_ref().is_none_or(|a| a.field("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")));
    if closes {
        *wire = None;
    }
    let seal = answer.as_ref().and_then(|a| a.field("sparrouter-response-seal")).unwrap_or_default().to_owned();
    let (status, body) = answer.map_or((0, String::new()), |a| (a.status(), String::from_utf8_lossy(&a.body).into_owned()));
    record(&format!("client {attempt} POST {host}{path} at {} sent={:.1}: {status} {body:?}", node.name, sent_at.as_secs_f64() * 1e3));
    let answer = Answer { seal, sent_at, node: node.name.clone(), path: (*path).to_owned(), status, body };
    ANSWERS.lock().unwrap().insert(attempt, answer);
    if status == 0 {
        // As a client that finds a node away: it pauses before it tries again.
        sleep(Duration::from_millis(100));
    }
}

/// A new folder below the temporary one.
pub fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sparrouter-review-{name}-{}", std::process::id()));
    fs::create_dir_all(&path).expect("a temporary folder");
    path
}
