//! Breadth-first search over all states, each visited once, so that the first violation found has a shortest trace.
use super::step::Step;
use super::system::System;
use super::violation::Violation;
use std::collections::HashSet;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Limits at which a search ends if it finds no violation.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of steps from the root.
    pub depth: usize,
    /// Maximum number of visited states. A search that reaches this limit has not completed its last depth.
    pub states: usize,
}

/// A violation and a shortest trace to it.
#[derive(Debug)]
pub struct Counterexample {
    pub violation: Violation,
    pub depth: usize,
    /// One line per step.
    pub trace: Vec<String>,
}

/// The result of a search.
#[derive(Debug, Default)]
pub struct Explored {
    pub states: usize,
    pub transitions: usize,
    /// All states that can be reached with at most this number of steps were visited.
    pub depth: usize,
    /// Whether all reachable states were visited.
    pub is_complete: bool,
    pub counterexample: Option<Counterexample>,
    /// Number of states with a slot that was chosen after the root; without such states a search proves nothing.
    pub states_with_new_slot: usize,
}

/// The step by which a state was reached.
struct Visit {
    parent: usize,
    step: Step,
}

struct Search<'a> {
    root: &'a System,
    limits: Limits,
    visits: Vec<Visit>,
    /// Digests of the visited states.
    visited: HashSet<u128>,
    explored: Explored,
}

/// The states whose steps are to be explored, each with the index of its visit.
type Frontier = Vec<(usize, System)>;

/// Visits all states within the limits; stops at the first violation.
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

/// The state after a step. A failed assertion of the code under test counts as a violation.
fn after(system: &System, step: Step) -> Result<System, Violation> {
    catch_unwind(AssertUnwindSafe(|| system.after(step))).unwrap_or(Err(Violation::AssertionFailed))
}

impl Search<'_> {
    /// Tries all steps of the states of one depth. Returns the states of the next depth, or `None` if the search ends.
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

    /// Records a state and returns it with the index of its visit; `None` if it was visited before.
    fn visit(&mut self, parent: usize, step: Step, state: System) -> Option<(usize, System)> {
        if !self.visited.insert(state.digest()) {
            return None;
        }
        let has_new_slot = state.chosen_slots() > self.root.chosen_slots();
        self.explored.states_with_new_slot += usize::from(has_new_slot);
        self.visits.push(Visit { parent, step });
        Some((self.visits.len() - 1, state))
    }

    /// Descriptions of the steps from the root. The steps are executed again, because a visit contains only indexes of
    /// messages, calls and nodes.
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
