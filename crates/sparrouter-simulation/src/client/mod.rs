//! Clients as PROTOCOL.md describes them: a new id for each attempt, retries as the responses allow, a complete response
//! or none.

mod response;

use crate::configuration::RouteKind;
use crate::load_balancer::{LoadBalancer, Target};
use crate::monitor::{Attempt, ClientResponse, Monitor};
use crate::network::interface::NetworkInterface;
use crate::network::socket::Socket;
use crate::server::MODEL;
use bytes::Bytes;
use fastrand::Rng;
use response::ReadOutcome;
use sparrouter_fleet::platform::net::Connection;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a retry, unless the response names another.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A request of a client: where it goes, what it asks for, and how long the client waits.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Host of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Whether it may be retried.
    pub kind: RouteKind,
    /// API key.
    pub key: String,
    /// Zone of the client.
    pub zone: String,
    /// How long the client waits, over all attempts.
    pub deadline: Duration,
    /// Most attempts after the first one.
    pub retries: u32,
    /// Id of the prompt's prefix that other requests share.
    pub prompt_id: String,
    /// Tokens of that prefix.
    pub shared_tokens: u64,
    /// The client disconnects so long after it sent an attempt.
    pub disconnects_after: Option<Duration>,
}

impl ClientRequest {
    /// The same on another route, for a response as the path's last segment says; without retries.
    pub fn to_route(self, name: &str, response_spec: &str) -> ClientRequest {
        ClientRequest {
            path: format!("/{name}/{response_spec}"),
            retries: 0,
            ..self
        }
    }
}

/// How a request ended, after all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a complete response.
    Served,
    /// With a rejection; holds the last status.
    Rejected(u16),
    /// Without a complete response.
    Failed,
}

/// An open connection to a node.
struct ClientConnection {
    socket: Socket,
    target: Target,
    /// It has carried another request before.
    is_reused: bool,
}

/// How one attempt ended.
struct AttemptOutcome {
    response: ClientResponse,
    /// How long the response asks to wait before a retry.
    retry_after: Option<Duration>,
    /// No node can have read the request.
    is_unread: bool,
}

/// A client.
pub struct Client {
    network: NetworkInterface,
    monitor: Rc<Monitor>,
    load_balancer: Rc<LoadBalancer>,
    rng: RefCell<Rng>,
    /// A connection that may carry another request; at most one, and only if `keeps_alive`.
    idle: RefCell<Option<ClientConnection>>,
    keeps_alive: bool,
}

impl Client {
    /// `keeps_alive`: it keeps connections open between requests.
    pub fn new(
        network: NetworkInterface,
        monitor: Rc<Monitor>,
        load_balancer: Rc<LoadBalancer>,
        rng: Rng,
        keeps_alive: bool,
    ) -> Client {
        Client {
            network,
            monitor,
            load_balancer,
            rng: RefCell::new(rng),
            idle: RefCell::default(),
            keeps_alive,
        }
    }

    /// Sends a request with its retries, to the nodes that the load balancer chooses.
    pub async fn send(&self, request: &ClientRequest) -> RequestOutcome {
        self.send_with_retries(request, None).await
    }

    /// Sends a request with its retries to one node. `incarnation`: see [`LoadBalancer::incarnation`].
    pub async fn send_to(
        &self,
        request: &ClientRequest,
        address: SocketAddr,
        incarnation: u64,
    ) -> RequestOutcome {
        let target = Target {
            address,
            incarnation,
        };
        self.send_with_retries(request, Some(target)).await
    }

    async fn send_with_retries(
        &self,
        request: &ClientRequest,
        target: Option<Target>,
    ) -> RequestOutcome {
        let deadline = Instant::now() + request.deadline;
        let mut outcome = RequestOutcome::Failed;
        for _ in 0..=request.retries {
            if Instant::now() >= deadline {
                break;
            }
            let attempt = self.attempt(request, deadline, target).await;
            let status = attempt.response.status;
            outcome = match status {
                200..=299 if attempt.response.is_complete => return RequestOutcome::Served,
                0 | 200..=299 => RequestOutcome::Failed,
                status => RequestOutcome::Rejected(status),
            };
            let is_final = matches!(status, 200..=299 | 400 | 401 | 404 | 413 | 431);
            let denies_run = matches!(status, 408 | 421 | 429 | 503);
            let may_retry = request.kind.is_retryable() || denies_run || attempt.is_unread;
            if is_final || !may_retry {
                break;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            let delay = attempt.retry_after.unwrap_or(RETRY_DELAY);
            sleep(delay.min(remaining / 3)).await;
        }
        outcome
    }

    async fn attempt(
        &self,
        request: &ClientRequest,
        deadline: Instant,
        target: Option<Target>,
    ) -> AttemptOutcome {
        let id = format!("{:016x}", self.rng.borrow_mut().u64(..));
        let Some(mut connection) = self.connection(request, target).await else {
            return AttemptOutcome {
                response: ClientResponse::default(),
                retry_after: None,
                is_unread: true,
            };
        };
        let body = Bytes::from(format!("body of {id}"));
        let attempt = Attempt {
            method: "POST".to_owned(),
            host: request.host.clone(),
            path: request.path.clone(),
            body: body.clone(),
            key: request.key.clone(),
            kind: request.kind,
            node: connection.target.address.ip(),
            incarnation: connection.target.incarnation,
            deadline,
            reused_connection: connection.is_reused,
        };
        self.monitor.attempt_sent(&id, &attempt);
        let head = request_head(request, &id, deadline, body.len());
        let message = [head.as_bytes(), &body].concat();
        let mut response = ClientResponse::default();
        let read = self
            .exchange(&mut connection, request, &message, deadline, &mut response)
            .await;
        // After a reset, or an end before any byte, the node may have read the request.
        self.monitor.response_received(&id, &response);
        if read.is_reusable && self.keeps_alive && response.is_complete {
            *self.idle.borrow_mut() = Some(ClientConnection {
                is_reused: true,
                ..connection
            });
        }
        AttemptOutcome {
            response,
            retry_after: read.retry_after,
            is_unread: false,
        }
    }

    /// Writes a request and reads its response, until the deadline or until the client disconnects.
    async fn exchange(
        &self,
        connection: &mut ClientConnection,
        request: &ClientRequest,
        message: &[u8],
        deadline: Instant,
        response: &mut ClientResponse,
    ) -> ReadOutcome {
        if connection.socket.write_all(message).await.is_err() {
            return ReadOutcome::default();
        }
        let disconnects_at = request
            .disconnects_after
            .map(|after| Instant::now() + after);
        let ends_at = disconnects_at.map_or(deadline, |at| at.min(deadline));
        let reading = response::read(&mut connection.socket, response);
        if let Ok(read) = timeout_at(ends_at, reading).await {
            return read;
        }
        response.is_abandoned = true;
        ReadOutcome::default()
    }

    /// The idle connection, or a new one; `None` if none can be established.
    async fn connection(
        &self,
        request: &ClientRequest,
        target: Option<Target>,
    ) -> Option<ClientConnection> {
        let idle = self.idle.borrow_mut().take();
        if let Some(connection) = idle.filter(|idle| self.is_usable(&idle.socket)) {
            return Some(connection);
        }
        let target = match target {
            Some(target) => target,
            None => {
                let mut rng = self.rng.borrow_mut();
                self.load_balancer.pick(&request.zone, &mut rng)?
            }
        };
        let connecting = timeout(CONNECT_TIMEOUT, self.network.connect(target.address));
        let socket = connecting.await.ok()?.ok()?;
        Some(ClientConnection {
            socket,
            target,
            is_reused: false,
        })
    }

    /// Whether an idle connection is still open. Nothing may arrive on it.
    fn is_usable(&self, socket: &Socket) -> bool {
        match socket.read_available(&mut [0; 64]) {
            None => true,
            Some(Ok(0) | Err(_)) => false,
            Some(Ok(_)) => {
                self.monitor
                    .report_violation("MIXED", "bytes on a connection where no request waits");
                false
            }
        }
    }
}

/// The head of a request. `length`: of its body in bytes.
fn request_head(request: &ClientRequest, id: &str, deadline: Instant, length: usize) -> String {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let remaining_ms = remaining.as_millis().max(1);
    format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Model: {MODEL}\r\n\
         Sparrouter-Token-Usage: {},20\r\nSparrouter-Prompt-Prefix: {}:{},{}:100\r\n\
         Sparrouter-Deadline-Ms: {remaining_ms}\r\nSparrouter-Key: {}\r\nContent-Length: {length}\r\n\r\n",
        request.path,
        request.host,
        request.shared_tokens + 100,
        request.prompt_id,
        request.shared_tokens,
        &id[..8],
        request.key,
    )
}
