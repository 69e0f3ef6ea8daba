//! Runs a started node: reloads its configuration at SIGHUP and shuts down gracefully at SIGTERM or SIGINT.
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

/// Time from SIGTERM until idle connections are closed: clients may still connect for up to 0.4 s after SIGTERM. The
/// node is not responsible for messages that were not written to a connection by the time it is closed.
const DRAIN_PERIOD: Duration = Duration::from_millis(450);
/// Minimum time between closing idle connections and exit, so that invocations received at that moment are answered.
const CLOSE_PERIOD: Duration = Duration::from_millis(150);
/// Time after which a supervisor may kill the node, in addition to the drain and close periods, even if client timeouts
/// are longer. An invocation that may not complete before then is rejected.
const KILL_DELAY: Duration = Duration::from_secs(3);
/// Interval between checks whether all connections are closed.
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
    /// A handler cannot be installed.
    pub fn install() -> Result<Signals, NodeError> {
        let install = |kind| signal(kind).map_err(NodeError::Signals);
        Ok(Signals {
            hangup: install(SignalKind::hangup())?,
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }
}

/// A started node: its actors run and it accepts clients.
pub struct RunningNode {
    /// The configuration in force.
    pub active: ActiveConfiguration,
    /// The decision actor's mailbox.
    pub mailbox: mpsc::Sender<Message>,
    /// Publishes discovery's address to the endpoint list actor.
    pub discovery: watch::Sender<SocketAddr>,
    /// Longest time between two attempts to reopen a lost subscription, shared with the endpoint list actor.
    pub retry_interval: Rc<Cell<Duration>>,
    /// The task of the decision actor.
    pub decision_task: JoinHandle<()>,
    /// Publishes the stage of the shutdown to the client connections.
    pub stage: watch::Sender<ServingStage>,
    /// State shared by all client connections.
    pub context: Rc<ClientContext<Message>>,
    /// Budget of file descriptors for client connections.
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
            _ = signals.terminate.recv() => break log::info!("received SIGTERM, shutting down"),
            _ = signals.interrupt.recv() => break log::info!("received SIGINT, shutting down"),
            // The node can't answer without the decision actor and has to be restarted.
            result = &mut node.decision_task => return Err(NodeError::DecisionActorEnded(result)),
        }
    }
    node.shut_down().await;
    Ok(())
}

impl RunningNode {
    /// Applies a validated reload.
    async fn apply(&mut self, Reload { next, change }: Reload) {
        let timeouts = change.operations.iter().map(|o| o.client_timeout);
        let longest = timeouts.max().map(Duration::from_nanos).unwrap_or_default();
        // Clients with invocations in flight may still wait for the old timeout.
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
            "configuration reloaded, discovery address {}; generation {:?}, settings {:016x}",
            if has_moved { "changed" } else { "unchanged" },
            self.active.operator.file.identity.generation,
            self.active.config.fingerprint
        );
    }

    /// Shuts the node down after the received invocations are answered.
    async fn shut_down(&self) {
        let max_timeout = self.context.max_timeout.get();
        let deadline = Instant::now() + DRAIN_PERIOD + max_timeout.min(KILL_DELAY) + CLOSE_PERIOD;
        self.context.shutdown_deadline.set(Some(deadline));
        self.stage.send_replace(ServingStage::Draining);
        sleep(DRAIN_PERIOD).await;
        self.stage.send_replace(ServingStage::Closing);
        let exit_deadline = Instant::now() + max_timeout + CLOSE_PERIOD;
        sleep(CLOSE_PERIOD).await;
        // Requires two consecutive checks without connections: a client that connects during the first is seen by the
        // second.
        let mut idle_checks = 0;
        while idle_checks < 2 && Instant::now() < exit_deadline {
            idle_checks = if self.clients.reserved() > 0 {
                0
            } else {
                idle_checks + 1
            };
            sleep(POLL_INTERVAL).await;
        }
        log::info!("stopped, {} connections left", self.clients.reserved());
    }
}
