//! What a scenario's fault may not say.
use super::report::Report;
use crate::scenario::faults::{Fault, LinkFault};
use crate::scenario::{Before, Scenario};

/// Checks one fault; `table` is its place in the scenario, as in `fault[2]`.
pub(super) fn check(report: &mut Report, s: &Scenario, table: &str, fault: &Fault) {
    let (from, to, _) = fault.span();
    let mut fields = Fields { report, table };
    fields.range("at_s", from, 0.0, s.length_s);
    fields.range("length_s", to - from, 0.001, 86_400.0);
    check_kind(&mut fields, s, fault);
}

/// The fields of one fault's table.
struct Fields<'a> {
    report: &'a mut Report,
    table: &'a str,
}

impl Fields<'_> {
    fn range(&mut self, name: &str, value: f64, min: f64, max: f64) {
        let field = format!("{}.{name}", self.table);
        self.report.range(&field, value, min, max);
    }

    fn part(&mut self, name: &str, value: f64) {
        self.range(name, value, 0.0, 1.0);
    }

    fn add(&mut self, name: &str, reason: impl Into<String>) {
        let field = format!("{}.{name}", self.table);
        self.report.add(&field, reason);
    }
}

#[allow(
    clippy::too_many_lines,
    reason = "a flat match with one arm for each kind of fault"
)]
fn check_kind(fields: &mut Fields, s: &Scenario, fault: &Fault) {
    match *fault {
        Fault::Crash { part, .. }
        | Fault::Hang { part, .. }
        | Fault::Flush { part, .. }
        | Fault::GossipPartition { part, .. }
        | Fault::NodePause { part, .. }
        | Fault::NodeRestart { part, .. } => fields.part("part", part),
        Fault::Pauses {
            part,
            pause_ms,
            every_s,
            ..
        } => {
            fields.part("part", part);
            fields.range("pause_ms", pause_ms, 1.0, 60_000.0);
            fields.range("every_s", every_s, 0.05, 600.0);
        }
        Fault::Spoilt {
            part,
            errors,
            resets,
            ..
        } => {
            fields.part("part", part);
            fields.part("errors", errors);
            fields.part("resets", resets);
        }
        Fault::SpoiltOrigin { errors, resets, .. } => {
            fields.part("errors", errors);
            fields.part("resets", resets);
        }
        Fault::Burst { times, .. } => fields.range("times", times, 0.0, 1000.0),
        Fault::HotKey { part, keys, .. } => {
            fields.part("part", part);
            fields.range("keys", keys as f64, 1.0, s.load.keys as f64);
        }
        Fault::Deploy {
            part,
            batch,
            drain_s,
            ..
        } => {
            fields.part("part", part);
            fields.range("batch", batch, 0.001, 1.0);
            fields.range("drain_s", drain_s, 0.0, 600.0);
        }
        Fault::Shrink { part, drain_s, .. } => {
            // One is left at least.
            fields.range("part", part, 0.0, 1.0 - 1.0 / s.caches.count as f64);
            fields.range("drain_s", drain_s, 0.0, 600.0);
        }
        Fault::Grow { times, .. } => fields.range("times", times, 1.0, 100.0),
        Fault::Links {
            before,
            part,
            how,
            bytes,
            ..
        } => {
            fields.part("part", part);
            check_link(fields, s, before, how, bytes);
        }
        Fault::GossipLoss { lost_part, .. } => fields.part("lost_part", lost_part),
        Fault::Nodes { count, told_s, .. } => {
            fields.range("count", count as f64, 1.0, 64.0);
            fields.range("told_s", told_s, 0.0, 3600.0);
        }
        Fault::Liar { node, .. } => {
            fields.range("node", node as f64, 0.0, s.most_nodes() as f64 - 1.0);
        }
        Fault::Skew { part, nodes, .. } => {
            fields.part("part", part);
            fields.range("nodes", nodes as f64, 1.0, s.most_nodes() as f64);
        }
        Fault::DiscoveryFailure { .. } | Fault::DiscoveryMoved { .. } => {}
    }
}

fn check_link(fields: &mut Fields, s: &Scenario, before: Before, fault: LinkFault, bytes: u64) {
    if !s.link.iter().any(|link| link.before == before) {
        let group = format!("{before:?}").to_lowercase();
        let reason = format!("no [[link]] stands before {group}; add one");
        fields.add("before", reason);
    }
    if fault == LinkFault::Cut && bytes == 0 {
        let reason = "a cut needs the bytes after which it comes";
        fields.add("bytes", reason);
    }
    if before == Before::Nodes && fault != LinkFault::None {
        let reason = "trouble between clients and nodes can't be told from a node's own: \
                      only delay and bandwidth are allowed there";
        fields.add("how", reason);
    }
}
