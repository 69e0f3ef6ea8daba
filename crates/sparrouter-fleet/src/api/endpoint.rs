//! HTTP endpoints for servers, operators and readiness checks: a tree of handlers by path and method.
use crate::platform::connections::{ConnectionLimit, ConnectionSlot};
use crate::platform::http::{self, Response};
use crate::platform::memory::{MemoryExhausted, MemoryPool, Reservation};
use crate::platform::net::{self, Listener, Stream};
use crate::platform::request::{self, HeadLimits, Request, RequestReadError, RequestReader};
use bytes::{Bytes, BytesMut};
use sparrouter_http::head::{Framing, RequestHead};
use sparrouter_http::reading;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Maximum length of a request body in bytes, unless its handler takes a longer one.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum number of concurrent connections of an endpoint.
const MAX_CONNECTIONS: usize = 800;
/// Maximum number of connections that are kept alive; above it, each connection is closed after its response. Otherwise a
/// thousand servers that keep connections open between heartbeats would leave no connection for the operator.
const MAX_IDLE_CONNECTIONS: usize = MAX_CONNECTIONS * 3 / 4;
/// Longest time that a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Limits on the head of a request.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 32 << 10,
    timeout: Duration::from_secs(5),
};
/// Longest time that a complete request may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time that the client may take to read the response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry-After of the response to a call for which no memory is available.
const RETRY_WITHOUT_MEMORY: Duration = Duration::from_millis(200);

/// The future of a handler's response.
pub type PendingResponse = Pin<Box<dyn Future<Output = Response>>>;
type Handle = Rc<dyn Fn(Rc<Request>, Vec<String>) -> PendingResponse>;

/// The handler of one method of a path.
struct Handler {
    method: &'static str,
    /// Maximum length of a request's body, in bytes.
    max_body_bytes: usize,
    handle: Handle,
}

/// A node of the handler tree: the path segments that may follow, and the handlers by method.
#[derive(Default)]
pub struct Matcher {
    segments: Vec<(&'static str, Matcher)>,
    /// The node for any segment that is not in `segments`.
    wildcard: Option<Box<Matcher>>,
    handlers: Vec<Handler>,
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

    /// Adds a handler for a method and a path below this node, for bodies of at most 1 MiB. A segment `*` matches any
    /// segment and passes it to the handler; a literal segment takes precedence over `*`.
    pub fn on<A: Future<Output = Response> + 'static>(
        self,
        method: &'static str,
        path: &'static str,
        handle: impl Fn(Rc<Request>, Vec<String>) -> A + 'static,
    ) -> Matcher {
        self.on_body(method, path, MAX_BODY_BYTES, handle)
    }

    /// Adds a handler as [`Matcher::on`] does, for bodies of at most `max_body_bytes`.
    pub fn on_body<A: Future<Output = Response> + 'static>(
        mut self,
        method: &'static str,
        path: &'static str,
        max_body_bytes: usize,
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
        node.handlers.push(Handler {
            method,
            max_body_bytes,
            handle: Rc::new(move |request, segments| Box::pin(handle(request, segments))),
        });
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

    /// Finds the handler of a request, and the segments that wildcards matched.
    ///
    /// # Errors
    ///
    /// The response if there is none: 404 for an unknown path and 405 for an unknown method. HEAD is answered by the handler
    /// of GET.
    fn route(&self, head: &RequestHead) -> Result<(&Handler, Vec<String>), Response> {
        if let Some(response) = &self.all {
            return Err(response.clone());
        }
        let matching = self.find(request::path_of(head));
        let Some((node, matched)) = matching.filter(|(node, _)| !node.handlers.is_empty()) else {
            let text = "no resource is served under this path";
            return Err(Response::plain(404, text));
        };
        let method: &[u8] = if head.is_head() { b"GET" } else { &head.method };
        let has_method = |handler: &&Handler| handler.method.as_bytes() == method;
        match node.handlers.iter().find(has_method) {
            Some(handler) => Ok((handler, matched)),
            None => {
                let text = "the method is not supported by this path";
                Err(Response::plain(405, text))
            }
        }
    }

    /// Finds the handler of a request, as [`Matcher::route`] does.
    fn find_handler(&self, head: &RequestHead) -> Result<&Handler, Response> {
        self.route(head).map(|(handler, _)| handler)
    }

    /// Answers a request with its handler; the response is 404 for an unknown path and 405 for an unknown method.
    pub async fn respond(&self, request: Rc<Request>) -> Response {
        match self.route(&request.head) {
            Ok((handler, matched)) => (handler.handle)(request, matched).await,
            Err(response) => response,
        }
    }
}

/// Serves a handler tree until the process ends. Each connection is served by its own task; `memory` is for the calls on
/// all connections.
pub async fn listen(listener: Box<dyn Listener>, tree: Rc<Matcher>, memory: Rc<MemoryPool>) {
    serve_connections(&*listener, tree, memory, MAX_IDLE_CONNECTIONS).await;
}

/// Serves a handler tree until the future is dropped, when another tree takes over the listener. Each connection is closed
/// after one request, so that it does not stay with this tree.
pub async fn listen_meanwhile(listener: &dyn Listener, tree: Rc<Matcher>, memory: Rc<MemoryPool>) {
    serve_connections(listener, tree, memory, 0).await;
}

/// Accepts and serves connections. With more than `max_idle` connections, each is closed after its response.
async fn serve_connections(
    listener: &dyn Listener,
    tree: Rc<Matcher>,
    memory: Rc<MemoryPool>,
    max_idle: usize,
) {
    let limit = ConnectionLimit::new(MAX_CONNECTIONS, memory.clone());
    loop {
        let free_slot = limit.acquire_now();
        let (stream, _) = net::accept(listener).await;
        let slot = match free_slot {
            Some(slot) => slot,
            None => limit.acquire().await,
        };
        let connection = CallerConnection {
            stream,
            buffer: BytesMut::new(),
            tree: tree.clone(),
            memory: memory.clone(),
            slot,
        };
        let limit = limit.clone();
        spawn_local(async move {
            let may_stay_open = || limit.in_use() <= max_idle;
            connection.serve(may_stay_open).await;
        });
    }
}

/// Why a call is not passed to its handler.
enum UnreadCall {
    /// The connection ended.
    Left,
    /// Others need the connection; it is closed.
    Displaced,
    /// The caller gets this response, and the connection is closed.
    Refused(Response),
}

impl From<RequestReadError> for UnreadCall {
    fn from(error: RequestReadError) -> UnreadCall {
        match error {
            RequestReadError::Left => UnreadCall::Left,
            RequestReadError::Refused(status, text) => {
                UnreadCall::Refused(Response::plain(status, text))
            }
            RequestReadError::MemoryExhausted => {
                UnreadCall::Refused(Response::out_of_memory(RETRY_WITHOUT_MEMORY))
            }
            RequestReadError::Displaced => UnreadCall::Displaced,
        }
    }
}

/// One connection of an endpoint.
struct CallerConnection {
    stream: Stream,
    /// Bytes that have been read ahead of the next call.
    buffer: BytesMut,
    tree: Rc<Matcher>,
    memory: Rc<MemoryPool>,
    slot: ConnectionSlot,
}

impl CallerConnection {
    /// Serves the calls of the connection in sequence.
    async fn serve(mut self, may_stay_open: impl Fn() -> bool) {
        loop {
            if self.buffer.is_empty() && !self.await_call().await {
                return;
            }
            let mut reservation = self.memory.reserve();
            self.slot.begin_wait(reservation.progress());
            let displaced = self.slot.displaced();
            let read = tokio::select! {
                biased;
                () = displaced => Err(RequestReadError::Displaced.into()),
                read = self.read_call(&mut reservation) => read,
            };
            self.slot.end_wait();
            let (bytes, keep_alive) = match read {
                Ok(request) => self.respond(request, &may_stay_open).await,
                Err(UnreadCall::Left) => return,
                Err(UnreadCall::Displaced) => {
                    let response = Response::displaced(RETRY_WITHOUT_MEMORY);
                    self.write(response.bytes(false), false).await;
                    // Another connection waits for the slot of this one.
                    return;
                }
                Err(UnreadCall::Refused(response)) => (response.bytes(false), false),
            };
            drop(reservation);
            if !self.write(bytes, keep_alive).await {
                return;
            }
            if !keep_alive {
                return http::drain_until_closed(self.stream).await;
            }
        }
    }

    /// Answers a call with its handler. Returns the response, and whether the connection stays open after it.
    async fn respond(&self, request: Request, may_stay_open: impl Fn() -> bool) -> (Bytes, bool) {
        let (is_head, asks_keep_alive) = (request.head.is_head(), request.head.keep_alive);
        let response = self.tree.respond(Rc::new(request)).await;
        let keep_alive = asks_keep_alive && may_stay_open();
        (response.bytes_for(is_head, keep_alive), keep_alive)
    }

    /// Waits for the first byte of a call. Returns false if the connection is to be closed.
    async fn await_call(&mut self) -> bool {
        // Frees the buffer of an idle connection.
        self.buffer = BytesMut::new();
        self.slot.begin_wait(Rc::new(Cell::new(Instant::now())));
        let displaced = self.slot.displaced();
        tokio::select! {
            biased;
            read = reading::more(&mut self.stream, &mut self.buffer) => read.is_ok(),
            () = displaced => false,
            () = sleep(IDLE_TIMEOUT) => false,
        }
    }

    /// Reads one call. A body is read only if a handler takes it.
    async fn read_call(&mut self, reservation: &mut Reservation) -> Result<Request, UnreadCall> {
        let mut reader = RequestReader {
            stream: &mut self.stream,
            buffer: &mut self.buffer,
            reservation,
            deadline: Instant::now() + REQUEST_TIMEOUT,
        };
        let head = reader.read_head(HEAD_LIMITS).await?;
        let has_body = head.framing != Framing::Length(0);
        let max_body_bytes = match self.tree.find_handler(&head) {
            Ok(handler) => handler.max_body_bytes,
            Err(response) if has_body => return Err(UnreadCall::Refused(response)),
            // The response is the same, and the connection can be kept alive.
            Err(_) => 0,
        };
        let body = reader.read_body(&head, max_body_bytes).await?;
        Ok(Request { head, body })
    }

    /// Writes a response, whose memory counts until the caller has read it. Returns false if the caller has disconnected
    /// or does not read it in time.
    async fn write(&mut self, bytes: Bytes, keep_alive: bool) -> bool {
        let mut reservation = self.memory.reserve();
        reservation.complete();
        let bytes = match reservation.grow(bytes.len()).await {
            Ok(()) => bytes,
            Err(MemoryExhausted) => Response::out_of_memory(RETRY_WITHOUT_MEMORY).bytes(keep_alive),
        };
        let written = timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes)).await;
        matches!(written, Ok(Ok(())))
    }
}
