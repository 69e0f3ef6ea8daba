//! Clients that send requests continuously, and counts of how these ended.
#![deny(missing_docs)]

use crate::client::{Client, ClientRequest, RequestOutcome};
use crate::plan::Kind;
use crate::world::{World, ZONES, request};
use fastrand::Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Counts of requests by how they ended.
#[derive(Default)]
pub struct Tally {
    /// All that were sent.
    pub sent: Cell<u32>,
    /// Those that got a whole answer.
    pub served: Cell<u32>,
    /// Status of each that was refused.
    pub refused: RefCell<Vec<u16>>,
    /// Those that ended without a whole answer.
    pub failed: Cell<u32>,
    stopped: Cell<bool>,
    open: Cell<u32>,
    /// Sent and served since the last call of [`Tally::count_anew`].
    pub late: Cell<(u32, u32)>,
}

impl Tally {
    /// Stops the clients, and waits for the requests under way.
    pub async fn stop(&self) {
        self.stopped.set(true);
        while self.open.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Part of the requests that was served, 0 to 1.
    pub fn share(&self) -> f64 {
        f64::from(self.served.get()) / f64::from(self.sent.get().max(1))
    }

    /// Sets [`Tally::late`] to 0.
    pub fn count_anew(&self) {
        self.late.set((0, 0));
    }

    fn ended(&self, came: &RequestOutcome) {
        self.open.set(self.open.get() - 1);
        let (sent, served) = self.late.get();
        self.late
            .set((sent, served + u32::from(*came == RequestOutcome::Served)));
        match came {
            RequestOutcome::Served => self.served.set(self.served.get() + 1),
            RequestOutcome::Refused(status) => self.refused.borrow_mut().push(*status),
            RequestOutcome::Failed => self.failed.set(self.failed.get() + 1),
        }
    }
}

/// Which tenants send requests, and with which prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// One tenant, whose key does not change; prompts too small to move their KV cache.
    Plain,
    /// Both tenants, one of them isolated, with their current keys; also large prompts.
    Mixed,
}

/// Starts so many clients, each of which sends a request of any kind about every `pause`.
pub fn begin(world: &Rc<World>, clients: usize, pause: Duration) -> Rc<Tally> {
    begin_as(Manner::Plain, world, clients, pause)
}

/// The same in a given manner.
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
                let request = ClientRequest {
                    zone: ZONES[n % 3].to_owned(),
                    topic: format!("{:08x}", rng.u32(..6)),
                    ..request(kind, word)
                };
                let request = if manner == Manner::Mixed {
                    mixed(&world, request, &mut rng)
                } else {
                    request
                };
                if rng.u8(..40) == 0 {
                    // A client that leaves early is not counted, but its request must not harm others.
                    let leaves = Some(Duration::from_millis(rng.u64(..120)));
                    client
                        .get(&ClientRequest {
                            leaves,
                            retries: 0,
                            ..request
                        })
                        .await;
                    continue;
                }
                send_counted(&client, &tally, &request).await;
            }
        });
    }
    tally
}

/// Changes a request to either tenant and a prompt of any size.
fn mixed(world: &World, request: ClientRequest, rng: &mut Rng) -> ClientRequest {
    let newest = world
        .judge
        .newest()
        .and_then(|s| s.plan.tenants.get(1)?.keys.first().cloned());
    let key = newest.filter(|_| rng.bool()).unwrap_or(request.key);
    let shared = if rng.u8(..3) == 0 {
        1_800
    } else {
        request.shared
    };
    ClientRequest {
        key,
        shared,
        ..request
    }
}

/// Sends a request and counts it.
async fn send_counted(client: &Client, tally: &Tally, request: &ClientRequest) {
    tally.sent.set(tally.sent.get() + 1);
    tally.open.set(tally.open.get() + 1);
    let (sent, served) = tally.late.get();
    tally.late.set((sent + 1, served));
    let came = client.get(request).await;
    tally.ended(&came);
}
