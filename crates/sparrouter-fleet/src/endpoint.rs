//! The doors for servers and operators: a tree of matchers over method and path, and readiness.
use crate::http::{self, Answer, NoRequest, Request, Room};
use crate::net::{self, Listener, Stream};
use bytes::BytesMut;
use sparrouter_http::reading;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Largest body, longest head, most connections, and how long one may rest.
const BODY: usize = 9 << 20;
const HEAD: usize = 32 << 10;
const MOST: usize = 800;
/// Once so many rest, further ones close after their answer: a thousand servers that rest between their beats would
/// leave the operator no place.
const MOST_RESTING: usize = MOST * 3 / 4;
const IDLE: Duration = Duration::from_secs(20);

pub type Answering = Pin<Box<dyn Future<Output = Answer>>>;
type Handler = Rc<dyn Fn(Rc<Request>, Vec<String>) -> Answering>;

/// A place in the tree: what may follow it in the path, and what is done here by method.
#[derive(Default)]
pub struct Matcher {
    words: Vec<(&'static str, Matcher)>,
    any: Option<Box<Matcher>>,
    methods: Vec<(&'static str, Handler)>,
}

impl Matcher {
    /// Below this place, the place that `path` leads to; `*` stands for any one word, handed to the handler.
    pub fn on<A: Future<Output = Answer> + 'static>(
        mut self,
        method: &'static str,
        path: &'static str,
        handle: impl Fn(Rc<Request>, Vec<String>) -> A + 'static,
    ) -> Matcher {
        let mut place = &mut self;
        for word in path.split('/').filter(|w| !w.is_empty()) {
            place = if word == "*" {
                place.any.get_or_insert_default()
            } else {
                let at = place
                    .words
                    .iter()
                    .position(|w| w.0 == word)
                    .unwrap_or_else(|| {
                        place.words.push((word, Matcher::default()));
                        place.words.len() - 1
                    });
                &mut place.words[at].1
            };
        }
        place
            .methods
            .push((method, Rc::new(move |r, w| Box::pin(handle(r, w)))));
        self
    }

    fn find(&self, path: &str) -> Option<(&Matcher, Vec<String>)> {
        let (mut place, mut words) = (self, Vec::new());
        for word in path.split('/').filter(|w| !w.is_empty()) {
            place = match place.words.iter().find(|w| w.0 == word) {
                Some((_, next)) => next,
                None => {
                    words.push(word.to_owned());
                    place.any.as_deref()?
                }
            };
        }
        Some((place, words))
    }

    pub async fn answer(&self, request: Rc<Request>) -> Answer {
        let Some((place, words)) = self
            .find(request.path())
            .filter(|(p, _)| !p.methods.is_empty())
        else {
            return Answer::plain(404, "nothing is served under this path");
        };
        match place
            .methods
            .iter()
            .find(|m| m.0.as_bytes() == &request.head.method[..])
        {
            Some((_, handle)) => handle(request, words).await,
            None => Answer::plain(405, "this path takes other methods"),
        }
    }
}

/// Serves a tree until the process ends.
pub async fn listen(door: Box<dyn Listener>, tree: Rc<Matcher>) {
    let places = Arc::new(Semaphore::new(MOST));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let (stream, _) = net::accept(&*door).await;
        let (tree, places) = (tree.clone(), places.clone());
        spawn_local(async move {
            attend(stream, tree, || {
                MOST - places.available_permits() <= MOST_RESTING
            })
            .await;
            drop(place);
        });
    }
}

async fn attend(mut stream: Stream, tree: Rc<Matcher>, may_rest: impl Fn() -> bool) {
    let mut buffer = BytesMut::new();
    let room = Room {
        head: HEAD,
        body: BODY,
        header_timeout: Duration::from_secs(5),
    };
    loop {
        if buffer.is_empty() {
            buffer = BytesMut::new();
            if !matches!(
                timeout(IDLE, reading::more(&mut stream, &mut buffer)).await,
                Ok(Ok(()))
            ) {
                return;
            }
        }
        let until = Instant::now() + Duration::from_secs(15);
        let (answer, keep) = match http::request(&mut stream, &mut buffer, room, until).await {
            Ok(request) => {
                let keep = request.head.keep;
                let answer = tree.answer(Rc::new(request)).await;
                (answer, keep && may_rest())
            }
            Err(NoRequest::Left) => return,
            Err(NoRequest::Refused(status, text)) => (Answer::plain(status, text), false),
        };
        // One that does not read its answer holds no place for ever.
        let wrote = timeout(
            Duration::from_secs(10),
            stream.write_all(&answer.bytes(keep)),
        )
        .await;
        if !matches!(wrote, Ok(Ok(()))) {
            return;
        }
        if !keep {
            return http::linger(stream).await;
        }
    }
}
