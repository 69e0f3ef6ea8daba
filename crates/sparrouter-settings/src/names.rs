//! NameTable to small indices, in the order in which they are first met.
use crate::object::Settings;
use sparrouter_balancer::types::*;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The same at every node for the same id or key.
pub fn hash(text: &[u8]) -> u64 {
    xxh3_64(text)
}

/// A line of the list of cache servers, in its own words.
pub struct ListEntry<'a> {
    pub id: &'a str,
    pub state: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub cell: i64,
    pub weight: f64,
    pub ready_at: Nanos,
}

pub struct NameTable {
    zones: Vec<String>,
    kinds: Vec<String>,
    operations: HashMap<Vec<u8>, usize>,
    tenants: HashMap<Vec<u8>, usize>,
    caches: HashMap<String, CacheIndex>,
    ids: Vec<String>,
    /// Indices of names that were let go.
    free: Vec<CacheIndex>,
}

fn index(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

impl NameTable {
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
    pub fn operation(&self, name: &[u8]) -> Option<usize> {
        self.operations.get(name).copied()
    }
    pub fn tenant(&self, name: &[u8]) -> Option<usize> {
        self.tenants.get(name).copied()
    }
    /// Where operations stand.
    pub fn operation_indices(&self) -> impl Iterator<Item = usize> + '_ {
        self.operations.values().copied()
    }
    pub(crate) fn rename(
        &mut self,
        operations: HashMap<Vec<u8>, usize>,
        tenants: HashMap<Vec<u8>, usize>,
    ) {
        (self.operations, self.tenants) = (operations, tenants);
    }
    pub fn cache(&self, id: &str) -> Option<CacheIndex> {
        self.caches.get(id).copied()
    }
    pub fn id(&self, cache: CacheIndex) -> &str {
        &self.ids[cache]
    }

    /// Lets a name go: its index is another's from now on. Guards against names, and all that is kept by
    /// their indices, that pile up while cache servers are replaced under ever new ids.
    pub fn release(&mut self, cache: CacheIndex) {
        if self
            .caches
            .remove(&std::mem::take(&mut self.ids[cache]))
            .is_some()
        {
            self.free.push(cache);
        }
    }

    pub fn record(&mut self, l: &ListEntry) -> Result<CacheRecord, String> {
        let standing = match l.state {
            "in_service" => LifecycleState::Ready,
            "terminating" => LifecycleState::Draining,
            "terminated" => LifecycleState::Left,
            other => return Err(format!("unknown state {other}")),
        };
        let (ids, free) = (&mut self.ids, &mut self.free);
        let cache = *self.caches.entry(l.id.to_string()).or_insert_with(|| {
            let cache = free.pop().unwrap_or(ids.len());
            ids.resize(ids.len().max(cache + 1), String::new());
            ids[cache] = l.id.to_string();
            cache
        });
        Ok(CacheRecord {
            cache,
            id_hash: hash(l.id.as_bytes()),
            state: standing,
            zone: index(&mut self.zones, l.zone),
            cell: l.cell,
            kind: index(&mut self.kinds, l.kind),
            weight: l.weight,
            ready_at: l.ready_at,
        })
    }
}
