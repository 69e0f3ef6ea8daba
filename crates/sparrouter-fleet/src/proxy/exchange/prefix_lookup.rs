//! Where a server finds what it lacks of a prompt, and who is to keep it.
use super::Exchange;
use crate::platform::defects::rules;
use sparrouter_prefix_index::{PrefixLocation, PrefixQuery};
use sparrouter_routing::{Selection, Server};

/// Shared parts of fewer tokens are read, not moved; and of fewer than that, no store is asked or told.
const WORTH_MOVING: u64 = 100;
const WORTH_STORING: u64 = 1_500;
/// Owners that are asked for one request at most: of the deepest shared part, and of those before it.
const ASKED: usize = 3;

/// What a server is told of the prompt's memory.
#[derive(Default)]
pub(super) struct Memory {
    pub(super) fetch: Option<String>,
    pub(super) save: Option<String>,
}

impl Exchange<'_> {
    /// Where the server finds what it lacks of the prompt, and whether a store is to keep it.
    pub(super) async fn memory(&self, pick: &Selection, id: &str) -> Memory {
        let shared = self.prompt.shared_blocks();
        let mut tokens: u64 = shared.iter().map(|p| p.tokens).sum();
        let own = self.prompt.tokens_in.saturating_sub(tokens);
        let version = pick.version.unwrap_or(0);
        let (Some(model), true) = (&self.model, version > 0) else {
            return Memory::default();
        };
        let salt = self.salt(model, version);
        let store = self.store().filter(|s| {
            tokens >= WORTH_STORING
                && self
                    .node
                    .store_is_up(sparrouter_rendezvous::hash(s.as_bytes()))
        });
        // Saving takes the whole prompt along, and can wait for a better one.
        let named = store
            .as_ref()
            .filter(|_| own * 2 < tokens)
            .map_or(0, |s| sparrouter_rendezvous::hash(s.as_bytes()));
        let server = sparrouter_rendezvous::hash(id.as_bytes());
        let mut memory = Memory::default();
        for (place, part) in shared.iter().rev().take(ASKED).enumerate() {
            // A move has its own cost: small parts are read sooner than they come.
            if tokens < WORTH_MOVING {
                break;
            }
            tokens -= part.tokens;
            let key = sparrouter_rendezvous::hash(format!("{salt}/{}", part.id).as_bytes());
            let question = PrefixQuery {
                key,
                server,
                store: if place == 0 { named } else { 0 },
            };
            let Some(advice) = self.node.locate_prefix(question).await else {
                // Its owner is gone or slow: the store mostly has what is asked for often.
                memory.fetch = store.clone();
                break;
            };
            if place == 0 {
                memory.save = store.clone().filter(|_| advice.save);
            }
            memory.fetch = self.nearest(&advice, &store);
            if memory.fetch.is_some() || advice.is_cached {
                break;
            }
        }
        memory
    }

    /// Of those that have it the one that is fetched from soonest.
    fn nearest(&self, advice: &PrefixLocation, store: &Option<String>) -> Option<String> {
        let server_table = self.node.server_table.borrow();
        let named = store
            .as_ref()
            .map(|s| sparrouter_rendezvous::hash(s.as_bytes()));
        let server = |hash: u64| {
            let fit = |s: &&Server| !s.is_suspected() && !s.is_loading() && !s.is_unresponsive();
            server_table
                .by_id_hash(hash)
                .filter(fit)
                .map(|s| s.address.to_string())
        };
        let holders = advice.cached_at.iter().filter(|h| Some(**h) != named);
        let peer = holders.filter_map(|h| server(*h)).next();
        let stored = store
            .clone()
            .filter(|_| named.is_some_and(|n| advice.cached_at.contains(&n)));
        stored.or(peer).or_else(|| server(advice.prefilling_server))
    }

    /// Names model, version, and the tenant if it shares nothing: what is kept under one is found under it alone.
    pub(super) fn salt(&self, model: &str, version: u64) -> String {
        let isolated = self
            .tenant
            .filter(|t| t.isolated && rules::salt_names_tenant());
        let wall = isolated.map(|t| t.name.as_str()).unwrap_or_default();
        let version = if !rules::salt_names_version() {
            0
        } else {
            version
        };
        format!("{model}:{version}:{wall}")
    }

    /// The store for this prompt: of several, each has its part of the keys.
    pub(super) fn store(&self) -> Option<String> {
        let stores = self
            .table
            .services
            .iter()
            .filter_map(|s| Some((&s.name, s.store.as_ref()?)));
        let key = self.prompt.key("store")?;
        let order = sparrouter_rendezvous::order(
            stores.map(|(n, s)| (sparrouter_rendezvous::hash(n.as_bytes()), s.address)),
            key,
        );
        order.first().map(ToString::to_string)
    }
}
