//! Clients that ask on and on, and what became of it.
use crate::client::{Came, Client, Wish};
use crate::plan::Kind;
use crate::world::{World, ZONES, wish};
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Counts by how requests ended.
#[derive(Default)]
pub struct Tally {
    pub sent: Cell<u32>,
    pub served: Cell<u32>,
    pub refused: RefCell<Vec<u16>>,
    pub failed: Cell<u32>,
    stopped: Cell<bool>,
    open: Cell<u32>,
    /// Sent and served since this was last set to 0.
    pub late: Cell<(u32, u32)>,
}

impl Tally {
    /// No new requests; waits for those under way.
    pub async fn stop(&self) {
        self.stopped.set(true);
        while self.open.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn share(&self) -> f64 {
        f64::from(self.served.get()) / f64::from(self.sent.get().max(1))
    }

    pub fn count_anew(&self) {
        self.late.set((0, 0));
    }

    fn ended(&self, came: &Came) {
        self.open.set(self.open.get() - 1);
        let (sent, served) = self.late.get();
        self.late
            .set((sent, served + u32::from(*came == Came::Served)));
        match came {
            Came::Served => self.served.set(self.served.get() + 1),
            Came::Refused(status) => self.refused.borrow_mut().push(*status),
            Came::Failed => self.failed.set(self.failed.get() + 1),
        }
    }
}

/// Whose requests, and of which prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// One tenant, whose key stays; prompts that are not worth moving.
    Plain,
    /// Both tenants, of which one is isolated, by the keys that they have now; large prompts among them.
    Mixed,
}

/// Starts `clients`, each with a request about every `pause`, of all kinds.
pub fn begin(world: &Rc<World>, clients: usize, pause: Duration) -> Rc<Tally> {
    begin_as(Manner::Plain, world, clients, pause)
}

pub fn begin_as(manner: Manner, world: &Rc<World>, clients: usize, pause: Duration) -> Rc<Tally> {
    let tally = Rc::new(Tally::default());
    for n in 0..clients {
        let client = world.client(n % 2 == 0);
        let mut rng = world.rng.borrow_mut().fork();
        let (tally, world) = (tally.clone(), world.clone());
        spawn_local(async move {
            let mut at = Instant::now() + pause.mul_f64(rng.f64());
            while !tally.stopped.get() {
                tokio::time::sleep_until(at).await;
                at += pause.mul_f64(0.5 + rng.f64());
                let kinds = [
                    (Kind::Idempotent, "b400"),
                    (Kind::NonIdempotent, "b90"),
                    (Kind::Streaming, "s12"),
                    (Kind::Resumable, "s20"),
                ];
                let (kind, word) = kinds[rng.usize(..4)];
                let wish = Wish {
                    zone: ZONES[n % 3].to_owned(),
                    topic: format!("{:08x}", rng.u32(..6)),
                    ..wish(kind, word)
                };
                let wish = if manner == Manner::Mixed {
                    mixed(&world, wish, &mut rng)
                } else {
                    wish
                };
                if rng.u8(..40) == 0 {
                    // One that leaves early counts for nothing, but what it leaves behind must not harm others.
                    let leaves = Some(Duration::from_millis(rng.u64(..120)));
                    client
                        .get(&Wish {
                            leaves,
                            retries: 0,
                            ..wish
                        })
                        .await;
                    continue;
                }
                one(&client, &tally, &wish).await;
            }
        });
    }
    tally
}

/// The same of either tenant, with a prompt of any size.
fn mixed(world: &World, wish: Wish, rng: &mut Rng) -> Wish {
    let newest = world
        .judge
        .newest()
        .and_then(|s| s.plan.tenants.get(1)?.keys.first().cloned());
    let key = newest.filter(|_| rng.bool()).unwrap_or(wish.key);
    let shared = if rng.u8(..3) == 0 { 1_800 } else { wish.shared };
    Wish {
        key,
        shared,
        ..wish
    }
}

async fn one(client: &Client, tally: &Tally, wish: &Wish) {
    tally.sent.set(tally.sent.get() + 1);
    tally.open.set(tally.open.get() + 1);
    let (sent, served) = tally.late.get();
    tally.late.set((sent + 1, served));
    let came = client.get(wish).await;
    tally.ended(&came);
}
