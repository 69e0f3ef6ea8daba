//! Whether a history of calls is linearizable: whether some order of them, each taking effect at one moment between its
//! invocation and its response, is one that a sequential model allows.
//!
//! A call without a known outcome may take effect at any moment after its invocation, or never.
//!
//! Sources: Herlihy and Wing, "Linearizability: a correctness condition for concurrent objects", TOPLAS 1990; Wing and
//! Gong, "Testing and verifying concurrent objects", JPDC 1993; the memoisation of configurations (calls placed, state)
//! is Lowe's, "Testing for linearizability", CCPE 2017.

use std::collections::HashSet;
use std::hash::Hash;

/// One call. Invocations and responses of a history are numbered in the order in which they happened, from 0, each
/// number once.
#[derive(Clone, Debug)]
pub struct RecordedCall<Call, Outcome> {
    /// What was called.
    pub call: Call,
    /// Number of the invocation.
    pub invoked_at: usize,
    /// `None` where the outcome is unknown.
    pub response: Option<Response<Outcome>>,
}

/// The response to a call.
#[derive(Clone, Debug)]
pub struct Response<Outcome> {
    /// Number of the response.
    pub received_at: usize,
    /// What the caller learnt.
    pub outcome: Outcome,
}

/// Result of a check. Calls are given by their indices in the history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An order that the model allows.
    Linearizable(Vec<usize>),
    /// There is none.
    NotLinearizable {
        /// The longest order that was found.
        longest: Vec<usize>,
        /// The call that must come next, and cannot in any continuation of `longest`.
        stuck: usize,
    },
    /// The search would visit more configurations than allowed.
    Undecided,
}

/// What the calls mean when they come one after the other.
pub trait SequentialModel {
    /// State between two calls.
    type State: Clone + Eq + Hash;
    /// What is called.
    type Call;
    /// What a caller learns from the response.
    type Outcome;

    /// The state before the first call.
    fn initial(&self) -> Self::State;

    /// The state after a call with this outcome, or `None` where the model does not allow it.
    fn apply(
        &self,
        state: &Self::State,
        call: &Self::Call,
        outcome: &Self::Outcome,
    ) -> Option<Self::State>;

    /// The state after a call whose outcome is unknown, or `None` where it changes nothing: then it need not have
    /// happened.
    fn apply_unanswered(&self, state: &Self::State, call: &Self::Call) -> Option<Self::State>;
}

/// Searches an order of the calls; `max_configurations` bounds the work.
pub fn check<M: SequentialModel>(
    model: &M,
    history: &[RecordedCall<M::Call, M::Outcome>],
    max_configurations: usize,
) -> Verdict {
    Search::new(model, history).run(max_configurations)
}

/// Calls that have their place in the order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CallSet(Vec<u64>);

impl CallSet {
    fn with_capacity(calls: usize) -> CallSet {
        CallSet(vec![0; calls.div_ceil(64)])
    }

    fn flip(&mut self, call: usize) {
        self.0[call / 64] ^= 1 << (call % 64);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Invocation(usize),
    Response(usize),
}

/// The events whose calls have no place in the order yet, as a doubly linked list over fixed slots. Slot 0 is its head.
struct EventList {
    events: Vec<Option<Event>>,
    next: Vec<usize>,
    previous: Vec<usize>,
}

const HEAD: usize = 0;

impl EventList {
    fn new(events_in_order: Vec<Event>) -> EventList {
        let slots = events_in_order.len() + 1;
        let mut events = vec![None];
        events.extend(events_in_order.into_iter().map(Some));
        EventList {
            events,
            next: (0..slots).map(|slot| (slot + 1) % slots).collect(),
            previous: (0..slots).map(|slot| (slot + slots - 1) % slots).collect(),
        }
    }

    fn first(&self) -> usize {
        self.next[HEAD]
    }

    fn unlink(&mut self, slot: usize) {
        let (before, after) = (self.previous[slot], self.next[slot]);
        self.next[before] = after;
        self.previous[after] = before;
    }

    /// Undoes the last `unlink` that is not undone yet.
    fn relink(&mut self, slot: usize) {
        let (before, after) = (self.previous[slot], self.next[slot]);
        self.next[before] = slot;
        self.previous[after] = slot;
    }
}

/// Slots of the two events of a call.
struct CallSlots {
    invocation: usize,
    response: Option<usize>,
}

/// A call that was placed, and the state before it.
struct Step<State> {
    call: usize,
    before: State,
}

/// The longest order that was found, and the call that it got stuck at.
#[derive(Default)]
struct Longest {
    order: Vec<usize>,
    stuck: Option<usize>,
}

struct Search<'a, M: SequentialModel> {
    model: &'a M,
    history: &'a [RecordedCall<M::Call, M::Outcome>],
    list: EventList,
    slots: Vec<CallSlots>,
    placed: CallSet,
    /// Calls with a response that have no place yet.
    unplaced_responses: usize,
    steps: Vec<Step<M::State>>,
    visited: HashSet<(CallSet, M::State)>,
}

/// Invocations and responses of a history, in the order in which they happened.
fn events_in_order<Call, Outcome>(history: &[RecordedCall<Call, Outcome>]) -> Vec<Event> {
    let mut numbered: Vec<(usize, Event)> = Vec::new();
    for (call, recorded) in history.iter().enumerate() {
        numbered.push((recorded.invoked_at, Event::Invocation(call)));
        if let Some(response) = &recorded.response {
            numbered.push((response.received_at, Event::Response(call)));
        }
    }
    numbered.sort_by_key(|(number, _)| *number);
    numbered.into_iter().map(|(_, event)| event).collect()
}

impl<'a, M: SequentialModel> Search<'a, M> {
    fn new(model: &'a M, history: &'a [RecordedCall<M::Call, M::Outcome>]) -> Search<'a, M> {
        let events = events_in_order(history);
        let slot_of = |event: Event| events.iter().position(|e| *e == event).map(|p| p + 1);
        let slots = (0..history.len())
            .map(|call| CallSlots {
                invocation: slot_of(Event::Invocation(call)).unwrap_or(HEAD),
                response: slot_of(Event::Response(call)),
            })
            .collect();
        Search {
            model,
            history,
            slots,
            list: EventList::new(events),
            placed: CallSet::with_capacity(history.len()),
            unplaced_responses: history.iter().filter(|c| c.response.is_some()).count(),
            steps: Vec::new(),
            visited: HashSet::new(),
        }
    }

    fn run(mut self, max_configurations: usize) -> Verdict {
        let mut state = self.model.initial();
        let mut longest = Longest::default();
        let mut slot = self.list.first();
        while self.unplaced_responses > 0 {
            if self.visited.len() > max_configurations {
                return Verdict::Undecided;
            }
            if let Some(Event::Invocation(call)) = self.list.events[slot] {
                if let Some(after) = self.new_state(call, &state) {
                    self.place(call, std::mem::replace(&mut state, after));
                    slot = self.list.first();
                } else {
                    slot = self.list.next[slot];
                }
                continue;
            }
            // A response before any call that may come next, or the end of the list: there is no continuation.
            if let Some(Event::Response(call)) = self.list.events[slot] {
                self.update_longest(call, &mut longest);
            }
            let Some(step) = self.steps.pop() else {
                return Verdict::NotLinearizable {
                    longest: longest.order,
                    stuck: longest.stuck.unwrap_or_default(),
                };
            };
            self.undo(step.call);
            state = step.before;
            slot = self.list.next[self.slots[step.call].invocation];
        }
        Verdict::Linearizable(self.order())
    }

    fn update_longest(&self, call: usize, longest: &mut Longest) {
        if longest.stuck.is_none() || self.steps.len() > longest.order.len() {
            longest.order = self.order();
            longest.stuck = Some(call);
        }
    }

    fn order(&self) -> Vec<usize> {
        self.steps.iter().map(|step| step.call).collect()
    }

    /// The state with this call next, if the model allows it and that configuration was not visited before.
    fn new_state(&mut self, call: usize, state: &M::State) -> Option<M::State> {
        let recorded = &self.history[call];
        let after = match &recorded.response {
            Some(response) => self.model.apply(state, &recorded.call, &response.outcome),
            None => self.model.apply_unanswered(state, &recorded.call),
        }?;
        let mut placed = self.placed.clone();
        placed.flip(call);
        self.visited
            .insert((placed, after.clone()))
            .then_some(after)
    }

    fn place(&mut self, call: usize, before: M::State) {
        self.list.unlink(self.slots[call].invocation);
        if let Some(response) = self.slots[call].response {
            self.list.unlink(response);
            self.unplaced_responses -= 1;
        }
        self.placed.flip(call);
        self.steps.push(Step { call, before });
    }

    fn undo(&mut self, call: usize) {
        if let Some(response) = self.slots[call].response {
            self.list.relink(response);
            self.unplaced_responses += 1;
        }
        self.list.relink(self.slots[call].invocation);
        self.placed.flip(call);
    }
}
