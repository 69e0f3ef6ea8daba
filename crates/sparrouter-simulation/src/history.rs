//! The operators' calls on the configuration as they happened, and the sequential model that they are checked against:
//! a register with compare-and-set that knows an order again.
use crate::linearizability::{self, RecordedCall, Response, SequentialModel};
use std::collections::BTreeSet;

/// Configurations (calls done, state) that a check may look at; a history that takes more is called undecided.
const MAX_CONFIGURATIONS: usize = 2_000_000;

/// A PUT or PATCH, by what makes it that very order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderCall {
    pub base: u64,
    pub number: u64,
    /// Method and body, without white space between tokens.
    pub request: String,
    /// The configuration that is in force if it is taken.
    pub document: String,
    /// Whether its body is one that may be taken at all.
    pub valid: bool,
}

/// Place of an order among those of its history: the same for the same order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(usize);

#[derive(Clone, Copy, Debug)]
pub enum Call {
    Order(OrderId),
    Read,
}

/// A clear answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Acknowledged,
    Refused,
    /// The configuration that was read.
    Document(String),
    /// There was none yet.
    NoDocument,
}

/// Of a call that is under way.
#[derive(Clone, Copy, Debug)]
pub struct CallId(usize);

/// All calls of a story.
#[derive(Clone, Debug, Default)]
pub struct History {
    orders: Vec<OrderCall>,
    calls: Vec<RecordedCall<Call, Outcome>>,
    events: usize,
}

/// JSON without white space between its tokens.
pub fn without_space(text: &str) -> String {
    let (mut in_string, mut escaped) = (false, false);
    let kept = text.chars().filter(|c| {
        let keeps = in_string || !c.is_ascii_whitespace();
        if in_string && !escaped && *c == '\\' {
            escaped = true;
        } else {
            if *c == '"' && !escaped {
                in_string = !in_string;
            }
            escaped = false;
        }
        keeps
    });
    kept.collect()
}

impl History {
    fn next_event(&mut self) -> usize {
        self.events += 1;
        self.events - 1
    }

    /// A PUT or PATCH leaves its caller, for the first time or again.
    pub fn order_invoked(&mut self, order: OrderCall) -> CallId {
        let request = without_space(&order.request);
        let same = |known: &OrderCall| {
            (known.base, known.number, &known.request) == (order.base, order.number, &request)
        };
        let known = self.orders.iter().rposition(same);
        let id = known.unwrap_or(self.orders.len());
        if known.is_none() {
            self.orders.push(OrderCall { request, ..order });
        }
        self.invoked(Call::Order(OrderId(id)))
    }

    /// A GET leaves its caller.
    pub fn read_invoked(&mut self) -> CallId {
        self.invoked(Call::Read)
    }

    fn invoked(&mut self, call: Call) -> CallId {
        let invoked = self.next_event();
        self.calls.push(RecordedCall {
            call,
            invoked,
            response: None,
        });
        CallId(self.calls.len() - 1)
    }

    /// Its caller hears a clear answer.
    pub fn response_received(&mut self, id: CallId, outcome: Outcome) {
        let at = self.next_event();
        self.calls[id.0].response = Some(Response { at, outcome });
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// What speaks against it, if it is not linearizable.
    pub fn violation(&self) -> Option<String> {
        let model = ConfigurationModel {
            orders: &self.orders,
        };
        match linearizability::check(&model, &self.calls, MAX_CONFIGURATIONS) {
            linearizability::Verdict::Linearizable(_) => None,
            linearizability::Verdict::Undecided => {
                Some(format!("{} calls are too many to decide", self.calls.len()))
            }
            linearizability::Verdict::NotLinearizable { longest, stuck } => {
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

    fn describe(&self, call: usize) -> String {
        let recorded = &self.calls[call];
        let what = match &recorded.call {
            Call::Order(id) => {
                let order = &self.orders[id.0];
                format!("{} on {}", order.number, order.base)
            }
            Call::Read => "a read".to_owned(),
        };
        let outcome = recorded.response.as_ref().map(|r| match &r.outcome {
            Outcome::Document(text) => {
                format!("Document({})", text.chars().take(40).collect::<String>())
            }
            other => format!("{other:?}"),
        });
        format!(
            "call {call} ({what}: {})",
            outcome.unwrap_or("unheard".to_owned())
        )
    }
}

/// The configuration's register.
pub struct ConfigurationModel<'a> {
    orders: &'a [OrderCall],
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigurationState {
    /// The order that made the configuration in force.
    current: Option<OrderId>,
    taken: BTreeSet<OrderId>,
}

impl ConfigurationModel<'_> {
    fn current(&self, state: &ConfigurationState) -> Option<&OrderCall> {
        state.current.map(|id| &self.orders[id.0])
    }

    fn may_take(&self, state: &ConfigurationState, id: OrderId) -> bool {
        let order = &self.orders[id.0];
        let in_force = self.current(state).map_or(0, |current| current.number);
        order.valid && order.base == in_force && order.number > in_force
    }

    /// The state with an order taken, if it may be.
    fn take(&self, state: &ConfigurationState, id: OrderId) -> Option<ConfigurationState> {
        if !self.may_take(state, id) {
            return None;
        }
        let mut taken = state.taken.clone();
        taken.insert(id);
        Some(ConfigurationState {
            current: Some(id),
            taken,
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
        let allowed = match (call, outcome) {
            (Call::Order(id), Outcome::Acknowledged) if !state.taken.contains(id) => {
                return self.take(state, *id);
            }
            (Call::Order(_), Outcome::Acknowledged) => true,
            (Call::Order(id), Outcome::Refused) => {
                !state.taken.contains(id) && !self.may_take(state, *id)
            }
            (Call::Read, Outcome::Document(text)) => {
                self.current(state).is_some_and(|c| c.document == *text)
            }
            (Call::Read, Outcome::NoDocument) => state.current.is_none(),
            _ => false,
        };
        allowed.then(|| state.clone())
    }

    fn apply_unanswered(
        &self,
        state: &ConfigurationState,
        call: &Call,
    ) -> Option<ConfigurationState> {
        match call {
            Call::Order(id) => self.take(state, *id),
            Call::Read => None,
        }
    }
}
