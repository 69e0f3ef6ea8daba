//! Faults of servers and stores: crashes, releases, reused addresses, bad answers.
use super::Fault::*;
use super::{DayRun, Fault};
use crate::server::Faults;
use crate::world::{ZONES, store};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the acknowledgement of a drain is waited for.
const DRAIN_PATIENCE: Duration = Duration::from_secs(3);
/// Time until the address of a crashed server is used again.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);

impl DayRun {
    pub(super) async fn inject_servers(&self, fault: Fault) {
        let world = &self.world;
        let Some(id) = self.any(&self.servers()) else {
            return;
        };
        let duration = self.span(500..4_000);
        match fault {
            ServerCrash => {
                let server = world.server(&id);
                world.crash_server(&id);
                sleep(duration).await;
                world.restart_server(&server);
            }
            ServerLost => self.lose_server(&id),
            AllServersCrash => self.restart_all_servers().await,
            AddressReused => self.reuse_address(&id).await,
            Release => self.replace_all_servers().await,
            DrainRace => self.lose_node_that_drained(&id, duration).await,
            StoreLost => {
                if let Some(memory) = world.memories.borrow().get(&store()) {
                    memory.borrow_mut().clear();
                }
            }
            _ => self.answer_badly(fault, &id, duration).await,
        }
    }

    /// Crashes a server for good if its service has more than two.
    fn lose_server(&self, id: &str) {
        let world = &self.world;
        let service = world.server(id).terms.service.clone();
        let servers = self.servers();
        let same = servers
            .iter()
            .filter(|s| world.server(s).terms.service == service);
        if same.count() > 2 {
            world.crash_server(id);
        }
    }

    async fn restart_all_servers(&self) {
        let world = &self.world;
        let all: Vec<_> = self.servers().iter().map(|id| world.server(id)).collect();
        for server in &all {
            world.crash_server(&server.terms.id);
        }
        sleep(self.span(300..1_500)).await;
        for server in &all {
            world.restart_server(server);
        }
    }

    /// Crashes a server, and gives its address to one of another service.
    async fn reuse_address(&self, id: &str) {
        let world = &self.world;
        let server = world.server(id);
        let address = world.crash_server(id);
        sleep(ADDRESS_REUSE).await;
        world.host("others", ZONES[0], address, world.newest_weights.get());
        world.add_server(&server.terms.service, ZONES[1]);
    }

    async fn replace_all_servers(&self) {
        let world = &self.world;
        for id in self.servers() {
            if world.server_runs(&id) {
                world.add_server(&world.server(&id).terms.service, ZONES[2]);
            }
            sleep(self.span(300..1_200)).await;
            if world.server_runs(&id) {
                world.server(&id).late_beat.set(true);
                world.server(&id).drain();
            }
            sleep(self.span(300..1_200)).await;
        }
    }

    /// Drains a server through a node outside of the core, which loses power right after its acknowledgement.
    async fn lose_node_that_drained(&self, id: &str, duration: Duration) {
        let world = &self.world;
        let server = world.server(id);
        world.add_server(&server.terms.service, ZONES[0]);
        // No other node polls this one.
        let edge = self.any(&self.edges());
        server.call_next(edge.map(|n| world.control_of(&n)));
        server.drain();
        let began = Instant::now();
        while server.drained_by.get().is_none() && began.elapsed() < DRAIN_PATIENCE {
            sleep(Duration::from_millis(1)).await;
        }
        let acknowledged_by = server.drained_by.get();
        let name = acknowledged_by.and_then(|address| world.name_of(address.ip()));
        if let Some(name) = name.filter(|n| self.edges().contains(n)) {
            self.power_off_for(&name, duration).await;
        }
    }

    async fn answer_badly(&self, fault: Fault, id: &str, duration: Duration) {
        let server = self.world.server(id);
        self.world.judge.note(format!("{id} answers badly"));
        let none = Faults::default();
        server.faults.set(match fault {
            AnswersLost => Faults {
                resets: 0.2,
                ..none
            },
            Garbled => Faults {
                garbles: 0.05,
                surplus: 0.3,
                ..none
            },
            Hanging => Faults { hangs: 0.1, ..none },
            _ => Faults {
                breaks: 0.3,
                ..none
            },
        });
        sleep(duration).await;
        server.faults.set(Faults::default());
    }
}
