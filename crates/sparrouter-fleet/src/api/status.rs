//! The status of a node as one JSON object, for operators.
//!
//! The operators' client parses this object, and it may call nodes of an older release. Fields are therefore only added,
//! never removed. The names of the Rust fields are the names in the JSON object.
use crate::control::Control;
use crate::node::Node;
use crate::node::tenant_counts::TenantCount;
use crate::quota::{HeldPart, HeldShard};
use miniserde::{Deserialize, Serialize, json};
use sparrouter_config::{Tenant, TenantQuota};
use sparrouter_membership::{NodeRecord, ServerRecord};

/// Maximum number of tenants in a status that was requested without a tenant; the tenants with the most refusals are
/// shown.
const MAX_TENANTS: usize = 100;

/// A model and a version of its weights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Name of the model.
    pub name: String,
    /// Version of the weights.
    pub version: u64,
}

/// A server as known to the node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Instance id of the server.
    pub id: String,
    /// Service of the server.
    pub service: String,
    /// Address of the server.
    pub address: String,
    /// Zone of the server.
    pub zone: String,
    /// State of the server: `ready`, `draining` or `gone`.
    pub standing: String,
    /// The server is unresponsive: its heartbeats stopped.
    pub silent: bool,
    /// The node could not connect to the server.
    pub suspected: bool,
    /// The server is loading new weights, or is about to.
    pub loading: bool,
    /// Number of the node's requests in flight at the server.
    pub in_flight: u32,
    /// The models that the server runs, as known to the node.
    pub models: Vec<ModelStatus>,
}

/// Another node, or the node itself, by its record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub name: String,
    /// Address of the node for other nodes.
    pub internal: String,
    /// Address of the node for servers and operators; empty if it serves none.
    pub control: String,
    /// Zone of the node.
    pub zone: String,
    /// The node counts toward the quorum.
    pub counted: bool,
    /// The node is shutting down.
    pub leaving: bool,
    /// The node is unresponsive: it stopped polling.
    pub silent: bool,
}

/// A shard of tenant limits whose lease the node holds. The counts start at 0 each time the lease is acquired.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaShardStatus {
    /// Number of the shard.
    pub shard: u16,
    /// Fencing token of the lease.
    pub fencing_token: u64,
    /// The node may grant permits of this shard now; false if the lease is not yet or no longer valid.
    pub active: bool,
    /// Number of tenants with a part of their limit in this shard.
    pub tenants: u64,
    /// Number of permits granted.
    pub granted: u64,
    /// Number of requests for permits that were refused because the part was empty.
    pub refused: u64,
    /// Number of permits that were returned unspent.
    pub returned: u64,
}

/// A part of a tenant's limit from which the node may grant permits now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaPartStatus {
    /// Number of the shard.
    pub shard: u16,
    /// Permits available in this part.
    pub level: f64,
    /// Maximum number of permits in this part.
    pub capacity: f64,
}

/// A tenant's limit, and the node's counts of the tenant's requests since the process started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantQuotaStatus {
    /// Name of the tenant.
    pub name: String,
    /// Limit in requests a second by the configuration in force at the node; `None` if the tenant has no limit.
    pub rate_per_s: Option<f64>,
    /// Burst size: requests that may exceed the rate at once; `None` if the tenant has no limit.
    pub burst_size: Option<f64>,
    /// Numbers of the shards that hold the parts of the limit.
    pub shards: Vec<u16>,
    /// The parts from which the node may grant permits now.
    pub held: Vec<QuotaPartStatus>,
    /// Number of requests that the node forwarded with a permit.
    pub sent: u64,
    /// Number of requests that the node refused because the limit was used up.
    pub refused: u64,
    /// Number of requests that the node refused because no lease holder of the limit answered.
    pub unavailable: u64,
}

/// Quotas as granted and used by the node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// Shards whose leases the node holds.
    pub shards: Vec<QuotaShardStatus>,
    /// Shards for which the node failed to reach a lease holder in the last seconds, and has reached none since.
    pub unavailable_shards: Vec<u16>,
    /// Tenants with a limit that sent requests to the node, in descending order of refusals, a hundred at most. If the
    /// status of one tenant was requested (`?tenant=NAME`): only this tenant, if the configuration has it.
    pub tenants: Vec<TenantQuotaStatus>,
    /// Number of tenants with a limit that sent requests to the node.
    pub tenants_counted: u64,
}

/// The status of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the node.
    pub node: String,
    /// The node accepts client requests.
    pub ready: bool,
    /// Version of the configuration in force; 0 before the first configuration.
    pub config_version: u64,
    /// Digest of the configuration's text in hexadecimal, the same on all nodes with the same text. `None` if the
    /// node runs an older release.
    pub config_digest: Option<String>,
    /// The node is a member of the configuration's replica group.
    pub member: bool,
    /// The node has quorum contact.
    pub in_touch: bool,
    /// Milliseconds since the node last heard from a node with quorum contact, itself included.
    pub heard_ms_ago: u64,
    /// Number of client requests that the node is reading or serving.
    pub open_requests: u64,
    /// Names of the members of the configuration's replica group, as known to the node.
    pub group: Vec<String>,
    /// The newest named version of each model's weights.
    pub models: Vec<ModelStatus>,
    /// All nodes known to the node.
    pub nodes: Vec<NodeStatus>,
    /// All servers known to the node.
    pub servers: Vec<ServerStatus>,
    /// Warnings about the node's settings and a missing group of the control state, with the remedy. `None` if the node runs an older release.
    pub warnings: Option<Vec<String>>,
    /// Quotas of tenants. `None` if the node runs an older release, which neither requests nor grants permits.
    pub quotas: Option<QuotaStatus>,
}

fn model(name: &str, version: u64) -> ModelStatus {
    ModelStatus {
        name: name.to_owned(),
        version,
    }
}

/// The status of a node as JSON. `control` is the node's control state, if it has one; `tenant` limits the quotas shown
/// to one tenant.
pub fn show(node: &Node, control: Option<&Control>, tenant: Option<&str>) -> String {
    let active = node.active_configuration();
    let group = control
        .map(|c| c.members(crate::control::CONFIG))
        .unwrap_or_default();
    json::to_string(&Status {
        node: node.own_record.borrow().name.clone(),
        ready: node.is_confirmed() && !node.is_leaving(),
        config_version: active.version,
        config_digest: Some(format!("{:016x}", active.digest)),
        member: control.is_some_and(Control::is_member),
        in_touch: control.is_some_and(Control::has_quorum_contact),
        heard_ms_ago: node.now().saturating_sub(node.fleet_contact.last_at()) / 1_000_000,
        open_requests: node.traffic.open_requests() as u64,
        group: group.into_iter().map(|m| m.name).collect(),
        models: newest_versions(node),
        nodes: nodes(node),
        servers: servers(node),
        warnings: Some(warnings(node, control)),
        quotas: Some(quotas(node, tenant)),
    })
}

fn warnings(node: &Node, control: Option<&Control>) -> Vec<String> {
    let mut warnings = node.settings.borrow().seed_warnings();
    warnings.extend(control.and_then(Control::missing_group));
    warnings
}

fn newest_versions(node: &Node) -> Vec<ModelStatus> {
    let server_table = node.server_table.borrow();
    let newest = server_table.versions.newest();
    newest
        .map(|(name, newest)| model(name, newest.version))
        .collect()
}

fn servers(node: &Node) -> Vec<ServerStatus> {
    let server_table = node.server_table.borrow();
    let membership = node.membership.borrow();
    let status = |record: &ServerRecord| {
        let known = server_table
            .find(&record.id)
            .and_then(|ix| server_table.get(ix));
        ServerStatus {
            id: record.id.clone(),
            service: record.service.clone(),
            address: record.address.clone(),
            zone: record.zone.clone(),
            standing: format!("{:?}", record.state).to_lowercase(),
            silent: record.unresponsive,
            suspected: known.is_some_and(|server| server.is_suspected()),
            loading: known.is_some_and(|server| server.is_loading()),
            in_flight: known.map_or(0, |server| server.in_flight()),
            models: record
                .models
                .iter()
                .map(|m| model(&m.name, m.version))
                .collect(),
        }
    };
    membership.servers().map(status).collect()
}

fn nodes(node: &Node) -> Vec<NodeStatus> {
    let membership = node.membership.borrow();
    let status = |record: &NodeRecord| NodeStatus {
        name: record.name.clone(),
        internal: record.internal_address.clone(),
        control: record.control_address.clone(),
        zone: record.zone.clone(),
        counted: record.counts_toward_quorum,
        leaving: record.leaving,
        silent: record.unresponsive,
    };
    membership.nodes().map(status).collect()
}

/// The quotas of `tenant`; if it is `None`, of the tenants that sent requests to this node.
fn quotas(node: &Node, tenant: Option<&str>) -> QuotaStatus {
    let active = node.active_configuration();
    let mut counts = node.tenant_counts.all(&active);
    let tenants_counted = counts.len() as u64;
    match tenant {
        Some(tenant) => {
            let count = node.tenant_counts.of(tenant).unwrap_or_default();
            counts = vec![(tenant.to_owned(), count)];
        }
        None => {
            counts.sort_by_key(|(_, count)| std::cmp::Reverse(count.refused + count.unavailable));
            counts.truncate(MAX_TENANTS);
        }
    }
    let known = |name: &str| {
        let tenants = &active.table.as_deref()?.tenants;
        tenants.iter().find(|tenant| tenant.name == name)
    };
    QuotaStatus {
        shards: node.held_shards().iter().map(shard_status).collect(),
        unavailable_shards: node.unavailable_shards(),
        tenants: counts
            .iter()
            .filter_map(|(name, count)| Some(tenant_status(node, known(name)?, *count)))
            .collect(),
        tenants_counted,
    }
}

fn shard_status(held: &HeldShard) -> QuotaShardStatus {
    QuotaShardStatus {
        shard: held.shard,
        fencing_token: held.fencing_token,
        active: held.is_active,
        tenants: held.tenant_count as u64,
        granted: held.granted,
        refused: held.refused,
        returned: held.returned,
    }
}

fn tenant_status(node: &Node, tenant: &Tenant, count: TenantCount) -> TenantQuotaStatus {
    let part = |held: HeldPart| QuotaPartStatus {
        shard: held.shard,
        level: held.level,
        capacity: held.capacity,
    };
    let shards = |quota: TenantQuota| node.quota_shards(&tenant.name, quota);
    let held = |quota: TenantQuota| node.held_parts(&tenant.name, quota);
    let quota = tenant.quota;
    TenantQuotaStatus {
        name: tenant.name.clone(),
        rate_per_s: quota.map(|quota| quota.rate_per_s),
        burst_size: quota.map(|quota| quota.burst_size),
        shards: quota.map(shards).unwrap_or_default(),
        held: quota
            .map(held)
            .unwrap_or_default()
            .into_iter()
            .map(part)
            .collect(),
        sent: count.sent,
        refused: count.refused,
        unavailable: count.unavailable,
    }
}
