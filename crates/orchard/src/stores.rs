//! Following stores of prompt memory: each by one node, which tells all others when one came back empty.
use crate::net::Net;
use crate::node::Node;
use crate::upstream::Upstream;
use bytes::Bytes;
use hedgerow::{Delta, Note};
use miniserde::{Deserialize, json};
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;
use wicket::{head, reading};

/// A store holds a question so long, the longest that it may; it is given so much longer.
const HOLD_MS: u64 = 1_000;
const PATIENCE: Duration = Duration::from_millis(1_600);
/// Between two tries at one that does not answer.
const AGAIN: Duration = Duration::from_millis(150);

/// Told of one that does not answer, in place of its epoch.
const DOWN: u64 = 0;

#[derive(Deserialize)]
struct Told {
    epoch: u64,
    next_page_token: u64,
}

/// Follows the stores that fall to this node, for as long as they do.
pub async fn follow(node: Rc<Node>) {
    let followed: Rc<RefCell<HashSet<SocketAddr>>> = Rc::default();
    loop {
        let stores: Vec<SocketAddr> = match &node.in_force().table {
            Some(table) => table.services.iter().filter_map(|s| Some(s.store.as_ref()?.address)).collect(),
            None => Vec::new(),
        };
        for store in stores {
            if node.keeps(key(store)) && !node.leaving.get() && followed.borrow_mut().insert(store) {
                let (node, followed) = (node.clone(), followed.clone());
                spawn_local(async move {
                    one(&node, store).await;
                    followed.borrow_mut().remove(&store);
                });
            }
        }
        tokio::time::sleep(node.jitter(Duration::from_millis(250))).await;
    }
}

fn key(store: SocketAddr) -> u64 {
    windrow::hash(store.to_string().as_bytes())
}

async fn one(node: &Rc<Node>, store: SocketAddr) {
    let named = || {
        let table = node.in_force().table.clone();
        table.is_some_and(|t| t.services.iter().any(|s| s.store.as_ref().is_some_and(|s| s.address == store)))
    };
    let (mut since, mut failed) = (0, 0);
    while node.keeps(key(store)) && named() && !node.leaving.get() {
        let told = ask(&*node.net, store, since).await;
        match told {
            Some(told) => {
                (since, failed) = (told.next_page_token, 0);
                tell(node, store, told.epoch);
            }
            None => {
                failed += 1;
                // Once may be the network; a dead one costs each server that is pointed at it some hundred ms.
                if failed >= 2 {
                    tell(node, store, DOWN);
                }
                tokio::time::sleep(node.jitter(AGAIN)).await;
            }
        }
    }
}

/// A word on a store's life goes out when it changes. Notes of nodes that followed it before are outbid.
fn tell(node: &Rc<Node>, store: SocketAddr, epoch: u64) {
    let key = format!("store/{store}");
    let known = node.rows.borrow().note(&key).cloned();
    if known.as_ref().is_some_and(|k| k.value == epoch) {
        return;
    }
    let number = known.map_or(1, |k| k.number + 1);
    let note = Note { key, fence: 0, number, value: epoch, over: false };
    node.learn(Delta { notes: vec![note].into(), ..Delta::default() });
}

async fn ask(net: &dyn Net, store: SocketAddr, since: u64) -> Option<Told> {
    let asking = async {
        let mut link = Upstream::dial(net, store).await?;
        let head = format!(
            "GET /api/kv-events?since_time={since} HTTP/1.1\r\nHost: {store}\r\nWait-Ms: {HOLD_MS}\r\n\
             Connection: close\r\n\r\n"
        );
        if !link.send(&Bytes::from(head), &Bytes::new()).await {
            return None;
        }
        let bytes = reading::head(&mut link.stream, &mut link.buffer, head::REPLY, 16 << 10).await.ok()?;
        let head = head::reply(&bytes).ok()?;
        let body =
            crate::http::body(&mut link.stream, &mut link.buffer, head.framing, 4 << 20).await.ok()??;
        if head.status != 200 {
            return None;
        }
        json::from_str(std::str::from_utf8(&body).ok()?).ok()
    };
    timeout(PATIENCE, asking).await.ok()?
}
