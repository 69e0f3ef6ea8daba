//! One deployment: machines of the fleet with their disks and processes, servers, clients' platform, the operator.
use crate::client::{Client, Wish};
use crate::fabric::{Cut, Fabric};
use crate::judge::{Bounds, Judge};
use crate::net::MemoryNet;
use crate::operator::Operator;
use crate::plan::{Kind, Plan, Route, Tenant};
use crate::platform::Platform;
use crate::pot::Pot;
use crate::server::{self, Memories, Memory, Server};
use crate::shelf::Shelf;
use fastrand::Rng;
use orchard::boot::Boot;
use orchard::ring::Ring;
use orchard::run::{Order, Role, serve};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep};

/// Ports, alike on all machines.
const FRONT: u16 = 8689;
const READINESS: u16 = 8687;
const CONTROL: u16 = 8683;
const SERVER: u16 = 8080;

/// How large a deployment is.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub seed: u64,
    /// Counted machines, one a zone in turn, and others.
    pub core: usize,
    pub others: usize,
    pub servers: usize,
    pub slots: u32,
    pub heartbeat: Duration,
    pub bounds: Bounds,
    /// One way between zones; half of it within one, in whole ms.
    pub across: Duration,
    /// What a disk takes for a save.
    pub sync: Duration,
}

impl Terms {
    pub fn seeded(seed: u64) -> Terms {
        Terms {
            seed,
            core: 3,
            others: 3,
            servers: 4,
            slots: 16,
            heartbeat: Duration::from_millis(1_200),
            bounds: Bounds::default(),
            across: Duration::from_millis(2),
            sync: Duration::from_millis(2),
        }
    }
}

pub const ZONES: [&str; 3] = ["lalitpur", "bhaktapur", "kirtipur"];
pub const HOST: &str = "rota.example";
pub const KEY: &str = "key-of-kaje";

/// What would go to standard error.
#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Machine {
    ip: IpAddr,
    zone: &'static str,
    counted: bool,
    shelf: Option<Shelf>,
    pot: Option<Pot>,
    orders: Option<UnboundedSender<Order>>,
    ring: Ring,
    written: Written,
    started: bool,
}

struct Hosted {
    server: Rc<Server>,
    pot: Pot,
}

pub struct World {
    pub terms: Terms,
    pub fabric: Rc<Fabric>,
    pub judge: Rc<Judge>,
    pub platform: Rc<Platform>,
    pub operator: Operator,
    machines: RefCell<BTreeMap<String, Machine>>,
    servers: RefCell<BTreeMap<String, Hosted>>,
    /// Addresses that serve control, as the operator's list has them now.
    pub control: Rc<RefCell<Vec<SocketAddr>>>,
    seeds: RefCell<Vec<SocketAddr>>,
    pub memories: Memories,
    pub rng: RefCell<Rng>,
    next_ip: Cell<u8>,
    next_server: Cell<u32>,
    /// Versions of weights that were named: a new server has the newest.
    pub newest_weights: Cell<u64>,
}

fn outside(last: u8) -> IpAddr {
    IpAddr::from([172, 16, 0, last])
}

/// Where the store of kept prompts is.
pub fn store() -> SocketAddr {
    SocketAddr::new(IpAddr::from([10, 0, 0, 9]), 8680)
}

impl World {
    /// Machines that are not started yet, clients, an operator.
    pub fn new(terms: Terms) -> Rc<World> {
        let mut rng = Rng::with_seed(terms.seed);
        let fabric = Fabric::new(rng.fork(), (terms.across / 2).max(Duration::from_millis(1)), terms.across);
        let judge = Rc::new(Judge::new(terms.bounds));
        for last in 1..=3 {
            fabric.add(outside(last), "outside");
        }
        let platform = Platform::new(MemoryNet::new(fabric.clone(), outside(1)));
        let control: Rc<RefCell<Vec<SocketAddr>>> = Rc::default();
        let operator = Operator::new(
            MemoryNet::new(fabric.clone(), outside(2)),
            judge.clone(),
            rng.fork(),
            control.clone(),
        );
        let world = Rc::new(World {
            terms,
            fabric,
            judge,
            platform,
            operator,
            machines: RefCell::default(),
            servers: RefCell::default(),
            control,
            seeds: RefCell::default(),
            memories: Memories::default(),
            rng: RefCell::new(rng),
            next_ip: Cell::new(20),
            next_server: Cell::new(0),
            newest_weights: Cell::new(1),
        });
        world.memories.borrow_mut().insert(store(), Memory::default());
        for n in 0..terms.core {
            world.add_machine(&format!("core-{n}"), ZONES[n % 3], true);
        }
        for n in 0..terms.others {
            world.add_machine(&format!("edge-{n}"), ZONES[n % 3], false);
        }
        let seeds = world.core().iter().take(3).map(|n| SocketAddr::new(world.ip(n), CONTROL)).collect();
        *world.seeds.borrow_mut() = seeds;
        world
    }

    /// A fleet that has formed, has servers and a first configuration.
    pub async fn serving(terms: Terms) -> Rc<World> {
        let world = World::new(terms);
        world.start_all(true).await;
        for n in 0..terms.servers {
            world.add_server("models", ZONES[n % 3]);
        }
        assert_eq!(world.operator.put(&first_plan(), 0).await, 200, "the first configuration is taken");
        world.until_ready().await;
        // Until then the machines were not in touch, as their start counts as trouble.
        sleep(terms.bounds.contact + Duration::from_millis(500)).await;
        world
    }

    fn add_machine(&self, name: &str, zone: &'static str, counted: bool) {
        let last = self.next_ip.get();
        self.next_ip.set(last + 1);
        let ip = IpAddr::from([10, 0, 0, last]);
        self.fabric.add(ip, zone);
        let shelf = counted.then(|| Shelf::new(self.rng.borrow_mut().u64(..), self.terms.sync));
        let written = Written::default();
        let machine = Machine {
            ip,
            zone,
            counted,
            shelf,
            pot: None,
            orders: None,
            ring: Ring::to(written.clone()),
            written,
            started: false,
        };
        self.machines.borrow_mut().insert(name.to_owned(), machine);
        self.control.borrow_mut().push(SocketAddr::new(ip, CONTROL));
        self.platform.add(name, zone, SocketAddr::new(ip, FRONT), SocketAddr::new(ip, READINESS));
    }

    pub fn names(&self) -> Vec<String> {
        self.machines.borrow().keys().cloned().collect()
    }
    pub fn core(&self) -> Vec<String> {
        self.machines.borrow().iter().filter(|m| m.1.counted).map(|m| m.0.clone()).collect()
    }
    pub fn ip(&self, name: &str) -> IpAddr {
        self.machines.borrow()[name].ip
    }
    pub fn control_of(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.ip(name), CONTROL)
    }
    pub fn front_of(&self, name: &str) -> SocketAddr {
        SocketAddr::new(self.ip(name), FRONT)
    }
    pub fn name_of(&self, ip: IpAddr) -> Option<String> {
        self.machines.borrow().iter().find(|m| m.1.ip == ip).map(|m| m.0.clone())
    }
    pub fn shelf(&self, name: &str) -> Shelf {
        self.machines.borrow()[name].shelf.clone().expect("a machine with a disk")
    }
    /// What a machine's process wrote out, as a person would find it.
    pub fn written_by(&self, name: &str) -> String {
        let written = self.machines.borrow()[name].written.0.clone();
        String::from_utf8_lossy(&written.lock().unwrap_or_else(PoisonError::into_inner)).into_owned()
    }
    pub fn runs(&self, name: &str) -> bool {
        self.machines.borrow()[name].pot.as_ref().is_some_and(|p| !p.has_ended())
    }

    fn boot_text(&self, name: &str, first: bool) -> String {
        let machines = self.machines.borrow();
        let m = &machines[name];
        let (ip, b) = (m.ip, &self.terms.bounds);
        let seeds: Vec<String> = self.seeds.borrow().iter().map(ToString::to_string).collect();
        let data = if m.shelf.is_some() { "data_directory=/data/proxy\n" } else { "" };
        let ms = |d: Duration| d.as_millis();
        format!(
            "node_name={name}\nip_address={ip}\nzone={}\nregion=valley\n\
             listen_addresses.front_http={ip}:{FRONT}\nlisten_addresses.readiness={ip}:{READINESS}\n\
             listen_addresses.control_plane={ip}:{CONTROL}\ninternal_port_range=7360,7375\nseed_nodes={}\n\
             first_start={first}\ncounts_toward_quorum={}\nlimits.memory_mb=260\nlimits.max_open_files=4100\n{data}\
             heartbeat_ms={}\nfault_tolerance.machines=1\nbounds.contact_ms={}\nbounds.ack_timeout_ms={}\n\
             bounds.drain_timeout_ms={}\nbounds.grace_period_s={}\nbounds.config_apply_ms={}\n\
             bounds.lease_ms={}\nbounds.thaw_ms={}\nbounds.version_ms={}\nbounds.recovery_s={}\n\
             bounds.retry_budget_ratio={}\nbounds.retry_budget_slack={}\nbounds.budget_window_s={}\n",
            m.zone,
            seeds.join(","),
            m.counted,
            ms(self.terms.heartbeat),
            ms(b.contact),
            ms(b.ack_timeout),
            ms(b.drain_timeout),
            b.grace.as_secs_f64(),
            ms(b.config_apply),
            ms(b.lease),
            ms(b.thaw),
            ms(b.version),
            b.recovery.as_secs_f64(),
            b.budget_ratio,
            b.budget_slack,
            b.budget_window.as_secs_f64()
        )
    }

    /// Starts a process on a machine that has power; `first`: the whole system starts for the first time.
    pub fn start(&self, name: &str, first: bool) {
        let text = self.boot_text(name, first);
        let boot = Boot::parse(Path::new("story"), &text).expect("settings that the page describes");
        let mut rng = self.rng.borrow_mut().fork();
        let net = Rc::new(MemoryNet::new(self.fabric.clone(), self.ip(name)));
        let (give, orders) = unbounded_channel();
        let mut machines = self.machines.borrow_mut();
        let Some(machine) = machines.get_mut(name) else { return };
        let (ring, shelf) = (machine.ring.clone(), machine.shelf.clone());
        let (judge, label, at) = (self.judge.clone(), name.to_owned(), machine.ip);
        machine.pot = Some(Pot::start(async move {
            let open = move |_: Option<&Path>, ring: &Ring, rng: &mut Rng| match &shelf {
                Some(shelf) => shelf.stock(ring, rng),
                None => orchard::disk::Stock::empty(rng),
            };
            let rng = rng.fork();
            if let Err(why) = serve(Role::Proxy, boot, open, ring, net, rng, orders).await {
                judge.breach("FAULT", format!("{label} at {at} did not start: {why}"));
            }
        }));
        machine.orders = Some(give);
        let again = std::mem::replace(&mut machine.started, true);
        let (ip, counted) = (machine.ip, machine.counted);
        drop(machines);
        if again {
            self.platform.reborn(name);
        }
        self.judge.note(format!("{name} starts"));
        self.shake(ip, counted);
        self.judge.calm(Some(ip));
    }

    fn shake(&self, ip: IpAddr, counted: bool) {
        self.judge.shaken(Some(ip));
        if counted {
            self.judge.shaken(None);
        }
    }

    fn trouble(&self, name: &str) {
        let (ip, counted) = {
            let machines = self.machines.borrow();
            (machines[name].ip, machines[name].counted)
        };
        self.judge.trouble(Some(ip));
        if counted {
            self.judge.shaken(None);
        }
    }

    /// Every machine within 0.3 s, in no fixed order.
    pub async fn start_all(&self, first: bool) {
        let mut names = self.names();
        self.rng.borrow_mut().shuffle(&mut names);
        for name in names {
            self.start(&name, first);
            let pause = self.rng.borrow_mut().u64(0..300 / self.machines.borrow().len() as u64);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Until all that run take clients.
    pub async fn until_ready(&self) {
        let began = Instant::now();
        let all = || self.names().into_iter().all(|n| !self.runs(&n) || self.platform.is_in(&n));
        while !all() {
            assert!(began.elapsed() < Duration::from_secs(30), "nodes are not ready: {:?}", self.unready());
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn unready(&self) -> Vec<String> {
        self.names().into_iter().filter(|n| self.runs(n) && !self.platform.is_in(n)).collect()
    }

    /// The process ends between two steps; its machine stays.
    pub fn kill(&self, name: &str) {
        self.judge.note(format!("{name} is killed"));
        self.trouble(name);
        let pot = self.machines.borrow_mut().get_mut(name).and_then(|m| m.pot.take());
        drop(pot);
    }

    /// The machine loses power, and its disk what was not synced.
    pub fn power_off(&self, name: &str) {
        self.judge.note(format!("{name} loses power"));
        self.trouble(name);
        self.fabric.power(self.ip(name), false);
        let pot = self.machines.borrow_mut().get_mut(name).and_then(|m| m.pot.take());
        drop(pot);
        if let Some(shelf) = self.machines.borrow()[name].shelf.as_ref() {
            shelf.files.lose_power();
        }
    }

    /// Power is back, and the process starts.
    pub fn power_on(&self, name: &str) {
        self.fabric.power(self.ip(name), true);
        self.start(name, false);
    }

    /// The disk is replaced by an empty one while no process runs.
    pub fn wipe(&self, name: &str) {
        self.judge.note(format!("the disk of {name} is lost"));
        self.shelf(name).files.wipe();
    }

    pub fn freeze(&self, name: &str, frozen: bool) {
        self.judge.note(format!("{name} {}", if frozen { "freezes" } else { "wakes" }));
        if frozen {
            self.trouble(name);
        }
        let ip = self.ip(name);
        self.fabric.freeze(ip, frozen);
        if let Some(pot) = &self.machines.borrow()[name].pot {
            pot.freeze(frozen);
        }
        if !frozen {
            let counted = self.machines.borrow()[name].counted;
            self.judge.calm(Some(ip));
            self.judge.thawed(ip);
            self.shake(ip, counted);
        }
    }

    /// A machine whose processor hardly gets to it; zero: as it should.
    pub fn slow(&self, name: &str, pace: Duration) {
        self.judge.note(format!("{name} takes {pace:?} for a turn"));
        let (ip, counted) = {
            let machines = self.machines.borrow();
            (machines[name].ip, machines[name].counted)
        };
        let whose = [Some(Some(ip)), counted.then_some(None)].into_iter().flatten();
        whose.for_each(|w| if pace.is_zero() { self.judge.calm(w) } else { self.judge.trouble(w) });
        if let Some(pot) = &self.machines.borrow()[name].pot {
            pot.slow(pace);
        }
    }

    pub fn zone_of(&self, name: &str) -> &'static str {
        self.machines.borrow()[name].zone
    }

    /// A zone's machines and servers cut off from all others, or joined again.
    pub fn cut_zone(&self, zone: &str, cut: Option<Cut>) {
        let names = self.names();
        let inside: Vec<&str> =
            names.iter().map(String::as_str).filter(|n| self.zone_of(n) == zone).collect();
        self.cut_off(&inside, cut);
        for hosted in self.servers.borrow().values() {
            let t = &hosted.server.terms;
            for name in &names {
                if (self.zone_of(name) == zone) != (t.zone == zone) {
                    self.fabric.cut_both(self.ip(name), t.address.ip(), cut);
                }
            }
        }
    }

    /// SIGTERM; the process ends by itself, or is killed after its grace period.
    pub async fn term(&self, name: &str) {
        self.judge.note(format!("{name} is told to end"));
        self.judge.told_to_end(self.ip(name));
        if self.machines.borrow()[name].counted {
            self.judge.shaken(None);
        }
        if let Some(orders) = &self.machines.borrow()[name].orders {
            // One that has ended already needs none.
            let _ = orders.send(Order::Leave);
        }
        let began = Instant::now();
        while self.runs(name) && began.elapsed() < self.terms.bounds.grace {
            sleep(Duration::from_millis(50)).await;
        }
        self.judge.note(format!("{name} has ended: {}", !self.runs(name)));
        self.machines.borrow_mut().get_mut(name).and_then(|m| m.pot.take());
    }

    /// A machine of the core goes for good; an empty one at another address takes its place.
    pub fn replace(&self, name: &str) -> String {
        let zone = self.machines.borrow()[name].zone;
        if self.machines.borrow()[name].pot.is_some() {
            self.power_off(name);
        }
        self.judge.note(format!("{name} is gone for good"));
        self.platform.remove(name);
        let gone = self.control_of(name);
        self.control.borrow_mut().retain(|a| *a != gone);
        self.machines.borrow_mut().remove(name);
        self.judge.calm(Some(gone.ip()));
        let new = format!("core-{}", self.next_ip.get());
        self.add_machine(&new, zone, true);
        self.seeds_anew();
        self.start(&new, false);
        new
    }

    /// The seeds are the first three of the operator's list now; running processes are told.
    pub fn seeds_anew(&self) {
        let seeds: Vec<SocketAddr> = self.core().iter().rev().take(3).map(|n| self.control_of(n)).collect();
        self.exchange_seeds(&seeds);
    }

    pub fn exchange_seeds(&self, seeds: &[SocketAddr]) {
        *self.seeds.borrow_mut() = seeds.to_vec();
        for machine in self.machines.borrow().values() {
            if let Some(orders) = &machine.orders {
                // A process that ended needs none.
                let _ = orders.send(Order::Seeds(seeds.to_vec()));
            }
        }
    }

    /// Cuts machines off from all others of the fleet, or joins them again.
    pub fn cut_off(&self, names: &[&str], cut: Option<Cut>) {
        self.judge.note(format!("{names:?} cut off: {cut:?}"));
        for inside in names {
            for other in self.names().iter().filter(|n| !names.contains(&n.as_str())) {
                self.fabric.cut_both(self.ip(inside), self.ip(other), cut);
            }
            let ip = self.ip(inside);
            match cut {
                Some(_) => self.trouble(inside),
                None => {
                    self.judge.calm(Some(ip));
                    self.judge.thawed(ip);
                    self.shake(ip, self.machines.borrow()[*inside].counted);
                }
            }
        }
    }

    /// A new server of a service, with a new id.
    pub fn add_server(&self, service: &str, zone: &str) -> String {
        let last = self.next_ip.get();
        self.next_ip.set(last + 1);
        let ip = IpAddr::from([10, 0, 0, last]);
        self.fabric.add(ip, zone);
        self.host(service, zone, SocketAddr::new(ip, SERVER), self.newest_weights.get())
    }

    /// A server at an address that has been another's.
    pub fn host(&self, service: &str, zone: &str, address: SocketAddr, version: u64) -> String {
        let n = self.next_server.get();
        self.next_server.set(n + 1);
        let id = format!("i-{n:04}");
        let terms = server::Terms {
            id: id.clone(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: self.terms.slots,
            version,
            heartbeat: self.terms.heartbeat,
            first_beat: Duration::from_millis(self.rng.borrow_mut().u64(..600)),
            drain_timeout: self.terms.bounds.drain_timeout,
            work: Duration::from_millis(20),
            gap: Duration::from_millis(10),
            load: Duration::from_millis(600),
            control: self.control.clone(),
            memories: self.memories.clone(),
        };
        let net = MemoryNet::new(self.fabric.clone(), address.ip());
        let rng = self.rng.borrow_mut().fork();
        let server = Server::new(terms, net.clone(), self.judge.clone(), rng);
        let living = server.clone();
        let pot = Pot::start(async move {
            match net.open(address) {
                Ok(door) => living.live(door).await,
                Err(why) => panic!("a stand-in cannot listen at {address}: {why}"),
            }
        });
        self.judge.note(format!("{id} of {service} starts at {address}"));
        self.servers.borrow_mut().insert(id.clone(), Hosted { server, pot });
        id
    }

    pub fn server(&self, id: &str) -> Rc<Server> {
        self.servers.borrow()[id].server.clone()
    }
    pub fn server_ids(&self) -> Vec<String> {
        self.servers.borrow().keys().cloned().collect()
    }
    pub fn server_runs(&self, id: &str) -> bool {
        self.servers.borrow().get(id).is_some_and(|h| !h.pot.has_ended())
    }

    /// It says nothing and is gone.
    pub fn crash_server(&self, id: &str) -> SocketAddr {
        self.judge.note(format!("{id} crashes"));
        let hosted = self.servers.borrow_mut().remove(id).expect("a server that runs");
        let address = hosted.server.terms.address;
        self.judge.shaken(Some(address.ip()));
        drop(hosted.pot);
        address
    }

    /// Another start of a server that crashed: same place, new id, the weights that it had.
    pub fn restart_server(&self, of: &Server) -> String {
        let t = &of.terms;
        self.host(&t.service, &t.zone, t.address, of.version())
    }

    pub async fn until_servers_have(&self, version: u64) {
        let began = Instant::now();
        let has = |id: &String| !self.server_runs(id) || self.server(id).version() >= version;
        while !self.server_ids().iter().all(has) {
            assert!(began.elapsed() < Duration::from_secs(60), "servers have not taken weights {version}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// A client; `keeps`: whether it uses a connection for many requests.
    pub fn client(&self, keeps: bool) -> Rc<Client> {
        let net = MemoryNet::new(self.fabric.clone(), outside(3));
        let rng = self.rng.borrow_mut().fork();
        Rc::new(Client::new(net, self.judge.clone(), self.platform.clone(), rng, keeps))
    }

    pub fn outside_net(&self) -> MemoryNet {
        MemoryNet::new(self.fabric.clone(), outside(3))
    }
}

/// Four routes, one of each kind, over one service; two tenants, of which one is alone with its memory.
pub fn first_plan() -> Plan {
    let routes = vec![
        Route::new("idem", Kind::Idempotent, "models"),
        Route::new("once", Kind::NonIdempotent, "models"),
        Route::new("stream", Kind::Streaming, "models"),
        Route::new("resume", Kind::Resumable, "models"),
    ];
    let tenant = |name: &str, key: &str, isolated| Tenant {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        isolated,
    };
    Plan {
        version: 1,
        routes,
        services: vec!["models".to_owned(), "others".to_owned()],
        store: Some(store()),
        tenants: vec![tenant("kaje", KEY, false), tenant("mela", "key-of-mela", true)],
    }
}

/// A request on one of the routes of `first_plan`: `word` says what the server answers.
pub fn wish(kind: Kind, word: &str) -> Wish {
    let route = match kind {
        Kind::Idempotent => "idem",
        Kind::NonIdempotent => "once",
        Kind::Streaming => "stream",
        Kind::Resumable => "resume",
    };
    Wish {
        host: HOST.to_owned(),
        path: format!("/{route}/{word}"),
        kind,
        key: KEY.to_owned(),
        zone: ZONES[0].to_owned(),
        deadline: Duration::from_secs(6),
        retries: 1,
        topic: "5c1e07a2".to_owned(),
        leaves: None,
    }
}
