//! One tenant's quota over the fleet, combined from the nodes' statuses: the nodes that refuse its requests, the
//! reasons, and the lease holders of the parts of its limit.
use crate::api::status::{QuotaStatus, Status, TenantQuotaStatus};
use crate::client::error::ClientError;
use crate::client::page::table;
use miniserde::Serialize;

/// The answers of the nodes to a request for the tenant's status.
pub struct NodeAnswers<'a> {
    /// Statuses that were requested for the tenant. The first one is of the node whose node list was used to find the others.
    pub answers: Vec<&'a Status>,
    /// Names of nodes that did not answer.
    pub no_answer: Vec<String>,
}

/// A part of the tenant's limit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Part {
    /// Number of the shard that holds the part.
    pub shard: u16,
    /// Name of the node that holds the shard's lease; `None` if no node that answered holds it.
    pub holder: Option<String>,
    /// Fencing token of the lease.
    pub fencing_token: Option<u64>,
    /// The lease holder may grant permits now.
    pub active: bool,
    /// Permits available in the part; `None` if no node grants permits from it.
    pub level: Option<f64>,
    /// Maximum number of permits in the part; `None` if no node grants permits from it.
    pub capacity: Option<f64>,
    /// Number of permits that the holder granted under this lease to all tenants of the shard.
    pub shard_granted: Option<u64>,
}

/// One node's counts of the tenant's requests since its process started.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NodeCount {
    /// Name of the node.
    pub node: String,
    /// Version of the configuration in force at the node.
    pub config_version: u64,
    /// Number of requests that the node forwarded with a permit.
    pub sent: u64,
    /// Number of requests refused because the limit was used up.
    pub refused: u64,
    /// Number of requests refused because no lease holder of the limit answered.
    pub unavailable: u64,
    /// Shards of the limit whose lease holders do not answer the node.
    pub unavailable_shards: Vec<u16>,
}

/// A tenant's quota over the fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overview {
    /// Name of the tenant.
    pub tenant: String,
    /// Newest configuration version of the nodes that answered and support quotas; the limit is from this version.
    pub config_version: u64,
    /// Limit in requests a second; `None` if the tenant has no limit.
    pub rate_per_s: Option<f64>,
    /// Burst size: requests that may exceed the rate at once; `None` if the tenant has no limit.
    pub burst_size: Option<f64>,
    /// The parts of the limit.
    pub parts: Vec<Part>,
    /// Number of requests forwarded with a permit, summed over the nodes that answered.
    pub sent: u64,
    /// Number of requests refused because the limit was used up, summed over the nodes that answered.
    pub refused: u64,
    /// Number of requests refused because no lease holder answered, summed over the nodes that answered.
    pub unavailable: u64,
    /// Counts of the nodes that answered, in descending order of refusals.
    pub nodes: Vec<NodeCount>,
    /// Names of the nodes that did not answer; their counts and parts are missing.
    pub no_answer: Vec<String>,
    /// Names of the nodes that were not asked because they have no control_plane address; their metrics show their counts.
    pub not_asked: Vec<String>,
    /// Names of the nodes of an older release, which neither request nor grant permits.
    pub older_release: Vec<String>,
}

impl Overview {
    /// Combines the answers into an overview.
    ///
    /// # Errors
    ///
    /// [`ClientError::UnknownTenant`] if the newest configuration does not have the tenant.
    pub fn of(tenant: &str, node_answers: &NodeAnswers<'_>) -> Result<Overview, ClientError> {
        let answers = &node_answers.answers;
        // Nodes of an older release report no limits, whatever their configuration.
        let with_quotas = answers.iter().filter(|status| status.quotas.is_some());
        let newest = with_quotas.max_by_key(|status| status.config_version);
        let version = newest.map_or(0, |status| status.config_version);
        let limit = newest.and_then(|status| shown(status, tenant));
        if newest.is_some() && limit.is_none() {
            return Err(ClientError::UnknownTenant {
                tenant: tenant.to_owned(),
                version,
            });
        }
        let mut nodes: Vec<NodeCount> = answers
            .iter()
            .filter_map(|status| count_of(status, tenant))
            .collect();
        nodes.sort_by_key(|count| {
            std::cmp::Reverse((count.refused + count.unavailable, count.sent))
        });
        let shards = limit
            .map(|limit| limit.shards.as_slice())
            .unwrap_or_default();
        let part = |shard: &u16| part_of(*shard, tenant, answers);
        let sum = |count: fn(&NodeCount) -> u64| nodes.iter().map(count).sum();
        Ok(Overview {
            tenant: tenant.to_owned(),
            config_version: version,
            rate_per_s: limit.and_then(|limit| limit.rate_per_s),
            burst_size: limit.and_then(|limit| limit.burst_size),
            parts: shards.iter().map(part).collect(),
            sent: sum(|count| count.sent),
            refused: sum(|count| count.refused),
            unavailable: sum(|count| count.unavailable),
            nodes,
            no_answer: node_answers.no_answer.clone(),
            not_asked: without_control_plane(answers),
            older_release: answers
                .iter()
                .filter(|status| status.quotas.is_none())
                .map(|status| status.node.clone())
                .collect(),
        })
    }

    /// Formats the overview as text tables.
    pub fn text(&self) -> String {
        let mut out = self.headline();
        if !self.parts.is_empty() {
            out.push_str(&format!("\n{}", self.parts_table()));
        }
        out.push_str(&format!("\n{}", self.nodes_table()));
        for note in self.notes() {
            out.push_str(&format!("{note}\n"));
        }
        out
    }

    fn headline(&self) -> String {
        let (tenant, version) = (&self.tenant, self.config_version);
        match (self.rate_per_s, self.burst_size) {
            (Some(rate), Some(burst)) => format!(
                "{tenant}: {rate} requests a second and {burst} beyond, over all nodes, by version {version}\n"
            ),
            _ if self.nodes.is_empty() => {
                format!("{tenant}: no node that answered knows of quotas\n")
            }
            _ => format!("{tenant}: no limit by version {version}; its requests need no permit\n"),
        }
    }

    fn parts_table(&self) -> String {
        let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
        let tokens = |tokens: Option<f64>| or_dash(tokens.map(|tokens| format!("{tokens:.1}")));
        let row = |part: &Part| {
            let state = match (&part.holder, part.active) {
                (None, _) => "nobody",
                (Some(_), false) => "waits",
                (Some(_), true) => "grants",
            };
            vec![
                part.shard.to_string(),
                or_dash(part.holder.clone()),
                or_dash(part.fencing_token.map(|token| token.to_string())),
                state.to_owned(),
                tokens(part.level),
                tokens(part.capacity),
                or_dash(part.shard_granted.map(|granted| granted.to_string())),
            ]
        };
        let head = [
            "SHARD",
            "HOLDER",
            "FENCING",
            "IS",
            "LEVEL",
            "OF",
            "SHARD_GRANTED",
        ];
        table(&head, &self.parts.iter().map(row).collect::<Vec<_>>())
    }

    /// The table of the nodes with counts above 0, and the sums.
    fn nodes_table(&self) -> String {
        let row = |name: &str, version: String, counts: [u64; 3]| {
            let mut row = vec![name.to_owned(), version];
            row.extend(counts.map(|count| count.to_string()));
            row
        };
        let counts = |node: &NodeCount| [node.sent, node.refused, node.unavailable];
        let counted = self.nodes.iter().filter(|node| counts(node) != [0; 3]);
        let mut rows: Vec<_> = counted
            .map(|node| row(&node.node, node.config_version.to_string(), counts(node)))
            .collect();
        let sums = [self.sent, self.refused, self.unavailable];
        let all = format!("{} nodes", self.nodes.len());
        rows.push(row(&all, "-".to_owned(), sums));
        let head = ["NODE", "CONFIG", "SENT", "REFUSED", "UNAVAILABLE"];
        table(&head, &rows)
    }

    /// Notes about missing data, outdated nodes and unavailable lease holders, with the remedy.
    fn notes(&self) -> Vec<String> {
        let mut notes = Vec::new();
        for part in self.parts.iter().filter(|part| part.holder.is_none()) {
            notes.push(format!(
                "SHARD {}: no node that answered holds it, so this part of the limit may not be granted; that \
                 lasts some seconds after a holder died; longer: look for `in-touch` in `sparrouter status --all`",
                part.shard
            ));
        }
        let behind = self
            .nodes
            .iter()
            .filter(|node| node.config_version < self.config_version);
        let behind: Vec<&str> = behind.map(|node| node.node.as_str()).collect();
        let lists = [
            (behind, "an earlier configuration is in force there"),
            (
                names(&self.no_answer),
                "no answer: what they count and hold is missing",
            ),
            (
                names(&self.not_asked),
                "not asked, as they serve no control_plane: see quota_tenant_sent_total of their metrics",
            ),
            (
                names(&self.older_release),
                "an older release, which neither asks for permits nor grants any: upgrade it",
            ),
        ];
        for (nodes, text) in lists.into_iter().filter(|(nodes, _)| !nodes.is_empty()) {
            notes.push(format!("{}: {text}", nodes.join(", ")));
        }
        for node in self
            .nodes
            .iter()
            .filter(|node| !node.unavailable_shards.is_empty())
        {
            let shards: Vec<String> = node.unavailable_shards.iter().map(u16::to_string).collect();
            notes.push(format!(
                "{}: no holder of shard {} answers it: look at its links to the core",
                node.node,
                shards.join(", ")
            ));
        }
        notes
    }
}

fn names(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

/// The tenant in a node's status; `None` if the node's configuration does not have the tenant, or its release does not
/// support quotas.
fn shown<'a>(status: &'a Status, tenant: &str) -> Option<&'a TenantQuotaStatus> {
    let quotas = status.quotas.as_ref()?;
    quotas.tenants.iter().find(|shown| shown.name == tenant)
}

/// A node's counts of the tenant's requests; `None` if the node runs an older release.
fn count_of(status: &Status, tenant: &str) -> Option<NodeCount> {
    let quotas = status.quotas.as_ref()?;
    let shown = shown(status, tenant);
    let count = |field: fn(&TenantQuotaStatus) -> u64| shown.map_or(0, field);
    let unavailable_shards = quotas.unavailable_shards.iter().copied();
    let is_of_tenant = |shard: &u16| shown.is_some_and(|shown| shown.shards.contains(shard));
    Some(NodeCount {
        node: status.node.clone(),
        config_version: status.config_version,
        sent: count(|shown| shown.sent),
        refused: count(|shown| shown.refused),
        unavailable: count(|shown| shown.unavailable),
        unavailable_shards: unavailable_shards.filter(is_of_tenant).collect(),
    })
}

/// A part of the tenant's limit and its holder, the node with the newest lease of the shard.
fn part_of(shard: u16, tenant: &str, answers: &[&Status]) -> Part {
    let lease_of = |quotas: &QuotaStatus| {
        let lease = quotas.shards.iter().find(|held| held.shard == shard);
        lease.cloned()
    };
    let holder = answers
        .iter()
        .filter_map(|status| Some((*status, lease_of(status.quotas.as_ref()?)?)))
        .max_by_key(|(_, lease)| lease.fencing_token);
    let held = holder.as_ref().and_then(|(status, _)| {
        let held = &shown(status, tenant)?.held;
        held.iter().find(|held| held.shard == shard)
    });
    Part {
        shard,
        holder: holder.as_ref().map(|(status, _)| status.node.clone()),
        fencing_token: holder.as_ref().map(|(_, lease)| lease.fencing_token),
        active: holder.as_ref().is_some_and(|(_, lease)| lease.active),
        level: held.map(|held| held.level),
        capacity: held.map(|held| held.capacity),
        shard_granted: holder.as_ref().map(|(_, lease)| lease.granted),
    }
}

/// Names of the nodes without a control_plane address that did not answer, from the node list of the first node that
/// answered.
fn without_control_plane(answers: &[&Status]) -> Vec<String> {
    let nodes = answers.first().map(|first| first.nodes.as_slice());
    let unasked = nodes
        .unwrap_or_default()
        .iter()
        .filter(|node| node.control.is_empty());
    let unasked = unasked.filter(|node| answers.iter().all(|status| status.node != node.name));
    unasked.map(|node| node.name.clone()).collect()
}
