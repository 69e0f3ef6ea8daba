//! The operator's file: what the node's own operator wants of it, beside what the platform's file says. TOML; an
//! unknown field is an error. Without the file the node neither reports nor shares quotas.
use super::error::{FileError, NodeError};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// The operator's file.
#[derive(Clone, Default, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// What the node calls itself in its report.
    pub identity: Identity,
    /// The node's report; without it there is none.
    pub report: Option<ReportConfig>,
    /// Tenants' quotas are kept by shares leased between the nodes; without it by each node's own estimate.
    #[serde(rename = "shares")]
    pub quota_shares: Option<QuotaShareConfig>,
}

/// What the node calls itself in its report.
#[derive(Clone, Default, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Identity {
    /// Names the state of program and settings, as whoever changes them calls it.
    pub generation: String,
}

/// Where the report goes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReportConfig {
    /// Lines of JSON are added here.
    pub path: PathBuf,
    /// Between lines: 100 to 60,000 ms.
    #[serde(default = "second")]
    pub every_ms: Spanned<u64>,
    /// A file grown beyond this is moved to `.1`, the one before it is lost: 64 to 1,048,576 KiB.
    #[serde(default = "four_mib")]
    pub keep_kib: Spanned<u64>,
}

/// How tenants' quotas are shared between the nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaShareConfig {
    /// After a change of the number of nodes every node has its new settings within this: 100 to 600,000 ms.
    #[serde(default = "five_seconds")]
    pub informed_ms: Spanned<u64>,
    /// A share that is lent to another node expires after this: 200 to 60,000 ms.
    #[serde(default = "second")]
    pub lease_ms: Spanned<u64>,
    /// A quota holds in any window of this length; what was not used in it is lost: 50 to 60,000 ms.
    #[serde(default = "five_seconds")]
    pub window_ms: Spanned<u64>,
    /// Shares are lent and borrowed by gossip, where the platform allows that; otherwise all nodes have equal shares.
    #[serde(default = "yes")]
    pub notes: bool,
}

fn yes() -> bool {
    true
}
fn five_seconds() -> Spanned<u64> {
    Spanned::new(0..0, 5000)
}
fn second() -> Spanned<u64> {
    Spanned::new(0..0, 1000)
}
fn four_mib() -> Spanned<u64> {
    Spanned::new(0..0, 4096)
}

/// A number of the file, with the values that it may have.
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
    /// It cannot be read, is malformed, or has a number out of its range.
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

    /// The file as it is in force, with what was left out.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_else(|e| format!("# {e}\n"))
    }
}

#[cfg(test)]
mod tests;
