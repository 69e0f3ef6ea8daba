//! Maps names of zones, kinds, operations, tenants and cache servers to small indices, numbered in order of first use.
use crate::document::Settings;
use crate::error::SettingsError;
use sparrouter_balancer::types::{CacheIndex, CacheRecord, LifecycleState, Nanos};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of an id or a key, equal on all nodes.
pub fn hash(text: &[u8]) -> u64 {
    xxh3_64(text)
}

/// An entry of the endpoint list, with the list's names.
pub struct ListEntry<'a> {
    /// Id of the cache server.
    pub id: &'a str,
    /// Lifecycle state: `in_service`, `terminating` or `terminated`.
    pub state: &'a str,
    /// Name of the zone.
    pub zone: &'a str,
    /// Name of the kind.
    pub kind: &'a str,
    /// Cell within the zone.
    pub cell: i64,
    /// Relative capacity.
    pub weight: f64,
    /// Time at which the process became ready, in nanoseconds; 0 if it is not listed.
    pub ready_at: Nanos,
}

/// Maps names of zones, kinds, operations, tenants and cache servers to indices.
pub struct NameTable {
    zones: Vec<String>,
    kinds: Vec<String>,
    operations: HashMap<Vec<u8>, usize>,
    tenants: HashMap<Vec<u8>, usize>,
    caches: HashMap<String, CacheIndex>,
    ids: Vec<String>,
    /// Released indices of cache servers, for reuse.
    free: Vec<CacheIndex>,
}

fn index(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

impl NameTable {
    /// Returns a table with the names in the settings.
    pub fn new(settings: &Settings) -> NameTable {
        let operations = settings
            .classes
            .iter()
            .enumerate()
            .map(|(n, c)| (c.name.clone().into_bytes(), n));
        let tenants = settings
            .tenants
            .iter()
            .enumerate()
            .map(|(n, t)| (t.name.clone().into_bytes(), n));
        NameTable {
            zones: settings.areas.clone(),
            kinds: settings.kinds.clone(),
            operations: operations.collect(),
            tenants: tenants.collect(),
            caches: HashMap::new(),
            ids: Vec::new(),
            free: Vec::new(),
        }
    }
    /// Returns the index of an operation; `None` if the name is unknown.
    pub fn operation(&self, name: &[u8]) -> Option<usize> {
        self.operations.get(name).copied()
    }
    /// Returns the index of a tenant; `None` if the name is unknown.
    pub fn tenant(&self, name: &[u8]) -> Option<usize> {
        self.tenants.get(name).copied()
    }
    /// Returns the indices of all operations, in unspecified order.
    pub fn operation_indices(&self) -> impl Iterator<Item = usize> + '_ {
        self.operations.values().copied()
    }
    pub(crate) fn replace_names(
        &mut self,
        operations: HashMap<Vec<u8>, usize>,
        tenants: HashMap<Vec<u8>, usize>,
    ) {
        (self.operations, self.tenants) = (operations, tenants);
    }
    /// Returns the index of a cache server; `None` if it was never listed or has been released.
    pub fn cache(&self, id: &str) -> Option<CacheIndex> {
        self.caches.get(id).copied()
    }
    /// Returns the id of the cache server at an index that [`NameTable::record`] assigned.
    ///
    /// # Panics
    ///
    /// Panics if the index was never assigned.
    pub fn id(&self, cache: CacheIndex) -> &str {
        &self.ids[cache]
    }

    /// Removes a cache server and makes its index available for reuse. Otherwise names and data stored by index would
    /// accumulate while cache servers are replaced under new ids.
    ///
    /// # Panics
    ///
    /// Panics if the index was never assigned.
    pub fn release(&mut self, cache: CacheIndex) {
        if self
            .caches
            .remove(&std::mem::take(&mut self.ids[cache]))
            .is_some()
        {
            self.free.push(cache);
        }
    }

    /// Converts an entry of the list, and assigns an index to its cache server if it has none.
    ///
    /// # Errors
    ///
    /// [`SettingsError::UnknownState`] if the entry's lifecycle state is unknown.
    pub fn record(&mut self, entry: &ListEntry) -> Result<CacheRecord, SettingsError> {
        let state = match entry.state {
            "in_service" => LifecycleState::Ready,
            "terminating" => LifecycleState::Draining,
            "terminated" => LifecycleState::Left,
            other => {
                return Err(SettingsError::UnknownState {
                    state: other.to_owned(),
                });
            }
        };
        let (ids, free) = (&mut self.ids, &mut self.free);
        let cache = *self.caches.entry(entry.id.to_string()).or_insert_with(|| {
            let cache = free.pop().unwrap_or(ids.len());
            ids.resize(ids.len().max(cache + 1), String::new());
            ids[cache] = entry.id.to_string();
            cache
        });
        Ok(CacheRecord {
            cache,
            id_hash: hash(entry.id.as_bytes()),
            state,
            zone: index(&mut self.zones, entry.zone),
            cell: entry.cell,
            kind: index(&mut self.kinds, entry.kind),
            weight: entry.weight,
            ready_at: entry.ready_at,
        })
    }
}
