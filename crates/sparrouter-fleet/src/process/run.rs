//! The life of a process: doors open, tasks started, orders heeded, an end without loss. `run` is the program's, with
//! signals and files; `serve` is the same without either, for the in-memory fleet too.
use crate::api::ControlServices;
use crate::api::control as api_control;
use crate::api::endpoint::{self, Matcher};
use crate::api::metrics;
use crate::api::peer::answer;
use crate::control::disk::{self, DiskContents, DiskError};
use crate::control::{self, Control};
use crate::membership::polls;
use crate::membership::registry::Registry;
use crate::node::Node;
use crate::node::shutdown::GracefulShutdown;
use crate::peer::server;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::platform::log_buffer::LogBuffer;
use crate::platform::net::{Listener, Net, SharedNet};
use crate::prefix_cache::event_follower;
use crate::proxy::frontend::{self, Stage};
use crate::rollout;
pub use crate::settings::Role;
use crate::settings::{ProcessSettings, nanos};
use fastrand::Rng;
use nanoserde::SerBin;
use sparrouter_membership::MembershipDelta;
use sparrouter_routing::Nanos;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// How often a leaving process looks whether anything is still at work, and for how many looks in a row nothing may be.
const QUIET_LOOK: Duration = Duration::from_millis(50);
const QUIET_LOOKS: u32 = 6;

/// Descriptors that are left for files and for connections of the process's own; of the rest clients have six tenths.
const FILES_ASIDE: u64 = 300;

#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("cannot listen at {address} ({why}): free the port or change listen_addresses")]
    Listen { address: SocketAddr, why: String },
    #[error("this role needs {0}: use a machine class and serves that give it")]
    Role(&'static str),
    #[error("signals cannot be heeded: {0}")]
    Signals(std::io::Error),
    #[error("the data directory is not touched: {0}")]
    Data(#[from] DiskError),
}

fn listener(net: &dyn Net, address: SocketAddr) -> Result<Box<dyn Listener>, RunError> {
    net.listen(address).map_err(|e| RunError::Listen {
        address,
        why: e.to_string(),
    })
}

/// What a process is told while it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// End, without losing what was taken.
    Leave,
    /// Other machines are the seeds now; the rest of what a process is told holds for its life.
    Seeds(Vec<SocketAddr>),
}

/// The program: runs until a signal says otherwise.
pub async fn run(
    role: Role,
    boot: ProcessSettings,
    log_buffer: LogBuffer,
    net: SharedNet,
    rng: Rng,
) -> Result<(), RunError> {
    let mut term = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut hup = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    let (give, orders) = mpsc::unbounded_channel();
    let path = boot.path.clone();
    let mut changed = modified(&path);
    let heeding = async move {
        loop {
            tokio::select! {
                _ = term.recv() => break,
                _ = hup.recv() => reread(&give, &path),
                () = tokio::time::sleep(Duration::from_secs(1)) => {
                    // The file may change without a signal.
                    let at = modified(&path);
                    if at != changed {
                        changed = at;
                        reread(&give, &path);
                    }
                }
            }
        }
        // One that has ended already needs no order.
        let _ = give.send(ProcessSignal::Leave);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        ended = serve(role, boot, disk::open, log_buffer, net, rng, orders) => ended,
        () = heeding => Ok(()),
    }
}

fn modified(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

fn reread(give: &mpsc::UnboundedSender<ProcessSignal>, path: &Path) {
    match ProcessSettings::read(path) {
        Ok(next) => drop(give.send(ProcessSignal::Seeds(next.seeds))),
        Err(why) => log::warn!("settings left as they were: {why}"),
    }
}

/// The listeners of a process. All are open before anything else is done.
struct Listeners {
    front: Option<Box<dyn Listener>>,
    readiness: Option<Box<dyn Listener>>,
    control: Option<Box<dyn Listener>>,
    internal: Box<dyn Listener>,
}

impl Listeners {
    fn open(role: Role, boot: &ProcessSettings, net: &dyn Net) -> Result<Listeners, RunError> {
        if role == Role::Proxy && boot.listen.front.is_none() {
            return Err(RunError::Role("listen_addresses.front_http"));
        }
        if role == Role::Control && boot.listen.control.is_none() {
            return Err(RunError::Role("listen_addresses.control_plane"));
        }
        let open = |address: Option<SocketAddr>| address.map(|a| listener(net, a)).transpose();
        Ok(Listeners {
            front: open(boot.listen.front.filter(|_| role == Role::Proxy))?,
            readiness: open(boot.listen.readiness)?,
            control: open(boot.listen.control)?,
            internal: listener(net, boot.internal_of(boot.ip))?,
        })
    }
}

/// Serves until told to leave, or until whoever may tell is gone. `open` reads what the data directory holds.
pub async fn serve(
    role: Role,
    boot: ProcessSettings,
    open: impl FnOnce(Option<&Path>, &LogBuffer, &mut Rng) -> Result<DiskContents, DiskError>,
    log_buffer: LogBuffer,
    net: SharedNet,
    mut rng: Rng,
    mut orders: mpsc::UnboundedReceiver<ProcessSignal>,
) -> Result<(), RunError> {
    let listeners = Listeners::open(role, &boot, &*net)?;
    let keeps = boot.listen.control.is_some();
    let data = boot.data_directory.clone().filter(|_| keeps);
    let mut stock = open(data.as_deref(), &log_buffer, &mut rng)?;
    if !rules::wiped_disks_get_new_ids() {
        stock.disk_id = sparrouter_rendezvous::hash(boot.node_name.as_bytes());
    }
    let (grace, contact) = (boot.bounds.grace, boot.bounds.contact);
    let in_core = keeps && (boot.counts_toward_quorum || data.is_some());
    let disk = if in_core { stock.disk_id } else { 0 };
    let node = Node::new(boot, disk, log_buffer, net, rng);
    let services = start_node(node.clone(), stock, in_core);
    let stage = start_endpoints(&services, listeners);
    spawn_local(maintain(services.clone()));
    spawn_local(probe(node.clone()));
    spawn_local(event_follower::follow(node.clone()));
    spawn_local(report_no_quorum(node.clone(), contact));
    while let Some(ProcessSignal::Seeds(seeds)) = orders.recv().await {
        if rules::seeds_follow_settings() {
            node.settings.borrow_mut().seeds = seeds;
        }
    }
    leave(&node, services.control.as_ref(), &stage, grace).await;
    Ok(())
}

/// Starts what needs no listener: the rows of the last life, the control state, rollouts.
fn start_node(node: Rc<Node>, stock: DiskContents, in_core: bool) -> Rc<ControlServices> {
    let rows = stock.rows.as_deref();
    if let Some(rows) = rows.and_then(sparrouter_codec::read::<MembershipDelta>) {
        node.merge_records(rows);
    }
    spawn_local(node.clone().carry_out());
    let control = in_core.then(|| Control::start(node.clone(), stock));
    if let Some(control) = &control {
        rollout::start(&node, control);
    }
    Rc::new(ControlServices {
        node,
        control,
        registry: Registry::default(),
    })
}

/// Starts the polls of sources and what answers on each listener. Returns what tells the front's stage.
fn start_endpoints(services: &Rc<ControlServices>, listeners: Listeners) -> watch::Sender<Stage> {
    let node = &services.node;
    let answering = services.clone();
    spawn_local(server::serve(listeners.internal, move |peer, call| {
        answer(answering.clone(), peer, call)
    }));
    polls::start(node, services.control.is_some());
    let is_founder = {
        let boot = node.settings.borrow();
        boot.first_start && boot.seeds.first().is_none_or(|s| s.ip() == boot.ip)
    };
    if is_founder {
        spawn_local(control::bootstrap(node.clone()));
    }
    if let Some(listener) = listeners.control {
        let tree = Rc::new(api_control::tree(services));
        spawn_local(endpoint::listen(listener, tree));
    }
    if let Some(listener) = listeners.readiness {
        let tree = Rc::new(readiness_tree(node.clone()));
        spawn_local(endpoint::listen(listener, tree));
    }
    tell_figures(services);
    let (stage, staged) = watch::channel(Stage::Serving);
    if let Some(listener) = listeners.front {
        let open_files = node.settings.borrow().open_files;
        let most = (open_files.saturating_sub(FILES_ASIDE) * 6 / 10) as usize;
        spawn_local(frontend::listen(node.clone(), listener, staged, most));
    }
    stage
}

fn readiness_tree(node: Rc<Node>) -> Matcher {
    Matcher::default().on("GET", "/api/readiness", move |_, _| {
        let ready = is_ready(&node);
        async move {
            if ready {
                Response::plain(200, "ready")
            } else {
                Response::plain(503, "not ready")
            }
        }
    })
}

/// Serves the figures of this process where a port for them is set. A port that is taken leaves the process without them.
fn tell_figures(services: &Rc<ControlServices>) {
    let node = &services.node;
    let Some(address) = node.settings.borrow().listen.metrics else {
        return;
    };
    let listener = match node.net.listen(address) {
        Ok(listener) => listener,
        Err(why) => {
            log::warn!("no figures are told at {address} ({why}): choose another --metrics-port");
            return;
        }
    };
    let services = services.clone();
    let figures = Matcher::default().on("GET", "/metrics", move |_, _| {
        let page = metrics::show(&services.node, services.control.as_ref());
        async move { Response::plain(200, page) }
    });
    spawn_local(endpoint::listen(listener, Rc::new(figures)));
}

/// Readiness first; all that was taken is answered and the control state handed over; resting connections go last.
async fn leave(
    node: &Rc<Node>,
    control: Option<&Rc<Control>>,
    stage: &watch::Sender<Stage>,
    grace: Duration,
) {
    let departure = GracefulShutdown::new(Instant::now(), grace);
    node.shutdown.set(Some(departure));
    stage.send_replace(Stage::Leaving);
    node.announce_leaving();
    if let Some(control) = control {
        spawn_local(control.clone().hand_over());
    }
    tokio::time::sleep_until(departure.notice_ends()).await;
    stage.send_replace(Stage::Closing);
    let mut quiet = 0;
    while Instant::now() < departure.process_ends() {
        tokio::time::sleep(QUIET_LOOK.min(departure.process_ends() - Instant::now())).await;
        let is_done =
            node.traffic.open_requests() == 0 && control.is_none_or(|c| c.is_handed_over());
        quiet = if is_done { quiet + 1 } else { 0 };
        if quiet >= QUIET_LOOKS {
            return;
        }
    }
    if node.traffic.open_requests() > 0 {
        node.log_buffer.breach(&format!(
            "{} requests were still open at the end of the grace period",
            node.traffic.open_requests()
        ));
    }
    let held_back = control
        .map(|c| c.shards_not_handed_over())
        .unwrap_or_default();
    if !held_back.is_empty() {
        node.log_buffer.breach(&format!(
            "not handed over at the end of the grace period: {}; keep this machine's disk until the others form a quorum",
            held_back.join(", ")
        ));
    }
}

fn is_ready(node: &Node) -> bool {
    let leaving = node.is_leaving() && rules::leaving_nodes_are_not_ready();
    node.is_confirmed() && !leaving && node.active_configuration().table.is_some()
}

/// Says so where this process has found no quorum since it started. It is not ready then, because the configuration
/// that it was told may be an old one, but it serves by that configuration what clients send it all the same.
async fn report_no_quorum(node: Rc<Node>, contact: Duration) {
    tokio::time::sleep(contact).await;
    if !node.fleet_contact.is_informed() && node.active_configuration().table.is_some() {
        node.log_buffer.breach(
            "no quorum of the control state is heard of since the start: not ready, the configuration here may be old",
        );
        if !rules::readiness_needs_quorum() {
            node.fleet_contact.mark_informed();
        }
    }
}

/// Small duties: silent servers and nodes, tombstones, rows kept for the next start.
async fn maintain(services: Rc<ControlServices>) {
    let mut kept = 0;
    let mut rounds = 0u32;
    // Since when this member has been without the quorum contact that it had.
    let mut lost: Option<Nanos> = None;
    let (mut had, mut quorum_contact) = (false, false);
    loop {
        tokio::time::sleep(services.node.jitter(Duration::from_millis(250))).await;
        rounds += 1;
        let node = &services.node;
        services
            .registry
            .check_liveness(node, services.control.is_some());
        let now = node.now();
        if let Some(control) = &services.control {
            control.mark_unresponsive_pollers();
            if quorum_contact != control.has_quorum_contact() {
                // Nodes that poll this one want to know.
                quorum_contact = !quorum_contact;
                node.notify_subscribers();
            }
            if quorum_contact {
                (had, lost) = (true, None);
            } else if had {
                let since = *lost.get_or_insert(now);
                if now.saturating_sub(since) > nanos(node.settings.borrow().bounds.contact) {
                    had = false;
                    node.log_buffer.breach("the quorum of the control state is lost here: bring back its members, with their disks");
                }
            }
            let revision = node.membership.borrow().revision();
            if rounds.is_multiple_of(4) && revision != kept {
                kept = revision;
                control.write_membership(
                    node.membership
                        .borrow()
                        .delta_since(0, 0, usize::MAX)
                        .serialize_bin(),
                );
            }
        }
        if rounds.is_multiple_of(16) {
            node.membership.borrow_mut().drop_expired(now);
            // What changed without a word to others goes out by now, and words on servers run out.
            node.publish_changes();
        }
    }
}

/// Tries servers that could not be reached, until one connection comes up.
async fn probe(node: Rc<Node>) {
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now = node.now();
        let due = node.server_table.borrow_mut().due_health_checks(now);
        for ix in due {
            let Some(address) = node.server_table.borrow().get(ix).map(|s| s.address) else {
                continue;
            };
            let node = node.clone();
            spawn_local(async move {
                let dialled = timeout(Duration::from_millis(500), node.net.dial(address)).await;
                let same = node
                    .server_table
                    .borrow()
                    .get(ix)
                    .is_some_and(|s| s.address == address);
                if matches!(dialled, Ok(Ok(_))) && same {
                    node.server_table.borrow_mut().mark_reachable(ix);
                }
            });
        }
    }
}
