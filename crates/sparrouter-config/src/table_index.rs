//! The indexes of a route table, and what must be unique in it: names, hosts with their prefixes, API keys.

use crate::error::ConfigError;
use crate::route_table::{Prefixes, Route, Tenant, normal_host};
use std::collections::HashMap;

/// The index of each name in its list. Names must be unique.
pub(crate) fn index_names<'a>(
    list: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<HashMap<String, usize>, ConfigError> {
    let mut by_name = HashMap::new();
    for (index, name) in names.enumerate() {
        if by_name.insert(name.to_owned(), index).is_some() {
            return Err(ConfigError::DuplicateName {
                list: list.to_owned(),
                name: name.to_owned(),
            });
        }
    }
    Ok(by_name)
}

/// The routes of each host by path prefix. No two routes may have the same host and prefix.
pub(crate) fn index_prefixes(routes: &[Route]) -> Result<HashMap<String, Prefixes>, ConfigError> {
    let mut by_host: HashMap<String, Prefixes> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let host = normal_host(&route.host).into_owned();
        let prefixes = by_host.entry(host).or_default();
        let previous = prefixes.routes.insert(route.path_prefix.clone(), index);
        if let Some(other) = previous {
            return Err(ConfigError::DuplicatePrefix {
                path: format!("routes[{index}] (`{}`)", route.name),
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

/// The index of the tenant that each API key belongs to. A tenant may list a key twice; two tenants may not share one.
pub(crate) fn index_keys(tenants: &[Tenant]) -> Result<HashMap<String, usize>, ConfigError> {
    let mut by_key = HashMap::new();
    for (index, tenant) in tenants.iter().enumerate() {
        for key in &tenant.api_keys {
            let previous = by_key.insert(key.clone(), index);
            if let Some(other) = previous.filter(|other| *other != index) {
                return Err(ConfigError::SharedKey {
                    first: tenants[other].name.clone(),
                    second: tenant.name.clone(),
                });
            }
        }
    }
    Ok(by_key)
}
