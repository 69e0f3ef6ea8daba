//! The work of one node in a fleet of any size, without sockets: the records that it visits, and how long it takes, for one
//! event of a followed server, one request, one poll. All of these must cost the same whatever the number of nodes, but for
//! the selection's pass over the servers of a service and the snapshot that is rebuilt when a node record changes.
//!
//! The node is the fleet's own code with the records of a whole fleet; no peer answers.

use crate::cluster::initial_configuration;
use crate::configuration::Configuration;
use crate::runtime;
use sparrouter_fleet::node::Node;
use sparrouter_fleet::peer::messages::{ConfigUpdate, TextUpdate};
use sparrouter_fleet::platform::net::{BoxFuture, Listener, Net, Stream};
use sparrouter_fleet::prefix_cache::event_follower;
use sparrouter_fleet::process::log_buffer::LogBuffer;
use sparrouter_fleet::process::settings::ProcessSettings;
use sparrouter_membership::{MembershipDelta, NodeRecord, ServerRecord};
use sparrouter_prefix_index::{BlockChange, EventPage, Source};
use sparrouter_routing::SelectionRequest;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Servers a node, as in the sweep of sizes.
pub const SERVERS_PER_NODE: usize = 10;
/// Machines that have the control state, whatever the size.
const CORE_MACHINES: usize = 3;
const SERVICE: &str = "models";
/// Cached blocks of each followed server when the measurement begins.
const CACHED_BLOCKS: u64 = 500;
/// Owners of blocks that a request queries at most.
const BLOCKS_PER_REQUEST: u64 = 3;
/// Each step is repeated so often, and its figures are means.
const REPEATS: u64 = 50;
/// Longer than changed records wait to be processed together, at any size that is measured.
const UPDATE_DELAY: Duration = Duration::from_millis(500);
/// Duration of an idle step, in virtual time.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// What one step costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Records of the membership tables that were visited.
    pub membership_records: u64,
    /// Records of the server table that were visited.
    pub server_records: u64,
    /// Time, in µs.
    pub microseconds: f64,
}

/// What each kind of step costs in a fleet of one size.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeCost {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// A poll brings one server that changed.
    pub server_poll: Cost,
    /// A poll brings one node that drains or comes back, and one followed server's blocks are reported to their new owners.
    pub node_poll: Cost,
    /// A followed server has an event, and the block's owner is notified.
    pub event: Cost,
    /// A server is selected for a request, and the owners of its blocks are found.
    pub request: Cost,
    /// Ten seconds in which nothing changes, following the servers that fall to the node.
    pub idle_10s: Cost,
}

/// Measures a node of a fleet of so many nodes.
pub fn measure(nodes: usize) -> NodeCost {
    runtime::play(async move {
        let mut step = MeasuredNode::new(nodes).await;
        NodeCost {
            nodes,
            idle_10s: step.idle().await,
            event: step.cache_event().await,
            request: step.request().await,
            server_poll: step.server_poll().await,
            node_poll: step.node_poll().await,
        }
    })
}

/// A network in which every connection is refused.
struct UnreachableNetwork;

impl Net for UnreachableNetwork {
    fn dial(&self, _: SocketAddr) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) })
    }

    fn listen(&self, _: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::AddrInUse.into())
    }
}

/// Records visited so far.
struct Visited {
    membership: u64,
    servers: u64,
}

/// The node, and a server that it follows.
struct MeasuredNode {
    node: Rc<Node>,
    nodes: usize,
    source: Source,
    /// Rises with each step, to make each a new one.
    step: u64,
}

impl MeasuredNode {
    async fn new(nodes: usize) -> MeasuredNode {
        let node = Node::new(
            process_settings(),
            0,
            LogBuffer::collecting(),
            Rc::new(UnreachableNetwork),
            fastrand::Rng::with_seed(7),
        );
        node.apply_configuration(first_update());
        let servers = nodes * SERVERS_PER_NODE;
        node.merge_records(MembershipDelta {
            nodes: (1..nodes).map(|n| node_record(n, 1)).collect(),
            servers: (0..servers).map(|n| server_record(n, 1)).collect(),
            ..MembershipDelta::default()
        });
        spawn_local(node.clone().run_publication());
        spawn_local(event_follower::follow(node.clone()));
        sleep(UPDATE_DELAY).await;
        let mut source = Source::default();
        source.apply_page(event_page(0, (0..CACHED_BLOCKS).map(block_key)));
        node.report_cached_blocks(&mut source, 1, false);
        MeasuredNode {
            node,
            nodes,
            source,
            step: 1,
        }
    }

    fn visited(&self) -> Visited {
        Visited {
            membership: self.node.membership.borrow().records_visited(),
            servers: self.node.server_table.borrow().records_visited(),
        }
    }

    /// The mean cost of `REPEATS` steps.
    async fn cost(&mut self, step: impl AsyncFn(&mut MeasuredNode)) -> Cost {
        let before = self.visited();
        let started_at = Instant::now();
        for _ in 0..REPEATS {
            self.step += 1;
            step(self).await;
        }
        let microseconds = started_at.elapsed().as_secs_f64() * 1e6 / REPEATS as f64;
        let after = self.visited();
        Cost {
            membership_records: (after.membership - before.membership).div_ceil(REPEATS),
            server_records: (after.servers - before.servers).div_ceil(REPEATS),
            microseconds,
        }
    }

    async fn idle(&mut self) -> Cost {
        self.cost(async |_| sleep(IDLE_TIME).await).await
    }

    async fn cache_event(&mut self) -> Cost {
        self.cost(async |measured| {
            let key = block_key(CACHED_BLOCKS + measured.step);
            let page = event_page(measured.step, [key].into_iter());
            measured.source.apply_page(page);
            measured
                .node
                .report_cached_blocks(&mut measured.source, 1, false);
        })
        .await
    }

    async fn request(&mut self) -> Cost {
        self.cost(async |measured| {
            let node = &measured.node;
            let request = SelectionRequest {
                service: SERVICE,
                key: block_key(measured.step),
                model: None,
                is_long_generation: false,
                attempted: &[],
            };
            let server = {
                let table = node.server_table.borrow();
                let selected = table.select(&request, node.now());
                let selected = selected.expect("all servers are ready");
                let server = table.get(selected.server);
                server.expect("the selected server").hash()
            };
            // Only the work counts, not the answers.
            let _ = node.keeps(server);
            for block in 0..BLOCKS_PER_REQUEST {
                let _ = node.keeps(block_key(measured.step + block));
            }
            let table = node.server_table.borrow();
            let _ = table.by_id_hash(block_key(measured.step));
        })
        .await
    }

    async fn server_poll(&mut self) -> Cost {
        self.cost(async |measured| {
            measured.node.merge_records(MembershipDelta {
                servers: vec![server_record(1, measured.step)].into(),
                ..MembershipDelta::default()
            });
            sleep(UPDATE_DELAY).await;
        })
        .await
    }

    async fn node_poll(&mut self) -> Cost {
        self.cost(async |measured| {
            let record = NodeRecord {
                leaving: measured.step.is_multiple_of(2),
                ..node_record(measured.nodes - 1, measured.step)
            };
            measured.node.merge_records(MembershipDelta {
                nodes: vec![record].into(),
                ..MembershipDelta::default()
            });
            measured
                .node
                .report_cached_blocks(&mut measured.source, 1, false);
        })
        .await
    }
}

fn process_settings() -> ProcessSettings {
    let text = include_str!("../../sparrouter-fleet/tests/settings/page.conf");
    ProcessSettings::parse(Path::new("boot.conf"), text).expect("valid settings")
}

fn first_update() -> ConfigUpdate {
    let configuration = Configuration {
        kv_store: None,
        ..initial_configuration()
    };
    ConfigUpdate {
        slot: 1,
        version: 1,
        text: TextUpdate::Complete(configuration.json()),
        ..ConfigUpdate::default()
    }
}

fn node_record(number: usize, incarnation: u64) -> NodeRecord {
    let address = |port: u16| format!("10.{}.{}.2:{port}", 100 + number / 250, number % 250);
    let is_core = number < CORE_MACHINES;
    let control_address = if is_core {
        address(8683)
    } else {
        String::new()
    };
    NodeRecord {
        name: format!("machine-{number}"),
        internal_address: address(7360),
        control_address,
        zone: format!("zone-{}", number % 3),
        counts_toward_quorum: is_core,
        serves_clients: true,
        incarnation,
        nonce: incarnation,
        ..NodeRecord::default()
    }
}

fn server_record(number: usize, call_sequence: u64) -> ServerRecord {
    ServerRecord {
        id: format!("i-{number:06}"),
        service: SERVICE.into(),
        address: format!("10.{}.{}.3:80", number / 250, number % 250),
        slot_count: 64,
        call_sequence,
        ..ServerRecord::default()
    }
}

fn block_key(number: u64) -> u64 {
    sparrouter_rendezvous::mix(number + 1)
}

fn event_page(next: u64, keys: impl Iterator<Item = u64>) -> EventPage {
    EventPage {
        epoch: 1,
        next,
        gap: false,
        events: keys.map(|key| BlockChange { key, tokens: 200 }).collect(),
    }
}
