//! The history of the operators' calls on the configuration, and the sequential model that it is checked against: a
//! register with compare-and-set that recognises an order which is sent again.

use crate::linearizability::{self, RecordedCall, Response, SequentialModel, Verdict};
use std::collections::BTreeSet;

/// Configurations of the search (calls placed, state) that a check may visit; a history that takes more is undecided.
const MAX_CONFIGURATIONS: usize = 2_000_000;
/// Characters of a document that a violation shows.
const SHOWN_CHARACTERS: usize = 40;

/// A PUT or PATCH. Two with the same base, number and request are the same order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderCall {
    /// Version that it replaces.
    pub base: u64,
    /// Version of the configuration.
    pub number: u64,
    /// Method and body; in a history without white space between tokens.
    pub request: String,
    /// The configuration that is in force if it is accepted.
    pub document: String,
    /// Whether its body may be accepted at all.
    pub is_valid: bool,
}

/// An order of a history, by its position among the distinct ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(usize);

/// What was called.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    /// A PUT or PATCH.
    Order(OrderId),
    /// A GET.
    Read,
}

/// A clear answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The order was accepted, now or earlier.
    Acknowledged,
    /// The order was not accepted and will not be.
    Rejected,
    /// The configuration that was read.
    Document(String),
    /// There was no configuration yet.
    NoDocument,
}

/// A call of a history, by its position.
#[derive(Clone, Copy, Debug)]
pub struct CallId(usize);

/// All calls of a run, in the order in which they were made.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Distinct orders.
    orders: Vec<OrderCall>,
    calls: Vec<RecordedCall<Call, Outcome>>,
    /// Invocations and responses so far; numbers the next one.
    events: usize,
}

/// JSON without white space between its tokens.
pub fn without_space(text: &str) -> String {
    let (mut in_string, mut is_escaped) = (false, false);
    let significant = text.chars().filter(|c| {
        let is_significant = in_string || !c.is_ascii_whitespace();
        if in_string && !is_escaped && *c == '\\' {
            is_escaped = true;
        } else {
            if *c == '"' && !is_escaped {
                in_string = !in_string;
            }
            is_escaped = false;
        }
        is_significant
    });
    significant.collect()
}

impl History {
    fn next_event(&mut self) -> usize {
        self.events += 1;
        self.events - 1
    }

    /// A PUT or PATCH is sent, for the first time or again.
    pub fn order_invoked(&mut self, order: OrderCall) -> CallId {
        let request = without_space(&order.request);
        let is_same = |known: &OrderCall| {
            known.base == order.base && known.number == order.number && known.request == request
        };
        let known = self.orders.iter().rposition(is_same);
        let id = known.unwrap_or(self.orders.len());
        if known.is_none() {
            self.orders.push(OrderCall { request, ..order });
        }
        self.invoked(Call::Order(OrderId(id)))
    }

    /// A GET is sent.
    pub fn read_invoked(&mut self) -> CallId {
        self.invoked(Call::Read)
    }

    fn invoked(&mut self, call: Call) -> CallId {
        let invoked_at = self.next_event();
        self.calls.push(RecordedCall {
            call,
            invoked_at,
            response: None,
        });
        CallId(self.calls.len() - 1)
    }

    /// The caller receives a clear answer.
    pub fn answered(&mut self, id: CallId, outcome: Outcome) {
        let received_at = self.next_event();
        self.calls[id.0].response = Some(Response {
            received_at,
            outcome,
        });
    }

    /// Number of calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether there are no calls.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Why it is not linearizable; `None` if it is.
    pub fn violation(&self) -> Option<String> {
        let model = ConfigurationModel {
            orders: &self.orders,
        };
        match linearizability::check(&model, &self.calls, MAX_CONFIGURATIONS) {
            Verdict::Linearizable(_) => None,
            Verdict::Undecided => {
                Some(format!("{} calls are too many to decide", self.calls.len()))
            }
            Verdict::NotLinearizable { longest, stuck } => {
                let last = longest.last().map(|call| self.describe(*call));
                Some(format!(
                    "no order explains {}; after {} calls, the last {}",
                    self.describe(stuck),
                    longest.len(),
                    last.unwrap_or_default()
                ))
            }
        }
    }

    fn describe(&self, index: usize) -> String {
        let recorded = &self.calls[index];
        let call = match &recorded.call {
            Call::Order(id) => {
                let order = &self.orders[id.0];
                format!("{} on {}", order.number, order.base)
            }
            Call::Read => "a read".to_owned(),
        };
        let outcome = match recorded.response.as_ref().map(|r| &r.outcome) {
            Some(Outcome::Document(text)) => {
                let start: String = text.chars().take(SHOWN_CHARACTERS).collect();
                format!("Document({start})")
            }
            Some(other) => format!("{other:?}"),
            None => "unanswered".to_owned(),
        };
        format!("call {index} ({call}: {outcome})")
    }
}

/// The register of the configuration.
pub struct ConfigurationModel<'a> {
    orders: &'a [OrderCall],
}

/// State of the register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigurationState {
    /// The order that made the configuration in force.
    current: Option<OrderId>,
    /// All orders that were accepted.
    accepted: BTreeSet<OrderId>,
}

impl ConfigurationModel<'_> {
    fn current(&self, state: &ConfigurationState) -> Option<&OrderCall> {
        state.current.map(|id| &self.orders[id.0])
    }

    fn accepts(&self, state: &ConfigurationState, id: OrderId) -> bool {
        let order = &self.orders[id.0];
        let in_force = self.current(state).map_or(0, |current| current.number);
        order.is_valid && order.base == in_force && order.number > in_force
    }

    /// The state after an order, if the register accepts it.
    fn after(&self, state: &ConfigurationState, id: OrderId) -> Option<ConfigurationState> {
        if !self.accepts(state, id) {
            return None;
        }
        let mut accepted = state.accepted.clone();
        accepted.insert(id);
        Some(ConfigurationState {
            current: Some(id),
            accepted,
        })
    }
}

impl SequentialModel for ConfigurationModel<'_> {
    type State = ConfigurationState;
    type Call = Call;
    type Outcome = Outcome;

    fn initial(&self) -> ConfigurationState {
        ConfigurationState::default()
    }

    fn apply(
        &self,
        state: &ConfigurationState,
        call: &Call,
        outcome: &Outcome,
    ) -> Option<ConfigurationState> {
        let is_allowed = match (call, outcome) {
            (Call::Order(id), Outcome::Acknowledged) if !state.accepted.contains(id) => {
                return self.after(state, *id);
            }
            (Call::Order(_), Outcome::Acknowledged) => true,
            (Call::Order(id), Outcome::Rejected) => {
                !state.accepted.contains(id) && !self.accepts(state, *id)
            }
            (Call::Read, Outcome::Document(text)) => {
                let current = self.current(state);
                current.is_some_and(|current| current.document == *text)
            }
            (Call::Read, Outcome::NoDocument) => state.current.is_none(),
            _ => false,
        };
        is_allowed.then(|| state.clone())
    }

    fn apply_unanswered(
        &self,
        state: &ConfigurationState,
        call: &Call,
    ) -> Option<ConfigurationState> {
        match call {
            Call::Order(id) => self.after(state, *id),
            Call::Read => None,
        }
    }
}
