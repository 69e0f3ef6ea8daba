//! The list's actor: keeps the watch at discovery and tells the module what changes.
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
/// So many heartbeats without a whole line, and the watch is taken for lost: a machine that is cut off
/// says nothing, and its connection stays open. Three after it fell silent what it missed counts as told;
/// the pause before the next call and the call itself, behind those of many nodes, need the rest.
const SILENT: f64 = 1.75;

pub enum ListRequest {
    Subscribe,
    FetchFull,
}

pub enum ListEvent {
    Updated(ListUpdate),
    /// A call or the watch came to nothing.
    Failed,
}

pub struct EndpointListActor {
    /// Where it is, and whether it has moved.
    pub discovery: watch::Receiver<SocketAddr>,
    pub asks: mpsc::Receiver<ListRequest>,
    pub module: mpsc::Sender<Message>,
    /// The version in hand.
    pub rev: u64,
    /// A connection not up by then never comes.
    pub dial_limit: Duration,
    /// How long a call may take.
    pub limit: Duration,
    pub heartbeat: Duration,
    /// The deployment's module does not ask: the actor keeps a watch by itself. What discovery has to tell
    /// counts as told there whether or not the watch is open, so that a lost one is asked for anew at once
    /// and then at least this often.
    pub unasked: bool,
    pub pace: Rc<Cell<Duration>>,
    /// Keeps many nodes that lost their watches in one moment from asking in step.
    pub rng: fastrand::Rng,
}

/// A call that is out, if one is. Polled where it stands: it outlives whatever else the actor does.
type Out<T> = Option<Pin<Box<dyn Future<Output = Result<T, ReadError>>>>>;

/// How it ended; never where none is out. Cancel-safe.
async fn ended<T>(out: &mut Out<T>) -> Result<T, ReadError> {
    match out {
        Some(call) => {
            let how = call.as_mut().await;
            *out = None;
            how
        }
        None => std::future::pending().await,
    }
}

/// What the actor holds while it runs.
#[derive(Default)]
struct Calls {
    watch: Option<DiscoveryCall>,
    /// The first line answers the call, also where it is empty.
    answered: bool,
    /// When the watch last showed that it is there.
    heard: Option<Instant>,
    /// Asks for the watch. Where another is tried beside it, one may hang at a discovery that is down and
    /// the other finds it back.
    patient: Out<DiscoveryCall>,
    quick: Out<DiscoveryCall>,
    /// Asks for the whole list, with the version that was in hand then.
    whole: Out<ListUpdate>,
    whole_from: u64,
    /// When a watch is to be asked for again.
    again: Option<Instant>,
    /// When a lost watch was last asked for at once.
    at_once: Option<Instant>,
    failed: OccurrenceCounter,
    /// Watches that were lost one after another before any told something.
    lost_untold: OccurrenceCounter,
}

impl EndpointListActor {
    async fn tell(&mut self, says: ListEvent) {
        if let ListEvent::Updated(listing) = &says {
            self.rev = listing.rev;
        }
        let _ = self.module.send(Message::List(says)).await;
    }

    fn open(&self, limit: Duration) -> Out<DiscoveryCall> {
        let call = DiscoveryCall::open(*self.discovery.borrow(), Some(self.rev), self.dial_limit);
        Some(Box::pin(async move {
            timeout(limit, call).await.unwrap_or(Err(ReadError::Closed))
        }))
    }

    /// Asks for a watch, in place of the one that there is.
    fn follow(&mut self, calls: &mut Calls) {
        // Dropped first: one watch at a time.
        calls.watch = None;
        match calls.patient {
            None => calls.patient = self.open(self.limit),
            // Guards against a call that hangs until long after discovery is back.
            Some(_) => calls.quick = self.open(self.limit),
        }
        let next = self.next_try();
        calls.again = self.unasked.then_some(next);
    }

    /// When a watch is asked for once more, each node in its own time.
    fn next_try(&mut self) -> Instant {
        Instant::now() + self.pace.get().mul_f64(0.5 + 0.5 * self.rng.f64())
    }

    fn ask_whole(&self, calls: &mut Calls) {
        if calls.whole.is_none() {
            let (call, limit) = (
                DiscoveryCall::open(*self.discovery.borrow(), None, self.dial_limit),
                self.limit,
            );
            let whole = async move { call.await?.whole().await };
            calls.whole = Some(Box::pin(async move {
                timeout(limit, whole)
                    .await
                    .unwrap_or(Err(ReadError::Closed))
            }));
            calls.whole_from = self.rev;
        }
    }

    fn moved(&mut self, calls: &mut Calls) {
        log::info!("list: discovery is at {} now", *self.discovery.borrow());
        // Whatever is out hangs at the old address, or brings what no longer counts.
        *calls = Calls::default();
        // Its versions may be invariant anew: the whole list is asked for.
        self.rev = 0;
        self.follow(calls);
    }

    async fn opened(
        &mut self,
        calls: &mut Calls,
        patient: bool,
        call: Result<DiscoveryCall, ReadError>,
    ) {
        match call {
            Ok(call) => {
                (calls.watch, calls.answered, calls.heard) =
                    (Some(call), false, Some(Instant::now()));
                (calls.patient, calls.quick, calls.again) = (None, None, None);
                calls.failed = OccurrenceCounter::default();
            }
            Err(broken) => {
                if let Some(count) = calls.failed.again() {
                    log::warn!("list: watch not opened: {broken:?}, {count} times so far");
                }
                if patient {
                    self.tell(ListEvent::Failed).await;
                }
            }
        }
    }

    async fn lost(&mut self, calls: &mut Calls, broken: ReadError) {
        let count = match calls.answered {
            true => Some(1),
            false => calls.lost_untold.again(),
        };
        if let Some(count) = count {
            log::warn!("list: watch lost: {broken:?}, {count} times in a row");
        }
        calls.watch = None;
        if self.unasked && self.may_ask_at_once(calls) {
            // What changes from now on counts as told. The next calls keep their distance.
            calls.at_once = Some(Instant::now());
            self.follow(calls);
        } else if self.unasked {
            calls.again = Some(self.next_try());
        }
        self.tell(ListEvent::Failed).await;
    }

    /// A watch that told something is asked for at once when it is lost, but not more often than others are asked for: a
    /// discovery that ends each watch as soon as it is open would be called without a pause.
    fn may_ask_at_once(&self, calls: &Calls) -> bool {
        let was_lately = |at: Instant| at.elapsed() < self.pace.get();
        calls.answered && !calls.at_once.is_some_and(was_lately)
    }

    async fn line(&mut self, calls: &mut Calls, line: Result<Option<ListUpdate>, ReadError>) {
        match line {
            // Changes to an older list than the one in hand would undo what is known of those that drain.
            Ok(Some(listing)) if !listing.all && listing.rev < self.rev => {
                self.rev = 0;
                self.lost(calls, ParseError("changes go back in version").into())
                    .await;
            }
            Ok(Some(listing)) => {
                (calls.answered, calls.heard) = (true, Some(Instant::now()));
                calls.lost_untold = OccurrenceCounter::default();
                self.tell(ListEvent::Updated(listing)).await;
            }
            Ok(None) => {
                calls.heard = Some(Instant::now());
                calls.lost_untold = OccurrenceCounter::default();
                if !std::mem::replace(&mut calls.answered, true) {
                    let nothing = ListUpdate {
                        rev: self.rev,
                        ..ListUpdate::default()
                    };
                    self.tell(ListEvent::Updated(nothing)).await;
                }
            }
            Err(broken) => self.lost(calls, broken).await,
        }
    }

    async fn came_whole(&mut self, from: u64, whole: Result<ListUpdate, ReadError>) {
        match whole {
            // The watch has told of later changes meanwhile.
            Ok(listing) if listing.rev < self.rev && self.rev != from => {}
            Ok(listing) => self.tell(ListEvent::Updated(listing)).await,
            Err(broken) => {
                log::warn!("list: call came to nothing: {broken:?}");
                self.tell(ListEvent::Failed).await;
            }
        }
    }

    pub async fn run(mut self) {
        let mut calls = Calls {
            again: self.unasked.then(Instant::now),
            ..Calls::default()
        };
        loop {
            let silent = calls.heard.filter(|_| calls.watch.is_some());
            let silent = silent.map(|heard| heard + self.heartbeat.mul_f64(SILENT));
            tokio::select! {
                biased;
                Ok(()) = self.discovery.changed() => self.moved(&mut calls),
                ask = self.asks.recv() => match ask {
                    None => return,
                    Some(ListRequest::FetchFull) => self.ask_whole(&mut calls),
                    Some(ListRequest::Subscribe) => {
                        calls.patient = None;
                        self.follow(&mut calls);
                    }
                },
                call = ended(&mut calls.patient) => self.opened(&mut calls, true, call).await,
                call = ended(&mut calls.quick) => self.opened(&mut calls, false, call).await,
                whole = ended(&mut calls.whole) => self.came_whole(calls.whole_from, whole).await,
                line = next(&mut calls.watch) => self.line(&mut calls, line).await,
                () = at(silent) => self.lost(&mut calls, ReadError::Closed).await,
                () = at(calls.again) => self.follow(&mut calls),
            }
        }
    }
}

async fn next(watch: &mut Option<DiscoveryCall>) -> Result<Option<ListUpdate>, ReadError> {
    match watch {
        Some(call) => call.line().await,
        None => std::future::pending().await,
    }
}

async fn at(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
