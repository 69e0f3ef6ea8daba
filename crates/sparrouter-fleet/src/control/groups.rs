//! Who belongs to the parts' groups: the first ones founded, a member's catching up, and what is seen of the others.
use super::{Control, LEASE_SHARDS, ShardMachine};
use crate::control::disk::WriteRequest;
use crate::node::Node;
use crate::peer::messages::{Call, Reply};
use crate::settings::nanos;
use sparrouter_codec::Blob;
use sparrouter_consensus::{Member, NodeObservation, Record, Register};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The first group is formed once the nodes that count have been the same for so long, or some came in so long.
const SETTLED: Duration = Duration::from_millis(900);
const FOUNDING: Duration = Duration::from_millis(4_000);

impl Control {
    /// Looks after who belongs to the groups, and asks others for what a node that belongs to none should know.
    pub(super) async fn tend(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.node.jitter(Duration::from_millis(200))).await;
            if self.has_quorum_contact() {
                self.node.heard.set(self.node.now());
            }
            let now = self.node.now();
            let mut listening = self.listening.get();
            listening.observe(nanos(self.node.settings.borrow().bounds.contact), now);
            self.listening.set(listening);
            let seen = self.seen();
            let ask = |r: &Register<ShardMachine>| r.members().is_empty();
            let others: Vec<Member> = seen
                .iter()
                .map(|s| s.member.clone())
                .filter(|m| m.disk_id != self.me.disk_id)
                .collect();
            {
                let mut registers = self.registers.borrow_mut();
                let lonely = registers.iter().any(ask) && !others.is_empty();
                let other = if lonely {
                    Some(others[self.node.rng.borrow_mut().usize(..others.len())].clone())
                } else {
                    None
                };
                for register in registers.iter_mut() {
                    if let (true, Some(other)) = (ask(register), &other) {
                        register.request_state(other.clone(), now);
                    }
                    if register.is_member() {
                        register.observe_nodes(&seen, now);
                    }
                }
            }
            self.carry_out();
        }
    }

    /// The nodes that may keep control state, as this one sees them.
    fn seen(&self) -> Vec<NodeObservation> {
        let live = self.node.live_nodes();
        let now = self.node.now();
        let fit = live.control_rows().iter().filter(|n| n.disk_id != 0);
        fit.map(|n| {
            let own = n.disk_id == self.me.disk_id;
            let at = self.contacts.borrow().get(&n.name).copied();
            NodeObservation {
                member: Member {
                    disk_id: n.disk_id,
                    name: n.name.clone(),
                    address: n.internal_address.clone(),
                },
                counts_toward_quorum: true,
                since_last_contact: if own {
                    Some(0)
                } else {
                    at.map(|at| self.listening.get().unresponsive_for(at, now))
                },
                leaving: n.leaving,
            }
        })
        .collect()
    }

    /// The first group's records, from the node that founds it.
    pub fn take_record(&self, records: &[Blob]) -> bool {
        if self.founded.get() {
            return true;
        }
        if records.len() != usize::from(LEASE_SHARDS) + 1 {
            return false;
        }
        let settings = super::settings(&self.node);
        let mut made = Vec::new();
        let now = self.node.now();
        for (part, record) in (0..).zip(records) {
            let rng = self.node.rng.borrow_mut().fork();
            let opened = Register::new(
                part,
                self.me.clone(),
                Some(record),
                ShardMachine(part),
                rng,
                settings.clone(),
                now,
            );
            match opened {
                Ok(register) if register.is_member() => made.push(register),
                _ => return false,
            }
        }
        *self.registers.borrow_mut() = made;
        self.founded.set(true);
        for (part, record) in (0..).zip(records) {
            if let Some(save) = &*self.disk.borrow() {
                // Kept before anything later is: saves are carried out in order.
                save(WriteRequest::Bootstrap {
                    shard: part,
                    bytes: record.0.clone(),
                });
            }
        }
        self.woken.notify_one();
        true
    }
}

/// Founds the first group: on the first start of the whole system, by the first of the three seeds alone, so that
/// there are never two.
pub async fn bootstrap(node: Rc<Node>) {
    let started = Instant::now();
    let mut last: Vec<(String, u64, String)> = Vec::new();
    let mut since = Instant::now();
    let members = loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now: Vec<(String, u64, String)> = {
            let rows = node.membership.borrow();
            let any = rows
                .nodes()
                .any(|n| n.counts_toward_quorum && !n.control_address.is_empty());
            let fit = rows.nodes().filter(|n| {
                !n.control_address.is_empty() && n.disk_id != 0 && (n.counts_toward_quorum || !any)
            });
            fit.map(|n| (n.name.clone(), n.disk_id, n.internal_address.clone()))
                .collect()
        };
        if now != last {
            (last, since) = (now, Instant::now());
        }
        let counted = node
            .membership
            .borrow()
            .nodes()
            .any(|n| n.counts_toward_quorum);
        let enough = since.elapsed() >= SETTLED && (counted || started.elapsed() >= FOUNDING);
        if enough && !last.is_empty() {
            break last;
        }
    };
    let members: Vec<Member> = members
        .into_iter()
        .map(|(name, disk, address)| Member {
            disk_id: disk,
            name,
            address,
        })
        .take(9)
        .collect();
    let records: Vec<Blob> = (0..=LEASE_SHARDS)
        .map(|_| Blob(Record::bootstrap(members.clone(), Vec::new()).encode()))
        .collect();
    log::info!("founding the control state with {} members", members.len());
    let call = Rc::new(Call::Bootstrap {
        records: records.into(),
    });
    for member in members {
        let (node, call) = (node.clone(), call.clone());
        spawn_local(async move {
            let Ok(address) = member.address.parse::<SocketAddr>() else {
                return;
            };
            // Until it has it: it is needed for the first quorum, and was there a moment ago.
            for _ in 0..200 {
                if let Ok(Reply::Acknowledged) = node
                    .links
                    .call(address, &call, Duration::from_millis(500))
                    .await
                {
                    return;
                }
                tokio::time::sleep(node.jitter(Duration::from_millis(50))).await;
            }
        });
    }
}
