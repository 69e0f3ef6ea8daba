//! The endpoint list actor: maintains a subscription at discovery and reports changes to the decision actor.
use super::Message;
use crate::invariant::OccurrenceCounter;
use crate::protocol::ParseError;
use crate::protocol::endpoint_list::ListUpdate;
use crate::transport::discovery::DiscoveryCall;
use crate::transport::reading::ReadError;
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout};

/// Interval at which discovery writes an empty line while the list is unchanged.
pub const HEARTBEAT: Duration = Duration::from_secs(2);
/// Number of heartbeats without a complete line after which the subscription counts as lost: the connection to a
/// partitioned machine stays open without traffic. A change counts as known three heartbeats after the last line; the
/// remaining time is needed for the delay before the next call and for the call itself, queued behind those of many
/// nodes.
const TIMEOUT_HEARTBEATS: f64 = 1.75;

/// A request from the decision actor to the endpoint list actor.
#[derive(Debug)]
pub enum ListRequest {
    /// Open a subscription that replaces the current one.
    Subscribe,
    /// Fetch the full list once.
    FetchFull,
}

/// An event from the endpoint list actor to the decision actor.
pub enum ListEvent {
    /// The full list, or changes to it.
    Updated(ListUpdate),
    /// A call failed, or the subscription was lost.
    Failed,
}

/// The endpoint list actor.
pub struct EndpointListActor {
    /// Discovery's current address, with change notification.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The actor's mailbox. The actor ends when its senders are dropped.
    pub requests: mpsc::Receiver<ListRequest>,
    /// The decision actor's mailbox.
    pub decisions: mpsc::Sender<Message>,
    /// Version of the decision actor's list.
    pub rev: u64,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout of a call.
    pub call_timeout: Duration,
    /// Interval of discovery's heartbeats.
    pub heartbeat: Duration,
    /// Whether the actor maintains the subscription without requests of the policy. Changes count as known even while
    /// no subscription is open, so a lost subscription is reopened immediately, then at least every `retry_interval`.
    pub is_pushed: bool,
    /// Longest time between two attempts to reopen a lost subscription.
    pub retry_interval: Rc<Cell<Duration>>,
    /// Random numbers for jitter, so that nodes that lost their subscriptions together don't call in step.
    pub rng: fastrand::Rng,
}

/// The call in flight, if any. It is polled in place, so that it continues while the actor handles other events.
type PendingCall<T> = Option<Pin<Box<dyn Future<Output = Result<T, ReadError>>>>>;

/// Waits for the result of the call in flight; pends forever if there is none. Cancel-safe.
async fn completed<T>(pending: &mut PendingCall<T>) -> Result<T, ReadError> {
    match pending {
        Some(call) => {
            let result = call.as_mut().await;
            *pending = None;
            result
        }
        None => std::future::pending().await,
    }
}

/// Identifies one of the two concurrent subscription calls.
#[derive(Clone, Copy, PartialEq)]
enum Attempt {
    First,
    Second,
}

/// The actor's state.
#[derive(Default)]
struct Calls {
    /// The open subscription.
    subscription: Option<DiscoveryCall>,
    /// Whether the subscription has received its first line, which answers the call even if it is empty.
    answered: bool,
    /// Time of the last complete line.
    last_line: Option<Instant>,
    /// Subscription calls. The second runs concurrently with the first, which may hang at a discovery that is down
    /// while the second reaches it after its recovery.
    first: PendingCall<DiscoveryCall>,
    second: PendingCall<DiscoveryCall>,
    /// The call for the full list.
    full: PendingCall<ListUpdate>,
    /// The list version that was known when the call for the full list was started.
    full_known_rev: u64,
    /// Time of the next attempt to open a subscription.
    retry_at: Option<Instant>,
    /// Time of the last attempt that was made without a delay.
    last_immediate: Option<Instant>,
    /// Number of subscription calls that failed since the last one that succeeded.
    failures: OccurrenceCounter,
    /// Number of consecutive subscriptions that were lost before any line was received.
    lost_unanswered: OccurrenceCounter,
}

impl EndpointListActor {
    async fn report(&mut self, event: ListEvent) {
        if let ListEvent::Updated(update) = &event {
            self.rev = update.rev;
        }
        let _ = self.decisions.send(Message::List(event)).await;
    }

    fn open_subscription(&self, limit: Duration) -> PendingCall<DiscoveryCall> {
        let call = DiscoveryCall::open(
            *self.discovery.borrow(),
            Some(self.rev),
            self.connect_timeout,
        );
        Some(Box::pin(async move {
            timeout(limit, call).await.unwrap_or(Err(ReadError::Closed))
        }))
    }

    /// Starts a call for a subscription that replaces the current one.
    fn subscribe(&mut self, calls: &mut Calls) {
        // The current subscription is dropped first: a node has one subscription at a time.
        calls.subscription = None;
        match calls.first {
            None => calls.first = self.open_subscription(self.call_timeout),
            // Guards against a call that hangs until long after discovery has recovered.
            Some(_) => calls.second = self.open_subscription(self.call_timeout),
        }
        let next = self.next_attempt();
        calls.retry_at = self.is_pushed.then_some(next);
    }

    /// Time of the next attempt to open a subscription, with jitter.
    fn next_attempt(&mut self) -> Instant {
        let interval = self.retry_interval.get();
        Instant::now() + interval.mul_f64(0.5 + 0.5 * self.rng.f64())
    }

    fn fetch_full(&self, calls: &mut Calls) {
        if calls.full.is_some() {
            return;
        }
        let call = DiscoveryCall::open(*self.discovery.borrow(), None, self.connect_timeout);
        let limit = self.call_timeout;
        let list = async move { call.await?.full_list().await };
        calls.full = Some(Box::pin(async move {
            timeout(limit, list).await.unwrap_or(Err(ReadError::Closed))
        }));
        calls.full_known_rev = self.rev;
    }

    fn on_moved(&mut self, calls: &mut Calls) {
        log::info!("list: discovery is at {} now", *self.discovery.borrow());
        // Calls in flight hang at the old address or return obsolete lists.
        *calls = Calls::default();
        // The new discovery may number its versions from the start, so the full list is requested.
        self.rev = 0;
        self.subscribe(calls);
    }

    async fn on_opened(
        &mut self,
        calls: &mut Calls,
        attempt: Attempt,
        call: Result<DiscoveryCall, ReadError>,
    ) {
        match call {
            Ok(call) => {
                calls.subscription = Some(call);
                calls.answered = false;
                calls.last_line = Some(Instant::now());
                (calls.first, calls.second, calls.retry_at) = (None, None, None);
                calls.failures = OccurrenceCounter::default();
            }
            Err(error) => {
                if let Some(count) = calls.failures.increment() {
                    log::warn!("list: watch not opened: {error:?}, {count} times so far");
                }
                if attempt == Attempt::First {
                    self.report(ListEvent::Failed).await;
                }
            }
        }
    }

    async fn on_lost(&mut self, calls: &mut Calls, error: ReadError) {
        let count = match calls.answered {
            true => Some(1),
            false => calls.lost_unanswered.increment(),
        };
        if let Some(count) = count {
            log::warn!("list: watch lost: {error:?}, {count} times in a row");
        }
        calls.subscription = None;
        if self.is_pushed && self.may_call_immediately(calls) {
            // Changes count as known even while no subscription is open, so this attempt is not delayed.
            calls.last_immediate = Some(Instant::now());
            self.subscribe(calls);
        } else if self.is_pushed {
            calls.retry_at = Some(self.next_attempt());
        }
        self.report(ListEvent::Failed).await;
    }

    /// Whether a lost subscription may be reopened without a delay: it has received a line, and the last immediate
    /// attempt is at least a retry interval ago. Otherwise a discovery that ends each subscription at once would be
    /// called in a busy loop.
    fn may_call_immediately(&self, calls: &Calls) -> bool {
        let is_recent = |time: Instant| time.elapsed() < self.retry_interval.get();
        calls.answered && !calls.last_immediate.is_some_and(is_recent)
    }

    async fn on_line(&mut self, calls: &mut Calls, line: Result<Option<ListUpdate>, ReadError>) {
        match line {
            // Changes to an older list would undo known changes of draining servers.
            Ok(Some(update)) if !update.all && update.rev < self.rev => {
                self.rev = 0;
                let error = ParseError("changes go back in version");
                self.on_lost(calls, error.into()).await;
            }
            Ok(Some(update)) => {
                (calls.answered, calls.last_line) = (true, Some(Instant::now()));
                calls.lost_unanswered = OccurrenceCounter::default();
                self.report(ListEvent::Updated(update)).await;
            }
            Ok(None) => {
                calls.last_line = Some(Instant::now());
                calls.lost_unanswered = OccurrenceCounter::default();
                if !std::mem::replace(&mut calls.answered, true) {
                    let no_change = ListUpdate {
                        rev: self.rev,
                        ..ListUpdate::default()
                    };
                    self.report(ListEvent::Updated(no_change)).await;
                }
            }
            Err(error) => self.on_lost(calls, error).await,
        }
    }

    async fn on_full_list(&mut self, known_rev: u64, list: Result<ListUpdate, ReadError>) {
        match list {
            // The subscription has received later changes during the call.
            Ok(list) if list.rev < self.rev && self.rev != known_rev => {}
            Ok(list) => self.report(ListEvent::Updated(list)).await,
            Err(error) => {
                log::warn!("list: call came to nothing: {error:?}");
                self.report(ListEvent::Failed).await;
            }
        }
    }

    /// Runs until all senders of the mailbox are dropped.
    pub async fn run(mut self) {
        let mut calls = Calls {
            retry_at: self.is_pushed.then(Instant::now),
            ..Calls::default()
        };
        loop {
            let last_line = calls.last_line.filter(|_| calls.subscription.is_some());
            let timeout = last_line.map(|time| time + self.heartbeat.mul_f64(TIMEOUT_HEARTBEATS));
            tokio::select! {
                biased;
                Ok(()) = self.discovery.changed() => self.on_moved(&mut calls),
                request = self.requests.recv() => match request {
                    None => return,
                    Some(ListRequest::FetchFull) => self.fetch_full(&mut calls),
                    Some(ListRequest::Subscribe) => {
                        calls.first = None;
                        self.subscribe(&mut calls);
                    }
                },
                call = completed(&mut calls.first) => self.on_opened(&mut calls, Attempt::First, call).await,
                call = completed(&mut calls.second) => self.on_opened(&mut calls, Attempt::Second, call).await,
                list = completed(&mut calls.full) => self.on_full_list(calls.full_known_rev, list).await,
                line = next_line(&mut calls.subscription) => self.on_line(&mut calls, line).await,
                () = sleep_until_some(timeout) => self.on_lost(&mut calls, ReadError::Closed).await,
                () = sleep_until_some(calls.retry_at) => self.subscribe(&mut calls),
            }
        }
    }
}

/// Waits for the next line of the subscription; pends forever if there is no subscription.
async fn next_line(
    subscription: &mut Option<DiscoveryCall>,
) -> Result<Option<ListUpdate>, ReadError> {
    match subscription {
        Some(call) => call.next_update().await,
        None => std::future::pending().await,
    }
}

/// Sleeps until `time`; pends forever if it is `None`.
async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
