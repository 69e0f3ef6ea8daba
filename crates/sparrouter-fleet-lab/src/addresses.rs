//! Free addresses under 127.0.0.0/8: one for each machine and server, with the same ports on all machines.
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
    /// Port for servers and operators.
    pub control: u16,
    /// Port for other nodes.
    pub internal: u16,
    /// Port of servers.
    pub server: u16,
}

/// How many networks are tried.
const ATTEMPTS: usize = 40;
/// Last byte of the first node's address, and of the first server's.
const FIRST_NODE: u8 = 10;
const FIRST_SERVER: usize = 100;

impl Addresses {
    /// Finds addresses where nothing listens now. Labs that start at the same moment choose different ones by their seeds.
    ///
    /// # Errors
    ///
    /// [`LabError::NoFreeAddresses`] after 40 attempts.
    pub fn find(nodes: usize, rng: &mut Rng) -> Result<Addresses, LabError> {
        for _ in 0..ATTEMPTS {
            let base = rng.u16(10_000..30_000);
            let addresses = Addresses {
                network: [rng.u8(16..250), rng.u8(1..250)],
                front: base,
                readiness: base + 1,
                control: base + 2,
                internal: base + 3,
                server: base + 4,
            };
            let ports = [
                addresses.front,
                addresses.readiness,
                addresses.control,
                addresses.internal,
                addresses.server,
            ];
            let free = |ip: IpAddr| ports.iter().all(|p| TcpListener::bind((ip, *p)).is_ok());
            if (0..nodes).all(|n| free(addresses.node(n))) && free(addresses.server_at(0).ip()) {
                return Ok(addresses);
            }
        }
        Err(LabError::NoFreeAddresses)
    }

    /// Address of the `n`th node.
    pub fn node(&self, n: usize) -> IpAddr {
        IpAddr::from([127, self.network[0], self.network[1], FIRST_NODE + n as u8])
    }

    /// Address of the `n`th server of the run. A replacement gets an address of its own.
    pub fn server_at(&self, n: usize) -> SocketAddr {
        let last = (FIRST_SERVER + n).min(254) as u8;
        SocketAddr::new(
            IpAddr::from([127, self.network[0], self.network[1], last]),
            self.server,
        )
    }
}
