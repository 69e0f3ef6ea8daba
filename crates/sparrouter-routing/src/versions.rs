//! Which version of a model's weights a request may begin on.
//!
//! Each version that is named sets a time limit of its own: so long after it was named, nothing begins on an older one.
//! A later version adds a limit and leaves the earlier ones as they are. A request may begin on a version while the limits
//! of all newer ones lie ahead, so the first of them decides.
//!
//! A change in the core starts all limits anew (RULES.md, VERSION, counts within one stretch in which the core is stable).
//! Where a second bound is set, stretches are added up too: since a node can't tell exactly when the core was stable, all
//! time since the version was named counts toward that sum, and a change in the core moves its limit nowhere.
//! A node that starts learns how long ago versions were named, and when the core last changed, from the node that tells
//! it of them: its own start is no such change. Moments may therefore lie before the start of the process.
use crate::Nanos;
use std::collections::BTreeMap;

/// Most versions of a model whose limits are kept apart. Those whose limit has passed are one entry, so this bounds how
/// many are named within one time limit.
const MOST_PENDING: usize = 16;

/// A moment on the clock of this process, which starts at 0; negative: before it started.
pub type Timestamp = i64;

/// A version that was named for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequiredVersion {
    /// The version.
    pub version: u64,
    /// When it was named.
    pub named_at: Timestamp,
}

/// How long after a version was named a request may still begin on an older one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutdatedVersionLimits {
    /// Within one stretch in which the core did not change.
    pub per_stretch: Nanos,
    /// Over all such stretches; `None`: they are not added up.
    pub in_total: Option<Nanos>,
}

impl OutdatedVersionLimits {
    /// So long within one stretch; stretches are not added up.
    pub fn per_stretch_only(patience: Nanos) -> OutdatedVersionLimits {
        OutdatedVersionLimits {
            per_stretch: patience,
            in_total: None,
        }
    }

    /// Until when a request may begin on a version older than this one.
    fn limit(self, wanted: RequiredVersion, core_changed: Option<Timestamp>) -> Timestamp {
        let from = core_changed.map_or(wanted.named_at, |changed| changed.max(wanted.named_at));
        let in_one = from.saturating_add(moment(self.per_stretch));
        let in_all = self
            .in_total
            .map(|patience| wanted.named_at.saturating_add(moment(patience)));
        in_all.map_or(in_one, |limit| limit.min(in_one))
    }
}

/// The versions that were named for all models.
#[derive(Debug, Default)]
pub struct Versions {
    /// By model, the lowest version first.
    named: BTreeMap<String, Vec<RequiredVersion>>,
    /// How long after it was named a request may still begin on an older one.
    patience: OutdatedVersionLimits,
    /// When a node of the core last joined, left or became silent; None before that was seen or told.
    core_changed: Option<Timestamp>,
}

/// A moment so long before another one; as early as can be told if that lies further back.
pub fn timestamp_before(now: Nanos, age: Nanos) -> Timestamp {
    moment(now).saturating_sub(moment(age))
}

fn moment(at: Nanos) -> Timestamp {
    Timestamp::try_from(at).unwrap_or(Timestamp::MAX)
}

impl Versions {
    /// No versions. `patience`: how long after a version was named a request may still begin on an older one.
    pub fn new(patience: OutdatedVersionLimits) -> Versions {
        Versions {
            named: BTreeMap::new(),
            patience,
            core_changed: None,
        }
    }

    /// A version was named `age` ago, by the clock of the node that reports it. Of repeats the earliest time counts.
    pub fn record_named(&mut self, model: &str, version: u64, age: Nanos, now: Nanos) {
        let since = timestamp_before(now, age);
        let named = self.named.entry(model.to_owned()).or_default();
        match named.binary_search_by_key(&version, |wanted| wanted.version) {
            Ok(place) => named[place].named_at = named[place].named_at.min(since),
            Err(place) => named.insert(
                place,
                RequiredVersion {
                    version,
                    named_at: since,
                },
            ),
        }
        self.forget_passed(model, now);
    }

    /// Keeps of the versions whose limit has passed the newest alone, which forbids all that they forbid. Beyond
    /// [`MOST_PENDING`] two become one with the earlier limit, so that nothing begins too late.
    fn forget_passed(&mut self, model: &str, now: Nanos) {
        let (patience, core_changed) = (self.patience, self.core_changed);
        let Some(named) = self.named.get_mut(model) else {
            return;
        };
        let has_passed =
            |wanted: &RequiredVersion| patience.limit(*wanted, core_changed) <= moment(now);
        if let Some(newest) = named.iter().rposition(has_passed) {
            let earliest = named[..=newest].iter().map(|wanted| wanted.named_at).min();
            named[newest].named_at = earliest.unwrap_or(named[newest].named_at);
            named.drain(..newest);
        }
        while named.len() > MOST_PENDING {
            let oldest = named.remove(0);
            named[0].named_at = named[0].named_at.min(oldest.named_at);
        }
    }

    /// Forgets the versions before this one with their limits: the mistake that `told` guards against, planted for tests.
    #[cfg(feature = "injected-defects")]
    pub fn forget_older(&mut self, model: &str, version: u64) {
        if let Some(named) = self.named.get_mut(model) {
            named.retain(|wanted| wanted.version >= version);
        }
    }

    /// How long after it was named a request may still begin on an older one, while the core does not change.
    pub fn stretch_limit(&self) -> Nanos {
        self.patience.per_stretch
    }

    /// A node of the core joined, left or became silent. Nodes notice this late, but before the rules consider the core
    /// stable again.
    pub fn record_core_change(&mut self, now: Nanos) {
        self.record_core_change_at(moment(now));
    }

    /// The core changed at that moment, as another node reports it. Of several changes the last one counts.
    pub fn record_core_change_at(&mut self, at: Timestamp) {
        self.core_changed = self.core_changed.max(Some(at));
    }

    /// When a node of the core last joined, left or became silent; None before that was seen or told.
    pub fn core_changed_at(&self) -> Option<Timestamp> {
        self.core_changed
    }

    /// The versions that were named and whose limits are kept apart, with their models; the lowest first.
    pub fn all(&self) -> impl Iterator<Item = (&str, RequiredVersion)> {
        self.named
            .iter()
            .flat_map(|(model, named)| named.iter().map(|wanted| (model.as_str(), *wanted)))
    }

    /// The newest version that was named for each model.
    pub fn newest(&self) -> impl Iterator<Item = (&str, RequiredVersion)> {
        self.named
            .iter()
            .filter_map(|(model, named)| Some((model.as_str(), *named.last()?)))
    }

    /// The newest version that was named for a model.
    pub fn required(&self, model: &str) -> Option<RequiredVersion> {
        self.named.get(model)?.last().copied()
    }

    /// Until when a request may begin on a version older than this one.
    pub fn limit(&self, wanted: RequiredVersion) -> Timestamp {
        self.patience.limit(wanted, self.core_changed)
    }

    /// Until when a request may begin on this version: the first limit of those that are newer. None: no end is known.
    pub fn limit_of(&self, model: &str, version: u64) -> Option<Timestamp> {
        let newer = self.named.get(model)?.iter();
        newer
            .filter(|wanted| wanted.version > version)
            .map(|wanted| self.limit(*wanted))
            .min()
    }

    /// Whether a request may begin on this version now.
    pub fn allows(&self, model: &str, version: u64, now: Nanos) -> bool {
        self.limit_of(model, version)
            .is_none_or(|limit| moment(now) < limit)
    }

    /// How long a request may still take until it begins on this version; `Nanos::MAX` where no end is known.
    pub fn remaining_time(&self, model: &str, version: u64, now: Nanos) -> Nanos {
        match self.limit_of(model, version) {
            Some(limit) => Nanos::try_from(limit.saturating_sub(moment(now))).unwrap_or(0),
            None => Nanos::MAX,
        }
    }
}
