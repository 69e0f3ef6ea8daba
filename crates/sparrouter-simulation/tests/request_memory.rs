//! Crowds of clients whose requests stop short of their end, at whole nodes in virtual time: what their requests hold is
//! bounded, other callers are served meanwhile, nobody who was refused has run, and all memory comes back.
mod scripted;

use bytes::Bytes;
use fastrand::Rng;
use scripted::{Reaction, Received, ScriptedRequest, Servers, success};
use sparrouter_fleet::platform::defects::{Defect, inject};
use sparrouter_fleet::platform::memory::{MemoryPool, SMALL_REQUEST_BYTES};
use sparrouter_simulation::cluster::{ClusterSettings, HOST, KEY, SimulatedCluster};
use sparrouter_simulation::runtime::play;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

const NODE: &str = "edge-0";
/// Memory of each machine, of which requests of clients may hold 6.3 MB.
const MEMORY_MB: u64 = 20;
/// Clients of a crowd, whose bodies are five times what they may hold.
const MEMBERS: usize = 32;
const BODY_BYTES: usize = 1 << 20;
/// How long a client of a crowd stays connected.
const STAY: Duration = Duration::from_secs(20);
/// Longer than a request needs to stop arriving before it gives way to others, shorter than its time-out.
const LONG_STALL: Duration = Duration::from_secs(3);
/// Time within which a client that is asked to retry must be served.
const PATIENCE: Duration = Duration::from_secs(6);
/// Pause before a client retries.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// After the crowd has left, no more than the buffers of the connections that are open.
const IDLE_BYTES: f64 = 64_000.0;

/// How one client of a crowd sends its body.
struct Member {
    is_chunked: bool,
    chunk_bytes: usize,
    /// Bytes of the body that are sent.
    sent_bytes: usize,
    /// Bytes that are sent at a time.
    write_bytes: usize,
    interval: Duration,
}

impl Member {
    fn draw(rng: &mut Rng) -> Member {
        let stops_short = rng.u8(..10) > 0;
        let missing_bytes = if stops_short { rng.usize(1..4096) } else { 0 };
        Member {
            is_chunked: rng.bool(),
            chunk_bytes: [16, 512, 64 << 10][rng.usize(..3)],
            sent_bytes: BODY_BYTES - missing_bytes,
            write_bytes: [4 << 10, 64 << 10, BODY_BYTES][rng.usize(..3)],
            interval: Duration::from_millis(rng.u64(..4)),
        }
    }

    /// The bytes of the request as they are sent.
    fn bytes(&self, id: &str) -> Vec<u8> {
        let framing = match self.is_chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {BODY_BYTES}"),
        };
        let head = format!(
            "POST /idem/a HTTP/1.1\r\nHost: {HOST}\r\nSparrouter-Key: {KEY}\r\nSparrouter-Attempt-Id: {id}\r\n\
             Sparrouter-Deadline-Ms: 3000\r\n{framing}\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        if !self.is_chunked {
            bytes.extend(vec![b'x'; self.sent_bytes]);
            return bytes;
        }
        for _ in 0..self.sent_bytes / self.chunk_bytes {
            bytes.extend_from_slice(format!("{:x}\r\n", self.chunk_bytes).as_bytes());
            bytes.extend(vec![b'x'; self.chunk_bytes]);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes
    }
}

/// Starts a crowd at the node; each client stays connected after it has sent its bytes or was disconnected.
fn start_crowd(cluster: &Rc<SimulatedCluster>, seed: u64) -> Vec<JoinHandle<()>> {
    let mut rng = Rng::with_seed(seed);
    let start = |number: usize| {
        let member = Member::draw(&mut rng);
        let cluster = cluster.clone();
        spawn_local(async move {
            let net = cluster.outside_network();
            let Ok(mut stream) = net.connect(cluster.front_of(NODE)).await else {
                return;
            };
            for piece in member
                .bytes(&crowd_id(seed, number))
                .chunks(member.write_bytes)
            {
                if stream.write_all(piece).await.is_err() {
                    break;
                }
                sleep(member.interval).await;
            }
            sleep(STAY).await;
        })
    };
    (0..MEMBERS).map(start).collect()
}

/// The attempt id of a client of the crowd with this seed.
fn crowd_id(seed: u64, number: usize) -> String {
    format!("crowd-{seed}-{number}")
}

/// Seeds from `first` on: `count`, or as many as `REQUEST_MEMORY_SEEDS` says, to hunt.
fn seeds(first: u64, count: u64) -> std::ops::Range<u64> {
    let given = std::env::var("REQUEST_MEMORY_SEEDS").ok();
    let count = given.and_then(|text| text.parse().ok()).unwrap_or(count);
    first..first + count
}

async fn pool_metric(cluster: &SimulatedCluster, node: &str, metric: &str) -> f64 {
    let name = format!("sparrouter_request_memory_{metric}{{pool=\"clients\"}}");
    let value = cluster.metric(node, &name).await;
    value.unwrap_or_else(|| panic!("{node} tells {name}"))
}

async fn assert_bounded(cluster: &SimulatedCluster, node: &str) {
    let peak = pool_metric(cluster, node, "peak_bytes").await;
    let limit = pool_metric(cluster, node, "limit_bytes").await;
    assert!(peak <= limit, "{peak} of {limit} bytes at {node}");
}

async fn assert_memory_is_returned(cluster: &SimulatedCluster, node: &str) {
    let reserved = pool_metric(cluster, node, "bytes").await;
    assert!(
        reserved <= IDLE_BYTES,
        "{reserved} bytes are reserved at {node}"
    );
}

/// Sends a request with a body of this length until it is not told to retry, or its client gives up.
async fn send_patiently(cluster: &SimulatedCluster, id: &str, body_bytes: usize) -> Received {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let request = ScriptedRequest {
            body: Bytes::from(vec![b'y'; body_bytes]),
            ..ScriptedRequest::new("/idem/a", id)
        };
        let response = request.send_to(cluster, NODE).await;
        if response.status != 503 || Instant::now() >= deadline {
            return response;
        }
        assert!(response.retry_after, "{response:?}");
        sleep(RETRY_INTERVAL).await;
    }
}

async fn start(seed: u64) -> (Rc<SimulatedCluster>, Rc<Servers>) {
    let settings = ClusterSettings::with_seed(seed)
        .servers(0)
        .memory_mb(MEMORY_MB);
    let cluster = SimulatedCluster::serving(settings).await;
    let servers = Servers::start(&cluster, 3, |_, _| Reaction::Respond(success("done"))).await;
    (cluster, servers)
}

/// Asserts that small requests are served at any time while the crowd is there, and a large one as soon as its requests
/// have stopped arriving.
async fn assert_others_are_served(cluster: &SimulatedCluster) {
    let large_begins = Instant::now() + LONG_STALL;
    while Instant::now() < large_begins {
        let small = ScriptedRequest::new("/idem/a", "small");
        let response = small.send_to(cluster, NODE).await;
        assert_eq!(response.status, 200, "a small request: {response:?}");
        sleep(RETRY_INTERVAL).await;
    }
    let response = send_patiently(cluster, "large", BODY_BYTES).await;
    assert_eq!(response.status, 200, "a large request: {response:?}");
}

/// Asserts that no request of the crowd whose body never arrived has reached a server.
fn assert_incomplete_requests_have_not_run(servers: &Servers, seed: u64) {
    let mut rng = Rng::with_seed(seed);
    for number in 0..MEMBERS {
        let member = Member::draw(&mut rng);
        let is_complete = !member.is_chunked && member.sent_bytes == BODY_BYTES;
        let id = crowd_id(seed, number);
        let received = servers.received.borrow();
        let has_run = received
            .iter()
            .any(|request| request.text("sparrouter-attempt-id") == Some(&id));
        assert!(is_complete || !has_run, "{id} has run");
    }
}

/// A crowd at one node, in calm.
fn play_crowd(seed: u64) {
    play(async {
        let (cluster, servers) = start(seed).await;
        let crowd = start_crowd(&cluster, seed);
        assert_others_are_served(&cluster).await;
        assert_bounded(&cluster, NODE).await;
        for client in crowd {
            client.await.expect("no panic");
        }
        sleep(STAY).await;
        assert_memory_is_returned(&cluster, NODE).await;
        assert_incomplete_requests_have_not_run(&servers, seed);
    });
}

/// Guards against requests that hold more memory together than the machine has for them.
#[test]
fn given_a_crowd_whose_bodies_stop_short_then_memory_is_bounded_and_others_are_served() {
    for seed in seeds(880, 8) {
        play_crowd(seed);
    }
}

fn fails_with(defect: Defect) -> bool {
    inject(Some(defect));
    let played = catch_unwind(AssertUnwindSafe(|| play_crowd(880)));
    inject(None);
    played.is_err()
}

#[test]
fn given_injected_defects_of_request_memory_when_a_crowd_comes_then_each_is_found() {
    for defect in [
        Defect::RequestMemoryUnbounded,
        Defect::StalledRequestsNotEvicted,
    ] {
        assert!(fails_with(defect), "{defect:?} is found");
    }
}

/// Whether a small request gets memory while large ones hold all that they may.
fn small_requests_get_memory() -> bool {
    const POOL_BYTES: usize = 4 << 20;
    let pool = MemoryPool::new("test", POOL_BYTES);
    let mut large = pool.reserve();
    assert!(large.grow_now(POOL_BYTES / 4 * 3));
    pool.reserve().grow_now(SMALL_REQUEST_BYTES)
}

#[tokio::test(start_paused = true)]
async fn given_the_injected_defect_of_small_requests_when_large_ones_hold_their_part_then_it_is_found()
 {
    assert!(small_requests_get_memory());
    inject(Some(Defect::NoMemoryForSmallRequests));
    let get_memory = small_requests_get_memory();
    inject(None);
    assert!(!get_memory);
}

/// Guards against bodies that are held without a bound where their requests wait for servers that never answer.
#[test]
fn given_a_crowd_while_no_server_responds_then_memory_is_bounded_and_returned() {
    for seed in seeds(1_890, 3) {
        play(async {
            let settings = ClusterSettings::with_seed(seed)
                .servers(0)
                .memory_mb(MEMORY_MB);
            let cluster = SimulatedCluster::serving(settings).await;
            let _servers = Servers::start(&cluster, 3, |_, _| Reaction::NoResponse).await;
            let net = cluster.outside_network();
            let mut clients = Vec::new();
            for number in 0..MEMBERS {
                let mut stream = net
                    .connect(cluster.front_of(NODE))
                    .await
                    .expect("connected");
                let member = Member {
                    is_chunked: false,
                    chunk_bytes: 1,
                    sent_bytes: BODY_BYTES,
                    write_bytes: BODY_BYTES,
                    interval: Duration::ZERO,
                };
                let bytes = member.bytes(&crowd_id(seed, number));
                clients.push(spawn_local(async move {
                    // A client that is refused is disconnected.
                    let _ = stream.write_all(&bytes).await;
                    sleep(STAY).await;
                }));
            }
            sleep(LONG_STALL / 2).await;
            assert_bounded(&cluster, NODE).await;
            let reserved = pool_metric(&cluster, NODE, "bytes").await;
            assert!(
                reserved > BODY_BYTES as f64,
                "requests wait for their servers"
            );
            sleep(STAY).await;
            assert_memory_is_returned(&cluster, NODE).await;
        });
    }
}

/// Guards against memory that is lost, or not bounded, where a crowd meets a frozen process or a graceful shutdown.
#[test]
fn given_a_crowd_when_the_node_freezes_and_is_terminated_then_it_ends_and_its_successor_serves() {
    for seed in seeds(2_895, 3) {
        play(async {
            let (cluster, servers) = start(seed).await;
            start_crowd(&cluster, seed);
            sleep(Duration::from_millis(seed % 5 * 300)).await;
            cluster.freeze(NODE, true);
            sleep(Duration::from_secs(2)).await;
            cluster.freeze(NODE, false);
            sleep(Duration::from_millis(200)).await;
            assert_bounded(&cluster, NODE).await;
            start_crowd(&cluster, seed + 1);
            let termination = Instant::now();
            cluster.terminate(NODE).await;
            let grace = cluster.settings.bounds.grace;
            assert!(termination.elapsed() < grace, "it ends by itself");
            cluster.start(NODE, false);
            cluster.wait_until_ready().await;
            start_crowd(&cluster, seed + 2);
            assert_others_are_served(&cluster).await;
            assert_bounded(&cluster, NODE).await;
            assert_incomplete_requests_have_not_run(&servers, seed + 2);
        });
    }
}

/// Guards against bytes behind the requests of some clients that leave no memory for the requests of others.
#[test]
fn given_a_crowd_that_sends_on_behind_its_requests_then_the_requests_of_others_are_served() {
    const PIPELINING_MEMBERS: usize = 90;
    const PIPELINED_BYTES: usize = 256 << 10;
    play(async {
        let settings = ClusterSettings::with_seed(899)
            .servers(0)
            .memory_mb(MEMORY_MB);
        let cluster = SimulatedCluster::serving(settings).await;
        let _servers = Servers::start(&cluster, 3, |head, _| {
            match head.fields.text("sparrouter-attempt-id") {
                Some("small") => Reaction::Respond(success("done")),
                _ => Reaction::NoResponse,
            }
        })
        .await;
        let net = cluster.outside_network();
        for number in 0..PIPELINING_MEMBERS {
            let mut stream = net
                .connect(cluster.front_of(NODE))
                .await
                .expect("connected");
            let head = format!(
                "POST /idem/a HTTP/1.1\r\nHost: {HOST}\r\nSparrouter-Key: {KEY}\r\n\
                 Sparrouter-Attempt-Id: {}\r\nContent-Length: 1\r\n\r\n",
                crowd_id(899, number)
            );
            let bytes = [head.into_bytes(), vec![b'x'; PIPELINED_BYTES]].concat();
            spawn_local(async move {
                // The client stays connected, whether it can write all bytes or not.
                let _ = stream.write_all(&bytes).await;
                sleep(STAY).await;
            });
        }
        sleep(LONG_STALL / 2).await;
        assert_bounded(&cluster, NODE).await;
        let small = ScriptedRequest::new("/idem/a", "small");
        let response = small.send_to(&cluster, NODE).await;
        assert_eq!(response.status, 200, "a small request: {response:?}");
    });
}

/// Clients that hold connections; a node takes 2,280 at a time.
const HOLDING_MEMBERS: usize = 2_600;

/// Whether a client's request is served before it gives up while others hold all connections, half of them with a part of a request.
fn is_served_beside_holders(seed: u64) -> bool {
    play(async {
        let settings = ClusterSettings::with_seed(seed).servers(0);
        let cluster = SimulatedCluster::serving(settings).await;
        let _servers = Servers::start(&cluster, 3, |_, _| Reaction::Respond(success("done"))).await;
        for number in 0..HOLDING_MEMBERS {
            let cluster = cluster.clone();
            spawn_local(async move {
                let net = cluster.outside_network();
                let Ok(mut stream) = net.connect(cluster.front_of(NODE)).await else {
                    return;
                };
                if number % 2 == 0 {
                    let fragment = b"POST /idem/a HTTP/1.1\r\nContent-Length: 100\r\n\r\nx";
                    // The client stays connected, whether it can write or not.
                    let _ = stream.write_all(fragment).await;
                }
                sleep(STAY).await;
            });
        }
        sleep(LONG_STALL / 2).await;
        let request = ScriptedRequest {
            disconnects_after: Some(Duration::from_secs(1)),
            ..ScriptedRequest::new("/idem/a", "ordinary")
        };
        let deadline = Instant::now() + PATIENCE;
        // Connections that came before it are accepted first.
        while Instant::now() < deadline {
            let response = request.send_to(&cluster, NODE).await;
            if response.status == 200 {
                return Instant::now() < deadline;
            }
        }
        false
    })
}

/// Guards against clients that hold all connections of a node, and so shut out all others until their time-outs.
#[test]
fn given_clients_that_hold_all_connections_when_another_one_sends_a_request_then_it_is_served() {
    assert!(is_served_beside_holders(2_990));
    inject(Some(Defect::WaitingConnectionsNotDisplaced));
    let is_served_with_defect = is_served_beside_holders(2_990);
    inject(None);
    assert!(!is_served_with_defect, "the defect is found");
}
