//! The actor that follows the endpoint list: keeps a subscription at discovery and reports what changes.
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

/// While nothing changes discovery writes an empty line this often.
pub const HEARTBEAT: Duration = Duration::from_secs(2);
/// After so many heartbeats without a complete line the subscription counts as lost: a machine that is partitioned off
/// writes nothing, and its connection stays open. What changes three heartbeats after the last one counts as known; the
/// delay before the next call and the call itself, behind those of many nodes, need the rest.
const TIMEOUT_HEARTBEATS: f64 = 1.75;

/// What the decision actor requests of the list's actor.
#[derive(Debug)]
pub enum ListRequest {
    /// Open a subscription, in place of the one there is.
    Subscribe,
    /// Fetch the full list once.
    FetchFull,
}

/// What the list's actor reports to the decision actor.
pub enum ListEvent {
    /// The full list, or changes to it.
    Updated(ListUpdate),
    /// A call failed, or the subscription was lost.
    Failed,
}

/// The actor that follows the endpoint list.
pub struct EndpointListActor {
    /// Discovery's address, and whether it has moved.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The actor's mailbox. The actor ends when its senders are dropped.
    pub requests: mpsc::Receiver<ListRequest>,
    /// The decision actor's mailbox.
    pub decisions: mpsc::Sender<Message>,
    /// Version of the list that the decision actor has.
    pub rev: u64,
    /// A connection that is not established by then never is.
    pub connect_timeout: Duration,
    /// How long a call may take.
    pub call_timeout: Duration,
    /// While nothing changes discovery writes this often.
    pub heartbeat: Duration,
    /// The policy does not request subscriptions: the actor keeps one by itself. What changes counts as known whether
    /// or not the subscription is open, so that a lost one is opened again at once and then at least this often.
    pub is_pushed: bool,
    /// Longest time between two calls for a lost subscription.
    pub retry_interval: Rc<Cell<Duration>>,
    /// Keeps many nodes that lost their subscriptions at one moment from calling in step.
    pub rng: fastrand::Rng,
}

/// A call that is under way, if there is one. It is polled in place: it outlives whatever else the actor does.
type PendingCall<T> = Option<Pin<Box<dyn Future<Output = Result<T, ReadError>>>>>;

/// The result of the call; never ready where there is none. Cancel-safe.
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

/// Which of the two calls for a subscription.
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
    /// It has brought a first line, which answers the call also where it is empty.
    answered: bool,
    /// When it last brought a complete line.
    last_line: Option<Instant>,
    /// Calls for a subscription. The second runs beside the first: one may hang at a discovery that is down, and the
    /// other finds it back.
    first: PendingCall<DiscoveryCall>,
    second: PendingCall<DiscoveryCall>,
    /// The call for the full list, and the version that was known when it was made.
    full: PendingCall<ListUpdate>,
    full_known_rev: u64,
    /// When a subscription is to be called for again.
    retry_at: Option<Instant>,
    /// When a lost subscription was last called for without a delay.
    last_immediate: Option<Instant>,
    failures: OccurrenceCounter,
    /// Subscriptions lost one after another before any brought a list.
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

    /// Calls for a subscription, in place of the one there is.
    fn subscribe(&mut self, calls: &mut Calls) {
        // Dropped first: one subscription at a time.
        calls.subscription = None;
        match calls.first {
            None => calls.first = self.open_subscription(self.call_timeout),
            // Guards against a call that hangs until long after discovery is back.
            Some(_) => calls.second = self.open_subscription(self.call_timeout),
        }
        let next = self.next_attempt();
        calls.retry_at = self.is_pushed.then_some(next);
    }

    /// When a subscription is called for once more: each node at its own time.
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
        // Whatever is under way hangs at the old address, or brings what does not count any more.
        *calls = Calls::default();
        // Its versions may be counted anew: the full list is called for.
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
            // What changes from now on counts as known. The next calls keep their distance.
            calls.last_immediate = Some(Instant::now());
            self.subscribe(calls);
        } else if self.is_pushed {
            calls.retry_at = Some(self.next_attempt());
        }
        self.report(ListEvent::Failed).await;
    }

    /// A subscription that brought a line is called for at once when it is lost, but not more often than others are: a
    /// discovery that ends each subscription as soon as it is open would be called without a pause.
    fn may_call_immediately(&self, calls: &Calls) -> bool {
        let is_recent = |time: Instant| time.elapsed() < self.retry_interval.get();
        calls.answered && !calls.last_immediate.is_some_and(is_recent)
    }

    async fn on_line(&mut self, calls: &mut Calls, line: Result<Option<ListUpdate>, ReadError>) {
        match line {
            // Changes to an older list than the known one would undo what is known of those that drain.
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
            // The subscription has brought later changes meanwhile.
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

/// The next line of the subscription; never ready where there is none.
async fn next_line(
    subscription: &mut Option<DiscoveryCall>,
) -> Result<Option<ListUpdate>, ReadError> {
    match subscription {
        Some(call) => call.next_update().await,
        None => std::future::pending().await,
    }
}

/// Sleeps until a moment; for good where there is none.
async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
