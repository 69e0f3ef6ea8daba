//! The platform in front, which asks nodes whether they are ready, and clients by the protocol page: a new id a try,
//! retries by what was promised, a whole answer or none.
use crate::ledger::{Attempt, Ended, Kind, Ledger};
use crate::machine::Machine;
use crate::{HOST, MODEL};
use bytes::BytesMut;
use sparrouter_fleet::client::call::{Call, Outcome, once};
use sparrouter_fleet::net::Sockets;
use sparrouter_http::chunks::{Chunks, Piece};
use sparrouter_http::head::{self, Framing};
use sparrouter_http::reading::{self, Broken};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The platform looks so often, and takes a node out at the second miss.
const LOOK: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;
const COMES_UP: Duration = Duration::from_secs(1);
/// A stream that is silent for so long is abandoned.
const SILENCE: Duration = Duration::from_secs(2);
const RETRIES: u32 = 2;

/// Looks after one node for ever.
pub async fn look_after(machine: Rc<Machine>) {
    let mut misses = MISSES;
    loop {
        let call = Call::get("/api/readiness");
        let asked = once(&Sockets, &call, &call.path, machine.readiness()).await;
        let well = matches!(asked, Outcome::Replied(reply) if reply.status == 200);
        misses = if well { 0 } else { misses + 1 };
        machine.ready.set(misses < MISSES);
        sleep(LOOK).await;
    }
}

#[derive(Clone, Debug)]
pub struct Wish {
    pub kind: Kind,
    pub path: String,
    pub patience: Duration,
}

/// What became of a wish.
#[derive(Clone, Debug)]
pub struct Came {
    pub began: Instant,
    pub end: End,
    /// Until the first event, or the whole body.
    pub first: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
}

pub struct Clients {
    pub ledger: Rc<Ledger>,
    pub machines: Vec<Rc<Machine>>,
    pub rng: RefCell<fastrand::Rng>,
}

impl Clients {
    /// One that the platform passes connections to; of all of them, where fewer than half are in.
    fn pick(&self) -> usize {
        let ready: Vec<usize> = (0..self.machines.len())
            .filter(|n| self.machines[*n].ready.get())
            .collect();
        let mut rng = self.rng.borrow_mut();
        if ready.len() * 2 < self.machines.len() {
            rng.usize(..self.machines.len())
        } else {
            ready[rng.usize(..ready.len())]
        }
    }

    /// One request with its retries, wherever the platform passes them to, or to one node alone.
    pub async fn wish(&self, wish: &Wish, at: Option<usize>) -> Came {
        let began = Instant::now();
        let until = began + wish.patience;
        let mut came = Came {
            began,
            end: End::Failed,
            first: Duration::ZERO,
        };
        for again in 0..=RETRIES {
            let node = at.unwrap_or_else(|| self.pick());
            let tried = self.attempt(wish, node, until).await;
            let Some((ended, first, after)) = tried else {
                // No connection: nothing was read.
                came.end = End::Failed;
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let promised = matches!(ended.status, 408 | 421 | 429 | 503);
            came.end = match ended.status {
                200..=299 if ended.whole => {
                    let first = first.unwrap_or_else(Instant::now);
                    return Came {
                        end: End::Served,
                        first: first - began,
                        ..came
                    };
                }
                0 | 200..=299 => End::Failed,
                _ => End::Refused,
            };
            let last = matches!(ended.status, 400 | 401 | 404 | 413 | 431);
            let left = until.saturating_duration_since(Instant::now());
            if again == RETRIES || last || left.is_zero() || !(promised || wish.kind.repeatable()) {
                break;
            }
            sleep(after.unwrap_or(Duration::from_millis(20)).min(left / 3)).await;
        }
        came
    }

    /// None where no connection came up; else how it ended, when its first event came, what it was told to wait.
    async fn attempt(
        &self,
        wish: &Wish,
        node: usize,
        until: Instant,
    ) -> Option<(Ended, Option<Instant>, Option<Duration>)> {
        let dialled = timeout(COMES_UP, TcpStream::connect(self.machines[node].front())).await;
        let mut stream = dialled.ok()?.ok()?;
        let id = format!("{:016x}", self.rng.borrow_mut().u64(..));
        let topic = self.rng.borrow_mut().u8(..8);
        let body = format!("work of {id}");
        let sent = Instant::now();
        let attempt = Attempt {
            kind: wish.kind,
            path: wish.path.clone(),
            body: body.clone(),
            node,
            sent,
            ended: None,
        };
        self.ledger
            .attempts
            .borrow_mut()
            .insert(id.clone(), attempt);
        let left = until.saturating_duration_since(sent).as_millis().max(1);
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Model: {MODEL}\r\n\
             Sparrouter-Token-Usage: 900,20\r\nSparrouter-Prompt-Prefix: {topic:08x}:800,{}:100\r\n\
             Sparrouter-Deadline-Ms: {left}\r\nSparrouter-Key: key-1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            wish.path,
            &id[..8],
            body.len()
        );
        let mut ended = Ended::default();
        let (mut first, mut after) = (None, None);
        let talking = async {
            stream
                .write_all(text.as_bytes())
                .await
                .map_err(|_| Broken::Reset)?;
            read(&mut stream, &mut ended, &mut first, &mut after).await
        };
        match timeout_at(until, talking).await {
            Ok(Err(Broken::Bad(bad))) => ended.bad = Some(bad.0.to_owned()),
            Ok(_) => {}
            Err(_) => ended.abandoned = true,
        }
        ended.at = Some(Instant::now());
        if let Some(attempt) = self.ledger.attempts.borrow_mut().get_mut(&id) {
            attempt.ended = Some(ended.clone());
        }
        Some((ended, first, after))
    }
}

async fn read(
    stream: &mut TcpStream,
    ended: &mut Ended,
    first: &mut Option<Instant>,
    after: &mut Option<Duration>,
) -> Result<(), Broken> {
    let mut buffer = BytesMut::new();
    let head = head::reply(&reading::head(stream, &mut buffer, head::REPLY, 64 << 10).await?)?;
    let text = |name: &str| head.fields.text(name).unwrap_or_default().to_owned();
    ended.status = head.status;
    ended.seal = text("sparrouter-response-seal");
    ended.id = text("sparrouter-attempt-id");
    *after = text("retry-after")
        .parse()
        .ok()
        .map(Duration::from_secs_f64);
    let mut chunks = Chunks::default();
    let mut body = Vec::new();
    loop {
        match head.framing {
            Framing::Length(length) => {
                let room = length - body.len();
                body.extend_from_slice(&buffer.split_to(buffer.len().min(room)));
                ended.whole = body.len() == length;
            }
            Framing::Chunked => loop {
                match chunks.next(&mut buffer)? {
                    Piece::Data(piece) => body.extend_from_slice(&piece),
                    Piece::More => break,
                    Piece::End => {
                        ended.whole = true;
                        break;
                    }
                }
            },
            Framing::ToEnd => body.extend_from_slice(&buffer.split()),
        }
        if first.is_none() && !body.is_empty() {
            *first = Some(Instant::now());
        }
        ended.body = String::from_utf8_lossy(&body).into_owned();
        if ended.whole {
            return Ok(());
        }
        match timeout(SILENCE, reading::more(stream, &mut buffer)).await {
            Ok(read) => read?,
            Err(_) => {
                ended.abandoned = true;
                return Ok(());
            }
        }
    }
}
