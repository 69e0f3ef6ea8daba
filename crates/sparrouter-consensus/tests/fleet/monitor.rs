//! The rules that must hold after every step, whatever the faults.
use super::machine::Config;
use sparrouter_consensus::State;
use std::collections::{BTreeMap, BTreeSet};

/// A rule that was broken, and how.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Violation(pub String);

/// All that was published, acknowledged or handed out so far.
#[derive(Debug, Default)]
pub struct Monitor {
    /// By slot: one state, whoever publishes it.
    chosen: BTreeMap<u64, State>,
    /// By version: the one change that made it, wherever it is read.
    changes: BTreeMap<u64, u64>,
    /// Changes that are or were in force.
    in_force: BTreeSet<u64>,
    /// Changes whose callers were refused; never in force.
    refused: BTreeSet<u64>,
    /// By version: the change that was acknowledged with it.
    acknowledged: BTreeMap<u64, u64>,
    /// By fencing token: the client and the call that got it.
    tokens: BTreeMap<u64, (u64, u64)>,
    /// The highest token that was used.
    highest_used_token: u64,
    /// The first rule that was broken.
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

    /// A node publishes a state; `before` is the slot that its incarnation published last.
    pub fn on_chosen(&mut self, node: usize, before: Option<u64>, state: &State) {
        let slot = state.slot;
        self.require(before < Some(slot), || {
            format!("node {node} published {slot} after {before:?}")
        });
        let chosen = self.chosen.entry(slot).or_insert_with(|| state.clone());
        let is_same = chosen == state;
        self.require(is_same, || {
            format!("two states at slot {slot}: node {node} published another")
        });
        self.on_body(&state.body);
    }

    /// A body was published or read.
    fn on_body(&mut self, body: &[u8]) {
        for (version, id) in Config::decode(body).changes() {
            let known = *self.changes.entry(version).or_insert(id);
            self.require(known == id, || {
                format!("version {version} was made by {known} and by {id}")
            });
            self.in_force.insert(id);
            let is_refused = self.refused.contains(&id);
            self.require(!is_refused, || {
                format!("id {id} was refused and is in force as version {version}")
            });
        }
    }

    /// A caller was answered that its change made a version.
    pub fn on_acknowledged(&mut self, version: u64, id: u64) {
        let known = *self.changes.entry(version).or_insert(id);
        self.require(known == id, || {
            format!("version {version} of {id} acknowledged, it was made by {known}")
        });
        self.acknowledged.insert(version, id);
    }

    /// A caller was answered that its change never comes into force.
    pub fn on_refused(&mut self, id: u64) {
        let is_in_force = self.in_force.contains(&id);
        self.require(!is_in_force, || {
            format!("id {id} is in force and was refused")
        });
        self.refused.insert(id);
    }

    /// A read returned a body; it began when `acknowledged` was the newest version acknowledged.
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

    /// A call of a client got a token: no two calls get one.
    pub fn on_token(&mut self, token: u64, client: u64, op: u64) {
        let known = *self.tokens.entry(token).or_insert((client, op));
        self.require(known == (client, op), || {
            format!(
                "fence {token} was handed to {known:?} and to {:?}",
                (client, op)
            )
        });
    }

    /// A lease holder acts under its token.
    pub fn on_token_used(&mut self, token: u64) {
        let highest = self.highest_used_token;
        self.require(token >= highest, || {
            format!("fence {token} acted after {highest}")
        });
        self.highest_used_token = highest.max(token);
    }
}
