//! One instance of the balancing policy, with maps between the simulator's ids and the policy's indices.
use crate::error::HostError;
use crate::wire::{self, Done, Enlist, Incoming, Ingress, Order, PeersKnown};
use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::{
    Action, Arrival, CacheIndex, CacheRecord, CacheResult, Event, ForwardOutcome, InvocationIndex,
    ListKind, Load, MICRO, Nanos, Outcome,
};
use sparrouter_settings::{ListEntry, NameTable, hash, nanos};
use std::collections::{BTreeMap, HashMap};

/// An invocation with the simulator's id (ticket).
struct Invocation {
    ticket: String,
    /// Number of its forwards in flight.
    in_flight: usize,
    /// True until the final response is given or the client disconnects.
    is_open: bool,
}

/// The balancing policy of one simulated node.
///
/// Invariant: `indices` and `invocations` contain the same invocations. An invocation is removed once it has been answered
/// and none of its forwards are in flight.
pub struct Instance {
    number: i64,
    policy: Policy,
    names: NameTable,
    indices: HashMap<String, InvocationIndex>,
    invocations: HashMap<InvocationIndex, Invocation>,
    next_index: InvocationIndex,
}

fn parse_outcome(verb: &'static str, code: &str) -> Result<Outcome, HostError> {
    Ok(match code {
        "OK" => Outcome::Succeeded,
        "INTERNAL" => Outcome::Error,
        "RESOURCE_EXHAUSTED" => Outcome::Full,
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::Unavailable,
        "ABORTED" => Outcome::Reset,
        "CANCELLED" => Outcome::Withdrawn,
        "TOO_LATE" => Outcome::NotSent,
        "NOT_FOUND" => Outcome::Miss,
        other => {
            return Err(HostError::UnknownValue {
                verb,
                field: "Rc",
                value: other.to_owned(),
            });
        }
    })
}

fn parse_load(info: Option<&BTreeMap<String, f64>>) -> Option<Load> {
    info.map(|values| Load {
        active: values.get("active").copied(),
        waiting: values.get("waiting").copied(),
    })
}

/// Converts to whole microseconds, rounded up so that no timer fires early.
fn micros(time: Nanos) -> u64 {
    time.div_ceil(MICRO)
}

impl Instance {
    /// Creates an instance with the simulator's settings and seed.
    ///
    /// # Errors
    ///
    /// [`HostError::Seed`] or [`HostError::Settings`] if the seed or the settings are invalid.
    pub fn new(enlist: Enlist) -> Result<Instance, HostError> {
        let settings = enlist.info;
        let unsigned = enlist.nonce.as_u64();
        let seed = unsigned.or_else(|| enlist.nonce.as_i64().map(|nonce| nonce as u64));
        let policy = settings
            .policy(seed.ok_or(HostError::Seed)?)
            .map_err(HostError::Settings)?;
        Ok(Instance {
            number: enlist.i,
            policy,
            names: NameTable::new(&settings),
            indices: HashMap::new(),
            invocations: HashMap::new(),
            next_index: 0,
        })
    }

    /// Translates a message into an event of the policy; `None` if it concerns a completed invocation.
    ///
    /// # Errors
    ///
    /// A [`HostError`] that names the verb and field.
    pub fn translate(&mut self, incoming: Incoming) -> Result<Option<Event>, HostError> {
        Ok(match incoming {
            Incoming::Enlist(_) | Incoming::Down { .. } => None,
            Incoming::PeersKnown(list) => Some(self.list_event(&list)?),
            Incoming::Ingress(ingress) => Some(self.arrival(ingress)?),
            Incoming::Begun(begun) => {
                let index = self.indices.get(&begun.ticket);
                index.map(|&inv| Event::ResponseStarted {
                    inv,
                    forward_index: begun.copy,
                })
            }
            Incoming::Done(done) => self.forward_ended(&done)?,
            Incoming::Vanished { ticket, .. } => self.client_left(&ticket),
            Incoming::TimeoutFired { handle, .. } => {
                let token = handle.parse();
                Some(Event::TimerFired {
                    token: token.map_err(|_| HostError::UnknownTimer(handle))?,
                })
            }
            Incoming::Echo(echo) => Some(Event::HealthChecked {
                is_answered: parse_outcome("Echo", &echo.rc)? == Outcome::Succeeded,
                cache: self.cache("Echo", &echo.server)?,
                load: parse_load(echo.health_info.as_ref()),
            }),
            Incoming::Datagram {
                neighbour, payload, ..
            } => Some(Event::GossipReceived {
                peer: neighbour,
                message: BASE64.decode(payload).map_err(HostError::Payload)?,
            }),
        })
    }

    fn list_event(&mut self, list: &PeersKnown) -> Result<Event, HostError> {
        let kind = match list.form.as_str() {
            "INCREMENTAL" => ListKind::Changes,
            "FULL" => ListKind::Full,
            "SAVED" => ListKind::Saved,
            "FAILED" => ListKind::Lost,
            other => {
                return Err(HostError::UnknownValue {
                    verb: "PeersKnown",
                    field: "Form",
                    value: other.to_owned(),
                });
            }
        };
        let rows = list.rows.iter();
        let records = rows.map(|row| self.cache_record(row));
        Ok(Event::Listed {
            kind,
            records: records.collect::<Result<Vec<_>, _>>()?,
        })
    }

    fn cache_record(&mut self, row: &wire::Row) -> Result<CacheRecord, HostError> {
        let entry = ListEntry {
            id: &row.server,
            state: &row.condition,
            zone: &row.campus,
            kind: &row.generation_hw,
            cell: row.group,
            weight: row.heft,
            ready_at: nanos("ReadyAtUs", row.ready_at_us)?,
        };
        self.names.record(&entry).map_err(HostError::ListEntry)
    }

    fn arrival(&mut self, ingress: Ingress) -> Result<Event, HostError> {
        let operation = self.names.operation(ingress.kind.as_bytes());
        let operation = operation.ok_or(HostError::UnknownOperation(ingress.kind))?;
        let tenant = ingress
            .billing
            .as_ref()
            .and_then(|billing| billing.as_str());
        let inv = self.add_invocation(ingress.ticket);
        let work = ingress.predicted_us.map(|us| nanos("PredictedUs", us));
        Ok(Event::Arrived(Arrival {
            inv,
            operation,
            tenant: tenant.and_then(|name| self.names.tenant(name.as_bytes())),
            key: ingress.object.map(|key| hash(key.as_bytes())),
            write: ingress.write,
            repeat: ingress.repeat,
            work: work.transpose()?,
            deadline: nanos("DueUs", ingress.due_us)?,
            is_within_quota: None,
        }))
    }

    fn add_invocation(&mut self, ticket: String) -> InvocationIndex {
        let index = self.next_index;
        self.next_index += 1;
        self.indices.insert(ticket.clone(), index);
        let invocation = Invocation {
            ticket,
            in_flight: 0,
            is_open: true,
        };
        self.invocations.insert(index, invocation);
        index
    }

    fn forward_ended(&mut self, done: &Done) -> Result<Option<Event>, HostError> {
        let cache = self.cache("Done", &done.server)?;
        let outcome = parse_outcome("Done", &done.rc)?;
        let Some(&inv) = self.indices.get(&done.ticket) else {
            return Ok(None);
        };
        if let Some(invocation) = self.invocations.get_mut(&inv) {
            invocation.in_flight = invocation.in_flight.saturating_sub(1);
            invocation.is_open &= !done.last;
        }
        Ok(Some(Event::ForwardEnded(ForwardOutcome {
            inv,
            forward_index: done.copy,
            cache,
            outcome,
            latency: nanos("LagUs", done.lag_us)?,
            is_final: done.last,
            cache_result: match done.note {
                Some(1) => Some(CacheResult::Hit),
                Some(2) => Some(CacheResult::Miss),
                Some(3) => Some(CacheResult::MissWhileFetching),
                _ => None,
            },
            load: parse_load(done.health_info.as_ref()),
        })))
    }

    fn client_left(&mut self, ticket: &str) -> Option<Event> {
        let inv = self.indices.get(ticket).copied()?;
        if let Some(invocation) = self.invocations.get_mut(&inv) {
            invocation.is_open = false;
        }
        Some(Event::ClientLeft { inv })
    }

    fn cache(&self, verb: &'static str, server: &str) -> Result<CacheIndex, HostError> {
        let cache = self.names.cache(server);
        cache.ok_or_else(|| HostError::UnknownServer {
            verb,
            server: server.to_owned(),
        })
    }

    /// Passes an event to the policy and appends the resulting orders.
    pub fn handle(&mut self, now: Nanos, event: Option<Event>, orders: &mut Vec<Order>) {
        let Some(event) = event else { return };
        // Invocations that may be complete after this event.
        let mut affected: Vec<InvocationIndex> = match &event {
            Event::ForwardEnded(ended) => vec![ended.inv],
            Event::ClientLeft { inv } => vec![*inv],
            _ => Vec::new(),
        };
        self.policy.handle(now, event);
        let actions: Vec<Action> = self.policy.take_actions().collect();
        for action in actions {
            if let Action::Throttle { inv, .. } | Action::Error { inv } = action {
                affected.push(inv);
            }
            orders.push(self.translate_action(action));
        }
        for inv in affected {
            self.remove_if_complete(inv);
        }
    }

    fn translate_action(&mut self, action: Action) -> Order {
        let i = self.number;
        match action {
            Action::Forward {
                inv, cache, wait, ..
            } => self.route(inv, cache, wait),
            Action::Withdraw { inv, forward_index } => Order::Retract {
                i,
                ticket: self.invocations[&inv].ticket.clone(),
                copy: forward_index,
            },
            Action::Throttle { inv, retry_after } => Order::Busy {
                i,
                ticket: self.mark_answered(inv),
                retry_after_us: micros(retry_after),
            },
            Action::Error { inv } => Order::Abort {
                i,
                ticket: self.mark_answered(inv),
            },
            Action::SetTimer { after, token } => Order::NotifyMe {
                i,
                wait_us: micros(after),
                handle: token.to_string(),
            },
            Action::CheckHealth { cache } => Order::Sample {
                i,
                server: self.names.id(cache).to_owned(),
            },
            Action::SendGossip { peer, message } => Order::Signal {
                i,
                peer: peer as i64,
                payload: BASE64.encode(message),
            },
            Action::FollowList => Order::Tail { i, on: true },
            Action::RequestList => Order::Pull { i },
        }
    }

    /// Makes the order to forward a request. The simulator sends it at the time of the decision, so it always meets its
    /// send deadline.
    fn route(&mut self, inv: InvocationIndex, cache: CacheIndex, wait: Nanos) -> Order {
        let invocation = self.known_invocation(inv);
        invocation.in_flight += 1;
        let ticket = invocation.ticket.clone();
        Order::Route {
            i: self.number,
            ticket,
            max_wait_us: micros(wait),
            server: self.names.id(cache).to_owned(),
        }
    }

    /// Marks an invocation as answered and returns its ticket.
    fn mark_answered(&mut self, inv: InvocationIndex) -> String {
        let invocation = self.known_invocation(inv);
        invocation.is_open = false;
        invocation.ticket.clone()
    }

    fn known_invocation(&mut self, inv: InvocationIndex) -> &mut Invocation {
        self.invocations
            .get_mut(&inv)
            .expect("the policy names only known invocations")
    }

    fn remove_if_complete(&mut self, inv: InvocationIndex) {
        let Some(invocation) = self.invocations.get(&inv) else {
            return;
        };
        if invocation.is_open || invocation.in_flight > 0 {
            return;
        }
        if let Some(invocation) = self.invocations.remove(&inv) {
            self.indices.remove(&invocation.ticket);
        }
    }
}
