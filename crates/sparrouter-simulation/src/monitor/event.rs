//! What clients, servers and the operator report to the monitor, as the checkers receive it.

use crate::configuration::RouteKind;
use crate::history::History;
use bytes::Bytes;
use std::net::IpAddr;
use tokio::time::Instant;

/// A request that a client sent, with the attempt id that it was sent under.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// HTTP method.
    pub method: String,
    /// Host of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
    /// API key.
    pub key: String,
    /// Kind of the route that the client expects.
    pub kind: RouteKind,
    /// Address of the node that it was sent to.
    pub node: IpAddr,
    /// Number of the process on that node; see [`crate::load_balancer::LoadBalancer::incarnation`].
    pub incarnation: u64,
    /// When the client gives up.
    pub deadline: Instant,
    /// It was sent on a connection that carried an earlier request.
    pub reused_connection: bool,
}

/// A request reached a server, which may still decline it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Service of the server.
    pub service: &'a str,
    /// Attempt id of the request.
    pub attempt_id: &'a str,
    /// Id of the server.
    pub server: &'a str,
    /// Address of the node that forwarded it.
    pub node: IpAddr,
}

/// A server began to work on a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Attempt id of the request.
    pub attempt_id: String,
    /// Service of the server.
    pub service: String,
    /// Id of the server.
    pub server: String,
    /// Address of the node that forwarded the request.
    pub node: IpAddr,
    /// HTTP method.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
    /// Tenant that the node named.
    pub tenant: Option<String>,
    /// API key, if the node passed it on.
    pub key: Option<String>,
    /// Version of the weights that it runs on.
    pub version: u64,
    /// Origin of the KV cache that it uses, for each block of its prompt.
    pub cached_blocks: Vec<CachedBlock>,
    /// Number of the event that it continues after; 0: it starts from the beginning.
    pub resumed_after: u64,
}

/// Origin of a block of KV cache: the run that first processed this part of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CachedBlock {
    /// Version of the weights that it was made with.
    pub version: u64,
    /// Tenant of the run.
    pub tenant: Option<String>,
}

/// What a client received in response to an attempt.
#[derive(Clone, Debug, Default)]
pub struct ClientResponse {
    /// HTTP status; 0: no response.
    pub status: u16,
    /// The server's seal, which names the run.
    pub seal: Option<String>,
    /// Attempt id that the response carries.
    pub attempt_id: Option<String>,
    /// The body is a stream of events.
    pub is_stream: bool,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// The body came to the end that its framing has.
    pub is_complete: bool,
    /// Why the bytes are no HTTP response.
    pub malformed: Option<&'static str>,
    /// The client stopped reading.
    pub is_abandoned: bool,
}

/// A rollout command that a server received.
#[derive(Clone, Debug)]
pub struct RolloutCommand {
    /// Id of the server.
    pub server: String,
    /// Owner of the rollout lease that sent it.
    pub lease_owner: String,
    /// Fencing token of the lease.
    pub fencing_token: u64,
    /// When it was received.
    pub received_at: Instant,
}

/// A submitted configuration, by its position among those of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmissionId(pub(super) usize);

/// What the checkers are notified of. [`super::Observations`] contains the event already.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A client sent a request.
    AttemptSent(&'a Attempt),
    /// A request reached a server.
    RequestArrived(&'a Arrival<'a>),
    /// A server began to work on a request.
    RunStarted(&'a Run),
    /// A response, or the end of an attempt without one.
    ResponseReceived {
        /// Attempt id of the request.
        attempt_id: &'a str,
        /// What was received.
        response: &'a ClientResponse,
    },
    /// A node acknowledged a configuration for the first time.
    ConfigurationAcknowledged(SubmissionId),
    /// A node rejected a configuration.
    ConfigurationRejected {
        /// The rejected one.
        submission: SubmissionId,
        /// HTTP status of the rejection.
        status: u16,
    },
    /// The operator read the configuration back at the end.
    ConfigurationRead {
        /// HTTP status, 0 without a response.
        status: u16,
        /// Body of the response.
        text: &'a str,
    },
    /// A server received a rollout command.
    CommandReceived(&'a RolloutCommand),
    /// All requests of the run have ended.
    ScenarioEnded,
    /// All calls of operators have ended.
    HistoryEnded(&'a History),
}
