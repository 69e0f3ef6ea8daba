//! Following what servers and stores keep of prompts: each by one node, which tells the owners of the parts.
//!
//! A store's life is told to all nodes as well: one that does not answer is not named, one that came back empty is told
//! to keep things again.
use crate::node::Node;
use crate::platform::net::Net;
use crate::platform::upstream::{SendOutcome, Upstream};
use bytes::Bytes;
use miniserde::json::{Number, Value};
use miniserde::{Deserialize, json};
use sparrouter_config::Service;
use sparrouter_http::{head, reading};
use sparrouter_membership::{MembershipDelta, ServerDirective};
use sparrouter_prefix_index::{BlockChange, EventPage, Source};
use sparrouter_rendezvous::SlotTable;
use sparrouter_routing::Server;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A question is held so long, the longest that it may be; it is given so much longer.
const HOLD_MS: u64 = 1_000;
const PATIENCE: Duration = Duration::from_millis(1_600);
/// Between two questions: what happens meanwhile comes in one answer.
const GATHER: Duration = Duration::from_millis(100);
/// Between two tries at one that does not answer, and the longest that it grows to.
const AGAIN: Duration = Duration::from_millis(150);
const LONGEST_AGAIN: Duration = Duration::from_secs(2);
/// Largest answer.
const MOST_BODY: usize = 4 << 20;
/// Parts of fewer tokens are not worth a word: they are read sooner than they are asked for.
const LEAST: u64 = 64;

/// Update of a store that does not answer, in place of its epoch.
const DOWN: u64 = 0;

/// What is followed, by the hash that the index knows it by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Followed {
    name: u64,
    address: SocketAddr,
    store: bool,
}

#[derive(Deserialize)]
struct Update {
    epoch: u64,
    next_page_token: u64,
    lost_count: Option<Value>,
    events: Vec<Value>,
}

/// What decides what falls to this node: nothing is looked through again while it is the same.
#[derive(Clone, Debug, Default)]
struct Assignment {
    owners: Rc<SlotTable>,
    server_changes: u64,
    config_sequence: u64,
}

impl Assignment {
    fn now(node: &Node) -> Assignment {
        Assignment {
            owners: node.live_nodes().owners().clone(),
            server_changes: node.server_table.borrow().changes(),
            config_sequence: node.active_configuration().slot,
        }
    }

    fn is_same(&self, other: &Assignment) -> bool {
        Rc::ptr_eq(&self.owners, &other.owners)
            && self.server_changes == other.server_changes
            && self.config_sequence == other.config_sequence
    }
}

/// Which sources this node follows now, by name, and whether one ended since the last look.
#[derive(Default)]
struct Following {
    names: RefCell<HashSet<u64>>,
    ended: Cell<bool>,
}

/// Follows whatever falls to this node, for as long as it does.
pub async fn follow(node: Rc<Node>) {
    let following: Rc<Following> = Rc::default();
    let mut looked_at = Assignment::default();
    loop {
        let assignment = Assignment::now(&node);
        let ended = following.ended.replace(false);
        if ended || !assignment.is_same(&looked_at) {
            looked_at = assignment;
            start_new(&node, &following);
        }
        tokio::time::sleep(node.jitter(Duration::from_millis(250))).await;
    }
}

/// Starts to follow what falls to this node and is not followed yet.
fn start_new(node: &Rc<Node>, following: &Rc<Following>) {
    if node.is_leaving() {
        return;
    }
    for one in assigned_here(node) {
        if !following.names.borrow_mut().insert(one.name) {
            continue;
        }
        let (node, following) = (node.clone(), following.clone());
        spawn_local(async move {
            keep_on(&node, one).await;
            following.names.borrow_mut().remove(&one.name);
            following.ended.set(true);
        });
    }
}

/// Of all that can be followed what falls to this node: stores of the configuration, and servers of services that keep
/// prompts.
fn assigned_here(node: &Node) -> Vec<Followed> {
    let config = node.active_configuration();
    let Some(table) = &config.table else {
        return Vec::new();
    };
    let server_table = node.server_table.borrow();
    let stores = table
        .services
        .iter()
        .filter_map(|service| service.store.as_ref())
        .map(|store| Followed {
            name: key(store.address),
            address: store.address,
            store: true,
        });
    let servers = table
        .services
        .iter()
        .filter(|service| keeps_prompts(service))
        .flat_map(|service| server_table.of_service(&service.name))
        .filter(|(_, server)| !server.is_unresponsive())
        .map(|(_, server)| followed_server(server));
    stores
        .chain(servers)
        .filter(|one| node.keeps(one.name))
        .collect()
}

/// Whether it is still there to be followed, as it was: looked up, not searched for.
fn is_there(node: &Node, one: &Followed) -> bool {
    let config = node.active_configuration();
    let Some(table) = &config.table else {
        return false;
    };
    if one.store {
        let mut stores = table.services.iter().filter_map(|s| s.store.as_ref());
        return stores.any(|store| store.address == one.address);
    }
    let server_table = node.server_table.borrow();
    server_table.by_id_hash(one.name).is_some_and(|server| {
        !server.is_unresponsive()
            && followed_server(server) == *one
            && table.service(&server.service).is_some_and(keeps_prompts)
    })
}

fn followed_server(server: &Server) -> Followed {
    Followed {
        name: server.hash(),
        address: server.address,
        store: false,
    }
}

/// Whether the servers of a service keep prompts, and tell of them.
fn keeps_prompts(service: &Service) -> bool {
    service
        .engine
        .as_ref()
        .is_some_and(|engine| engine.max_concurrent > 0)
}

fn key(store: SocketAddr) -> u64 {
    sparrouter_rendezvous::hash(store.to_string().as_bytes())
}

async fn keep_on(node: &Rc<Node>, one: Followed) {
    let mut source = Source::default();
    let (mut failed, mut link) = (0u32, None);
    while node.keeps(one.name) && !node.is_leaving() && is_there(node, &one) {
        match ask(&*node.net, &mut link, one.address, source.next_event()).await {
            Some(page) => {
                failed = 0;
                if one.store {
                    tell_life(node, one.address, page.epoch);
                }
                let void = source.apply_page(page);
                node.report_cached_blocks(&mut source, one.name, void);
                tokio::time::sleep(GATHER).await;
            }
            None => {
                failed += 1;
                link = None;
                // Once may be the network; a dead one costs each server that is pointed at it some hundred ms.
                if failed >= 2 && one.store {
                    tell_life(node, one.address, DOWN);
                }
                let wait = AGAIN * failed.min(32);
                let longest = if one.store { AGAIN } else { LONGEST_AGAIN };
                tokio::time::sleep(node.jitter(wait.min(longest))).await;
            }
        }
    }
    if !is_there(node, &one) {
        // It is gone: nothing that was told of it holds, and nobody follows it to take that back.
        node.report_cached_blocks(&mut Source::default(), one.name, true);
    }
}

/// A word on a store's life goes out when it changes. Notes of nodes that followed it before are outbid.
fn tell_life(node: &Rc<Node>, store: SocketAddr, epoch: u64) {
    let key = format!("store/{store}");
    let known = node.membership.borrow().directive(&key).cloned();
    if known.as_ref().is_some_and(|k| k.version == epoch) {
        return;
    }
    let number = known.map_or(1, |k| k.sequence + 1);
    let note = ServerDirective {
        key,
        fencing_token: 0,
        sequence: number,
        version: epoch,
        withdrawn: false,
    };
    node.merge_records(MembershipDelta {
        directives: vec![note].into(),
        ..MembershipDelta::default()
    });
}

/// One question, on the connection of the last where it was kept.
async fn ask(
    net: &dyn Net,
    kept: &mut Option<Upstream>,
    at: SocketAddr,
    since: u64,
) -> Option<EventPage> {
    let asking = async {
        // What came on it unasked would be taken for the answer to this question.
        let mut link = match kept.take().filter(Upstream::is_silent) {
            Some(link) => link,
            None => Upstream::dial(net, at).await?,
        };
        let head = format!(
            "GET /api/kv-events?since_time={since} HTTP/1.1\r\nHost: {at}\r\nWait-Ms: {HOLD_MS}\r\n\r\n"
        );
        if link.send(&Bytes::from(head), &Bytes::new()).await == SendOutcome::Nothing {
            return None;
        }
        let bytes = reading::head(&mut link.stream, &mut link.buffer, head::REPLY, 16 << 10)
            .await
            .ok()?;
        let head = head::parse_response(&bytes).ok()?;
        let body = crate::platform::http::read_body(
            &mut link.stream,
            &mut link.buffer,
            head.framing,
            MOST_BODY,
        );
        let body = body.await.ok()??;
        let page = if head.status == 200 {
            page(&body)
        } else {
            None
        };
        if link.is_reusable(&head) {
            *kept = Some(link);
        }
        page
    };
    timeout(PATIENCE, asking).await.ok()?
}

/// Reads an answer; events that can't be read are passed over. None where it is no answer at all.
pub fn page(body: &[u8]) -> Option<EventPage> {
    let told: Update = json::from_str(std::str::from_utf8(body).ok()?).ok()?;
    let events = told.events.iter().filter_map(change).collect();
    let gap = match told.lost_count {
        Some(Value::Bool(lost)) => lost,
        Some(Value::Number(lost)) => whole(&lost) != Some(0),
        _ => false,
    };
    Some(EventPage {
        epoch: told.epoch,
        next: told.next_page_token,
        gap,
        events,
    })
}

/// `[number, + or -, salt, id, tokens kept now, model]`.
fn change(event: &Value) -> Option<BlockChange> {
    let Value::Array(fields) = event else {
        return None;
    };
    let (Value::String(salt), Value::String(id)) = (fields.get(2)?, fields.get(3)?) else {
        return None;
    };
    let Value::Number(tokens) = fields.get(4)? else {
        return None;
    };
    let tokens = whole(tokens).filter(|t| *t >= LEAST).unwrap_or(0);
    let key = sparrouter_rendezvous::hash(format!("{salt}/{id}").as_bytes());
    Some(BlockChange {
        key,
        tokens: tokens.min(u64::from(u32::MAX)) as u32,
    })
}

fn whole(number: &Number) -> Option<u64> {
    match number {
        Number::U64(n) => Some(*n),
        Number::I64(n) => u64::try_from(*n).ok(),
        Number::F64(n) => Some(n.max(0.0) as u64),
    }
}
