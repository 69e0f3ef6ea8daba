//! Free addresses under 127.0.0.0/8: one per machine and server, with the same ports on all machines.
use crate::LabError;
use fastrand::Rng;
use std::net::{IpAddr, SocketAddr, TcpListener};

/// The addresses of one run.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Second and third byte of all addresses.
    network: [u8; 2],
    /// Port for clients.
    pub front: u16,
    /// Port for readiness checks.
    pub readiness: u16,
    /// Control port for model servers and operators.
    pub control: u16,
    /// Port for other nodes.
    pub internal: u16,
    /// Port of model servers.
    pub server: u16,
    /// Port for metrics scrapers.
    pub metrics: u16,
}

/// Maximum number of networks that are tried.
const ATTEMPTS: usize = 40;
/// Last byte of the first node's address.
const FIRST_NODE: u8 = 10;
/// Last byte of the first server's address.
const FIRST_SERVER: usize = 100;

impl Addresses {
    /// Finds addresses on which no process listens. Labs that start at the same time choose different addresses if their
    /// random generators have different seeds.
    ///
    /// # Errors
    ///
    /// [`LabError::NoFreeAddresses`] after 40 attempts.
    pub fn find(nodes: usize, rng: &mut Rng) -> Result<Addresses, LabError> {
        for _ in 0..ATTEMPTS {
            let first_port = rng.u16(10_000..30_000);
            let addresses = Addresses {
                network: [rng.u8(16..250), rng.u8(1..250)],
                front: first_port,
                readiness: first_port + 1,
                control: first_port + 2,
                internal: first_port + 3,
                server: first_port + 4,
                metrics: first_port + 5,
            };
            let ports = [
                addresses.front,
                addresses.readiness,
                addresses.control,
                addresses.internal,
                addresses.server,
                addresses.metrics,
            ];
            let is_free = |ip: IpAddr| ports.iter().all(|p| TcpListener::bind((ip, *p)).is_ok());
            if (0..nodes).all(|n| is_free(addresses.node(n)))
                && is_free(addresses.server_at(0).ip())
            {
                return Ok(addresses);
            }
        }
        Err(LabError::NoFreeAddresses)
    }

    /// Returns the address of the `n`th node.
    pub fn node(&self, n: usize) -> IpAddr {
        IpAddr::from([127, self.network[0], self.network[1], FIRST_NODE + n as u8])
    }

    /// Returns the address of the `n`th server of the run. A replacement server gets a new address.
    pub fn server_at(&self, n: usize) -> SocketAddr {
        let last_byte = (FIRST_SERVER + n).min(254) as u8;
        SocketAddr::new(
            IpAddr::from([127, self.network[0], self.network[1], last_byte]),
            self.server,
        )
    }
}
