//! Where prompt prefixes are cached: each block is recorded by the node that owns it, and asked for there.
use crate::node::Node;
use crate::peer::messages::{CachedBlock, Call, Reply};
use sparrouter_prefix_index::{BlockChange, PrefixLocation, PrefixQuery, Source};
use std::time::Duration;

/// How long an owner's reply is awaited: prefilling a prefix again costs more, but not every time.
const QUERY_TIMEOUT: Duration = Duration::from_millis(25);
/// Epoch that is reported of a store which does not answer.
pub(super) const STORE_DOWN: u64 = 0;

impl Node {
    /// Whether a store may be named to servers: not while its follower reports that it does not answer. `store`: hash of
    /// its address.
    pub fn store_is_up(&self, store: u64) -> bool {
        let epochs = self.owned_keys.store_epochs.borrow();
        epochs.get(&store).is_none_or(|epoch| *epoch != STORE_DOWN)
    }

    /// Asks the owner of a prefix's last block where it is cached; `None` if it does not answer in time.
    pub async fn locate_prefix(&self, query: PrefixQuery) -> Option<PrefixLocation> {
        let Some(owner) = self.owner(query.key) else {
            return Some(self.locate_owned_prefix(query));
        };
        let PrefixQuery { key, server, store } = query;
        let call = Call::QueryPrefix { key, server, store };
        match self.links.call(owner, &call, QUERY_TIMEOUT).await {
            Ok(Reply::PrefixLocation {
                save,
                is_cached,
                cached_at,
                prefilling_server,
            }) => Some(PrefixLocation {
                save,
                is_cached,
                cached_at: cached_at.0,
                prefilling_server,
            }),
            _ => None,
        }
    }

    /// The same for a block that this node owns.
    pub fn locate_owned_prefix(&self, query: PrefixQuery) -> PrefixLocation {
        let mut index = self.owned_keys.prefix_index.borrow_mut();
        index.query(query, self.now())
    }

    /// Records what a source caches now of blocks that this node owns. `replaces_all`: whatever was recorded of it before
    /// is void.
    pub fn record_cached_blocks(&self, source: u64, replaces_all: bool, blocks: &[CachedBlock]) {
        let now = self.now();
        let mut index = self.owned_keys.prefix_index.borrow_mut();
        if replaces_all {
            index.remove_source(source);
        }
        for block in blocks {
            index.record_cached(source, block.key, block.tokens, now);
        }
    }

    /// Reports to the owners of blocks what a source caches of them now: what changed, and what has another owner than
    /// before. `name`: the source's hash; `replaces_all`: whatever was reported of it before is void.
    pub fn report_cached_blocks(&self, source: &mut Source, name: u64, replaces_all: bool) {
        let live = self.live_nodes();
        let mut changes = source.take_changes(live.owners());
        if replaces_all {
            for owner_index in 0..live.owners().members().len() {
                changes.entry(owner_index).or_default();
            }
        }
        for (owner_index, changes) in changes {
            let block = |change: &BlockChange| CachedBlock {
                key: change.key,
                tokens: change.tokens,
            };
            let blocks: Vec<CachedBlock> = changes.iter().map(block).collect();
            let Some(address) = live.owner_address_at(owner_index) else {
                self.record_cached_blocks(name, replaces_all, &blocks);
                continue;
            };
            let call = Call::CachedBlocks {
                source: name,
                replaces_all,
                blocks: blocks.into(),
            };
            self.links.cast(address, &call);
        }
    }
}
