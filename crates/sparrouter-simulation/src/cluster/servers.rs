//! Model servers of the deployment: new ones, crashes, another start at the same address.

use super::{SERVER_PORT, ServerProcess, SimulatedCluster};
use crate::monitor::FaultScope;
use crate::network::interface::NetworkInterface;
use crate::process::SimulatedProcess;
use crate::server::{Server, ServerFaults, ServerSettings};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The first heartbeat comes within so many ms after the start.
const MAX_FIRST_HEARTBEAT_MS: u64 = 600;
const PREFILL_TIME: Duration = Duration::from_millis(20);
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// How long servers may take to load new weights.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(60);
const WEIGHTS_POLL: Duration = Duration::from_millis(50);

impl SimulatedCluster {
    /// A new server of a service, at a new address. Returns its id.
    pub fn add_server(&self, service: &str, zone: &str) -> String {
        let ip = self.next_address();
        self.network.add(ip, zone);
        let address = SocketAddr::new(ip, SERVER_PORT);
        self.start_server(service, zone, address, self.newest_weights.get())
    }

    /// As [`SimulatedCluster::add_server`], but the server sends its first heartbeat at once.
    pub fn add_announced_server(&self, service: &str, zone: &str) -> String {
        let ip = self.next_address();
        self.network.add(ip, zone);
        let address = SocketAddr::new(ip, SERVER_PORT);
        let version = self.newest_weights.get();
        self.start_server_with(service, zone, address, version, Duration::ZERO)
    }

    /// A new server at an address that may have been another's. Returns its id.
    ///
    /// # Panics
    ///
    /// If the address is in use; at its first poll.
    pub fn start_server(
        &self,
        service: &str,
        zone: &str,
        address: SocketAddr,
        version: u64,
    ) -> String {
        let first_heartbeat_ms = self.rng.borrow_mut().u64(..MAX_FIRST_HEARTBEAT_MS);
        let first_heartbeat_after = Duration::from_millis(first_heartbeat_ms);
        self.start_server_with(service, zone, address, version, first_heartbeat_after)
    }

    fn start_server_with(
        &self,
        service: &str,
        zone: &str,
        address: SocketAddr,
        version: u64,
        first_heartbeat_after: Duration,
    ) -> String {
        let number = self.next_server.get();
        self.next_server.set(number + 1);
        let id = format!("i-{number:04}");
        let settings = ServerSettings {
            id: id.clone(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: self.settings.slots,
            version,
            heartbeat: self.settings.heartbeat,
            first_heartbeat_after,
            drain_timeout: self.settings.bounds.drain_timeout,
            prefill_time: PREFILL_TIME,
            token_interval: TOKEN_INTERVAL,
            load_time: self.settings.load_time,
            control: self.control.clone(),
            block_stores: self.block_stores.clone(),
        };
        let network = NetworkInterface::new(self.network.clone(), address.ip());
        let rng = self.rng.borrow_mut().fork();
        let server = Server::new(settings, network.clone(), self.monitor.clone(), rng);
        let running = server.clone();
        let process = SimulatedProcess::start(async move {
            match network.open(address) {
                Ok(listener) => running.run(listener).await,
                Err(error) => panic!("a server cannot listen at {address}: {error}"),
            }
        });
        self.monitor
            .trace(format!("{id} of {service} starts at {address}"));
        self.servers
            .borrow_mut()
            .insert(id.clone(), ServerProcess { server, process });
        id
    }

    /// Lets all servers do this wrong from now on.
    pub fn set_server_faults(&self, faults: ServerFaults) {
        for running in self.servers.borrow().values() {
            running.server.faults.set(faults);
        }
    }

    /// The server with this id.
    pub fn server(&self, id: &str) -> Rc<Server> {
        self.servers.borrow()[id].server.clone()
    }

    /// Ids of all servers that have not crashed.
    pub fn server_ids(&self) -> Vec<String> {
        self.servers.borrow().keys().cloned().collect()
    }

    /// Whether the process of a server runs.
    pub fn server_runs(&self, id: &str) -> bool {
        let servers = self.servers.borrow();
        let server = servers.get(id);
        server.is_some_and(|server| !server.process.has_ended())
    }

    /// Ends a server between two steps, and forgets it. Returns its address.
    ///
    /// # Panics
    ///
    /// If there is no server with this id.
    pub fn crash_server(&self, id: &str) -> SocketAddr {
        self.monitor.trace(format!("{id} crashes"));
        let crashed = self.servers.borrow_mut().remove(id);
        let ServerProcess { server, process } = crashed.expect("a server with this id");
        let address = server.settings.address;
        self.monitor
            .momentary_fault(FaultScope::Machine(address.ip()));
        drop(process);
        address
    }

    /// Another start of a server that crashed: the same address, a new id, the weights that it had.
    pub fn restart_server(&self, crashed: &Server) -> String {
        let settings = &crashed.settings;
        self.start_server(
            &settings.service,
            &settings.zone,
            settings.address,
            crashed.version(),
        )
    }

    /// Waits until all running servers have this version of the weights, or a newer one.
    ///
    /// # Panics
    ///
    /// If that takes longer than 60 s.
    pub async fn wait_for_weights(&self, version: u64) {
        let started_at = Instant::now();
        let has = |id: &String| !self.server_runs(id) || self.server(id).version() >= version;
        while !self.server_ids().iter().all(has) {
            assert!(
                started_at.elapsed() < WEIGHTS_TIMEOUT,
                "servers have not loaded weights {version}"
            );
            sleep(WEIGHTS_POLL).await;
        }
    }
}
