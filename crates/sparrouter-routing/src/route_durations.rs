//! The longest recent request duration of each route, from the arrival of the complete request to the last byte of its
//! response.
//!
//! Each route's longest duration is stored for the current and for the previous window. Memory: at most one entry per
//! window for each route used in it.
use crate::Nanos;
use std::collections::HashMap;

/// Length of a window: long enough for some hundred requests of a common route, short enough to forget an overload.
const WINDOW: Nanos = 30_000_000_000;

/// The longest recent request duration of each route, by the route's name.
#[derive(Debug, Default)]
pub struct RouteDurations {
    window_start: Nanos,
    current: HashMap<String, Nanos>,
    previous: HashMap<String, Nanos>,
}

impl RouteDurations {
    /// Records that a request of `route` ended at `now`, `duration` after it had arrived completely.
    pub fn record(&mut self, route: &str, duration: Nanos, now: Nanos) {
        self.rotate(now);
        match self.current.get_mut(route) {
            Some(longest) => *longest = duration.max(*longest),
            None => drop(self.current.insert(route.to_owned(), duration)),
        }
    }

    /// The longest duration of `route` in the current and the previous window; `None` if none was recorded.
    pub fn longest(&self, route: &str) -> Option<Nanos> {
        let windows = [&self.current, &self.previous];
        windows
            .into_iter()
            .filter_map(|window| window.get(route))
            .max()
            .copied()
    }

    /// Starts a new window if the current one has ended.
    fn rotate(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if elapsed >= 2 * WINDOW {
            self.previous.clear();
        }
        self.window_start = now;
    }
}
