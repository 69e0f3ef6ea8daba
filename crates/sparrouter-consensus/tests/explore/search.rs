//! Breadth-first search over all states, each visited once: the first breach found is one by as few steps as can be.
use super::system::{Step, System};
use std::collections::HashSet;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Where a search ends if nothing is found.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Steps from the root.
    pub depth: usize,
    /// States kept; a search that meets this limit has not finished its last depth.
    pub states: usize,
}

#[derive(Debug)]
pub struct Found {
    pub what: String,
    pub depth: usize,
    /// One line a step.
    pub trace: Vec<String>,
}

#[derive(Debug)]
pub struct Explored {
    pub states: usize,
    pub transitions: usize,
    /// Every state that takes so many steps or fewer was visited.
    pub depth: usize,
    /// Nothing is left to explore at any depth.
    pub complete: bool,
    pub found: Option<Found>,
    /// States in which a slot beyond the first was chosen: a search that reaches none shows nothing.
    pub with_choice: usize,
}

/// How a state was reached.
struct Visit {
    parent: usize,
    step: Step,
}

struct Search<'a> {
    root: &'a System,
    visits: Vec<Visit>,
    seen: HashSet<u128>,
}

/// Visits all states within the limits, or ends at the first breach.
pub fn explore(root: &System, limits: Limits) -> Explored {
    let mut search = Search {
        root,
        visits: Vec::new(),
        seen: HashSet::from([root.digest()]),
    };
    let mut frontier = vec![(usize::MAX, root.clone())];
    let (mut transitions, mut with_choice) = (0, 0);
    for depth in 1..=limits.depth {
        let mut next = Vec::new();
        for (visit, system) in frontier.drain(..) {
            for step in system.steps() {
                transitions += 1;
                match after(&system, step) {
                    Ok(reached) => {
                        if !search.seen.insert(reached.digest()) {
                            continue;
                        }
                        with_choice += usize::from(reached.chosen_slots() > root.chosen_slots());
                        search.visits.push(Visit {
                            parent: visit,
                            step,
                        });
                        next.push((search.visits.len() - 1, reached));
                    }
                    Err(what) => {
                        let trace = search.trace(visit, step);
                        return Explored {
                            states: search.seen.len(),
                            transitions,
                            depth: depth - 1,
                            complete: false,
                            found: Some(Found { what, depth, trace }),
                            with_choice,
                        };
                    }
                }
            }
            if search.seen.len() >= limits.states {
                return search.ended(transitions, depth - 1, false, with_choice);
            }
        }
        if next.is_empty() {
            return search.ended(transitions, depth - 1, true, with_choice);
        }
        frontier = next;
    }
    search.ended(transitions, limits.depth, false, with_choice)
}

/// The state after a step; an assertion of the code under test counts as a breach.
fn after(system: &System, step: Step) -> Result<System, String> {
    catch_unwind(AssertUnwindSafe(|| system.after(step)))
        .unwrap_or_else(|_| Err("an assertion of the register".to_owned()))
}

impl Search<'_> {
    fn ended(
        &self,
        transitions: usize,
        depth: usize,
        complete: bool,
        with_choice: usize,
    ) -> Explored {
        Explored {
            states: self.seen.len(),
            transitions,
            depth,
            complete,
            found: None,
            with_choice,
        }
    }

    /// The steps from the root, in words: played once more, as only their places were kept.
    fn trace(&self, visit: usize, last: Step) -> Vec<String> {
        let mut steps = vec![last];
        let mut at = visit;
        while let Some(visit) = self.visits.get(at) {
            steps.push(visit.step);
            at = visit.parent;
        }
        steps.reverse();
        let mut system = self.root.clone();
        let mut lines = Vec::new();
        for step in steps {
            lines.push(system.describe(step));
            if let Ok(next) = after(&system, step) {
                system = next;
            }
        }
        lines
    }
}
