//! Why a batch cannot be processed. The simulator shows the message; the process ends with exit code 2.
use sparrouter_settings::SettingsError;
use std::io;
use thiserror::Error;

/// What is wrong with the input, or with a stream.
#[derive(Debug, Error)]
pub enum HostError {
    /// The line is no batch.
    #[error("bad batch: {0}")]
    Batch(serde_json::Error),
    /// A time or a name of a batch is not valid.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// The settings of an instance are not valid.
    #[error("Enlist: {0}")]
    Settings(SettingsError),
    /// The seed of an instance is no whole number.
    #[error("Enlist: field Nonce64: not a whole number")]
    Seed,
    /// An entry of the list is not valid.
    #[error("PeersKnown: field Condition: {0}")]
    ListEntry(SettingsError),
    /// An event for an instance that does not exist.
    #[error("{verb}: field I: instance {instance} was not enlisted")]
    UnknownInstance {
        /// The event's verb.
        verb: &'static str,
        /// The instance that it names.
        instance: i64,
    },
    /// A field with named values has none of them.
    #[error("{verb}: field {field}: unknown value {value}")]
    UnknownValue {
        /// The event's verb.
        verb: &'static str,
        /// The field.
        field: &'static str,
        /// The value that was found.
        value: String,
    },
    /// An operation that the settings do not name.
    #[error("Ingress: field Type: unknown class {0}")]
    UnknownOperation(String),
    /// A server that no list named.
    #[error("{verb}: field Server: {server} was never listed")]
    UnknownServer {
        /// The event's verb.
        verb: &'static str,
        /// The server that it names.
        server: String,
    },
    /// A timer that this process did not set.
    #[error("TimeoutFired: field Handle: {0} is not ours")]
    UnknownTimer(String),
    /// The payload of a datagram is not base64.
    #[error("Datagram: field Payload: {0}")]
    Payload(base64::DecodeError),
    /// Standard input failed.
    #[error("standard input: {0}")]
    Input(io::Error),
    /// Standard output failed.
    #[error("standard output: {0}")]
    Output(io::Error),
    /// A reply could not be serialized.
    #[error("{0}")]
    Reply(serde_json::Error),
}
