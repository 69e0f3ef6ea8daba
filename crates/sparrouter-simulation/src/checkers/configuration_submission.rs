//! CONFIG and LOST of the operator: of two changes on the same version one at most is acknowledged, an accepted one is
//! not rejected, and what was acknowledged is read back.

use super::{Checker, Context};
use crate::monitor::Submission;

/// See the module.
pub(super) struct ConfigurationSubmission;

/// The value of `"version":` in a configuration as JSON.
fn version_in(text: &str) -> Option<u64> {
    let (_, after) = text.split_once("\"version\":")?;
    after.split([',', '}']).next()?.trim().parse().ok()
}

impl Checker for ConfigurationSubmission {
    fn configuration_acknowledged(&mut self, submission: &Submission, context: &mut Context) {
        let version = submission.configuration.version;
        if !submission.is_valid {
            let description = format!("the invalid {version} was acknowledged");
            context.violated("CONFIG", description);
        }
        let is_rival = |other: &&Submission| {
            other.base == submission.base
                && other.acknowledged_at.is_some()
                && other.configuration != submission.configuration
        };
        let submissions = context.observations.submissions.iter();
        let rivals = submissions.filter(is_rival);
        let rivals: Vec<u64> = rivals.map(|rival| rival.configuration.version).collect();
        if !rivals.is_empty() {
            let base = submission.base;
            context.violated(
                "CONFIG",
                format!("{version} and {rivals:?}, both on {base}, were acknowledged"),
            );
        }
    }

    fn configuration_rejected(
        &mut self,
        submission: &Submission,
        status: u16,
        context: &mut Context,
    ) {
        // A submission that equals an accepted one does not count as rejected.
        if !submission.is_rejected {
            let version = submission.configuration.version;
            context.violated(
                "CONFIG",
                format!("{version} is rejected with {status}, and has been accepted"),
            );
        }
    }

    fn configuration_read(&mut self, status: u16, text: &str, context: &mut Context) {
        let observations = context.observations;
        let Some(newest) = observations.newest_acknowledged() else {
            return;
        };
        let acknowledged = newest.configuration.version;
        let version = version_in(text);
        if status != 200 || version.is_none_or(|version| version < acknowledged) {
            return context.violated(
                "LOST",
                format!("{acknowledged} was acknowledged, read back: {status} {version:?}"),
            );
        }
        let is_known = observations
            .submissions
            .iter()
            .any(|s| s.may_be_in_force() && text == s.configuration.json());
        if !is_known {
            context.violated(
                "CONFIG",
                format!("{version:?} is read back, which is not what was sent under that number"),
            );
        }
    }
}
