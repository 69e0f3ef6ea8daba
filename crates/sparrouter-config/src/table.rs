//! The immutable snapshot that requests are routed by, and its look-ups.

use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddr;

/// What one version of the configuration says, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// Number of the version, 1 or higher.
    pub version: u64,
    /// As they stand in the configuration; hosts as sent.
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Limits,
    /// Empty: no request needs a key.
    pub tenants: Vec<Tenant>,
    pub(crate) by_host: HashMap<String, Prefixes>,
    pub(crate) by_key: HashMap<String, usize>,
    pub(crate) by_service: HashMap<String, usize>,
}

/// The prefixes of one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Prefixes {
    pub routes: HashMap<String, usize>,
    /// Each length that a prefix of this host has, longest first: a path is tried at these only, so that one made
    /// of slashes does not cost a look-up a byte.
    pub lengths: Vec<usize>,
}

impl Table {
    /// The route of a request: of those for `host`, the one with the longest prefix that begins `path`. The host is
    /// compared without case and port, the path without its query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.by_host.get(normal_host(host).as_ref())?;
        let path = path.split(['?', '#']).next().unwrap_or(path);
        prefixes
            .lengths
            .iter()
            .filter(|&&n| n <= path.len() && path.as_bytes()[n - 1] == b'/')
            .find_map(|&n| prefixes.routes.get(&path[..n]))
            .map(|&i| &self.routes[i])
    }

    /// The tenant that holds an API key.
    pub fn tenant_of(&self, key: &str) -> Option<&Tenant> {
        self.by_key.get(key).map(|&i| &self.tenants[i])
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.by_service.get(name).map(|&i| &self.services[i])
    }
}

/// A host in lower case without its port; the brackets of an IPv6 address stay.
pub(crate) fn normal_host(host: &str) -> Cow<'_, str> {
    let host = host.trim();
    let end = if host.starts_with('[') {
        host.find(']').map(|i| i + 1)
    } else {
        host.find(':')
    };
    let name = &host[..end.unwrap_or(host.len())];
    if name.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

/// What a request of a route may be put through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// At most once a try; also what a route without `kind` is.
    NonIdempotent,
    /// Answered by a series of events; repeated only if the route is resumable.
    Streaming,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    pub kind: Kind,
    /// Longest time in ms that a request is held, above 0; 30,000 if absent.
    pub timeout_ms: u64,
    /// Time in ms inside which an answer earns its full worth; the timeout if absent.
    pub target_latency_ms: u64,
    /// 0 is highest; 5 if absent.
    pub priority: u8,
    /// Services and their weights, each above 0 and each service once: weights of one named twice are added up. A
    /// route with both `service` and `traffic_split` is split; `service` must exist all the same.
    pub split: Vec<(String, f64)>,
    /// Most servers that one try is sent to, 1 or more; 1 if absent.
    pub max_attempts: u32,
    pub public_access: bool,
    pub session_affinity: bool,
    pub resumable: bool,
    /// Longest pause in ms between events at which a stream is in time; 0: none is given.
    pub gap_aim_ms: u64,
}

impl Route {
    /// Whether a request may run at a second server.
    pub fn repeatable(&self) -> bool {
        self.kind == Kind::Idempotent || (self.kind == Kind::Streaming && self.resumable)
    }

    /// The service for a key: weighted rendezvous hashing, the same on every node, and a change of weights moves
    /// only as many keys as it must. Empty only for a route made by hand with an empty split.
    pub fn pick(&self, key: u64) -> &str {
        if let [(service, _)] = self.split.as_slice() {
            return service;
        }
        let scored = self.split.iter().map(|(service, weight)| {
            let member = sparrouter_rendezvous::hash(service.as_bytes());
            (
                sparrouter_rendezvous::score(member, key, *weight),
                member,
                service,
            )
        });
        scored
            .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map_or("", |(_, _, service)| service)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    /// None: its servers are not asked.
    pub health_check_path: Option<String>,
    /// Connections that one server takes from all callers together.
    pub max_connections: Option<u32>,
    /// `h1` if absent.
    pub protocol: String,
    pub tls_enabled: bool,
    /// Set for model servers.
    pub engine: Option<Engine>,
    /// Set for a KV store, which no route may name.
    pub store: Option<Store>,
}

/// A model server's sizes. What is absent is 0 or empty, `slot_count`, `stride` and `max_concurrent` 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    pub slot_count: u32,
    pub kv_capacity_tokens: u64,
    pub kv_token_bytes: u64,
    /// Megabits a second.
    pub link_mbps: f64,
    pub stride: u32,
    /// Calls for KV events held at once.
    pub max_concurrent: u32,
    pub models: Vec<String>,
}

/// A KV store. What is absent is 0 or empty, `max_concurrent` 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    pub address: SocketAddr,
    pub zone: String,
    pub kv_capacity_tokens: u64,
    /// Megabits a second.
    pub link_mbps: f64,
    /// Calls for KV events held at once.
    pub max_concurrent: u32,
}

/// What a client may send and how long it may take. Defaults are the values of the protocol page's example.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    pub name: String,
    /// Each held by no other tenant; may be empty.
    pub api_keys: Vec<String>,
    /// Takes precedence over the route's.
    pub priority: Option<u8>,
    /// Shares no KV cache with any other tenant.
    pub isolated: bool,
}
