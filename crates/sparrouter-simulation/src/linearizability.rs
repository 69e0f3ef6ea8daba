//! Whether a history of calls is linearizable: whether some order of them, each taking effect at one moment between its
//! invocation and its response, is one that a sequential model allows.
//!
//! A call without a known outcome may take effect at any moment after its invocation, or never.
//!
//! Sources: Herlihy and Wing, "Linearizability: a correctness condition for concurrent objects", TOPLAS 1990; Wing and
//! Gong, "Testing and verifying concurrent objects", JPDC 1993; the memoisation of configurations (calls done, state) is
//! Lowe's, "Testing for linearizability", CCPE 2017.
use std::collections::HashSet;
use std::hash::Hash;

/// What the calls mean when they come one after the other.
pub trait SequentialModel {
    type State: Clone + Eq + Hash;
    type Call;
    type Outcome;

    fn initial(&self) -> Self::State;

    /// The state after a call with this outcome, or None where the model does not allow it.
    fn apply(
        &self,
        state: &Self::State,
        call: &Self::Call,
        outcome: &Self::Outcome,
    ) -> Option<Self::State>;

    /// The state after a call whose outcome nobody heard of, or None where it changes nothing: then it need not have
    /// happened.
    fn apply_unanswered(&self, state: &Self::State, call: &Self::Call) -> Option<Self::State>;
}

/// One call. Invocations and responses of a history are numbered in the order in which they happened, from 0, each
/// number once.
#[derive(Clone, Debug)]
pub struct RecordedCall<Call, Outcome> {
    pub call: Call,
    pub invoked: usize,
    /// None where nobody heard how it ended.
    pub response: Option<Response<Outcome>>,
}

#[derive(Clone, Debug)]
pub struct Response<Outcome> {
    pub at: usize,
    pub outcome: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Places of the calls in an order that the model allows.
    Linearizable(Vec<usize>),
    /// The longest order that was found, and the call that must come next in none of its continuations.
    NotLinearizable { longest: Vec<usize>, stuck: usize },
    /// More configurations than allowed were looked at.
    Undecided,
}

/// Looks for an order of the calls; `most_configurations` bounds the work.
pub fn check<M: SequentialModel>(
    model: &M,
    history: &[RecordedCall<M::Call, M::Outcome>],
    most_configurations: usize,
) -> Verdict {
    Search::new(model, history).run(most_configurations)
}

/// Places of calls that are already part of the order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CallSet(Vec<u64>);

impl CallSet {
    fn with_capacity(calls: usize) -> CallSet {
        CallSet(vec![0; calls.div_ceil(64)])
    }
    fn flip(&mut self, index: usize) {
        self.0[index / 64] ^= 1 << (index % 64);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Invocation(usize),
    Response(usize),
}

/// The events that are not part of the order yet, as a doubly linked list over fixed places; place 0 is its head.
struct EventList {
    events: Vec<Option<Event>>,
    next: Vec<usize>,
    previous: Vec<usize>,
}

const HEAD: usize = 0;

impl EventList {
    fn new(in_order: Vec<Event>) -> EventList {
        let indices = in_order.len() + 1;
        let mut events = vec![None];
        events.extend(in_order.into_iter().map(Some));
        EventList {
            events,
            next: (0..indices).map(|p| (p + 1) % indices).collect(),
            previous: (0..indices).map(|p| (p + indices - 1) % indices).collect(),
        }
    }

    fn unlink(&mut self, index: usize) {
        let (before, after) = (self.previous[index], self.next[index]);
        self.next[before] = after;
        self.previous[after] = before;
    }

    /// Undoes the last `unlink` that is not undone yet.
    fn relink(&mut self, index: usize) {
        let (before, after) = (self.previous[index], self.next[index]);
        self.next[before] = index;
        self.previous[after] = index;
    }
}

/// Where the two events of a call stand in the list.
struct ListIndices {
    invocation: usize,
    response: Option<usize>,
}

/// A call that was put into the order, and the state before it.
struct Step<State> {
    call: usize,
    before: State,
}

struct Search<'a, M: SequentialModel> {
    model: &'a M,
    history: &'a [RecordedCall<M::Call, M::Outcome>],
    list: EventList,
    indices: Vec<ListIndices>,
    done: CallSet,
    /// Calls with a response that are not part of the order yet.
    unplaced_responses: usize,
    steps: Vec<Step<M::State>>,
    seen: HashSet<(CallSet, M::State)>,
}

impl<'a, M: SequentialModel> Search<'a, M> {
    fn new(model: &'a M, history: &'a [RecordedCall<M::Call, M::Outcome>]) -> Search<'a, M> {
        let mut events: Vec<(usize, Event)> = Vec::new();
        for (call, recorded) in history.iter().enumerate() {
            events.push((recorded.invoked, Event::Invocation(call)));
            events.extend(
                recorded
                    .response
                    .as_ref()
                    .map(|r| (r.at, Event::Response(call))),
            );
        }
        events.sort_by_key(|(at, _)| *at);
        let in_order: Vec<Event> = events.into_iter().map(|(_, event)| event).collect();
        let place_of = |event: Event| in_order.iter().position(|e| *e == event).map(|p| p + 1);
        let indices = (0..history.len())
            .map(|call| ListIndices {
                invocation: place_of(Event::Invocation(call)).unwrap_or(HEAD),
                response: place_of(Event::Response(call)),
            })
            .collect();
        Search {
            model,
            history,
            indices,
            list: EventList::new(in_order),
            done: CallSet::with_capacity(history.len()),
            unplaced_responses: history.iter().filter(|c| c.response.is_some()).count(),
            steps: Vec::new(),
            seen: HashSet::new(),
        }
    }

    fn run(mut self, most_configurations: usize) -> Verdict {
        let mut state = self.model.initial();
        let mut longest: Vec<usize> = Vec::new();
        let mut stuck = None;
        let mut at = self.list.next[HEAD];
        while self.unplaced_responses > 0 {
            if self.seen.len() > most_configurations {
                return Verdict::Undecided;
            }
            if let Some(Event::Invocation(call)) = self.list.events[at] {
                match self.new_state(call, &state) {
                    Some(after) => {
                        self.put(call, std::mem::replace(&mut state, after));
                        at = self.list.next[HEAD];
                    }
                    None => at = self.list.next[at],
                }
                continue;
            }
            // A response that comes before any call that may be next, or the end of the list: no continuation.
            if let Some(Event::Response(call)) = self.list.events[at]
                && (stuck.is_none() || self.steps.len() > longest.len())
            {
                longest = self.order();
                stuck = Some(call);
            }
            let Some(step) = self.steps.pop() else {
                let stuck = stuck.unwrap_or_default();
                return Verdict::NotLinearizable { longest, stuck };
            };
            self.undo(step.call);
            state = step.before;
            at = self.list.next[self.indices[step.call].invocation];
        }
        Verdict::Linearizable(self.order())
    }

    fn order(&self) -> Vec<usize> {
        self.steps.iter().map(|step| step.call).collect()
    }

    /// The state with this call next, if the model allows it and that configuration was not looked at before.
    fn new_state(&mut self, call: usize, state: &M::State) -> Option<M::State> {
        let recorded = &self.history[call];
        let after = match &recorded.response {
            Some(response) => self.model.apply(state, &recorded.call, &response.outcome),
            None => self.model.apply_unanswered(state, &recorded.call),
        }?;
        let mut done = self.done.clone();
        done.flip(call);
        self.seen.insert((done, after.clone())).then_some(after)
    }

    fn put(&mut self, call: usize, before: M::State) {
        self.list.unlink(self.indices[call].invocation);
        if let Some(response) = self.indices[call].response {
            self.list.unlink(response);
            self.unplaced_responses -= 1;
        }
        self.done.flip(call);
        self.steps.push(Step { call, before });
    }

    fn undo(&mut self, call: usize) {
        if let Some(response) = self.indices[call].response {
            self.list.relink(response);
            self.unplaced_responses += 1;
        }
        self.list.relink(self.indices[call].invocation);
        self.done.flip(call);
    }
}
