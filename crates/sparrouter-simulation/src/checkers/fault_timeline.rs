//! When which machine had trouble, and when the core was shaken: who is in touch, in the page's words.
use super::Monitor;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A calm stretch counts toward `version_all` from this length on.
const SHORTEST_STRETCH: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct FaultInterval {
    /// None: the core as a whole.
    ip: Option<IpAddr>,
    from: Instant,
    until: Option<Instant>,
    planned: bool,
    /// No process runs.
    down: bool,
}

impl FaultInterval {
    /// Whether time does not count for VERSION meanwhile: the core is not stable, or a link is in trouble.
    fn disturbs_versions(&self) -> bool {
        let is_moment = self.until == Some(self.from);
        self.ip.is_none() || !(self.planned || self.down || is_moment)
    }
}

#[derive(Default)]
pub(super) struct FaultTimeline(Vec<FaultInterval>);

impl FaultTimeline {
    fn touches(
        &self,
        from: Instant,
        until: Instant,
        fits: impl Fn(&FaultInterval) -> bool,
    ) -> bool {
        let overlaps = |s: &FaultInterval| s.from <= until && s.until.is_none_or(|end| end >= from);
        self.0.iter().any(|s| fits(s) && overlaps(s))
    }
}

impl Monitor {
    /// Trouble at a machine begins; `ip` None: the core is shaken.
    pub fn fault_began(&self, ip: Option<IpAddr>) {
        self.begins(ip, false);
    }

    /// It ends; what else befalls that machine goes on.
    pub fn fault_ended(&self, ip: Option<IpAddr>) {
        let now = Instant::now();
        let mut fault_timeline = self.fault_timeline.borrow_mut();
        let open = |s: &&mut FaultInterval| s.ip == ip && s.until.is_none() && !s.down;
        fault_timeline
            .0
            .iter_mut()
            .find(open)
            .into_iter()
            .for_each(|s| s.until = Some(now));
    }

    /// No process runs on a machine.
    pub fn process_stopped(&self, ip: IpAddr) {
        self.begins(Some(ip), true);
    }

    /// One does again.
    pub fn process_started(&self, ip: IpAddr) {
        let now = Instant::now();
        let mut fault_timeline = self.fault_timeline.borrow_mut();
        let open = |s: &&mut FaultInterval| s.ip == Some(ip) && s.until.is_none() && s.down;
        fault_timeline
            .0
            .iter_mut()
            .filter(open)
            .for_each(|s| s.until = Some(now));
    }

    fn begins(&self, ip: Option<IpAddr>, down: bool) {
        let span = FaultInterval {
            ip,
            from: Instant::now(),
            until: None,
            planned: false,
            down,
        };
        self.fault_timeline.borrow_mut().0.push(span);
    }

    /// A moment's trouble.
    pub fn momentary_fault(&self, ip: Option<IpAddr>) {
        let now = Instant::now();
        self.fault_timeline.borrow_mut().0.push(FaultInterval {
            ip,
            from: now,
            until: Some(now),
            planned: false,
            down: false,
        });
    }

    /// A machine was told to end: what it took is to be answered.
    pub fn shutdown_requested(&self, ip: IpAddr) {
        let now = Instant::now();
        let until = now + self.bounds.grace + Duration::from_secs(1);
        let span = FaultInterval {
            ip: Some(ip),
            from: now,
            until: Some(until),
            planned: true,
            down: false,
        };
        self.fault_timeline.borrow_mut().0.push(span);
    }

    pub(super) fn is_planned(&self, ip: IpAddr, from: Instant, until: Instant) -> bool {
        self.fault_timeline
            .borrow()
            .touches(from, until, |s| s.planned && s.ip == Some(ip))
    }

    pub(crate) fn any_unplanned_fault(&self, from: Instant, until: Instant) -> bool {
        self.fault_timeline
            .borrow()
            .touches(from, until, |s| !s.planned)
    }

    /// Whether a machine was in touch throughout a span of time, `contact` before it included.
    pub fn in_contact(&self, ip: IpAddr, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(self.bounds.contact).unwrap_or(self.began);
        !self
            .fault_timeline
            .borrow()
            .touches(from, until, |s| s.ip == Some(ip) || s.ip.is_none())
    }

    /// Since when the core has been stable and no link in trouble, as far as that reaches back to `from`; None while it is
    /// not so now. The start and the end of a process on a machine that does not count are no trouble of a link.
    pub(super) fn stable_since(&self, from: Instant, now: Instant) -> Option<Instant> {
        let fault_timeline = self.fault_timeline.borrow();
        let mut since = from;
        for span in fault_timeline.0.iter().filter(|s| s.disturbs_versions()) {
            since = since.max(span.until? + self.bounds.contact);
        }
        (since <= now).then_some(since)
    }

    /// What the calm stretches between two moments add up to; those shorter than [`SHORTEST_STRETCH`] do not count.
    pub(super) fn stable_total(&self, from: Instant, now: Instant) -> Duration {
        let fault_timeline = self.fault_timeline.borrow();
        let mut disturbed: Vec<(Instant, Instant)> = fault_timeline
            .0
            .iter()
            .filter(|span| span.disturbs_versions())
            .map(|span| (span.from, span.until.unwrap_or(now) + self.bounds.contact))
            .collect();
        disturbed.sort_unstable();
        disturbed.push((now, now));
        let mut total = Duration::ZERO;
        let mut calm_from = from;
        for (begins, ends) in disturbed {
            let stretch = begins.min(now).saturating_duration_since(calm_from);
            if stretch >= SHORTEST_STRETCH {
                total += stretch;
            }
            calm_from = calm_from.max(ends);
        }
        total
    }

    /// Whether the core was stable throughout, `contact` before it included.
    pub fn core_stable(&self, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(self.bounds.contact).unwrap_or(self.began);
        !self
            .fault_timeline
            .borrow()
            .touches(from, until, |s| s.ip.is_none())
    }
}
