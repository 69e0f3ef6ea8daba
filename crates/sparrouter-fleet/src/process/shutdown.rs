//! Graceful shutdown: the node reports that it is not ready, then stops accepting connections, and ends once no request
//! is in flight.
use crate::control::Control;
use crate::node::Node;
use crate::node::shutdown::GracefulShutdown;
use crate::proxy::frontend::Stage;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Time between two checks whether the node is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of consecutive checks that must find the node idle.
const IDLE_CHECKS: u32 = 6;

/// Shuts the process down: answers all accepted requests and hands the control state over. Returns at the end of the
/// grace period at the latest, and reports unfinished requests and shards.
pub(super) async fn run(
    node: &Rc<Node>,
    control: Option<&Rc<Control>>,
    stage: &watch::Sender<Stage>,
    grace: Duration,
) {
    let schedule = GracefulShutdown::new(Instant::now(), grace);
    node.shutdown.set(Some(schedule));
    stage.send_replace(Stage::Leaving);
    node.announce_leaving();
    if let Some(control) = control {
        spawn_local(control.clone().hand_over());
    }
    tokio::time::sleep_until(schedule.notice_ends()).await;
    stage.send_replace(Stage::Closing);
    if !is_idle_before(schedule.process_ends(), node, control).await {
        report_unfinished(node, control);
    }
}

/// Waits until no request is in flight and the control state is handed over; false if the deadline passes first.
async fn is_idle_before(deadline: Instant, node: &Node, control: Option<&Rc<Control>>) -> bool {
    let mut idle_checks = 0;
    while Instant::now() < deadline {
        tokio::time::sleep(IDLE_CHECK_INTERVAL.min(deadline - Instant::now())).await;
        let is_idle =
            node.traffic.open_requests() == 0 && control.is_none_or(|c| c.is_handed_over());
        idle_checks = if is_idle { idle_checks + 1 } else { 0 };
        if idle_checks >= IDLE_CHECKS {
            return true;
        }
    }
    false
}

/// Reports the requests that are still open and the control state that is not handed over.
fn report_unfinished(node: &Node, control: Option<&Rc<Control>>) {
    let open_requests = node.traffic.open_requests();
    if open_requests > 0 {
        node.log_buffer.report_violation(&format!(
            "{open_requests} requests were still open at the end of the grace period"
        ));
    }
    let shards = control
        .map(|c| c.shards_not_handed_over())
        .unwrap_or_default();
    if !shards.is_empty() {
        node.log_buffer.report_violation(&format!(
            "not handed over at the end of the grace period: {}; keep this machine's disk until the others form a quorum",
            shards.join(", ")
        ));
    }
}
