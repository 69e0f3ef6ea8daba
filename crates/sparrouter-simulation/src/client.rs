//! Clients by their page: a new id a try, retries by what was promised, a whole answer or none.
use crate::connection::End;
use crate::judge::{Answer, Asked, Judge};
use crate::net::MemoryNet;
use crate::plan::Kind;
use crate::platform::Platform;
use crate::server::MODEL;
use bytes::{Bytes, BytesMut};
use fastrand::Rng;
use sparrouter_fleet::net::Wire;
use sparrouter_http::chunks::{Chunks, Piece};
use sparrouter_http::head::{self, Framing};
use sparrouter_http::reading;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A new connection is given so long to come up; a stream may be silent for so long.
const COMES_UP: Duration = Duration::from_secs(1);
const SILENCE: Duration = Duration::from_secs(2);

/// What a client wants.
#[derive(Clone, Debug)]
pub struct Wish {
    pub host: String,
    pub path: String,
    pub kind: Kind,
    pub key: String,
    pub zone: String,
    pub deadline: Duration,
    pub retries: u32,
    /// Shared part of the prompt.
    pub topic: String,
    /// Its tokens.
    pub shared: u64,
    /// It leaves so long after it asked, whatever came.
    pub leaves: Option<Duration>,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    Served,
    /// The last answer's status.
    Refused(u16),
    Failed,
}

pub struct Client {
    net: MemoryNet,
    judge: Rc<Judge>,
    platform: Rc<Platform>,
    rng: RefCell<Rng>,
    /// A connection that may carry another request, and which node's life it is to.
    kept: RefCell<Option<(End, SocketAddr, u64)>>,
    keeps: bool,
}

impl Client {
    pub fn new(
        net: MemoryNet,
        judge: Rc<Judge>,
        platform: Rc<Platform>,
        rng: Rng,
        keeps: bool,
    ) -> Client {
        Client {
            net,
            judge,
            platform,
            rng: RefCell::new(rng),
            kept: RefCell::default(),
            keeps,
        }
    }

    /// One request with its retries, wherever the platform passes it to.
    pub async fn get(&self, wish: &Wish) -> Came {
        self.get_from(wish, None).await
    }

    /// One request, sent directly to one life of a node.
    pub async fn get_at(&self, wish: &Wish, to: SocketAddr, life: u64) -> Came {
        self.get_from(wish, Some((to, life))).await
    }

    async fn get_from(&self, wish: &Wish, direct: Option<(SocketAddr, u64)>) -> Came {
        let until = Instant::now() + wish.deadline;
        let mut came = Came::Failed;
        for _ in 0..=wish.retries {
            if Instant::now() >= until {
                break;
            }
            let (answer, retry_after, unread) = self.attempt(wish, until, direct).await;
            let promised = matches!(answer.status, 408 | 421 | 429 | 503);
            came = match answer.status {
                200..=299 if answer.whole => return Came::Served,
                0 | 200..=299 => Came::Failed,
                status => Came::Refused(status),
            };
            let last = matches!(answer.status, 200..=299 | 400 | 401 | 404 | 413 | 431);
            if last || !(wish.kind.repeatable() || promised || unread) {
                break;
            }
            let left = until.saturating_duration_since(Instant::now());
            sleep(
                retry_after
                    .unwrap_or(Duration::from_millis(20))
                    .min(left / 3),
            )
            .await;
        }
        came
    }

    /// One try; also what it was told to wait, and whether the node proved not to have read it.
    async fn attempt(
        &self,
        wish: &Wish,
        until: Instant,
        direct: Option<(SocketAddr, u64)>,
    ) -> (Answer, Option<Duration>, bool) {
        let id = format!("{:016x}", self.rng.borrow_mut().u64(..));
        let mut answer = Answer::default();
        let kept = self.kept.borrow_mut().take();
        let kept = kept.filter(|(end, ..)| match end.at_hand(&mut [0; 64]) {
            None => true,
            Some(Ok(0) | Err(_)) => false,
            Some(Ok(_)) => {
                self.judge
                    .breach("MIXED", "bytes on a connection where no request waits");
                false
            }
        });
        let (mut stream, to, life) = match kept {
            Some(kept) => kept,
            None => {
                let pick =
                    direct.or_else(|| self.platform.pick(&wish.zone, &mut self.rng.borrow_mut()));
                let Some((to, life)) = pick else {
                    return (answer, None, true);
                };
                let dialled = timeout(COMES_UP, self.net.connect(to)).await;
                let Ok(Ok(stream)) = dialled else {
                    return (answer, None, true);
                };
                (stream, to, life)
            }
        };
        let body = Bytes::from(format!("body of {id}"));
        let asked = Asked {
            method: "POST".to_owned(),
            host: wish.host.clone(),
            path: wish.path.clone(),
            body: body.clone(),
            key: wish.key.clone(),
            kind: wish.kind,
            node: to.ip(),
            life,
            until,
        };
        self.judge.asked(&id, asked);
        let left = until
            .saturating_duration_since(Instant::now())
            .as_millis()
            .max(1);
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nSparrouter-Attempt-Id: {id}\r\nSparrouter-Model: {MODEL}\r\n\
             Sparrouter-Token-Usage: {},20\r\nSparrouter-Prompt-Prefix: {}:{},{}:100\r\n\
             Sparrouter-Deadline-Ms: {left}\r\nSparrouter-Key: {}\r\nContent-Length: {}\r\n\r\n",
            wish.path,
            wish.host,
            wish.shared + 100,
            wish.topic,
            wish.shared,
            &id[..8],
            wish.key,
            body.len()
        );
        let mut keep = false;
        let mut after = None;
        if stream
            .write_all(&[head.as_bytes(), &body].concat())
            .await
            .is_ok()
        {
            let reading = self.read(&mut stream, &mut answer);
            let last = wish
                .leaves
                .map_or(until, |after| until.min(Instant::now() + after));
            match timeout_at(last, reading).await {
                Ok((kept, told)) => (keep, after) = (kept, told),
                Err(_) => answer.abandoned = true,
            }
        }
        // Nobody knows on a reset; an end before any byte says that it was not read only where nothing ran.
        self.judge.answered(&id, &answer);
        if keep && self.keeps && answer.whole {
            *self.kept.borrow_mut() = Some((stream, to, life));
        }
        (answer, after, false)
    }

    /// Whether the connection may go on, and what was told to wait.
    async fn read(&self, stream: &mut End, answer: &mut Answer) -> (bool, Option<Duration>) {
        let mut buffer = BytesMut::new();
        let bytes = match reading::head(stream, &mut buffer, head::REPLY, 64 << 10).await {
            Ok(bytes) => bytes,
            Err(reading::Broken::Bad(bad)) => {
                answer.bad = Some(bad.0);
                return (false, None);
            }
            Err(_) => return (false, None),
        };
        let head = match head::reply(&bytes) {
            Ok(head) => head,
            Err(bad) => {
                answer.bad = Some(bad.0);
                return (false, None);
            }
        };
        let text = |name: &str| head.fields.text(name).map(str::to_owned);
        answer.status = head.status;
        answer.seal = text("sparrouter-response-seal");
        answer.attempt = text("sparrouter-attempt-id");
        answer.streams = text("content-type").is_some_and(|t| t == "text/event-stream");
        let after = text("retry-after")
            .and_then(|s| s.parse().ok())
            .map(Duration::from_secs_f64);
        let mut chunks = Chunks::default();
        loop {
            match head.framing {
                Framing::Length(length) => {
                    let room = length - answer.body.len();
                    let piece = buffer.split_to(buffer.len().min(room));
                    answer.body.extend_from_slice(&piece);
                    answer.whole = answer.body.len() == length;
                }
                Framing::Chunked => loop {
                    match chunks.next(&mut buffer) {
                        Ok(Piece::Data(piece)) => answer.body.extend_from_slice(&piece),
                        Ok(Piece::More) => break,
                        Ok(Piece::End) => {
                            answer.whole = true;
                            break;
                        }
                        Err(bad) => {
                            answer.bad = Some(bad.0);
                            return (false, after);
                        }
                    }
                },
                Framing::ToEnd => answer.body.extend_from_slice(&buffer.split()),
            }
            if answer.whole {
                return (head.keep && buffer.is_empty(), after);
            }
            match timeout(SILENCE, reading::more(stream, &mut buffer)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => {
                    // A body up to the end of the connection can't be told from a broken one.
                    return (false, after);
                }
                Err(_) => {
                    answer.abandoned = true;
                    return (false, after);
                }
            }
        }
    }
}
