//! When which machine had a fault, and when the core was not stable: which machines are in contact.

use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A stable period counts toward `version_all` from this length on.
const MIN_STABLE_PERIOD: Duration = Duration::from_secs(2);

/// What a fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// The core as a whole: it may have no quorum.
    Core,
    /// The machine with this address, or the links to it.
    Machine(IpAddr),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    /// A freeze, a partition, a disk that fails.
    Fault,
    /// No process runs.
    ProcessDown,
    /// The process was asked to end.
    PlannedShutdown,
}

#[derive(Debug)]
struct FaultInterval {
    scope: FaultScope,
    kind: FaultKind,
    from: Instant,
    /// `None` as long as it lasts. Equal to `from` for a fault of a moment.
    end: Option<Instant>,
}

impl FaultInterval {
    /// Whether time does not count for VERSION meanwhile: the core is not stable, or a link has a fault.
    fn suspends_version_rule(&self) -> bool {
        let is_momentary = self.end == Some(self.from);
        self.scope == FaultScope::Core || (self.kind == FaultKind::Fault && !is_momentary)
    }
}

/// All faults of a run so far.
#[derive(Debug, Default)]
pub struct FaultTimeline(Vec<FaultInterval>);

impl FaultTimeline {
    fn begin(&mut self, scope: FaultScope, kind: FaultKind) {
        self.0.push(FaultInterval {
            scope,
            kind,
            from: Instant::now(),
            end: None,
        });
    }

    /// A fault begins.
    pub(super) fn fault_began(&mut self, scope: FaultScope) {
        self.begin(scope, FaultKind::Fault);
    }

    /// The oldest fault of this scope ends; others go on.
    pub(super) fn fault_ended(&mut self, scope: FaultScope) {
        let is_open = |interval: &&mut FaultInterval| {
            interval.scope == scope
                && interval.end.is_none()
                && interval.kind != FaultKind::ProcessDown
        };
        if let Some(interval) = self.0.iter_mut().find(is_open) {
            interval.end = Some(Instant::now());
        }
    }

    /// A fault of a moment.
    pub(super) fn momentary_fault(&mut self, scope: FaultScope) {
        let now = Instant::now();
        self.0.push(FaultInterval {
            scope,
            kind: FaultKind::Fault,
            from: now,
            end: Some(now),
        });
    }

    /// No process runs on a machine.
    pub(super) fn process_stopped(&mut self, ip: IpAddr) {
        self.begin(FaultScope::Machine(ip), FaultKind::ProcessDown);
    }

    /// A process runs on a machine again.
    pub(super) fn process_started(&mut self, ip: IpAddr) {
        let now = Instant::now();
        let scope = FaultScope::Machine(ip);
        for interval in &mut self.0 {
            if interval.scope == scope
                && interval.kind == FaultKind::ProcessDown
                && interval.end.is_none()
            {
                interval.end = Some(now);
            }
        }
    }

    /// The process of a machine was asked to end, which it does within `duration`.
    pub(super) fn shutdown_requested(&mut self, ip: IpAddr, duration: Duration) {
        let now = Instant::now();
        self.0.push(FaultInterval {
            scope: FaultScope::Machine(ip),
            kind: FaultKind::PlannedShutdown,
            from: now,
            end: Some(now + duration),
        });
    }

    fn any_overlaps(
        &self,
        from: Instant,
        end: Instant,
        matches: impl Fn(&FaultInterval) -> bool,
    ) -> bool {
        self.0.iter().any(|interval| {
            matches(interval) && interval.from <= end && interval.end.is_none_or(|end| end >= from)
        })
    }

    /// Whether a planned shutdown of the machine overlaps the period.
    pub fn is_shutting_down(&self, ip: IpAddr, from: Instant, end: Instant) -> bool {
        let scope = FaultScope::Machine(ip);
        self.any_overlaps(from, end, |interval| {
            interval.kind == FaultKind::PlannedShutdown && interval.scope == scope
        })
    }

    /// Whether anything but a planned shutdown overlaps the period.
    pub fn any_unplanned(&self, from: Instant, end: Instant) -> bool {
        self.any_overlaps(from, end, |interval| {
            interval.kind != FaultKind::PlannedShutdown
        })
    }

    /// Whether the machine or the core has any fault in the period.
    pub fn affects(&self, ip: IpAddr, from: Instant, end: Instant) -> bool {
        self.any_overlaps(from, end, |interval| {
            interval.scope == FaultScope::Machine(ip) || interval.scope == FaultScope::Core
        })
    }

    /// The first moment from `from` on at which the machine and the core have had no fault for `contact`; `None` if that
    /// has not come by `now`.
    pub fn first_in_contact(
        &self,
        ip: IpAddr,
        from: Instant,
        now: Instant,
        contact: Duration,
    ) -> Option<Instant> {
        let concerns = |interval: &&FaultInterval| {
            interval.scope == FaultScope::Machine(ip) || interval.scope == FaultScope::Core
        };
        let mut faults: Vec<&FaultInterval> = self.0.iter().filter(concerns).collect();
        faults.sort_unstable_by_key(|fault| fault.from);
        let mut moment = from;
        for fault in faults.iter().take_while(|fault| fault.from <= now) {
            if fault.from > moment {
                break;
            }
            moment = moment.max(fault.end? + contact);
        }
        (moment <= now).then_some(moment)
    }

    /// Whether the machine itself, the links to it or its disk have a fault in the period. That no process runs is none.
    pub fn impairs_machine(&self, ip: IpAddr, from: Instant, end: Instant) -> bool {
        let scope = FaultScope::Machine(ip);
        self.any_overlaps(from, end, |interval| {
            interval.kind == FaultKind::Fault && interval.scope == scope
        })
    }

    /// Whether the core has any fault in the period.
    pub fn affects_core(&self, from: Instant, end: Instant) -> bool {
        self.any_overlaps(from, end, |interval| interval.scope == FaultScope::Core)
    }

    /// Since when the core has been stable and no link has had a fault, `contact` after its end included, as far as that
    /// reaches back to `from`; `None` while it is not so now. The start and the end of a process on a machine outside of
    /// the core are no fault of a link.
    pub fn stable_since(&self, from: Instant, now: Instant, contact: Duration) -> Option<Instant> {
        let mut stable_since = from;
        for interval in self.0.iter().filter(|i| i.suspends_version_rule()) {
            stable_since = stable_since.max(interval.end? + contact);
        }
        (stable_since <= now).then_some(stable_since)
    }

    /// What the stable periods between two moments add up to; those shorter than [`MIN_STABLE_PERIOD`] do not count.
    pub fn stable_total(&self, from: Instant, now: Instant, contact: Duration) -> Duration {
        let suspending = self.0.iter().filter(|i| i.suspends_version_rule());
        let mut unstable: Vec<(Instant, Instant)> = suspending
            .map(|interval| (interval.from, interval.end.unwrap_or(now) + contact))
            .collect();
        unstable.sort_unstable();
        unstable.push((now, now));
        let mut total = Duration::ZERO;
        let mut stable_from = from;
        for (begins, ends) in unstable {
            let period = begins.min(now).saturating_duration_since(stable_from);
            if period >= MIN_STABLE_PERIOD {
                total += period;
            }
            stable_from = stable_from.max(ends);
        }
        total
    }
}
