//! A serving node: applies changed files at SIGHUP, and shuts down gracefully at SIGTERM or SIGINT.
use super::error::NodeError;
use super::reload::{ActiveConfiguration, Reload};
use crate::routing::Message;
use crate::transport::budget::Budget;
use crate::transport::client::{ClientContext, ServingStage};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// After SIGTERM clients go on connecting for up to 0.4 s; then connections between invocations are closed, and what is
/// written to none of them is not this node's.
const DRAIN_PERIOD: Duration = Duration::from_millis(450);
/// The node stays at least this long after that, so that what was just received is answered.
const CLOSE_PERIOD: Duration = Duration::from_millis(150);
/// Whoever stops the node may kill it after this time and the time that it needs to close, however long clients wait.
const KILL_DELAY: Duration = Duration::from_secs(3);
/// Between looks whether all connections are closed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The signals that the node handles.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// The system refuses one.
    pub fn install() -> Result<Signals, NodeError> {
        let install = |kind| signal(kind).map_err(NodeError::Signals);
        Ok(Signals {
            hangup: install(SignalKind::hangup())?,
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }
}

/// A node whose actors run and whose clients are accepted.
pub struct RunningNode {
    /// The files in force.
    pub active: ActiveConfiguration,
    /// The decision actor's mailbox.
    pub mailbox: mpsc::Sender<Message>,
    /// Discovery's address, for the actor that follows the endpoint list.
    pub discovery: watch::Sender<SocketAddr>,
    /// Between calls for a lost subscription, for the same actor.
    pub retry_interval: Rc<Cell<Duration>>,
    /// The decision actor.
    pub decision_task: JoinHandle<()>,
    /// How far the shutdown is, for client connections.
    pub stage: watch::Sender<ServingStage>,
    /// What client connections share.
    pub context: Rc<ClientContext<Message>>,
    /// The descriptors of clients.
    pub clients: Rc<Budget>,
}

/// Serves until a signal stops the node, then shuts down gracefully.
///
/// # Errors
///
/// The decision actor ended.
pub async fn run(mut node: RunningNode, mut signals: Signals) -> Result<(), NodeError> {
    loop {
        tokio::select! {
            _ = signals.hangup.recv() => match node.active.reread() {
                Ok(reload) => node.apply(reload).await,
                Err(error) => log::warn!("new configuration not taken up: {error}"),
            },
            _ = signals.terminate.recv() => break log::info!("told to stop"),
            _ = signals.interrupt.recv() => break log::info!("interrupted"),
            // Nothing can be answered without it: the node has to be restarted.
            result = &mut node.decision_task => return Err(NodeError::DecisionActorEnded(result)),
        }
    }
    node.shut_down().await;
    Ok(())
}

impl RunningNode {
    /// Applies files that were read again.
    async fn apply(&mut self, Reload { next, change }: Reload) {
        let timeouts = change.operations.iter().map(|o| o.client_timeout);
        let longest = timeouts.max().map(Duration::from_nanos).unwrap_or_default();
        // Clients of operations that are in flight may wait as long as before.
        let max_timeout = self.context.max_timeout.get().max(longest);
        self.context.max_timeout.set(max_timeout);
        self.retry_interval.set(next.retry_interval);
        let message = Message::ConfigurationChanged(Box::new(change));
        let _ = self.mailbox.send(message).await;
        let address = next.config.discovery;
        let has_moved = self
            .discovery
            .send_if_modified(|current| std::mem::replace(current, address) != address);
        self.active = next;
        log::info!(
            "configuration read anew, discovery {}; generation {:?}, settings {:016x}",
            if has_moved { "moved" } else { "as before" },
            self.active.operator.file.identity.generation,
            self.active.config.fingerprint
        );
    }

    /// Answers all that was received before the node ends.
    async fn shut_down(&self) {
        let max_timeout = self.context.max_timeout.get();
        let deadline = Instant::now() + DRAIN_PERIOD + max_timeout.min(KILL_DELAY) + CLOSE_PERIOD;
        self.context.shutdown_deadline.set(Some(deadline));
        self.stage.send_replace(ServingStage::Draining);
        sleep(DRAIN_PERIOD).await;
        self.stage.send_replace(ServingStage::Closing);
        let latest_end = Instant::now() + max_timeout + CLOSE_PERIOD;
        sleep(CLOSE_PERIOD).await;
        // Looked at twice: whoever connected at the moment of the first look is there at the second.
        let mut quiet_looks = 0;
        while quiet_looks < 2 && Instant::now() < latest_end {
            quiet_looks = if self.clients.reserved() > 0 {
                0
            } else {
                quiet_looks + 1
            };
            sleep(POLL_INTERVAL).await;
        }
        log::info!("stopped, {} connections left", self.clients.reserved());
    }
}
