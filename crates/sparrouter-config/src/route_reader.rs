//! Reads and validates one route: its fields, and the services that its traffic is split over.

use crate::error::ConfigError;
use crate::fields::Fields;
use crate::route_table::{Route, RouteKind, Service};
use std::collections::HashMap;

/// Value of `timeout_ms` in ms if a route does not set it.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Value of `priority` if a route does not set it.
const DEFAULT_PRIORITY: u8 = 5;

/// The services of the configuration, which routes refer to by name.
#[derive(Clone, Copy)]
pub(crate) struct ServiceIndex<'a> {
    pub services: &'a [Service],
    /// Maps the name of each service to its index in `services`.
    pub by_name: &'a HashMap<String, usize>,
}

impl ServiceIndex<'_> {
    /// Checks that `service`, the value of the field `service` of `fields`, exists and is not a KV store.
    fn check(self, fields: &Fields, service: &str) -> Result<(), ConfigError> {
        match self.by_name.get(service) {
            None => Err(ConfigError::UnknownService {
                path: fields.path("service"),
                service: service.to_owned(),
            }),
            Some(&index) if self.services[index].store.is_some() => {
                Err(ConfigError::StoreInRoute {
                    path: fields.path("service"),
                    service: service.to_owned(),
                })
            }
            Some(_) => Ok(()),
        }
    }
}

/// Reads and validates a route.
pub(crate) fn read_route(fields: &Fields, services: ServiceIndex) -> Result<Route, ConfigError> {
    let name = fields.required_string("name")?.to_owned();
    let host = fields.required_string("host")?.to_owned();
    let path_prefix = read_path_prefix(fields)?;
    let kind = read_kind(fields)?;
    let timeout_ms = read_timeout_ms(fields)?;
    let target_latency_ms = fields.integer("target_latency_ms")?;
    Ok(Route {
        name,
        host,
        path_prefix,
        kind,
        timeout_ms,
        target_latency_ms: target_latency_ms.unwrap_or(timeout_ms),
        priority: fields.integer("priority")?.unwrap_or(DEFAULT_PRIORITY),
        split: read_split(fields, services)?,
        max_attempts: fields.integer("max_attempts")?.unwrap_or(1).max(1),
        public_access: fields.boolean("public_access")?.unwrap_or(false),
        session_affinity: fields.boolean("session_affinity")?.unwrap_or(false),
        resumable: fields.boolean("resumable")?.unwrap_or(false),
        // The configuration names this field `gap_aim_ms`.
        target_token_interval_ms: fields.integer("gap_aim_ms")?.unwrap_or(0),
    })
}

fn read_path_prefix(fields: &Fields) -> Result<String, ConfigError> {
    let prefix = fields.required_string("path_prefix")?.to_owned();
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        return Err(ConfigError::InvalidPrefix {
            path: fields.path("path_prefix"),
            prefix,
        });
    }
    Ok(prefix)
}

fn read_kind(fields: &Fields) -> Result<RouteKind, ConfigError> {
    match fields.string("kind")? {
        Some("idempotent") => Ok(RouteKind::Idempotent),
        // If `kind` is absent, it is safer not to retry requests.
        Some("non_idempotent") | None => Ok(RouteKind::NonIdempotent),
        Some("streaming") => Ok(RouteKind::Streaming),
        Some(unknown) => Err(ConfigError::UnknownKind {
            path: fields.path("kind"),
            kind: unknown.to_owned(),
        }),
    }
}

fn read_timeout_ms(fields: &Fields) -> Result<u64, ConfigError> {
    let timeout_ms = fields.integer("timeout_ms")?.unwrap_or(DEFAULT_TIMEOUT_MS);
    if timeout_ms == 0 {
        return Err(ConfigError::ZeroTimeout {
            path: fields.path("timeout_ms"),
        });
    }
    Ok(timeout_ms)
}

/// Reads the services of a route with their weights. Each service occurs once in the result.
fn read_split(fields: &Fields, services: ServiceIndex) -> Result<Vec<(String, f64)>, ConfigError> {
    let only_service = fields.string("service")?;
    if let Some(service) = only_service {
        services.check(fields, service)?;
    }
    let entries = fields.objects("traffic_split")?;
    if entries.is_empty() {
        let service = only_service.ok_or_else(|| fields.missing("service"))?;
        return Ok(vec![(service.to_owned(), 1.0)]);
    }
    let mut split: Vec<(String, f64)> = Vec::with_capacity(entries.len());
    let mut positions: HashMap<&str, usize> = HashMap::with_capacity(entries.len());
    for entry in &entries {
        let service = entry.required_string("service")?;
        services.check(entry, service)?;
        let weight = read_weight(entry)?;
        if weight == 0.0 {
            continue;
        }
        let position = *positions.entry(service).or_insert_with(|| {
            split.push((service.to_owned(), 0.0));
            split.len() - 1
        });
        split[position].1 += weight;
    }
    check_weight_sum(fields, &split)?;
    Ok(split)
}

/// Reads the weight of an entry of `traffic_split`, which must be finite and 0 or more.
fn read_weight(entry: &Fields) -> Result<f64, ConfigError> {
    let weight = entry
        .number("weight")?
        .ok_or_else(|| entry.missing("weight"))?;
    if !(weight.is_finite() && weight >= 0.0) {
        return Err(ConfigError::InvalidWeight {
            path: entry.path("weight"),
        });
    }
    Ok(weight)
}

/// Checks that at least one weight is above 0, and that the sum of the weights is finite.
fn check_weight_sum(fields: &Fields, split: &[(String, f64)]) -> Result<(), ConfigError> {
    let path = || fields.path("traffic_split");
    if split.is_empty() {
        return Err(ConfigError::ZeroWeights { path: path() });
    }
    let sum: f64 = split.iter().map(|(_, weight)| weight).sum();
    if !sum.is_finite() {
        return Err(ConfigError::InvalidWeight { path: path() });
    }
    Ok(())
}
