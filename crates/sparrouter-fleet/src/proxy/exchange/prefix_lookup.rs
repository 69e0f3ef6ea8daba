//! Finds the server or store from which a server fetches missing prefix blocks, and the store that saves a prompt's
//! prefix.
use super::Exchange;
use crate::platform::defects::rules;
use sparrouter_prefix_index::{PrefixLocation, PrefixQuery};
use sparrouter_routing::{Selection, Server};

/// A shared prefix of fewer tokens is prefilled rather than fetched.
const MIN_TOKENS_TO_FETCH: u64 = 100;
/// Minimum number of shared tokens for which a store is used, for fetching or saving.
const MIN_TOKENS_FOR_STORE: u64 = 1_500;
/// Maximum number of block owners that are asked for one request, starting with the owner of the deepest shared block.
const MAX_QUERIES: usize = 3;

/// Addresses for fetching and saving a prompt's prefix, which are sent to the server with the prompt.
#[derive(Default)]
pub(super) struct PrefixSources {
    /// Address from which the server fetches missing prefix blocks.
    pub(super) fetch_from: Option<String>,
    /// Address of the store that saves the prefix.
    pub(super) save_to: Option<String>,
}

/// The store that a prompt is assigned to.
struct Store {
    address: String,
    /// Hash of the store's address.
    name: u64,
}

impl Exchange<'_> {
    /// Determines from where the server fetches missing prefix blocks, and whether a store saves the prefix.
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
        let mut shared_tokens: u64 = shared.iter().map(|block| block.tokens).sum();
        let own_tokens = self.prompt.tokens_in.saturating_sub(shared_tokens);
        let salt = self.cache_salt(model, version);
        let store = self.store().filter(|store| {
            shared_tokens >= MIN_TOKENS_FOR_STORE && self.node.is_store_up(store.name)
        });
        // A store saves the complete prompt, so it is asked only for prompts that consist mostly of shared tokens.
        let saving_store = store.as_ref().filter(|_| own_tokens * 2 < shared_tokens);
        let server = sparrouter_rendezvous::hash(server_id.as_bytes());
        let mut sources = PrefixSources::default();
        for (index, block) in shared.iter().rev().take(MAX_QUERIES).enumerate() {
            if shared_tokens < MIN_TOKENS_TO_FETCH {
                break;
            }
            shared_tokens -= block.tokens;
            let is_deepest = index == 0;
            let query = PrefixQuery {
                key: sparrouter_rendezvous::hash(format!("{salt}/{}", block.id).as_bytes()),
                server,
                store: saving_store
                    .filter(|_| is_deepest)
                    .map_or(0, |store| store.name),
            };
            let Some(location) = self.node.locate_prefix(query).await else {
                // The block's owner did not reply in time. The store usually has prefixes that are requested often.
                sources.fetch_from = store.map(|store| store.address);
                break;
            };
            if is_deepest && location.save {
                sources.save_to = store.as_ref().map(|store| store.address.clone());
            }
            sources.fetch_from = self.fastest_source(&location, store.as_ref());
            if sources.fetch_from.is_some() || location.is_cached {
                break;
            }
        }
        sources
    }

    /// The address from which the prefix can be fetched soonest: the store, a server that has cached it, or the server
    /// that is prefilling it.
    fn fastest_source(&self, location: &PrefixLocation, store: Option<&Store>) -> Option<String> {
        let server_table = self.node.server_table.borrow();
        let is_usable = |s: &&Server| !s.is_suspected() && !s.is_loading() && !s.is_unresponsive();
        let server_address = |hash: u64| {
            let server = server_table.by_id_hash(hash).filter(is_usable)?;
            Some(server.address.to_string())
        };
        let is_in_store = |store: &&Store| location.cached_at.contains(&store.name);
        if let Some(store) = store.filter(is_in_store) {
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

    /// The cache salt: model, version, and the tenant's name if the tenant is isolated. Blocks that were cached under
    /// one salt are found only under that salt.
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

    /// The store that this prompt is assigned to by rendezvous hashing.
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
