//! Names of the operators' world as small indices, in the order in which they are first seen.
use crate::document::Settings;
use crate::error::SettingsError;
use sparrouter_balancer::types::{CacheIndex, CacheRecord, LifecycleState, Nanos};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of an id or a key; the same at every node.
pub fn hash(text: &[u8]) -> u64 {
    xxh3_64(text)
}

/// An entry of the list of cache servers, in the list's own words.
pub struct ListEntry<'a> {
    /// Its id.
    pub id: &'a str,
    /// `in_service`, `terminating` or `terminated`.
    pub state: &'a str,
    /// Name of its zone.
    pub zone: &'a str,
    /// Name of its kind.
    pub kind: &'a str,
    /// Its cell within the zone.
    pub cell: i64,
    /// Its relative capacity.
    pub weight: f64,
    /// When its process became ready, in nanoseconds; 0 if that is not listed.
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
    /// Indices of cache servers that were released, for reuse.
    free: Vec<CacheIndex>,
}

fn index(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

impl NameTable {
    /// A table with the names that the settings state.
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
    /// Index of an operation.
    pub fn operation(&self, name: &[u8]) -> Option<usize> {
        self.operations.get(name).copied()
    }
    /// Index of a tenant.
    pub fn tenant(&self, name: &[u8]) -> Option<usize> {
        self.tenants.get(name).copied()
    }
    /// Indices of all operations, in no order.
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
    /// Index of a cache server, if it was ever listed and not released.
    pub fn cache(&self, id: &str) -> Option<CacheIndex> {
        self.caches.get(id).copied()
    }
    /// Id of the cache server at an index that [`NameTable::record`] gave out.
    ///
    /// # Panics
    ///
    /// If no cache server ever had the index.
    pub fn id(&self, cache: CacheIndex) -> &str {
        &self.ids[cache]
    }

    /// Forgets a cache server, whose index may be reused from now on. Without this, names and all that is stored by index
    /// would pile up while cache servers are replaced under ever new ids.
    ///
    /// # Panics
    ///
    /// If no cache server ever had the index.
    pub fn release(&mut self, cache: CacheIndex) {
        if self
            .caches
            .remove(&std::mem::take(&mut self.ids[cache]))
            .is_some()
        {
            self.free.push(cache);
        }
    }

    /// Translates an entry of the list, and gives its cache server an index if it has none.
    ///
    /// # Errors
    ///
    /// [`SettingsError::UnknownState`] if the entry's state is none of those that the list may name.
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
