//! Errors of settings objects and endpoint list entries.
use thiserror::Error;

/// An invalid settings object or list entry. Operators read the messages.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A time is negative.
    #[error("field {field}: {us} is below 0")]
    Negative {
        /// Name of the field in the operators' file.
        field: &'static str,
        /// Value of the field in microseconds.
        us: i64,
    },
    /// A time in nanoseconds does not fit into 64 bits.
    #[error("field {field}: {us} is out of range")]
    OutOfRange {
        /// Name of the field in the operators' file.
        field: &'static str,
        /// Value of the field in microseconds.
        us: i64,
    },
    /// The value of an enumerated field is unknown.
    #[error("field {field}: unknown value {value}")]
    UnknownValue {
        /// Name of the field in the operators' file.
        field: &'static str,
        /// The unknown value.
        value: String,
    },
    /// The lifecycle state of a list entry is unknown.
    #[error("unknown state {state}")]
    UnknownState {
        /// The unknown state.
        state: String,
    },
}
