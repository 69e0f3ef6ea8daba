//! What a change means to the configuration's part: documents by compare-and-set, and versions of weights named.
use crate::planted::{Defect, has};
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::{Blob, Seq};
use sparrouter_config::{Document, Method, Refusal, digest_of_request};
use sparrouter_consensus::{Applied, Machine};

/// Changes whose repeats are answered as taken.
const REMEMBERED: usize = 256;
/// Models that versions may be named for.
const MOST_MODELS: usize = 4_096;

#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Named {
    pub model: String,
    pub version: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Taken {
    pub digest: u64,
    pub version: u64,
}

/// The body of the part.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfigurationState {
    pub version: u64,
    pub text: String,
    pub taken: Seq<Taken>,
    pub models: Seq<Named>,
}

#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Change {
    Put {
        if_match: Option<u64>,
        body: Blob,
    },
    Patch {
        if_match: Option<u64>,
        body: Blob,
    },
    Name {
        model: String,
        version: u64,
    },
    /// What is in force, by a quorum's word.
    Get,
}

/// What the caller is answered.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Verdict {
    pub status: u16,
    pub text: String,
}

impl Verdict {
    fn new(status: u16, text: impl Into<String>) -> Verdict {
        Verdict {
            status,
            text: text.into(),
        }
    }
    pub fn encode(&self) -> Vec<u8> {
        self.serialize_bin()
    }
}

impl ConfigurationState {
    pub fn read(body: &[u8]) -> Option<ConfigurationState> {
        if body.is_empty() {
            Some(ConfigurationState::default())
        } else {
            sparrouter_codec::read(body)
        }
    }

    pub fn document(&self) -> Option<Document> {
        (self.version > 0).then(|| Document {
            version: self.version,
            text: self.text.clone(),
        })
    }

    fn put(
        &mut self,
        method: Method,
        if_match: Option<u64>,
        body: &[u8],
    ) -> Result<Verdict, Refusal> {
        let digest = digest_of_request(method, body);
        if self.taken.iter().any(|t| t.digest == digest) && !has(Defect::SameBodyRefused) {
            return Ok(Verdict::new(200, "taken before"));
        }
        let next = sparrouter_config::change(method, body, if_match, self.document().as_ref())?;
        if self.taken.len() == REMEMBERED {
            self.taken.remove(0);
        }
        self.taken.push(Taken {
            digest,
            version: next.version,
        });
        (self.version, self.text) = (next.version, next.text);
        Ok(Verdict::new(200, "taken"))
    }

    fn name(&mut self, model: &str, version: u64) -> Verdict {
        if model.is_empty() || model.len() > 256 || version == 0 {
            return Verdict::new(400, "model must be a name and version 1 or more");
        }
        let many = self.models.len() >= MOST_MODELS;
        match self.models.iter_mut().find(|m| m.model == model) {
            // An older one that comes late was acknowledged or overtaken: either way there is nothing to do.
            Some(known) => known.version = known.version.max(version),
            None if many => {
                return Verdict::new(422, "versions are named for too many models: name fewer");
            }
            None => self.models.push(Named {
                model: model.to_owned(),
                version,
            }),
        }
        Verdict::new(200, "named")
    }
}

/// The machine of the configuration's part.
pub struct ConfigurationMachine;

impl Machine for ConfigurationMachine {
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied {
        let unchanged = |v: Verdict| Applied::Unchanged { answer: v.encode() };
        let Some(before) = ConfigurationState::read(body) else {
            return unchanged(Verdict::new(
                500,
                "the part's body is of another release: bring all nodes to one",
            ));
        };
        let Some(change) = sparrouter_codec::read::<Change>(change) else {
            return unchanged(Verdict::new(400, "no change that this release knows"));
        };
        let mut after = before.clone();
        let verdict = match &change {
            Change::Put { if_match, body } => after.put(Method::Put, *if_match, body),
            Change::Patch { if_match, body } => after.put(Method::Patch, *if_match, body),
            Change::Name { model, version } => Ok(after.name(model, *version)),
            Change::Get if before.version == 0 => {
                Ok(Verdict::new(404, "no configuration has been taken yet"))
            }
            Change::Get => Ok(Verdict::new(200, before.text.clone())),
        };
        let verdict =
            verdict.unwrap_or_else(|refusal| Verdict::new(refusal.status(), refusal.to_string()));
        if after == before {
            unchanged(verdict)
        } else {
            Applied::Changed {
                body: after.serialize_bin(),
                answer: verdict.encode(),
            }
        }
    }
}
