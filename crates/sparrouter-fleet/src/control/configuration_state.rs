//! State machine of the configuration's shard: configurations by compare-and-set, and named versions of weights.
//!
//! `history` recognizes orders that are sent again; `format` defines the encoding of the state. Design and invariants:
//! docs/design/control-state/orders.md.

mod format;
mod history;

pub use format::{FORMAT_VERSION, StateFormatError};
pub use history::{AppliedOrder, MAX_KNOWN_ORDERS, OrderFate, OrderHistory};

use crate::platform::defects::rules;
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::{Blob, Seq};
use sparrouter_config::{Accepted, ConfigError, Document, Method, Order, base_version};
use sparrouter_consensus::{Applied, Machine, Settings};

/// Maximum number of models with named versions.
const MAX_MODELS: usize = 4_096;
/// Longest name of a model, in bytes.
const MAX_MODEL_NAME_BYTES: usize = 256;

/// HTTP status if there is proof neither that the order was applied nor that it was lost.
const STATUS_UNKNOWN: u16 = 504;

/// The version of a model's weights to which servers are updated.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct NamedVersion {
    /// Name of the model.
    pub model: String,
    /// Its newest version, 1 or more.
    pub version: u64,
}

/// The value of the configuration's shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ConfigurationState {
    /// The version in force; 0 before the first configuration.
    pub version: u64,
    /// The text of the configuration in force, without white space between tokens.
    pub text: String,
    /// The orders that made the latest versions. Invariant: the newest one made the version in force.
    pub orders: OrderHistory,
    /// The newest named version of each model: at most 4,096 entries, one for each model.
    pub models: Seq<NamedVersion>,
}

/// A request of an operator, as it is sent between nodes.
#[derive(Clone, Debug, SerBin, DeBin)]
pub enum Change {
    /// Replaces the configuration.
    Put {
        /// The version on which the configuration is based; 0 or `None` if there is no configuration yet.
        if_match: Option<u64>,
        /// The new configuration, JSON.
        body: Blob,
    },
    /// Adds, replaces and removes items of the configuration.
    Patch {
        /// The version on which the patch is based.
        if_match: Option<u64>,
        /// The patch, JSON.
        body: Blob,
    },
    /// Names a version of a model's weights.
    Name {
        /// Name of the model.
        model: String,
        /// The version, 1 or more.
        version: u64,
    },
    /// Reads the configuration that is in force when the call is made.
    Get,
}

/// The answer to an operator's request.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Verdict {
    /// HTTP status.
    pub status: u16,
    /// Message for the operator; the configuration if the request was a read.
    pub text: String,
    /// Whether the answer also holds for every copy of the order that is still in flight. It does not if the order is
    /// refused because its base has not been in force yet: a copy that arrives later may find that base in force.
    pub binding: bool,
}

impl Verdict {
    fn new(status: u16, text: impl Into<String>) -> Verdict {
        Verdict {
            status,
            text: text.into(),
            binding: true,
        }
    }

    /// The encoding that is sent between nodes.
    pub fn encode(&self) -> Vec<u8> {
        self.serialize_bin()
    }
}

impl From<ConfigError> for Verdict {
    fn from(refusal: ConfigError) -> Verdict {
        Verdict::new(refusal.status(), refusal.to_string())
    }
}

impl ConfigurationState {
    /// The configuration in force; `None` before the first one.
    pub fn document(&self) -> Option<Document> {
        (self.version > 0).then(|| Document {
            version: self.version,
            text: self.text.clone(),
        })
    }

    /// Evaluates an order: it is applied if it is valid and its base is the version in force. Otherwise the history
    /// decides whether the order was applied before, is refused, or has an unknown outcome.
    fn submit(&mut self, method: Method, if_match: Option<u64>, body: &[u8]) -> Verdict {
        let if_match = if rules::order_base_checked() {
            if_match
        } else {
            Some(self.version)
        };
        if base_version(if_match) != self.version && rules::repeated_orders_recognized() {
            return self.recognize(method, if_match, body);
        }
        match sparrouter_config::accept(method, body, if_match, self.document().as_ref()) {
            Ok(accepted) => self.apply_order(accepted),
            Err(refusal) => refusal.into(),
        }
    }

    fn apply_order(&mut self, accepted: Accepted) -> Verdict {
        self.orders.push(&accepted.order);
        self.version = accepted.document.version;
        self.text = accepted.document.text;
        Verdict::new(200, "taken")
    }

    /// Answers an order whose base is not the version in force. It changes nothing.
    fn recognize(&self, method: Method, if_match: Option<u64>, body: &[u8]) -> Verdict {
        let stale = ConfigError::Stale {
            sent: if_match,
            current: self.version,
        };
        // An order that cannot be parsed was never applied.
        let Ok(order) = sparrouter_config::read_order(method, body, if_match) else {
            return stale.into();
        };
        match self.fate_of(&order) {
            OrderFate::Applied => Verdict::new(200, "applied before"),
            OrderFate::Lost => stale.into(),
            OrderFate::Ahead => match invalid_on_any_base(method, body, &order) {
                Some(refusal) => refusal.into(),
                None => Verdict {
                    binding: false,
                    ..stale.into()
                },
            },
            OrderFate::Unknown => Verdict::new(
                STATUS_UNKNOWN,
                format!(
                    "the change is based on version {}, which was superseded too long ago to tell whether the change \
                     was applied: read the configuration and base a new change on version {}",
                    order.base, self.version
                ),
            ),
        }
    }

    fn fate_of(&self, order: &Order) -> OrderFate {
        match self.orders.fate(order) {
            OrderFate::Applied
                if order.version != self.version && !rules::applied_orders_remembered() =>
            {
                OrderFate::Lost
            }
            OrderFate::Unknown if !rules::old_orders_stay_unknown() => OrderFate::Lost,
            fate => fate,
        }
    }

    fn name_version(&mut self, model: &str, version: u64) -> Verdict {
        if model.is_empty() || model.len() > MAX_MODEL_NAME_BYTES || version == 0 {
            return Verdict::new(400, "model must be a name and version 1 or more");
        }
        let is_full = self.models.len() >= MAX_MODELS;
        match self.models.iter_mut().find(|m| m.model == model) {
            // An older version that arrives late was acknowledged or superseded: in both cases nothing is to be done.
            Some(known) => known.version = known.version.max(version),
            None if is_full => {
                return Verdict::new(422, "versions are named for too many models: name fewer");
            }
            None => self.models.push(NamedVersion {
                model: model.to_owned(),
                version,
            }),
        }
        Verdict::new(200, "named")
    }

    fn get(&self) -> Verdict {
        if self.version == 0 {
            Verdict::new(404, "no configuration has been submitted yet")
        } else {
            Verdict::new(200, self.text.clone())
        }
    }

    fn apply(&mut self, change: &Change) -> Verdict {
        match change {
            Change::Put { if_match, body } => self.submit(Method::Put, *if_match, body),
            Change::Patch { if_match, body } => self.submit(Method::Patch, *if_match, body),
            Change::Name { model, version } => self.name_version(model, *version),
            Change::Get => self.get(),
        }
    }
}

/// Why an order is invalid whatever version is in force; `None` if it may be valid.
fn invalid_on_any_base(method: Method, body: &[u8], order: &Order) -> Option<ConfigError> {
    if order.version <= order.base {
        return Some(ConfigError::OldVersion {
            version: order.version,
            current: order.base,
        });
    }
    // A patch can be validated only together with what it changes.
    let is_put = method == Method::Put;
    is_put
        .then(|| sparrouter_config::accept(method, body, None, None).err())
        .flatten()
}

/// The state machine of the configuration's shard.
pub struct ConfigurationMachine;

impl Machine for ConfigurationMachine {
    fn apply(&self, body: &[u8], change: &[u8]) -> Applied {
        let unchanged = |verdict: Verdict| Applied::Unchanged {
            answer: verdict.encode(),
        };
        let before = match ConfigurationState::read(body) {
            Ok(state) => state,
            Err(error) => return unchanged(Verdict::new(500, error.to_string())),
        };
        let Some(change) = sparrouter_codec::read::<Change>(change) else {
            return unchanged(Verdict::new(
                400,
                "this release cannot decode the change: bring all nodes to one release",
            ));
        };
        let mut after = before.clone();
        let verdict = after.apply(&change);
        if after == before {
            return unchanged(verdict);
        }
        let body = after.encode();
        let limit = Settings::default().max_body_bytes;
        if body.len() > limit {
            // The register would reject a state of this size too, but without a clear answer for the caller.
            let refusal = ConfigError::TooLarge {
                bytes: body.len(),
                limit,
            };
            return unchanged(refusal.into());
        }
        Applied::Changed {
            body,
            answer: verdict.encode(),
        }
    }
}
