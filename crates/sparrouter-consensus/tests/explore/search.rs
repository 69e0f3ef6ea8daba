//! Breadth-first search over all states, each visited once: the first violation is one by as few steps as can be.
use super::step::Step;
use super::system::System;
use super::violation::Violation;
use std::collections::HashSet;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Where a search ends if nothing is found.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Steps from the root.
    pub depth: usize,
    /// States visited; a search that meets this limit has not finished its last depth.
    pub states: usize,
}

/// A violation and a shortest way to it.
#[derive(Debug)]
pub struct Counterexample {
    pub violation: Violation,
    pub depth: usize,
    /// One line a step.
    pub trace: Vec<String>,
}

/// What a search visited.
#[derive(Debug, Default)]
pub struct Explored {
    pub states: usize,
    pub transitions: usize,
    /// Every state that takes so many steps or fewer was visited.
    pub depth: usize,
    /// Nothing is left to explore at any depth.
    pub is_complete: bool,
    pub counterexample: Option<Counterexample>,
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
    limits: Limits,
    visits: Vec<Visit>,
    /// Digests of the states visited.
    visited: HashSet<u128>,
    explored: Explored,
}

/// A state whose steps are to be tried, with the index of its visit.
type Frontier = Vec<(usize, System)>;

/// Visits all states within the limits, or ends at the first violation.
pub fn explore(root: &System, limits: Limits) -> Explored {
    let mut search = Search {
        root,
        limits,
        visits: Vec::new(),
        visited: HashSet::from([root.digest()]),
        explored: Explored::default(),
    };
    let mut frontier = vec![(usize::MAX, root.clone())];
    for depth in 1..=limits.depth {
        let Some(next) = search.explore_depth(frontier, depth) else {
            break;
        };
        search.explored.is_complete = next.is_empty();
        if next.is_empty() {
            break;
        }
        search.explored.depth = depth;
        frontier = next;
    }
    search.explored.states = search.visited.len();
    search.explored
}

/// The state after a step; an assertion of the code under test counts as a violation.
fn after(system: &System, step: Step) -> Result<System, Violation> {
    catch_unwind(AssertUnwindSafe(|| system.after(step))).unwrap_or(Err(Violation::AssertionFailed))
}

impl Search<'_> {
    /// Tries all steps out of the states of one depth; the states of the next one, or `None` if the search ends.
    fn explore_depth(&mut self, frontier: Frontier, depth: usize) -> Option<Frontier> {
        let mut next = Vec::new();
        for (visit, system) in frontier {
            for step in system.steps() {
                self.explored.transitions += 1;
                match after(&system, step) {
                    Ok(reached) => next.extend(self.visit(visit, step, reached)),
                    Err(violation) => {
                        let trace = self.trace(visit, step);
                        self.explored.counterexample = Some(Counterexample {
                            violation,
                            depth,
                            trace,
                        });
                        return None;
                    }
                }
            }
            if self.visited.len() >= self.limits.states {
                return None;
            }
        }
        Some(next)
    }

    /// Notes a state; `None` if it was visited before.
    fn visit(&mut self, parent: usize, step: Step, state: System) -> Option<(usize, System)> {
        if !self.visited.insert(state.digest()) {
            return None;
        }
        let has_choice = state.chosen_slots() > self.root.chosen_slots();
        self.explored.with_choice += usize::from(has_choice);
        self.visits.push(Visit { parent, step });
        Some((self.visits.len() - 1, state))
    }

    /// Descriptions of the steps from the root. They are played once more, as a visit has only the step's indexes.
    fn trace(&self, visit: usize, last: Step) -> Vec<String> {
        let mut steps = vec![last];
        let mut index = visit;
        while let Some(visit) = self.visits.get(index) {
            steps.push(visit.step);
            index = visit.parent;
        }
        steps.reverse();
        let mut system = self.root.clone();
        let mut descriptions = Vec::new();
        for step in steps {
            descriptions.push(system.describe(step));
            if let Ok(next) = after(&system, step) {
                system = next;
            }
        }
        descriptions
    }
}
