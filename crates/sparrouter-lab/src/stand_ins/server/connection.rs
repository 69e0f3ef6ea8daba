//! Connections of a server: accepts them, reads forwards from them and admits each or turns it away.
use super::forward;
use super::{Role, Server};
use crate::Nanos;
use crate::http::{self, Message, PeekResult, ReadError};
use crate::ledger::{ForwardOutcome, ObservedForward, Record};
use bytes::BytesMut;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A forward at work; recorded when dropped, whatever ends it.
pub(super) struct InFlightForward {
    server: Arc<Server>,
    incarnation: u64,
    pub(super) f: ObservedForward,
}

impl InFlightForward {
    /// Records outcome it ended.
    pub(super) fn end(mut self, outcome: ForwardOutcome) {
        self.f.outcome = outcome;
    }
    /// Ends with an answer, unless the node has gone away before it could have any: what it sends
    /// elsewhere from then on does not overlap.
    pub(super) fn answer(self, outcome: ForwardOutcome, stream: &TcpStream) {
        self.end(if http::probe(stream) == PeekResult::Ended {
            ForwardOutcome::Withdrawn
        } else {
            outcome
        });
    }
}

impl Drop for InFlightForward {
    fn drop(&mut self) {
        let lab = &self.server.lab;
        (self.f.ended_at, self.f.end_lag) = (lab.now(), lab.lag());
        if self.f.outcome == ForwardOutcome::Open && !lab.over.load(Relaxed) {
            let reset = self.incarnation != self.server.incarnation.load(Relaxed);
            self.f.outcome = if reset {
                ForwardOutcome::Reset
            } else {
                ForwardOutcome::Withdrawn
            };
        }
        lab.record(Record::ObservedForward(self.f));
    }
}

/// A connection; closed by a reset where its process has died.
struct Connection {
    server: Arc<Server>,
    incarnation: u64,
    task: u64,
    stream: Option<TcpStream>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.server.open.fetch_sub(1, Relaxed);
        let mut tasks = self.server.tasks.lock().expect("not poisoned");
        tasks.remove(&self.task);
        drop(tasks);
        if self.incarnation != self.server.incarnation.load(Relaxed)
            && let Some(stream) = self.stream.take()
        {
            http::reset(stream);
        }
    }
}

/// Whether a connection goes on after an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    Continue,
    Close,
}

impl Server {
    /// Accepts connections until the listener's task is aborted.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener) {
        let incarnation = self.incarnation.load(Relaxed);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            self.lab.record(Record::Connected { at: self.lab.now() });
            let Ok(stream) = stream.into_std() else {
                continue;
            };
            let server = self.clone();
            self.open.fetch_add(1, Relaxed);
            self.lab.workers.run(move || async move {
                let task = server.next_task.fetch_add(1, Relaxed);
                let stream = TcpStream::from_std(stream).ok();
                let connection = Connection {
                    server: server.clone(),
                    incarnation,
                    task,
                    stream,
                };
                let tasks = server.tasks.lock();
                let mut tasks = tasks.expect("not poisoned");
                let handle = spawn_local(serve_connection(connection)).abort_handle();
                tasks.insert(task, handle);
                drop(tasks);
                // Accepted by a process that has died since.
                if server.incarnation.load(Relaxed) != incarnation
                    && let Some(t) = server.tasks.lock().expect("not poisoned").remove(&task)
                {
                    t.abort();
                }
            });
        }
    }

    fn connection_limit(&self) -> usize {
        if self.role == Role::Origin {
            usize::MAX
        } else {
            self.lab.scenario.caches.connections
        }
    }
}

/// Reads and discards until the other side has closed, or has sent far too much.
pub(super) async fn closed(stream: &mut TcpStream, buffer: &mut BytesMut) {
    use tokio::io::AsyncReadExt;
    loop {
        match stream.read_buf(buffer).await {
            Ok(read) if read > 0 && buffer.len() < 1 << 17 => {}
            _ => return,
        }
    }
}

/// Writes a reply; the connection goes on where that worked.
pub(super) async fn send(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> Next {
    if http::write(stream, &http::reply(status, fields, body)).await {
        Next::Continue
    } else {
        Next::Close
    }
}

async fn serve_connection(mut connection: Connection) {
    let server = connection.server.clone();
    let Some(stream) = connection.stream.as_mut() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut exchanges = Exchanges {
        incarnation: connection.incarnation,
        over_limit: server.open.load(Relaxed) > server.connection_limit(),
        connect_s: server.lab.scenario.caches.connect_ms / 1e3,
        buffer: BytesMut::with_capacity(1024),
        server,
    };
    while exchanges.serve_next(stream).await == Next::Continue {}
}

/// The exchanges of one connection, one after another.
struct Exchanges {
    server: Arc<Server>,
    incarnation: u64,
    /// The server has too many connections: forwards on this one are turned away.
    over_limit: bool,
    /// Work of opening the connection, in core seconds; charged to its first forward.
    connect_s: f64,
    buffer: BytesMut,
}

impl Exchanges {
    async fn serve_next(&mut self, stream: &mut TcpStream) -> Next {
        let lab = self.server.lab.clone();
        let idle = Duration::from_secs_f64(lab.scenario.caches.idle_s);
        let (mut first_byte_at, mut first_lag) = (0, 0);
        let on_first_byte = |arrived_at| (first_byte_at, first_lag) = lab.observed_at(arrived_at);
        let read = http::read(stream, &mut self.buffer, on_first_byte);
        let message = match timeout(idle, read).await {
            Ok(Ok(message)) => message,
            Ok(Err(ReadError::Bad(_))) => {
                send(stream, "400 Bad Request", "", b"").await;
                return Next::Close;
            }
            _ => return Next::Close,
        };
        if message.start_line.1.starts_with("/health/") {
            return send(stream, "200 OK", "", b"").await;
        }
        let Some(id) = message.id else {
            send(stream, "404 Not Found", "", b"").await;
            return Next::Close;
        };
        let now = lab.now();
        let f = ObservedForward {
            id,
            to: self.server.number,
            first_byte_at,
            complete_at: Some(message.arrived_at.map_or(now, |moment| lab.time_at(moment))),
            read_at: now,
            ended_at: now,
            first_lag,
            end_lag: 0,
            outcome: ForwardOutcome::Open,
            ran: false,
            cold: self.server.warmth() < 1.0,
            withdrawn_unseen: http::probe(stream) == PeekResult::Ended,
        };
        let in_flight = InFlightForward {
            server: self.server.clone(),
            incarnation: self.incarnation,
            f,
        };
        self.admit(stream, message, in_flight, now).await
    }

    async fn admit(
        &mut self,
        stream: &mut TcpStream,
        message: Message,
        in_flight: InFlightForward,
        now: Nanos,
    ) -> Next {
        let server = &self.server;
        // A crowd of new connections is accepted late; what was withdrawn meanwhile never runs.
        if in_flight.f.withdrawn_unseen {
            in_flight.end(ForwardOutcome::Withdrawn);
            return Next::Close;
        }
        let work = server.offered_work(&message, in_flight.f.id);
        if server.overloads(work, now) {
            drop(in_flight);
            server.fail_overloaded(now);
            // The server's own death aborts this task; nothing is awaited any more.
            return Next::Close;
        }
        if self.over_limit {
            in_flight.answer(ForwardOutcome::NotRun, stream);
            let fields = "X-Not-Run: 1\r\nConnection: close\r\n";
            send(stream, "503 Service Unavailable", fields, b"").await;
            return Next::Close;
        }
        let connect_s = std::mem::take(&mut self.connect_s);
        let buffer = &mut self.buffer;
        forward::serve(server, stream, buffer, message, in_flight, connect_s).await
    }
}
