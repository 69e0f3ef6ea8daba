//! The configuration in force: taken whole or as changes of its text, and told on.
use super::{InForce, Node};
use crate::planted::{self, Defect, has};
use crate::wire::{ConfigUpdate, EditUpdate, ModelUpdate, TextUpdate};
use sparrouter_config::{Document, Edit, Table, digest_of_text};
use sparrouter_routing::Nanos;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

impl Node {
    /// What is in force; where nothing is known yet, what is by `until`.
    pub async fn first_config(&self, until: Instant) -> Rc<InForce> {
        let mut changes = self.changes();
        while self.in_force().table.is_none() {
            if timeout_at(until, changes.changed()).await.is_err() {
                break;
            }
        }
        self.in_force()
    }

    /// What was chosen by the configuration's group; an older one than is in force changes nothing. False where it is
    /// a change of another text than the one here.
    pub fn take(&self, told: ConfigUpdate) -> bool {
        let known = self.in_force();
        let now = self.now();
        let skipped = has(Defect::CatchUpSkips) && known.seq > 0 && told.seq > known.seq + 1;
        if told.seq > known.seq || (has(Defect::OlderTaken) && told.seq != known.seq) {
            let text: Rc<str> = match told.text {
                TextUpdate::Whole(text) => text.into(),
                TextUpdate::Edits(edits) => {
                    let apply = |text: Rc<str>, edit| Some(Edit::from(edit).apply(&text)?.into());
                    match edits.into_iter().try_fold(known.text.clone(), apply) {
                        Some(text) => text,
                        None => return false,
                    }
                }
            };
            let table = if told.version == known.version || skipped {
                known.table.clone()
            } else {
                let document = Document {
                    version: told.version,
                    text: planted::half(&text, &known.text),
                };
                match Table::read(&document) {
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
            if digest != known.digest && self.me.borrow().disk != 0 {
                self.edits.borrow_mut().add(&known.text, &text);
            }
            let models = told.models.iter().map(|m| {
                let since = now.saturating_sub(m.age_ms.saturating_mul(1_000_000));
                let before = known
                    .models
                    .iter()
                    .find(|k| k.0 == m.name && k.1 == m.version);
                (
                    m.name.clone(),
                    m.version,
                    before.map_or(since, |k| k.2.min(since)),
                )
            });
            let next = InForce {
                seq: told.seq,
                version: told.version,
                text,
                digest,
                table,
                models: models.collect(),
            };
            let named: Vec<String> = told
                .models
                .iter()
                .map(|m| format!("{} {} {} ms", m.name, m.version, m.age_ms))
                .collect();
            log::info!(
                "register {} configuration {} in force, weights named: {}",
                told.seq,
                told.version,
                named.join(", ")
            );
            *self.config.borrow_mut() = Rc::new(next);
            self.changed();
        }
        let mut server_table = self.server_table.borrow_mut();
        for model in &told.models {
            server_table.versions.told(
                &model.name,
                model.version,
                model.age_ms.saturating_mul(1_000_000),
                now,
            );
        }
        true
    }

    /// What is in force here, for another node that has the text with this digest.
    pub fn config_update(&self, digest: u64) -> ConfigUpdate {
        let (known, now) = (self.in_force(), self.now());
        let model = |(name, version, since): &(String, u64, Nanos)| ModelUpdate {
            name: name.clone(),
            version: *version,
            age_ms: now.saturating_sub(*since) / 1_000_000,
        };
        ConfigUpdate {
            seq: known.seq,
            version: known.version,
            text: match self.edits.borrow().since(digest, known.digest) {
                Some(edits) => TextUpdate::Edits(edits.into_iter().map(EditUpdate::from).collect()),
                None => TextUpdate::Whole(known.text.to_string()),
            },
            models: known.models.iter().map(model).collect(),
        }
    }
}
