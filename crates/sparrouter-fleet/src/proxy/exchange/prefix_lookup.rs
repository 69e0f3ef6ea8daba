//! Where a server fetches what it lacks of a prompt's prefix, and which store is to save it.
use super::Exchange;
use crate::platform::defects::rules;
use sparrouter_prefix_index::{PrefixLocation, PrefixQuery};
use sparrouter_routing::{Selection, Server};

/// Shared prefixes of fewer tokens are prefilled, not fetched.
const MIN_TOKENS_TO_FETCH: u64 = 100;
/// With fewer shared tokens no store is asked, nor saves.
const MIN_TOKENS_TO_STORE: u64 = 1_500;
/// Most owners that are asked for one request: of the deepest shared block, and of those before it.
const MAX_QUERIES: usize = 3;

/// The addresses that a server gets with a prompt.
#[derive(Default)]
pub(super) struct PrefixSources {
    /// Where it fetches what it lacks.
    pub(super) fetch_from: Option<String>,
    /// The store that is to save it.
    pub(super) save_to: Option<String>,
}

/// The store that a prompt falls to.
struct Store {
    address: String,
    /// Hash of the address.
    name: u64,
}

impl Exchange<'_> {
    /// Where the server fetches what it lacks of the prompt, and whether a store is to save it.
    pub(super) async fn locate_prefix(
        &self,
        selection: &Selection,
        server_id: &str,
    ) -> PrefixSources {
        let version = selection.version.unwrap_or(0);
        let (Some(model), true) = (&self.model, version > 0) else {
            return PrefixSources::default();
        };
        let shared = self.prompt.shared_blocks();
        let mut tokens: u64 = shared.iter().map(|block| block.tokens).sum();
        let own_tokens = self.prompt.tokens_in.saturating_sub(tokens);
        let salt = self.cache_salt(model, version);
        let store = self
            .store()
            .filter(|store| tokens >= MIN_TOKENS_TO_STORE && self.node.store_is_up(store.name));
        // A store saves the complete prompt, so that one with little of its own is the better one to save.
        let saving_store = store.as_ref().filter(|_| own_tokens * 2 < tokens);
        let server = sparrouter_rendezvous::hash(server_id.as_bytes());
        let mut sources = PrefixSources::default();
        for (index, block) in shared.iter().rev().take(MAX_QUERIES).enumerate() {
            if tokens < MIN_TOKENS_TO_FETCH {
                break;
            }
            tokens -= block.tokens;
            let is_deepest = index == 0;
            let query = PrefixQuery {
                key: sparrouter_rendezvous::hash(format!("{salt}/{}", block.id).as_bytes()),
                server,
                store: saving_store
                    .filter(|_| is_deepest)
                    .map_or(0, |store| store.name),
            };
            let Some(location) = self.node.locate_prefix(query).await else {
                // Its owner is gone or slow: the store mostly has what is asked for often.
                sources.fetch_from = store.map(|store| store.address);
                break;
            };
            if is_deepest && location.save {
                sources.save_to = store.as_ref().map(|store| store.address.clone());
            }
            sources.fetch_from = self.nearest(&location, store.as_ref());
            if sources.fetch_from.is_some() || location.is_cached {
                break;
            }
        }
        sources
    }

    /// The address that has the prefix and is fetched from soonest: the store, a server that has it, the server that
    /// prefills it.
    fn nearest(&self, location: &PrefixLocation, store: Option<&Store>) -> Option<String> {
        let server_table = self.node.server_table.borrow();
        let is_usable = |s: &&Server| !s.is_suspected() && !s.is_loading() && !s.is_unresponsive();
        let server_address = |hash: u64| {
            let server = server_table.by_id_hash(hash).filter(is_usable)?;
            Some(server.address.to_string())
        };
        let has_store = |store: &&Store| location.cached_at.contains(&store.name);
        if let Some(store) = store.filter(has_store) {
            return Some(store.address.clone());
        }
        let store_name = store.map(|store| store.name);
        let mut servers = location
            .cached_at
            .iter()
            .filter(|name| Some(**name) != store_name);
        servers
            .find_map(|name| server_address(*name))
            .or_else(|| server_address(location.prefilling_server))
    }

    /// Names model, version, and the tenant if it shares nothing: what is cached under one salt is found under it alone.
    pub(super) fn cache_salt(&self, model: &str, version: u64) -> String {
        let isolated = self
            .tenant
            .filter(|t| t.isolated && rules::salt_names_tenant());
        let tenant = isolated.map(|t| t.name.as_str()).unwrap_or_default();
        let version = if rules::salt_names_version() {
            version
        } else {
            0
        };
        format!("{model}:{version}:{tenant}")
    }

    /// The store for this prompt: of several, each has its share of the keys.
    fn store(&self) -> Option<Store> {
        let key = self.prompt.key("store")?;
        let stores = self.table.services.iter().filter_map(|service| {
            let store = service.store.as_ref()?;
            let name = sparrouter_rendezvous::hash(service.name.as_bytes());
            Some((name, store.address))
        });
        let order = sparrouter_rendezvous::order(stores, key);
        let address = order.first()?.to_string();
        Some(Store {
            name: sparrouter_rendezvous::hash(address.as_bytes()),
            address,
        })
    }
}
