//! Where a server finds what it lacks of a prompt, and who is to keep it.
use super::Exchange;
use crate::planted::{Defect, has};
use espalier::Pick;
use gleaner::Question;

/// Shared parts of fewer tokens are read, not moved.
const WORTH_MOVING: u64 = 1_500;

/// What a server is told of the prompt's memory.
#[derive(Default)]
pub(super) struct Memory {
    pub(super) fetch: Option<String>,
    pub(super) save: Option<String>,
}

impl Exchange<'_> {
    /// Where the server finds what it lacks of the prompt, and whether a store is to keep it.
    pub(super) async fn memory(&self, pick: &Pick, id: &str) -> Memory {
        let shared: u64 = self.prompt.shared().iter().map(|p| p.tokens).sum();
        // A move has its own cost: small parts are read sooner than they come.
        if shared < WORTH_MOVING {
            return Memory::default();
        }
        let own = self.prompt.tokens_in.saturating_sub(shared);
        let version = pick.version.unwrap_or(0);
        let (Some(model), Some(part), true) = (&self.model, self.prompt.shared().last(), version > 0) else {
            return Memory::default();
        };
        let salt = self.salt(model, version);
        let prefix = windrow::hash(format!("{salt}/{}", part.id).as_bytes());
        let store = self.store().filter(|s| self.node.store_is_up(windrow::hash(s.as_bytes())));
        // Saving takes the whole prompt along, and can wait for a better one.
        let named = store.as_ref().filter(|_| own * 2 < shared).map_or(0, |s| windrow::hash(s.as_bytes()));
        let question = Question { prefix, server: windrow::hash(id.as_bytes()), store: named };
        let Some(advice) = self.node.advice(question).await else {
            return Memory { fetch: store, save: None };
        };
        let reader = || {
            let bed = self.node.bed.borrow();
            let reader = bed.of(&self.service).find(|(_, s)| windrow::hash(s.id.as_bytes()) == advice.reader);
            reader
                .filter(|(_, s)| !s.suspected() && !s.loading() && !s.silent())
                .map(|(_, s)| s.address.to_string())
        };
        // Even where the whole prefix is not there, the store may have the parts that others share.
        let read_elsewhere = if advice.stored { None } else { reader() };
        Memory { fetch: read_elsewhere.or_else(|| store.clone()), save: store.filter(|_| advice.save) }
    }

    /// Names model, version, and the tenant if it shares nothing: what is kept under one is found under it alone.
    pub(super) fn salt(&self, model: &str, version: u64) -> String {
        let isolated = self.tenant.filter(|t| t.isolated && !has(Defect::SaltWithoutWall));
        let wall = isolated.map(|t| t.name.as_str()).unwrap_or_default();
        let version = if has(Defect::SaltWithoutVersion) { 0 } else { version };
        format!("{model}:{version}:{wall}")
    }

    /// The store for this prompt: of several, each has its part of the keys.
    pub(super) fn store(&self) -> Option<String> {
        let stores = self.table.services.iter().filter_map(|s| Some((&s.name, s.store.as_ref()?)));
        let key = self.prompt.key("store")?;
        let order = windrow::order(stores.map(|(n, s)| (windrow::hash(n.as_bytes()), s.address)), key);
        order.first().map(ToString::to_string)
    }
}
