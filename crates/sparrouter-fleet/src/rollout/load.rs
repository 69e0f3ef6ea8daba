//! Updates one server to the newest weights: stops new requests to it and sends one order per version until it runs the
//! newest version.
use super::directives::{DirectiveKind, ServerModel};
use super::order::Order;
use super::server_calls::{Report, request_report};
use super::{RolloutTask, TargetVersion};
use crate::control::shard_lease::{ActiveLease, FRESH_FOR};
use crate::settings::nanos;
use sparrouter_membership::LifecycleState;
use sparrouter_routing::Nanos;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay after a directive until the other nodes have stopped sending new requests to the server.
const DIRECTIVE_DELAY: Duration = Duration::from_millis(40);
/// Interval at which a server that loads new weights is asked for a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum age of the state in a report: a few hundred milliseconds plus a margin. A report reflects each order that
/// the server accepted longer ago than this.
const REPORT_LAG: Duration = Duration::from_millis(1_000);
/// Maximum time for the update of a server, as a multiple of the time for which requests may begin on older versions.
const MAX_LOAD_TIME_RATIO: u64 = 2;
/// Weight of the latest update in the moving average of update times.
const NEWEST_WEIGHT: f64 = 0.3;

/// Outcome of the update of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadOutcome {
    /// The server runs this version, which is the newest.
    Runs(u64),
    /// The server left, another node has the lease, no quorum responds, or the update takes too long.
    Abandoned,
}

/// Progress of the update of one server.
struct Progress {
    /// The newest version, and the time since when it has been the target.
    target: u64,
    target_since: Nanos,
    /// The last version for which the server accepted an order.
    ordered: Option<u64>,
    /// From the server's last report: the version that it runs, whether it is executing an order, and how many orders
    /// it has accepted.
    running_version: u64,
    is_busy: bool,
    accepted_orders: Option<u64>,
    /// When the server last accepted an order or reported that it was executing one.
    last_busy_at: Nanos,
    /// Whether a newer version replaced the target during the update. The elapsed time is then not the time of a single
    /// load.
    was_retargeted: bool,
}

impl Progress {
    fn new(target: u64, target_since: Nanos) -> Progress {
        Progress {
            target,
            target_since,
            ordered: None,
            running_version: 0,
            is_busy: false,
            accepted_orders: None,
            last_busy_at: 0,
            was_retargeted: false,
        }
    }

    /// Whether an order for the target version may be sent now. A server that is executing another order, from this
    /// node or an earlier lease holder, would decline it. An accepted order that the server's reports do not reflect is
    /// sent again: each order states how many orders the server has accepted so far, so that it is not executed twice.
    fn may_order(&self, now: Nanos) -> bool {
        let is_order_pending = self
            .ordered
            .is_some_and(|ordered| self.running_version < ordered);
        let may_report_be_outdated = now.saturating_sub(self.last_busy_at) < nanos(REPORT_LAG);
        let is_executing = self.is_busy || (is_order_pending && may_report_be_outdated);
        !is_executing
    }

    fn apply_report(&mut self, report: &Report, model: &str, now: Nanos) {
        self.running_version = report.version_of(model);
        self.is_busy = report.is_busy;
        self.accepted_orders = Some(report.call_sequence);
        if report.is_busy {
            self.last_busy_at = now;
        }
    }

    /// Replaces the target by a newer version.
    fn retarget(&mut self, version: u64, now: Nanos) {
        (self.target, self.target_since) = (version, now);
        self.was_retargeted = true;
    }
}

/// Address and target version of a server whose update continues.
struct LoadTarget {
    address: SocketAddr,
    /// The newest version of the model.
    version: u64,
}

impl RolloutTask {
    /// Updates one server to the newest version of a model. If a newer version is set during the update, it is ordered
    /// next, and no new request is sent to the server until it runs that version.
    pub(super) async fn update_server(&self, lease: ActiveLease, id: &str, target: &TargetVersion) {
        let model = target.model.as_str();
        let server = ServerModel { id, model };
        self.issue_directive(lease, DirectiveKind::Load, server, target.version);
        tokio::time::sleep(DIRECTIVE_DELAY).await;
        let mut progress = Progress::new(target.version, self.node.now());
        let outcome = self.load(lease, server, &mut progress).await;
        let reached_version = match outcome {
            LoadOutcome::Runs(version) => version,
            LoadOutcome::Abandoned => 0,
        };
        if reached_version > 0 && !progress.was_retargeted {
            self.record_load_time(self.node.now() - progress.target_since);
        }
        let announced = (id.to_owned(), model.to_owned());
        if self.announced.borrow_mut().remove(&announced) {
            self.withdraw_directive(lease, DirectiveKind::LoadSoon, server, progress.target);
        }
        self.withdraw_directive(lease, DirectiveKind::Load, server, reached_version);
    }

    fn record_load_time(&self, elapsed: Nanos) {
        let seconds = elapsed as f64 / 1e9;
        let average = self.load_seconds.get();
        self.load_seconds
            .set(average + NEWEST_WEIGHT * (seconds - average));
    }

    async fn load(
        &self,
        lease: ActiveLease,
        server: ServerModel<'_>,
        progress: &mut Progress,
    ) -> LoadOutcome {
        let max_time = nanos(self.node.settings.borrow().bounds.version) * MAX_LOAD_TIME_RATIO;
        loop {
            let Some(LoadTarget { address, version }) = self.load_target(lease, server) else {
                return LoadOutcome::Abandoned;
            };
            if version > progress.target {
                progress.retarget(version, self.node.now());
                self.issue_directive(lease, DirectiveKind::Load, server, version);
            }
            if self.node.now() - progress.target_since >= max_time {
                return LoadOutcome::Abandoned;
            }
            if progress.may_order(self.node.now())
                && self.order_target(lease, server, address, progress).await == NextStep::Abandon
            {
                return LoadOutcome::Abandoned;
            }
            tokio::time::sleep(self.node.jitter(REPORT_INTERVAL)).await;
            let Some(report) = request_report(&*self.node.net, address).await else {
                continue;
            };
            progress.apply_report(&report, server.model, self.node.now());
            if progress.running_version >= progress.target && !progress.is_busy {
                return LoadOutcome::Runs(progress.running_version);
            }
        }
    }

    /// The server's address and the newest version of the model; `None` if this node must no longer update the server.
    fn load_target(&self, lease: ActiveLease, server: ServerModel<'_>) -> Option<LoadTarget> {
        let is_ready = {
            let membership = self.node.membership.borrow();
            let record = membership.server(server.id);
            record.is_some_and(|r| r.state == LifecycleState::Ready && !r.unresponsive)
        };
        if !self.lease.is_active(lease) || !is_ready {
            return None;
        }
        let server_table = self.node.server_table.borrow();
        Some(LoadTarget {
            address: server_table.get(server_table.find(server.id)?)?.address,
            version: server_table.versions.required(server.model)?.version,
        })
    }

    /// Sends an order for the target version once.
    async fn order_target(
        &self,
        lease: ActiveLease,
        server: ServerModel<'_>,
        address: SocketAddr,
        progress: &mut Progress,
    ) -> NextStep {
        let order = Order {
            server,
            address,
            version: progress.target,
            accepted_before: progress.accepted_orders,
        };
        match self.send_order(lease, &order).await {
            Some(200..=299) => {
                progress.ordered = Some(progress.target);
                progress.last_busy_at = self.node.now();
                NextStep::Continue
            }
            // The server rejected the fencing token: another node has acquired the lease.
            Some(412) => NextStep::Abandon,
            Some(421) => {
                self.mark_replaced(server.id);
                NextStep::Abandon
            }
            // No quorum confirms the lease. The server should serve requests again instead of waiting.
            None if order.accepted_before.is_none()
                && self.lease.since_renewal() > nanos(FRESH_FOR * 2) =>
            {
                NextStep::Abandon
            }
            _ => NextStep::Continue,
        }
    }

    /// Marks a server unresponsive until its next heartbeat, because another server has its address.
    fn mark_replaced(&self, id: &str) {
        let now = self.node.now();
        let mut membership = self.node.membership.borrow_mut();
        if membership.mark_server_unresponsive(id, now) {
            let mut server_table = self.node.server_table.borrow_mut();
            server_table.sync(&membership, now);
        }
    }
}

/// How the update of a server continues after an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    /// The outcome will be visible in the server's reports.
    Continue,
    /// The update of the server is abandoned.
    Abandon,
}
