//! Why a configuration is rejected, in messages that an operator can act on. They never contain an API key.

use thiserror::Error;

/// What is wrong with a change, where, and the remedy. `path` is the path of a field such as ``routes[3] (`login`).kind``,
/// `offset` an offset in the body, in bytes.
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
    /// The body contains too many values.
    #[error(
        "the configuration holds more than {limit} values: remove routes, services or tenants that are no longer \
         used"
    )]
    TooManyValues {
        /// Largest allowed number of values.
        limit: usize,
    },
    /// The body is not UTF-8.
    #[error("byte {offset} is not UTF-8: send the configuration as UTF-8 JSON")]
    NotUtf8 {
        /// Offset of the first invalid byte.
        offset: usize,
    },
    /// Lists and objects are nested too deeply.
    #[error(
        "byte {offset} opens level {limit} + 1 of nesting: flatten the field that is nested this deep"
    )]
    TooDeep {
        /// Offset of the list or object that is too deep.
        offset: usize,
        /// Deepest allowed level.
        limit: usize,
    },
    /// The body ends before the JSON does.
    #[error("the JSON ends at byte {length} before it is whole: send it again in whole")]
    Truncated {
        /// Length of the body in bytes.
        length: usize,
    },
    /// The body is not JSON.
    #[error(
        "the body is not JSON, or holds a number or an escape that JSON cannot carry: check it with a JSON \
         validator"
    )]
    Malformed,
    /// An object contains a field twice.
    #[error("`{key}` occurs twice in the object that byte {offset} is in: remove one of them")]
    DuplicateField {
        /// The field.
        key: String,
        /// Offset of its second occurrence.
        offset: usize,
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
    #[error("there is no configuration to patch: send a complete one by PUT first")]
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
        "the text holds version {text} but is stored as {stored}: read the configuration from another node"
    )]
    VersionMismatch {
        /// The version that it is stored under.
        stored: u64,
        /// The version in its text.
        text: u64,
    },
    /// A required field is missing or empty.
    #[error("{path} is missing: add it")]
    Missing {
        /// Path of the field.
        path: String,
    },
    /// A field has the wrong type or range.
    #[error("{path} is not {expected}: correct it")]
    WrongType {
        /// Path of the field.
        path: String,
        /// What it must be.
        expected: &'static str,
    },
    /// A route has an unknown `kind`.
    #[error("{path} is `{kind}`: use idempotent, non_idempotent or streaming")]
    UnknownKind {
        /// Path of the field.
        path: String,
        /// The value that was sent.
        kind: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[error("{path} is `{prefix}`: begin and end it with a slash")]
    InvalidPrefix {
        /// Path of the field.
        path: String,
        /// The value that was sent.
        prefix: String,
    },
    /// A route has a timeout of 0.
    #[error("{path} is 0: give the longest time in ms that a request may take")]
    ZeroTimeout {
        /// Path of the field.
        path: String,
    },
    /// A route names a service that does not exist.
    #[error(
        "{path} names the service `{service}`, which is not in `services`: add it there or name another"
    )]
    UnknownService {
        /// Path of the field.
        path: String,
        /// The name.
        service: String,
    },
    /// A route names a KV store.
    #[error(
        "{path} names `{service}`, which is a store and serves no requests: name another service"
    )]
    StoreInRoute {
        /// Path of the field.
        path: String,
        /// The name of the store.
        service: String,
    },
    /// A weight is negative or not finite.
    #[error("{path} is below 0 or too large: give a weight of 0 or more")]
    InvalidWeight {
        /// Path of the field.
        path: String,
    },
    /// All weights of a route are 0.
    #[error("the weights in {path} sum to 0: give at least one service a weight above 0")]
    ZeroWeights {
        /// Path of the field.
        path: String,
    },
    /// Two routes have the same host and prefix.
    #[error(
        "{path} has the host and prefix of `{other}`: change one of them or remove one of the routes"
    )]
    DuplicatePrefix {
        /// Path of the second route.
        path: String,
        /// Name of the first one.
        other: String,
    },
    /// Two items of a list have the same name.
    #[error("two of `{list}` are named `{name}`: rename or remove one of them")]
    DuplicateName {
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
    /// A patch contains a list of the configuration beside `upsert_items`.
    #[error(
        "`{field}` stands beside upsert_items: put single items into upsert_items, or send a complete PUT"
    )]
    ListInPatch {
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
