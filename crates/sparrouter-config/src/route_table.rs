//! The immutable route table, its items, and lookups in it.

use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddr;

/// One version of the configuration, validated and indexed.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// The version number, 1 or higher.
    pub version: u64,
    /// The routes, in the order of the configuration.
    pub routes: Vec<Route>,
    /// The services, in the order of the configuration.
    pub services: Vec<Service>,
    /// Limits on client requests.
    pub limits: Limits,
    /// The tenants, in the order of the configuration. If there are none, no request needs an API key.
    pub tenants: Vec<Tenant>,
    /// The routes by normalized host; see [`normalize_host`].
    pub(crate) by_host: HashMap<String, Prefixes>,
    /// Maps each API key to the index of its tenant.
    pub(crate) by_key: HashMap<String, usize>,
    /// Maps the name of each service to its index.
    pub(crate) by_service: HashMap<String, usize>,
    /// Whether any tenant has a quota.
    pub(crate) has_quotas: bool,
}

/// The path prefixes of one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Prefixes {
    /// Maps each prefix to the index of its route.
    pub routes: HashMap<String, usize>,
    /// The distinct lengths of this host's prefixes in bytes, longest first, each 1 or more. A lookup tries only these lengths,
    /// so that a path of many slashes does not cost a lookup for each slash.
    pub lengths: Vec<usize>,
}

impl RouteTable {
    /// Finds the route of a request: among the routes of `host`, selects the longest path prefix that matches `path`. Ignores
    /// the host's case and port, and the path's query and fragment. `None` if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.by_host.get(normalize_host(host).as_ref())?;
        let path = path.split(['?', '#']).next().unwrap_or(path);
        prefixes
            .lengths
            .iter()
            .filter(|&&length| length <= path.len() && path.as_bytes()[length - 1] == b'/')
            .find_map(|&length| prefixes.routes.get(&path[..length]))
            .map(|&index| &self.routes[index])
    }

    /// Finds the tenant that an API key belongs to.
    pub fn tenant_of(&self, key: &str) -> Option<&Tenant> {
        self.by_key.get(key).map(|&index| &self.tenants[index])
    }

    /// Whether any tenant has a quota.
    pub fn has_quotas(&self) -> bool {
        self.has_quotas
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.by_service
            .get(name)
            .map(|&index| &self.services[index])
    }
}

/// Converts a host to lower case, and removes its port and surrounding white space. Keeps the brackets of an IPv6 address.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = host.trim();
    let end = if host.starts_with('[') {
        host.find(']').map(|bracket| bracket + 1)
    } else {
        host.find(':')
    };
    let name = &host[..end.unwrap_or(host.len())];
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

/// Determines whether a request of a route may be retried at a second server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once per attempt of the client. The default if `kind` is absent.
    NonIdempotent,
    /// The response is a stream of events. A request may run again only if the route is resumable.
    Streaming,
}

/// A route: matches requests by host and path prefix, and determines how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, unique among routes.
    pub name: String,
    /// The host, as written in the configuration.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests of the route may be retried.
    pub kind: RouteKind,
    /// Longest duration of a request in ms, above 0; 30,000 if absent.
    pub timeout_ms: u64,
    /// Latency target in ms, up to which a response counts as fully on time; the timeout if absent.
    pub target_latency_ms: u64,
    /// Priority of requests; 0 is the highest, 5 if absent.
    pub priority: u8,
    /// Services with their weights, each above 0. Each service occurs once: weights of repeated entries are added up. If a
    /// route sets both `service` and `traffic_split`, only the latter is used, but `service` must exist.
    pub split: Vec<(String, f64)>,
    /// Largest number of servers that one client request is sent to, 1 or more; 1 if absent.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key; false if absent.
    pub public_access: bool,
    /// Whether requests of one session prefer the same server; false if absent.
    pub session_affinity: bool,
    /// Whether an interrupted stream may be resumed at another server; false if absent.
    pub resumable: bool,
    /// Longest interval between two events of a stream that counts as on time, in ms; 0 if absent. The configuration names
    /// this field `gap_aim_ms`.
    pub target_token_interval_ms: u64,
}

impl Route {
    /// Whether a request may run at a second server although a first server may have run it.
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Idempotent || (self.kind == RouteKind::Streaming && self.resumable)
    }

    /// Selects the service for a key by weighted rendezvous hashing. Every node selects the same service, and a change of
    /// weights moves the fewest possible keys. Returns an empty name if `split` is empty, which validation prevents.
    pub fn select_service(&self, key: u64) -> &str {
        if let [(service, _)] = self.split.as_slice() {
            return service;
        }
        let scored = self.split.iter().map(|(service, weight)| {
            let member = sparrouter_rendezvous::hash(service.as_bytes());
            let score = sparrouter_rendezvous::score(member, key, *weight);
            (score, member, service)
        });
        scored
            .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map_or("", |(_, _, service)| service)
    }
}

/// A group of servers that run the same models, or a KV store.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service, unique among services.
    pub name: String,
    /// Path of health checks; `None` if servers of the service have no health checks.
    pub health_check_path: Option<String>,
    /// Largest number of connections that one server accepts from all callers in total; `None` if no limit is configured.
    pub max_connections: Option<u32>,
    /// Protocol of the servers; `h1` if absent.
    pub protocol: String,
    /// Whether the servers expect TLS; false if absent.
    pub tls_enabled: bool,
    /// Capacity of each server; `None` if the servers are not model servers.
    pub engine: Option<Engine>,
    /// The KV store; `None` if the service is not a KV store. No route may refer to a KV store.
    pub store: Option<Store>,
}

/// Capacity of a model server. Absent numbers are 0, except `slot_count`, `stride` and `max_concurrent`, which are 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that a server processes concurrently.
    pub slot_count: u32,
    /// Capacity of the KV cache in tokens.
    pub kv_capacity_tokens: u64,
    /// Size of one token in the KV cache, in bytes.
    pub kv_token_bytes: u64,
    /// Bandwidth of the server's network link, in megabits per second.
    pub link_mbps: f64,
    /// The server's `stride` setting, as defined in the documentation of the server.
    pub stride: u32,
    /// Largest number of concurrent calls for KV events.
    pub max_concurrent: u32,
    /// Names of the models that the server can run.
    pub models: Vec<String>,
}

/// A KV store. Absent numbers are 0, except `max_concurrent`, which is 1; an absent zone is empty.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Address that the store listens on.
    pub address: SocketAddr,
    /// Zone of the store.
    pub zone: String,
    /// Capacity of the store in tokens.
    pub kv_capacity_tokens: u64,
    /// Bandwidth of the store's network link, in megabits per second.
    pub link_mbps: f64,
    /// Largest number of concurrent calls for KV events.
    pub max_concurrent: u32,
}

/// Limits on client requests. The defaults equal the values of the example in PROTOCOL.md.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time in ms to receive a request head.
    pub header_timeout_ms: u64,
    /// Longest time in ms that a connection may be idle between requests.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            // 16 KiB.
            max_header_bytes: 16 << 10,
            // 4 MiB.
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A customer, identified by API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, unique among tenants.
    pub name: String,
    /// API keys of the tenant; may be empty. No two tenants share a key.
    pub api_keys: Vec<String>,
    /// Priority of the tenant's requests, which overrides the route's priority; 0 is the highest. `None` if the route's
    /// priority applies.
    pub priority: Option<u8>,
    /// Whether the tenant's prompts share no KV cache with prompts of other tenants; false if absent.
    pub isolated: bool,
    /// Quota over all nodes in total; `None` if the tenant has no limit.
    pub quota: Option<TenantQuota>,
}

/// Rate limit on a tenant's requests, over all nodes in total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Rate in requests per second; above 0.
    pub rate_per_s: f64,
    /// Number of requests beyond the rate that may arrive in a burst; 0 or more.
    pub burst_size: f64,
}
