//! Why a configuration is not taken, in words that an operator can act on. Never holds an API key.

use thiserror::Error;

/// What is wrong with a change, where, and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    #[error(
        "the configuration takes {bytes} bytes, {limit} are allowed: remove routes, services or tenants that are \
         no longer used"
    )]
    TooLarge { bytes: usize, limit: usize },
    #[error(
        "the configuration holds more than {limit} values: remove routes, services or tenants that are no longer \
         used"
    )]
    TooManyValues { limit: usize },
    #[error("byte {at} is not UTF-8: send the configuration as UTF-8 JSON")]
    NotUtf8 { at: usize },
    #[error(
        "byte {at} opens level {limit} + 1 of nesting: flatten the field that is nested this deep"
    )]
    TooDeep { at: usize, limit: usize },
    #[error("the JSON ends at byte {at} before it is whole: send it again in whole")]
    CutShort { at: usize },
    #[error(
        "the body is not JSON, or holds a number or an escape that JSON cannot carry: check it with a JSON \
         validator"
    )]
    Malformed,
    #[error("`{key}` stands twice in the object that byte {at} is in: keep one of them")]
    DuplicateField { key: String, at: usize },
    #[error(
        "If-Match is {} but version {current} is in force: read the configuration, build the change on it and send \
         If-Match: {current}",
        .sent.map_or("missing".to_owned(), |v| v.to_string())
    )]
    Stale { sent: Option<u64>, current: u64 },
    #[error("there is no configuration to patch: send a whole one by PUT first")]
    NothingToPatch,
    #[error("`version` {version} is not above {current}, which is in force: choose a higher one")]
    OldVersion { version: u64, current: u64 },
    #[error(
        "the text holds version {text} but is filed as {filed}: read the configuration from another node"
    )]
    Misfiled { filed: u64, text: u64 },
    #[error("{at} is missing: add it")]
    Missing { at: String },
    #[error("{at} is not {expected}: correct it")]
    WrongType { at: String, expected: &'static str },
    #[error("{at} is `{kind}`: use idempotent, non_idempotent or streaming")]
    UnknownKind { at: String, kind: String },
    #[error("{at} is `{prefix}`: begin and end it with a slash")]
    BadPrefix { at: String, prefix: String },
    #[error("{at} is 0: give the longest time in ms that a request may be held")]
    NoTimeout { at: String },
    #[error(
        "{at} names the service `{service}`, which is not in `services`: add it there or name another"
    )]
    UnknownService { at: String, service: String },
    #[error(
        "{at} names `{service}`, which is a store and serves no requests: name another service"
    )]
    StoreInRoute { at: String, service: String },
    #[error("{at} is below 0 or too large: give a weight of 0 or more")]
    BadWeight { at: String },
    #[error("the weights in {at} sum to 0: give at least one service a weight above 0")]
    NoWeight { at: String },
    #[error(
        "{at} has the host and prefix of `{other}`: change one of them or remove one of the routes"
    )]
    SamePlace { at: String, other: String },
    #[error("two of `{list}` are named `{name}`: rename or remove one of them")]
    SharedName { list: String, name: String },
    #[error("the tenants `{first}` and `{second}` share an API key: remove it from one of them")]
    SharedKey { first: String, second: String },
    #[error("`{name}` of `{list}` is both in upsert_items and in remove_names: keep one of them")]
    Contradiction { list: String, name: String },
    #[error(
        "`{field}` stands beside upsert_items: put single items into upsert_items, or send a whole PUT"
    )]
    WholeListInPatch { field: String },
}

impl Refusal {
    /// The HTTP status that answers the change: 400 unreadable, 412 built on another version, 413 too large, 422
    /// readable but invalid. All of them are final for the operator's call.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::TooLarge { .. } | Refusal::TooManyValues { .. } => 413,
            Refusal::Stale { .. } => 412,
            Refusal::NotUtf8 { .. }
            | Refusal::TooDeep { .. }
            | Refusal::CutShort { .. }
            | Refusal::Malformed
            | Refusal::DuplicateField { .. } => 400,
            _ => 422,
        }
    }
}
