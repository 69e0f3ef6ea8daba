//! Connections to servers: kept while a server keeps them, looked at before each use, one exchange at a time.
use crate::net::{Net, Stream};
use bytes::{Bytes, BytesMut};
use sparrouter_http::head::ReplyHead;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout};

/// How long a connection may take to come up.
const DIAL: Duration = Duration::from_millis(600);
/// Kept so long where the server says nothing of it.
const UNTOLD: Duration = Duration::from_millis(400);
/// Given up so long before the server may close it: a request sent into a close may have run.
const MARGIN: Duration = Duration::from_millis(600);
/// Most that rest at one server.
const RESTING: usize = 32;

pub struct Upstream {
    pub stream: Stream,
    pub buffer: BytesMut,
    /// It carried an exchange before: bytes on it may meet a close.
    pub used: bool,
    until: Instant,
}

impl Upstream {
    pub async fn dial(net: &dyn Net, to: SocketAddr) -> Option<Upstream> {
        let stream = timeout(DIAL, net.dial(to)).await.ok()?.ok()?;
        Some(Upstream {
            stream,
            buffer: BytesMut::new(),
            used: false,
            until: Instant::now(),
        })
    }

    /// Writes a whole request. False where it was not written whole: the server can't have run it.
    pub async fn send(&mut self, head: &Bytes, body: &Bytes) -> bool {
        // Small ones leave in one piece.
        if body.len() < 16 << 10 {
            let mut whole = BytesMut::with_capacity(head.len() + body.len());
            whole.extend_from_slice(head);
            whole.extend_from_slice(body);
            return self.stream.write_all(&whole).await.is_ok();
        }
        self.stream.write_all(head).await.is_ok() && self.stream.write_all(body).await.is_ok()
    }

    /// Open and silent, as a resting connection must be.
    fn silent(&self) -> bool {
        self.buffer.is_empty() && self.stream.at_hand(&mut [0]).is_none()
    }
}

/// How long a server keeps a connection after this answer.
fn kept_for(head: &ReplyHead) -> Duration {
    let told = head.fields.text("keep-alive").and_then(|told| {
        let seconds = told
            .split(',')
            .find_map(|w| w.trim().strip_prefix("timeout="));
        seconds.unwrap_or(told).trim().parse::<u64>().ok()
    });
    match told {
        Some(seconds) => Duration::from_secs(seconds.min(3_600)).saturating_sub(MARGIN),
        None => UNTOLD,
    }
}

#[derive(Default)]
pub struct Pool {
    resting: RefCell<BTreeMap<String, Vec<Upstream>>>,
}

impl Pool {
    /// One to this instance that can carry an exchange, the last used first.
    pub fn take(&self, instance: &str) -> Option<Upstream> {
        let mut resting = self.resting.borrow_mut();
        let all = resting.get_mut(instance)?;
        let now = Instant::now();
        while let Some(link) = all.pop() {
            if link.until > now && link.silent() {
                return Some(link);
            }
        }
        resting.remove(instance);
        None
    }

    /// Its answer is whole: it may carry another.
    pub fn put(&self, instance: &str, mut link: Upstream, head: &ReplyHead) {
        let kept = kept_for(head);
        if !head.keep || !link.buffer.is_empty() || kept.is_zero() {
            return;
        }
        link.buffer = BytesMut::new();
        link.used = true;
        link.until = Instant::now() + kept;
        let mut resting = self.resting.borrow_mut();
        let all = resting.entry(instance.to_owned()).or_default();
        if all.len() < RESTING {
            all.push(link);
        }
    }

    /// Closes what is past its time, and all to instances that `there` does not know.
    pub fn sweep(&self, there: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.resting.borrow_mut().retain(|instance, all| {
            all.retain(|l| l.until > now);
            !all.is_empty() && there(instance)
        });
    }

    pub fn clear(&self) {
        self.resting.borrow_mut().clear();
    }
}
