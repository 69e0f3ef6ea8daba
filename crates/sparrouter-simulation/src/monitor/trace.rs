//! The trace of a run: what happened, in order, with the virtual time of each event.

use std::cell::{Cell, RefCell};
use tokio::time::Instant;

/// What happened, a line an event, with its time in seconds since the start.
#[derive(Debug)]
pub struct EventTrace {
    started_at: Instant,
    events: RefCell<Vec<String>>,
    /// Each request is traced too, not only faults and changes.
    pub verbose: Cell<bool>,
}

impl EventTrace {
    /// An empty trace that starts now.
    pub fn new() -> EventTrace {
        EventTrace {
            started_at: Instant::now(),
            events: RefCell::default(),
            verbose: Cell::new(false),
        }
    }

    /// When the trace was started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Adds an event.
    pub fn record(&self, event: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        self.events
            .borrow_mut()
            .push(format!("{seconds:9.3} {event}"));
    }

    /// Adds an event of a single request, if the trace is verbose.
    pub fn record_detail(&self, event: impl FnOnce() -> String) {
        if self.verbose.get() {
            self.record(&event());
        }
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.events.borrow().clone()
    }
}

impl Default for EventTrace {
    fn default() -> EventTrace {
        EventTrace::new()
    }
}
