//! This node's shares of the tenants' quotas, which all nodes enforce together. `sparrouter-shares` decides on lending
//! and borrowing; this module supplies it with settings and time, and passes its messages to the sockets.
use crate::program::operator::QuotaShareConfig;
use sparrouter_balancer::types::Nanos;
use sparrouter_report::Share;
use sparrouter_settings::{Settings, Tenant, hash};
use sparrouter_shares::shares::ClusterPosition;
use sparrouter_shares::{Limit, QuotaShares, SECOND, message};

/// One millisecond in nanoseconds.
const MS: Nanos = 1_000_000;
/// Maximum number of limits: quota messages number them in one byte. Tenants beyond it have no quota by shares.
const MAX_LIMITS: usize = u8::MAX as usize;

const _: () = assert!(SECOND == sparrouter_balancer::types::SECOND);

/// The tenants' quotas, indexed as the tenants in the settings.
pub struct TenantQuotas {
    config: QuotaShareConfig,
    /// Names of the tenants with a limit, one for each limit of `shares`.
    names: Vec<String>,
    shares: QuotaShares,
}

/// A quota message to be sent to another node.
pub struct OutgoingMessage {
    /// Number of the receiving node.
    pub peer: usize,
    /// The encoded message.
    pub text: Vec<u8>,
}

fn cluster_position(config: &QuotaShareConfig, settings: &Settings, seed: u64) -> ClusterPosition {
    let (lease, informed) = (config.lease_ms.get_ref(), config.informed_ms.get_ref());
    // Nodes whose leases or tenants differ do not lend to each other.
    let fingerprint =
        hash(format!("{} {lease} {informed}", settings.tenants_fingerprint()).as_bytes()) as u16;
    ClusterPosition {
        own: settings.self_index,
        nodes: settings.balancers,
        sends_messages: config.notes && settings.peers(),
        seed,
        fingerprint,
    }
}

fn limited_tenants(settings: &Settings) -> impl Iterator<Item = &Tenant> {
    settings.tenants.iter().take(MAX_LIMITS)
}

fn limits(config: &QuotaShareConfig, settings: &Settings) -> Vec<Limit> {
    let window = config.window_ms.get_ref() * MS;
    let limit = |tenant: &Tenant| Limit {
        per_s: tenant.quota_per_s.max(0.0),
        window,
    };
    limited_tenants(settings).map(limit).collect()
}

fn names(settings: &Settings) -> Vec<String> {
    limited_tenants(settings).map(|t| t.name.clone()).collect()
}

impl TenantQuotas {
    /// Returns the initial quotas, at the node's start or after the lease configuration has changed.
    pub fn new(
        config: &QuotaShareConfig,
        settings: &Settings,
        seed: u64,
        now: Nanos,
    ) -> TenantQuotas {
        let shares = QuotaShares::new(
            cluster_position(config, settings, seed),
            &limits(config, settings),
            config.informed_ms.get_ref() * MS,
            config.lease_ms.get_ref() * MS,
            now,
        );
        TenantQuotas {
            config: config.clone(),
            names: names(settings),
            shares,
        }
    }

    /// Returns the quotas under new settings: `old` updated, or initial quotas if the lease configuration differs.
    /// `None` if quota shares are not configured.
    pub fn apply_settings(
        old: Option<TenantQuotas>,
        config: Option<&QuotaShareConfig>,
        settings: &Settings,
        seed: u64,
        now: Nanos,
    ) -> Option<TenantQuotas> {
        let config = config?;
        let Some(mut quotas) = old.filter(|q| q.config == *config) else {
            return Some(TenantQuotas::new(config, settings, seed, now));
        };
        quotas.shares.update_cluster(
            cluster_position(config, settings, seed),
            &limits(config, settings),
            now,
        );
        quotas.names = names(settings);
        Some(quotas)
    }

    /// Counts an invocation of a tenant. Returns whether it is within the quota; `None` if the tenant has no limit.
    pub fn try_acquire(&mut self, tenant: usize, now: Nanos) -> Option<bool> {
        (tenant < self.names.len()).then(|| self.shares.try_acquire(tenant, now))
    }

    /// Whether a gossip datagram is a quota message.
    pub fn is_quota_message(text: &[u8]) -> bool {
        text.first() == Some(&message::FIRST_BYTE)
    }

    /// Handles a quota message. Returns the reply to the sender, if any.
    pub fn receive(&mut self, peer: usize, text: &[u8], now: Nanos) -> Option<Vec<u8>> {
        self.shares.receive(peer, text, now)
    }

    /// Time at which `tick` is due.
    pub fn next_tick(&self) -> Nanos {
        self.shares.next_tick()
    }

    /// Renews leases that are due. Returns the messages to send.
    pub fn tick(&mut self, now: Nanos) -> Vec<OutgoingMessage> {
        let messages = self.shares.tick(now);
        messages
            .into_iter()
            .map(|(peer, text)| OutgoingMessage { peer, text })
            .collect()
    }

    /// Returns the report's entry for each limit.
    pub fn report(&mut self, now: Nanos) -> Vec<Share> {
        let mut rows = Vec::with_capacity(self.names.len());
        for (limit, name) in self.names.iter().enumerate() {
            let counts = self.shares.counts(limit, now);
            rows.push(Share {
                limit: name.clone(),
                per_s: counts.per_s,
                part: counts.rate,
                held: counts.borrowed,
                lent: counts.loaned,
                need: counts.needed,
                arrived: counts.arrived,
                within: counts.admitted,
            });
        }
        rows
    }
}
