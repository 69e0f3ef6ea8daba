//! This node's parts of the limits that all nodes keep together: its settings, its notes, what is told of it. What is
//! lent and borrowed is decided in `sparrouter-shares`.
use crate::program::operator::Shares as Wanted;
use sparrouter_balancer::types::Nanos;
use sparrouter_report::Share;
use sparrouter_settings::{Settings, hash};
use sparrouter_shares::shares::ClusterPosition;
use sparrouter_shares::{Limit, QuotaShares, SECOND, note};

/// Tenants' quotas, by the tenants' places in the settings.
pub struct TenantQuotas {
    wanted: Wanted,
    names: Vec<String>,
    shares: QuotaShares,
}

const MS: Nanos = 1_000_000;

fn place(wanted: &Wanted, settings: &Settings, seed: u64) -> ClusterPosition {
    let (lease, informed) = (wanted.lease_ms.get_ref(), wanted.informed_ms.get_ref());
    // Nodes whose leases or tenants differ do not deal with each other.
    let print =
        hash(format!("{} {lease} {informed}", settings.tenants_fingerprint()).as_bytes()) as u16;
    let notes = wanted.notes && settings.peers();
    ClusterPosition {
        own: settings.self_index,
        nodes: settings.balancers,
        sends_messages: notes,
        seed,
        fingerprint: print,
    }
}

fn limits(wanted: &Wanted, settings: &Settings) -> Vec<Limit> {
    let window = wanted.window_ms.get_ref() * MS;
    // The number of a limit is a byte in notes.
    let quota = |t: &sparrouter_settings::Tenant| Limit {
        per_s: t.quota_per_s.max(0.0),
        window,
    };
    settings
        .tenants
        .iter()
        .take(usize::from(u8::MAX))
        .map(quota)
        .collect()
}

fn names(settings: &Settings) -> Vec<String> {
    settings
        .tenants
        .iter()
        .take(usize::from(u8::MAX))
        .map(|t| t.name.clone())
        .collect()
}

impl TenantQuotas {
    pub fn new(wanted: &Wanted, settings: &Settings, seed: u64, now: Nanos) -> TenantQuotas {
        let (informed, lease) = (
            wanted.informed_ms.get_ref() * MS,
            wanted.lease_ms.get_ref() * MS,
        );
        let shares = QuotaShares::new(
            place(wanted, settings, seed),
            &limits(wanted, settings),
            informed,
            lease,
            now,
        );
        TenantQuotas {
            wanted: wanted.clone(),
            names: names(settings),
            shares,
        }
    }

    /// Other settings for what runs; anew where its own times differ, off where it is no longer wanted.
    pub fn apply_settings(
        old: Option<TenantQuotas>,
        wanted: Option<&Wanted>,
        settings: &Settings,
        seed: u64,
        now: Nanos,
    ) -> Option<TenantQuotas> {
        let wanted = wanted?;
        let Some(mut parts) = old.filter(|p| p.wanted == *wanted) else {
            return Some(TenantQuotas::new(wanted, settings, seed, now));
        };
        parts.shares.update_cluster(
            place(wanted, settings, seed),
            &limits(wanted, settings),
            now,
        );
        parts.names = names(settings);
        Some(parts)
    }

    /// One that came for a tenant; whether it is within its quota.
    pub fn take(&mut self, tenant: usize, now: Nanos) -> Option<bool> {
        (tenant < self.names.len()).then(|| self.shares.try_acquire(tenant, now))
    }

    /// Whether a note is one of these.
    pub fn owns(text: &[u8]) -> bool {
        text.first() == Some(&note::FIRST_BYTE)
    }
    pub fn heard(&mut self, peer: usize, text: &[u8], now: Nanos) -> Option<Vec<u8>> {
        self.shares.receive(peer, text, now)
    }
    pub fn next(&self) -> Nanos {
        self.shares.next_tick()
    }
    pub fn tick(&mut self, now: Nanos) -> Vec<(usize, Vec<u8>)> {
        self.shares.tick(now)
    }

    pub fn told_of(&mut self, now: Nanos) -> Vec<Share> {
        let mut all = Vec::with_capacity(self.names.len());
        for (limit, name) in self.names.iter().enumerate() {
            let t = self.shares.counts(limit, now);
            all.push(Share {
                limit: name.clone(),
                per_s: t.per_s,
                part: t.part,
                held: t.held,
                lent: t.lent,
                need: t.need,
                arrived: t.arrived,
                within: t.within,
            });
        }
        all
    }
}

const _: () = assert!(SECOND == sparrouter_balancer::types::SECOND);
