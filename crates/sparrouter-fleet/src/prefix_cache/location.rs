//! Location of cached prompt prefixes. The node that owns a block records where it is cached and answers queries for
//! it.
use crate::node::Node;
use crate::peer::messages::{CachedBlock, Call, Reply};
use sparrouter_prefix_index::{BlockChange, PrefixLocation, PrefixQuery, Source};
use std::time::Duration;

/// Time-out of a query to a block's owner. The wait delays every request, whereas prefilling the prefix again costs
/// more but is needed only sometimes.
const QUERY_TIMEOUT: Duration = Duration::from_millis(25);
/// Epoch that is reported for a store that does not respond.
pub(super) const STORE_DOWN: u64 = 0;

impl Node {
    /// Whether servers may be referred to a store. Returns false while the node that follows the store reports that the
    /// store does not respond. `store`: hash of the store's address.
    pub fn is_store_up(&self, store: u64) -> bool {
        let epochs = self.owned_keys.store_epochs.borrow();
        epochs.get(&store).is_none_or(|epoch| *epoch != STORE_DOWN)
    }

    /// Asks the owner of a prefix's last block where the block is cached; `None` if the owner does not reply in time.
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

    /// Looks up where a block that this node owns is cached.
    pub fn locate_owned_prefix(&self, query: PrefixQuery) -> PrefixLocation {
        let mut index = self.owned_keys.prefix_index.borrow_mut();
        index.query(query, self.now())
    }

    /// Records the blocks owned by this node that a source has cached. `replaces_all`: whether all earlier records of
    /// the source are discarded.
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

    /// Reports to each owner which of its blocks a source has cached: blocks that changed, and blocks whose owner
    /// changed. `name`: the source's hash; `replaces_all`: whether all earlier reports about the source are void.
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
