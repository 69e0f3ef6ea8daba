//! Builds the indexes of a route table, and checks that names, pairs of host and path prefix, and API keys are unique.

use crate::error::ConfigError;
use crate::route_table::{Prefixes, Route, Tenant, normalize_host};
use std::collections::HashMap;

/// Maps each name to its index in the list. Rejects duplicate names.
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

/// Groups the routes by host and path prefix. Rejects two routes with the same host and prefix.
pub(crate) fn index_prefixes(routes: &[Route]) -> Result<HashMap<String, Prefixes>, ConfigError> {
    let mut by_host: HashMap<String, Prefixes> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let host = normalize_host(&route.host).into_owned();
        let prefixes = by_host.entry(host).or_default();
        let previous = prefixes.routes.insert(route.path_prefix.clone(), index);
        if let Some(first_index) = previous {
            return Err(ConfigError::DuplicatePrefix {
                path: format!("routes[{index}] (`{}`)", route.name),
                other: routes[first_index].name.clone(),
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

/// Maps each API key to the index of its tenant. A tenant may list a key twice; rejects a key shared by two tenants.
pub(crate) fn index_keys(tenants: &[Tenant]) -> Result<HashMap<String, usize>, ConfigError> {
    let mut by_key = HashMap::new();
    for (index, tenant) in tenants.iter().enumerate() {
        for key in &tenant.api_keys {
            let previous = by_key.insert(key.clone(), index);
            if let Some(first_index) = previous.filter(|first_index| *first_index != index) {
                return Err(ConfigError::SharedKey {
                    first: tenants[first_index].name.clone(),
                    second: tenant.name.clone(),
                });
            }
        }
    }
    Ok(by_key)
}
