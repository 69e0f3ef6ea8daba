//! What falls to one node by rendezvous: waits at servers, owners of parts of prompts, followers of their sources.
use super::{KEPT, Node};
use crate::peer::messages::{CachedBlock, Call, Reply};
use sparrouter_prefix_index::{BlockChange, PrefixLocation, PrefixQuery};
use sparrouter_routing::Nanos;
use std::net::SocketAddr;
use std::time::Duration;

/// Servers that are kept count of before old counts are dropped.
const MOST_BACKLOGS: usize = 4_096;
/// Keys of notes on stores begin so, followed by the address.
const STORE_NOTES: &str = "store/";
/// An owner's answer is waited for so long: reading a prefix anew costs more, but not every time.
const ADVICE: Duration = Duration::from_millis(25);

impl Node {
    /// The node that owns a key among those that take clients: None for this one itself.
    pub(super) fn owner(&self, key: u64) -> Option<SocketAddr> {
        self.live_nodes().owner_address(key)
    }

    /// Counts a prompt at a server that this node keeps, unless it would wait too long. Gives back how long it would.
    pub fn wait_here(&self, server: u64, token: u64, cost: u32, urgency: u8, most: Nanos) -> Nanos {
        let now = self.now();
        let mut backlogs = self.backlogs.borrow_mut();
        if backlogs.len() > MOST_BACKLOGS {
            backlogs.retain(|_, b| now.saturating_sub(b.last_used_at()) < KEPT);
        }
        let backlog = backlogs.entry(server).or_default();
        let wait = backlog.estimate_wait(u32::from(urgency), now);
        if wait <= most {
            backlog.enqueue(token, f64::from(cost), u32::from(urgency), now);
        }
        wait
    }

    pub fn over_here(&self, server: u64, token: u64, began: bool) {
        if let Some(backlog) = self.backlogs.borrow_mut().get_mut(&server) {
            backlog.remove(token, began, self.now());
        }
    }

    /// Asks the server's keeper. None where it did not answer: then nothing is known.
    pub async fn estimate_wait(
        &self,
        server: u64,
        token: u64,
        cost: u32,
        urgency: u8,
        most: Nanos,
    ) -> Option<Nanos> {
        let Some(keeper) = self.owner(server) else {
            return Some(self.wait_here(server, token, cost, urgency, most));
        };
        let most_ms = (most / 1_000_000).min(u64::from(u32::MAX)) as u32;
        match self
            .links
            .call(
                keeper,
                &Call::EstimateWait {
                    server,
                    token,
                    cost,
                    urgency,
                    max_wait_ms: most_ms,
                },
                ADVICE,
            )
            .await
        {
            Ok(Reply::Wait { ms }) => Some(u64::from(ms) * 1_000_000),
            _ => None,
        }
    }

    pub fn finish_prompt(&self, server: u64, token: u64, began: bool) {
        match self.owner(server) {
            None => self.over_here(server, token, began),
            Some(keeper) => self.links.cast(
                keeper,
                &Call::PromptFinished {
                    server,
                    token,
                    began,
                },
            ),
        }
    }

    /// Whether a key falls to this node.
    pub fn keeps(&self, key: u64) -> bool {
        self.owner(key).is_none()
    }

    /// Whether a store may be named: not while its follower tells that it does not answer.
    pub fn store_is_up(&self, store: u64) -> bool {
        self.stores
            .borrow()
            .get(&store)
            .is_none_or(|told| *told != 0)
    }

    /// Stores that came back empty have nothing of what they were told to keep.
    pub(super) fn look_at_stores(&self) {
        let rows = self.membership.borrow();
        let mut stores = self.stores.borrow_mut();
        for (note, _) in rows.directives_with_prefix(STORE_NOTES) {
            let address = &note.key[STORE_NOTES.len()..];
            let store = sparrouter_rendezvous::hash(address.as_bytes());
            if stores
                .insert(store, note.version)
                .is_some_and(|before| before != note.version)
            {
                self.index.borrow_mut().remove_source(store);
            }
        }
    }

    /// Asks the owner of a prefix's last part where it is kept. None where it did not answer.
    pub async fn advice(&self, question: PrefixQuery) -> Option<PrefixLocation> {
        let Some(owner) = self.owner(question.key) else {
            return Some(self.index.borrow_mut().query(question, self.now()));
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
        let mut index = self.index.borrow_mut();
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
            match live.address_at(place) {
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
