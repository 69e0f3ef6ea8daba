//! The slowest answers of a run with all that their forwards did: where to look first.
use super::{ClientAttempt, ClientOutcome, Invocation, ORIGIN};
use crate::{MS, Nanos};

/// So many are kept, no two of one tenth of a second: one stall would fill the list.
const LISTED: usize = 24;

/// The slowest answers so far: how long each took, its tenth of a second, its line.
#[derive(Default)]
pub struct Slowest(Vec<(Nanos, Nanos, String)>);

fn ms(at: Nanos, from: Nanos) -> f64 {
    (at as f64 - from as f64) / MS as f64
}

fn line(id: u64, a: &ClientAttempt, life: &Invocation) -> String {
    let due = a.first_scheduled_at;
    let written = a
        .written_at
        .map_or("never".into(), |w| format!("{:.1}", ms(w, due)));
    let mut text = format!(
        "{:.3} s {id:016x} node {} {:?} after {:.1} ms; written {written}",
        due as f64 / 1e9,
        a.node,
        a.outcome,
        ms(a.ended_at, due)
    );
    let mut forwards: Vec<_> = life.forwards.iter().collect();
    forwards.sort_by_key(|f| f.first_byte_at);
    for f in forwards {
        let to = if f.to == ORIGIN {
            "origin".into()
        } else {
            format!("c{}", f.to)
        };
        text += &format!(
            "; {to} {:.1} to {:.1} {:?}",
            ms(f.first_byte_at, due),
            ms(f.ended_at, due),
            f.outcome
        );
    }
    text
}

impl Slowest {
    pub(crate) fn add(&mut self, id: u64, life: &Invocation) {
        let Some(a) = life.attempt.filter(|a| {
            matches!(
                a.outcome,
                ClientOutcome::Succeeded | ClientOutcome::Errored | ClientOutcome::TimedOut
            )
        }) else {
            return;
        };
        let (took, place) = (
            a.ended_at.saturating_sub(a.first_scheduled_at),
            a.first_scheduled_at / (100 * MS),
        );
        if let Some(same) = self.0.iter_mut().find(|s| s.1 == place) {
            if same.0 >= took {
                return;
            }
            *same = (took, place, line(id, &a, life));
        } else if self.0.len() < LISTED || self.0.last().is_some_and(|s| s.0 < took) {
            self.0.push((took, place, line(id, &a, life)));
        } else {
            return;
        }
        self.0.sort_by_key(|s| std::cmp::Reverse(s.0));
        self.0.truncate(LISTED);
    }
    /// One line an invocation, slowest first.
    pub fn lines(self) -> Vec<String> {
        self.0.into_iter().map(|s| s.2).collect()
    }
}
