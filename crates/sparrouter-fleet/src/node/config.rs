//! The configuration in force: taken whole or as changes of its text, and told on.
use super::{ActiveConfiguration, Node};
use crate::peer::messages::{ConfigUpdate, EditUpdate, ModelUpdate, TextUpdate, VersionsUpdate};
use crate::platform::defects::{self, rules};
use sparrouter_codec::Seq;
use sparrouter_config::{Document, Edit, RouteTable, digest_of_text};
use sparrouter_routing::{Nanos, RequiredVersion, Timestamp, timestamp_before};
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

const NANOS_PER_MS: u64 = 1_000_000;

impl Node {
    /// What is in force; where a process that just started knows nothing or has nothing confirmed yet, what is by `until`.
    pub async fn first_config(&self, until: Instant) -> Rc<ActiveConfiguration> {
        let mut changes = self.changes();
        let is_unconfirmed = || !self.informed.get() && !self.holds_configuration_lease();
        while self.active_configuration().table.is_none() || is_unconfirmed() {
            if timeout_at(until, changes.changed()).await.is_err() {
                break;
            }
        }
        self.active_configuration()
    }

    /// Whether requests with API keys may go by what is in force here.
    pub fn holds_configuration_lease(&self) -> bool {
        self.configuration_lease.borrow().is_valid(self.now())
    }

    /// Whether a quorum confirmed what is in force here: in this life, and lately where keys need it. Readiness rests on it.
    pub fn is_confirmed(&self) -> bool {
        self.informed.get() && self.holds_configuration_lease()
    }

    /// Renews the lease on the configuration: all that was acknowledged before this moment is in force here.
    pub fn confirm_configuration(&self, at: Timestamp) {
        let now = self.now();
        if !self.active_configuration().is_readable {
            return;
        }
        let held = self.holds_configuration_lease();
        self.configuration_lease.borrow_mut().confirm(at, now);
        if !held && self.holds_configuration_lease() {
            // Requests wait for it.
            self.changed();
        }
    }

    /// What was chosen by the configuration's group; an older one than is in force changes nothing. False where it is
    /// a change of another text than the one here.
    pub fn apply_configuration(&self, told: ConfigUpdate) -> bool {
        let known = self.active_configuration();
        let skipped =
            !rules::missed_versions_apply() && known.slot > 0 && told.slot > known.slot + 1;
        if told.slot > known.slot
            || (!rules::older_configurations_ignored() && told.slot != known.slot)
        {
            let text: Rc<str> = match told.text {
                TextUpdate::Complete(text) => text.into(),
                TextUpdate::Edits(edits) => {
                    let apply = |text: Rc<str>, edit| Some(Edit::from(edit).apply(&text)?.into());
                    match edits.into_iter().try_fold(known.text.clone(), apply) {
                        Some(text) => text,
                        None => return false,
                    }
                }
            };
            let mut is_readable = known.is_readable;
            let table = if told.version == known.version || skipped {
                known.table.clone()
            } else {
                let document = Document {
                    version: told.version,
                    text: defects::snapshot_text(&text, &known.text),
                };
                let read = RouteTable::read(&document);
                is_readable = read.is_ok();
                match read {
                    Ok(table) => Some(Rc::new(table)),
                    Err(why) => {
                        // It was checked before it was chosen: only another release can come here.
                        self.log_buffer.breach(&format!(
                            "configuration {} cannot be read here: {why}",
                            told.version
                        ));
                        known.table.clone()
                    }
                }
            };
            let digest = digest_of_text(&text);
            if digest != known.digest && self.own_record.borrow().disk_id != 0 {
                self.edits.borrow_mut().add(&known.text, &text);
            }
            let next = ActiveConfiguration {
                slot: told.slot,
                version: told.version,
                text,
                digest,
                table,
                is_readable,
            };
            log::info!(
                "register {} configuration {} in force",
                told.slot,
                told.version
            );
            *self.config.borrow_mut() = Rc::new(next);
            self.changed();
        }
        self.take_versions(&told.versions);
        true
    }

    /// The versions of weights that were named, as another node or the register tells of them.
    fn take_versions(&self, told: &VersionsUpdate) {
        let now = self.now();
        if let Some(age) = told.core_changed_age_ms {
            let versions = &mut self.server_table.borrow_mut().versions;
            versions.record_core_change_at(timestamp_before(now, nanos_of_ms(age)));
        }
        self.take_models(&told.models);
    }

    /// The same for the versions alone: of what a poller knows and this process has forgotten, the earliest moment counts.
    pub fn take_models(&self, models: &[ModelUpdate]) {
        let now = self.now();
        let versions = &mut self.server_table.borrow_mut().versions;
        for model in models {
            let known = versions.required(&model.name);
            if known.is_none_or(|known| known.version < model.version) {
                let (version, name, age) = (model.version, &model.name, model.age_ms);
                log::info!("version {version} of {name} was named {age} ms ago");
            }
            #[cfg(feature = "injected-defects")]
            if !rules::older_limits_stay() {
                versions.forget_older(&model.name, model.version);
            }
            versions.record_named(&model.name, model.version, nanos_of_ms(model.age_ms), now);
        }
    }

    /// What is in force here, for another node that has the text with this digest.
    pub fn config_update(&self, digest: u64) -> ConfigUpdate {
        let known = self.active_configuration();
        ConfigUpdate {
            slot: known.slot,
            version: known.version,
            text: match self.edits.borrow().edits_between(digest, known.digest) {
                Some(edits) => TextUpdate::Edits(edits.into_iter().map(EditUpdate::from).collect()),
                None => TextUpdate::Complete(known.text.to_string()),
            },
            versions: self.versions_update(),
        }
    }

    /// The versions of weights that were named and when the core last changed, for another node.
    pub fn versions_update(&self) -> VersionsUpdate {
        let core_changed_at = self.server_table.borrow().versions.core_changed_at();
        VersionsUpdate {
            models: self.model_updates(),
            core_changed_age_ms: core_changed_at.map(|at| age_ms(at, self.now())),
        }
    }

    /// The versions of weights that were named, for another node.
    pub fn model_updates(&self) -> Seq<ModelUpdate> {
        let now = self.now();
        let model = |(name, wanted): (&str, RequiredVersion)| ModelUpdate {
            name: name.to_owned(),
            version: wanted.version,
            age_ms: age_ms(wanted.named_at, now),
        };
        let versions = &self.server_table.borrow().versions;
        versions.all().map(model).collect()
    }
}

fn nanos_of_ms(ms: u64) -> Nanos {
    ms.saturating_mul(NANOS_PER_MS)
}

/// How long ago a moment was, in whole milliseconds.
fn age_ms(at: Timestamp, now: Nanos) -> u64 {
    if !rules::version_ages_reported() {
        return 0;
    }
    let age = i128::from(now) - i128::from(at);
    u64::try_from(age.max(0)).unwrap_or(u64::MAX) / NANOS_PER_MS
}
