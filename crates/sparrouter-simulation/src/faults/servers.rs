//! Faults of servers and stores: crashes, releases, reused addresses, bad answers.
use super::Fault::*;
use super::{Fault, ScenarioRun};
use crate::cluster::{ZONES, kv_store_address};
use crate::server::ServerFaults;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the acknowledgement of a drain is waited for.
const DRAIN_PATIENCE: Duration = Duration::from_secs(3);
/// Time until the address of a crashed server is used again.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);

impl ScenarioRun {
    pub(super) async fn inject_servers(&self, fault: Fault) {
        let cluster = &self.cluster;
        let Some(id) = self.any(&self.servers()) else {
            return;
        };
        let duration = self.span(500..4_000);
        match fault {
            ServerCrash => {
                let server = cluster.server(&id);
                cluster.crash_server(&id);
                sleep(duration).await;
                cluster.restart_server(&server);
            }
            ServerLost => self.lose_server(&id),
            AllServersCrash => self.restart_all_servers().await,
            AddressReused => self.reuse_address(&id).await,
            ServerRollout => self.replace_all_servers().await,
            DrainRace => self.lose_node_that_drained(&id, duration).await,
            StoreLost => {
                if let Some(memory) = cluster.block_stores.borrow().get(&kv_store_address()) {
                    memory.borrow_mut().clear();
                }
            }
            _ => self.answer_badly(fault, &id, duration).await,
        }
    }

    /// Crashes a server for good if its service has more than two.
    fn lose_server(&self, id: &str) {
        let cluster = &self.cluster;
        let service = cluster.server(id).settings.service.clone();
        let servers = self.servers();
        let same = servers
            .iter()
            .filter(|s| cluster.server(s).settings.service == service);
        if same.count() > 2 {
            cluster.crash_server(id);
        }
    }

    async fn restart_all_servers(&self) {
        let cluster = &self.cluster;
        let all: Vec<_> = self.servers().iter().map(|id| cluster.server(id)).collect();
        for server in &all {
            cluster.crash_server(&server.settings.id);
        }
        sleep(self.span(300..1_500)).await;
        for server in &all {
            cluster.restart_server(server);
        }
    }

    /// Crashes a server, and gives its address to one of another service.
    async fn reuse_address(&self, id: &str) {
        let cluster = &self.cluster;
        let server = cluster.server(id);
        let address = cluster.crash_server(id);
        sleep(ADDRESS_REUSE).await;
        cluster.host("others", ZONES[0], address, cluster.newest_weights.get());
        cluster.add_server(&server.settings.service, ZONES[1]);
    }

    async fn replace_all_servers(&self) {
        let cluster = &self.cluster;
        for id in self.servers() {
            if cluster.server_runs(&id) {
                cluster.add_server(&cluster.server(&id).settings.service, ZONES[2]);
            }
            sleep(self.span(300..1_200)).await;
            if cluster.server_runs(&id) {
                cluster.server(&id).duplicate_first_heartbeat.set(true);
                cluster.server(&id).drain();
            }
            sleep(self.span(300..1_200)).await;
        }
    }

    /// Drains a server through a node outside of the core, which loses power right after its acknowledgement.
    async fn lose_node_that_drained(&self, id: &str, duration: Duration) {
        let cluster = &self.cluster;
        let server = cluster.server(id);
        cluster.add_server(&server.settings.service, ZONES[0]);
        // No other node polls this one.
        let edge = self.any(&self.edges());
        server.call_next(edge.map(|n| cluster.control_of(&n)));
        server.drain();
        let began = Instant::now();
        while server.drained_by.get().is_none() && began.elapsed() < DRAIN_PATIENCE {
            sleep(Duration::from_millis(1)).await;
        }
        let acknowledged_by = server.drained_by.get();
        let name = acknowledged_by.and_then(|address| cluster.name_of(address.ip()));
        if let Some(name) = name.filter(|n| self.edges().contains(n)) {
            self.power_off_for(&name, duration).await;
        }
    }

    async fn answer_badly(&self, fault: Fault, id: &str, duration: Duration) {
        let server = self.cluster.server(id);
        self.cluster.monitor.trace(format!("{id} answers badly"));
        let none = ServerFaults::default();
        server.faults.set(match fault {
            ServerResets => ServerFaults {
                resets: 0.2,
                ..none
            },
            MalformedAnswers => ServerFaults {
                garbles: 0.05,
                surplus: 0.3,
                ..none
            },
            UnresponsiveServer => ServerFaults { hangs: 0.1, ..none },
            _ => ServerFaults {
                breaks: 0.3,
                ..none
            },
        });
        sleep(duration).await;
        server.faults.set(ServerFaults::default());
    }
}
