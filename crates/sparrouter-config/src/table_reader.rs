//! Validates a document and builds its route table. `route_reader` reads the routes, and `table_index` checks uniqueness.

use crate::change::Document;
use crate::error::ConfigError;
use crate::fields::Fields;
use crate::json;
use crate::route_reader::{ServiceIndex, read_route};
use crate::route_table::{Engine, Limits, RouteTable, Service, Store, Tenant, TenantQuota};
use crate::table_index::{index_keys, index_names, index_prefixes};

impl RouteTable {
    /// Reads and validates a document, in time proportional to its length (except for sorting each host's prefix lengths).
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] that names the first invalid field.
    pub fn read(document: &Document) -> Result<RouteTable, ConfigError> {
        let tree = json::read(document.text.as_bytes())?.tree;
        let root = Fields::root(&tree)?;
        let version = root.version()?;
        if version != document.version {
            return Err(ConfigError::VersionMismatch {
                stored: document.version,
                text: version,
            });
        }
        // A PUT without these lists is more likely a patch or a truncated body than an intentionally empty configuration.
        root.required_list("routes")?;
        root.required_list("services")?;

        let services = root.read_list("services", read_service)?;
        let by_service = index_names("services", services.iter().map(|s| s.name.as_str()))?;
        let service_index = ServiceIndex {
            services: &services,
            by_name: &by_service,
        };
        let routes = root.read_list("routes", |fields| read_route(fields, service_index))?;
        index_names("routes", routes.iter().map(|r| r.name.as_str()))?;
        let by_host = index_prefixes(&routes)?;
        let tenants = root.read_list("tenants", read_tenant)?;
        index_names("tenants", tenants.iter().map(|t| t.name.as_str()))?;
        let by_key = index_keys(&tenants)?;
        let limits = match root.object("limits")? {
            Some(fields) => read_limits(&fields)?,
            None => Limits::default(),
        };
        let has_quotas = tenants.iter().any(|tenant| tenant.quota.is_some());
        Ok(RouteTable {
            version,
            routes,
            services,
            limits,
            tenants,
            by_host,
            by_key,
            by_service,
            has_quotas,
        })
    }
}

fn read_service(fields: &Fields) -> Result<Service, ConfigError> {
    let name = fields.required_string("name")?.to_owned();
    let health_check_path = fields.string("health_check_path")?.map(str::to_owned);
    let max_connections = fields.integer("max_connections")?;
    let protocol = fields.string("protocol")?.unwrap_or("h1").to_owned();
    let tls_enabled = fields.boolean("tls_enabled")?.unwrap_or(false);
    let engine = fields.object("engine")?;
    Ok(Service {
        name,
        health_check_path,
        max_connections,
        protocol,
        tls_enabled,
        engine: engine.map(|fields| read_engine(&fields)).transpose()?,
        store: read_store(fields)?,
    })
}

fn read_engine(fields: &Fields) -> Result<Engine, ConfigError> {
    Ok(Engine {
        slot_count: fields.integer("slot_count")?.unwrap_or(1),
        kv_capacity_tokens: fields.integer("kv_capacity_tokens")?.unwrap_or(0),
        kv_token_bytes: fields.integer("kv_token_bytes")?.unwrap_or(0),
        link_mbps: fields.number("link_mbps")?.unwrap_or(0.0),
        stride: fields.integer("stride")?.unwrap_or(1),
        max_concurrent: fields.integer("max_concurrent")?.unwrap_or(1),
        models: fields.read_list("models", |model| {
            Ok(model.required_string("name")?.to_owned())
        })?,
    })
}

/// Reads the KV store of a service; `None` if the service has no `kv_store_address`.
fn read_store(fields: &Fields) -> Result<Option<Store>, ConfigError> {
    let Some(address) = fields.string("kv_store_address")? else {
        return Ok(None);
    };
    let address = address.parse().map_err(|_| ConfigError::WrongType {
        path: fields.path("kv_store_address"),
        expected: "an IP address and a port, as in 172.20.0.2:8080",
    })?;
    Ok(Some(Store {
        address,
        zone: fields.string("zone")?.unwrap_or("").to_owned(),
        kv_capacity_tokens: fields.integer("kv_capacity_tokens")?.unwrap_or(0),
        link_mbps: fields.number("link_mbps")?.unwrap_or(0.0),
        max_concurrent: fields.integer("max_concurrent")?.unwrap_or(1),
    }))
}

fn read_limits(fields: &Fields) -> Result<Limits, ConfigError> {
    let default = Limits::default();
    let max_header_bytes = fields.integer("max_header_bytes")?;
    let max_body_bytes = fields.integer("max_body_bytes")?;
    let header_timeout_ms = fields.integer("header_timeout_ms")?;
    let idle_timeout_ms = fields.integer("idle_timeout_ms")?;
    Ok(Limits {
        max_header_bytes: max_header_bytes.unwrap_or(default.max_header_bytes),
        max_body_bytes: max_body_bytes.unwrap_or(default.max_body_bytes),
        header_timeout_ms: header_timeout_ms.unwrap_or(default.header_timeout_ms),
        idle_timeout_ms: idle_timeout_ms.unwrap_or(default.idle_timeout_ms),
    })
}

fn read_tenant(fields: &Fields) -> Result<Tenant, ConfigError> {
    Ok(Tenant {
        name: fields.required_string("name")?.to_owned(),
        api_keys: fields.strings("api_keys")?,
        priority: fields.integer("priority")?,
        isolated: fields.boolean("isolated")?.unwrap_or(false),
        quota: read_quota(fields)?,
    })
}

/// Reads a tenant's quota; `None` if `rate_per_s` is absent or 0, which means no limit.
fn read_quota(fields: &Fields) -> Result<Option<TenantQuota>, ConfigError> {
    let rate_per_s = fields.non_negative_number("rate_per_s")?.unwrap_or(0.0);
    let burst_size = fields.non_negative_number("burst_size")?.unwrap_or(0.0);
    Ok((rate_per_s > 0.0).then_some(TenantQuota {
        rate_per_s,
        burst_size,
    }))
}
