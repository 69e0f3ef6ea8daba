//! HTTP endpoints for servers, operators and readiness checks: a tree of handlers by path and method.
use crate::platform::http::{self, Response};
use crate::platform::memory::MemoryPool;
use crate::platform::net::{self, Listener, Stream};
use crate::platform::request::{ReadLimits, Request, RequestReadError, RequestReader};
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

/// Maximum length of a request body, in bytes: the maximum length of a configuration, with a margin.
const MAX_BODY_BYTES: usize = 9 << 20;
/// Maximum length of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of concurrent connections of an endpoint.
const MAX_CONNECTIONS: usize = 800;
/// Maximum number of connections that are kept alive; above it, each connection is closed after its response. Otherwise a
/// thousand servers that keep connections open between heartbeats would leave no connection for the operator.
const MAX_IDLE_CONNECTIONS: usize = MAX_CONNECTIONS * 3 / 4;
/// Longest time that a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time that a request head may take to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a complete request may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time that the client may take to read the response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The future of a handler's response.
pub type PendingResponse = Pin<Box<dyn Future<Output = Response>>>;
type Handler = Rc<dyn Fn(Rc<Request>, Vec<String>) -> PendingResponse>;

/// A node of the handler tree: the path segments that may follow, and the handlers by method.
#[derive(Default)]
pub struct Matcher {
    segments: Vec<(&'static str, Matcher)>,
    /// The node for any segment that is not in `segments`.
    wildcard: Option<Box<Matcher>>,
    methods: Vec<(&'static str, Handler)>,
    /// Set at the root only: the response to all paths and methods.
    all: Option<Response>,
}

impl Matcher {
    /// Builds a tree that answers every request with `response`.
    pub fn always(response: Response) -> Matcher {
        Matcher {
            all: Some(response),
            ..Matcher::default()
        }
    }

    /// Adds a handler for a method and a path below this node. A segment `*` matches any segment and passes it to the
    /// handler; a literal segment takes precedence over `*`.
    pub fn on<A: Future<Output = Response> + 'static>(
        mut self,
        method: &'static str,
        path: &'static str,
        handle: impl Fn(Rc<Request>, Vec<String>) -> A + 'static,
    ) -> Matcher {
        let mut node = &mut self;
        for segment in path.split('/').filter(|s| !s.is_empty()) {
            node = if segment == "*" {
                node.wildcard.get_or_insert_default()
            } else {
                let known = node.segments.iter().position(|s| s.0 == segment);
                let index = known.unwrap_or_else(|| {
                    node.segments.push((segment, Matcher::default()));
                    node.segments.len() - 1
                });
                &mut node.segments[index].1
            };
        }
        let handler: Handler =
            Rc::new(move |request, segments| Box::pin(handle(request, segments)));
        node.methods.push((method, handler));
        self
    }

    /// Finds the node of a path, and the segments that wildcards matched.
    fn find(&self, path: &str) -> Option<(&Matcher, Vec<String>)> {
        let (mut node, mut matched) = (self, Vec::new());
        for segment in path.split('/').filter(|s| !s.is_empty()) {
            node = match node.segments.iter().find(|s| s.0 == segment) {
                Some((_, next)) => next,
                None => {
                    matched.push(segment.to_owned());
                    node.wildcard.as_deref()?
                }
            };
        }
        Some((node, matched))
    }

    /// Answers a request with its handler; the response is 404 for an unknown path and 405 for an unknown method.
    pub async fn respond(&self, request: Rc<Request>) -> Response {
        if let Some(response) = &self.all {
            return response.clone();
        }
        let Some((node, matched)) = self
            .find(request.path())
            .filter(|(node, _)| !node.methods.is_empty())
        else {
            return Response::plain(404, "no resource is served under this path");
        };
        let method = &request.head.method[..];
        let handler = node.methods.iter().find(|m| m.0.as_bytes() == method);
        match handler {
            Some((_, handle)) => handle(request, matched).await,
            None => Response::plain(405, "the method is not supported by this path"),
        }
    }
}

/// Serves a handler tree until the process ends. Each connection is served by its own task.
pub async fn listen(listener: Box<dyn Listener>, tree: Rc<Matcher>) {
    serve_connections(&*listener, tree, MAX_IDLE_CONNECTIONS).await;
}

/// Serves a handler tree until the future is dropped, when another tree takes over the listener. Each connection is closed
/// after one request, so that it does not stay with this tree.
pub async fn listen_meanwhile(listener: &dyn Listener, tree: Rc<Matcher>) {
    serve_connections(listener, tree, 0).await;
}

/// Accepts and serves connections. With more than `max_idle` connections, each is closed after its response.
async fn serve_connections(listener: &dyn Listener, tree: Rc<Matcher>, max_idle: usize) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, _) = net::accept(listener).await;
        let (tree, permits) = (tree.clone(), permits.clone());
        spawn_local(async move {
            let may_stay_open = || MAX_CONNECTIONS - permits.available_permits() <= max_idle;
            serve_connection(stream, tree, may_stay_open).await;
            drop(permit);
        });
    }
}

/// Serves the requests of one connection in sequence.
async fn serve_connection(mut stream: Stream, tree: Rc<Matcher>, may_stay_open: impl Fn() -> bool) {
    let mut buffer = BytesMut::new();
    let limits = ReadLimits {
        max_head_bytes: MAX_HEAD_BYTES,
        max_body_bytes: MAX_BODY_BYTES,
        header_timeout: HEADER_TIMEOUT,
    };
    loop {
        if buffer.is_empty() {
            // Frees the buffer of an idle connection.
            buffer = BytesMut::new();
            let read = timeout(IDLE_TIMEOUT, reading::more(&mut stream, &mut buffer)).await;
            if !matches!(read, Ok(Ok(()))) {
                return;
            }
        }
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut reader = RequestReader {
            stream: &mut stream,
            buffer: &mut buffer,
            reservation: &mut MemoryPool::unlimited().reserve(),
            deadline,
        };
        let (response, keep_alive) = match reader.read(limits).await {
            Ok(request) => {
                let asks_keep_alive = request.head.keep_alive;
                let response = tree.respond(Rc::new(request)).await;
                (response, asks_keep_alive && may_stay_open())
            }
            Err(RequestReadError::Left | RequestReadError::MemoryExhausted) => return,
            Err(RequestReadError::Refused(status, text)) => (Response::plain(status, text), false),
        };
        // The timeout closes the connection of a client that does not read its response.
        let written = timeout(WRITE_TIMEOUT, stream.write_all(&response.bytes(keep_alive))).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
        if !keep_alive {
            return http::drain_until_closed(stream).await;
        }
    }
}
