//! The start of a run: the KV cache that it uses, fetches and saves.

use super::requests::Request;
use super::{BlockKey, BlockStore, Server};
use crate::monitor::{CachedBlock, Run};
use std::net::SocketAddr;

/// A part of a prompt, as `Sparrouter-Prompt-Prefix` lists them: `ID:TOKENS`.
struct PromptBlock {
    key: BlockKey,
    tokens: u32,
}

impl PromptBlock {
    fn parse(text: &str, salt: &str) -> PromptBlock {
        let mut fields = text.split(':');
        let id = fields.next().unwrap_or_default();
        let tokens = fields.next().unwrap_or_default();
        PromptBlock {
            key: BlockKey {
                salt: salt.to_owned(),
                id: id.to_owned(),
            },
            tokens: tokens.parse().unwrap_or(0),
        }
    }
}

impl Server {
    /// Starts a run and reports it. Returns its number.
    pub(super) fn start_run(&self, request: &Request) -> u64 {
        let tenant = request.field("sparrouter-tenant").map(str::to_owned);
        let own = CachedBlock {
            version: self.version.get(),
            tenant: tenant.clone(),
        };
        let cached_blocks = self.use_blocks(request, &own);
        self.monitor.run_started(&Run {
            attempt_id: request.attempt_id().to_owned(),
            service: self.settings.service.clone(),
            server: self.settings.id.clone(),
            node: request.from.ip(),
            method: String::from_utf8_lossy(&request.head.method).into_owned(),
            path: request.path.to_owned(),
            body: request.body.clone(),
            tenant,
            key: request.field("sparrouter-key").map(str::to_owned),
            version: self.version.get(),
            cached_blocks,
            resumed_after: request.last_event_id(),
        })
    }

    /// The block store that a field names.
    fn store_in(&self, request: &Request, field: &str) -> Option<BlockStore> {
        let address: SocketAddr = request.field(field)?.parse().ok()?;
        self.settings.block_stores.borrow().get(&address).cloned()
    }

    /// The origin of each block of the prompt. New ones are fetched, or made by this run.
    fn use_blocks(&self, request: &Request, own: &CachedBlock) -> Vec<CachedBlock> {
        let salt = request.field("cache-salt").unwrap_or_default();
        let fetch_from = self.store_in(request, "kv-fetch");
        let save_to = self.store_in(request, "kv-save");
        let prompt = request
            .field("sparrouter-prompt-prefix")
            .unwrap_or_default();
        let mut used = Vec::new();
        for text in prompt.split(',') {
            let block = PromptBlock::parse(text, salt);
            let origin = self.use_block(&block, fetch_from.as_ref(), own);
            if let Some(store) = &save_to {
                // A block that the store has stays as it was first made.
                store
                    .borrow_mut()
                    .entry(block.key)
                    .or_insert_with(|| origin.clone());
            }
            used.push(origin);
        }
        used
    }

    fn use_block(
        &self,
        block: &PromptBlock,
        fetch_from: Option<&BlockStore>,
        own: &CachedBlock,
    ) -> CachedBlock {
        if let Some(cached) = self.cache.borrow().get(&block.key) {
            return cached.clone();
        }
        let fetched = fetch_from.and_then(|store| store.borrow().get(&block.key).cloned());
        if fetched.is_some() {
            self.fetched_blocks.set(self.fetched_blocks.get() + 1);
        }
        let origin = fetched.unwrap_or_else(|| own.clone());
        self.cache
            .borrow_mut()
            .insert(block.key.clone(), origin.clone());
        self.cache_events
            .record(&block.key.salt, &block.key.id, block.tokens);
        origin
    }
}
