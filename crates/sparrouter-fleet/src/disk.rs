//! What a process keeps on disk: read once at the start, then saved by a keeper that alone waits for the disk.
//!
//! The program's keeper is a thread. Where stories are told it is a task in virtual time, over a disk that lies.
use crate::control::LEASE_SHARDS;
use crate::log_buffer::LogBuffer;
use fastrand::Rng;
use sparrouter_storage::{Files, Opened, RealFiles, Store};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use tokio::sync::mpsc::UnboundedSender;

/// One thing to be kept.
#[derive(Debug)]
pub enum Save {
    Part {
        part: u16,
        token: u64,
        bytes: Vec<u8>,
    },
    /// The first record of a part: nobody waits for it, since what is kept later stands behind it.
    Founding {
        part: u16,
        bytes: Vec<u8>,
    },
    Rows(Vec<u8>),
}

/// What came of a save.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kept {
    /// `failed`: why it is not kept, and the remedy.
    Part {
        part: u16,
        token: u64,
        failed: Option<String>,
    },
    Rows,
}

/// Takes saves and carries them out one after the other.
pub trait Keeper {
    /// Gives back where saves go; what came of each is told to `done`.
    fn begin(self: Box<Self>, done: UnboundedSender<Kept>) -> Saves;
}

pub type Saves = Box<dyn Fn(Save)>;

/// What is on this node's disk when it starts.
pub struct DiskContents {
    /// Id of the disk's life, drawn anew where there is none.
    pub disk: u64,
    pub records: Vec<Option<Vec<u8>>>,
    pub rows: Option<Vec<u8>>,
    /// None: nothing outlives the process.
    pub keeper: Option<Box<dyn Keeper>>,
}

impl DiskContents {
    /// Of a process without a disk, or whose disk cannot be used.
    pub fn empty(rng: &mut Rng) -> DiskContents {
        let records = vec![None; usize::from(LEASE_SHARDS) + 1];
        DiskContents {
            disk: rng.u64(1..),
            records,
            rows: None,
            keeper: None,
        }
    }

    /// What a folder holds; `keeper` is made of the folder for what comes.
    pub fn of<F: Files>(
        mut store: Store<F>,
        opened: Opened,
        log_buffer: &LogBuffer,
        rng: &mut Rng,
        keeper: impl FnOnce(Store<F>) -> Box<dyn Keeper>,
    ) -> DiskContents {
        let mut records = match opened {
            Opened::Fresh => BTreeMap::new(),
            Opened::Existing(records) => records,
        };
        let disk = records
            .get("disk")
            .and_then(|d| Some(u64::from_le_bytes(d.as_slice().try_into().ok()?)));
        let disk = disk.unwrap_or_else(|| {
            // Without its name on disk nothing that stands there may count.
            records.clear();
            let disk = rng.u64(1..);
            if let Err(why) = store.save("disk", &disk.to_le_bytes()) {
                log_buffer.breach(&format!("the disk's name cannot be kept: {why}"));
            }
            disk
        });
        let parts = (0..=LEASE_SHARDS)
            .map(|p| records.remove(&record_name(p)))
            .collect();
        DiskContents {
            disk,
            records: parts,
            rows: records.remove("rows"),
            keeper: Some(keeper(store)),
        }
    }
}

fn record_name(part: u16) -> String {
    format!("part-{part}")
}

/// Carries out one save; blocks until the disk has answered.
pub fn keep<F: Files>(store: &mut Store<F>, save: Save) -> Option<Kept> {
    match save {
        Save::Part { part, token, bytes } => {
            let failed = store
                .save(&record_name(part), &bytes)
                .err()
                .map(|why| why.to_string());
            Some(Kept::Part {
                part,
                token,
                failed,
            })
        }
        Save::Founding { part, bytes } => {
            if let Err(why) = store.save(&record_name(part), &bytes) {
                log::warn!("{why}");
            }
            None
        }
        Save::Rows(bytes) => {
            if let Err(why) = store.save("rows", &bytes) {
                log::warn!("{why}");
            }
            Some(Kept::Rows)
        }
    }
}

/// Opens the data directory; one that is damaged is emptied, since a vote that may be forgotten must not count under
/// its old name.
pub fn open(data: Option<&Path>, log_buffer: &LogBuffer, rng: &mut Rng) -> DiskContents {
    let Some(data) = data else {
        return DiskContents::empty(rng);
    };
    for again in [false, true] {
        let opened = RealFiles::open(data).map_err(|e| e.to_string());
        let opened = opened.and_then(|files| Store::open(files).map_err(|e| e.to_string()));
        match opened {
            Ok((store, opened)) => {
                return DiskContents::of(store, opened, log_buffer, rng, |store| {
                    Box::new(OnThread(store))
                });
            }
            Err(why) => {
                log_buffer.breach(&format!("{} cannot be used: {why}", data.display()));
                if again || empty(data).is_err() {
                    break;
                }
            }
        }
    }
    DiskContents::empty(rng)
}

fn empty(data: &Path) -> io::Result<()> {
    for entry in std::fs::read_dir(data)? {
        std::fs::remove_file(entry?.path())?;
    }
    Ok(())
}

/// A disk with a thread of its own: it waits, nothing else does.
struct OnThread(Store<RealFiles>);

impl Keeper for OnThread {
    fn begin(self: Box<Self>, done: UnboundedSender<Kept>) -> Saves {
        let (saves, queue) = std::sync::mpsc::channel();
        let mut store = self.0;
        std::thread::spawn(move || {
            while let Ok(save) = queue.recv() {
                if let Some(kept) = keep(&mut store, save)
                    && done.send(kept).is_err()
                {
                    return;
                }
            }
        });
        Box::new(move |save| {
            // The thread ends with the process only.
            let _ = saves.send(save);
        })
    }
}
