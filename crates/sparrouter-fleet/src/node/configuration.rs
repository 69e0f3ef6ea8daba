//! The configuration in force: applied from a complete text or from edits of the previous text, and sent to other
//! nodes.
use super::Node;
use crate::node::configuration_lease::ConfigurationLease;
use crate::peer::messages::{ConfigUpdate, EditUpdate, ModelUpdate, TextUpdate, VersionsUpdate};
use crate::platform::defects::{self, rules};
use crate::settings::Bounds;
use sparrouter_codec::Seq;
use sparrouter_config::{Document, Edit, EditHistory, RouteTable, digest_of_text};
use sparrouter_routing::{Nanos, RequiredVersion, Timestamp, timestamp_before};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

const NANOS_PER_MS: u64 = 1_000_000;

/// The configuration in force at this process. It is immutable; a newer configuration replaces it.
pub struct ActiveConfiguration {
    /// Number of the state of the configuration's shard, from 1; 0 if no state is known yet.
    pub slot: u64,
    /// Version of the configuration; 0 if there is none yet.
    pub version: u64,
    /// Text of the configuration, JSON.
    pub text: Rc<str>,
    /// Digest of the text; 0 if there is no configuration yet.
    pub digest: u64,
    /// Route table, by which requests are routed; `None` if there is no configuration yet.
    pub table: Option<Rc<RouteTable>>,
    /// Whether this release can read the text. If not, `table` is still the table of an earlier text.
    pub is_readable: bool,
}

/// The configuration of a process, and its lease.
pub(crate) struct Configuration {
    active: RefCell<Rc<ActiveConfiguration>>,
    /// The latest edits of the text, for nodes that have an earlier text. Only nodes with control state record them.
    edits: RefCell<EditHistory>,
    /// Lease by which the configuration is recent enough for requests with API keys.
    pub(crate) lease: RefCell<ConfigurationLease>,
    /// The highest slot whose state this release cannot read, numbered as in [`ActiveConfiguration::slot`]; 0 if there
    /// is none.
    unreadable_slot: Cell<u64>,
}

impl Configuration {
    pub(super) fn new(bounds: &Bounds) -> Configuration {
        let none = ActiveConfiguration {
            slot: 0,
            version: 0,
            text: "".into(),
            digest: 0,
            table: None,
            is_readable: true,
        };
        Configuration {
            active: RefCell::new(Rc::new(none)),
            edits: RefCell::default(),
            lease: RefCell::new(ConfigurationLease::new(bounds)),
            unreadable_slot: Cell::new(0),
        }
    }

    /// How long a poll may wait at its source: `usual`, or less if the lease is short.
    pub(crate) fn poll_wait(&self, usual: Duration) -> Duration {
        self.lease.borrow().poll_wait(usual)
    }
}

impl Node {
    /// The configuration in force.
    pub fn active_configuration(&self) -> Rc<ActiveConfiguration> {
        self.configuration.active.borrow().clone()
    }

    /// Returns the configuration in force. If this process has just started and has no confirmed configuration yet,
    /// waits for one until `deadline`, and then returns the configuration that it has.
    pub async fn first_configuration(&self, deadline: Instant) -> Rc<ActiveConfiguration> {
        let mut changes = self.subscribe();
        let is_unconfirmed =
            || !self.fleet_contact.is_informed() && !self.has_configuration_lease();
        while self.active_configuration().table.is_none() || is_unconfirmed() {
            if timeout_at(deadline, changes.changed()).await.is_err() {
                break;
            }
        }
        self.active_configuration()
    }

    /// Whether requests with API keys may be forwarded by the configuration in force.
    pub fn has_configuration_lease(&self) -> bool {
        self.configuration.lease.borrow().is_valid(self.now())
    }

    /// Whether a quorum confirmed the configuration in force since this process started, and, if API keys need a lease,
    /// recently enough. Readiness depends on it.
    pub fn is_confirmed(&self) -> bool {
        self.fleet_contact.is_informed() && self.has_configuration_lease()
    }

    /// Records that a quorum chose a state that this release cannot read. Until a newer state is in force here, reads
    /// by a quorum do not confirm the configuration in force.
    pub fn record_unreadable_state(&self, slot: u64) {
        let unreadable = &self.configuration.unreadable_slot;
        unreadable.set(unreadable.get().max(slot));
    }

    /// Whether this release can read the newest state that it knows to be chosen by a quorum.
    pub fn reads_newest_state(&self) -> bool {
        self.configuration.unreadable_slot.get() <= self.active_configuration().slot
            || !rules::unreadable_states_confirm_nothing()
    }

    /// Renews the lease on the configuration: every change that was acknowledged before `confirmed_at` is in force
    /// here.
    pub fn confirm_configuration(&self, confirmed_at: Timestamp) {
        let now = self.now();
        if !self.active_configuration().is_readable || !self.reads_newest_state() {
            return;
        }
        let had_lease = self.has_configuration_lease();
        self.configuration
            .lease
            .borrow_mut()
            .confirm(confirmed_at, now);
        if !had_lease && self.has_configuration_lease() {
            // Requests wait for the lease.
            self.notify_subscribers();
        }
    }

    /// Applies a state of the configuration's shard; a state older than the one in force changes nothing. Returns false
    /// if the update has edits of a text that this node does not have, so that it needs the complete text.
    pub fn apply_configuration(&self, update: ConfigUpdate) -> bool {
        let known = self.active_configuration();
        let is_newer = update.slot > known.slot
            || (update.slot != known.slot && !rules::older_configurations_ignored());
        if is_newer {
            let Some(text) = text_of(update.text, &known.text) else {
                return false;
            };
            self.replace_configuration(&known, update.slot, update.version, text);
        }
        self.record_versions(&update.versions);
        true
    }

    /// Puts a newer configuration in force.
    fn replace_configuration(
        &self,
        known: &ActiveConfiguration,
        slot: u64,
        version: u64,
        text: Rc<str>,
    ) {
        let skips_version =
            known.slot > 0 && slot > known.slot + 1 && !rules::missed_versions_apply();
        let (table, is_readable) = if version == known.version || skips_version {
            (known.table.clone(), known.is_readable)
        } else {
            let read = self.read_table(version, &text, &known.text);
            let is_readable = read.is_some();
            (read.or_else(|| known.table.clone()), is_readable)
        };
        let digest = digest_of_text(&text);
        if digest != known.digest && self.own_record.borrow().disk_id != 0 {
            self.configuration
                .edits
                .borrow_mut()
                .add(&known.text, &text);
        }
        log::info!("configuration in force: slot={slot} version={version}");
        *self.configuration.active.borrow_mut() = Rc::new(ActiveConfiguration {
            slot,
            version,
            text,
            digest,
            table,
            is_readable,
        });
        self.notify_subscribers();
    }

    /// The route table of a text; `None` if this release cannot read it. Since a text is validated before it is chosen,
    /// only another release can have written such a text.
    fn read_table(&self, version: u64, text: &str, known_text: &str) -> Option<Rc<RouteTable>> {
        let document = Document {
            version,
            text: defects::snapshot_text(text, known_text),
        };
        match RouteTable::read(&document) {
            Ok(table) => Some(Rc::new(table)),
            Err(error) => {
                self.log_buffer.report_violation(&format!(
                    "configuration cannot be read here: version={version}: {error}"
                ));
                None
            }
        }
    }

    /// Records the named versions of weights, as another node or the shard's state reports them.
    fn record_versions(&self, update: &VersionsUpdate) {
        let now = self.now();
        if let Some(age) = update.core_changed_age_ms {
            let versions = &mut self.server_table.borrow_mut().versions;
            versions.record_core_change_at(timestamp_before(now, nanos_of_ms(age)));
        }
        self.record_models(&update.models);
    }

    /// Records named versions of weights. A polling node may report a version that this process has forgotten or knows
    /// with another time: the earliest reported time applies.
    pub fn record_models(&self, models: &[ModelUpdate]) {
        let now = self.now();
        let versions = &mut self.server_table.borrow_mut().versions;
        for model in models {
            let ModelUpdate {
                name,
                version,
                age_ms,
            } = model;
            let known = versions.required(name);
            if known.is_none_or(|known| known.version < *version) {
                log::info!("version named: model={name} version={version} age_ms={age_ms}");
            }
            #[cfg(feature = "injected-defects")]
            if !rules::older_limits_stay() {
                versions.forget_older(name, *version);
            }
            versions.record_named(name, *version, nanos_of_ms(*age_ms), now);
        }
    }

    /// The configuration in force, as an update for a node whose text has this digest.
    pub fn config_update(&self, digest: u64) -> ConfigUpdate {
        let active = self.active_configuration();
        let edits = self.configuration.edits.borrow();
        ConfigUpdate {
            slot: active.slot,
            version: active.version,
            text: match edits.edits_between(digest, active.digest) {
                Some(edits) => TextUpdate::Edits(edits.into_iter().map(EditUpdate::from).collect()),
                None => TextUpdate::Complete(active.text.to_string()),
            },
            versions: self.versions_update(),
        }
    }

    /// The named versions of weights and when the core last changed, for another node.
    fn versions_update(&self) -> VersionsUpdate {
        let core_changed_at = self.server_table.borrow().versions.core_changed_at();
        VersionsUpdate {
            models: self.model_updates(),
            core_changed_age_ms: core_changed_at.map(|at| age_ms(at, self.now())),
        }
    }

    /// Whether the time limit of any named version is still in the future.
    pub fn has_pending_version_limits(&self) -> bool {
        let now = self.now();
        self.server_table.borrow().versions.has_pending(now)
    }

    /// The named versions of weights, for another node.
    pub fn model_updates(&self) -> Seq<ModelUpdate> {
        let now = self.now();
        let model = |(name, required): (&str, RequiredVersion)| ModelUpdate {
            name: name.to_owned(),
            version: required.version,
            age_ms: age_ms(required.named_at, now),
        };
        let versions = &self.server_table.borrow().versions;
        versions.all().map(model).collect()
    }
}

/// Applies the update to the known text; `None` if its edits are of another text.
fn text_of(update: TextUpdate, known: &Rc<str>) -> Option<Rc<str>> {
    match update {
        TextUpdate::Complete(text) => Some(text.into()),
        TextUpdate::Edits(edits) => {
            let apply = |text: Rc<str>, edit| Some(Edit::from(edit).apply(&text)?.into());
            edits.into_iter().try_fold(known.clone(), apply)
        }
    }
}

fn nanos_of_ms(ms: u64) -> Nanos {
    ms.saturating_mul(NANOS_PER_MS)
}

/// Time from `at` until now, in whole milliseconds.
fn age_ms(at: Timestamp, now: Nanos) -> u64 {
    if !rules::version_ages_reported() {
        return 0;
    }
    let age = i128::from(now) - i128::from(at);
    u64::try_from(age.max(0)).unwrap_or(u64::MAX) / NANOS_PER_MS
}
