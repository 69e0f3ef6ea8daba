//! Why a settings object or a list entry cannot be used.
use thiserror::Error;

/// What is wrong, and in which field. The messages are part of what operators read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A time is negative.
    #[error("field {field}: {us} is below 0")]
    Negative {
        /// The field, in the operators' words.
        field: &'static str,
        /// Its value in microseconds.
        us: i64,
    },
    /// A time does not fit 64 bits of nanoseconds.
    #[error("field {field}: {us} is out of range")]
    OutOfRange {
        /// The field, in the operators' words.
        field: &'static str,
        /// Its value in microseconds.
        us: i64,
    },
    /// A field with named values has none of them.
    #[error("field {field}: unknown value {value}")]
    UnknownValue {
        /// The field, in the operators' words.
        field: &'static str,
        /// The value that was found.
        value: String,
    },
    /// An entry of the list has a state that no page names.
    #[error("unknown state {state}")]
    UnknownState {
        /// The state that was found.
        state: String,
    },
}
