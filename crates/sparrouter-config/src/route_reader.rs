//! Reads and validates one route: its fields, and the services that it is split over.

use crate::error::ConfigError;
use crate::fields::Fields;
use crate::route_table::{Route, RouteKind, Service};
use std::collections::HashMap;

/// `timeout_ms` of a route that gives none.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// `priority` of a route that gives none.
const DEFAULT_PRIORITY: u8 = 5;

/// The services that a route may name.
#[derive(Clone, Copy)]
pub(crate) struct ServiceIndex<'a> {
    pub services: &'a [Service],
    /// The index of each service by its name.
    pub by_name: &'a HashMap<String, usize>,
}

impl ServiceIndex<'_> {
    /// Checks that a route may name this service in the field `service` of `fields`.
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

/// Reads a route.
pub(crate) fn read_route(fields: &Fields, services: ServiceIndex) -> Result<Route, ConfigError> {
    let name = fields.required_text("name")?.to_owned();
    let host = fields.required_text("host")?.to_owned();
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
        public_access: fields.flag("public_access")?.unwrap_or(false),
        session_affinity: fields.flag("session_affinity")?.unwrap_or(false),
        resumable: fields.flag("resumable")?.unwrap_or(false),
        // The operators' name for this field is `gap_aim_ms`.
        target_token_interval_ms: fields.integer("gap_aim_ms")?.unwrap_or(0),
    })
}

fn read_path_prefix(fields: &Fields) -> Result<String, ConfigError> {
    let prefix = fields.required_text("path_prefix")?.to_owned();
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        return Err(ConfigError::InvalidPrefix {
            path: fields.path("path_prefix"),
            prefix,
        });
    }
    Ok(prefix)
}

fn read_kind(fields: &Fields) -> Result<RouteKind, ConfigError> {
    match fields.text("kind")? {
        Some("idempotent") => Ok(RouteKind::Idempotent),
        // Without `kind` the safe choice is not to repeat requests.
        Some("non_idempotent") | None => Ok(RouteKind::NonIdempotent),
        Some("streaming") => Ok(RouteKind::Streaming),
        Some(other) => Err(ConfigError::UnknownKind {
            path: fields.path("kind"),
            kind: other.to_owned(),
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

/// The services of a route and their weights, each service once.
fn read_split(fields: &Fields, services: ServiceIndex) -> Result<Vec<(String, f64)>, ConfigError> {
    let only_service = fields.text("service")?;
    if let Some(service) = only_service {
        services.check(fields, service)?;
    }
    let entries = fields.objects("traffic_split")?;
    if entries.is_empty() {
        let service = only_service.ok_or_else(|| fields.missing("service"))?;
        return Ok(vec![(service.to_owned(), 1.0)]);
    }
    let mut split: Vec<(String, f64)> = Vec::with_capacity(entries.len());
    let mut index: HashMap<&str, usize> = HashMap::with_capacity(entries.len());
    for entry in &entries {
        let service = entry.required_text("service")?;
        services.check(entry, service)?;
        let weight = read_weight(entry)?;
        if weight == 0.0 {
            continue;
        }
        let position = *index.entry(service).or_insert_with(|| {
            split.push((service.to_owned(), 0.0));
            split.len() - 1
        });
        split[position].1 += weight;
    }
    check_sum(fields, &split)?;
    Ok(split)
}

/// The weight of an entry of `traffic_split`, 0 or more.
fn read_weight(entry: &Fields) -> Result<f64, ConfigError> {
    let weight = entry
        .decimal("weight")?
        .ok_or_else(|| entry.missing("weight"))?;
    if !(weight.is_finite() && weight >= 0.0) {
        return Err(ConfigError::InvalidWeight {
            path: entry.path("weight"),
        });
    }
    Ok(weight)
}

/// Checks that there is a service with a weight above 0, and that the sum of the weights is finite.
fn check_sum(fields: &Fields, split: &[(String, f64)]) -> Result<(), ConfigError> {
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
