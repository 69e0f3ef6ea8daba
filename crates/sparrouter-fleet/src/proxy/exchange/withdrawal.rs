//! Withdrawal of a request that still waits at a server on outdated weights when its time to begin there is over.
//!
//! A request is sent to older weights only if it is expected to begin in time. It may wait longer, since slots that
//! other nodes' long streams hold are not part of the estimate. The closed connection makes the server drop it.
use super::Exchange;
use crate::node::Node;
use crate::platform::defects::rules;
use sparrouter_config::RouteKind;
use sparrouter_routing::{Nanos, Selection};
use std::rc::Rc;
use std::time::Duration;

/// Longest time between two checks: a newer version may be named, or the core may change, while the request waits.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The weights on which a request that was sent will begin.
pub(super) struct AwaitedRun {
    node: Rc<Node>,
    model: String,
    version: u64,
}

impl Exchange<'_> {
    /// The weights on which the request will begin at this server; `None` if that is not known, or if the head of the
    /// response does not show the begin: only that of a stream is sent with its first token.
    pub(super) fn awaited_run(&self, selection: &Selection) -> Option<AwaitedRun> {
        if self.route.kind != RouteKind::Streaming {
            return None;
        }
        Some(AwaitedRun {
            node: self.node.clone(),
            model: self.model.clone()?,
            version: selection.version?,
        })
    }
}

impl AwaitedRun {
    /// Waits until a request must not begin on these weights any more. Never returns without a newer version.
    async fn limit_passed(&self) {
        loop {
            let remaining = Duration::from_nanos(self.remaining());
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining.min(CHECK_INTERVAL)).await;
        }
    }

    fn remaining(&self) -> Nanos {
        let now = self.node.now();
        let server_table = self.node.server_table.borrow();
        let versions = &server_table.versions;
        versions.remaining_time_of_queued(&self.model, self.version, now)
    }
}

/// Waits until the request has to be withdrawn; never returns if it does not.
pub(super) async fn limit_passed(run: Option<AwaitedRun>) {
    match run {
        Some(run) if rules::late_requests_are_withdrawn() => run.limit_passed().await,
        _ => std::future::pending().await,
    }
}
