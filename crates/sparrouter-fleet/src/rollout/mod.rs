//! Bringing servers to the version of weights that was named: a task of one node for each shard of the services.
//!
//! That node holds a lease with a fencing token from the shard's register. Before each order it renews the lease by a
//! quorum's word and looks at its own steady clock last thing before the bytes leave: an order of a holder that was
//! frozen or replaced meanwhile stays unsent.
//!
//! `choice`: which servers are next; `load`: one server taken to the newest version; `calls`: what goes over the wire.
mod calls;
mod choice;
mod load;

use crate::control::{self, Control, LEASE_SHARDS, shard_of};
use crate::node::Node;
use crate::platform::defects::rules;
use crate::settings::nanos;
use calls::CALL;
use sparrouter_consensus::lease::{LeaseAnswer, LeaseChange, LeaseHolder};
use sparrouter_membership::{MembershipDelta, ServerDirective};
use sparrouter_routing::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Between two looks at what there is to do.
const LOOK: Duration = Duration::from_millis(60);
/// Seconds that one server takes until that was seen: its runs finish first.
const FIRST_GUESS: f64 = 1.2;
/// A lease that was renewed so long ago is renewed before a server is stopped for an order.
const FRESH: Duration = Duration::from_millis(400);

/// What all nodes are told of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DirectiveKind {
    /// It takes new weights soon: long generations keep away.
    Soon,
    /// It takes new weights: nothing new goes to it.
    Load,
}

impl DirectiveKind {
    /// First word of the directive's key.
    fn key(self) -> &'static str {
        match self {
            DirectiveKind::Soon => "soon",
            DirectiveKind::Load => "load",
        }
    }
}

/// The lease of one shard at this node.
#[derive(Clone, Copy)]
struct Held {
    fencing_token: u64,
    /// Nothing is ordered before.
    from: u64,
}

/// The rollout of one shard's services at this node, while it holds the lease or may.
struct RolloutTask {
    node: Rc<Node>,
    control: Rc<Control>,
    shard: u16,
    held: Cell<Option<Held>>,
    /// Servers that are being brought to the newest version.
    loading: RefCell<HashSet<String>>,
    /// Those that come next and were announced, with their model.
    announced: RefCell<HashSet<(String, String)>>,
    /// Number of the last directive.
    directives: Cell<u64>,
    /// Seconds that a server takes, as a moving average.
    seconds_each: Cell<f64>,
    /// When the lease was last renewed.
    renewed: Cell<Nanos>,
    /// What servers had running and waiting, as they told when the work on a version began.
    loads: RefCell<HashMap<String, u32>>,
    /// The model and version for which they were asked.
    asked_for: RefCell<Option<(String, u64)>>,
}

/// Starts this node's tasks, which run for as long as it does.
pub fn start(node: Rc<Node>, control: Rc<Control>) {
    for shard in 1..=LEASE_SHARDS {
        let task = Rc::new(RolloutTask {
            node: node.clone(),
            control: control.clone(),
            shard,
            held: Cell::new(None),
            loading: RefCell::default(),
            announced: RefCell::default(),
            directives: Cell::new(0),
            seconds_each: Cell::new(FIRST_GUESS),
            renewed: Cell::new(0),
            loads: RefCell::default(),
            asked_for: RefCell::default(),
        });
        spawn_local(task.run());
    }
}

impl RolloutTask {
    fn holder(&self) -> LeaseHolder {
        let me = self.node.own_record.borrow();
        // A process that starts anew on its machine is the same holder: the one before it has ended for certain. On
        // another machine it is another.
        LeaseHolder {
            name: format!("{}@{}", me.name, me.internal_address),
            incarnation: 0,
        }
    }

    fn lease(&self) -> Duration {
        self.node.settings.borrow().bounds.lease
    }

    async fn change_lease(&self, change: &LeaseChange, patience: Duration) -> Option<LeaseAnswer> {
        let made = control::change(
            &self.node,
            Some(&self.control),
            self.shard,
            change.encode(),
            patience,
        )
        .await;
        LeaseAnswer::decode(&made.ok()?.answer)
    }

    async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.node.jitter(LOOK)).await;
            let mine = self.control.is_first(self.shard)
                && self.control.has_quorum_contact()
                && !self.node.is_leaving();
            match (mine, self.held.get()) {
                (true, None) => self.acquire().await,
                (false, Some(held)) if self.loading.borrow().is_empty() => self.release(held).await,
                (true, Some(held)) if self.node.now() >= held.from => {
                    self.clear(held);
                    if self.has_work() && self.sure(held).await {
                        self.ask_loads().await;
                        self.clone().begin_loads(held);
                    }
                }
                _ => {}
            }
        }
    }

    /// Takes the lease under a new fencing token, as a quorum confirms it. Neither the disk nor memory of an earlier
    /// process gives a token.
    async fn acquire(&self) {
        if !rules::fencing_tokens_come_from_quorum() && self.take_from_disk() {
            return;
        }
        let span = nanos(self.lease());
        let change = LeaseChange::Acquire {
            holder: self.holder(),
            duration: span,
        };
        match self.change_lease(&change, CALL).await {
            Some(LeaseAnswer::Acquired {
                fencing_token,
                takeover_wait,
            }) => {
                // A tenth more, for clocks that run unlike.
                let from = self.node.now() + takeover_wait + takeover_wait / 10;
                let held = Held {
                    fencing_token,
                    from,
                };
                self.held.set(Some(held));
                self.clear(held);
            }
            _ => tokio::time::sleep(self.node.jitter(LOOK * 4)).await,
        }
    }

    /// Planted: believes the lease that the disk has.
    fn take_from_disk(&self) -> bool {
        let lease = self.control.unconfirmed_lease(self.shard);
        let Some(lease) = lease.filter(|l| l.holder.as_ref() == Some(&self.holder())) else {
            return false;
        };
        let from = self.node.now();
        let fence = lease.fencing_token;
        self.held.set(Some(Held {
            fencing_token: fence,
            from,
        }));
        true
    }

    /// What holders before this one told of servers and did not take back: nobody is at work there any more.
    fn clear(&self, held: Held) {
        let left: Vec<ServerDirective> = {
            let (rows, server_table) = (
                self.node.membership.borrow(),
                self.node.server_table.borrow(),
            );
            let mine = |key: &str| {
                let id = key.split('/').nth(1).unwrap_or_default();
                let server = server_table.find(id).and_then(|ix| server_table.get(ix));
                server.is_some_and(|s| shard_of(&s.service) == self.shard)
            };
            let kind = |key: &str| key.starts_with("load/") || key.starts_with("soon/");
            let left = rows.directives().filter(|n| {
                !n.withdrawn && n.fencing_token < held.fencing_token && kind(&n.key) && mine(&n.key)
            });
            left.cloned().collect()
        };
        for note in left {
            let over = ServerDirective {
                fencing_token: held.fencing_token,
                sequence: 0,
                version: 0,
                withdrawn: true,
                ..note
            };
            self.node.merge_records(MembershipDelta {
                directives: vec![over].into(),
                ..MembershipDelta::default()
            });
        }
    }

    async fn release(&self, held: Held) {
        self.held.set(None);
        self.announced.borrow_mut().clear();
        let waited = self.node.now() >= held.from;
        let change = LeaseChange::Release {
            holder: self.holder(),
            fencing_token: held.fencing_token,
            waited,
        };
        // Unheard, the lease runs out by itself.
        self.change_lease(&change, CALL).await;
    }

    /// Whether the lease is this node's for certain, by a word of a quorum not long ago.
    async fn sure(&self, held: Held) -> bool {
        if self.since_renewal() < nanos(FRESH) {
            return true;
        }
        self.renew(held).await
    }

    fn since_renewal(&self) -> Nanos {
        self.node.now().saturating_sub(self.renewed.get())
    }

    async fn renew(&self, held: Held) -> bool {
        let began = self.node.now();
        if !rules::orders_renew_lease() || !rules::fencing_tokens_come_from_quorum() {
            self.renewed.set(began);
            return true;
        }
        let renew = LeaseChange::Renew {
            holder: self.holder(),
            fencing_token: held.fencing_token,
        };
        match self.change_lease(&renew, CALL).await {
            Some(LeaseAnswer::Renewed) => {
                self.renewed.set(began);
                true
            }
            Some(LeaseAnswer::Rejected { .. }) => {
                self.held.set(None);
                false
            }
            _ => false,
        }
    }

    /// Tells all nodes what this server is about.
    fn direct(
        &self,
        held: Held,
        kind: DirectiveKind,
        id: &str,
        model: &str,
        version: u64,
        over: bool,
    ) {
        let number = self.directives.get() + 1;
        self.directives.set(number);
        let note = ServerDirective {
            key: format!("{}/{id}/{model}", kind.key()),
            fencing_token: held.fencing_token,
            sequence: number,
            version,
            withdrawn: over,
        };
        self.node.merge_records(MembershipDelta {
            directives: vec![note].into(),
            ..MembershipDelta::default()
        });
    }
}
