//! Counts a tenant's sends and checks them against its limits.
use sparrouter_quota::{Division, Nanos, QuotaLimit, QuotaSettings};
use std::collections::VecDeque;

/// A window with more sends than its limit allows; the window ends at `ends_at`.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub ends_at: Nanos,
    pub sent: usize,
    pub allowed: f64,
}

/// A tenant's limits over time and its recent sends, in simulated real time.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: QuotaSettings,
    /// Ratio of the longest permit lifetime in real time, by the slowest node clock, to the nominal one; 1 if no clock is
    /// slow.
    lifetime_stretch: f64,
    /// Each limit and the time from which it applies; `None` means no limit.
    limits: Vec<(Nanos, Option<QuotaLimit>)>,
    sends: VecDeque<Nanos>,
    /// Highest ratio of sends to allowed sends over all windows.
    pub highest_ratio: f64,
    pub total: usize,
}

impl Ledger {
    pub fn new(settings: QuotaSettings, lifetime_stretch: f64) -> Ledger {
        Ledger {
            settings,
            lifetime_stretch,
            limits: vec![(0, None)],
            sends: VecDeque::new(),
            highest_ratio: 0.0,
            total: 0,
        }
    }

    pub fn set_limit(&mut self, limit: Option<QuotaLimit>, now: Nanos) {
        self.limits.push((now, limit));
    }

    /// Sends of the window that ends at the last send or prune.
    pub fn recent(&self) -> &VecDeque<Nanos> {
        &self.sends
    }

    /// Drops the sends that are before the window that ends at `now`.
    pub fn prune(&mut self, now: Nanos) {
        let window_start = now.saturating_sub(self.settings.window);
        while self.sends.front().is_some_and(|sent| *sent < window_start) {
            self.sends.pop_front();
        }
    }

    /// Records a send.
    ///
    /// # Errors
    ///
    /// The window that ends at `now` contains more sends than allowed.
    pub fn send(&mut self, now: Nanos) -> Result<(), Violation> {
        self.total += 1;
        self.sends.push_back(now);
        self.prune(now);
        let Some(allowed) = self.allowed(now) else {
            return Ok(());
        };
        let sent = self.sends.len();
        self.highest_ratio = self.highest_ratio.max(sent as f64 / allowed);
        if sent as f64 > allowed + 1e-6 * (sent + 1) as f64 {
            return Err(Violation {
                ends_at: now,
                sent,
                allowed,
            });
        }
        Ok(())
    }

    /// Number of sends allowed in the window that ends at `now`; `None` if no limit applied at some time within it.
    fn allowed(&self, now: Nanos) -> Option<f64> {
        let lifetime = self.settings.permit_lifetime as f64 / 1e9;
        let window = self.settings.window as f64 / 1e9;
        let window_start = now.saturating_sub(self.settings.window + self.lifetime());
        let first = self
            .limits
            .partition_point(|(from, _)| *from <= window_start);
        let applicable = &self.limits[first.saturating_sub(1)..];
        let limits: Option<Vec<QuotaLimit>> = applicable.iter().map(|(_, limit)| *limit).collect();
        let limits = limits?;
        let drift_allowance = |rate: f64| rate * lifetime * (self.lifetime_stretch - 1.0);
        if let [limit] = limits[..] {
            let allowed = limit.rate_per_s * window + limit.burst_size;
            let extra = if limit_is_guaranteed(limit, &self.settings) {
                0.0
            } else {
                1.0
            };
            return Some(allowed + extra + drift_allowance(limit.rate_per_s));
        }
        // If the limit changed within the window, the highest capacity and the highest rate of these limits apply.
        let undivided = limits.iter().map(|limit| undivided(*limit, &self.settings));
        let (rate, capacity) =
            undivided.fold((0.0, 0.0), |a: (f64, f64), b| (a.0.max(b.0), a.1.max(b.1)));
        Some(rate * (window + lifetime) + capacity + drift_allowance(rate))
    }

    fn lifetime(&self) -> Nanos {
        (self.settings.permit_lifetime as f64 * self.lifetime_stretch) as Nanos
    }
}

/// Rate and capacity of all parts together.
fn undivided(limit: QuotaLimit, settings: &QuotaSettings) -> (f64, f64) {
    let Division { parts, shape } = Division::of(limit, settings);
    let parts = f64::from(parts);
    (shape.tokens_per_s * parts, shape.capacity * parts)
}

/// Whether `Division::of` guarantees the limit itself; otherwise it guarantees the limit plus one request.
fn limit_is_guaranteed(limit: QuotaLimit, settings: &QuotaSettings) -> bool {
    let usable_s = (settings.window as f64 - settings.permit_lifetime as f64) / 1e9;
    limit.rate_per_s * usable_s / 2.0 + limit.burst_size >= 1.0
}
