//! The versions of a model's weights that a request may start on.
//!
//! Each required version has a time limit: a fixed time after the version was announced ("named" in identifiers and
//! metrics), no request may start on an older one. A later version adds a limit and leaves the earlier limits unchanged.
//! A request may start on a version until the first of the limits of all newer versions.
//!
//! A change in the core (the nodes that count toward the quorum) restarts all limits: RULES.md, VERSION, measures time
//! within one stretch in which the core is stable. If a total limit is set, it applies to the sum over all stretches. Since
//! a node cannot tell exactly when the core was stable, all time since the version was announced counts toward that sum,
//! and a change in the core does not move the total limit. A node that starts learns from other nodes how long ago versions
//! were announced and when the core last changed; its own start is not a change of the core. Timestamps may therefore be
//! earlier than the start of the process.
use crate::Nanos;
use std::collections::BTreeMap;

/// Maximum number of versions per model whose limits are stored separately. Versions whose limit has passed are merged
/// into one entry, so this only bounds the versions announced within one time limit.
const MAX_PENDING: usize = 16;

/// A point in time in nanoseconds by this process's clock, which starts at 0; negative if it is before the process start.
pub type Timestamp = i64;

/// A version announced for a model: from its time limit on, requests must not start on older versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequiredVersion {
    /// The announced version.
    pub version: u64,
    /// When the version was announced.
    pub named_at: Timestamp,
}

/// How long a request may still start on an older version after a newer one was announced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutdatedVersionLimits {
    /// Time within one stretch in which the core does not change.
    pub per_stretch: Nanos,
    /// Time over all such stretches; `None` if there is no limit on their sum.
    pub total: Option<Nanos>,
    /// How much later a request that was sent in time may still start. It is withdrawn after that.
    pub queued_extra: Nanos,
}

impl OutdatedVersionLimits {
    /// Limits the time within one stretch only, not the sum over stretches.
    pub fn per_stretch_only(per_stretch: Nanos) -> OutdatedVersionLimits {
        OutdatedVersionLimits {
            per_stretch,
            total: None,
            queued_extra: 0,
        }
    }

    /// The time until which a request may start on a version older than `required`.
    fn limit(self, required: RequiredVersion, core_changed_at: Option<Timestamp>) -> Timestamp {
        let stretch_start = core_changed_at.map_or(required.named_at, |changed_at| {
            changed_at.max(required.named_at)
        });
        let stretch_limit = stretch_start.saturating_add(to_timestamp(self.per_stretch));
        let total_limit = self
            .total
            .map(|total| required.named_at.saturating_add(to_timestamp(total)));
        total_limit.map_or(stretch_limit, |limit| limit.min(stretch_limit))
    }
}

/// The versions that were announced for all models.
#[derive(Debug, Default)]
pub struct Versions {
    /// By model, the lowest version first; at most [`MAX_PENDING`] per model.
    named: BTreeMap<String, Vec<RequiredVersion>>,
    limits: OutdatedVersionLimits,
    /// When a node of the core last joined, left or became unresponsive; `None` before the first such report.
    core_changed_at: Option<Timestamp>,
}

/// The point in time that is `age` before `now`; the earliest timestamp if it is not representable.
pub fn timestamp_before(now: Nanos, age: Nanos) -> Timestamp {
    to_timestamp(now).saturating_sub(to_timestamp(age))
}

fn to_timestamp(nanos: Nanos) -> Timestamp {
    Timestamp::try_from(nanos).unwrap_or(Timestamp::MAX)
}

impl Versions {
    /// Creates an empty set. `limits`: how long a request may still start on an older version.
    pub fn new(limits: OutdatedVersionLimits) -> Versions {
        Versions {
            named: BTreeMap::new(),
            limits,
            core_changed_at: None,
        }
    }

    /// Records that a version was announced `age` ago, by the clock of the node that reports it. If reports differ, the
    /// earliest time is kept.
    pub fn record_named(&mut self, model: &str, version: u64, age: Nanos, now: Nanos) {
        let named_at = timestamp_before(now, age);
        let named = self.named.entry(model.to_owned()).or_default();
        match named.binary_search_by_key(&version, |required| required.version) {
            Ok(index) => named[index].named_at = named[index].named_at.min(named_at),
            Err(index) => named.insert(index, RequiredVersion { version, named_at }),
        }
        self.merge_expired(model, now);
    }

    /// Keeps only the newest of the versions whose limit has passed, because it forbids all versions that the others
    /// forbid. If there are more than [`MAX_PENDING`] entries, the two lowest are merged into one with the earlier limit,
    /// so that no request starts on a version after its limit.
    fn merge_expired(&mut self, model: &str, now: Nanos) {
        let (limits, core_changed_at) = (self.limits, self.core_changed_at);
        let Some(named) = self.named.get_mut(model) else {
            return;
        };
        let has_expired = |required: &RequiredVersion| {
            limits.limit(*required, core_changed_at) <= to_timestamp(now)
        };
        if let Some(newest) = named.iter().rposition(has_expired) {
            let earliest = named[..=newest]
                .iter()
                .map(|required| required.named_at)
                .min();
            named[newest].named_at = earliest.unwrap_or(named[newest].named_at);
            named.drain(..newest);
        }
        while named.len() > MAX_PENDING {
            let lowest = named.remove(0);
            named[0].named_at = named[0].named_at.min(lowest.named_at);
        }
    }

    /// Injected defect: drops the versions older than `version` with their limits, which [`Versions::record_named`] keeps.
    #[cfg(feature = "injected-defects")]
    pub fn forget_older(&mut self, model: &str, version: u64) {
        if let Some(named) = self.named.get_mut(model) {
            named.retain(|required| required.version >= version);
        }
    }

    /// How long a request may still start on an older version while the core does not change.
    pub fn stretch_limit(&self) -> Nanos {
        self.limits.per_stretch
    }

    /// Records that a node of the core joined, left or became unresponsive. Nodes detect this late, but before the core
    /// counts as stable again by the rules.
    pub fn record_core_change(&mut self, now: Nanos) {
        self.record_core_change_at(to_timestamp(now));
    }

    /// Records that the core changed at `changed_at`, as reported by another node. The latest change is kept.
    pub fn record_core_change_at(&mut self, changed_at: Timestamp) {
        self.core_changed_at = self.core_changed_at.max(Some(changed_at));
    }

    /// When a node of the core last joined, left or became unresponsive; `None` before the first such report.
    pub fn core_changed_at(&self) -> Option<Timestamp> {
        self.core_changed_at
    }

    /// The versions whose limits are stored separately, with their models; the lowest version of a model first.
    pub fn all(&self) -> impl Iterator<Item = (&str, RequiredVersion)> {
        self.named
            .iter()
            .flat_map(|(model, named)| named.iter().map(|required| (model.as_str(), *required)))
    }

    /// The newest version announced for each model.
    pub fn newest(&self) -> impl Iterator<Item = (&str, RequiredVersion)> {
        self.named
            .iter()
            .filter_map(|(model, named)| Some((model.as_str(), *named.last()?)))
    }

    /// The newest version announced for a model.
    pub fn required(&self, model: &str) -> Option<RequiredVersion> {
        self.named.get(model)?.last().copied()
    }

    /// The time until which a request may start on a version older than `required`.
    pub fn limit(&self, required: RequiredVersion) -> Timestamp {
        self.limits.limit(required, self.core_changed_at)
    }

    /// The time until which a request may start on this version: the first limit of the newer versions. `None` if no newer
    /// version is known.
    pub fn limit_of(&self, model: &str, version: u64) -> Option<Timestamp> {
        let named = self.named.get(model)?;
        named
            .iter()
            .filter(|required| required.version > version)
            .map(|required| self.limit(*required))
            .min()
    }

    /// Whether the limit of any version is in the future.
    pub fn has_pending(&self, now: Nanos) -> bool {
        self.all()
            .any(|(_, required)| self.limit(required) > to_timestamp(now))
    }

    /// Whether a request may start on this version at `now`.
    pub fn allows(&self, model: &str, version: u64, now: Nanos) -> bool {
        self.limit_of(model, version)
            .is_none_or(|limit| to_timestamp(now) < limit)
    }

    /// How long requests may still start on this version: 0 if its limit has passed, [`Nanos::MAX`] if it has no limit.
    pub fn remaining_time(&self, model: &str, version: u64, now: Nanos) -> Nanos {
        match self.limit_of(model, version) {
            Some(limit) => Nanos::try_from(limit.saturating_sub(to_timestamp(now))).unwrap_or(0),
            None => Nanos::MAX,
        }
    }

    /// How long a request that was sent to this version in time may still start on it: 0 if it has to be withdrawn,
    /// [`Nanos::MAX`] if it has no limit.
    pub fn remaining_time_of_queued(&self, model: &str, version: u64, now: Nanos) -> Nanos {
        match self.limit_of(model, version) {
            Some(limit) => {
                let withdrawn_at = limit.saturating_add(to_timestamp(self.limits.queued_extra));
                let remaining = withdrawn_at.saturating_sub(to_timestamp(now));
                Nanos::try_from(remaining).unwrap_or(0)
            }
            None => Nanos::MAX,
        }
    }
}
