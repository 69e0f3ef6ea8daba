//! Calls and answers in the order in which they happened, checked against one word that is changed by compare-and-set.
//!
//! Source: Wing and Gong, "Testing and verifying concurrent objects", JPDC 1993: try each call that no other one
//! finished before, and go on.
use super::body::{FIRST, MISMATCH, TAKEN};
use super::digest::digest_of;
use super::scope::{Call, CallKind};
use sparrouter_consensus::Outcome;

#[derive(Clone, Debug)]
pub enum Event {
    Called { call: usize },
    Ended { call: usize, outcome: Outcome },
}

#[derive(Clone, Debug, Default)]
pub struct History {
    events: Vec<Event>,
    digest: u128,
}

struct Operation<'a> {
    call: &'a Call,
    called: usize,
    ended: Option<usize>,
    outcome: Option<&'a Outcome>,
}

impl Operation<'_> {
    /// Whether it must have happened by the end of the history.
    fn must_happen(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Answered(_)))
    }

    fn may_happen(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Rejected(_)))
    }

    /// The word after it, if it can happen on this one.
    fn on(&self, word: &[u8]) -> Option<Vec<u8>> {
        let (next, answer) = match self.call.kind {
            CallKind::Read => (word.to_vec(), word.to_vec()),
            CallKind::Change { expected, new } if word == [expected] => (vec![new], TAKEN.to_vec()),
            CallKind::Change { .. } => (word.to_vec(), MISMATCH.to_vec()),
        };
        match self.outcome {
            Some(Outcome::Answered(given)) => (*given == answer).then_some(next),
            _ => Some(next),
        }
    }
}

impl History {
    pub fn called(&mut self, call: usize) {
        self.push(Event::Called { call });
    }

    pub fn ended(&mut self, call: usize, outcome: Outcome) {
        self.push(Event::Ended { call, outcome });
    }

    fn push(&mut self, event: Event) {
        let place = self.events.len();
        self.digest = self.digest.wrapping_add(digest_of(&(place, &event)));
        self.events.push(event);
    }

    /// Of all events in their order.
    pub fn digest(&self) -> u128 {
        self.digest
    }

    /// Whether some order of the calls, in keeping with their times, gives the answers that were given.
    pub fn is_linearizable(&self, calls: &[Call]) -> bool {
        let operations = self.operations(calls);
        let open: Vec<usize> = (0..operations.len()).collect();
        goes_on(&operations, &open, FIRST)
    }

    /// Calls and answers in their order, for a reader of a breach.
    pub fn in_words(&self) -> String {
        let words = self.events.iter().map(|event| match event {
            Event::Called { call } => format!("call {call} begins"),
            Event::Ended {
                call,
                outcome: Outcome::Answered(answer),
            } => format!(
                "call {call} is answered {:?}",
                String::from_utf8_lossy(answer)
            ),
            Event::Ended { call, outcome } => format!("call {call} ends with {outcome:?}"),
        });
        words.collect::<Vec<_>>().join(", ")
    }

    fn operations<'a>(&'a self, calls: &'a [Call]) -> Vec<Operation<'a>> {
        let mut operations = Vec::new();
        for (at, event) in self.events.iter().enumerate() {
            let Event::Called { call } = event else {
                continue;
            };
            let end = self.events.iter().enumerate().find_map(|(at, e)| match e {
                Event::Ended { call: c, outcome } if c == call => Some((at, outcome)),
                _ => None,
            });
            let operation = Operation {
                call: &calls[*call],
                called: at,
                ended: end.map(|e| e.0),
                outcome: end.map(|e| e.1),
            };
            if operation.may_happen() {
                operations.push(operation);
            }
        }
        operations
    }
}

/// Whether the open operations can follow on this word.
fn goes_on(operations: &[Operation], open: &[usize], word: &[u8]) -> bool {
    if open.iter().all(|&i| !operations[i].must_happen()) {
        return true;
    }
    let first_end = open.iter().filter_map(|&i| operations[i].ended).min();
    open.iter().any(|&candidate| {
        let operation = &operations[candidate];
        if first_end.is_some_and(|end| end < operation.called) {
            return false;
        }
        let Some(next) = operation.on(word) else {
            return false;
        };
        let rest: Vec<usize> = open.iter().copied().filter(|&i| i != candidate).collect();
        goes_on(operations, &rest, &next)
    })
}
