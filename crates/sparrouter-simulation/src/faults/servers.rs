//! Troubles of servers and stores: crashes, releases, addresses used again, answers that are lost or none.
use super::Trouble::*;
use super::{Sky, Trouble};
use crate::server::Faults;
use crate::world::{ZONES, store};
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl Sky {
    pub(super) async fn strike_servers(&self, trouble: Trouble) {
        let w = &self.world;
        let Some(id) = self.any(&self.servers()) else {
            return;
        };
        let lasting = self.span(500..4_000);
        let server = w.server(&id);
        match trouble {
            ServerCrash => {
                w.crash_server(&id);
                sleep(lasting).await;
                w.restart_server(&server);
            }
            ServerLost => {
                let service = &server.terms.service;
                let same = self
                    .servers()
                    .iter()
                    .filter(|s| w.server(s).terms.service == *service)
                    .count();
                if same > 2 {
                    w.crash_server(&id);
                }
            }
            AllServersCrash => {
                let all: Vec<_> = self.servers().iter().map(|id| w.server(id)).collect();
                all.iter().for_each(|s| {
                    w.crash_server(&s.terms.id);
                });
                sleep(self.span(300..1_500)).await;
                all.iter().for_each(|s| drop(w.restart_server(s)));
            }
            AddressReused => {
                let address = w.crash_server(&id);
                sleep(Duration::from_secs(2)).await;
                w.host("others", ZONES[0], address, w.newest_weights.get());
                w.add_server(&server.terms.service, ZONES[1]);
            }
            Release => {
                for id in self.servers() {
                    if w.server_runs(&id) {
                        w.add_server(&w.server(&id).terms.service, ZONES[2]);
                    }
                    sleep(self.span(300..1_200)).await;
                    if w.server_runs(&id) {
                        w.server(&id).late_beat.set(true);
                        w.server(&id).drain();
                    }
                    sleep(self.span(300..1_200)).await;
                }
            }
            DrainRace => {
                w.add_server(&server.terms.service, ZONES[0]);
                // Its last call goes to a node that nobody asks for what is new.
                let edge = self.any(&self.edges());
                server.call_next(edge.map(|n| w.control_of(&n)));
                server.drain();
                let began = Instant::now();
                while server.drained_by.get().is_none() && began.elapsed() < Duration::from_secs(3)
                {
                    sleep(Duration::from_millis(1)).await;
                }
                // Whoever acknowledged it is gone the next moment.
                let by = server.drained_by.get().and_then(|a| w.name_of(a.ip()));
                if let Some(name) = by.filter(|n| self.edges().contains(n)) {
                    w.power_off(&name);
                    sleep(lasting).await;
                    w.power_on(&name);
                }
            }
            StoreLost => {
                if let Some(memory) = w.memories.borrow().get(&store()) {
                    memory.borrow_mut().clear();
                }
            }
            _ => {
                w.judge.note(format!("{id} answers badly"));
                let faults = match trouble {
                    AnswersLost => Faults {
                        resets: 0.2,
                        ..Faults::default()
                    },
                    Garbled => Faults {
                        garbles: 0.05,
                        surplus: 0.3,
                        ..Faults::default()
                    },
                    Hanging => Faults {
                        hangs: 0.1,
                        ..Faults::default()
                    },
                    _ => Faults {
                        breaks: 0.3,
                        ..Faults::default()
                    },
                };
                server.faults.set(faults);
                sleep(lasting).await;
                server.faults.set(Faults::default());
            }
        }
    }
}
