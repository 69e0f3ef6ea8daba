//! The history of calls and answers, checked for linearizability as a compare-and-set register.
//!
//! Source: Wing and Gong, "Testing and verifying concurrent objects", JPDC 1993: try each call that started before any
//! other remaining call finished as the first one, and continue with the remaining calls.
use super::body::{APPLIED, INITIAL, MISMATCH};
use super::digest::digest_of;
use super::scope::{Call, CallKind};
use sparrouter_consensus::Outcome;

#[derive(Clone, Debug)]
pub enum Event {
    Invoked { call: usize },
    Completed { call: usize, outcome: Outcome },
}

#[derive(Clone, Debug, Default)]
pub struct History {
    events: Vec<Event>,
    digest: u128,
}

struct Operation<'a> {
    call: &'a Call,
    /// Index of the `Invoked` event.
    invoked: usize,
    /// Index of the `Completed` event; `None` if the call is pending.
    completed: Option<usize>,
    outcome: Option<&'a Outcome>,
}

impl Operation<'_> {
    /// Whether the operation must have taken effect by the end of the history.
    fn must_take_effect(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Answered(_)))
    }

    fn may_take_effect(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Rejected(_)))
    }

    /// The value after the operation; `None` if its answer is impossible on this value.
    fn apply(&self, value: &[u8]) -> Option<Vec<u8>> {
        let (next, answer) = match self.call.kind {
            CallKind::Read => (value.to_vec(), value.to_vec()),
            CallKind::Change { expected, new } if value == [expected] => {
                (vec![new], APPLIED.to_vec())
            }
            CallKind::Change { .. } => (value.to_vec(), MISMATCH.to_vec()),
        };
        match self.outcome {
            Some(Outcome::Answered(actual)) => (*actual == answer).then_some(next),
            _ => Some(next),
        }
    }
}

impl History {
    pub fn record_invocation(&mut self, call: usize) {
        self.push(Event::Invoked { call });
    }

    pub fn record_completion(&mut self, call: usize, outcome: Outcome) {
        self.push(Event::Completed { call, outcome });
    }

    fn push(&mut self, event: Event) {
        let index = self.events.len();
        self.digest = self.digest.wrapping_add(digest_of(&(index, &event)));
        self.events.push(event);
    }

    /// Digest of all events and their order.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Whether the answers are possible for some sequential order of the calls that respects their real-time order.
    pub fn is_linearizable(&self, calls: &[Call]) -> bool {
        let operations = self.operations(calls);
        let unordered: Vec<usize> = (0..operations.len()).collect();
        can_linearize(&operations, &unordered, INITIAL)
    }

    /// The calls and answers in order, as text for the report of a violation.
    pub fn summary(&self) -> String {
        let lines = self.events.iter().map(|event| match event {
            Event::Invoked { call } => format!("call {call} starts"),
            Event::Completed {
                call,
                outcome: Outcome::Answered(answer),
            } => format!(
                "call {call} is answered {:?}",
                String::from_utf8_lossy(answer)
            ),
            Event::Completed { call, outcome } => format!("call {call} ends with {outcome:?}"),
        });
        lines.collect::<Vec<_>>().join(", ")
    }

    fn operations<'a>(&'a self, calls: &'a [Call]) -> Vec<Operation<'a>> {
        let mut operations = Vec::new();
        for (index, event) in self.events.iter().enumerate() {
            let Event::Invoked { call } = event else {
                continue;
            };
            let end = self
                .events
                .iter()
                .enumerate()
                .find_map(|(index, e)| match e {
                    Event::Completed { call: c, outcome } if c == call => Some((index, outcome)),
                    _ => None,
                });
            let operation = Operation {
                call: &calls[*call],
                invoked: index,
                completed: end.map(|e| e.0),
                outcome: end.map(|e| e.1),
            };
            if operation.may_take_effect() {
                operations.push(operation);
            }
        }
        operations
    }
}

/// Whether the operations with the indexes `unordered` can take effect in some order on this value.
fn can_linearize(operations: &[Operation], unordered: &[usize], value: &[u8]) -> bool {
    if unordered.iter().all(|&i| !operations[i].must_take_effect()) {
        return true;
    }
    let first_completion = unordered
        .iter()
        .filter_map(|&i| operations[i].completed)
        .min();
    unordered.iter().any(|&candidate| {
        let operation = &operations[candidate];
        if first_completion.is_some_and(|completion| completion < operation.invoked) {
            return false;
        }
        let Some(next) = operation.apply(value) else {
            return false;
        };
        let remaining: Vec<usize> = unordered
            .iter()
            .copied()
            .filter(|&i| i != candidate)
            .collect();
        can_linearize(operations, &remaining, &next)
    })
}
