//! Asking sources for what is new, and telling them what was heard here.
use crate::node::Node;
use crate::peer::links::LinkError;
use crate::peer::messages::{Call, Poll, Reply, Update};
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_codec::Seq;
use sparrouter_membership::{MembershipDelta, SOURCE_COUNT, sources};
use sparrouter_routing::{Nanos, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// A source holds its answer so long while there is nothing new, and is given so much longer.
const HOLD: Duration = Duration::from_millis(1_200);
/// Nodes of the core know from these polls that they are in touch, and so ask more often.
const HOLD_OF_CORE: Duration = Duration::from_millis(600);
const PATIENCE: Duration = Duration::from_millis(500);
/// Between two tries where nobody answers.
const AGAIN: Duration = Duration::from_millis(60);
/// How often the patience of a node without a configuration doubles: many that start at once may fill the sources'
/// lines with large answers, of which each that is given up is sent again.
const MOST_DOUBLINGS: u32 = 3;
/// A source that failed is left out so long, while there are others.
const AVOID: Duration = Duration::from_millis(800);

/// Nobody with quorum contact was heard of for so long: the seeds are asked too, every other time.
const LOST: Duration = Duration::from_millis(2_200);

/// A process that starts asks at short intervals until it is informed, but no longer than this.
const EAGER: Duration = Duration::from_secs(10);
const EAGER_HOLD_MS: u32 = 40;

/// What is known of sources, at this node.
#[derive(Default)]
pub struct Sources {
    /// Failed, or not in touch with a quorum: left out until then.
    avoid: RefCell<HashMap<SocketAddr, u64>>,
    /// Which of the loops asks whom.
    asked: RefCell<Vec<Option<SocketAddr>>>,
    /// Revision that is known of each source's rows.
    known: RefCell<HashMap<SocketAddr, (u64, u64)>>,
    /// Which process at each source has this node's row, and which form of it.
    has_row: RefCell<HashMap<SocketAddr, (u64, RowForm)>>,
    wants_whole: Cell<bool>,
    /// Polls in a row that nobody answered, while this node has no configuration.
    unanswered: Cell<u32>,
}

/// What changes in a node's own row while it runs: its life, and whether it leaves.
type RowForm = (u64, bool);

impl Sources {
    /// Whom this loop asks next.
    fn next(&self, node: &Node, place: usize, all: bool) -> Option<SocketAddr> {
        let now = node.now();
        let own = node
            .settings
            .borrow()
            .internal_of(node.settings.borrow().ip);
        self.avoid.borrow_mut().retain(|_, until| *until > now);
        let core: Vec<(String, SocketAddr)> =
            node.core().into_iter().filter(|c| c.1 != own).collect();
        let fine = |a: &SocketAddr| !self.avoid.borrow().contains_key(a);
        let silent = |name: &str| {
            node.membership
                .borrow()
                .node(name)
                .is_some_and(|n| n.unresponsive || n.leaving)
        };
        if all {
            return core.get(place).map(|c| c.1);
        }
        let name = node.settings.borrow().node_name.clone();
        let ranked = sources(
            &name,
            core.iter()
                .map(|(n, a)| (n.as_str(), fine(a) && !silent(n))),
            core.len(),
        );
        let ranked: Vec<SocketAddr> = ranked
            .iter()
            .filter_map(|n| core.iter().find(|c| c.0 == *n).map(|c| c.1))
            .collect();
        let taken = |a: &SocketAddr| {
            let asked = self.asked.borrow();
            asked
                .iter()
                .enumerate()
                .any(|(i, other)| i != place && *other == Some(*a))
        };
        let free = ranked.iter().find(|a| fine(a) && !taken(a)).copied();
        let seeds: Vec<SocketAddr> = {
            let boot = node.settings.borrow();
            boot.seeds
                .iter()
                .map(|s| boot.internal_of(s.ip()))
                .filter(|a| *a != own)
                .collect()
        };
        // The settings' seeds are for who knows nobody that answers.
        let seed = || {
            let good: Vec<SocketAddr> = seeds
                .iter()
                .filter(|a| fine(a) && !taken(a))
                .copied()
                .collect();
            (!good.is_empty()).then(|| good[node.rng.borrow_mut().usize(..good.len())])
        };
        let any = || {
            let every: Vec<SocketAddr> = ranked.iter().chain(&seeds).copied().collect();
            (!every.is_empty()).then(|| every[node.rng.borrow_mut().usize(..every.len())])
        };
        let spare = if place == 0 { any() } else { None };
        // Machines that are gone for good time out more slowly than they are left out: without this a node that was cut
        // off while all it knows were replaced would go on asking those for ever.
        let lost =
            now.saturating_sub(node.heard.get()) > nanos(LOST) && node.rng.borrow_mut().bool();
        let first = if lost { seed() } else { None };
        first.or(free).or_else(seed).or(spare)
    }

    /// How long a poll may take that is held for `hold` at most.
    fn patience(&self, node: &Node, hold: Duration) -> Duration {
        let doublings =
            if node.active_configuration().slot == 0 && rules::arriving_replies_extend_timeout() {
                self.unanswered.get().min(MOST_DOUBLINGS)
            } else {
                0
            };
        (hold + PATIENCE) * (1 << doublings)
    }

    fn failed(&self, node: &Node, source: SocketAddr) {
        self.avoid
            .borrow_mut()
            .insert(source, node.now() + nanos(AVOID));
    }
}

/// Asks sources for ever. A node of the core asks all others of it; any other node a few.
pub fn start(node: Rc<Node>, in_core: bool) -> Rc<Sources> {
    let state = Rc::new(Sources::default());
    if in_core {
        spawn_local(ask_all(node, state.clone()));
    } else {
        state.asked.borrow_mut().resize(SOURCE_COUNT, None);
        for place in 0..SOURCE_COUNT {
            spawn_local(ask_few(node.clone(), state.clone(), place));
        }
    }
    state
}

async fn ask_few(node: Rc<Node>, state: Rc<Sources>, place: usize) {
    loop {
        let Some(source) = state.next(&node, place, false) else {
            tokio::time::sleep(node.jitter(AGAIN * 4)).await;
            continue;
        };
        state.asked.borrow_mut()[place] = Some(source);
        match ask(&node, &state, source, HOLD).await {
            Some(true) => {}
            _ => {
                state.failed(&node, source);
                tokio::time::sleep(node.jitter(AGAIN)).await;
            }
        }
    }
}

/// One loop for each other node of the core, started as they become known.
async fn ask_all(node: Rc<Node>, state: Rc<Sources>) {
    let running: Rc<RefCell<Vec<SocketAddr>>> = Rc::default();
    loop {
        let own = node
            .settings
            .borrow()
            .internal_of(node.settings.borrow().ip);
        let mut wanted: Vec<SocketAddr> = node.core().into_iter().map(|c| c.1).collect();
        {
            let boot = node.settings.borrow();
            wanted.extend(boot.seeds.iter().map(|s| boot.internal_of(s.ip())));
        }
        for source in wanted {
            if source == own || running.borrow().contains(&source) {
                continue;
            }
            running.borrow_mut().push(source);
            let (node, state, running) = (node.clone(), state.clone(), running.clone());
            spawn_local(async move {
                // Until it is no longer named: then the loop ends, and starts anew should it be.
                loop {
                    let named = node.core().iter().any(|c| c.1 == source) || {
                        let boot = node.settings.borrow();
                        boot.seeds.iter().any(|s| s.ip() == source.ip())
                    };
                    if !named {
                        break;
                    }
                    if ask(&node, &state, source, HOLD_OF_CORE).await.is_none() {
                        tokio::time::sleep(node.jitter(AGAIN * 3)).await;
                    }
                }
                running.borrow_mut().retain(|a| *a != source);
            });
        }
        tokio::time::sleep(node.jitter(Duration::from_millis(150))).await;
    }
}

/// One poll. None where it failed; else whether the source has contact with a quorum.
async fn ask(node: &Rc<Node>, state: &Sources, source: SocketAddr, hold: Duration) -> Option<bool> {
    let (epoch, revision) = state
        .known
        .borrow()
        .get(&source)
        .copied()
        .unwrap_or_default();
    let hold = node.configuration_lease.borrow().poll_wait(hold);
    let row = node.own_record.borrow().clone();
    let form = (row.incarnation, row.leaving);
    let has_row = state.has_row.borrow().get(&source) == Some(&(epoch, form));
    let poll = Poll {
        name: row.name.clone(),
        record: (!has_row).then_some(row),
        epoch,
        revision,
        config_slot: node.active_configuration().slot,
        config_digest: if state.wants_whole.take() {
            0
        } else {
            node.active_configuration().digest
        },
        max_wait_ms: if node.informed.get() || node.now() > nanos(EAGER) {
            hold.as_millis() as u32
        } else {
            EAGER_HOLD_MS
        },
        models: if has_row {
            Seq::default()
        } else {
            node.model_updates()
        },
    };
    let asked = node.now();
    let patience = state.patience(node, hold);
    let reply = node.links.call(source, &Call::Poll(poll), patience).await;
    let unanswered = match reply {
        Ok(_) => 0,
        // One that is not there says nothing of the lines.
        Err(LinkError::Unreachable) => state.unanswered.get(),
        Err(_) => state.unanswered.get().saturating_add(1),
    };
    state.unanswered.set(unanswered);
    let reply = reply.ok()?;
    let Reply::Update(told) = reply else {
        return None;
    };
    let Update {
        records: rows,
        config,
        confirmed,
    } = told;
    if !rows.is_empty() {
        let delta = MembershipDelta::unpack(&rows)?;
        state
            .known
            .borrow_mut()
            .insert(source, (delta.epoch, delta.revision));
        node.merge_records(delta);
    }
    // It was read by the process that answered, whose epoch is known by now.
    let epoch = state.known.borrow().get(&source).map_or(0, |k| k.0);
    if !has_row {
        state.has_row.borrow_mut().insert(source, (epoch, form));
    }
    let is_taken = config.is_none_or(|config| {
        let is_taken = node.apply_configuration(config);
        // A change of a text that is not the one here: what is in force comes whole with the next poll.
        state.wants_whole.set(!is_taken);
        is_taken
    });
    if let Some(read) = confirmed.filter(|_| is_taken) {
        // The poll came to the source after it was sent here.
        node.confirm_configuration(moment_of(asked).saturating_add(nanos_of(read.began_ms)));
    }
    let confirmed = confirmed.is_some() && is_timely(asked, node.now(), patience);
    if confirmed {
        node.heard.set(node.now());
        node.informed.set(true);
    }
    Some(confirmed)
}

fn moment_of(at: Nanos) -> Timestamp {
    Timestamp::try_from(at).unwrap_or(Timestamp::MAX)
}

/// Milliseconds in nanoseconds.
fn nanos_of(ms: i64) -> Timestamp {
    const NANOS_PER_MS: i64 = 1_000_000;
    ms.saturating_mul(NANOS_PER_MS)
}

/// Whether a source with quorum contact answered this node lately.
pub fn has_recent_quorum_contact(node: &Node) -> bool {
    node.now().saturating_sub(node.heard.get()) <= nanos(LOST)
}

/// Whether the answer to a call that was sent at `asked` still says what is so. One that waited while this process was
/// frozen says what was, and the timer of the call has not fired if the answer was read before it.
pub fn is_timely(asked: Nanos, now: Nanos, patience: Duration) -> bool {
    now.saturating_sub(asked) <= nanos(patience) || !rules::late_poll_replies_ignored()
}

/// Tells the members of rows that changed here. True once another machine has them that is in contact with a quorum.
pub async fn notify(node: &Rc<Node>, delta: &MembershipDelta, patience: Duration) -> bool {
    let own = node
        .settings
        .borrow()
        .internal_of(node.settings.borrow().ip);
    let core = node.core();
    let silent = |name: &str| {
        node.membership
            .borrow()
            .node(name)
            .is_some_and(|n| n.unresponsive)
    };
    let mut to: Vec<SocketAddr> = core
        .iter()
        .filter(|c| c.1 != own && !silent(&c.0))
        .map(|c| c.1)
        .collect();
    if to.is_empty() {
        to = core.iter().filter(|c| c.1 != own).map(|c| c.1).collect();
    }
    if to.is_empty() {
        return false;
    }
    let (done, mut heard) = tokio::sync::mpsc::channel(to.len());
    let call = Rc::new(Call::Notify(delta.clone()));
    for source in to {
        let (node, call, done) = (node.clone(), call.clone(), done.clone());
        spawn_local(async move {
            let reply = node.links.call(source, &call, patience).await;
            // Nobody listens any more once one has answered.
            let _ = done.send(matches!(reply, Ok(Reply::Acknowledged))).await;
        });
    }
    drop(done);
    while let Some(has) = heard.recv().await {
        if has {
            return true;
        }
    }
    false
}
