//! One process of the fleet with a model server, in a machine with little memory, and the bounds that it must keep.
use crate::PROGRAM;
use sparrouter_fleet::client::ClientError;
use sparrouter_fleet::client::call::{Call, Outcome, send_once};
use sparrouter_fleet::platform::net::Sockets;
use sparrouter_fleet_lab::addresses::Addresses;
use sparrouter_fleet_lab::client::{ClientRequest, Clients, Ending, check_readiness};
use sparrouter_fleet_lab::ledger::{Ledger, RequestKind};
use sparrouter_fleet_lab::machine::Machine;
use sparrouter_fleet_lab::model_server::{ModelServer, ServerSettings};
use sparrouter_fleet_lab::operator::Operator;
use sparrouter_fleet_lab::process_usage;
use std::net::IpAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tempfile::TempDir;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Memory of the machine: the setting `limits.memory_mb`, and the bound of the tests.
pub const MEMORY_MB: u64 = 64;
/// Bytes in one MB of `limits.memory_mb`.
const BYTES_PER_MB: u64 = 1_000_000;
/// The setting `limits.max_open_files` of the lab's machines, and the bound of the tests.
const MAX_OPEN_FILES: usize = 1_000;
/// Grace period of the process after SIGTERM; far more than it needs, as these tests check no times.
const GRACE: Duration = Duration::from_secs(60);
/// Time limit of each step of a test; far more than a step needs.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two samples of the memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Number of requests that the model server runs at the same time, more than any crowd sends.
const SLOTS: usize = 400;

/// A process with its model server and its callers.
pub struct Process {
    pub machine: Rc<Machine>,
    clients: Clients,
    operator: Operator,
    server: Rc<ModelServer>,
    process_id: u32,
    sampler: Sampler,
    _directory: TempDir,
}

impl Process {
    /// Starts a process and waits until it is ready and its model server has run a request. The server works on each
    /// request for `work`.
    pub async fn start(work: Duration) -> Process {
        keep_data_in_memory();
        let directory = tempfile::tempdir().expect("a directory");
        let mut rng = fastrand::Rng::new();
        let addresses = Addresses::find(1, &mut rng).expect("free ports");
        let machine = only_machine(addresses, directory.path());
        machine.start().expect("the process starts");
        let process_id = machine.process_id().expect("the process runs");
        spawn_local(check_readiness(machine.clone()));
        let ledger = Rc::new(Ledger::default());
        let settings = server_settings(addresses, &machine, work);
        let server = ModelServer::start(settings, ledger.clone(), rng.fork()).await;
        let process = Process {
            operator: Operator::new(vec![machine.control()], STEP_TIMEOUT).expect("an operator"),
            clients: Clients {
                ledger,
                machines: vec![machine.clone()],
                rng: rng.into(),
            },
            server: server.expect("a server"),
            process_id,
            sampler: Sampler::start(process_id, machine.ip),
            machine,
            _directory: directory,
        };
        let put = process.operator.put_first(SLOTS).await;
        assert!(put.is_ok(), "{put:?}: {}", process.machine.log_text());
        process.wait_for_readiness().await;
        process.assert_serves_callers().await;
        process
    }

    async fn wait_for_readiness(&self) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !self.machine.ready.get() {
            assert!(Instant::now() < deadline, "the process is not ready");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Asserts that a client's ordinary request is served and that an operator can read the configuration.
    pub async fn assert_serves_callers(&self) {
        let ending = self.send_request().await;
        assert_eq!(ending, Ending::Served, "{}", self.state().await);
        let version = self.operator.read_back().await;
        assert_eq!(version.ok(), Some(1), "{}", self.machine.log_text());
    }

    /// The metrics that are not 0 and the log of the process, for messages.
    async fn state(&self) -> String {
        let call = Call::get("/metrics");
        let reply = send_once(&Sockets, &call, &call.path, self.machine.metrics()).await;
        let metrics = match reply {
            Outcome::Replied(reply) => reply.body,
            _ => "no metrics".to_owned(),
        };
        let samples: Vec<&str> = metrics
            .lines()
            .filter(|line| !line.ends_with(" 0"))
            .collect();
        let attempts = self.clients.ledger.attempts.borrow();
        let responses: Vec<_> = attempts.values().map(|attempt| &attempt.response).collect();
        let log = self.machine.log_text();
        format!("{responses:?}\n{}\n{log}", samples.join("\n"))
    }

    /// Asserts that the process has run since its start, and has stayed within the memory and the descriptors of its
    /// machine.
    pub fn assert_within_bounds(&self) {
        let log = || self.machine.log_text();
        assert!(self.machine.is_running(), "the process ended: {}", log());
        let peak = self.sampler.peak_bytes();
        let resident = process_usage::peak_resident_bytes(self.process_id).expect("it runs");
        let descriptors = process_usage::open_descriptors(self.process_id).expect("it runs");
        eprintln!(
            "peak resident {} kB, with unread bytes {} kB, {descriptors} descriptors",
            resident / 1000,
            peak / 1000
        );
        let bound = MEMORY_MB * BYTES_PER_MB;
        assert!(resident <= bound, "{resident} bytes of memory: {}", log());
        assert!(
            peak <= bound,
            "{peak} bytes with unread ones: {}",
            self.machine.log_text()
        );
        assert!(descriptors <= MAX_OPEN_FILES, "{descriptors} descriptors");
    }

    /// Kills the process or, if `is_graceful`, asserts that it ends by itself after SIGTERM; starts it again and waits until
    /// it is ready.
    pub async fn restart(&mut self, is_graceful: bool) {
        if is_graceful {
            assert!(
                self.machine.terminate().await,
                "{}",
                self.machine.log_text()
            );
        } else {
            self.machine.kill().await;
        }
        self.machine.ready.set(false);
        self.machine.restart().expect("the process starts");
        self.process_id = self.machine.process_id().expect("the process runs");
        self.sampler = Sampler::start(self.process_id, self.machine.ip);
        self.wait_for_readiness().await;
        self.wait_for_server().await;
    }

    /// Waits until a request is served: after a restart the model server has to be known again, and a server may have other
    /// requests to work on.
    pub async fn wait_for_server(&self) {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while self.send_request().await != Ending::Served {
            let log = self.machine.log_text();
            assert!(Instant::now() < deadline, "no request is served: {log}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Replaces the configuration by one of this length, which blanks fill.
    pub async fn put_configuration(&self, length: usize) -> Result<(), ClientError> {
        let current = self.operator.configuration().await?;
        let next = current.replacen("\"version\":1", "\"version\":2", 1);
        let blanks = " ".repeat(length - next.len());
        self.operator.put(1, next + &blanks).await
    }

    async fn send_request(&self) -> Ending {
        let request = ClientRequest {
            kind: RequestKind::Idempotent,
            path: "/swap/1".into(),
            patience: STEP_TIMEOUT,
        };
        self.clients.send(&request, Some(0)).await.ending
    }

    /// Asserts that the process ends by itself after SIGTERM.
    pub async fn assert_ends_when_terminated(&self) {
        self.server.stop();
        assert!(
            self.machine.terminate().await,
            "{}",
            self.machine.log_text()
        );
    }
}

/// Places data directories in memory if the system has an in-memory file system: a slow disk is not what these tests
/// are about.
fn keep_data_in_memory() {
    let in_memory = Path::new("/dev/shm");
    if tempfile::tempdir_in(in_memory).is_ok() {
        // This fails if another test of this program has set the directory already.
        let _ = tempfile::env::override_temp_dir(in_memory);
    }
}

fn only_machine(addresses: Addresses, directory: &Path) -> Rc<Machine> {
    let program = Path::new(PROGRAM);
    let machine = Machine::new(0, true, 1, addresses, directory, program, GRACE);
    let machine = machine.expect("settings are written");
    machine
        .set_memory_mb(MEMORY_MB)
        .expect("settings are written");
    Rc::new(machine)
}

fn server_settings(addresses: Addresses, machine: &Machine, work: Duration) -> ServerSettings {
    ServerSettings {
        id: "i-1".into(),
        zone: "zone-1".into(),
        address: addresses.server_at(0),
        slots: SLOTS,
        work,
        gap: Duration::ZERO,
        load: Duration::ZERO,
        events: 1,
        version: 1,
        control: vec![machine.control()],
    }
}

/// Samples the memory of a process and the unread bytes on its connections in a thread of its own.
struct Sampler {
    peak: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Sampler {
    fn start(process_id: u32, ip: IpAddr) -> Sampler {
        let (peak, is_stopped) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let (sampled, stops) = (peak.clone(), is_stopped.clone());
        let thread = thread::spawn(move || {
            while !stops.load(Ordering::Relaxed) {
                let resident = process_usage::resident_bytes(process_id).unwrap_or(0);
                let unread = process_usage::unread_bytes(ip);
                sampled.fetch_max(resident + unread, Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Sampler {
            peak,
            is_stopped,
            thread: Some(thread),
        }
    }

    /// The largest sample, in bytes.
    fn peak_bytes(&self) -> u64 {
        self.peak.load(Ordering::Relaxed)
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported by itself.
            let _ = thread.join();
        }
    }
}
