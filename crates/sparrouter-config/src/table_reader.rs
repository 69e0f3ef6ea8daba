//! Validates a document and builds its table. Every rule that makes a configuration invalid is in this module.

use crate::change::Document;
use crate::error::ConfigError;
use crate::fields::Fields;
use crate::json;
use crate::route_table::{
    Engine, Limits, Prefixes, Route, RouteKind, RouteTable, Service, Store, Tenant, normal_host,
};
use std::collections::HashMap;

/// `timeout_ms` of a route that gives none.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// `priority` of a route that gives none.
const DEFAULT_PRIORITY: u8 = 5;

impl RouteTable {
    /// Reads and validates a whole document, in time proportional to its length (beside sorting each host's prefix lengths).
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] that names the first invalid field.
    pub fn read(document: &Document) -> Result<RouteTable, ConfigError> {
        let (_, tree) = json::read(document.text.as_bytes())?;
        let root = Fields::root(&tree)?;
        let version = root.version()?;
        if version != document.version {
            return Err(ConfigError::Misfiled {
                filed: document.version,
                text: version,
            });
        }
        // A PUT without these is more likely a patch or a truncated body than an intentionally empty fleet.
        root.needed_list("routes")?;
        root.needed_list("services")?;

        let services = each(&root, "services", service)?;
        let by_service = index_names("services", services.iter().map(|s| s.name.as_str()))?;
        let routes = each(&root, "routes", |at| route(at, &services, &by_service))?;
        index_names("routes", routes.iter().map(|r| r.name.as_str()))?;
        let by_host = index_prefixes(&routes)?;
        let tenants = each(&root, "tenants", tenant)?;
        index_names("tenants", tenants.iter().map(|t| t.name.as_str()))?;
        let by_key = index_keys(&tenants)?;
        let limits = root
            .within("limits")?
            .map_or(Ok(Limits::default()), |at| limits(&at))?;
        Ok(RouteTable {
            version,
            routes,
            services,
            limits,
            tenants,
            by_host,
            by_key,
            by_service,
        })
    }
}

/// Reads each object of a list.
fn each<T>(
    root: &Fields,
    list: &str,
    read: impl Fn(&Fields) -> Result<T, ConfigError>,
) -> Result<Vec<T>, ConfigError> {
    root.objects(list)?.iter().map(read).collect()
}

/// The place of each name in its list. Names must be unique.
fn index_names<'a>(
    list: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<HashMap<String, usize>, ConfigError> {
    let mut index = HashMap::new();
    for (i, name) in names.enumerate() {
        if index.insert(name.to_owned(), i).is_some() {
            return Err(ConfigError::SharedName {
                list: list.to_owned(),
                name: name.to_owned(),
            });
        }
    }
    Ok(index)
}

/// The routes of each host by path prefix. No two routes may share both.
fn index_prefixes(routes: &[Route]) -> Result<HashMap<String, Prefixes>, ConfigError> {
    let mut by_host: HashMap<String, Prefixes> = HashMap::new();
    for (i, route) in routes.iter().enumerate() {
        let prefixes = by_host
            .entry(normal_host(&route.host).into_owned())
            .or_default();
        if let Some(other) = prefixes.routes.insert(route.path_prefix.clone(), i) {
            let at = format!("routes[{i}] (`{}`)", route.name);
            return Err(ConfigError::SamePlace {
                at,
                other: routes[other].name.clone(),
            });
        }
    }
    for prefixes in by_host.values_mut() {
        prefixes.lengths = prefixes.routes.keys().map(String::len).collect();
        prefixes.lengths.sort_unstable_by(|a, b| b.cmp(a));
        prefixes.lengths.dedup();
    }
    Ok(by_host)
}

/// The place of the tenant that holds each API key.
fn index_keys(tenants: &[Tenant]) -> Result<HashMap<String, usize>, ConfigError> {
    let mut by_key = HashMap::new();
    for (i, tenant) in tenants.iter().enumerate() {
        for key in &tenant.api_keys {
            // A tenant may list a key twice.
            match by_key.insert(key.clone(), i) {
                Some(other) if other != i => {
                    let (first, second) = (tenants[other].name.clone(), tenant.name.clone());
                    return Err(ConfigError::SharedKey { first, second });
                }
                _ => {}
            }
        }
    }
    Ok(by_key)
}

fn route(
    at: &Fields,
    services: &[Service],
    by_service: &HashMap<String, usize>,
) -> Result<Route, ConfigError> {
    let name = at.needed_text("name")?.to_owned();
    let host = at.needed_text("host")?.to_owned();
    let path_prefix = at.needed_text("path_prefix")?.to_owned();
    if !(path_prefix.starts_with('/') && path_prefix.ends_with('/')) {
        return Err(ConfigError::BadPrefix {
            at: at.path("path_prefix"),
            prefix: path_prefix,
        });
    }
    let kind = kind(at)?;
    let timeout_ms = at.integer("timeout_ms")?.unwrap_or(DEFAULT_TIMEOUT_MS);
    if timeout_ms == 0 {
        return Err(ConfigError::NoTimeout {
            at: at.path("timeout_ms"),
        });
    }
    Ok(Route {
        name,
        host,
        path_prefix,
        kind,
        timeout_ms,
        target_latency_ms: at.integer("target_latency_ms")?.unwrap_or(timeout_ms),
        priority: at.integer("priority")?.unwrap_or(DEFAULT_PRIORITY),
        split: split(at, services, by_service)?,
        max_attempts: at.integer("max_attempts")?.unwrap_or(1).max(1),
        public_access: at.flag("public_access")?.unwrap_or(false),
        session_affinity: at.flag("session_affinity")?.unwrap_or(false),
        resumable: at.flag("resumable")?.unwrap_or(false),
        target_token_interval_ms: at.integer("gap_aim_ms")?.unwrap_or(0),
    })
}

fn kind(at: &Fields) -> Result<RouteKind, ConfigError> {
    match at.text("kind")? {
        Some("idempotent") => Ok(RouteKind::Idempotent),
        // Without `kind` the safe choice is not to repeat requests.
        Some("non_idempotent") | None => Ok(RouteKind::NonIdempotent),
        Some("streaming") => Ok(RouteKind::Streaming),
        Some(other) => Err(ConfigError::UnknownKind {
            at: at.path("kind"),
            kind: other.to_owned(),
        }),
    }
}

/// Checks that a route may name this service in the field `service` of `at`.
fn check_service(
    at: &Fields,
    service: &str,
    services: &[Service],
    by_service: &HashMap<String, usize>,
) -> Result<(), ConfigError> {
    match by_service.get(service) {
        None => Err(ConfigError::UnknownService {
            at: at.path("service"),
            service: service.to_owned(),
        }),
        Some(&i) if services[i].store.is_some() => Err(ConfigError::StoreInRoute {
            at: at.path("service"),
            service: service.to_owned(),
        }),
        Some(_) => Ok(()),
    }
}

/// The services of a route and their weights.
fn split(
    at: &Fields,
    services: &[Service],
    by_service: &HashMap<String, usize>,
) -> Result<Vec<(String, f64)>, ConfigError> {
    let whole = at.text("service")?;
    if let Some(service) = whole {
        check_service(at, service, services, by_service)?;
    }
    let parts = at.objects("traffic_split")?;
    if parts.is_empty() {
        let service = whole.ok_or_else(|| ConfigError::Missing {
            at: at.path("service"),
        })?;
        return Ok(vec![(service.to_owned(), 1.0)]);
    }
    let mut split: Vec<(String, f64)> = Vec::with_capacity(parts.len());
    let mut places: HashMap<&str, usize> = HashMap::with_capacity(parts.len());
    for part in &parts {
        let service = part.needed_text("service")?;
        check_service(part, service, services, by_service)?;
        let weight = weight(part)?;
        if weight > 0.0 {
            let place = *places.entry(service).or_insert_with(|| {
                split.push((service.to_owned(), 0.0));
                split.len() - 1
            });
            split[place].1 += weight;
        }
    }
    check_sum(at, &split)?;
    Ok(split)
}

fn weight(part: &Fields) -> Result<f64, ConfigError> {
    let at = || part.path("weight");
    let weight = part
        .decimal("weight")?
        .ok_or_else(|| ConfigError::Missing { at: at() })?;
    if !(weight.is_finite() && weight >= 0.0) {
        return Err(ConfigError::BadWeight { at: at() });
    }
    Ok(weight)
}

fn check_sum(at: &Fields, split: &[(String, f64)]) -> Result<(), ConfigError> {
    let at = at.path("traffic_split");
    let sum: f64 = split.iter().map(|(_, weight)| weight).sum();
    if split.is_empty() {
        return Err(ConfigError::NoWeight { at });
    }
    if !sum.is_finite() {
        return Err(ConfigError::BadWeight { at });
    }
    Ok(())
}

fn service(at: &Fields) -> Result<Service, ConfigError> {
    Ok(Service {
        name: at.needed_text("name")?.to_owned(),
        health_check_path: at.text("health_check_path")?.map(str::to_owned),
        max_connections: at.integer("max_connections")?,
        protocol: at.text("protocol")?.unwrap_or("h1").to_owned(),
        tls_enabled: at.flag("tls_enabled")?.unwrap_or(false),
        engine: at.within("engine")?.map(|at| engine(&at)).transpose()?,
        store: store(at)?,
    })
}

fn engine(at: &Fields) -> Result<Engine, ConfigError> {
    Ok(Engine {
        slot_count: at.integer("slot_count")?.unwrap_or(1),
        kv_capacity_tokens: at.integer("kv_capacity_tokens")?.unwrap_or(0),
        kv_token_bytes: at.integer("kv_token_bytes")?.unwrap_or(0),
        link_mbps: at.decimal("link_mbps")?.unwrap_or(0.0),
        stride: at.integer("stride")?.unwrap_or(1),
        max_concurrent: at.integer("max_concurrent")?.unwrap_or(1),
        models: each(at, "models", |model| {
            Ok(model.needed_text("name")?.to_owned())
        })?,
    })
}

fn store(at: &Fields) -> Result<Option<Store>, ConfigError> {
    let Some(address) = at.text("kv_store_address")? else {
        return Ok(None);
    };
    let address = address.parse().map_err(|_| ConfigError::WrongType {
        at: at.path("kv_store_address"),
        expected: "an IP address and a port, as in 172.20.0.2:8080",
    })?;
    Ok(Some(Store {
        address,
        zone: at.text("zone")?.unwrap_or("").to_owned(),
        kv_capacity_tokens: at.integer("kv_capacity_tokens")?.unwrap_or(0),
        link_mbps: at.decimal("link_mbps")?.unwrap_or(0.0),
        max_concurrent: at.integer("max_concurrent")?.unwrap_or(1),
    }))
}

fn limits(at: &Fields) -> Result<Limits, ConfigError> {
    let default = Limits::default();
    Ok(Limits {
        max_header_bytes: at
            .integer("max_header_bytes")?
            .unwrap_or(default.max_header_bytes),
        max_body_bytes: at
            .integer("max_body_bytes")?
            .unwrap_or(default.max_body_bytes),
        header_timeout_ms: at
            .integer("header_timeout_ms")?
            .unwrap_or(default.header_timeout_ms),
        idle_timeout_ms: at
            .integer("idle_timeout_ms")?
            .unwrap_or(default.idle_timeout_ms),
    })
}

fn tenant(at: &Fields) -> Result<Tenant, ConfigError> {
    Ok(Tenant {
        name: at.needed_text("name")?.to_owned(),
        api_keys: at.texts("api_keys")?,
        priority: at.integer("priority")?,
        isolated: at.flag("isolated")?.unwrap_or(false),
    })
}
