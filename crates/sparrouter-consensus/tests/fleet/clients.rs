//! Clients of the registers: operators that compete for versions and retry unanswered changes, readers, and lease
//! holders.
use super::event::Event;
use super::machine::{Answer, Change, Config};
use super::{Fleet, MILLISECOND, Nanos};
use sparrouter_consensus::lease::{LeaseAnswer, LeaseChange, LeaseHolder};
use sparrouter_consensus::{Outcome, Rejection};

/// Time limit of a call.
const CALL_TIMEOUT: Nanos = 1_000 * MILLISECOND;
/// How long a lease holder may act.
const LEASE_DURATION: Nanos = 900 * MILLISECOND;
/// Maximum number of calls with the same change.
const MAX_CALLS: u32 = 5;

#[derive(Debug)]
pub enum Client {
    /// Sends changes of the configuration.
    Operator {
        /// The newest version that an answer contained.
        version: u64,
        put: Option<Put>,
    },
    Reader,
    /// Acquires, renews and releases the lease.
    Lessee {
        id: u64,
        incarnation: u64,
        lease: Option<HeldLease>,
    },
}

/// A change that an operator has sent at least once.
#[derive(Debug)]
pub struct Put {
    if_match: u64,
    id: u64,
    calls: u32,
    /// Whether an unanswered call may have applied the change.
    may_have_applied: bool,
}

/// A lease as its holder knows it.
#[derive(Debug)]
pub struct HeldLease {
    fencing_token: u64,
    usable_from: Nanos,
    usable_until: Nanos,
}

impl HeldLease {
    fn is_usable(&self, now: Nanos) -> bool {
        now >= self.usable_from && now < self.usable_until
    }
}

/// A call in progress.
#[derive(Clone, Debug)]
pub struct Call {
    pub client: usize,
    pub node: usize,
    pub started_at: Nanos,
    /// The newest version that was acknowledged when the call started.
    pub acknowledged: u64,
    pub is_renewal: bool,
}

impl Client {
    /// The clients of a simulation.
    pub fn all() -> Vec<Client> {
        let operator = || Client::Operator {
            version: 0,
            put: None,
        };
        let lessee = |id| Client::Lessee {
            id,
            incarnation: 1,
            lease: None,
        };
        vec![
            operator(),
            operator(),
            operator(),
            Client::Reader,
            lessee(1),
            lessee(2),
        ]
    }

    /// The change that the client sends next; `None` for a read. `draw` is a random number.
    fn next_change(&mut self, draw: u64, now: Nanos) -> Option<Change> {
        match self {
            Client::Reader => None,
            Client::Operator { version, put } => Some(next_put(*version, put, draw)),
            Client::Lessee {
                id,
                incarnation,
                lease,
            } => Some(Change::Lease(next_lease_change(
                *id,
                incarnation,
                lease,
                draw,
                now,
            ))),
        }
    }
}

/// The next change of an operator: the unanswered one again, up to `MAX_CALLS` times, otherwise a new one.
fn next_put(version: u64, put: &mut Option<Put>, draw: u64) -> Change {
    put.take_if(|put| put.calls >= MAX_CALLS);
    let put = put.get_or_insert(Put {
        if_match: version,
        id: draw,
        calls: 0,
        may_have_applied: false,
    });
    put.calls += 1;
    Change::Put {
        if_match: put.if_match,
        id: put.id,
    }
}

fn next_lease_change(
    id: u64,
    incarnation: &mut u64,
    lease: &mut Option<HeldLease>,
    draw: u64,
    now: Nanos,
) -> LeaseChange {
    let mut holder = LeaseHolder {
        name: format!("holder-{id}"),
        incarnation: *incarnation,
    };
    lease.take_if(|lease| now >= lease.usable_until);
    let Some(owned) = lease else {
        // Sometimes the holder acquires the lease as a new incarnation with the same name.
        *incarnation += u64::from(draw.is_multiple_of(5));
        holder.incarnation = *incarnation;
        return LeaseChange::Acquire {
            holder,
            duration: LEASE_DURATION,
        };
    };
    let fencing_token = owned.fencing_token;
    if !draw.is_multiple_of(12) {
        return LeaseChange::Renew {
            holder,
            fencing_token,
        };
    }
    let waited = now >= owned.usable_from;
    // The holder stops using the lease before it sends the release, whose outcome may be unknown.
    *lease = None;
    LeaseChange::Release {
        holder,
        fencing_token,
        waited,
    }
}

impl Fleet {
    /// A client without a pending call calls a random running node.
    pub fn client_turn(&mut self, client: usize) {
        let delay = self.rng.u64(20..300) * MILLISECOND;
        self.schedule(delay, Event::ClientTurn { client });
        if self.has_pending_call(client) {
            return;
        }
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| self.nodes[node].register.is_some())
            .collect();
        if running.is_empty() {
            return;
        }
        let node = running[self.rng.usize(..running.len())];
        let draw = self.rng.u64(..);
        let change = self.clients[client].next_change(draw, self.now);
        self.call(client, node, change);
    }

    /// Whether a client has a pending call. A call that stays unanswered after its time limit, because its node crashed
    /// or is frozen, is abandoned.
    fn has_pending_call(&mut self, client: usize) -> bool {
        let call = self.calls.iter().find(|(_, call)| call.client == client);
        let Some((op, started_at)) = call.map(|(&op, call)| (op, call.started_at)) else {
            return false;
        };
        if self.now <= started_at + CALL_TIMEOUT + CALL_TIMEOUT / 2 {
            return true;
        }
        self.calls.remove(&op);
        if let Client::Operator { put: Some(put), .. } = &mut self.clients[client] {
            put.may_have_applied = true;
        }
        false
    }

    fn call(&mut self, client: usize, node: usize, change: Option<Change>) {
        self.last_op += 1;
        let (op, now) = (self.last_op, self.now);
        let call = Call {
            client,
            node,
            started_at: now,
            acknowledged: self.monitor.newest_acknowledged(),
            is_renewal: matches!(change, Some(Change::Lease(LeaseChange::Renew { .. }))),
        };
        self.calls.insert(op, call);
        self.log(|| format!("call {op} of client {client} at node {node}: {change:?}"));
        let Some(register) = &mut self.nodes[node].register else {
            return;
        };
        match change {
            Some(change) => register.propose(op, change.encode(), now + CALL_TIMEOUT, now),
            None => register.read(op, now + CALL_TIMEOUT, now),
        }
        self.carry_out_actions(node);
    }

    /// Reports the use of all leases that their holders may use according to their own clocks.
    pub fn use_held_leases(&mut self) {
        for client in &self.clients {
            if let Client::Lessee {
                lease: Some(lease), ..
            } = client
                && lease.is_usable(self.now)
            {
                self.monitor.on_token_used(lease.fencing_token);
            }
        }
    }

    pub fn complete_call(&mut self, op: u64, outcome: Outcome) {
        let Some(call) = self.calls.remove(&op) else {
            return;
        };
        self.log(|| format!("call {op} done: {}", summary(&outcome)));
        match &self.clients[call.client] {
            Client::Reader => {
                if let Outcome::Answered(body) = outcome {
                    self.monitor.on_read(call.acknowledged, &body);
                }
            }
            Client::Operator { .. } => self.complete_put(&call, outcome),
            Client::Lessee { .. } => {
                if let Outcome::Answered(answer) = outcome {
                    self.complete_lease_change(&call, op, &answer);
                }
            }
        }
    }

    fn complete_put(&mut self, call: &Call, outcome: Outcome) {
        let Client::Operator { version, put } = &mut self.clients[call.client] else {
            return;
        };
        let Some(sent) = put else { return };
        match outcome {
            Outcome::Answered(answer) => {
                match Answer::decode(&answer) {
                    Answer::Applied { version: applied } => {
                        self.monitor.on_acknowledged(applied, sent.id);
                        *version = applied.max(*version);
                        self.acknowledgements += 1;
                    }
                    Answer::Mismatch { version: current } => {
                        self.monitor.on_rejected(sent.id);
                        *version = current;
                    }
                    other => self
                        .monitor
                        .report(format!("an operator received the answer {other:?}")),
                }
                *put = None;
            }
            Outcome::Unknown => sent.may_have_applied = true,
            Outcome::Rejected(Rejection::NoQuorum | Rejection::NoGroup | Rejection::Busy)
                if !sent.may_have_applied =>
            {
                self.monitor.on_rejected(sent.id);
                *put = None;
            }
            Outcome::Rejected(_) => {}
        }
    }

    fn complete_lease_change(&mut self, call: &Call, op: u64, answer: &[u8]) {
        let Client::Lessee { lease, id, .. } = &mut self.clients[call.client] else {
            return;
        };
        let usable_until = call.started_at + LEASE_DURATION;
        match Answer::decode(answer) {
            Answer::Lease(LeaseAnswer::Acquired {
                fencing_token,
                takeover_wait,
            }) => {
                self.monitor.on_token(fencing_token, *id, op);
                *lease = Some(HeldLease {
                    fencing_token,
                    usable_from: self.now + takeover_wait,
                    usable_until,
                });
            }
            Answer::Lease(LeaseAnswer::Renewed) if call.is_renewal => {
                if let Some(lease) = lease {
                    lease.usable_until = lease.usable_until.max(usable_until);
                }
            }
            Answer::Lease(LeaseAnswer::Rejected { .. }) => *lease = None,
            Answer::Lease(_) => {}
            other => self
                .monitor
                .report(format!("a lease holder received the answer {other:?}")),
        }
    }
}

fn summary(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(bytes) => {
            match sparrouter_consensus::codec::decode::<Answer>(bytes, 4096) {
                Ok(answer) => format!("{answer:?}"),
                Err(_) => format!("body of version {}", Config::decode(bytes).version),
            }
        }
        other => format!("{other:?}"),
    }
}
