//! The stand-ins: whatever a node meets, played on loopback.
pub mod bad_node;
pub mod defect_proxy;
pub mod discovery;
pub mod fleet;
pub mod link;
pub mod model;
pub mod node;
pub mod peer_network;
pub mod relay;
pub mod server;

use crate::Nanos;
use crate::ledger::Record;
use crate::scenario::Scenario;
use crate::workers::Workers;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, OnceLock, mpsc};
use std::time::{Duration, Instant};

/// What all stand-ins of one run share: its clock, its tape and its addresses.
pub struct Lab {
    begun: OnceLock<Instant>,
    tape: mpsc::Sender<Record>,
    /// The run has ended: what ends from now on is not recorded as withdrawn.
    pub over: AtomicBool,
    /// What is played.
    pub scenario: Scenario,
    /// Threads of the stand-ins.
    pub workers: Workers,
    net: u32,
    next: AtomicU32,
}

impl Lab {
    /// A clock that does not run yet, and a part of 127.0.0.0/8 for this run alone.
    pub fn new(scenario: Scenario, tape: mpsc::Sender<Record>, workers: Workers) -> Arc<Lab> {
        // A part of 127.0.0.0/8 that no outgoing connection takes its address from, so that a port that
        // was free stays free; another lab at the same time most likely has another part.
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let run = RUNS.fetch_add(1, Relaxed);
        let since = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let mixed = crate::scenario::arrivals::scramble(
            u64::from(std::process::id()) << 32 ^ u64::from(run) ^ since.as_nanos() as u64,
        );
        let net = 127 << 24 | (64 + mixed as u32 % 128) << 16 | ((mixed >> 32) as u32 % 248) << 8;
        Arc::new(Lab {
            begun: OnceLock::new(),
            tape,
            over: AtomicBool::new(false),
            scenario,
            workers,
            net,
            next: AtomicU32::new(0),
        })
    }
    /// From now on the run's time counts.
    pub fn begin(&self) {
        let _ = self.begun.set(Instant::now());
    }
    /// Time since the run began; 0 before.
    pub fn now(&self) -> Nanos {
        self.begun
            .get()
            .map_or(0, |b| b.elapsed().as_nanos() as Nanos)
    }
    /// The time of the run at a moment; 0 before the run began.
    pub fn time_at(&self, moment: Instant) -> Nanos {
        self.begun.get().map_or(0, |begun| {
            moment.saturating_duration_since(*begun).as_nanos() as Nanos
        })
    }
    /// The time of what is seen now, and how much earlier it may have happened: exactly when it arrived where the system
    /// stamped that.
    pub fn observed_at(&self, arrived_at: Option<Instant>) -> (Nanos, Nanos) {
        match arrived_at {
            Some(moment) => (self.time_at(moment), 0),
            None => (self.now(), self.lag()),
        }
    }
    /// What is seen now may have happened so long ago: on a machine with too little time for the lab.
    pub fn lag(&self) -> Nanos {
        crate::workers::observation_lag().as_nanos() as Nanos
    }
    /// The moment of a time of the run.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.begun.get().copied().unwrap_or_else(Instant::now) + Duration::from_nanos(at)
    }
    /// Sends a record to the invocation log.
    pub fn record(&self, record: Record) {
        let _ = self.tape.send(record);
    }
    /// Of the run's own.
    pub fn address(&self) -> Ipv4Addr {
        let n = self.next.fetch_add(1, Relaxed);
        Ipv4Addr::from(self.net + 1 + n % 2000)
    }
    /// One that is free now, and that no outgoing connection will take.
    ///
    /// # Errors
    ///
    /// No address can be bound.
    pub fn free(&self) -> std::io::Result<SocketAddr> {
        std::net::TcpListener::bind((self.address(), 0))?.local_addr()
    }
}

/// What discovery's lists count start times in.
pub(crate) fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
