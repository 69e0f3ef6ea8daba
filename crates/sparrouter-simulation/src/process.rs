//! A simulated process: all its tasks together, so that it can be frozen, slowed, or killed between any two steps.

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, Sleep, sleep};

#[derive(Default)]
struct ProcessState {
    /// All its tasks; `None` while they are polled, and once the process has ended.
    tasks: RefCell<Option<LocalSet>>,
    is_frozen: Cell<bool>,
    /// Pause between two polls of its tasks.
    pace: Cell<Duration>,
    /// Share of a processor, and what of it is spent.
    quota: Cell<Option<ProcessorQuota>>,
    /// Periods that ended with the quota spent.
    stalls: Cell<u64>,
    has_ended: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// A processor quota: full speed until it is spent, then nothing for the rest of the period. A poll takes no virtual time,
/// so polls are what is counted.
#[derive(Clone, Copy, Debug)]
struct ProcessorQuota {
    polls_per_period: u32,
    /// Polls in the period that began at `period_began`.
    spent: u32,
    period_began: Instant,
}

/// Length of a period of a processor quota.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

impl ProcessorQuota {
    /// Counts a poll at `now`; where the quota is spent, how long until the next period.
    fn spend(&mut self, now: Instant) -> Option<Duration> {
        let elapsed = now - self.period_began;
        if elapsed >= QUOTA_PERIOD {
            self.period_began = now;
            self.spent = 0;
        }
        if self.spent >= self.polls_per_period {
            return Some(QUOTA_PERIOD.saturating_sub(now - self.period_began));
        }
        self.spent += 1;
        None
    }
}

/// A simulated process. Dropping it kills the process.
pub struct SimulatedProcess(Rc<ProcessState>);

impl SimulatedProcess {
    /// Starts a process. It ends when `main` does, whatever other tasks it has.
    pub fn start(main: impl Future<Output = ()> + 'static) -> SimulatedProcess {
        let state = Rc::new(ProcessState::default());
        let tasks = LocalSet::new();
        let main_state = Rc::downgrade(&state);
        tasks.spawn_local(async move {
            main.await;
            if let Some(state) = main_state.upgrade() {
                state.has_ended.set(true);
            }
        });
        *state.tasks.borrow_mut() = Some(tasks);
        let polled_state = state.clone();
        let mut pause = None;
        spawn_local(poll_fn(move |context| {
            polled_state.poll(&mut pause, context)
        }));
        SimulatedProcess(state)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        self.0.has_ended.get()
    }

    /// Freezes the process or lets it continue. Its clock advances meanwhile.
    pub fn freeze(&self, is_frozen: bool) {
        self.0.is_frozen.set(is_frozen);
        self.0.wake();
    }

    /// Gives the process a quota of this many polls of its tasks in each tenth of a second; `None`: no quota.
    pub fn limit(&self, polls_per_period: Option<u32>) {
        let quota = polls_per_period.map(|polls_per_period| ProcessorQuota {
            polls_per_period,
            spent: 0,
            period_began: Instant::now(),
        });
        self.0.quota.set(quota);
        self.0.wake();
    }

    /// How many periods ended with the quota spent.
    pub fn stalls(&self) -> u64 {
        self.0.stalls.get()
    }

    /// Slows the process by a pause between two polls of its tasks; zero: full speed.
    pub fn slow(&self, pace: Duration) {
        self.0.pace.set(pace);
        self.0.wake();
    }
}

impl ProcessState {
    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Counts a poll; how long the process must wait for its quota instead.
    fn spend_quota(&self) -> Option<Duration> {
        let mut quota = self.quota.get()?;
        let wait = quota.spend(Instant::now());
        self.quota.set(Some(quota));
        if wait.is_some() {
            self.stalls.set(self.stalls.get() + 1);
        }
        wait.filter(|wait| !wait.is_zero())
    }

    /// Polls the tasks once, unless the process is frozen or pauses.
    fn poll(&self, pause: &mut Option<Pin<Box<Sleep>>>, context: &mut Context) -> Poll<()> {
        *self.waker.borrow_mut() = Some(context.waker().clone());
        if self.is_frozen.get() {
            return Poll::Pending;
        }
        if let Some(pause) = pause
            && pause.as_mut().poll(context).is_pending()
        {
            return Poll::Pending;
        }
        if let Some(until_next_period) = self.spend_quota() {
            let mut stall = Box::pin(sleep(until_next_period));
            let is_pending = stall.as_mut().poll(context).is_pending();
            *pause = Some(stall);
            if is_pending {
                return Poll::Pending;
            }
        }
        let pace = self.pace.get();
        *pause = (!pace.is_zero()).then(|| Box::pin(sleep(pace)));
        // Taken out while it is polled, so that the process can be inspected by its own tasks.
        let Some(mut tasks) = self.tasks.borrow_mut().take() else {
            return Poll::Ready(());
        };
        let is_idle = Pin::new(&mut tasks).poll(context).is_ready();
        if self.has_ended.get() || is_idle {
            self.has_ended.set(true);
            return Poll::Ready(());
        }
        *self.tasks.borrow_mut() = Some(tasks);
        if let Some(pause) = pause {
            // Registers the waker for the end of the pause.
            let _ = pause.as_mut().poll(context);
        }
        Poll::Pending
    }
}

impl Drop for SimulatedProcess {
    fn drop(&mut self) {
        let tasks = self.0.tasks.borrow_mut().take();
        // The tasks are dropped without a borrow of the state, which they may inspect.
        drop(tasks);
        self.0.wake();
    }
}
