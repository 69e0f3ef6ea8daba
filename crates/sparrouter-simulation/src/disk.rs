//! A machine's simulated disk: it loses what was not synced, answers late in virtual time, stalls, fills up, or is lost.
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

/// How often a stalled disk looks whether it still is.
const STALL_LOOK: Duration = Duration::from_millis(20);

#[derive(Clone)]
pub struct SimulatedDisk {
    pub files: SimulatedFiles,
    /// How long a save takes.
    pub delay: Rc<Cell<Duration>>,
    /// It does nothing before.
    pub stalled: Rc<Cell<Instant>>,
    /// The next process finds no rows, as with a disk of an older release.
    rows_lost: Rc<Cell<bool>>,
}

impl SimulatedDisk {
    pub fn new(seed: u64, delay: Duration) -> SimulatedDisk {
        SimulatedDisk {
            files: SimulatedFiles::new(seed),
            delay: Rc::new(Cell::new(delay)),
            stalled: Rc::new(Cell::new(Instant::now())),
            rows_lost: Rc::default(),
        }
    }

    /// The rows are lost, all else stays.
    pub fn forget_rows(&self) {
        self.rows_lost.set(true);
    }

    /// What a process finds that starts with this disk.
    ///
    /// Errors: as `open_with`.
    pub fn stock(&self, log_buffer: &LogBuffer, rng: &mut Rng) -> Result<DiskContents, DiskError> {
        let files = || Ok(self.files.clone());
        let stock = open_with(files, log_buffer, rng, |store| {
            let disk = self.clone();
            Box::new(DelayedWriter { store, disk })
        })?;
        if self.rows_lost.take() {
            Ok(DiskContents {
                rows: None,
                ..stock
            })
        } else {
            Ok(stock)
        }
    }
}

struct DelayedWriter {
    store: Store<SimulatedFiles>,
    disk: SimulatedDisk,
}

impl DiskWriter for DelayedWriter {
    fn start(self: Box<Self>, done: UnboundedSender<WriteOutcome>) -> WriteQueue {
        let (give, queue) = unbounded_channel();
        spawn_local(carry_out(*self, queue, done));
        Box::new(move |save| {
            // The task ends with the process only.
            let _ = give.send(save);
        })
    }
}

async fn carry_out(
    late: DelayedWriter,
    mut queue: UnboundedReceiver<WriteRequest>,
    done: UnboundedSender<WriteOutcome>,
) {
    let DelayedWriter { mut store, disk } = late;
    while let Some(save) = queue.recv().await {
        // Half of its time before the bytes last and half after: a process may end on either side.
        sleep(disk.delay.get() / 2).await;
        while disk.stalled.get() > Instant::now() {
            // A stall may be ended before its time.
            sleep_until(disk.stalled.get().min(Instant::now() + STALL_LOOK)).await;
        }
        let kept = write(&mut store, save);
        sleep(disk.delay.get() / 2).await;
        if let Some(kept) = kept {
            let _ = done.send(kept);
        }
    }
}
