//! Operators that race on versions and repeat what was not answered, readers, and holders of a duty.
use super::machine::{Answer, Change, Config};
use super::{Fleet, MILLISECOND, Nanos};
use sparrouter_consensus::lease::{LeaseAnswer, LeaseChange, LeaseHolder};
use sparrouter_consensus::{Outcome, Rejection};

pub const CALL: Nanos = 1_000 * MILLISECOND;
const SPAN: Nanos = 900 * MILLISECOND;
const REPEATS: u32 = 5;

#[derive(Debug)]
pub enum Client {
    Operator {
        known: u64,
        put: Option<Put>,
    },
    Reader,
    Holder {
        name: u64,
        life: u64,
        hold: Option<Hold>,
    },
}

#[derive(Debug)]
pub struct Put {
    if_match: u64,
    id: u64,
    calls: u32,
    /// Whether any call may have left a trace.
    open: bool,
}

#[derive(Debug)]
pub struct Hold {
    fencing_token: u64,
    from: Nanos,
    until: Nanos,
}

/// A call under way.
#[derive(Clone, Debug)]
pub struct Call {
    pub client: usize,
    pub node: usize,
    pub begun: Nanos,
    /// The newest version acknowledged when it began.
    pub least: u64,
    pub renews: bool,
}

impl Fleet {
    /// A client's turn: it calls some node that runs, if it waits for none.
    pub fn client_turn(&mut self, client: usize) {
        let pause = self.rng.u64(20..300) * MILLISECOND;
        self.at(pause, super::Event::Client { client });
        let waits = self
            .calls
            .iter()
            .find(|(_, c)| c.client == client)
            .map(|(&op, c)| (op, c.begun));
        match waits {
            // Its node died, or is frozen: an operator repeats what was not answered.
            Some((op, begun)) if self.now > begun + CALL + CALL / 2 => {
                self.calls.remove(&op);
                if let Client::Operator { put: Some(put), .. } = &mut self.clients[client] {
                    put.open = true;
                }
            }
            Some(_) => return,
            None => {}
        }
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|&n| self.nodes[n].register.is_some())
            .collect();
        if running.is_empty() {
            return;
        }
        let node = running[self.rng.usize(..running.len())];
        let fresh = self.rng.u64(..);
        let now = self.now;
        let mut renews = false;
        let change = match &mut self.clients[client] {
            Client::Reader => None,
            Client::Operator { known, put } => {
                if put.as_ref().is_some_and(|p| p.calls >= REPEATS) {
                    *put = None;
                }
                let put = put.get_or_insert(Put {
                    if_match: *known,
                    id: fresh,
                    calls: 0,
                    open: false,
                });
                put.calls += 1;
                Some(Change::Put {
                    if_match: put.if_match,
                    id: put.id,
                })
            }
            Client::Holder { name, life, hold } => {
                let holder = LeaseHolder {
                    name: format!("holder-{name}"),
                    incarnation: *life,
                };
                Some(Change::Lease(match hold {
                    Some(hold) if now < hold.until => {
                        renews = true;
                        match fresh % 12 {
                            0 => LeaseChange::Release {
                                holder,
                                fencing_token: hold.fencing_token,
                                waited: now >= hold.from,
                            },
                            _ => LeaseChange::Renew {
                                holder,
                                fencing_token: hold.fencing_token,
                            },
                        }
                    }
                    _ => {
                        *hold = None;
                        // Now and then it is another life of the same name.
                        *life += u64::from(fresh.is_multiple_of(5));
                        LeaseChange::Acquire {
                            holder: LeaseHolder {
                                incarnation: *life,
                                ..holder
                            },
                            duration: SPAN,
                        }
                    }
                }))
            }
        };
        if matches!(change, Some(Change::Lease(LeaseChange::Release { .. })))
            && let Client::Holder { hold, .. } = &mut self.clients[client]
        {
            // It acts no more, whatever becomes of the call.
            *hold = None;
        }
        self.next_op += 1;
        let op = self.next_op;
        let call = Call {
            client,
            node,
            begun: now,
            least: self.judge.newest_acknowledged(),
            renews,
        };
        self.calls.insert(op, call);
        self.log(|| format!("call {op} of client {client} at node {node}: {change:?}"));
        let Some(register) = &mut self.nodes[node].register else {
            return;
        };
        match change {
            Some(change) => register.propose(op, change.encode(), now + CALL, now),
            None => register.read(op, now + CALL, now),
        }
        self.drain(node);
    }

    /// Holders act whenever they may by their own clock.
    pub fn act(&mut self) {
        for client in &self.clients {
            if let Client::Holder {
                hold: Some(hold), ..
            } = client
                && self.now >= hold.from
                && self.now < hold.until
            {
                self.judge.act(hold.fencing_token);
            }
        }
    }

    pub fn done(&mut self, op: u64, outcome: Outcome) {
        let Some(call) = self.calls.remove(&op) else {
            return;
        };
        self.log(|| format!("call {op} done: {}", brief(&outcome)));
        let now = self.now;
        match &mut self.clients[call.client] {
            Client::Reader => {
                if let Outcome::Answered(body) = outcome {
                    self.judge.read(call.least, &body);
                }
            }
            Client::Operator { known, put } => {
                let Some(open) = put else { return };
                match outcome {
                    Outcome::Answered(answer) => {
                        match Answer::decode(&answer) {
                            Answer::Taken { version } => {
                                self.judge.acknowledged(version, open.id);
                                *known = version.max(*known);
                                self.acknowledgements += 1;
                            }
                            Answer::Mismatch { version } => {
                                self.judge.refused(open.id);
                                *known = version;
                            }
                            other => self.judge.broken(format!("an operator was told {other:?}")),
                        }
                        *put = None;
                    }
                    Outcome::Unknown => open.open = true,
                    Outcome::Rejected(
                        Rejection::NoQuorum | Rejection::NoGroup | Rejection::Busy,
                    ) if !open.open => {
                        self.judge.refused(open.id);
                        *put = None;
                    }
                    Outcome::Rejected(_) => {}
                }
            }
            Client::Holder { hold, name, .. } => {
                let Outcome::Answered(answer) = outcome else {
                    return;
                };
                match (Answer::decode(&answer), hold) {
                    (
                        Answer::Lease(LeaseAnswer::Acquired {
                            fencing_token,
                            takeover_wait,
                        }),
                        hold,
                    ) => {
                        self.judge.handed(fencing_token, *name, op);
                        *hold = Some(Hold {
                            fencing_token,
                            from: now + takeover_wait,
                            until: call.begun + SPAN,
                        });
                    }
                    (Answer::Lease(LeaseAnswer::Renewed), Some(hold)) if call.renews => {
                        hold.until = hold.until.max(call.begun + SPAN);
                    }
                    (Answer::Lease(LeaseAnswer::Rejected { .. }), hold) => *hold = None,
                    (Answer::Lease(_), _) => {}
                    (other, _) => self.judge.broken(format!("a holder was told {other:?}")),
                }
            }
        }
    }
}

fn brief(outcome: &Outcome) -> String {
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
