//! One server taken to the newest weights: nothing new goes to it, one order a version, until it runs the newest.
use super::calls::{Report, answer, report};
use super::{DirectiveKind, FRESH, Held, RolloutTask};
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::upstream::{SendOutcome, Upstream};
use crate::settings::nanos;
use bytes::Bytes;
use sparrouter_membership::LifecycleState;
use sparrouter_routing::Nanos;
use std::net::SocketAddr;
use std::time::Duration;

/// Other nodes have heard by then that nothing new goes to a server.
const SPREAD: Duration = Duration::from_millis(40);
/// Between two looks at a server that is taking new weights.
const REPORT: Duration = Duration::from_millis(250);
/// A report shows the state of some hundred milliseconds before: after so long an order that was taken shows in it.
const REPORT_LAG: Duration = Duration::from_millis(1_000);
/// A server is waited for so many times as long as requests may begin on older versions.
const LONGEST: u64 = 2;
/// Of the time that the last loads took, the part that the newest counts for.
const NEWEST_WEIGHT: f64 = 0.3;

/// Why no more is done about a server for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// It runs this version, the newest.
    Runs(u64),
    /// It left, the lease is another's, no quorum answers, or it takes too long.
    GivenUp,
}

/// What is known of one server while it is brought to the newest version.
struct Progress {
    /// The newest version, and since when it is.
    target: u64,
    since: Nanos,
    /// The last version that it took an order for.
    ordered: Option<u64>,
    /// As it last told: the version that it runs, whether an order is under way, how many it took.
    runs: u64,
    is_busy: bool,
    call_sequence: Option<u64>,
    /// When it last took an order or told that one is under way.
    last_at_work: Nanos,
    /// Another version was named meanwhile, so the time taken is not that of one load.
    was_overtaken: bool,
}

impl Progress {
    fn new(target: u64, since: Nanos) -> Progress {
        Progress {
            target,
            since,
            ordered: None,
            runs: 0,
            is_busy: false,
            call_sequence: None,
            last_at_work: 0,
            was_overtaken: false,
        }
    }

    /// Whether the target is to be ordered now. A server that is at work on another order, this node's or that of an earlier
    /// holder, would decline. An order that a server took and shows nothing of is given again: it names how many orders
    /// the server has taken, so that it is not done twice.
    fn may_order(&self, now: Nanos) -> bool {
        let was_ordered = self.ordered.is_some_and(|ordered| self.runs < ordered);
        let may_not_show_yet = now.saturating_sub(self.last_at_work) < nanos(REPORT_LAG);
        let is_at_work = self.is_busy || (was_ordered && may_not_show_yet);
        !is_at_work
    }

    /// Takes in what the server told.
    fn learn(&mut self, report: &Report, model: &str, now: Nanos) {
        self.runs = report.version_of(model);
        self.is_busy = report.is_busy;
        self.call_sequence = Some(report.call_sequence);
        if report.is_busy {
            self.last_at_work = now;
        }
    }
}

impl RolloutTask {
    /// Brings one server to the newest version of a model. One that is named while the server loads is ordered next, and
    /// nothing new goes to the server until it runs that.
    pub(super) async fn bring_to_newest(&self, held: Held, id: &str, model: &str, version: u64) {
        self.direct(held, DirectiveKind::Load, id, model, version, false);
        tokio::time::sleep(SPREAD).await;
        let mut progress = Progress::new(version, self.node.now());
        let ended = self.load(held, id, model, &mut progress).await;
        let reached = match ended {
            Ended::Runs(version) => version,
            Ended::GivenUp => 0,
        };
        if reached > 0 && !progress.was_overtaken {
            let took = (self.node.now() - progress.since) as f64 / 1e9;
            let before = self.seconds_each.get();
            self.seconds_each
                .set(before + NEWEST_WEIGHT * (took - before));
        }
        let announced = (id.to_owned(), model.to_owned());
        if self.announced.borrow_mut().remove(&announced) {
            self.direct(held, DirectiveKind::Soon, id, model, progress.target, true);
        }
        self.direct(held, DirectiveKind::Load, id, model, reached, true);
    }

    async fn load(&self, held: Held, id: &str, model: &str, progress: &mut Progress) -> Ended {
        let longest = nanos(self.node.settings.borrow().bounds.version) * LONGEST;
        loop {
            let Some((address, newest)) = self.still_to_do(held, id, model) else {
                return Ended::GivenUp;
            };
            if newest > progress.target {
                (progress.target, progress.since) = (newest, self.node.now());
                progress.was_overtaken = true;
                self.direct(held, DirectiveKind::Load, id, model, newest, false);
            }
            if self.node.now() - progress.since >= longest {
                return Ended::GivenUp;
            }
            if progress.may_order(self.node.now())
                && !self.order_once(held, id, address, model, progress).await
            {
                return Ended::GivenUp;
            }
            tokio::time::sleep(self.node.jitter(REPORT)).await;
            let Some(report) = report(&*self.node.net, address).await else {
                continue;
            };
            progress.learn(&report, model, self.node.now());
            if progress.runs >= progress.target && !progress.is_busy {
                return Ended::Runs(progress.runs);
            }
        }
    }

    /// Where the server is and the newest version of the model, while it is this node's to bring there.
    fn still_to_do(&self, held: Held, id: &str, model: &str) -> Option<(SocketAddr, u64)> {
        let holds = self
            .held
            .get()
            .is_some_and(|now| now.fencing_token == held.fencing_token);
        let is_ready = self
            .node
            .membership
            .borrow()
            .server(id)
            .is_some_and(|row| row.state == LifecycleState::Ready && !row.unresponsive);
        if !holds || !is_ready {
            return None;
        }
        let server_table = self.node.server_table.borrow();
        let address = server_table.get(server_table.find(id)?)?.address;
        Some((address, server_table.versions.required(model)?.version))
    }

    /// Orders the target once; false where no more is to be done about the server.
    async fn order_once(
        &self,
        held: Held,
        id: &str,
        address: SocketAddr,
        model: &str,
        progress: &mut Progress,
    ) -> bool {
        let expected = progress.call_sequence;
        let status = self
            .order(held, id, address, model, progress.target, expected)
            .await;
        match status {
            Some(200..=299) => {
                progress.ordered = Some(progress.target);
                progress.last_at_work = self.node.now();
            }
            // Fenced off: another holds the lease.
            Some(412) => return false,
            Some(421) => {
                self.is_gone(id);
                return false;
            }
            // No word of a quorum: the server is worth more serving than waiting.
            None if expected.is_none() && self.since_renewal() > nanos(FRESH * 2) => return false,
            _ => {}
        }
        true
    }

    /// Another server has its address: it counts as silent until it is heard of again.
    fn is_gone(&self, id: &str) {
        let now = self.node.now();
        let mut rows = self.node.membership.borrow_mut();
        if rows.mark_server_unresponsive(id, now) {
            self.node.server_table.borrow_mut().sync(&rows, now);
        }
    }

    /// Sends the order; gives back the status. None where there was no answer, or it was not sent.
    async fn order(
        &self,
        held: Held,
        id: &str,
        address: SocketAddr,
        model: &str,
        version: u64,
        expected: Option<u64>,
    ) -> Option<u16> {
        let mut link = Upstream::dial(&*self.node.net, address).await?;
        let began = self.node.now();
        if !self.renew(held).await {
            return None;
        }
        let holder = self.holder().name;
        let count = expected
            .map(|n| format!(",\"expected_count\":{n}"))
            .unwrap_or_default();
        let body = format!(
            "{{\"operation\":\"version\",\"model\":\"{model}\",\"version\":{version},\"method\":\"queue\",\
             \"holder_id\":\"{holder}\",\"fence_token\":{}{count}}}",
            held.fencing_token
        );
        // Guards against a restarted server, or another one that has its address: both take an order without it.
        let instance = if !rules::orders_name_instance() {
            String::new()
        } else {
            format!("Sparrouter-Expected-Instance: {id}\r\n")
        };
        let head = format!(
            "POST /api/order HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n{instance}\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        // Last thing before it leaves: a freeze may lie behind any wait.
        let waited = self.node.now().saturating_sub(began);
        if waited > nanos(self.lease()) / 3 || self.node.is_leaving() {
            return None;
        }
        if link.send(&Bytes::from(head), &Bytes::from(body)).await == SendOutcome::Nothing {
            return None;
        }
        let status = answer(&mut link).await.map(|answer| answer.0);
        self.record_order(held, id, model, version, status);
        status
    }

    fn record_order(&self, held: Held, id: &str, model: &str, version: u64, status: Option<u16>) {
        let counters = &self.node.counters;
        count(match status {
            Some(200..=299) => &counters.orders_taken,
            Some(_) => &counters.orders_declined,
            None => &counters.orders_unanswered,
        });
        log::info!(
            "ordered {id} to version {version} of {model} under {}: {status:?}",
            held.fencing_token
        );
    }
}
