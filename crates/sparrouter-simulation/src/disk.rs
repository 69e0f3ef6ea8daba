//! A machine's disk: files in memory that lose power as real ones do, with delays of their own.

use fastrand::Rng;
use sparrouter_fleet::control::disk::{
    DiskContents, DiskError, DiskWriter, WriteOutcome, WriteQueue, WriteRequest, open_with, write,
};
use sparrouter_fleet::process::log_buffer::LogBuffer;
use sparrouter_storage::{SimulatedFiles, Store};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// How often a stalled disk checks whether it still is: a stall may be ended early.
const STALL_POLL: Duration = Duration::from_millis(20);

/// A disk, whose contents outlast the process and the machine's power. Clones are the same disk.
#[derive(Clone)]
pub struct SimulatedDisk {
    /// Its files.
    pub files: SimulatedFiles,
    /// How long a write takes.
    pub delay: Rc<Cell<Duration>>,
    /// The disk does nothing before this moment.
    pub stalled_until: Rc<Cell<Instant>>,
    /// How long a process waits for what it finds at its start.
    pub opening_time: Rc<Cell<Duration>>,
    /// The next process finds no membership records, as with a disk of an older release.
    records_lost: Rc<Cell<bool>>,
}

impl SimulatedDisk {
    /// An empty disk. `seed`: for what a loss of power leaves.
    pub fn new(seed: u64, delay: Duration) -> SimulatedDisk {
        SimulatedDisk {
            files: SimulatedFiles::new(seed),
            delay: Rc::new(Cell::new(delay)),
            stalled_until: Rc::new(Cell::new(Instant::now())),
            opening_time: Rc::default(),
            records_lost: Rc::default(),
        }
    }

    /// The membership records are lost, all else stays.
    pub fn lose_membership_records(&self) {
        self.records_lost.set(true);
    }

    /// What a process finds that starts with this disk.
    ///
    /// # Errors
    ///
    /// As [`open_with`].
    pub async fn open(
        &self,
        log_buffer: &LogBuffer,
        rng: &mut Rng,
    ) -> Result<DiskContents, DiskError> {
        let opening_time = self.opening_time.get();
        if !opening_time.is_zero() {
            sleep(opening_time).await;
        }
        let files = || Ok(self.files.clone());
        let contents = open_with(files, log_buffer, rng, |store| {
            let disk = self.clone();
            Box::new(DelayedWriter { store, disk })
        })?;
        if self.records_lost.take() {
            return Ok(DiskContents {
                rows: None,
                version_ages: None,
                ..contents
            });
        }
        Ok(contents)
    }
}

/// Writes with the delays of a disk.
struct DelayedWriter {
    store: Store<SimulatedFiles>,
    disk: SimulatedDisk,
}

impl DiskWriter for DelayedWriter {
    fn start(self: Box<Self>, outcomes: UnboundedSender<WriteOutcome>) -> WriteQueue {
        let (sender, requests) = unbounded_channel();
        spawn_local(self.write_all(requests, outcomes));
        Box::new(move |request| {
            // The task ends with the process only.
            let _ = sender.send(request);
        })
    }
}

impl DelayedWriter {
    async fn write_all(
        mut self: Box<Self>,
        mut requests: UnboundedReceiver<WriteRequest>,
        outcomes: UnboundedSender<WriteOutcome>,
    ) {
        while let Some(request) = requests.recv().await {
            // The bytes are durable after half of the time: a process may end on either side.
            sleep(self.disk.delay.get() / 2).await;
            self.wait_for_stall().await;
            let outcome = write(&mut self.store, request);
            sleep(self.disk.delay.get() / 2).await;
            if let Some(outcome) = outcome {
                // Nobody waits for the outcome once the process has ended.
                let _ = outcomes.send(outcome);
            }
        }
    }

    async fn wait_for_stall(&self) {
        loop {
            let now = Instant::now();
            let stalled_until = self.disk.stalled_until.get();
            if stalled_until <= now {
                return;
            }
            sleep_until(stalled_until.min(now + STALL_POLL)).await;
        }
    }
}
