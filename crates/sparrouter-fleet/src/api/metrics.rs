//! The metrics of a process, as text for a scraper or a person.
//!
//! Each sample is one line, `NAME{LABEL="VALUE",...} NUMBER`, in Prometheus' text format 0.0.4. Counters end in
//! `_total` and start at 0 with the process. All samples but the [`Counters`] are computed on request, so that they
//! cost nothing otherwise. The number of samples grows with the models, the versions in use, the servers and the
//! tenants that sent requests to this node, not with the requests.
use crate::control::{Control, LEASE_SHARDS};
use crate::node::Node;
use crate::node::counters::Counters;
use crate::platform::memory::MemoryPool;
use sparrouter_routing::Timestamp;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Nanoseconds in a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// All metrics of a process as text. `control` is its control state, if it has one.
pub fn show(node: &Node, control: Option<&Control>) -> String {
    let mut page = Page::default();
    state_of_process(&mut page, node, control);
    versions(&mut page, node);
    servers(&mut page, node);
    counters(&mut page, &node.counters);
    request_memory(&mut page, node);
    quotas(&mut page, node, control.is_some());
    tenants(&mut page, node);
    page.text
}

/// Builder of the metrics text.
#[derive(Default)]
struct Page {
    text: String,
}

impl Page {
    fn line(&mut self, name: &str, labels: &[(&str, &str)], value: f64) {
        let labels: Vec<String> = labels
            .iter()
            .map(|(label, value)| format!("{label}=\"{}\"", escaped(value)))
            .collect();
        let labels = match labels.is_empty() {
            true => String::new(),
            false => format!("{{{}}}", labels.join(",")),
        };
        // Writing to a String does not fail.
        let _ = writeln!(self.text, "sparrouter_{name}{labels} {value}");
    }

    fn flag(&mut self, name: &str, value: bool) {
        self.line(name, &[], f64::from(u8::from(value)));
    }
}

/// Escapes a label's value, which may be any text of an operator.
fn escaped(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

fn state_of_process(page: &mut Page, node: &Node, control: Option<&Control>) {
    page.line("uptime_seconds", &[], node.now() as f64 / NANOS_PER_SECOND);
    page.flag("ready", node.is_confirmed() && !node.is_leaving());
    page.flag("leaving", node.is_leaving());
    page.line("open_requests", &[], node.traffic.open_requests() as f64);
    page.line(
        "config_version",
        &[],
        node.active_configuration().version as f64,
    );
    page.line(
        "config_sequence",
        &[],
        node.active_configuration().slot as f64,
    );
    let since_contact = node.now().saturating_sub(node.fleet_contact.last_at());
    page.line(
        "quorum_heard_seconds_ago",
        &[],
        since_contact as f64 / NANOS_PER_SECOND,
    );
    page.flag("configuration_lease", node.has_configuration_lease());
    let Some(control) = control else { return };
    page.flag("group_member", control.is_member());
    page.flag("quorum_contact", control.has_quorum_contact());
    for shard in 1..=LEASE_SHARDS {
        let is_first = f64::from(u8::from(control.is_first(shard)));
        page.line(
            "rollout_lease_candidate",
            &[("shard", &shard.to_string())],
            is_first,
        );
    }
}

/// The named versions of weights, and the remaining time in which requests may begin on older versions; 0 or negative if
/// the time has passed.
fn versions(page: &mut Page, node: &Node) {
    let now = node.now();
    let server_table = node.server_table.borrow();
    let seconds_since = |at: Timestamp| (now as f64 - at as f64) / NANOS_PER_SECOND;
    if let Some(at) = server_table.versions.core_changed_at() {
        page.line("core_changed_seconds_ago", &[], seconds_since(at));
    }
    for (model, named) in server_table.versions.all() {
        let version = named.version.to_string();
        let labels = [("model", model), ("version", version.as_str())];
        page.line(
            "version_named_seconds_ago",
            &labels,
            seconds_since(named.named_at),
        );
        let remaining = server_table.versions.limit(named) as f64 - now as f64;
        page.line(
            "older_versions_allowed_seconds",
            &labels,
            remaining / NANOS_PER_SECOND,
        );
    }
}

/// The number of servers by model and version, and of servers that get no requests, by reason.
fn servers(page: &mut Page, node: &Node) {
    let server_table = node.server_table.borrow();
    let mut running: BTreeMap<(&str, u64), u32> = BTreeMap::new();
    let (mut loading, mut unresponsive, mut suspected, mut all) = (0, 0, 0, 0);
    for (_, server) in server_table.iter() {
        for (model, version) in server.models() {
            *running.entry((model, *version)).or_default() += 1;
        }
        all += 1;
        loading += u32::from(server.is_loading());
        unresponsive += u32::from(server.is_unresponsive());
        suspected += u32::from(server.is_suspected());
    }
    for ((model, version), count) in running {
        let labels = [("model", model), ("version", &version.to_string())];
        page.line("servers_with_version", &labels, f64::from(count));
    }
    page.line("servers", &[], f64::from(all));
    page.line("servers_loading", &[], f64::from(loading));
    page.line("servers_silent", &[], f64::from(unresponsive));
    page.line("servers_suspected", &[], f64::from(suspected));
}

fn counters(page: &mut Page, counters: &Counters) {
    let mut line = |name: &str, counter: &Cell<u64>| page.line(name, &[], counter.get() as f64);
    line("core_changes_total", &counters.core_changes);
    line("no_server_ready_total", &counters.no_server_ready);
    line(
        "sent_to_older_weights_total",
        &counters.sent_to_older_weights,
    );
    line("begun_too_late_total", &counters.began_beyond_limit);
    line(
        "withdrawn_from_older_weights_total",
        &counters.withdrawn_from_older_weights,
    );
    line(
        "refused_without_configuration_lease_total",
        &counters.refused_without_lease,
    );
    line("servers_avoided_total", &counters.servers_avoided);
    line("orders_taken_total", &counters.orders_accepted);
    line("orders_declined_total", &counters.orders_declined);
    line("orders_unanswered_total", &counters.orders_unanswered);
    line("quota_permits_spent_total", &counters.permits_spent);
    line("quota_permits_expired_total", &counters.permits_expired);
    line("quota_permits_returned_total", &counters.permits_returned);
    line("quota_refused_total", &counters.quota_refused);
    line("quota_unavailable_total", &counters.quota_unavailable);
}

/// The memory for requests by pool. The text format requires that samples of one name are adjacent.
fn request_memory(page: &mut Page, node: &Node) {
    let pools = [&*node.memory.clients, &*node.memory.control];
    let mut samples = |name: &str, value: &dyn Fn(&MemoryPool) -> f64| {
        for pool in pools {
            page.line(name, &[("pool", pool.name)], value(pool));
        }
    };
    samples("request_memory_bytes", &|pool| pool.reserved_bytes() as f64);
    samples("request_memory_peak_bytes", &|pool| {
        pool.peak_bytes() as f64
    });
    samples("request_memory_limit_bytes", &|pool| {
        pool.limit_bytes as f64
    });
    samples("request_memory_refused_total", &|pool| {
        pool.refused() as f64
    });
    samples("request_memory_evicted_total", &|pool| {
        pool.evicted() as f64
    });
    samples("request_bodies_too_long_total", &|pool| {
        pool.too_long() as f64
    });
    samples("connections_displaced_total", &|pool| {
        pool.displaced() as f64
    });
}

/// Quotas by shard: the permits that this node grants if it holds the shard's lease, and whether the lease holder is
/// unavailable. The counts of permits start at 0 each time the lease is acquired. The text format requires that samples
/// of one name are adjacent.
fn quotas(page: &mut Page, node: &Node, has_control_state: bool) {
    let unavailable = node.unavailable_shards();
    for shard in 1..=LEASE_SHARDS {
        let value = f64::from(u8::from(unavailable.contains(&shard)));
        let labels = [("shard", &*shard.to_string())];
        page.line("quota_shard_unavailable", &labels, value);
    }
    if !has_control_state {
        return;
    }
    let held = node.held_shards();
    for shard in 1..=LEASE_SHARDS {
        let is_active = held
            .iter()
            .any(|held| held.shard == shard && held.is_active);
        let value = f64::from(u8::from(is_active));
        let labels = [("shard", &*shard.to_string())];
        page.line("quota_shard_active", &labels, value);
    }
    for held in &held {
        let labels = [("shard", &*held.shard.to_string())];
        page.line("quota_shard_granted_total", &labels, held.granted as f64);
    }
    for held in &held {
        let labels = [("shard", &*held.shard.to_string())];
        page.line("quota_shard_refused_total", &labels, held.refused as f64);
    }
    for held in &held {
        let labels = [("shard", &*held.shard.to_string())];
        page.line("quota_shard_returned_total", &labels, held.returned as f64);
    }
}

/// Counts of the tenants with a limit that sent requests to this node.
fn tenants(page: &mut Page, node: &Node) {
    let counts = node.tenant_counts.all(&node.active_configuration());
    for (tenant, count) in &counts {
        let labels = [("tenant", tenant.as_str())];
        page.line("quota_tenant_sent_total", &labels, count.sent as f64);
    }
    for (tenant, count) in &counts {
        let labels = [("tenant", tenant.as_str())];
        page.line("quota_tenant_refused_total", &labels, count.refused as f64);
    }
    for (tenant, count) in &counts {
        let labels = [("tenant", tenant.as_str())];
        let value = count.unavailable as f64;
        page.line("quota_tenant_unavailable_total", &labels, value);
    }
}
