//! Two programs in turn on the same scenario: A B A B, so that a machine whose speed drifts is fair to
//! both, and the ratio of each pair with its spread.
use crate::play::{Program, Run, RunError, play};
use crate::scenario::Scenario;
use std::path::Path;

/// One figure of both sides, pair by pair.
pub struct Row {
    /// Name of the figure.
    pub name: &'static str,
    /// Its values in the runs of the first program.
    pub a: Vec<f64>,
    /// Its values in the runs of the second program.
    pub b: Vec<f64>,
    /// More is better.
    pub higher_is_better: bool,
}

impl Row {
    /// A over B for each pair, lowest first.
    pub fn ratios(&self) -> Vec<f64> {
        let mut all: Vec<f64> = self
            .a
            .iter()
            .zip(&self.b)
            .filter(|(_, b)| **b != 0.0)
            .map(|(a, b)| a / b)
            .collect();
        all.sort_by(f64::total_cmp);
        all
    }

    /// A plain word. A difference counts where all pairs agree on its side and the middle one lies off 1
    /// by more than the pairs differ among themselves.
    pub fn verdict(&self) -> &'static str {
        let r = self.ratios();
        let (Some(least), Some(most)) = (r.first(), r.last()) else {
            return "nothing to compare";
        };
        let middle = r[r.len() / 2];
        let clear =
            r.len() > 1 && (*least > 1.0 || *most < 1.0) && (middle - 1.0).abs() > most - least;
        match (clear, (middle > 1.0) == self.higher_is_better) {
            (false, _) => "within the noise",
            (true, true) => "A is better",
            (true, false) => "B is better",
        }
    }
}

/// The figures that are compared.
pub fn rows(pairs: &[(Run, Run)]) -> Vec<Row> {
    let row = |name, more, of: fn(&Run) -> f64| Row {
        name,
        higher_is_better: more,
        a: pairs.iter().map(|p| of(&p.0)).collect(),
        b: pairs.iter().map(|p| of(&p.1)).collect(),
    };
    vec![
        row("value in time", true, |r| r.tally.value),
        row("latency p50 ms", false, |r| r.tally.latency_ms.p50),
        row("latency p99 ms", false, |r| r.tally.latency_ms.p99),
        row("latency p99.9 ms", false, |r| r.tally.latency_ms.p999),
        row("node CPU us each", false, |r| r.cpu_us()),
        row("forwards each", false, |r| {
            r.tally.forwards as f64 / r.tally.total.asked.max(1) as f64
        }),
        row("fetches each", false, |r| {
            r.tally.fetches as f64 / r.tally.total.asked.max(1) as f64
        }),
    ]
}

/// Plays a scenario with both programs in turn, so many times. `done` is called with each run.
///
/// # Errors
///
/// A run cannot be played.
pub fn compare(
    scenario: &Scenario,
    a: &Program,
    b: &Program,
    pairs: usize,
    folder: &Path,
    mut done: impl FnMut(&Run),
) -> Result<Vec<(Run, Run)>, RunError> {
    let mut all = Vec::new();
    for n in 0..pairs {
        let mut one = |program, side: &str| {
            let run = play(
                scenario,
                program,
                &folder.join(format!("{side}{n}")),
                |_| {},
            )?;
            done(&run);
            Ok(run)
        };
        all.push((one(a, "a")?, one(b, "b")?));
    }
    Ok(all)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(a: &[f64], b: &[f64]) -> Row {
        Row {
            name: "x",
            a: a.to_vec(),
            b: b.to_vec(),
            higher_is_better: false,
        }
    }

    #[test]
    fn a_difference_within_the_pairs_own_spread_is_noise() {
        assert_eq!(
            row(&[1.0, 1.2, 0.9], &[1.0, 1.0, 1.0]).verdict(),
            "within the noise"
        );
        assert_eq!(
            row(&[1.3, 1.31, 1.3], &[1.0, 1.0, 1.0]).verdict(),
            "B is better"
        );
        assert_eq!(
            row(&[1.3, 1.01, 1.3], &[1.0, 1.0, 1.0]).verdict(),
            "B is better"
        );
        assert_eq!(
            row(&[0.5, 0.52, 0.51], &[1.0, 1.0, 1.0]).verdict(),
            "A is better"
        );
        assert_eq!(row(&[0.5], &[1.0]).verdict(), "within the noise");
    }
}
