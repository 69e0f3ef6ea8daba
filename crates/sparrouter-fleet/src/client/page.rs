//! The status of nodes as text tables: the nodes that answered, and the nodes and servers known to the first of them.
use crate::api::status::{ModelStatus, NodeStatus, QuotaShardStatus, ServerStatus, Status};
use std::fmt::Write;
use std::net::SocketAddr;

/// Formats a table whose columns are as wide as their widest cell.
pub(super) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows
            .iter()
            .filter_map(|r| r.get(column))
            .map(|cell| cell.chars().count());
        cells.chain([head[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let mut out = String::new();
    let head: Vec<String> = head.iter().map(|w| (*w).to_owned()).collect();
    for row in [&head].into_iter().chain(rows) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing into a String does not fail.
            let _ = write!(line, "{cell:width$}  ");
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

/// The names of the set flags; `-` if none is set.
fn flags(named: &[(&str, bool)]) -> String {
    let set: Vec<&str> = named.iter().filter(|n| n.1).map(|n| n.0).collect();
    if set.is_empty() {
        "-".to_owned()
    } else {
        set.join(" ")
    }
}

/// Models with their versions; `-` if there are none.
fn models(models: &[ModelStatus]) -> String {
    let shown: Vec<String> = models
        .iter()
        .map(|m| format!("{}:{}", m.name, m.version))
        .collect();
    if shown.is_empty() {
        "-".to_owned()
    } else {
        shown.join(",")
    }
}

/// Formats the tables. `answers` holds the statuses of the nodes that answered, with their addresses. The tables of all
/// nodes and of the servers show the state known to the first node.
pub fn of(answers: &[(SocketAddr, &Status)]) -> String {
    let mut out = answers_table(answers);
    out.push_str(&warnings(answers));
    let Some((_, first)) = answers.first() else {
        return out;
    };
    out.push('\n');
    out.push_str(&nodes_table(first));
    out.push('\n');
    out.push_str(&servers_table(first));
    out.push_str(&quotas(answers));
    out
}

fn answers_table(answers: &[(SocketAddr, &Status)]) -> String {
    let row = |(address, status): &(SocketAddr, &Status)| {
        let flags = flags(&[
            ("ready", status.ready),
            ("member", status.member),
            ("in-touch", status.in_touch),
            ("not-ready", !status.ready),
        ]);
        let group = if status.group.is_empty() {
            "-".to_owned()
        } else {
            status.group.join(",")
        };
        vec![
            status.node.clone(),
            address.to_string(),
            status.config_version.to_string(),
            flags,
            status.heard_ms_ago.to_string(),
            status.open_requests.to_string(),
            models(&status.models),
            group,
        ]
    };
    let head = [
        "ASKED",
        "AT",
        "CONFIG",
        "IS",
        "HEARD_MS_AGO",
        "OPEN",
        "NAMED",
        "GROUP",
    ];
    table(&head, &answers.iter().map(row).collect::<Vec<_>>())
}

/// One line for each warning of each node that answered.
fn warnings(answers: &[(SocketAddr, &Status)]) -> String {
    let lines = answers.iter().flat_map(|(_, status)| {
        let warnings = status.warnings.iter().flatten();
        warnings.map(|warning| format!("WARNING {}: {warning}\n", status.node))
    });
    lines.collect()
}

fn nodes_table(status: &Status) -> String {
    let row = |node: &NodeStatus| {
        let flags = flags(&[
            ("counted", node.counted),
            ("leaving", node.leaving),
            ("silent", node.silent),
        ]);
        vec![
            node.name.clone(),
            node.internal.clone(),
            node.zone.clone(),
            flags,
        ]
    };
    let rows: Vec<_> = status.nodes.iter().map(row).collect();
    table(&["NODE", "INTERNAL", "ZONE", "IS"], &rows)
}

fn servers_table(status: &Status) -> String {
    let row = |server: &ServerStatus| {
        let flags = flags(&[
            (server.standing.as_str(), true),
            ("silent", server.silent),
            ("suspected", server.suspected),
            ("loading", server.loading),
        ]);
        vec![
            server.id.clone(),
            server.service.clone(),
            server.address.clone(),
            server.zone.clone(),
            flags,
            server.in_flight.to_string(),
            models(&server.models),
        ]
    };
    let head = [
        "SERVER",
        "SERVICE",
        "ADDRESS",
        "ZONE",
        "IS",
        "IN_FLIGHT",
        "RUNS",
    ];
    table(&head, &status.servers.iter().map(row).collect::<Vec<_>>())
}

/// The quota shards whose leases the nodes that answered hold, and the shards whose lease holders do not answer these
/// nodes; empty if there are neither.
fn quotas(answers: &[(SocketAddr, &Status)]) -> String {
    let row = |node: &str, shard: &QuotaShardStatus| {
        vec![
            node.to_owned(),
            shard.shard.to_string(),
            shard.fencing_token.to_string(),
            if shard.active { "grants" } else { "waits" }.to_owned(),
            shard.tenants.to_string(),
            shard.granted.to_string(),
            shard.refused.to_string(),
            shard.returned.to_string(),
        ]
    };
    let (mut rows, mut lines) = (Vec::new(), String::new());
    for (_, status) in answers {
        let Some(quotas) = &status.quotas else {
            continue;
        };
        rows.extend(quotas.shards.iter().map(|shard| row(&status.node, shard)));
        for shard in &quotas.unavailable_shards {
            let line = format!("QUOTA SHARD {shard}: no holder answers {}\n", status.node);
            lines.push_str(&line);
        }
    }
    if rows.iter().all(|row| row[4] == "0") && lines.is_empty() {
        return String::new();
    }
    let head = [
        "HOLDER", "SHARD", "FENCING", "IS", "TENANTS", "GRANTED", "REFUSED", "RETURNED",
    ];
    format!("\n{}{lines}", table(&head, &rows))
}
