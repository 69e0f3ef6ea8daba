//! The listeners of a process, and the tasks that serve them.
use crate::api::ControlServices;
use crate::api::control as control_api;
use crate::api::endpoint::{self, Matcher};
use crate::api::{metrics, peer, readiness_tree};
use crate::control;
use crate::membership::polls;
use crate::peer::server;
use crate::platform::http::Response;
use crate::platform::net::{Listener, Net};
use crate::process::error::RunError;
use crate::proxy::frontend::{self, Stage};
use crate::settings::{ProcessSettings, Role};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// File descriptors that are reserved for files and for the process's own connections.
const RESERVED_DESCRIPTORS: u64 = 300;
/// Fraction of the remaining file descriptors that client connections may use.
const CLIENT_PART_NUMERATOR: u64 = 6;
const CLIENT_PART_DENOMINATOR: u64 = 10;

/// The listeners that are opened before all other work of the start. If the process has a data directory, the control
/// listener also locks it: a second process with the same settings cannot open the same address.
pub(super) struct FirstListeners {
    pub(super) readiness: Option<Box<dyn Listener>>,
    pub(super) control: Option<Box<dyn Listener>>,
}

/// All listeners of a process.
pub(super) struct Listeners {
    first: FirstListeners,
    front: Option<Box<dyn Listener>>,
    internal: Box<dyn Listener>,
}

impl FirstListeners {
    /// Opens the readiness and control listeners that the settings name.
    pub(super) fn open(
        role: Role,
        settings: &ProcessSettings,
        net: &dyn Net,
    ) -> Result<FirstListeners, RunError> {
        let addresses = &settings.listen;
        if role == Role::Proxy && addresses.front.is_none() {
            return Err(RunError::Role("listen_addresses.front_http"));
        }
        if role == Role::Control && addresses.control.is_none() {
            return Err(RunError::Role("listen_addresses.control_plane"));
        }
        let open = |address: Option<SocketAddr>| address.map(|a| listen(net, a)).transpose();
        Ok(FirstListeners {
            readiness: open(addresses.readiness)?,
            control: open(addresses.control)?,
        })
    }

    /// Opens the listeners for clients and for other nodes. Until then their connections are refused, so that they try
    /// another node at once.
    pub(super) fn open_others(
        self,
        role: Role,
        settings: &ProcessSettings,
        net: &dyn Net,
    ) -> Result<Listeners, RunError> {
        let front = settings.listen.front.filter(|_| role == Role::Proxy);
        Ok(Listeners {
            first: self,
            front: front.map(|address| listen(net, address)).transpose()?,
            internal: listen_for_nodes(net, settings.internal_of(settings.ip))?,
        })
    }
}

fn listen(net: &dyn Net, address: SocketAddr) -> Result<Box<dyn Listener>, RunError> {
    net.listen(address)
        .map_err(|source| RunError::Listen { address, source })
}

fn listen_for_nodes(net: &dyn Net, address: SocketAddr) -> Result<Box<dyn Listener>, RunError> {
    net.listen_for_nodes(address)
        .map_err(|source| RunError::Listen { address, source })
}

/// Starts polling other nodes, and a task for each listener. Returns the sender that announces the stages of a shutdown
/// to the frontend.
pub(super) fn start(services: &Rc<ControlServices>, listeners: Listeners) -> watch::Sender<Stage> {
    let node = &services.node;
    let peer_services = services.clone();
    spawn_local(server::serve(listeners.internal, move |_, call| {
        peer::answer(peer_services.clone(), call)
    }));
    polls::start(node, services.control.is_some());
    spawn_local(control::bootstrap(node.clone(), services.control.clone()));
    if let Some(listener) = listeners.first.control {
        let tree = Rc::new(control_api::tree(services));
        spawn_local(endpoint::listen(
            listener,
            tree,
            node.memory.control.clone(),
        ));
    }
    if let Some(listener) = listeners.first.readiness {
        let tree = Rc::new(readiness_tree(node.clone()));
        spawn_local(endpoint::listen(
            listener,
            tree,
            node.memory.control.clone(),
        ));
    }
    serve_metrics(services);
    let (stage, stages) = watch::channel(Stage::Serving);
    if let Some(listener) = listeners.front {
        let max_connections = max_client_connections(node.settings.borrow().open_files);
        let serving = frontend::listen(node.clone(), listener, stages, max_connections);
        spawn_local(serving);
    }
    stage
}

fn max_client_connections(open_files: u64) -> usize {
    let available = open_files.saturating_sub(RESERVED_DESCRIPTORS);
    (available * CLIENT_PART_NUMERATOR / CLIENT_PART_DENOMINATOR) as usize
}

/// Serves the metrics of this process if a metrics port is set. If the port is in use, the process runs without metrics.
fn serve_metrics(services: &Rc<ControlServices>) {
    let node = &services.node;
    let Some(address) = node.settings.borrow().listen.metrics else {
        return;
    };
    let listener = match node.net.listen(address) {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(
                "metrics are not served, choose another --metrics-port: address={address}: {error}"
            );
            return;
        }
    };
    let memory = node.memory.control.clone();
    let services = services.clone();
    let tree = Matcher::default().on("GET", "/metrics", move |_, _| {
        let page = metrics::show(&services.node, services.control.as_deref());
        async move { Response::plain(200, page) }
    });
    spawn_local(endpoint::listen(listener, Rc::new(tree), memory));
}
