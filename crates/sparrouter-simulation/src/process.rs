//! A simulated process: all its tasks together, so that it can be frozen, or killed between any two steps.
#![deny(missing_docs)]

use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Sleep, sleep};

#[derive(Default)]
struct ProcessState {
    tasks: RefCell<Option<LocalSet>>,
    frozen: Cell<bool>,
    /// Pause between two turns.
    pace: Cell<Duration>,
    ended: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// A simulated process. Dropping it kills the process.
pub struct SimulatedProcess(Rc<ProcessState>);

impl SimulatedProcess {
    /// Starts a process. It ends when `main` does, whatever other tasks it has.
    pub fn start(main: impl Future<Output = ()> + 'static) -> SimulatedProcess {
        let inside = Rc::new(ProcessState::default());
        let tasks = LocalSet::new();
        let held = Rc::downgrade(&inside);
        tasks.spawn_local(async move {
            main.await;
            if let Some(inside) = held.upgrade() {
                inside.ended.set(true);
            }
        });
        *inside.tasks.borrow_mut() = Some(tasks);
        let driven = inside.clone();
        let mut rest: Option<Pin<Box<Sleep>>> = None;
        spawn_local(poll_fn(move |context| {
            *driven.waker.borrow_mut() = Some(context.waker().clone());
            if driven.frozen.get() {
                return Poll::Pending;
            }
            if rest
                .as_mut()
                .is_some_and(|r| r.as_mut().poll(context).is_pending())
            {
                return Poll::Pending;
            }
            let pace = driven.pace.get();
            rest = (!pace.is_zero()).then(|| Box::pin(sleep(pace)));
            // Taken out while it is polled, so that the process can be inspected by its own tasks.
            let Some(mut tasks) = driven.tasks.borrow_mut().take() else {
                return Poll::Ready(());
            };
            let polled = Pin::new(&mut tasks).poll(context);
            if driven.ended.get() || polled.is_ready() {
                driven.ended.set(true);
                return Poll::Ready(());
            }
            *driven.tasks.borrow_mut() = Some(tasks);
            // Registers the waker for the end of the pause, if there is one.
            let _ = rest.as_mut().map(|r| r.as_mut().poll(context));
            Poll::Pending
        }));
        SimulatedProcess(inside)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        self.0.ended.get()
    }

    /// Freezes the process or lets it continue. Its clock advances meanwhile.
    pub fn freeze(&self, frozen: bool) {
        self.0.frozen.set(frozen);
        self.wake();
    }

    /// Slows the process by a pause between its turns; zero: full speed.
    pub fn slow(&self, pace: Duration) {
        self.0.pace.set(pace);
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.0.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

impl Drop for SimulatedProcess {
    fn drop(&mut self) {
        let tasks = self.0.tasks.borrow_mut().take();
        drop(tasks);
        self.wake();
    }
}
