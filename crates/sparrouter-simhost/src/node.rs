//! One instance: the decision module behind maps between the wire's ids and its small indices.
use crate::wire::{self, Enlist, Incoming, Order};
use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use sparrouter_balancer::policy::Policy;
use sparrouter_balancer::types::*;
use sparrouter_settings::{ListEntry, NameTable, hash, nanos};
use std::collections::HashMap;

struct Ticket {
    text: String,
    out: usize,
    open: bool,
}

pub struct Node {
    i: i64,
    policy: Policy,
    names: NameTable,
    tickets: HashMap<String, InvocationIndex>,
    invs: HashMap<InvocationIndex, Ticket>,
    next: InvocationIndex,
}

fn outcome(verb: &str, rc: &str) -> Result<Outcome, String> {
    Ok(match rc {
        "OK" => Outcome::Succeeded,
        "INTERNAL" => Outcome::Error,
        "RESOURCE_EXHAUSTED" => Outcome::Full,
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::Unavailable,
        "ABORTED" => Outcome::Reset,
        "CANCELLED" => Outcome::Withdrawn,
        "TOO_LATE" => Outcome::NotSent,
        "NOT_FOUND" => Outcome::Miss,
        other => return Err(format!("{verb}: field Rc: unknown value {other}")),
    })
}

fn load(info: Option<std::collections::BTreeMap<String, f64>>) -> Option<Load> {
    info.map(|i| Load {
        active: i.get("active").copied(),
        waiting: i.get("waiting").copied(),
    })
}

impl Node {
    pub fn new(enlist: Enlist) -> Result<Node, String> {
        let info = enlist.info;
        let seed = enlist
            .nonce
            .as_u64()
            .or_else(|| enlist.nonce.as_i64().map(|n| n as u64));
        let seed = seed.ok_or("Enlist: field Nonce64: not a whole number")?;
        let policy = info.policy(seed).map_err(|e| format!("Enlist: {e}"))?;
        let names = NameTable::new(&info);
        Ok(Node {
            i: enlist.i,
            policy,
            names,
            tickets: HashMap::new(),
            invs: HashMap::new(),
            next: 0,
        })
    }

    fn row(&mut self, r: wire::Row) -> Result<CacheRecord, String> {
        let ready_at = nanos("ReadyAtUs", r.ready_at_us)?;
        let (id, state, zone, kind) = (&r.server, &r.condition, &r.campus, &r.generation_hw);
        let listed = ListEntry {
            id,
            state,
            zone,
            kind,
            cell: r.group,
            weight: r.heft,
            ready_at,
        };
        self.names
            .record(&listed)
            .map_err(|e| format!("PeersKnown: field Condition: {e}"))
    }

    fn server(&self, verb: &str, server: &str) -> Result<CacheIndex, String> {
        let known = self.names.cache(server);
        known.ok_or_else(|| format!("{verb}: field Server: {server} was never listed"))
    }

    /// The module's event, or none for one that concerns something long over.
    pub fn translate(&mut self, incoming: Incoming) -> Result<Option<Event>, String> {
        Ok(match incoming {
            Incoming::Enlist(_) | Incoming::Down { .. } => None,
            Incoming::PeersKnown(known) => {
                let form = match known.form.as_str() {
                    "INCREMENTAL" => ListKind::Changes,
                    "FULL" => ListKind::Full,
                    "SAVED" => ListKind::Saved,
                    "FAILED" => ListKind::Lost,
                    other => return Err(format!("PeersKnown: field Form: unknown value {other}")),
                };
                let rows = known
                    .rows
                    .into_iter()
                    .map(|r| self.row(r))
                    .collect::<Result<Vec<_>, _>>()?;
                Some(Event::Listed {
                    form,
                    records: rows,
                })
            }
            Incoming::Ingress(r) => {
                let operation = self.names.operation(r.kind.as_bytes());
                let operation = operation
                    .ok_or_else(|| format!("Ingress: field Type: unknown class {}", r.kind))?;
                let tenant = r.billing.as_ref().and_then(|b| b.as_str());
                let inv = self.next;
                self.next += 1;
                self.tickets.insert(r.ticket.clone(), inv);
                self.invs.insert(
                    inv,
                    Ticket {
                        text: r.ticket,
                        out: 0,
                        open: true,
                    },
                );
                Some(Event::Arrived(Arrival {
                    inv,
                    operation,
                    tenant: tenant.and_then(|t| self.names.tenant(t.as_bytes())),
                    key: r.object.map(|k| hash(k.as_bytes())),
                    write: r.write,
                    repeat: r.repeat,
                    work: r
                        .predicted_us
                        .map(|w| nanos("PredictedUs", w))
                        .transpose()?,
                    deadline: nanos("DueUs", r.due_us)?,
                    is_within_quota: None,
                }))
            }
            Incoming::Begun(b) => self
                .tickets
                .get(&b.ticket)
                .map(|&inv| Event::ResponseStarted { inv, copy: b.copy }),
            Incoming::Done(d) => {
                let cache = self.server("Done", &d.server)?;
                let outcome = outcome("Done", &d.rc)?;
                let Some(&inv) = self.tickets.get(&d.ticket) else {
                    return Ok(None);
                };
                if let Some(t) = self.invs.get_mut(&inv) {
                    t.out = t.out.saturating_sub(1);
                    t.open &= !d.last;
                }
                Some(Event::ForwardEnded(ForwardOutcome {
                    inv,
                    copy: d.copy,
                    cache,
                    outcome,
                    latency: nanos("LagUs", d.lag_us)?,
                    is_final: d.last,
                    cache_result: match d.note {
                        Some(1) => Some(CacheResult::Hit),
                        Some(2) => Some(CacheResult::Miss),
                        Some(3) => Some(CacheResult::MissWhileFetching),
                        _ => None,
                    },
                    load: load(d.health_info),
                }))
            }
            Incoming::Vanished { ticket, .. } => self.tickets.get(&ticket).copied().map(|inv| {
                if let Some(t) = self.invs.get_mut(&inv) {
                    t.open = false;
                }
                Event::ClientLeft { inv }
            }),
            Incoming::TimeoutFired { handle, .. } => {
                let token = handle.parse();
                Some(Event::TimerFired {
                    token: token
                        .map_err(|_| format!("TimeoutFired: field Handle: {handle} is not ours"))?,
                })
            }
            Incoming::Echo(e) => {
                let ok = outcome("Echo", &e.rc)? == Outcome::Succeeded;
                let cache = self.server("Echo", &e.server)?;
                Some(Event::HealthChecked {
                    cache,
                    ok,
                    load: load(e.health_info),
                })
            }
            Incoming::Datagram {
                neighbour, payload, ..
            } => Some(Event::GossipReceived {
                peer: neighbour,
                text: BASE64
                    .decode(payload)
                    .map_err(|e| format!("Datagram: field Payload: {e}"))?,
            }),
        })
    }

    pub fn handle(&mut self, now: Nanos, event: Option<Event>, orders: &mut Vec<Order>) {
        let Some(event) = event else { return };
        let ended = match &event {
            Event::ForwardEnded(e) => Some(e.inv),
            Event::ClientLeft { inv } => Some(*inv),
            _ => None,
        };
        self.policy.handle(now, event);
        let i = self.i;
        let micros = |t: Nanos| t.div_ceil(MICRO);
        let mut touched: Vec<InvocationIndex> = ended.into_iter().collect();
        for action in self.policy.take_actions() {
            let order = match action {
                // On this wire a forward leaves in the moment of its decision.
                Action::Forward {
                    inv,
                    cache,
                    wait,
                    must_leave_before: _,
                } => {
                    let t = self.invs.get_mut(&inv).expect("known invocation");
                    t.out += 1;
                    Order::Route {
                        i,
                        ticket: t.text.clone(),
                        max_wait_us: micros(wait),
                        server: self.names.id(cache).to_string(),
                    }
                }
                Action::Withdraw { inv, copy } => Order::Retract {
                    i,
                    ticket: self.invs[&inv].text.clone(),
                    copy,
                },
                Action::Throttle { inv, .. } | Action::Error { inv } => {
                    let t = self.invs.get_mut(&inv).expect("known invocation");
                    t.open = false;
                    touched.push(inv);
                    let ticket = t.text.clone();
                    match action {
                        Action::Throttle { retry_after, .. } => Order::Busy {
                            i,
                            ticket,
                            retry_after_us: micros(retry_after),
                        },
                        _ => Order::Abort { i, ticket },
                    }
                }
                Action::SetTimer { after, token } => Order::NotifyMe {
                    i,
                    wait_us: micros(after),
                    handle: token.to_string(),
                },
                Action::CheckHealth { cache } => Order::Sample {
                    i,
                    server: self.names.id(cache).to_string(),
                },
                Action::SendGossip { peer, text } => Order::Signal {
                    i,
                    peer: peer as i64,
                    payload: BASE64.encode(text),
                },
                Action::FollowList => Order::Tail { i, on: true },
                Action::RequestList => Order::Pull { i },
            };
            orders.push(order);
        }
        for inv in touched {
            if self.invs.get(&inv).is_some_and(|t| !t.open && t.out == 0)
                && let Some(t) = self.invs.remove(&inv)
            {
                self.tickets.remove(&t.text);
            }
        }
    }
}
