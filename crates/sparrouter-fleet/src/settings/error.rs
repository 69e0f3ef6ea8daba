//! Errors of a settings file.

use super::VARIABLE;

/// A reason why a settings file cannot be used. Each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The environment variable [`VARIABLE`] is not set.
    #[error("{VARIABLE} is not set: let it name the settings file")]
    NoVariable,
    /// The file cannot be read.
    #[error(
        "{path}: cannot be read ({reason}): check that the file exists and its owner may read it"
    )]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
    /// The file is not a valid list of settings.
    #[error("{path}: not lines of a.b=value ({reason}): correct the line")]
    Malformed {
        /// Path of the file.
        path: String,
        /// The error of the parser.
        reason: String,
    },
    /// A required field is missing.
    #[error("{path}: {field} is missing: add a line {field}=…")]
    Missing {
        /// Path of the file.
        path: String,
        /// Name of the field.
        field: String,
    },
    /// A field has the wrong type or is out of range.
    #[error("{path}: {field}={value} is not {expected}: correct that line")]
    Value {
        /// Path of the file.
        path: String,
        /// Name of the field.
        field: String,
        /// Value of the field, shortened.
        value: String,
        /// Description of the valid values.
        expected: String,
    },
}
