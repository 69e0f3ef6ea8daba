//! Nodes' status as tables for people: who was asked, what the first of them knows of nodes and of servers.
use crate::status::{ModelStatus, Status};
use std::fmt::Write;
use std::net::SocketAddr;

/// Rows of words in columns as wide as their widest word.
fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let wide = |column: usize| {
        let words = rows
            .iter()
            .filter_map(|r| r.get(column))
            .map(|w| w.chars().count());
        words.chain([head[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(wide).collect();
    let mut out = String::new();
    let head: Vec<String> = head.iter().map(|w| (*w).to_owned()).collect();
    for row in [&head].into_iter().chain(rows) {
        let mut line = String::new();
        for (word, width) in row.iter().zip(&widths) {
            // Writing into a String does not fail.
            let _ = write!(line, "{word:width$}  ");
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

fn flags(named: &[(&str, bool)]) -> String {
    let set: Vec<&str> = named.iter().filter(|n| n.1).map(|n| n.0).collect();
    if set.is_empty() {
        "-".to_owned()
    } else {
        set.join(" ")
    }
}

fn models(of: &[ModelStatus]) -> String {
    let words: Vec<String> = of
        .iter()
        .map(|m| format!("{}:{}", m.name, m.version))
        .collect();
    if words.is_empty() {
        "-".to_owned()
    } else {
        words.join(",")
    }
}

/// `asked`: nodes that answered, with where. What is said of nodes and servers is the first one's view.
pub fn of(asked: &[(SocketAddr, &Status)]) -> String {
    let own = asked.iter().map(|(at, s)| {
        let flags = flags(&[
            ("ready", s.ready),
            ("member", s.member),
            ("in-touch", s.in_touch),
            ("not-ready", !s.ready),
        ]);
        let group = if s.group.is_empty() {
            "-".to_owned()
        } else {
            s.group.join(",")
        };
        vec![
            s.node.clone(),
            at.to_string(),
            s.config_version.to_string(),
            flags,
            s.heard_ms_ago.to_string(),
            s.open_requests.to_string(),
            models(&s.models),
            group,
        ]
    });
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
    let mut out = table(&head, &own.collect::<Vec<_>>());
    let Some((_, first)) = asked.first() else {
        return out;
    };
    let nodes = first.nodes.iter().map(|n| {
        let is = flags(&[
            ("counted", n.counted),
            ("leaving", n.leaving),
            ("silent", n.silent),
        ]);
        vec![n.name.clone(), n.internal.clone(), n.zone.clone(), is]
    });
    out.push('\n');
    out.push_str(&table(
        &["NODE", "INTERNAL", "ZONE", "IS"],
        &nodes.collect::<Vec<_>>(),
    ));
    let servers = first.servers.iter().map(|s| {
        let is = flags(&[
            (s.standing.as_str(), true),
            ("silent", s.silent),
            ("suspected", s.suspected),
            ("loading", s.loading),
        ]);
        vec![
            s.id.clone(),
            s.service.clone(),
            s.address.clone(),
            s.zone.clone(),
            is,
            s.in_flight.to_string(),
            models(&s.models),
        ]
    });
    out.push('\n');
    let head = [
        "SERVER",
        "SERVICE",
        "ADDRESS",
        "ZONE",
        "IS",
        "IN_FLIGHT",
        "RUNS",
    ];
    out.push_str(&table(&head, &servers.collect::<Vec<_>>()));
    out
}
