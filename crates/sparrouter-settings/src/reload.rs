//! New settings for a running node: which changes need a restart, and the indices of operations and tenants.
use crate::document::Settings;
use crate::name_table::NameTable;
use sparrouter_balancer::types::OperationMapping;

/// Mapping of the operations and tenants from the old settings' indices to the new ones.
#[derive(Debug, PartialEq)]
pub struct SettingsChange {
    /// Index mappings, one for each operation of the new settings.
    pub operations: Vec<OperationMapping>,
    /// Old index of each tenant of the new settings; `None` for a new tenant.
    pub tenants: Vec<Option<usize>>,
}

impl Settings {
    /// Returns the operators' names of the fields that differ in `new` and cannot change while the node runs.
    pub fn restart_required(&self, new: &Settings) -> Vec<&'static str> {
        let origin = |s: &Settings| s.origin_kind().and_then(|k| s.kinds.get(k).cloned());
        let (a, b) = (&self.limits, &new.limits);
        [
            // The delivery of the list and the meaning of its weights also apply to the list that the node already has.
            ("Discovery", self.discovery != new.discovery),
            ("Weights", self.weights != new.weights),
            (
                "FamilyInfo",
                self.family_info.mode != new.family_info.mode || origin(self) != origin(new),
            ),
            ("TickUs", self.tick_us != new.tick_us),
            // Sockets and connections are created from these fields once.
            ("Limits.Peers", a.peers != b.peers),
            (
                "Limits.DialTimeoutUs",
                a.dial_timeout_us != b.dial_timeout_us,
            ),
            ("Limits.ConnIdleUs", a.conn_idle_us != b.conn_idle_us),
            ("Limits.SecondCopies", a.second_copies != b.second_copies),
            (
                "Safety.AskEveryUs",
                self.safety.ask_every_us != new.safety.ask_every_us,
            ),
            // Removals that were already applied would have to be undone.
            (
                "Safety.GoneIsAdvice",
                self.safety.gone_is_advice != new.safety.gone_is_advice,
            ),
        ]
        .into_iter()
        .filter(|(_, differs)| *differs)
        .map(|(name, _)| name)
        .collect()
    }

    /// Whether the operation at `old_index` of these settings and the operation at `new_index` of `new` have the same
    /// rules.
    fn has_same_rules(&self, new: &Settings, old_index: usize, new_index: usize) -> bool {
        self.classes[old_index] == new.classes[new_index] && self.limits == new.limits
    }
}

/// Placeholder for an operation without an assigned index.
const UNASSIGNED: usize = usize::MAX;

impl NameTable {
    /// Applies the operations and tenants of new settings. An operation whose rules change gets a new index, so that
    /// open invocations complete under their original rules. `is_busy` returns whether an invocation of the operation
    /// at an index is still open; such an index is not reused.
    pub fn apply_settings(
        &mut self,
        old: &Settings,
        new: &Settings,
        is_busy: impl Fn(usize) -> bool,
    ) -> SettingsChange {
        let mut operations = self.unchanged_operations(old, new);
        self.assign_free_indices(&mut operations, is_busy);
        let tenants = new
            .tenants
            .iter()
            .map(|t| self.tenant(t.name.as_bytes()))
            .collect();
        let operation_names = new.classes.iter().zip(&operations);
        let tenant_names = new.tenants.iter().enumerate();
        self.replace_names(
            operation_names
                .map(|(class, mapping)| (class.name.clone().into_bytes(), mapping.new_index))
                .collect(),
            tenant_names
                .map(|(index, tenant)| (tenant.name.clone().into_bytes(), index))
                .collect(),
        );
        SettingsChange {
            operations,
            tenants,
        }
    }

    /// Returns mappings for the operations of `new`. Operations with unchanged rules keep their index, the others are
    /// [`UNASSIGNED`].
    fn unchanged_operations(&self, old: &Settings, new: &Settings) -> Vec<OperationMapping> {
        let index_in_old = |name: &str| old.classes.iter().position(|c| c.name == name);
        let mapping = |(new_position, class): (usize, &crate::document::Class)| {
            let old_index = self.operation(class.name.as_bytes());
            let is_unchanged = index_in_old(&class.name)
                .is_some_and(|position| old.has_same_rules(new, position, new_position));
            OperationMapping {
                new_index: old_index.filter(|_| is_unchanged).unwrap_or(UNASSIGNED),
                old_index,
            }
        };
        new.classes.iter().enumerate().map(mapping).collect()
    }

    /// Assigns the lowest free index to each unassigned operation. Indices in use before the change are not free,
    /// because their learned state is copied in the same step.
    fn assign_free_indices(
        &self,
        operations: &mut [OperationMapping],
        is_busy: impl Fn(usize) -> bool,
    ) {
        let before: Vec<usize> = self.operation_indices().collect();
        let assigned = operations.iter().map(|o| o.new_index);
        let mut used: Vec<usize> = assigned.filter(|index| *index != UNASSIGNED).collect();
        for operation in operations {
            if operation.new_index != UNASSIGNED {
                continue;
            }
            let is_free = |index: &usize| {
                !used.contains(index) && !before.contains(index) && !is_busy(*index)
            };
            operation.new_index = (0..).find(is_free).unwrap_or(UNASSIGNED);
            used.push(operation.new_index);
        }
    }
}
