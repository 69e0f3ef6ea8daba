//! Servers of the deployment: new ones, crashes, another start at the same place.
use super::{SERVER, ServerProcess, SimulatedCluster};
use crate::network::interface::NetworkInterface;
use crate::process::SimulatedProcess;
use crate::server::{self, Server};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl SimulatedCluster {
    /// A new server of a service, with a new id.
    pub fn add_server(&self, service: &str, zone: &str) -> String {
        let last = self.next_ip.get();
        self.next_ip.set(last + 1);
        let ip = IpAddr::from([10, 0, 0, last]);
        self.network.add(ip, zone);
        self.host(
            service,
            zone,
            SocketAddr::new(ip, SERVER),
            self.newest_weights.get(),
        )
    }

    /// A server at an address that has been another's.
    pub fn host(&self, service: &str, zone: &str, address: SocketAddr, version: u64) -> String {
        let n = self.next_server.get();
        self.next_server.set(n + 1);
        let id = format!("i-{n:04}");
        let settings = server::ClusterSettings {
            id: id.clone(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: self.settings.slots,
            version,
            heartbeat: self.settings.heartbeat,
            first_heartbeat_after: Duration::from_millis(self.rng.borrow_mut().u64(..600)),
            drain_timeout: self.settings.bounds.drain_timeout,
            work: Duration::from_millis(20),
            gap: Duration::from_millis(10),
            load: self.settings.load,
            control: self.control.clone(),
            block_stores: self.block_stores.clone(),
        };
        let net = NetworkInterface::new(self.network.clone(), address.ip());
        let rng = self.rng.borrow_mut().fork();
        let server = Server::new(settings, net.clone(), self.monitor.clone(), rng);
        let living = server.clone();
        let process = SimulatedProcess::start(async move {
            match net.open(address) {
                Ok(listener) => living.run(listener).await,
                Err(why) => panic!("a stand-in cannot listen at {address}: {why}"),
            }
        });
        self.monitor
            .trace(format!("{id} of {service} starts at {address}"));
        self.servers
            .borrow_mut()
            .insert(id.clone(), ServerProcess { server, process });
        id
    }

    pub fn server(&self, id: &str) -> Rc<Server> {
        self.servers.borrow()[id].server.clone()
    }

    pub fn server_ids(&self) -> Vec<String> {
        self.servers.borrow().keys().cloned().collect()
    }

    pub fn server_runs(&self, id: &str) -> bool {
        self.servers
            .borrow()
            .get(id)
            .is_some_and(|h| !h.process.has_ended())
    }

    /// It says nothing and is gone.
    pub fn crash_server(&self, id: &str) -> SocketAddr {
        self.monitor.trace(format!("{id} crashes"));
        let hosted = self
            .servers
            .borrow_mut()
            .remove(id)
            .expect("a server that runs");
        let address = hosted.server.settings.address;
        self.monitor.momentary_fault(Some(address.ip()));
        drop(hosted.process);
        address
    }

    /// Another start of a server that crashed: same place, new id, the weights that it had.
    pub fn restart_server(&self, of: &Server) -> String {
        let t = &of.settings;
        self.host(&t.service, &t.zone, t.address, of.version())
    }

    pub async fn wait_for_weights(&self, version: u64) {
        let began = Instant::now();
        let has = |id: &String| !self.server_runs(id) || self.server(id).version() >= version;
        while !self.server_ids().iter().all(has) {
            assert!(
                began.elapsed() < Duration::from_secs(60),
                "servers have not taken weights {version}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
}
