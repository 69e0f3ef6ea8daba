//! Where prompt prefixes are cached: each block is recorded by the node that owns it.
use crate::node::Node;
use crate::peer::messages::{CachedBlock, Call, Reply};
use sparrouter_prefix_index::{BlockChange, PrefixLocation, PrefixQuery};
use std::time::Duration;

/// An owner's answer is waited for so long: reading a prefix anew costs more, but not every time.
const ADVICE: Duration = Duration::from_millis(25);

impl Node {
    /// Whether a store may be named: not while its follower tells that it does not answer.
    pub fn store_is_up(&self, store: u64) -> bool {
        self.owned_keys
            .store_epochs
            .borrow()
            .get(&store)
            .is_none_or(|told| *told != 0)
    }

    /// Asks the owner of a prefix's last part where it is kept. None where it did not answer.
    pub async fn advice(&self, question: PrefixQuery) -> Option<PrefixLocation> {
        let Some(owner) = self.owner(question.key) else {
            return Some(
                self.owned_keys
                    .prefix_index
                    .borrow_mut()
                    .query(question, self.now()),
            );
        };
        let PrefixQuery { key, server, store } = question;
        match self
            .links
            .call(owner, &Call::QueryPrefix { key, server, store }, ADVICE)
            .await
        {
            Ok(Reply::PrefixLocation {
                save,
                is_cached: held,
                cached_at: holders,
                prefilling_server: reader,
            }) => Some(PrefixLocation {
                save,
                is_cached: held,
                cached_at: holders.0,
                prefilling_server: reader,
            }),
            _ => None,
        }
    }

    /// What a source keeps now of parts that this node owns.
    pub fn kept_here(&self, source: u64, void: bool, rows: &[CachedBlock]) {
        let now = self.now();
        let mut index = self.owned_keys.prefix_index.borrow_mut();
        if void {
            index.remove_source(source);
        }
        rows.iter()
            .for_each(|row| index.record_cached(source, row.key, row.tokens, now));
    }

    /// Tells the owners of parts what a source keeps of them now: what changed, and what has another owner than before.
    /// `void`: nothing else that was told of it holds.
    pub fn report_cached_blocks(
        &self,
        source: &mut sparrouter_prefix_index::Source,
        name: u64,
        void: bool,
    ) {
        let live = self.live_nodes();
        let mut changes = source.take_changes(live.owners());
        if void {
            (0..live.owners().members().len()).for_each(|place| {
                changes.entry(place).or_default();
            });
        }
        for (place, rows) in changes {
            let row = |c: &BlockChange| CachedBlock {
                key: c.key,
                tokens: c.tokens,
            };
            let rows: Vec<CachedBlock> = rows.iter().map(row).collect();
            match live.owner_address_at(place) {
                None => self.kept_here(name, void, &rows),
                Some(address) => {
                    self.links.cast(
                        address,
                        &Call::CachedBlocks {
                            source: name,
                            replaces_all: void,
                            blocks: rows.into(),
                        },
                    );
                }
            }
        }
    }
}
