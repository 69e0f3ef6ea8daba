//! The cores of a server, its queue for them, and what happens when it is sent too much.
use super::super::model::{warmth, work};
use super::connection::closed;
use super::{Role, Server};
use crate::Nanos;
use crate::http::Message;
use crate::ledger::Record;
use crate::scenario::arrivals::operation_of;
use bytes::BytesMut;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Work of a miss as a part of that of a hit.
pub(super) const MISS_WORK_RATIO: f64 = 0.1;

/// The right to one core, handed to the next forward in the queue when dropped.
pub(super) struct Core(Arc<Server>);

impl Drop for Core {
    fn drop(&mut self) {
        let server = self.0.clone();
        let next = |server: &Server| server.state().queue.pop_front();
        while let Some(waiter) = next(&server) {
            match waiter.send(Core(server.clone())) {
                Ok(()) => return,
                // The waiter has left; this core is still here to be handed on, and must not be dropped twice.
                Err(core) => std::mem::forget(core),
            }
        }
        let mut state = server.state();
        state.busy = state.busy.saturating_sub(1);
    }
}

/// What a server has for one more forward.
enum Place {
    Core(Core),
    Queued(oneshot::Receiver<Core>),
    Full,
}

/// How the work of one forward ended.
pub(super) enum WorkOutcome {
    Done,
    /// The queue is full: the work never began.
    Full,
    /// The node closed its connection first.
    Withdrawn,
}

impl Server {
    /// In core seconds of the yardstick; for the origin, in forwards.
    pub(super) fn offered_work(&self, message: &Message, id: u64) -> f64 {
        if self.role == Role::Origin {
            return 1.0;
        }
        let part = if message.writes() {
            MISS_WORK_RATIO
        } else {
            1.0
        };
        part * work(id, self.mean_work(id))
    }

    /// Mean work of an invocation's operation, in seconds of a core of speed 1.
    pub(super) fn mean_work(&self, id: u64) -> f64 {
        let ops = &self.lab.scenario.operation;
        let mean = ops
            .get(usize::from(operation_of(id)))
            .map_or(0.0, |o| o.work_ms / 1e3);
        match self.role {
            Role::Cache => mean,
            Role::Origin => self.cores as f64 / self.lab.scenario.origin.per_s,
        }
    }

    fn take_core(self: &Arc<Self>) -> Place {
        let mut state = self.state();
        if state.busy < self.cores {
            state.busy += 1;
            return Place::Core(Core(self.clone()));
        }
        if state.queue.len() >= self.queue_capacity {
            return Place::Full;
        }
        let (waiter, turn) = oneshot::channel();
        state.queue.push_back(waiter);
        Place::Queued(turn)
    }

    /// Takes one core's time, in line where all are busy. `stream` tells when the node goes away.
    pub(super) async fn work(
        self: &Arc<Self>,
        seconds: f64,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> WorkOutcome {
        let place = match self.take_core() {
            Place::Full => return WorkOutcome::Full,
            Place::Core(core) => Ok(core),
            Place::Queued(turn) => Err(turn),
        };
        let drops = self.lab.scenario.caches.drops_withdrawn;
        let core = match place {
            Ok(core) => core,
            Err(mut turn) => tokio::select! {
                biased;
                core = &mut turn => match core {
                    Ok(core) => core,
                    Err(_) => return WorkOutcome::Withdrawn,
                },
                () = closed(stream, buffer), if drops => return WorkOutcome::Withdrawn,
            },
        };
        // Work that has begun goes on, also where nobody waits for it any more.
        let mut left = false;
        tokio::select! {
            biased;
            () = sleep(Duration::from_secs_f64(seconds)) => {}
            () = closed(stream, buffer) => left = true,
        }
        if left {
            let server = self.clone();
            spawn_local(async move {
                sleep(Duration::from_secs_f64(seconds / 2.0)).await;
                drop((core, server));
            });
            return WorkOutcome::Withdrawn;
        }
        drop(core);
        WorkOutcome::Done
    }

    /// Pushed over by too much work within the window. True where it just fell.
    pub(super) fn overloads(&self, work: f64, now: Nanos) -> bool {
        let s = &self.lab.scenario;
        let (window, multiple) = match self.role {
            Role::Cache => (s.rules.fall_s, s.rules.fall_multiple),
            Role::Origin => (s.rules.fall_s, s.origin.stops_at),
        };
        let mut state = self.state();
        if multiple <= 0.0 || state.started.is_none() && self.role == Role::Cache {
            return false;
        }
        let (warmth, sum) = (
            warmth(state.started, s.caches.cold_from, s.caches.cold_s, now),
            state.recent_work.add(work, now),
        );
        if warmth >= 1.0 && self.role == Role::Cache {
            state.started = None;
            return false;
        }
        let capacity = match self.role {
            Role::Cache => self.cores as f64 * self.speed * warmth * window,
            Role::Origin => s.origin.per_s * window,
        };
        sum > multiple * capacity
    }

    /// A cache server dies for good; the origin starts again after a while.
    pub(super) fn fail_overloaded(self: &Arc<Self>, now: Nanos) {
        match self.role {
            Role::Cache => {
                self.state().fallen = true;
                self.lab.record(Record::CacheFell {
                    at: now,
                    cache: self.number,
                    cold: true,
                });
                self.die();
            }
            Role::Origin => {
                self.lab.record(Record::OriginStopped { at: now });
                let (server, stopped) = (self.clone(), self.lab.scenario.origin.stopped_s);
                self.die();
                self.lab.workers.run(move || async move {
                    sleep(Duration::from_secs_f64(stopped)).await;
                    server.start(false);
                });
            }
        }
    }
}
