//! Free addresses and ports under 127.0.0.0/8: one address a machine, the same ports on all of them.
use crate::LabError;
use fastrand::Rng;
use std::net::{IpAddr, SocketAddr, TcpListener};

/// Where everything of one run stands.
#[derive(Clone, Copy, Debug)]
pub struct Ground {
    net: [u8; 2],
    pub front: u16,
    pub readiness: u16,
    pub control: u16,
    pub internal: u16,
    pub server: u16,
}

/// Places that are looked at before giving up.
const LOOKS: usize = 40;
const FIRST_SERVER: usize = 100;

impl Ground {
    /// Nothing listens there now. Two labs that start in the same moment draw apart, as their seeds differ.
    pub fn find(nodes: usize, rng: &mut Rng) -> Result<Ground, LabError> {
        for _ in 0..LOOKS {
            let base = rng.u16(10_000..30_000);
            let ground = Ground {
                net: [rng.u8(16..250), rng.u8(1..250)],
                front: base,
                readiness: base + 1,
                control: base + 2,
                internal: base + 3,
                server: base + 4,
            };
            let ports = [
                ground.front,
                ground.readiness,
                ground.control,
                ground.internal,
                ground.server,
            ];
            let free = |ip: IpAddr| ports.iter().all(|p| TcpListener::bind((ip, *p)).is_ok());
            if (0..nodes).all(|n| free(ground.node(n))) && free(ground.server_at(0).ip()) {
                return Ok(ground);
            }
        }
        Err(LabError::NoGround)
    }

    pub fn node(&self, n: usize) -> IpAddr {
        IpAddr::from([127, self.net[0], self.net[1], 10 + n as u8])
    }

    /// The `n`th server of the run; a replacement has an address of its own.
    pub fn server_at(&self, n: usize) -> SocketAddr {
        let last = (FIRST_SERVER + n).min(254) as u8;
        SocketAddr::new(
            IpAddr::from([127, self.net[0], self.net[1], last]),
            self.server,
        )
    }
}
