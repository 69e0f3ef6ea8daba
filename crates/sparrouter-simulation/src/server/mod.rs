//! A model server as PROTOCOL.md describes it: heartbeats, slots and a queue, streams and bodies, resumed streams, rollout
//! commands, and faults that tests inject.
//!
//! The last segment of a request's path says what the server responds; see [`ResponseSpec`]. Every event and body names
//! the run that it comes from, so that the checkers can tell two runs apart.
//!
//! | file | its job |
//! | --- | --- |
//! | `heartbeats` | the server's lifecycle: heartbeats, drain, removal |
//! | `requests` | admission of a request: declined, queued, run |
//! | `runs` | what a run uses and leaves in the KV cache |
//! | `responses` | what a run responds, with the faults that are injected |
//! | `rollout` | commands to load new weights |
//! | `cache_events` | the log of changes of the KV cache |

mod cache_events;
mod heartbeats;
mod requests;
mod responses;
mod rollout;
mod runs;

pub use responses::{FAILURE_STATUS, ResponseSpec, body_of, event_of, failure_of};

use crate::http_messages::{next_call, response_text};
use crate::monitor::{CachedBlock, Monitor};
use crate::network::interface::NetworkInterface;
use crate::network::socket::Socket;
use bytes::BytesMut;
use cache_events::CacheEvents;
use fastrand::Rng;
use sparrouter_http::head::RequestHead;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;

/// The one model of all servers.
pub const MODEL: &str = "daka510000";

/// A block of KV cache: the salt that separates tenants, and the block's id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockKey {
    /// `Cache-Salt` of the request.
    pub salt: String,
    /// Id of the block, as in `Sparrouter-Prompt-Prefix`.
    pub id: String,
}

/// Blocks that a server or a KV store has, and their origin.
pub type BlockStore = Rc<RefCell<BTreeMap<BlockKey, CachedBlock>>>;
/// All block stores by address, as `Kv-Fetch` and `Kv-Save` name them.
pub type BlockStores = Rc<RefCell<BTreeMap<SocketAddr, BlockStore>>>;

/// What a server does wrong, each as a probability from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerFaults {
    /// Breaks a stream off midway.
    pub breaks: f64,
    /// Runs a request and resets the connection without a response.
    pub resets: f64,
    /// Sends another complete response behind one, at once or ahead of the next one.
    pub surplus: f64,
    /// Sends bytes that are no response, and closes.
    pub garbles: f64,
    /// Never responds.
    pub hangs: f64,
    /// Sends malformed bytes in a stream, in one write with the event before them, and closes.
    pub rots: f64,
    /// Responds with a failure; every other one breaks off in its body.
    pub fails: f64,
}

/// Identity and speed of a server.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Version of the weights that it starts with.
    pub version: u64,
    /// Mean time between two heartbeats.
    pub heartbeat: Duration,
    /// Time from its start to its first heartbeat.
    pub first_heartbeat_after: Duration,
    /// How long requests may still arrive after it announced its drain.
    pub drain_timeout: Duration,
    /// Time to the first token.
    pub prefill_time: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// How long it takes to load new weights.
    pub load_time: Duration,
    /// Addresses that serve control, as the operator's list has them.
    pub control: Rc<RefCell<Vec<SocketAddr>>>,
    /// Blocks of all servers and stores.
    pub block_stores: BlockStores,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    Draining,
}

/// A model server.
pub struct Server {
    /// Identity and speed.
    pub settings: ServerSettings,
    network: NetworkInterface,
    monitor: Rc<Monitor>,
    rng: RefCell<Rng>,
    /// What it does wrong now.
    pub faults: Cell<ServerFaults>,
    state: Cell<State>,
    version: Cell<u64>,
    is_loading: Cell<bool>,
    /// Rollout commands that it accepted.
    commands: Cell<u64>,
    /// Highest fencing token of an accepted command.
    fencing_token: Cell<u64>,
    /// Number of its last heartbeat.
    call_sequence: Cell<u64>,
    /// Node that its next heartbeat goes to; `None`: any node of the operator's list.
    heartbeat_target: Cell<Option<SocketAddr>>,
    slots: Semaphore,
    /// Requests that wait for a slot.
    queued: Cell<u32>,
    /// Requests that have a slot.
    running: Cell<u32>,
    /// Its KV cache.
    cache: BlockStore,
    cache_events: CacheEvents,
    /// Blocks that it fetched from another server or from a store.
    pub fetched_blocks: Cell<u32>,
    /// The node that acknowledged its drain, or its removal if it deregistered first.
    pub drain_acknowledged_by: Cell<Option<SocketAddr>>,
    /// A delayed duplicate of its first heartbeat is sent once more after its drain was acknowledged.
    pub duplicate_first_heartbeat: Cell<bool>,
    /// It never announces its drain: it deregisters first, and serves on for as long.
    deregisters_first: Cell<bool>,
    /// How long it serves on after its drain or its removal was acknowledged.
    pub serves_on_for: Cell<Duration>,
}

/// What becomes of a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionFate {
    KeepOpen,
    Close,
    Reset,
}

/// What a connection keeps between two requests.
#[derive(Default)]
struct ConnectionBuffers {
    /// Bytes that were read ahead.
    unread: BytesMut,
    /// A surplus response that goes out ahead of the next one.
    surplus: String,
}

impl Server {
    /// A server that does nothing before [`Server::run`].
    pub fn new(
        settings: ServerSettings,
        network: NetworkInterface,
        monitor: Rc<Monitor>,
        rng: Rng,
    ) -> Rc<Server> {
        let cache = BlockStore::default();
        settings
            .block_stores
            .borrow_mut()
            .insert(settings.address, cache.clone());
        let serves_on_for = settings.drain_timeout + heartbeats::DRAIN_SLACK;
        Rc::new(Server {
            version: Cell::new(settings.version),
            slots: Semaphore::new(settings.slots as usize),
            settings,
            network,
            monitor,
            rng: RefCell::new(rng),
            faults: Cell::default(),
            state: Cell::new(State::Ready),
            is_loading: Cell::new(false),
            commands: Cell::new(0),
            fencing_token: Cell::new(0),
            call_sequence: Cell::new(0),
            heartbeat_target: Cell::new(None),
            queued: Cell::new(0),
            running: Cell::new(0),
            cache,
            cache_events: CacheEvents::default(),
            fetched_blocks: Cell::new(0),
            drain_acknowledged_by: Cell::new(None),
            duplicate_first_heartbeat: Cell::new(false),
            deregisters_first: Cell::new(false),
            serves_on_for: Cell::new(serves_on_for),
        })
    }

    /// Number of requests that run.
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Version of the weights that it runs on.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Whether it has this block of a prompt in its KV cache, under any salt.
    pub fn has_cached(&self, block_id: &str) -> bool {
        self.cache.borrow().keys().any(|key| key.id == block_id)
    }

    /// Rollout commands that it accepted so far.
    pub fn commands(&self) -> u64 {
        self.commands.get()
    }

    /// Whether it has announced its drain.
    pub fn is_draining(&self) -> bool {
        self.state.get() == State::Draining
    }

    async fn serve_connection(self: Rc<Self>, mut socket: Socket, from: SocketAddr) {
        let mut buffers = ConnectionBuffers::default();
        while let Some((head, body)) = next_call(&mut socket, &mut buffers.unread).await {
            let surplus = std::mem::take(&mut buffers.surplus);
            if !surplus.is_empty() && socket.write_all(surplus.as_bytes()).await.is_err() {
                return;
            }
            let path = String::from_utf8_lossy(&head.target).into_owned();
            if let Some(response) = self.respond_to_api(&head, &body, &path, from).await {
                let is_written = socket.write_all(response.as_bytes()).await.is_ok();
                if !is_written || !head.keep_alive {
                    return;
                }
                continue;
            }
            let request = requests::Request {
                head: &head,
                body: &body,
                path: &path,
                from,
            };
            match self.serve(&mut socket, &mut buffers, &request).await {
                ConnectionFate::KeepOpen => {}
                ConnectionFate::Close => return,
                ConnectionFate::Reset => return socket.abort(),
            }
        }
    }

    /// The response to a call that is no request of a client.
    async fn respond_to_api(
        self: &Rc<Self>,
        head: &RequestHead,
        body: &[u8],
        path: &str,
        from: SocketAddr,
    ) -> Option<String> {
        let response = match (&head.method[..], path) {
            (b"GET", "/health") => self.health(),
            (b"GET", "/api/report") => response_text(200, "", &self.report()),
            (b"POST", "/api/order") => self.clone().accept_command(head, body, from),
            (b"GET", "/api/kv-list") => response_text(
                200,
                "",
                "{\"epoch\":1,\"next_page_token\":0,\"held_count\":[]}",
            ),
            (b"GET", path) if path.starts_with("/api/kv-events") => {
                self.cache_events.respond(path, head).await
            }
            _ => return None,
        };
        Some(response)
    }

    fn health(&self) -> String {
        let status = match self.state.get() {
            State::Ready => 200,
            State::Draining => 503,
        };
        let id = format!("Sparrouter-Instance-Id: {}\r\n", self.settings.id);
        response_text(status, &id, "")
    }

    fn report(&self) -> String {
        format!(
            "{{\"serving_stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{},\"adapters\":[]}}],\
             \"is_busy\":{},\"call_sequence\":{},\"queued\":{},\"running\":{},\"kv_used_tokens\":0,\
             \"kv_capacity\":100000,\"handle_count\":0}}",
            self.version.get(),
            self.is_loading.get(),
            self.commands.get(),
            self.queued.get(),
            self.running.get()
        )
    }
}
