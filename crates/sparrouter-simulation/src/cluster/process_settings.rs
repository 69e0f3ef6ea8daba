//! The settings that a process starts with, as text in the form of the settings file.

use super::{CONTROL_PORT, FRONT_PORT, READINESS_PORT, SimulatedCluster};
use std::fmt::Write;
use std::time::Duration;

fn ms(duration: Duration) -> u128 {
    duration.as_millis()
}

impl SimulatedCluster {
    /// `first_start`: the fleet starts for the first time.
    pub(super) fn settings_text(&self, name: &str, first_start: bool) -> String {
        let machines = self.machines.borrow();
        let machine = &machines[name];
        let ip = machine.ip;
        let seeds: Vec<String> = self
            .seeds
            .borrow()
            .iter()
            .map(ToString::to_string)
            .collect();
        let mut text = format!(
            "node_name={}\nip_address={ip}\nzone={}\nregion=valley\n\
             listen_addresses.front_http={ip}:{FRONT_PORT}\nlisten_addresses.readiness={ip}:{READINESS_PORT}\n\
             listen_addresses.control_plane={ip}:{CONTROL_PORT}\ninternal_port_range=7360,7375\nseed_nodes={}\n\
             first_start={first_start}\ncounts_toward_quorum={}\nlimits.memory_mb={}\nlimits.max_open_files=4100\n\
             heartbeat_ms={}\nfault_tolerance.machines={}\n",
            machine.node_name,
            machine.zone,
            seeds.join(","),
            machine.is_core,
            self.settings.memory_mb,
            ms(self.settings.heartbeat),
            self.settings.tolerated_losses(),
        );
        if machine.disk.is_some() {
            text.push_str("data_directory=/data/proxy\n");
        }
        self.write_bounds(&mut text);
        text
    }

    fn write_bounds(&self, text: &mut String) {
        let bounds = &self.settings.bounds;
        // Writing into a String does not fail.
        let _ = write!(
            text,
            "bounds.contact_ms={}\nbounds.ack_timeout_ms={}\nbounds.drain_timeout_ms={}\nbounds.grace_period_s={}\n\
             bounds.config_apply_ms={}\nbounds.lease_ms={}\nbounds.thaw_ms={}\nbounds.version_ms={}\n\
             bounds.recovery_s={}\nbounds.retry_budget_ratio={}\nbounds.retry_budget_slack={}\n\
             bounds.budget_window_s={}\nbounds.fencing_enabled={}\nbounds.strict_revocation={}\n\
             bounds.revoke_timeout_ms={}\nbounds.version_all_ms={}\n\
             bounds.quota_window_s={}\nbounds.quota_overage={}\nbounds.quota_grace={}\n",
            ms(bounds.contact),
            ms(bounds.ack_timeout),
            ms(bounds.drain_timeout),
            bounds.grace.as_secs_f64(),
            ms(bounds.config_apply),
            ms(bounds.lease),
            ms(bounds.thaw),
            ms(bounds.version),
            bounds.recovery.as_secs_f64(),
            bounds.budget_ratio,
            bounds.budget_slack,
            bounds.budget_window.as_secs_f64(),
            bounds.fencing,
            bounds.strict_revocation,
            ms(bounds.revoke_timeout),
            ms(bounds.version_all),
            bounds.quota_window.as_secs_f64(),
            bounds.quota_overage,
            bounds.quota_grace,
        );
    }
}
