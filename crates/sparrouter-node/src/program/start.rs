//! Starts a node from its configuration files.
use super::config::Config;
use super::error::NodeError;
use super::reload::{ActiveConfiguration, ActiveOperatorConfig};
use super::reporter::{OperationRules, ProcessCounts};
use super::serve::{self, RunningNode, Signals};
use crate::routing::clock::Clock;
use crate::routing::decision::{DecisionActor, Parameters, PeerStarter};
use crate::routing::endpoint_list::{self, EndpointListActor, ListRequest};
use crate::routing::{MAILBOX_CAPACITY, Message, peer};
use crate::transport::budget::{self, BodyMemory, DescriptorSplit};
use crate::transport::client::{ClientContext, ServingStage};
use crate::transport::gossip::GossipSocket;
use crate::transport::idle::IdleConnections;
use crate::transport::listener;
use crate::transport::pool::Pool;
use sparrouter_balancer::gossip::FORMATS;
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::{Nanos, Operation};
use sparrouter_settings::{NameTable, Settings};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Interval between lines of counts in the log.
const COUNTS_INTERVAL: Duration = Duration::from_secs(5);
/// An idle connection to a peer is closed after this fraction of the peer's own idle timeout.
const IDLE_FRACTION: f64 = 0.7;
/// Timeout of a call to discovery, as a fraction of the time after which the policy requests the next call.
const CALL_FRACTION: f64 = 0.9;
/// Capacity of the endpoint list actor's mailbox; it needs one place for each kind of request.
const LIST_MAILBOX_CAPACITY: usize = 4;

/// Runs until the node is stopped.
///
/// # Errors
///
/// The node cannot start, or its decision actor ended.
pub async fn run(config: Config, operator: ActiveOperatorConfig) -> Result<(), NodeError> {
    // Install the signal handlers first: without a handler SIGHUP ends the process.
    let signals = Signals::install()?;
    let seed = config.seed()?;
    let started_at = Instant::now();
    let plan = Plan::new(&config.settings, seed)?;
    let sockets = Sockets::bind(&config).await?;
    let node = start_actors(config, operator, plan, sockets, started_at)?;
    serve::run(node, signals).await
}

/// Values that are derived from the settings.
struct Plan {
    seed: u64,
    policy: Policy,
    operations: Vec<Operation>,
    /// The longest client timeout.
    max_timeout: Duration,
    /// Limits of a peer's actor.
    peer_limits: peer::PeerLimits,
    /// Idle timeout of a connection to a peer.
    max_idle: Duration,
    /// Timeout of a call to discovery.
    call_timeout: Duration,
}

impl Plan {
    fn new(settings: &Settings, seed: u64) -> Result<Plan, NodeError> {
        let policy = settings.policy(seed)?;
        let operations = settings.operations()?;
        let connections = settings.connections()?;
        let poll_interval = settings.rules()?.poll_interval;
        let longest = operations.iter().map(|o| o.client_timeout).max();
        let longest = longest.filter(|timeout| *timeout > 0);
        let max_timeout = Duration::from_nanos(longest.ok_or(NodeError::NoClientTimeout)?);
        let shortest_target = operations.iter().map(|o| o.latency_target).min();
        // Without a latency target in the settings, the longest client timeout applies.
        let shortest = duration_or(shortest_target.unwrap_or(0), max_timeout);
        Ok(Plan {
            seed,
            policy,
            operations,
            max_timeout,
            peer_limits: peer::PeerLimits {
                connect_timeout: duration_or(connections.dial, shortest),
                health_check_timeout: shortest,
                allows_hedging: connections.overlaps,
            },
            max_idle: duration_or(connections.idle, max_timeout).mul_f64(IDLE_FRACTION),
            call_timeout: duration_or(poll_interval / 2, max_timeout).mul_f64(CALL_FRACTION),
        })
    }
}

fn duration_or(nanos: Nanos, default: Duration) -> Duration {
    if nanos > 0 {
        Duration::from_nanos(nanos)
    } else {
        default
    }
}

/// The sockets on which the node listens.
struct Sockets {
    listener: TcpListener,
    gossip: Option<Rc<GossipSocket>>,
}

impl Sockets {
    async fn bind(config: &Config) -> Result<Sockets, NodeError> {
        let listener =
            TcpListener::bind(config.listen)
                .await
                .map_err(|error| NodeError::Listen {
                    address: config.listen,
                    error,
                })?;
        let gossip = match config.peer_listen.filter(|_| config.settings.peers()) {
            None => None,
            Some(address) => Some(
                GossipSocket::bind(address, config.peers.clone())
                    .await
                    .map_err(|error| NodeError::Gossip { address, error })?,
            ),
        };
        Ok(Sockets { listener, gossip })
    }
}

/// Starts all actors and tasks. The client listener starts last.
fn start_actors(
    config: Config,
    operator: ActiveOperatorConfig,
    plan: Plan,
    sockets: Sockets,
    started_at: Instant,
) -> Result<RunningNode, NodeError> {
    let (mailbox, messages) = mpsc::channel::<Message>(MAILBOX_CAPACITY);
    let split = budget::split(config.limits.sockets, config.limits.memory());
    let pool = Pool::new(split.peers.clone(), plan.max_idle);
    tokio::task::spawn_local(pool.clone().retire());
    let max_timeout = plan.max_timeout;

    let (discovery, address) = watch::channel(config.discovery);
    let retry_interval = Rc::new(Cell::new(config.retry_interval()?));
    let list = start_list_actor(&config, &plan, address, &mailbox, &retry_interval);
    if let Some(gossip) = &sockets.gossip {
        tokio::task::spawn_local(gossip.clone().receive(mailbox.clone()));
    }
    let process_counts = ProcessCounts::new(&pool, started_at);
    let channels = DecisionChannels {
        start_peer: peer_starter(pool, &mailbox, &plan, &config),
        list,
        gossip: sockets.gossip,
    };
    let actor = decision_actor(&config, &operator, &process_counts, plan, channels)?;
    let decision_task =
        tokio::task::spawn_local(actor.run(config.known.clone(), messages, COUNTS_INTERVAL));

    let (stage, context) = start_listener(&config, sockets.listener, &split, &mailbox, max_timeout);
    log::info!("{} ready on {}", config.name, config.listen);
    let active = ActiveConfiguration {
        config,
        operator,
        process_counts,
        retry_interval: retry_interval.get(),
    };
    Ok(RunningNode {
        active,
        mailbox,
        discovery,
        retry_interval,
        decision_task,
        stage,
        context,
        clients: split.clients,
    })
}

fn start_list_actor(
    config: &Config,
    plan: &Plan,
    discovery: watch::Receiver<SocketAddr>,
    mailbox: &mpsc::Sender<Message>,
    retry_interval: &Rc<Cell<Duration>>,
) -> mpsc::Sender<ListRequest> {
    let (list, requests) = mpsc::channel(LIST_MAILBOX_CAPACITY);
    let actor = EndpointListActor {
        discovery,
        requests,
        decisions: mailbox.clone(),
        rev: config.known.rev,
        connect_timeout: plan.peer_limits.connect_timeout,
        call_timeout: plan.call_timeout,
        heartbeat: endpoint_list::HEARTBEAT,
        is_pushed: !config.settings.list_is_polled(),
        retry_interval: retry_interval.clone(),
        rng: fastrand::Rng::with_seed(plan.seed),
    };
    tokio::task::spawn_local(actor.run());
    list
}

fn peer_starter(
    pool: Rc<Pool>,
    mailbox: &mpsc::Sender<Message>,
    plan: &Plan,
    config: &Config,
) -> PeerStarter {
    let (mailbox, limits) = (mailbox.clone(), plan.peer_limits);
    let memory = BodyMemory::of(config.limits.memory());
    Box::new(move |cache, endpoint| {
        let (pool, mailbox) = (pool.clone(), mailbox.clone());
        peer::start(cache, endpoint, pool, mailbox, limits, memory.clone())
    })
}

/// Channels and sockets by which the decision actor reaches other actors and nodes.
struct DecisionChannels {
    start_peer: PeerStarter,
    list: mpsc::Sender<ListRequest>,
    gossip: Option<Rc<GossipSocket>>,
}

fn decision_actor(
    config: &Config,
    operator: &ActiveOperatorConfig,
    process_counts: &ProcessCounts,
    plan: Plan,
    channels: DecisionChannels,
) -> Result<DecisionActor, NodeError> {
    let settings = &config.settings;
    let actor = DecisionActor::new(Parameters {
        policy: plan.policy,
        names: NameTable::new(settings),
        clock: Clock::new(),
        timeouts: plan.operations.iter().map(|o| o.client_timeout).collect(),
        start_peer: channels.start_peer,
        list: channels.list,
        gossip: channels.gossip,
    });
    let names = settings.classes.iter().map(|class| class.name.clone());
    let operations: Vec<OperationRules> = names
        .zip(plan.operations)
        .enumerate()
        .map(|(index, (name, rules))| OperationRules { index, name, rules })
        .collect();
    let mut reporter = operator.reporter(&config.name, process_counts)?;
    if let Some(reporter) = &mut reporter {
        reporter.place_operations(config.fingerprint, &operations);
    }
    log::info!(
        "{} {}, generation {:?}, settings {:016x}, placement {:016x}, notes {FORMATS:?}",
        config.name,
        env!("CARGO_PKG_VERSION"),
        operator.file.identity.generation,
        config.fingerprint,
        Policy::placement()
    );
    let quota_shares = operator.file.quota_shares.as_ref();
    Ok(actor
        .with_reporter(reporter, settings.origin_kind())
        .with_quotas(quota_shares, settings, plan.seed))
}

fn start_listener(
    config: &Config,
    listener: TcpListener,
    split: &DescriptorSplit,
    mailbox: &mpsc::Sender<Message>,
    max_timeout: Duration,
) -> (watch::Sender<ServingStage>, Rc<ClientContext<Message>>) {
    let (stage, stage_changes) = watch::channel(ServingStage::Serving);
    let context = Rc::new(ClientContext {
        mailbox: mailbox.clone(),
        stage: stage_changes,
        idle: IdleConnections::new(config.limits.sockets),
        max_timeout: Cell::new(max_timeout),
        shutdown_deadline: Cell::new(None),
        next_invocation: Cell::new(0),
    });
    tokio::task::spawn_local(listener::accept(
        listener,
        split.clients.clone(),
        split.max_served,
        context.clone(),
    ));
    (stage, context)
}
