//! Periodic work of a process: checks the liveness of servers and nodes, drops expired records, and writes the
//! membership to disk.
use super::version_ages::VersionAgesWriter;
use crate::api::ControlServices;
use crate::control::Control;
use crate::node::Node;
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_routing::Nanos;
use std::rc::Rc;
use std::time::Duration;

/// Time between two runs of the periodic work, before jitter.
const INTERVAL: Duration = Duration::from_millis(250);
/// Number of runs between two writes of the membership to disk.
const RUNS_PER_WRITE: u32 = 4;
/// Number of runs between two removals of expired records.
const RUNS_PER_EXPIRY: u32 = 16;

/// Runs the periodic work until the process ends.
pub(super) async fn run(services: Rc<ControlServices>) {
    let mut runs = 0u32;
    let mut contact = ContactWatch::default();
    let mut version_ages = VersionAgesWriter::default();
    loop {
        tokio::time::sleep(services.node.jitter(INTERVAL)).await;
        runs += 1;
        let node = &services.node;
        services
            .registry
            .check_liveness(node, services.control.is_some());
        if let Some(control) = &services.control {
            control.mark_unresponsive_pollers();
            contact.observe(node, control);
            if runs.is_multiple_of(RUNS_PER_WRITE) {
                control.write_membership();
                version_ages.write(node, control);
            }
        }
        if runs.is_multiple_of(RUNS_PER_EXPIRY) {
            let now = node.now();
            node.membership.borrow_mut().drop_expired(now);
            // Publishes changes that were made without notifying other nodes, and applies the expiry of directives.
            node.publish_changes();
        }
    }
}

/// Observes whether this member is in contact with a quorum, and reports a lasting loss.
#[derive(Default)]
struct ContactWatch {
    /// Whether the member had quorum contact at the last observation.
    has_contact: bool,
    /// Whether a loss of contact is to be reported: true from the first contact until the loss is reported.
    reports_loss: bool,
    /// Time at which contact was lost; `None` while there is contact.
    lost_at: Option<Nanos>,
}

impl ContactWatch {
    fn observe(&mut self, node: &Node, control: &Control) {
        let has_contact = control.has_quorum_contact();
        if has_contact != self.has_contact {
            self.has_contact = has_contact;
            // Wakes the pending long polls, whose wait time depends on quorum contact.
            node.notify_subscribers();
        }
        if has_contact {
            self.reports_loss = true;
            self.lost_at = None;
        } else if self.reports_loss {
            let now = node.now();
            let lost_at = *self.lost_at.get_or_insert(now);
            let limit = nanos(node.settings.borrow().bounds.contact);
            if now.saturating_sub(lost_at) > limit {
                self.reports_loss = false;
                node.log_buffer.report_violation(
                    "the quorum of the control state is lost here: bring back its members, with their disks",
                );
            }
        }
    }
}

/// Reports if the process has heard from no quorum within `contact_timeout` of its start. The process is not ready in
/// this state, because its configuration may be outdated, but it still serves client requests by that configuration.
pub(super) async fn report_missing_quorum(node: Rc<Node>, contact_timeout: Duration) {
    tokio::time::sleep(contact_timeout).await;
    let has_configuration = node.active_configuration().table.is_some();
    if node.fleet_contact.is_informed() || !has_configuration {
        return;
    }
    node.log_buffer.report_violation(
        "no quorum of the control state is heard of since the start: not ready, the configuration here may be old",
    );
    if !rules::readiness_needs_quorum() {
        node.fleet_contact.mark_informed();
    }
}
