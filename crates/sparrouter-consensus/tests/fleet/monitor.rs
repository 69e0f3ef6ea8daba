//! The rules that must hold after every step in spite of faults.
use super::machine::Config;
use sparrouter_consensus::State;
use std::collections::{BTreeMap, BTreeSet};

/// A description of the violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Violation(pub String);

/// Records published states, acknowledgements and fencing tokens, and checks the rules.
#[derive(Debug, Default)]
pub struct Monitor {
    /// The chosen state of each slot; all nodes publish the same state.
    chosen: BTreeMap<u64, State>,
    /// The id of the change that created each version; all bodies agree.
    changes: BTreeMap<u64, u64>,
    /// Ids of the changes that took effect.
    applied: BTreeSet<u64>,
    /// Ids of the changes that were rejected; they never take effect.
    rejected: BTreeSet<u64>,
    /// The id of the change that was acknowledged with each version.
    acknowledged: BTreeMap<u64, u64>,
    /// The client and the call that received each fencing token.
    tokens: BTreeMap<u64, (u64, u64)>,
    /// The highest fencing token that was used.
    highest_used_token: u64,
    /// The first violation.
    violation: Option<Violation>,
}

impl Monitor {
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    pub fn report(&mut self, text: String) {
        self.violation.get_or_insert(Violation(text));
    }

    fn require(&mut self, condition: bool, text: impl FnOnce() -> String) {
        if !condition {
            self.report(text());
        }
    }

    /// Checks a state that a node publishes. `previous_slot` is the slot that the node's incarnation published before.
    pub fn on_chosen(&mut self, node: usize, previous_slot: Option<u64>, state: &State) {
        let slot = state.slot;
        self.require(previous_slot < Some(slot), || {
            format!("node {node} published slot {slot} after slot {previous_slot:?}")
        });
        let chosen = self.chosen.entry(slot).or_insert_with(|| state.clone());
        let is_same = chosen == state;
        self.require(is_same, || {
            format!("two states were published at slot {slot}, the second one by node {node}")
        });
        self.on_body(&state.body);
    }

    /// Checks a published or read body.
    fn on_body(&mut self, body: &[u8]) {
        for (version, id) in Config::decode(body).changes() {
            let known = *self.changes.entry(version).or_insert(id);
            self.require(known == id, || {
                format!("version {version} was created by change {known} and by change {id}")
            });
            self.applied.insert(id);
            let is_rejected = self.rejected.contains(&id);
            self.require(!is_rejected, || {
                format!("change {id} was rejected but took effect as version {version}")
            });
        }
    }

    /// Checks the acknowledgement that a change created a version.
    pub fn on_acknowledged(&mut self, version: u64, id: u64) {
        let known = *self.changes.entry(version).or_insert(id);
        self.require(known == id, || {
            format!(
                "version {version} was acknowledged for change {id} but created by change {known}"
            )
        });
        self.acknowledged.insert(version, id);
    }

    /// Checks the rejection of a change, which must never take effect.
    pub fn on_rejected(&mut self, id: u64) {
        let is_applied = self.applied.contains(&id);
        self.require(!is_applied, || {
            format!("change {id} took effect but was rejected")
        });
        self.rejected.insert(id);
    }

    /// Checks the result of a read. `acknowledged` is the newest version that was acknowledged before the read started.
    pub fn on_read(&mut self, acknowledged: u64, body: &[u8]) {
        let version = Config::decode(body).version;
        self.require(version >= acknowledged, || {
            format!("version {version} was read after {acknowledged} was acknowledged")
        });
        self.on_body(body);
    }

    pub fn newest_acknowledged(&self) -> u64 {
        self.acknowledged.keys().next_back().copied().unwrap_or(0)
    }

    pub fn newest_state(&self) -> Option<&State> {
        self.chosen.values().next_back()
    }

    /// Checks that a fencing token that a call received is unique.
    pub fn on_token(&mut self, token: u64, client: u64, op: u64) {
        let known = *self.tokens.entry(token).or_insert((client, op));
        self.require(known == (client, op), || {
            format!(
                "fencing token {token} was issued to {known:?} and to {:?}",
                (client, op)
            )
        });
    }

    /// Checks that no lease holder acts under a fencing token lower than one that was used before.
    pub fn on_token_used(&mut self, token: u64) {
        let highest = self.highest_used_token;
        self.require(token >= highest, || {
            format!("fencing token {token} was used after token {highest}")
        });
        self.highest_used_token = highest.max(token);
    }
}
