//! The work of one node in a fleet of any size, without sockets: what it walks, and how long it takes, for one event of
//! a followed server, one request, one poll. All of these must cost the same whatever the number of nodes, but for the
//! election's pass over the servers of a service and the snapshot that is made anew when a node row changes.
//!
//! The node is the fleet's own code with the rows of a whole fleet; nobody answers where it dials.
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

/// Servers before each node, as in the sweep of sizes.
pub const SERVERS_PER_NODE: usize = 10;
/// Machines that keep the control state, whatever the size.
const CORE_MACHINES: usize = 3;
const SERVICE: &str = "models";
/// Parts that each followed server keeps when the measurement begins.
const CACHED_BLOCKS: u64 = 500;
/// Owners of parts that a request asks at most.
const BLOCKS_PER_REQUEST: u64 = 3;
/// Each step is played so often, and its figures are means.
const REPEATS: u64 = 50;
/// Longer than rows that changed wait to be looked at together, at any size that is measured.
const UPDATE_DELAY: Duration = Duration::from_millis(500);

/// What one step costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Rows of the membership tables that were records_visited.
    pub rows: u64,
    /// Servers of the server table that were records_visited.
    pub servers: u64,
    pub microseconds: f64,
}

/// What each kind of step costs in a fleet of one size.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeCost {
    pub nodes: usize,
    /// A poll brings one server that changed.
    pub server_poll: Cost,
    /// A poll brings one node that leaves or comes back, and one followed server's parts go to their new owners.
    pub node_poll: Cost,
    /// A followed server has an event, and its owner is told.
    pub event: Cost,
    /// A request has its server elected, its wait asked and the owners of its parts found.
    pub request: Cost,
    /// Ten seconds in which nothing changes, following what falls to the node.
    pub idle_10s: Cost,
}

/// Plays a node among `nodes`.
pub fn measure(nodes: usize) -> NodeCost {
    runtime::play(async move {
        let mut fleet = Fleet::new(nodes).await;
        NodeCost {
            nodes,
            idle_10s: fleet.idle().await,
            event: fleet.events().await,
            request: fleet.requests().await,
            server_poll: fleet.server_polls().await,
            node_poll: fleet.node_polls().await,
        }
    })
}

/// A network in which nobody answers.
struct UnreachableNetwork;

impl Net for UnreachableNetwork {
    fn dial(&self, _: SocketAddr) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) })
    }
    fn listen(&self, _: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::AddrInUse.into())
    }
}

/// The node, and what it is told of the others.
struct Fleet {
    node: Rc<Node>,
    nodes: usize,
    source: Source,
    /// Rises with each step, to make each a new one.
    step: u64,
}

impl Fleet {
    async fn new(nodes: usize) -> Fleet {
        let settings = include_str!("../../sparrouter-fleet/tests/settings/page.conf");
        let boot =
            ProcessSettings::parse(Path::new("boot.conf"), settings).expect("the page's settings");
        let node = Node::new(
            boot,
            0,
            LogBuffer::gathering(),
            Rc::new(UnreachableNetwork),
            fastrand::Rng::with_seed(7),
        );
        let configuration: Configuration = Configuration {
            kv_store: None,
            ..initial_configuration()
        };
        node.apply_configuration(ConfigUpdate {
            slot: 1,
            version: 1,
            text: TextUpdate::Complete(configuration.json()),
            ..ConfigUpdate::default()
        });
        node.merge_records(MembershipDelta {
            nodes: (1..nodes).map(|number| node_record(number, 1)).collect(),
            servers: (0..nodes * SERVERS_PER_NODE)
                .map(|number| server_record(number, 1))
                .collect(),
            ..MembershipDelta::default()
        });
        spawn_local(node.clone().carry_out());
        spawn_local(event_follower::follow(node.clone()));
        sleep(UPDATE_DELAY).await;
        let mut source = Source::default();
        source.apply_page(page(0, (0..CACHED_BLOCKS).map(block_key)));
        node.report_cached_blocks(&mut source, 1, false);
        Fleet {
            node,
            nodes,
            source,
            step: 1,
        }
    }

    fn records_visited(&self) -> (u64, u64) {
        let rows = self.node.membership.borrow().records_visited();
        (rows, self.node.server_table.borrow().records_visited())
    }

    /// The mean cost of `REPEATS` steps.
    async fn cost(&mut self, step: impl AsyncFn(&mut Fleet)) -> Cost {
        let (rows, servers) = self.records_visited();
        let began = Instant::now();
        for _ in 0..REPEATS {
            self.step += 1;
            step(self).await;
        }
        let microseconds = began.elapsed().as_secs_f64() * 1e6 / REPEATS as f64;
        let (rows_after, servers_after) = self.records_visited();
        Cost {
            rows: (rows_after - rows).div_ceil(REPEATS),
            servers: (servers_after - servers).div_ceil(REPEATS),
            microseconds,
        }
    }

    async fn idle(&mut self) -> Cost {
        self.cost(async |_| sleep(Duration::from_secs(10)).await)
            .await
    }

    async fn events(&mut self) -> Cost {
        self.cost(async |fleet| {
            let key = block_key(CACHED_BLOCKS + fleet.step);
            fleet.source.apply_page(page(fleet.step, [key].into_iter()));
            fleet.node.report_cached_blocks(&mut fleet.source, 1, false);
        })
        .await
    }

    async fn requests(&mut self) -> Cost {
        self.cost(async |fleet| {
            let ask = SelectionRequest {
                service: SERVICE,
                key: block_key(fleet.step),
                model: None,
                is_long_generation: false,
                attempted: &[],
            };
            let now = fleet.node.now();
            let picked = fleet.node.server_table.borrow().select(&ask, now);
            let server = picked.expect("all servers are ready").server as u64;
            let _ = fleet.node.keeps(server);
            for part in 0..BLOCKS_PER_REQUEST {
                let _ = fleet.node.keeps(block_key(fleet.step + part));
            }
            let table = fleet.node.server_table.borrow();
            let _ = table.by_id_hash(block_key(fleet.step));
        })
        .await
    }

    async fn server_polls(&mut self) -> Cost {
        self.cost(async |fleet| {
            fleet.node.merge_records(MembershipDelta {
                servers: vec![server_record(1, fleet.step)].into(),
                ..MembershipDelta::default()
            });
            sleep(UPDATE_DELAY).await;
        })
        .await
    }

    async fn node_polls(&mut self) -> Cost {
        self.cost(async |fleet| {
            let row = NodeRecord {
                leaving: fleet.step.is_multiple_of(2),
                ..node_record(fleet.nodes - 1, fleet.step)
            };
            fleet.node.merge_records(MembershipDelta {
                nodes: vec![row].into(),
                ..MembershipDelta::default()
            });
            fleet.node.report_cached_blocks(&mut fleet.source, 1, false);
        })
        .await
    }
}

fn node_record(number: usize, incarnation: u64) -> NodeRecord {
    let address = |port: u16| format!("10.{}.{}.2:{port}", 100 + number / 250, number % 250);
    let counted = number < CORE_MACHINES;
    NodeRecord {
        name: format!("machine-{number}"),
        internal_address: address(7360),
        control_address: if counted {
            address(8683)
        } else {
            String::new()
        },
        zone: format!("zone-{}", number % 3),
        counts_toward_quorum: counted,
        serves_clients: true,
        incarnation: incarnation,
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

fn page(next: u64, keys: impl Iterator<Item = u64>) -> EventPage {
    EventPage {
        epoch: 1,
        next,
        gap: false,
        events: keys.map(|key| BlockChange { key, tokens: 200 }).collect(),
    }
}
