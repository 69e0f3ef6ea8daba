//! What must hold after every step, whatever the faults.
use super::machine::Config;
use sparrouter_consensus::State;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Default)]
pub struct Judge {
    /// One state a slot, whoever publishes it.
    chain: BTreeMap<u64, State>,
    /// One id a version, wherever it is seen.
    made: BTreeMap<u64, u64>,
    /// What is in force, ever.
    in_force: BTreeSet<u64>,
    refused: BTreeSet<u64>,
    acknowledged: BTreeMap<u64, u64>,
    fences: BTreeMap<u64, (u64, u64)>,
    acted: u64,
    broken: Option<String>,
}

impl Judge {
    pub fn verdict(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    pub fn broken(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    fn must(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.broken(what());
        }
    }

    /// `before`: the slot that this life of the node published last.
    pub fn chosen(&mut self, node: usize, before: Option<u64>, state: &State) {
        self.must(before < Some(state.slot), || {
            format!("node {node} published {} after {before:?}", state.slot)
        });
        match self.chain.get(&state.slot) {
            Some(there) => {
                let same = there == state;
                self.must(same, || {
                    format!(
                        "two states at slot {}: node {node} published another",
                        state.slot
                    )
                });
            }
            None => drop(self.chain.insert(state.slot, state.clone())),
        }
        self.body(&state.body);
    }

    /// A body that was published or read.
    pub fn body(&mut self, body: &[u8]) {
        let config = Config::decode(body);
        for (version, id) in config.made() {
            let there = *self.made.entry(version).or_insert(id);
            self.must(there == id, || {
                format!("version {version} was made by {there} and by {id}")
            });
            self.in_force.insert(id);
            let refused = self.refused.contains(&id);
            self.must(!refused, || {
                format!("id {id} was refused and is in force as version {version}")
            });
        }
    }

    pub fn acknowledged(&mut self, version: u64, id: u64) {
        let there = *self.made.entry(version).or_insert(id);
        self.must(there == id, || {
            format!("version {version} of {id} acknowledged, it was made by {there}")
        });
        self.acknowledged.insert(version, id);
    }

    pub fn refused(&mut self, id: u64) {
        let in_force = self.in_force.contains(&id);
        self.must(!in_force, || format!("id {id} is in force and was refused"));
        self.refused.insert(id);
    }

    /// A read that began when `least` had been acknowledged.
    pub fn read(&mut self, least: u64, body: &[u8]) {
        let version = Config::decode(body).version;
        self.must(version >= least, || {
            format!("version {version} was read after {least} was acknowledged")
        });
        self.body(body);
    }

    pub fn newest_acknowledged(&self) -> u64 {
        self.acknowledged.keys().next_back().copied().unwrap_or(0)
    }

    pub fn newest_state(&self) -> Option<&State> {
        self.chain.values().next_back()
    }

    /// A number was handed to a call of a holder: no two calls get one.
    pub fn handed(&mut self, fence: u64, holder: u64, op: u64) {
        let there = *self.fences.entry(fence).or_insert((holder, op));
        self.must(there == (holder, op), || {
            format!(
                "fence {fence} was handed to {there:?} and to {:?}",
                (holder, op)
            )
        });
    }

    /// A holder sends an order.
    pub fn act(&mut self, fence: u64) {
        let highest = self.acted;
        self.must(fence >= highest, || {
            format!("fence {fence} acted after {highest}")
        });
        self.acted = highest.max(fence);
    }
}
