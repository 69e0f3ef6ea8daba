//! Faults of cache servers: crashes, hangs, pauses, bad replies, deployments and changes of the fleet's size.
use super::builder::ScheduleBuilder;
use super::{Action, Listed};
use rand::RngExt;

impl ScheduleBuilder<'_> {
    pub(super) fn crash(&mut self, from: f64, to: f64, part: f64) {
        for cache in self.pick_caches(part) {
            self.push(from, Action::Die(cache));
            let noticed_at = from + self.draw_between(self.scenario.discovery.silent_notice_s);
            let listed_again_at = to + self.draw_between(self.scenario.discovery.add_s);
            // A server that is back before discovery notices never leaves the list.
            if noticed_at < to {
                self.push(noticed_at, Action::List(cache, Listed::Gone));
            }
            self.push(to, Action::Start(cache));
            self.push(listed_again_at, Action::List(cache, Listed::Ready));
        }
    }

    pub(super) fn hang(&mut self, from: f64, to: f64, part: f64) {
        for cache in self.pick_caches(part) {
            self.during(
                from,
                to,
                Action::Hang(cache, true),
                Action::Hang(cache, false),
            );
        }
    }

    /// Pauses come at a random phase, then 0.75 to 1.25 times `every_s` apart.
    pub(super) fn pauses(&mut self, from: f64, to: f64, part: f64, pause_ms: f64, every_s: f64) {
        for cache in self.pick_caches(part) {
            let mut at_s = from + every_s * self.rng.random::<f64>();
            while at_s < to {
                self.push(at_s, Action::Pause(cache, pause_ms));
                at_s += every_s * (0.75 + 0.5 * self.rng.random::<f64>());
            }
        }
    }

    pub(super) fn spoil(&mut self, from: f64, to: f64, part: f64, errors: f64, resets: f64) {
        for cache in self.pick_caches(part) {
            self.during(
                from,
                to,
                Action::Spoil(cache, errors, resets),
                Action::Spoil(cache, 0.0, 0.0),
            );
        }
    }

    /// Replaces servers batch by batch; each successor starts halfway through the drain period.
    pub(super) fn deploy(&mut self, from: f64, length_s: f64, part: f64, batch: f64, drain_s: f64) {
        let replaced = self.pick_caches(part);
        let size = ((batch * self.alive.len() as f64).round() as usize).max(1);
        let batches: Vec<&[usize]> = replaced.chunks(size).collect();
        let interval = length_s / batches.len().max(1) as f64;
        for (n, batch) in batches.into_iter().enumerate() {
            let at_s = from + interval * n as f64;
            for &cache in batch {
                self.retire_cache(cache, at_s, drain_s);
                self.add_cache(at_s + drain_s * 0.5);
            }
        }
    }

    pub(super) fn shrink(&mut self, from: f64, length_s: f64, part: f64, drain_s: f64) {
        let retired = self.pick_caches(part);
        let interval = length_s / retired.len().max(1) as f64;
        for (n, cache) in retired.into_iter().enumerate() {
            self.retire_cache(cache, from + interval * n as f64, drain_s);
        }
    }

    pub(super) fn grow(&mut self, from: f64, times: f64) {
        let added = ((times - 1.0) * self.alive.len() as f64).round() as usize;
        for _ in 0..added {
            self.add_cache(from);
        }
    }
}
