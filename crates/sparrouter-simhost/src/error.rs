//! Errors of processing a batch. The simulator shows the message; the process ends with exit code 2.
use sparrouter_settings::SettingsError;
use std::io;
use thiserror::Error;

/// An error in the input, or in reading or writing a standard stream.
#[derive(Debug, Error)]
pub enum HostError {
    /// The line is not a valid batch.
    #[error("malformed batch: {0}")]
    Batch(serde_json::Error),
    /// A time or a name in a batch is invalid.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// The settings of an instance are invalid.
    #[error("Enlist: {0}")]
    Settings(SettingsError),
    /// The seed of an instance is not a whole number.
    #[error("Enlist: field Nonce64: not a whole number")]
    Seed,
    /// An entry of the cache server list is invalid.
    #[error("PeersKnown: field Condition: {0}")]
    ListEntry(SettingsError),
    /// An event names an instance that does not exist.
    #[error("{verb}: field I: instance {instance} was not enlisted")]
    UnknownInstance {
        /// The event's verb.
        verb: &'static str,
        /// The number of the instance.
        instance: i64,
    },
    /// An enumerated field has an unknown value.
    #[error("{verb}: field {field}: unknown value {value}")]
    UnknownValue {
        /// The event's verb.
        verb: &'static str,
        /// The field's name.
        field: &'static str,
        /// The unknown value.
        value: String,
    },
    /// An event names an operation that is not in the settings.
    #[error("Ingress: field Type: unknown class {0}")]
    UnknownOperation(String),
    /// An event names a server that was in no list.
    #[error("{verb}: field Server: {server} was never listed")]
    UnknownServer {
        /// The event's verb.
        verb: &'static str,
        /// The server's id.
        server: String,
    },
    /// The handle of a timer is not one that this process issued.
    #[error("TimeoutFired: field Handle: timer handle {0} was not issued by this process")]
    UnknownTimer(String),
    /// The payload of a datagram is not base64.
    #[error("Datagram: field Payload: {0}")]
    Payload(base64::DecodeError),
    /// Standard input could not be read.
    #[error("standard input: {0}")]
    Input(io::Error),
    /// Standard output could not be written.
    #[error("standard output: {0}")]
    Output(io::Error),
    /// A reply could not be serialized.
    #[error("{0}")]
    Reply(serde_json::Error),
}
