//! The platform in front: asks each node every second whether it is ready, and passes new connections to those that
//! are, those of the client's zone first.
use crate::http_messages;
use crate::net::MemoryNet;
use fastrand::Rng;
use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const EVERY: Duration = Duration::from_secs(1);
/// So many misses take a node out.
const MISSES: u32 = 2;

#[derive(Clone, Debug)]
struct Front {
    name: String,
    zone: String,
    address: SocketAddr,
    readiness: SocketAddr,
    life: u64,
    misses: u32,
    known: bool,
}

pub struct Platform {
    net: MemoryNet,
    fronts: RefCell<Vec<Front>>,
}

impl Platform {
    pub fn new(net: MemoryNet) -> Rc<Platform> {
        let platform = Rc::new(Platform {
            net,
            fronts: RefCell::default(),
        });
        spawn_local(platform.clone().look());
        platform
    }

    pub fn add(&self, name: &str, zone: &str, address: SocketAddr, readiness: SocketAddr) {
        let front = Front {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address,
            readiness,
            life: 0,
            misses: MISSES,
            known: false,
        };
        self.fronts.borrow_mut().push(front);
    }

    pub fn remove(&self, name: &str) {
        self.fronts.borrow_mut().retain(|f| f.name != name);
    }

    /// Another process runs there now.
    pub fn reborn(&self, name: &str) {
        self.fronts
            .borrow_mut()
            .iter_mut()
            .filter(|f| f.name == name)
            .for_each(|f| f.life += 1);
    }

    pub fn life(&self, ip: IpAddr) -> u64 {
        self.fronts
            .borrow()
            .iter()
            .find(|f| f.address.ip() == ip)
            .map_or(0, |f| f.life)
    }

    /// Whether clients are passed to it.
    pub fn is_in(&self, name: &str) -> bool {
        self.fronts
            .borrow()
            .iter()
            .any(|f| f.name == name && f.known && f.misses < MISSES)
    }

    async fn look(self: Rc<Self>) {
        loop {
            let all: Vec<(String, SocketAddr)> = self
                .fronts
                .borrow()
                .iter()
                .map(|f| (f.name.clone(), f.readiness))
                .collect();
            for (name, at) in all {
                let platform = self.clone();
                spawn_local(async move {
                    let call = http_messages::call(
                        &platform.net,
                        at,
                        "GET",
                        "/api/readiness",
                        &[],
                        "",
                        EVERY,
                    );
                    let ready = call.await.is_ok_and(|r| r.status == 200);
                    let mut fronts = platform.fronts.borrow_mut();
                    if let Some(front) = fronts.iter_mut().find(|f| f.name == name) {
                        front.misses = if ready { 0 } else { front.misses + 1 };
                        front.known |= ready;
                    }
                });
            }
            sleep(EVERY).await;
        }
    }

    /// Whom a new connection of a client goes to, and which life of it.
    pub fn pick(&self, zone: &str, rng: &mut Rng) -> Option<(SocketAddr, u64)> {
        let fronts = self.fronts.borrow();
        let is_in = |f: &&Front| f.known && f.misses < MISSES;
        let own: Vec<&Front> = fronts.iter().filter(|f| f.zone == zone).collect();
        let own_in: Vec<&Front> = own.iter().copied().filter(|f| is_in(f)).collect();
        let others: Vec<&Front> = fronts.iter().filter(is_in).collect();
        let from = if own_in.is_empty() && !others.is_empty() {
            others
        } else if own_in.len() * 2 < own.len() {
            own
        } else {
            own_in
        };
        let from = if from.is_empty() {
            fronts.iter().collect()
        } else {
            from
        };
        (!from.is_empty()).then(|| {
            let front = from[rng.usize(..from.len())];
            (front.address, front.life)
        })
    }
}
