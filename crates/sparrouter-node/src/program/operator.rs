//! The operator's configuration file (TOML): the report and the quota shares, which the platform's file does not cover.
//! An unknown field is an error. Without the file the node neither reports nor shares quotas.
use super::error::{FileError, NodeError};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// The content of the operator's file.
#[derive(Clone, Default, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// The identity of the node in its report.
    pub identity: Identity,
    /// Configuration of the node's report; `None` if the node writes no report.
    pub report: Option<ReportConfig>,
    /// Enforces the tenants' quotas with shares that nodes lease to each other. If `None`, each node enforces them by
    /// its own estimate.
    #[serde(rename = "shares")]
    pub quota_shares: Option<QuotaShareConfig>,
}

/// The identity of the node in its report.
#[derive(Clone, Default, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Identity {
    /// Name that the operator gives to the deployed state of program and settings.
    pub generation: String,
}

/// Configuration of the report's file.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReportConfig {
    /// Path of the file to which lines of JSON are appended.
    pub path: PathBuf,
    /// Interval between lines: 100 to 60,000 ms.
    #[serde(default = "second")]
    pub every_ms: Spanned<u64>,
    /// Maximum size of the file: 64 to 1,048,576 KiB. A full file is renamed to `.1` and replaces the previous `.1`.
    #[serde(default = "default_keep_kib")]
    pub keep_kib: Spanned<u64>,
}

/// How tenants' quotas are shared between the nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaShareConfig {
    /// Time within which every node has its new settings after the number of nodes changes: 100 to 600,000 ms.
    #[serde(default = "five_seconds")]
    pub informed_ms: Spanned<u64>,
    /// Duration of the lease of a share that is lent to another node: 200 to 60,000 ms.
    #[serde(default = "second")]
    pub lease_ms: Spanned<u64>,
    /// Length of the window over which a quota is enforced: 50 to 60,000 ms. Quota that is not used within the window
    /// is lost.
    #[serde(default = "five_seconds")]
    pub window_ms: Spanned<u64>,
    /// Whether nodes lend and borrow shares by gossip, if the platform allows gossip; otherwise all nodes have equal
    /// shares.
    #[serde(default = "default_notes")]
    pub notes: bool,
}

fn default_notes() -> bool {
    true
}
fn five_seconds() -> Spanned<u64> {
    Spanned::new(0..0, 5000)
}
fn second() -> Spanned<u64> {
    Spanned::new(0..0, 1000)
}
fn default_keep_kib() -> Spanned<u64> {
    Spanned::new(0..0, 4096)
}

/// A number in the file and its allowed range.
struct Ranged<'a> {
    field: &'static str,
    value: &'a Spanned<u64>,
    allowed: RangeInclusive<u64>,
}

impl Ranged<'_> {
    fn check(&self, text: &str) -> Result<(), FileError> {
        let value = *self.value.get_ref();
        if self.allowed.contains(&value) {
            return Ok(());
        }
        let before = &text[..self.value.span().start.min(text.len())];
        Err(FileError::OutOfRange {
            line: before.matches('\n').count() + 1,
            field: self.field,
            value,
            min: *self.allowed.start(),
            max: *self.allowed.end(),
        })
    }
}

impl OperatorConfig {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is malformed, or contains a number outside its range.
    pub fn load(path: &Path) -> Result<OperatorConfig, NodeError> {
        let config = std::fs::read_to_string(path)
            .map_err(FileError::from)
            .and_then(|text| OperatorConfig::parse(&text));
        config.map_err(|error| error.in_file(path.display().to_string()))
    }

    fn parse(text: &str) -> Result<OperatorConfig, FileError> {
        let config: OperatorConfig = toml::from_str(text)?;
        for number in config.ranged() {
            number.check(text)?;
        }
        Ok(config)
    }

    fn ranged(&self) -> impl Iterator<Item = Ranged<'_>> {
        let ranged = |field, value, allowed| Ranged {
            field,
            value,
            allowed,
        };
        let report = self.report.iter().flat_map(move |r| {
            [
                ranged("report.every_ms", &r.every_ms, 100..=60_000),
                ranged("report.keep_kib", &r.keep_kib, 64..=1 << 20),
            ]
        });
        let shares = self.quota_shares.iter().flat_map(move |s| {
            [
                ranged("shares.informed_ms", &s.informed_ms, 100..=600_000),
                ranged("shares.lease_ms", &s.lease_ms, 200..=60_000),
                ranged("shares.window_ms", &s.window_ms, 50..=60_000),
            ]
        });
        report.chain(shares)
    }

    /// Returns the configuration as TOML, with the defaults of omitted fields.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_else(|e| format!("# {e}\n"))
    }
}

#[cfg(test)]
mod tests;
