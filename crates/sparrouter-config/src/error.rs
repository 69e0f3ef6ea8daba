//! Why a configuration is refused, in messages that an operator can act on. They never contain an API key.

use thiserror::Error;

/// What is wrong with a change, where, and the remedy. `at` is the path of a field, or an offset in bytes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The body has too many bytes.
    #[error(
        "the configuration takes {bytes} bytes, {limit} are allowed: remove routes, services or tenants that are \
         no longer used"
    )]
    TooLarge {
        /// Size of the body in bytes.
        bytes: usize,
        /// Largest allowed size in bytes.
        limit: usize,
    },
    /// The body holds too many values.
    #[error(
        "the configuration holds more than {limit} values: remove routes, services or tenants that are no longer \
         used"
    )]
    TooManyValues {
        /// Most allowed values.
        limit: usize,
    },
    /// The body is not UTF-8.
    #[error("byte {at} is not UTF-8: send the configuration as UTF-8 JSON")]
    NotUtf8 {
        /// Offset of the first invalid byte.
        at: usize,
    },
    /// Lists and objects are nested too deeply.
    #[error(
        "byte {at} opens level {limit} + 1 of nesting: flatten the field that is nested this deep"
    )]
    TooDeep {
        /// Offset of the list or object that is too deep.
        at: usize,
        /// Deepest allowed level.
        limit: usize,
    },
    /// The body ends before the JSON does.
    #[error("the JSON ends at byte {at} before it is whole: send it again in whole")]
    Truncated {
        /// Length of the body in bytes.
        at: usize,
    },
    /// The body is not JSON.
    #[error(
        "the body is not JSON, or holds a number or an escape that JSON cannot carry: check it with a JSON \
         validator"
    )]
    Malformed,
    /// An object holds a field twice.
    #[error("`{key}` stands twice in the object that byte {at} is in: keep one of them")]
    DuplicateField {
        /// The field.
        key: String,
        /// Offset of its second occurrence.
        at: usize,
    },
    /// `If-Match` does not name the version in force.
    #[error(
        "If-Match is {} but version {current} is in force: read the configuration, build the change on it and send \
         If-Match: {current}",
        .sent.map_or("missing".to_owned(), |v| v.to_string())
    )]
    Stale {
        /// The value of `If-Match`, if it is a number.
        sent: Option<u64>,
        /// The version in force.
        current: u64,
    },
    /// A PATCH before the first configuration.
    #[error("there is no configuration to patch: send a whole one by PUT first")]
    NothingToPatch,
    /// The new version is not above the one in force.
    #[error("`version` {version} is not above {current}, which is in force: choose a higher one")]
    OldVersion {
        /// The version that was sent.
        version: u64,
        /// The version in force.
        current: u64,
    },
    /// A document is stored under another version than its text says.
    #[error(
        "the text holds version {text} but is filed as {filed}: read the configuration from another node"
    )]
    Misfiled {
        /// The version it is stored under.
        filed: u64,
        /// The version in its text.
        text: u64,
    },
    /// A required field is missing or empty.
    #[error("{at} is missing: add it")]
    Missing {
        /// Path of the field.
        at: String,
    },
    /// A field has the wrong type or range.
    #[error("{at} is not {expected}: correct it")]
    WrongType {
        /// Path of the field.
        at: String,
        /// What it must be.
        expected: &'static str,
    },
    /// A route has an unknown `kind`.
    #[error("{at} is `{kind}`: use idempotent, non_idempotent or streaming")]
    UnknownKind {
        /// Path of the field.
        at: String,
        /// The value that was sent.
        kind: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[error("{at} is `{prefix}`: begin and end it with a slash")]
    BadPrefix {
        /// Path of the field.
        at: String,
        /// The value that was sent.
        prefix: String,
    },
    /// A route has a timeout of 0.
    #[error("{at} is 0: give the longest time in ms that a request may be held")]
    NoTimeout {
        /// Path of the field.
        at: String,
    },
    /// A route names a service that does not exist.
    #[error(
        "{at} names the service `{service}`, which is not in `services`: add it there or name another"
    )]
    UnknownService {
        /// Path of the field.
        at: String,
        /// The name.
        service: String,
    },
    /// A route names a KV store.
    #[error(
        "{at} names `{service}`, which is a store and serves no requests: name another service"
    )]
    StoreInRoute {
        /// Path of the field.
        at: String,
        /// The name of the store.
        service: String,
    },
    /// A weight is negative or not finite.
    #[error("{at} is below 0 or too large: give a weight of 0 or more")]
    BadWeight {
        /// Path of the field.
        at: String,
    },
    /// All weights of a route are 0.
    #[error("the weights in {at} sum to 0: give at least one service a weight above 0")]
    NoWeight {
        /// Path of the field.
        at: String,
    },
    /// Two routes have the same host and prefix.
    #[error(
        "{at} has the host and prefix of `{other}`: change one of them or remove one of the routes"
    )]
    SamePlace {
        /// Path of the second route.
        at: String,
        /// Name of the first one.
        other: String,
    },
    /// Two items of a list have the same name.
    #[error("two of `{list}` are named `{name}`: rename or remove one of them")]
    SharedName {
        /// The list.
        list: String,
        /// The name.
        name: String,
    },
    /// Two tenants have the same API key.
    #[error("the tenants `{first}` and `{second}` share an API key: remove it from one of them")]
    SharedKey {
        /// Name of one tenant.
        first: String,
        /// Name of the other.
        second: String,
    },
    /// A patch both changes and removes an item.
    #[error("`{name}` of `{list}` is both in upsert_items and in remove_names: keep one of them")]
    Contradiction {
        /// The list.
        list: String,
        /// The name of the item.
        name: String,
    },
    /// A patch holds a whole list.
    #[error(
        "`{field}` stands beside upsert_items: put single items into upsert_items, or send a whole PUT"
    )]
    WholeListInPatch {
        /// The list.
        field: String,
    },
}

impl ConfigError {
    /// The HTTP status that answers the change: 400 unreadable, 412 built on another version, 413 too large, 422
    /// readable but invalid. All of them are final for the operator's call.
    pub fn status(&self) -> u16 {
        match self {
            ConfigError::TooLarge { .. } | ConfigError::TooManyValues { .. } => 413,
            ConfigError::Stale { .. } => 412,
            ConfigError::NotUtf8 { .. }
            | ConfigError::TooDeep { .. }
            | ConfigError::Truncated { .. }
            | ConfigError::Malformed
            | ConfigError::DuplicateField { .. } => 400,
            _ => 422,
        }
    }
}
