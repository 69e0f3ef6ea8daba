//! The reasons for rejecting a configuration, with messages that an operator can act on. Messages never contain an API key.

use thiserror::Error;

/// The reason for rejecting a configuration change. The message names the invalid part and the remedy. `path` is the path of a
/// field such as ``routes[3] (`login`).kind``; `offset` is an offset in the body, in bytes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The body has too many bytes.
    #[error(
        "the configuration has {bytes} bytes, but at most {limit} are allowed: remove unused routes, services or tenants"
    )]
    TooLarge {
        /// Size of the body in bytes.
        bytes: usize,
        /// Largest allowed size in bytes.
        limit: usize,
    },
    /// The body contains too many values.
    #[error(
        "the configuration contains more than {limit} values: remove unused routes, services or tenants"
    )]
    TooManyValues {
        /// Largest allowed number of values.
        limit: usize,
    },
    /// The body is not UTF-8.
    #[error("the body is not UTF-8 at byte {offset}: send the configuration as UTF-8 JSON")]
    NotUtf8 {
        /// Offset of the first invalid byte.
        offset: usize,
    },
    /// Lists and objects are nested too deeply.
    #[error(
        "the JSON is nested more than {limit} levels deep at byte {offset}: flatten the field at this position"
    )]
    TooDeep {
        /// Offset of the list or object that is nested too deeply.
        offset: usize,
        /// Deepest allowed nesting, in levels.
        limit: usize,
    },
    /// The body ends before the JSON value is complete.
    #[error("the JSON is incomplete: it ends at byte {length}: send the complete configuration")]
    Truncated {
        /// Length of the body in bytes.
        length: usize,
    },
    /// The body is not JSON.
    #[error(
        "the body is not JSON, or contains a number or an escape that is invalid in JSON: check it with a JSON \
         validator"
    )]
    Malformed,
    /// An object contains a duplicate field.
    #[error("the field `{key}` at byte {offset} is a duplicate in its object: remove one of them")]
    DuplicateField {
        /// Key of the field.
        key: String,
        /// Offset of the field's second occurrence.
        offset: usize,
    },
    /// `If-Match` is missing or differs from the current version.
    #[error(
        "If-Match is {} but the current version is {current}: read the configuration, base the change on it and send \
         If-Match: {current}",
        .sent.map_or("missing".to_owned(), |v| v.to_string())
    )]
    Stale {
        /// The value of `If-Match`, if it is a number.
        sent: Option<u64>,
        /// Version number of the current configuration.
        current: u64,
    },
    /// A PATCH was sent before the first configuration.
    #[error("there is no configuration to patch: send a complete one by PUT first")]
    NothingToPatch,
    /// The new version is not above the current version.
    #[error("`version` {version} is not above {current}, the current version: choose a higher one")]
    OldVersion {
        /// Version number in the body.
        version: u64,
        /// Version number of the current configuration.
        current: u64,
    },
    /// The version in a document's text differs from the version that the document is stored under.
    #[error(
        "the configuration stored as version {stored} contains version {text}: read the configuration from another node"
    )]
    VersionMismatch {
        /// The version that the document is stored under.
        stored: u64,
        /// The version in the document's text.
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
        /// The expected type or range.
        expected: &'static str,
    },
    /// A route has an unknown `kind`.
    #[error("{path} is `{kind}`: use idempotent, non_idempotent or streaming")]
    UnknownKind {
        /// Path of the field.
        path: String,
        /// The invalid value.
        kind: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[error("{path} is `{prefix}`: begin and end it with a slash")]
    InvalidPrefix {
        /// Path of the field.
        path: String,
        /// The invalid value.
        prefix: String,
    },
    /// A route has a timeout of 0.
    #[error("{path} is 0: set the longest duration of a request in ms")]
    ZeroTimeout {
        /// Path of the field.
        path: String,
    },
    /// A route refers to a service that does not exist.
    #[error(
        "{path} refers to the service `{service}`, which is not in `services`: add it there or use another service"
    )]
    UnknownService {
        /// Path of the field.
        path: String,
        /// Name of the unknown service.
        service: String,
    },
    /// A route refers to a KV store.
    #[error(
        "{path} refers to `{service}`, which is a KV store and serves no requests: use another service"
    )]
    StoreInRoute {
        /// Path of the field.
        path: String,
        /// Name of the KV store.
        service: String,
    },
    /// A weight is negative or not finite.
    #[error("{path} is negative or too large: set a weight of 0 or more")]
    InvalidWeight {
        /// Path of the field.
        path: String,
    },
    /// All weights of a route are 0.
    #[error("the weights in {path} add up to 0: set a weight above 0 for at least one service")]
    ZeroWeights {
        /// Path of the field.
        path: String,
    },
    /// Two routes have the same host and prefix.
    #[error(
        "{path} has the same host and path prefix as route `{other}`: change or remove one of the routes"
    )]
    DuplicatePrefix {
        /// Path of the second route in the configuration.
        path: String,
        /// Name of the first route.
        other: String,
    },
    /// Two items of a list have the same name.
    #[error("`{list}` contains two items named `{name}`: rename or remove one of them")]
    DuplicateName {
        /// Name of the list.
        list: String,
        /// The duplicate name.
        name: String,
    },
    /// Two tenants have the same API key.
    #[error("the tenants `{first}` and `{second}` share an API key: remove it from one of them")]
    SharedKey {
        /// Name of the first tenant.
        first: String,
        /// Name of the second tenant.
        second: String,
    },
    /// A patch both upserts and removes an item.
    #[error(
        "`{name}` of `{list}` is in both upsert_items and remove_names: remove it from one of them"
    )]
    Contradiction {
        /// Name of the list.
        list: String,
        /// Name of the item.
        name: String,
    },
    /// A patch contains a list of the configuration at its top level instead of in `upsert_items`.
    #[error(
        "a patch must not contain `{field}` outside of upsert_items: put the items into upsert_items, or send a complete \
         configuration by PUT"
    )]
    ListInPatch {
        /// Name of the list.
        field: String,
    },
}

impl ConfigError {
    /// The HTTP status of the response to the change: 400 if the body cannot be parsed, 412 if it is based on another version,
    /// 413 if it is too large, 422 if it can be parsed but is invalid. Retrying the same request does not help in any of
    /// these cases.
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
