//! What one process knows: its rows, the configuration in force, its servers. One owner, one thread; tables are
//! immutable and swapped whole.
mod config;
pub mod configuration_lease;
pub mod counters;
mod live_nodes;
pub mod shutdown;
mod updates;

use crate::node::configuration_lease::ConfigurationLease;
use crate::node::counters::Counters;
use crate::node::shutdown::GracefulShutdown;
use crate::peer::links::Links;
use crate::platform::defects::rules;
use crate::platform::log_buffer::LogBuffer;
use crate::platform::net::SharedNet;
use crate::settings::{ProcessSettings, nanos};
use fastrand::Rng;
pub use live_nodes::{ControlNodeState, LiveNodes};
use sparrouter_config::{EditHistory, RouteTable};
use sparrouter_membership::{MembershipTable, NodeRecord, PublishSchedule};
use sparrouter_prefix_index::{IndexSettings, PrefixIndex};
use sparrouter_routing::{
    Backlog, Nanos, OutdatedVersionLimits, Outliers, RetryBudget, RouteDurations, ServerTable,
    TypicalOutput,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Rows that are over are remembered so long, and so many of each kind are held at most.
const TOMBSTONE: Nanos = 60_000_000_000;
const MOST_ROWS: usize = 20_000;

/// Prefixes that a node answers for at most; how long a server's memory of one is counted on; after which a store is
/// told again.
const MOST_PREFIXES: usize = 40_000;
pub(crate) const KEPT: Nanos = 30_000_000_000;
const SAVED_AGAIN: Nanos = 120_000_000_000;
/// A followed server or store tells within so long of what it read.
const TOLD_BY: Nanos = 4_000_000_000;

/// The configuration that this process goes by.
pub struct ActiveConfiguration {
    /// Sequence number of the register; 0 before anything is known.
    pub slot: u64,
    pub version: u64,
    pub text: Rc<str>,
    /// Of the text; 0 before there is one.
    pub digest: u64,
    pub table: Option<Rc<RouteTable>>,
    /// The table is that of the text; false where this release cannot read the text.
    pub is_readable: bool,
}

/// Counts news. Who waits is woken in the order of waiting: the library's `watch` wakes in a random one, by which no
/// day of the in-memory fleet is played twice alike.
#[derive(Default)]
struct Changes {
    count: Cell<u64>,
    raised: Notify,
}

/// One that waits for news, from those that it has seen on.
pub struct Watching {
    changes: Rc<Changes>,
    seen: u64,
}

impl Watching {
    pub fn mark_unchanged(&mut self) {
        self.seen = self.changes.count.get();
    }

    pub async fn changed(&mut self) {
        while self.changes.count.get() == self.seen {
            self.changes.raised.notified().await;
        }
        self.mark_unchanged();
    }
}

pub struct Node {
    pub settings: RefCell<ProcessSettings>,
    started: Instant,
    pub membership: RefCell<MembershipTable>,
    pub own_record: RefCell<NodeRecord>,
    /// The name in `me`, which holds for the life of the process.
    own_name: String,
    /// What was worked out from the node rows, until one of them changes.
    live_nodes: RefCell<Rc<LiveNodes>>,
    config: RefCell<Rc<ActiveConfiguration>>,
    /// The last changes of its text, for whoever asks here.
    edits: RefCell<EditHistory>,
    pub server_table: RefCell<ServerTable>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    pub net: SharedNet,
    pub links: Rc<Links>,
    /// What waits at the servers that this node keeps count of.
    pub backlogs: RefCell<HashMap<u64, Backlog>>,
    /// Failures at the servers that this node keeps count of.
    pub(crate) outliers: RefCell<Outliers>,
    /// Counted control nodes as they were last seen.
    core_seen: RefCell<Vec<ControlNodeState>>,
    /// Stores as they were last told: by their hash, the number that changes when one comes back empty.
    pub(crate) stores: RefCell<HashMap<u64, u64>>,
    /// The prefixes that this node owns.
    pub index: RefCell<PrefixIndex>,
    /// Raised with everything that pollers want to hear of.
    changes: Rc<Changes>,
    /// When rows that changed go out, and answers that were made since.
    pace: RefCell<PublishSchedule>,
    answers: RefCell<Vec<(u64, Vec<u8>)>>,
    /// How many nodes ask this one.
    pub pollers: Cell<usize>,
    /// Servers were not looked at since rows changed; when they were last.
    unsynced: Cell<bool>,
    synced: Cell<Option<Nanos>>,
    /// When what is left for later is looked at, and who is to do so.
    wake: Cell<Nanos>,
    stirred: Notify,
    /// What is in force was heard from a source in touch with a quorum, or time for that is up.
    pub informed: Cell<bool>,
    pub leaving: Cell<bool>,
    /// Set once the process was told to end.
    pub graceful_shutdown: Cell<Option<GracefulShutdown>>,
    /// How much requests usually generate.
    pub typical_output: RefCell<TypicalOutput>,
    /// How long requests of each route last.
    pub durations: RefCell<RouteDurations>,
    /// Whether what is in force is fresh enough for requests with API keys.
    pub configuration_lease: RefCell<ConfigurationLease>,
    /// When a poll of a source that is in touch last came through.
    pub heard: Cell<Nanos>,
    pub rng: RefCell<Rng>,
    pub log_buffer: LogBuffer,
    /// Client requests that are being read or worked on.
    pub open: Cell<usize>,
    /// What the process tells of itself.
    pub counters: Counters,
}

impl Node {
    pub fn new(
        boot: ProcessSettings,
        disk: u64,
        log_buffer: LogBuffer,
        net: SharedNet,
        mut rng: Rng,
    ) -> Rc<Node> {
        let internal = boot.internal_of(boot.ip);
        let text = |a: Option<SocketAddr>| a.map(|a| a.to_string()).unwrap_or_default();
        let me = NodeRecord {
            name: boot.node_name.clone(),
            internal_address: internal.to_string(),
            control_address: text(boot.listen.control),
            zone: boot.zone.clone(),
            region: boot.region.clone(),
            counts_toward_quorum: boot.counts_toward_quorum,
            serves_clients: boot.listen.front.is_some(),
            disk_id: disk,
            incarnation: 1,
            nonce: rng.u64(1..),
            leaving: false,
            unresponsive: false,
        };
        let mut rows = MembershipTable::new(rng.u64(1..), TOMBSTONE, MOST_ROWS);
        rows.merge_node(me.clone(), 0);
        let mut server_table = ServerTable::new(version_limits(&boot), rng.fork());
        let configuration_lease = ConfigurationLease::new(&boot.bounds);
        if boot.counts_toward_quorum {
            // The start of a node of the core is a change of the core.
            server_table.versions.record_core_change(0);
        }
        let none = ActiveConfiguration {
            slot: 0,
            version: 0,
            text: "".into(),
            digest: 0,
            table: None,
            is_readable: true,
        };
        Rc::new(Node {
            settings: RefCell::new(boot),
            started: Instant::now(),
            membership: RefCell::new(rows),
            own_name: me.name.clone(),
            own_record: RefCell::new(me),
            live_nodes: RefCell::default(),
            config: RefCell::new(Rc::new(none)),
            edits: RefCell::default(),
            server_table: RefCell::new(server_table),
            budgets: RefCell::default(),
            links: Links::new(net.clone()),
            backlogs: RefCell::default(),
            outliers: RefCell::default(),
            core_seen: RefCell::default(),
            stores: RefCell::default(),
            index: RefCell::new(PrefixIndex::new(IndexSettings {
                max_blocks: MOST_PREFIXES,
                assumed_retention: KEPT,
                save_retry_interval: SAVED_AGAIN,
                max_report_delay: TOLD_BY,
            })),
            net,
            changes: Rc::default(),
            pace: RefCell::default(),
            answers: RefCell::default(),
            pollers: Cell::new(0),
            unsynced: Cell::new(false),
            synced: Cell::new(None),
            wake: Cell::new(Nanos::MAX),
            stirred: Notify::new(),
            informed: Cell::new(false),
            leaving: Cell::new(false),
            graceful_shutdown: Cell::new(None),
            typical_output: RefCell::default(),
            durations: RefCell::default(),
            configuration_lease: RefCell::new(configuration_lease),
            heard: Cell::new(0),
            rng: RefCell::new(rng),
            log_buffer,
            open: Cell::new(0),
            counters: Counters::default(),
        })
    }

    /// Nanoseconds since this process started.
    pub fn now(&self) -> Nanos {
        nanos(self.started.elapsed())
    }

    pub fn jitter(&self, of: Duration) -> Duration {
        of.mul_f64(0.5 + self.rng.borrow_mut().f64())
    }

    pub fn active_configuration(&self) -> Rc<ActiveConfiguration> {
        self.config.borrow().clone()
    }

    pub fn changes(&self) -> Watching {
        Watching {
            changes: self.changes.clone(),
            seen: self.changes.count.get(),
        }
    }

    /// Something that pollers want to hear of.
    pub fn changed(&self) {
        self.changes.count.set(self.changes.count.get() + 1);
        self.changes.raised.notify_waiters();
    }

    /// How many nodes share the retry budget: all that take clients, and those not heard of for a while too, since
    /// they may still spend their part.
    pub fn sharers(&self) -> usize {
        self.live_nodes().front_count().max(1)
    }

    pub fn budget<T>(&self, service: &str, f: impl FnOnce(&mut RetryBudget, Nanos) -> T) -> T {
        let now = self.now();
        // The slack waits for a window, since a process before this one may have spent it.
        let minted = if !rules::restarts_renew_no_retry_slack() {
            nanos(self.settings.borrow().bounds.budget_window)
        } else {
            0
        };
        let now = now + minted;
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            let terms = self.settings.borrow().bounds.budget();
            budgets.insert(service.to_owned(), RetryBudget::new(terms, 0, now));
        }
        let table = self.active_configuration().table.clone();
        // Services that the configuration no longer has leave no counts behind.
        budgets
            .retain(|s, _| s == service || table.as_ref().is_none_or(|t| t.service(s).is_some()));
        f(budgets.get_mut(service).expect("just put there"), now)
    }

    /// One repeat from this node's part of the budget. In its first window a process has none: the one before it may
    /// have spent all that its requests had earned, and the window that is judged holds both.
    pub fn may_repeat(&self, service: &str) -> bool {
        let window = nanos(self.settings.borrow().bounds.budget_window);
        let settled = self.now() >= window || !rules::restarts_renew_no_retry_slack();
        settled && self.budget(service, |b, now| b.try_acquire(self.sharers(), now))
    }

    /// Nodes that keep the control state, as far as they are known: name and where their internal door is.
    pub fn core(&self) -> Vec<(String, SocketAddr)> {
        self.live_nodes().control_nodes().to_vec()
    }
}

/// After that much of the bounds on versions nothing begins on older weights: what is told late, and the way to the server,
/// have the rest.
const VERSION_PATIENCE: f64 = 0.75;

fn version_limits(boot: &ProcessSettings) -> OutdatedVersionLimits {
    let part_of = |bound: Duration| nanos(bound.mul_f64(VERSION_PATIENCE));
    let all = boot.bounds.version_all;
    let is_added_up = !all.is_zero() && rules::total_version_limit_applies();
    OutdatedVersionLimits {
        per_stretch: part_of(boot.bounds.version),
        in_total: is_added_up.then(|| part_of(all)),
    }
}
