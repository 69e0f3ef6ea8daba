//! The list's actor: keeps the watch at discovery and tells the module what changes.
use super::Told;
use crate::protocol::lines::Listing;
use crate::transport::reading::Broken;
use crate::transport::watching::Call;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout};

/// While nothing changes discovery writes an empty line this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// So many heartbeats without a byte, and the watch is taken for lost: a machine that is cut off says
/// nothing, and its connection stays open.
const SILENT: f64 = 2.25;

pub enum Ask {
    Follow,
    Whole,
}

pub enum ListSays {
    Listed(Listing),
    /// A call or the watch came to nothing.
    Lost,
}

pub struct List {
    /// Where it is, and whether it has moved.
    pub discovery: watch::Receiver<SocketAddr>,
    pub asks: mpsc::Receiver<Ask>,
    pub module: mpsc::Sender<Told>,
    /// The version in hand.
    pub rev: u64,
    /// A connection not up by then never comes.
    pub dial_limit: Duration,
    /// How long a call may take.
    pub limit: Duration,
    /// The deployment's module does not ask: the actor keeps a watch by itself.
    pub unasked: bool,
}

impl List {
    async fn tell(&mut self, says: ListSays) {
        if let ListSays::Listed(listing) = &says {
            self.rev = listing.rev;
        }
        let _ = self.module.send(Told::List(says)).await;
    }

    /// None where discovery has moved meanwhile: a call that hangs at the old address must not keep the
    /// node from the new one.
    async fn unless_moved<T>(
        &mut self, call: impl Future<Output = Result<T, Broken>>,
    ) -> Option<Result<T, Broken>> {
        tokio::select! {
            biased;
            Ok(()) = self.discovery.changed() => {
                // Seen by `run` once more.
                self.discovery.mark_changed();
                None
            }
            ended = timeout(self.limit, call) => Some(ended.unwrap_or(Err(Broken::Ended))),
        }
    }

    fn call(&self, after: Option<u64>) -> impl Future<Output = Result<Call, Broken>> + use<> {
        Call::open(*self.discovery.borrow(), after, self.dial_limit)
    }

    async fn follow(&mut self) -> Option<Call> {
        let call = self.call(Some(self.rev));
        match self.unless_moved(call).await? {
            Ok(call) => Some(call),
            Err(broken) => {
                log::warn!("list: watch not opened: {broken:?}");
                self.tell(ListSays::Lost).await;
                None
            }
        }
    }

    async fn whole(&mut self) {
        let call = self.call(None);
        match self.unless_moved(async { call.await?.line().await }).await {
            None => {}
            Some(Ok(Some(listing))) => self.tell(ListSays::Listed(listing)).await,
            Some(other) => {
                log::warn!("list: call came to nothing: {:?}", other.err());
                self.tell(ListSays::Lost).await;
            }
        }
    }

    pub async fn run(mut self) {
        let mut watch: Option<Call> = None;
        // The first line answers the call, also where it is empty.
        let mut answered = false;
        let mut again = self.unasked.then(Instant::now);
        loop {
            tokio::select! {
                ask = self.asks.recv() => match ask {
                    None => return,
                    Some(Ask::Whole) => self.whole().await,
                    Some(Ask::Follow) => {
                        // Dropped first: one watch at a time.
                        drop(watch.take());
                        (watch, answered) = (self.follow().await, false);
                    }
                },
                Ok(()) = self.discovery.changed() => {
                    log::info!("list: discovery is at {} now", *self.discovery.borrow());
                    drop(watch.take());
                    // Its versions may be counted anew: the whole list is asked for.
                    self.rev = 0;
                    (watch, answered) = (self.follow().await, false);
                    again = (self.unasked && watch.is_none()).then(|| Instant::now() + HEARTBEAT);
                }
                line = next(&mut watch) => match line {
                    Ok(Some(listing)) => {
                        answered = true;
                        self.tell(ListSays::Listed(listing)).await;
                    }
                    Ok(None) => if !answered {
                        answered = true;
                        let nothing = Listing { rev: self.rev, ..Listing::default() };
                        self.tell(ListSays::Listed(nothing)).await;
                    },
                    Err(broken) => {
                        log::warn!("list: watch lost: {broken:?}");
                        watch = None;
                        self.tell(ListSays::Lost).await;
                        again = self.unasked.then(|| Instant::now() + HEARTBEAT);
                    }
                },
                () = at(again) => {
                    (watch, answered) = (self.follow().await, false);
                    again = watch.is_none().then(|| Instant::now() + HEARTBEAT);
                }
            }
        }
    }
}

async fn next(watch: &mut Option<Call>) -> Result<Option<Listing>, Broken> {
    match watch {
        Some(call) => timeout(HEARTBEAT.mul_f64(SILENT), call.line()).await.unwrap_or(Err(Broken::Ended)),
        None => std::future::pending().await,
    }
}

async fn at(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
