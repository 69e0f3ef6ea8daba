//! State of one process, shared by the modules above and divided by owner.
//!
//! | module | state |
//! | --- | --- |
//! | `configuration` | the configuration in force, its edits and its lease |
//! | [`configuration_lease`] | whether the configuration is recent enough for requests with API keys |
//! | `counters` | event counters for the metrics |
//! | `fleet_contact` | when a node with quorum contact was last heard from |
//! | `live_nodes` | snapshot derived from the node records: owners of keys, control nodes |
//! | `owned_keys` | tables for the keys that this node owns |
//! | `publication` | publishing changed records to pollers |
//! | `quotas` | quotas of tenants: remembered refusals, and the leases and buckets by which this node grants permits |
//! | `records` | merging received records, and the consequences of a change |
//! | [`shutdown`] | the schedule of a graceful shutdown |
//! | [`tenant_counts`] | request counts of each tenant's quota |
//! | `traffic` | client requests: retry budgets, durations, requests in flight |
//!
//! Uses the messages and connections of `peer`, the settings and the platform, but no module above.
mod configuration;
pub mod configuration_lease;
pub(crate) mod counters;
mod fleet_contact;
mod live_nodes;
mod owned_keys;
mod publication;
pub(crate) mod quotas;
mod records;
pub mod shutdown;
pub mod tenant_counts;
mod traffic;

pub use configuration::ActiveConfiguration;
pub use live_nodes::{ControlNode, ControlNodeState, LiveNodes};
pub(crate) use owned_keys::PREFIX_RETENTION;
pub use publication::ChangeSubscription;
pub(crate) use traffic::OpenRequest;

use crate::node::counters::Counters;
use crate::peer::links::Links;
use crate::peer::messages::{BOOTSTRAP_HELLO, QUOTA_HELLO};
use crate::platform::defects::rules;
use crate::platform::log_buffer::LogBuffer;
use crate::platform::memory::RequestMemory;
use crate::platform::net::SharedNet;
use crate::settings::{ProcessSettings, nanos};
use configuration::Configuration;
use fastrand::Rng;
use fleet_contact::FleetContact;
use owned_keys::OwnedKeys;
use publication::Publication;
use quotas::Quotas;
use shutdown::GracefulShutdown;
use sparrouter_membership::{MembershipTable, NodeRecord};
use sparrouter_routing::{Nanos, OutdatedVersionLimits, ServerTable};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tenant_counts::TenantCounts;
use tokio::time::Instant;
use traffic::Traffic;

/// How long records of servers and nodes that left are kept.
const TOMBSTONE_RETENTION: Nanos = 60_000_000_000;
/// Maximum number of records of each kind.
const MAX_RECORDS: usize = 20_000;
/// Ratio of the bounds on versions after which no request begins on older weights. The rest allows for updates that
/// arrive late and for the transmission to the server.
const VERSION_LIMIT_RATIO: f64 = 0.75;
/// Ratio of the bound on versions by which a request that was sent in time is withdrawn later, if it has not begun. The
/// rest allows for updates that arrive late.
const QUEUED_EXTRA_RATIO: f64 = 0.15;

/// One process: its settings, tables, and connections to other nodes.
///
/// A process has a single thread. Tables that are replaced, such as the configuration, are immutable and swapped as a
/// whole. `RefCell` guards tables that change in place: a borrow lasts for a few statements and is never held across an
/// `await`, so that borrows never conflict.
pub struct Node {
    /// Settings of the process. Only the seeds change while it runs.
    pub settings: RefCell<ProcessSettings>,
    /// When the process started: the origin of [`Node::now`].
    started: Instant,
    /// The network.
    pub net: SharedNet,
    /// Connections to other nodes.
    pub links: Rc<Links>,
    /// Connections to lease holders of quotas.
    pub quota_links: Rc<Links>,
    /// Connections to the electors of the first group.
    pub bootstrap_links: Rc<Links>,
    /// Source of all random numbers of this process.
    pub rng: RefCell<Rng>,
    /// The log; invariant violations are reported to it.
    pub log_buffer: LogBuffer,
    /// The memory for requests.
    pub memory: RequestMemory,
    /// Event counters.
    pub counters: Counters,
    /// Records of all nodes and servers.
    pub membership: RefCell<MembershipTable>,
    /// This node's own record. Invariant: the membership has it, with no lower incarnation.
    pub own_record: RefCell<NodeRecord>,
    /// The name in `own_record`, which is constant.
    own_name: String,
    /// Snapshot of the node records; replaced when one of them changes.
    live_nodes: RefCell<Rc<LiveNodes>>,
    /// The last observed control nodes, by which changes of the core are detected.
    observed_core: RefCell<Vec<ControlNodeState>>,
    /// The servers of the membership, in the form used for routing.
    pub server_table: RefCell<ServerTable>,
    /// The configuration in force.
    pub(crate) configuration: Configuration,
    /// Contact with the fleet's quorum, direct or through a source.
    pub(crate) fleet_contact: FleetContact,
    /// Publication of changed records.
    pub(crate) publication: Publication,
    /// Client requests.
    pub(crate) traffic: Traffic,
    /// Tables for the keys that this node owns.
    pub(crate) owned_keys: OwnedKeys,
    /// Quotas of tenants.
    pub(crate) quotas: Quotas,
    /// Outcomes of requests of tenants with quotas.
    pub(crate) tenant_counts: TenantCounts,
    /// The schedule of the shutdown; `None` until it begins.
    pub(crate) shutdown: Cell<Option<GracefulShutdown>>,
    /// Whether this node has announced that it is leaving.
    is_leaving: Cell<bool>,
}

impl Node {
    /// Creates a process that knows only its settings. `disk_id`: id of its disk; 0 if it keeps no control state.
    pub fn new(
        settings: ProcessSettings,
        disk_id: u64,
        log_buffer: LogBuffer,
        net: SharedNet,
        mut rng: Rng,
    ) -> Rc<Node> {
        let own_record = own_record(&settings, disk_id, &mut rng);
        let mut membership = MembershipTable::new(rng.u64(1..), TOMBSTONE_RETENTION, MAX_RECORDS);
        membership.merge_node(own_record.clone(), 0);
        let mut server_table = ServerTable::new(version_limits(&settings), rng.fork());
        if settings.counts_toward_quorum {
            // The start of a node of the core is a change of the core.
            server_table.versions.record_core_change(0);
        }
        Rc::new(Node {
            configuration: Configuration::new(&settings.bounds),
            memory: RequestMemory::for_machine(settings.memory_mb),
            settings: RefCell::new(settings),
            started: Instant::now(),
            links: Links::new(net.clone()),
            quota_links: Links::with_hello(QUOTA_HELLO, net.clone()),
            bootstrap_links: Links::with_hello(BOOTSTRAP_HELLO, net.clone()),
            net,
            rng: RefCell::new(rng),
            log_buffer,
            counters: Counters::default(),
            membership: RefCell::new(membership),
            own_name: own_record.name.clone(),
            own_record: RefCell::new(own_record),
            live_nodes: RefCell::default(),
            observed_core: RefCell::default(),
            server_table: RefCell::new(server_table),
            fleet_contact: FleetContact::default(),
            publication: Publication::default(),
            traffic: Traffic::default(),
            owned_keys: OwnedKeys::default(),
            quotas: Quotas::default(),
            tenant_counts: TenantCounts::default(),
            shutdown: Cell::new(None),
            is_leaving: Cell::new(false),
        })
    }

    /// Nanoseconds since this process started.
    pub fn now(&self) -> Nanos {
        nanos(self.started.elapsed())
    }

    /// A random duration from half to one and a half of `mean`, so that nodes don't act in lockstep.
    pub fn jitter(&self, mean: Duration) -> Duration {
        mean.mul_f64(0.5 + self.rng.borrow_mut().f64())
    }

    /// The address at which other nodes reach this one.
    pub fn own_address(&self) -> SocketAddr {
        let settings = self.settings.borrow();
        settings.internal_of(settings.ip)
    }

    /// Whether this node has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// The known nodes that keep control state.
    pub fn control_nodes(&self) -> Vec<ControlNode> {
        self.live_nodes().control_nodes().to_vec()
    }

    /// The number of nodes that share the retry budget: all that take client requests. Unresponsive ones count too,
    /// since they may still spend their share.
    pub fn proxy_count(&self) -> usize {
        self.live_nodes().proxy_count().max(1)
    }
}

/// The record of this node at its start.
fn own_record(settings: &ProcessSettings, disk_id: u64, rng: &mut Rng) -> NodeRecord {
    let text = |address: Option<SocketAddr>| address.map(|a| a.to_string()).unwrap_or_default();
    NodeRecord {
        name: settings.node_name.clone(),
        internal_address: settings.internal_of(settings.ip).to_string(),
        control_address: text(settings.listen.control),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        counts_toward_quorum: settings.counts_toward_quorum,
        serves_clients: settings.listen.front.is_some(),
        disk_id,
        incarnation: 1,
        nonce: rng.u64(1..),
        leaving: false,
        unresponsive: false,
    }
}

/// Longest time for which requests may begin on older weights.
fn version_limits(settings: &ProcessSettings) -> OutdatedVersionLimits {
    let limit = |bound: Duration| nanos(bound.mul_f64(VERSION_LIMIT_RATIO));
    let total = settings.bounds.version_all;
    let has_total = !total.is_zero() && rules::total_version_limit_applies();
    OutdatedVersionLimits {
        per_stretch: limit(settings.bounds.version),
        total: has_total.then(|| limit(total)),
        queued_extra: nanos(settings.bounds.version.mul_f64(QUEUED_EXTRA_RATIO)),
    }
}
