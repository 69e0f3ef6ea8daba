//! Collects what is wrong with a scenario.

/// One field that makes a scenario unplayable.
pub(in crate::scenario) struct Problem {
    /// As in `fault[2].part`.
    pub(in crate::scenario) field: String,
    /// What is wrong, and what is allowed.
    pub(in crate::scenario) reason: String,
}

/// The problems found so far.
#[derive(Default)]
pub(super) struct Report {
    problems: Vec<Problem>,
}

impl Report {
    /// Adds a problem where the value is outside `min..=max`, or not a number.
    pub(super) fn range(&mut self, field: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            let reason = format!("{value} is not allowed; {min} to {max} is");
            self.add(field, reason);
        }
    }

    /// Adds a problem where the span runs backwards, or leaves `0..=max`.
    pub(super) fn span(&mut self, field: &str, [from, to]: [f64; 2], max: f64) {
        if from > to {
            let reason = format!("the range [{from}, {to}] runs backwards");
            self.add(field, reason);
        }
        self.range(field, from, 0.0, max);
        self.range(field, to, 0.0, max);
    }

    pub(super) fn add(&mut self, field: &str, reason: impl Into<String>) {
        self.problems.push(Problem {
            field: field.into(),
            reason: reason.into(),
        });
    }

    pub(super) fn into_problems(self) -> Vec<Problem> {
        self.problems
    }
}
