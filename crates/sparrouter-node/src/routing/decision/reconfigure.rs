//! Applies new settings to a running node, completely and between two events.
use super::DecisionActor;
use crate::program::operator::{Identity, QuotaShareConfig};
use crate::program::reporter::{OperationRules, Reporter};
use crate::routing::quota::TenantQuotas;
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::Operation;
use sparrouter_settings::{Settings, SettingsChange};
use std::net::SocketAddr;

/// Validated new settings for a running node.
pub struct ConfigurationChange {
    /// The settings in force.
    pub old: Settings,
    /// The settings to apply.
    pub new: Settings,
    /// The policy that is built from the new settings.
    pub policy: Policy,
    /// The operations of the new settings, in the order of the settings.
    pub operations: Vec<Operation>,
    /// Gossip addresses of all nodes, indexed by node number.
    pub nodes: Vec<SocketAddr>,
    /// Whether the settings and the gossip addresses are unchanged: only discovery's address or the operator's file may
    /// differ, and the policy keeps its learned state.
    pub is_policy_unchanged: bool,
    /// The change to the reporter.
    pub reporter: ReporterChange,
    /// The configuration of the quota shares, if the operator configured them.
    pub quota_shares: Option<QuotaShareConfig>,
    /// Seed of the node's random number generator.
    pub seed: u64,
    /// Fingerprint of the new settings.
    pub fingerprint: u64,
}

/// The change to the reporter.
pub enum ReporterChange {
    /// Keep the reporter, under this identity.
    Identify(Identity),
    /// Replace the reporter by one that writes to another file, or remove it if `None`.
    Replace(Option<Box<Reporter>>),
}

impl DecisionActor {
    /// Applies a change. Invocations in flight keep their operation's index and thereby its rules.
    pub(super) fn apply_change(&mut self, change: ConfigurationChange) {
        let pending = &self.pending;
        let mapping = self
            .names
            .apply_settings(&change.old, &change.new, |operation| {
                pending.values().any(|p| p.operation == operation)
            });
        self.apply_timeouts(&mapping, &change.operations);
        self.apply_reporter(change.reporter);
        let placed = place_operations(&mapping, &change.new, change.operations);
        if let Some(reporter) = &mut self.reporter {
            reporter.place_operations(change.fingerprint, &placed);
        }
        self.quotas = TenantQuotas::apply_settings(
            self.quotas.take(),
            change.quota_shares.as_ref(),
            &change.new,
            change.seed,
            self.clock.now(),
        );
        if change.is_policy_unchanged {
            return;
        }
        let now = self.clock.now();
        self.policy
            .apply_settings(now, change.policy, &mapping.operations, &mapping.tenants);
        if let Some(gossip) = &self.gossip {
            gossip.apply_settings(change.nodes);
        }
    }

    fn apply_timeouts(&mut self, mapping: &SettingsChange, operations: &[Operation]) {
        let indices = mapping.operations.iter().map(|m| m.new_index);
        let count = indices.clone().map(|index| index + 1).max().unwrap_or(0);
        self.timeouts.resize(self.timeouts.len().max(count), 0);
        for (index, operation) in indices.zip(operations) {
            self.timeouts[index] = operation.client_timeout;
        }
    }

    fn apply_reporter(&mut self, change: ReporterChange) {
        match change {
            ReporterChange::Identify(identity) => {
                if let Some(reporter) = &mut self.reporter {
                    reporter.set_identity(identity);
                }
            }
            ReporterChange::Replace(replacement) => self.reporter = replacement.map(|r| *r),
        }
    }
}

/// Combines the operations of the new settings with their names and indices.
fn place_operations(
    mapping: &SettingsChange,
    settings: &Settings,
    operations: Vec<Operation>,
) -> Vec<OperationRules> {
    let indices = mapping.operations.iter().map(|m| m.new_index);
    let names = settings.classes.iter().map(|class| class.name.clone());
    let operations = names.zip(operations);
    indices
        .zip(operations)
        .map(|(index, (name, rules))| OperationRules { index, name, rules })
        .collect()
}
