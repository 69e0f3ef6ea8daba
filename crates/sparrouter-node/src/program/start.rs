//! From configuration to a serving node, and out again.
use super::config::Config;
use super::reload::{Force, InForce};
use crate::routing::clock::Clock;
use crate::routing::decision::DecisionActor;
use crate::routing::endpoint_list::{self, EndpointListActor};
use crate::routing::{MAILBOX_CAPACITY, Message, peer};
use crate::transport::budget::{self, BodyMemory, DescriptorBudget, IdleConnections};
use crate::transport::client::{ClientContext, ServingStage};
use crate::transport::gossip::GossipSocket;
use crate::transport::listener;
use crate::transport::pool::Pool;
use sparrouter_balancer::gossip::FORMATS;
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::Nanos;
use sparrouter_settings::{NameTable, Settings, SettingsError};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

/// After SIGTERM clients go on opening connections for up to 0.4 s; then those between invocations
/// are closed, and what comes on none of them is somebody else's.
const LEAVING: Duration = Duration::from_millis(450);
/// Before this much is over after that, the node does not go, so that what has just come is answered.
const CLOSING: Duration = Duration::from_millis(150);
/// Whoever tells the node to leave may kill it so long, and the time that it needs to close, after that,
/// however long clients wait.
const KILLED: Duration = Duration::from_secs(3);
const LOOK: Duration = Duration::from_millis(10);
/// Between lines of counts in the log.
const REPORT: Duration = Duration::from_secs(5);
/// An idle link is closed after this part of the time that the other side may keep it.
const IDLE_PART: f64 = 0.7;
/// A call to discovery may take this part of the time after which the module asks again.
const CALL_PART: f64 = 0.9;

/// Runs until told to stop. Errors here are those of a node that can't start.
pub async fn run(config: Config, operator: InForce) -> Result<(), String> {
    // First of all: until its handler stands, SIGHUP would end the node.
    let signals = |e| format!("signals: {e}");
    let mut hangup = signal(SignalKind::hangup()).map_err(signals)?;
    let mut term = signal(SignalKind::terminate()).map_err(signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signals)?;

    let (seed, began) = (config.seed()?, Instant::now());
    let settings = config.settings.clone();
    let named = |e: SettingsError| format!("settings: {e}");
    let policy = settings.policy(seed).map_err(named)?;
    let operations = settings.operations().map_err(named)?;
    let connections = settings.connections().map_err(named)?;
    let ask_every = settings.rules().map_err(named)?.poll_interval;
    let timeouts: Vec<Nanos> = operations.iter().map(|o| o.client_timeout).collect();
    let longest = timeouts.iter().copied().max().filter(|t| *t > 0);
    let longest =
        Duration::from_nanos(longest.ok_or("settings: no operation with a client timeout")?);
    // Where the settings do not say: as long as work may take.
    let or = |given: Nanos, otherwise: Duration| {
        if given > 0 {
            Duration::from_nanos(given)
        } else {
            otherwise
        }
    };
    let shortest = or(
        operations
            .iter()
            .map(|o| o.latency_target)
            .min()
            .unwrap_or(0),
        longest,
    );
    let dial_limit = or(connections.dial, shortest);
    let idle = or(connections.idle, longest);
    let call_limit = or(ask_every / 2, longest).mul_f64(CALL_PART);

    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let datagrams = match config.peer_listen.filter(|_| settings.peers()) {
        None => None,
        Some(at) => Some(
            GossipSocket::bind(at, config.peers.clone())
                .await
                .map_err(|e| format!("datagrams on {at}: {e}"))?,
        ),
    };

    let (mailbox, told) = mpsc::channel::<Message>(MAILBOX_CAPACITY);
    let (clients, most, peers) =
        budget::split(config.limits.sockets, config.limits.memory_mb << 20);
    let pool = Pool::new(peers, idle.mul_f64(IDLE_PART));
    tokio::task::spawn_local(pool.clone().retire());

    let (asks, asked) = mpsc::channel(4);
    let (unasked, rev) = (!settings.list_is_polled(), config.known.rev);
    let (discovery, at) = watch::channel(config.discovery);
    let pace = Rc::new(Cell::new(
        pace(&settings).map_err(|e| format!("settings: {e}"))?,
    ));
    let list = EndpointListActor {
        discovery: at,
        asks: asked,
        module: mailbox.clone(),
        rev,
        dial_limit,
        limit: call_limit,
        heartbeat: endpoint_list::HEARTBEAT,
        unasked,
        pace: pace.clone(),
        rng: fastrand::Rng::with_seed(seed),
    };
    tokio::task::spawn_local(list.run());

    if let Some(datagrams) = &datagrams {
        tokio::task::spawn_local(datagrams.clone().receive(mailbox.clone()));
    }
    let (peer_pool, peer_mailbox) = (pool.clone(), mailbox.clone());
    let room = BodyMemory::of(config.limits.memory_mb << 20);
    let start_peer = Box::new(move |cache, endpoint| {
        let (pool, mailbox) = (peer_pool.clone(), peer_mailbox.clone());
        let limits = peer::Limits {
            dial: dial_limit,
            probe: shortest,
            overlaps: connections.overlaps,
        };
        peer::start(cache, endpoint, pool, mailbox, limits, room.clone())
    });
    let module = DecisionActor::new(
        policy,
        NameTable::new(&settings),
        Clock::new(),
        timeouts,
        start_peer,
        asks,
        datagrams,
    );
    let names = settings.classes.iter().map(|c| c.name.clone());
    let placed: Vec<_> = names.zip(operations.iter().cloned()).enumerate().collect();
    let mut reporter = operator.reporter(&config.name, &pool.opened, began)?;
    reporter
        .iter_mut()
        .for_each(|r| r.place(config.print, &placed));
    log::info!(
        "{} {}, generation {:?}, settings {:016x}, placement {:016x}, notes {FORMATS:?}",
        config.name,
        env!("CARGO_PKG_VERSION"),
        operator.file.identity.generation,
        config.print,
        Policy::placement()
    );
    let module = module.reporting(reporter, settings.origin_kind());
    let module = module.sharing(operator.file.shares.as_ref(), &settings, seed);
    let mut module = tokio::task::spawn_local(module.run(config.known.clone(), told, REPORT));

    let (stage, staged) = watch::channel(ServingStage::Serving);
    let context = Rc::new(ClientContext {
        mailbox: mailbox.clone(),
        stage: staged,
        idlers: IdleConnections::new(config.limits.sockets),
        patience: Cell::new(longest),
        leaves: Cell::new(None),
        next: Cell::new(0),
    });
    tokio::task::spawn_local(listener::accept(
        listener,
        clients.clone(),
        most,
        context.clone(),
    ));
    log::info!("{} ready on {}", config.name, config.listen);

    let mut force = Force {
        config,
        operator,
        opened: pool.opened.clone(),
        began,
        pace: pace.get(),
    };
    loop {
        tokio::select! {
            _ = hangup.recv() => match force.reread() {
                Ok((next, change)) => {
                    let longest = change.operations.iter().map(|o| Duration::from_nanos(o.client_timeout)).max();
                    context.patience.set(context.patience.get().max(longest.unwrap_or_default()));
                    pace.set(next.pace);
                    let _ = mailbox.send(Message::ConfigurationChanged(Box::new(change))).await;
                    let to = next.config.discovery;
                    let moved = discovery.send_if_modified(|at| std::mem::replace(at, to) != *at);
                    force = next;
                    log::info!(
                        "configuration read anew, discovery {}; generation {:?}, settings {:016x}",
                        if moved { "moved" } else { "as before" },
                        force.operator.file.identity.generation,
                        force.config.print
                    );
                }
                Err(error) => log::warn!("new configuration not taken up: {error}"),
            },
            _ = term.recv() => break log::info!("told to stop"),
            _ = interrupt.recv() => break log::info!("interrupted"),
            // Nothing can be answered without it: better to be started anew.
            ended = &mut module => return Err(format!("the module's actor ended: {ended:?}")),
        }
    }
    let longest = context.patience.get();
    context.leaves.set(Some(
        Instant::now() + LEAVING + longest.min(KILLED) + CLOSING,
    ));
    leave(stage, &clients, longest).await;
    Ok(())
}

/// How often a node that keeps a watch by itself asks for a lost one: what drained meanwhile has to be known
/// within the grace that the settings give, of which half is left for the call.
pub fn pace(settings: &Settings) -> Result<Duration, SettingsError> {
    let grace = Duration::from_nanos(settings.drain_grace()?);
    Ok(if grace.is_zero() {
        endpoint_list::HEARTBEAT
    } else {
        (grace / 2).min(endpoint_list::HEARTBEAT)
    })
}

/// All that was taken is answered before the node goes.
async fn leave(stage: watch::Sender<ServingStage>, clients: &DescriptorBudget, longest: Duration) {
    stage.send_replace(ServingStage::Draining);
    sleep(LEAVING).await;
    stage.send_replace(ServingStage::Closing);
    let latest = Instant::now() + longest + CLOSING;
    sleep(CLOSING).await;
    // Looked at twice: whoever connected in the moment of the first look is there at the second.
    let mut quiet = 0;
    while quiet < 2 && Instant::now() < latest {
        quiet = if clients.held() > 0 { 0 } else { quiet + 1 };
        sleep(LOOK).await;
    }
    log::info!("stopped, {} connections left", clients.held());
}
