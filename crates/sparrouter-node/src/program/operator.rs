//! The operator's file: what the node's own operator wants of it, beside what the platform tells it. TOML; an
//! unknown field is an error. Without it nothing here acts.
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use toml::Spanned;

#[derive(Clone, Default, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    pub identity: Identity,
    pub report: Option<Report>,
    /// Tenants' quotas are kept by leases between the nodes; without it by each node's own guess.
    pub shares: Option<Shares>,
}

#[derive(Clone, Default, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Identity {
    /// Names the state of program and settings, as whoever changes them calls it.
    pub generation: String,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Lines of JSON are added here.
    pub path: PathBuf,
    /// Between lines: 100 to 60,000 ms.
    #[serde(default = "second")]
    pub every_ms: Spanned<u64>,
    /// A file grown beyond this is moved to `.1`, the one before it is lost: 64 to 1,048,576 KiB.
    #[serde(default = "four_mib")]
    pub keep_kib: Spanned<u64>,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shares {
    /// After a change of the number of nodes every node has been told within this: 100 to 600,000 ms.
    #[serde(default = "five_seconds")]
    pub informed_ms: Spanned<u64>,
    /// What is lent to another node ends by itself after this: 200 to 60,000 ms.
    #[serde(default = "second")]
    pub lease_ms: Spanned<u64>,
    /// A quota holds in any window of this length; what was not used in it is lost: 50 to 60,000 ms.
    #[serde(default = "five_seconds")]
    pub window_ms: Spanned<u64>,
    /// TenantQuotas are lent and borrowed by notes, where the platform allows those; otherwise each is one over the nodes.
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

impl Operator {
    pub fn load(path: &Path) -> Result<Operator, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Operator::read(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    fn read(text: &str) -> Result<Operator, String> {
        let operator: Operator = toml::from_str(text).map_err(|e| e.to_string())?;
        let report = operator.report.iter().flat_map(|r| {
            [
                ("report.every_ms", &r.every_ms, 100..=60_000),
                ("report.keep_kib", &r.keep_kib, 64..=1 << 20),
            ]
        });
        let shares = operator.shares.iter().flat_map(|s| {
            [
                ("shares.informed_ms", &s.informed_ms, 100..=600_000),
                ("shares.lease_ms", &s.lease_ms, 200..=60_000),
                ("shares.window_ms", &s.window_ms, 50..=60_000),
            ]
        });
        for (field, value, allowed) in report.chain(shares) {
            if !allowed.contains(value.get_ref()) {
                let line = text[..value.span().start.min(text.len())]
                    .matches('\n')
                    .count()
                    + 1;
                let (least, most) = (allowed.start(), allowed.end());
                return Err(format!(
                    "line {line}, {field}: {} is not from {least} to {most}",
                    value.get_ref()
                ));
            }
        }
        Ok(operator)
    }

    /// The file as it is in force, with what was left out.
    pub fn shown(&self) -> String {
        toml::to_string(self).unwrap_or_else(|e| format!("# {e}\n"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn errors_name_line_and_field_and_what_is_left_out_is_shown() {
        for (text, part) in [
            (
                "[report]\npath = \"x\"\nevery_ms = 5\n",
                "line 3, report.every_ms: 5 is not from 100 to 60000",
            ),
            (
                "[report]\npath = \"x\"\nkeep_kib = 1\n",
                "line 3, report.keep_kib",
            ),
            ("[report]\nevery_ms = 500\n", "path"),
            ("[identity]\ngenerations = \"a\"\n", "generations"),
            ("generation = \"a\"\n", "generation"),
            ("[report\n", "line 1"),
            (
                "[shares]\n\nlease_ms = 50\n",
                "line 3, shares.lease_ms: 50 is not from 200 to 60000",
            ),
            ("[shares]\nlease = 50\n", "lease"),
        ] {
            let error = Operator::read(text).unwrap_err();
            assert!(error.contains(part), "{error}");
        }
        let shown = Operator::read("[report]\npath = \"x\"\n").unwrap().shown();
        assert!(
            shown.contains("every_ms = 1000") && shown.contains("keep_kib = 4096"),
            "{shown}"
        );
        assert!(Operator::read("").unwrap().report.is_none());
    }
}
