//! A machine's disk: one that lies, answers late in virtual time, stalls, fills up, or is lost.
use fastrand::Rng;
use sparrouter_fleet::disk::{Keeper, Kept, Save, Saves, Stock, keep};
use sparrouter_fleet::ring::Ring;
use sparrouter_storage::{Cellar, LyingFiles};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

#[derive(Clone)]
pub struct Shelf {
    pub files: LyingFiles,
    /// How long a save takes.
    pub delay: Rc<Cell<Duration>>,
    /// It does nothing before.
    pub stalled: Rc<Cell<Instant>>,
    /// The next process finds no rows, as with a disk of an older release.
    rows_lost: Rc<Cell<bool>>,
}

impl Shelf {
    pub fn new(seed: u64, delay: Duration) -> Shelf {
        Shelf {
            files: LyingFiles::new(seed),
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
    pub fn stock(&self, ring: &Ring, rng: &mut Rng) -> Stock {
        let stock = self.whole_stock(ring, rng);
        if self.rows_lost.take() {
            Stock {
                rows: None,
                ..stock
            }
        } else {
            stock
        }
    }

    fn whole_stock(&self, ring: &Ring, rng: &mut Rng) -> Stock {
        for _ in 0..2 {
            match Cellar::open(self.files.clone()) {
                Ok((cellar, opened)) => {
                    let shelf = self.clone();
                    return Stock::of(cellar, opened, ring, rng, |cellar| {
                        Box::new(Late { cellar, shelf })
                    });
                }
                Err(why) => {
                    ring.breach(&why.to_string());
                    self.files.wipe();
                }
            }
        }
        Stock::empty(rng)
    }
}

struct Late {
    cellar: Cellar<LyingFiles>,
    shelf: Shelf,
}

impl Keeper for Late {
    fn begin(self: Box<Self>, done: UnboundedSender<Kept>) -> Saves {
        let (give, queue) = unbounded_channel();
        spawn_local(carry_out(*self, queue, done));
        Box::new(move |save| {
            // The task ends with the process only.
            let _ = give.send(save);
        })
    }
}

async fn carry_out(late: Late, mut queue: UnboundedReceiver<Save>, done: UnboundedSender<Kept>) {
    let Late { mut cellar, shelf } = late;
    while let Some(save) = queue.recv().await {
        // Half of its time before the bytes last and half after: a process may end on either side.
        sleep(shelf.delay.get() / 2).await;
        while shelf.stalled.get() > Instant::now() {
            sleep_until(shelf.stalled.get()).await;
        }
        let kept = keep(&mut cellar, save);
        sleep(shelf.delay.get() / 2).await;
        if let Some(kept) = kept {
            let _ = done.send(kept);
        }
    }
}
