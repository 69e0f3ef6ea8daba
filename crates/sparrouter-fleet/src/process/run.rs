//! The start of a process, and its signals. The program calls [`run`], which uses the signals and files of the operating
//! system; [`serve`] uses neither, so that the simulation can call it too.
pub use super::error::RunError;
use super::{endpoints, health_checks, maintenance, opening, shutdown, version_ages};
use crate::api::ControlServices;
use crate::control::disk::{self, DiskContents, DiskError};
use crate::control::shard_lease::ShardLease;
use crate::control::{Control, LEASE_SHARDS};
use crate::membership::registry::Registry;
use crate::node::Node;
use crate::platform::defects::rules;
use crate::platform::log_buffer::LogBuffer;
use crate::platform::net::SharedNet;
use crate::prefix_cache::event_follower;
use crate::quota;
use crate::rollout;
use crate::settings::ProcessSettings;
pub use crate::settings::Role;
use endpoints::FirstListeners;
use fastrand::Rng;
use sparrouter_membership::MembershipDelta;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Time between two checks whether the settings file has changed.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// A signal to a running process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Shut down gracefully.
    Leave,
    /// Replace the seeds by these. All other settings are read only at the start.
    Seeds(Vec<SocketAddr>),
}

/// Runs a process of the fleet until SIGTERM.
///
/// # Errors
///
/// A [`RunError`] if the process does not start.
pub async fn run(
    role: Role,
    settings: ProcessSettings,
    log_buffer: LogBuffer,
    net: SharedNet,
    rng: Rng,
) -> Result<(), RunError> {
    let terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let hang_up = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    let (sender, signals) = mpsc::unbounded_channel();
    let watch = SignalWatch {
        terminate,
        hang_up,
        settings_path: settings.path.clone(),
        sender,
    };
    tokio::select! {
        ended = serve(role, settings, disk::open, log_buffer, net, rng, signals) => ended,
        () = watch.forward() => Ok(()),
    }
}

/// Translates signals of the operating system and changes of the settings file into [`ProcessSignal`]s.
struct SignalWatch {
    terminate: tokio::signal::unix::Signal,
    hang_up: tokio::signal::unix::Signal,
    settings_path: PathBuf,
    sender: mpsc::UnboundedSender<ProcessSignal>,
}

impl SignalWatch {
    /// Forwards signals. Never returns, because [`serve`] ends the process.
    async fn forward(mut self) {
        let mut last_modified_at = modified_at(&self.settings_path);
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.hang_up.recv() => self.send_seeds(),
                () = tokio::time::sleep(SETTINGS_INTERVAL) => {
                    // The file may change without a signal.
                    let current = self::modified_at(&self.settings_path);
                    if current != last_modified_at {
                        last_modified_at = current;
                        self.send_seeds();
                    }
                }
            }
        }
        // Sending fails only if the process has already ended.
        let _ = self.sender.send(ProcessSignal::Leave);
        std::future::pending().await
    }

    /// Rereads the settings and sends their seeds.
    fn send_seeds(&self) {
        match ProcessSettings::read(&self.settings_path) {
            Ok(settings) => {
                // Sending fails only if the process has already ended.
                let _ = self.sender.send(ProcessSignal::Seeds(settings.seeds));
            }
            Err(error) => log::warn!("settings stay as they were: {error}"),
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Runs a process until it gets [`ProcessSignal::Leave`], or until the sender of signals is dropped. `open` reads the
/// data directory; it must not block the thread, which answers callers during that time.
///
/// # Errors
///
/// A [`RunError`] if the process does not start.
pub async fn serve(
    role: Role,
    mut settings: ProcessSettings,
    open: impl AsyncFnOnce(Option<&Path>, &LogBuffer, &mut Rng) -> Result<DiskContents, DiskError>,
    log_buffer: LogBuffer,
    net: SharedNet,
    mut rng: Rng,
    mut signals: mpsc::UnboundedReceiver<ProcessSignal>,
) -> Result<(), RunError> {
    let listeners = FirstListeners::open(role, &settings, &*net)?;
    let serves_control = settings.listen.control.is_some();
    let data_directory = settings.data_directory.clone().filter(|_| serves_control);
    let opened = opening::answer_until_open(
        open(data_directory.as_deref(), &log_buffer, &mut rng),
        &listeners,
        &mut signals,
        &log_buffer,
        &mut settings,
    );
    let Some(opened) = opened.await else {
        return Ok(());
    };
    let mut contents = opened?;
    let listeners = listeners.open_others(role, &settings, &*net)?;
    if !rules::wiped_disks_get_new_ids() {
        contents.disk_id = sparrouter_rendezvous::hash(settings.node_name.as_bytes());
    }
    let (grace, contact) = (settings.bounds.grace, settings.bounds.contact);
    let has_control_state =
        serves_control && (settings.counts_toward_quorum || data_directory.is_some());
    // 0 stands for a node without control state.
    let disk_id = contents.disk_id * u64::from(has_control_state);
    let node = Node::new(settings, disk_id, log_buffer, net, rng);
    report_seed_warnings(&node);
    let services = start_node(node.clone(), contents, has_control_state);
    let stage = endpoints::start(&services, listeners);
    spawn_local(maintenance::run(services.clone()));
    spawn_local(health_checks::run(node.clone()));
    spawn_local(event_follower::follow(node.clone()));
    spawn_local(maintenance::report_missing_quorum(node.clone(), contact));
    while let Some(ProcessSignal::Seeds(seeds)) = signals.recv().await {
        if rules::seeds_follow_settings() {
            node.settings.borrow_mut().seeds = seeds;
            report_seed_warnings(&node);
        }
    }
    shutdown::run(&node, services.control.as_ref(), &stage, grace).await;
    Ok(())
}

/// Reports the seeds that the node cannot reach because of its settings: otherwise nothing shows why a fleet never forms.
fn report_seed_warnings(node: &Node) {
    for warning in node.settings.borrow().seed_warnings() {
        node.log_buffer.report_violation(&warning);
    }
}

/// Starts the parts that need no listener: restores the membership and version ages of the last run, and starts the
/// control state, rollouts and quotas.
fn start_node(
    node: Rc<Node>,
    contents: DiskContents,
    has_control_state: bool,
) -> Rc<ControlServices> {
    let membership = contents.rows.as_deref();
    if let Some(delta) = membership.and_then(sparrouter_codec::read::<MembershipDelta>) {
        node.merge_records(delta);
    }
    if let Some(stored) = contents.version_ages.as_deref() {
        version_ages::restore(&node, stored);
    }
    spawn_local(node.clone().run_publication());
    let control = has_control_state.then(|| Control::start(node.clone(), contents));
    if let Some(control) = &control {
        let leases: Vec<Rc<ShardLease>> = (1..=LEASE_SHARDS)
            .map(|shard| ShardLease::new(&node, control, shard))
            .collect();
        rollout::start(&node, control, &leases);
        quota::start(&node, &leases);
    }
    Rc::new(ControlServices {
        node,
        control,
        registry: Registry::default(),
    })
}
