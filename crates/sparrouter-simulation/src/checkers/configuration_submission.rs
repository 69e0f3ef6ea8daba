//! CONFIG and LOST of the operator: of two changes on the same version one at most is acknowledged, an accepted one is
//! not rejected, and what was acknowledged is read back.

use super::{Checker, Violation};
use crate::monitor::{Event, Observations, Submission, SubmissionId};

/// See the module.
pub(super) struct ConfigurationSubmission;

fn check_acknowledged(
    submission: &Submission,
    observations: &Observations,
    violations: &mut Vec<Violation>,
) {
    let version = submission.configuration.version;
    if !submission.is_valid {
        violations.push(Violation::new(
            "CONFIG",
            format!("the invalid {version} was acknowledged"),
        ));
    }
    let is_rival = |other: &&Submission| {
        other.base == submission.base
            && other.acknowledged_at.is_some()
            && other.configuration != submission.configuration
    };
    let rivals: Vec<u64> = observations
        .submissions
        .iter()
        .filter(is_rival)
        .map(|rival| rival.configuration.version)
        .collect();
    if !rivals.is_empty() {
        let base = submission.base;
        violations.push(Violation::new(
            "CONFIG",
            format!("{version} and {rivals:?}, both on {base}, were acknowledged"),
        ));
    }
}

fn check_rejected(id: SubmissionId, status: u16, observations: &Observations) -> Option<Violation> {
    let submission = observations.submission(id);
    let version = submission.configuration.version;
    // A submission that equals an accepted one does not count as rejected.
    (!submission.is_rejected).then(|| {
        Violation::new(
            "CONFIG",
            format!("{version} is rejected with {status}, and has been accepted"),
        )
    })
}

/// The value of `"version":` in a configuration as JSON.
fn version_in(text: &str) -> Option<u64> {
    let (_, after) = text.split_once("\"version\":")?;
    after.split([',', '}']).next()?.trim().parse().ok()
}

fn check_read(status: u16, text: &str, observations: &Observations) -> Option<Violation> {
    let acknowledged = observations.newest_acknowledged()?.configuration.version;
    let version = version_in(text);
    if status != 200 || version.is_none_or(|version| version < acknowledged) {
        return Some(Violation::new(
            "LOST",
            format!("{acknowledged} was acknowledged, read back: {status} {version:?}"),
        ));
    }
    let is_known = observations
        .submissions
        .iter()
        .any(|s| s.may_be_in_force() && text == s.configuration.json());
    (!is_known).then(|| {
        Violation::new(
            "CONFIG",
            format!("{version:?} is read back, which is not what was sent under that number"),
        )
    })
}

impl Checker for ConfigurationSubmission {
    fn on_event(
        &mut self,
        event: Event,
        observations: &Observations,
        violations: &mut Vec<Violation>,
    ) {
        match event {
            Event::ConfigurationAcknowledged(id) => {
                check_acknowledged(observations.submission(id), observations, violations);
            }
            Event::ConfigurationRejected { submission, status } => {
                violations.extend(check_rejected(submission, status, observations));
            }
            Event::ConfigurationRead { status, text } => {
                violations.extend(check_read(status, text, observations));
            }
            _ => {}
        }
    }
}
