//! One forward: waits out the server's faults, does the work and answers.
use super::super::model::{is_selected, warmth, work};
use super::connection::{InFlightForward, Next, closed, send};
use super::work::{MISS_WORK_RATIO, WorkOutcome};
use super::{Role, Server};
use crate::http::{self, Message};
use crate::ledger::ForwardOutcome;
use crate::scenario::arrivals::operation_of;
use crate::{MS, Nanos};
use bytes::BytesMut;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Salts of the draws that select forwards for an error or a reset: the server's number plus these.
const ERROR_SALT: u64 = 1;
const RESET_SALT: u64 = 77;
/// A reset cuts this many bytes off the answer.
const CUT_BYTES: usize = 7;

/// The server's faults and age when a forward arrives.
struct Conditions {
    hangs: bool,
    paused_until: Nanos,
    errors: f64,
    resets: f64,
    started: Option<Nanos>,
}

impl Server {
    fn conditions(&self) -> Conditions {
        let state = self.state();
        Conditions {
            hangs: state.hangs,
            paused_until: state.paused_until,
            errors: state.errors,
            resets: state.resets,
            started: state.started,
        }
    }

    /// A draw by invocation and server; `salt` makes draws for different purposes independent.
    fn selects(&self, id: u64, salt: u64, part: f64) -> bool {
        is_selected(id, u64::from(self.number) + salt, part)
    }

    /// Seconds that a core takes for a forward.
    fn work_seconds(&self, id: u64, hit: bool, started: Option<Nanos>, connect_s: f64) -> f64 {
        let s = &self.lab.scenario.caches;
        let mean = self.mean_work(id);
        if self.role == Role::Origin {
            return work(id, mean);
        }
        let warmth = warmth(started, s.cold_from, s.cold_s, self.lab.now());
        let ratio = if hit { 1.0 } else { MISS_WORK_RATIO };
        (ratio * work(id, mean) + connect_s) / (self.speed * warmth)
    }

    fn holds(&self, message: &Message) -> bool {
        match self.role {
            Role::Cache => !message.writes() && self.state().store.has(message.key()),
            Role::Origin => true,
        }
    }

    /// Carries a write out, unless its idempotency key was seen within the operation's window. True where it ran.
    fn apply_write(&self, id: u64, message: &Message) -> bool {
        let operation = usize::from(operation_of(id));
        let operation = self.lab.scenario.operation.get(operation);
        let window = operation.map_or(0, |o| o.window_ms * MS).max(MS);
        let now = self.lab.now();
        let ran = message.idempotency_key.is_none_or(|key| {
            self.state()
                .idempotency_keys
                .insert_if_new(key, window, now)
        });
        if let Some(fleet) = self.fleet.upgrade() {
            fleet.void(message.key());
        }
        ran
    }

    fn body(&self, id: u64) -> Vec<u8> {
        let mut body = format!("{id:016x}").into_bytes();
        body.resize(self.lab.scenario.caches.body_bytes.max(16), b'.');
        body
    }
}

/// Serves one forward to its end; records its outcome before its reply is written.
pub(super) async fn serve(
    server: &Arc<Server>,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    message: Message,
    mut in_flight: InFlightForward,
    connect_s: f64,
) -> Next {
    let id = in_flight.f.id;
    let conditions = server.conditions();
    if wait_out_faults(server, &conditions, stream, buffer).await == Next::Close {
        return Next::Close;
    }
    let hit = server.holds(&message);
    let seconds = server.work_seconds(id, hit, conditions.started, connect_s);
    if seconds > 0.0 {
        match server.work(seconds, stream, buffer).await {
            WorkOutcome::Done => {}
            WorkOutcome::Full => {
                in_flight.answer(ForwardOutcome::NotRun, stream);
                let fields = "X-Not-Run: 1\r\n";
                return send(stream, "503 Service Unavailable", fields, b"").await;
            }
            WorkOutcome::Withdrawn => {
                in_flight.end(ForwardOutcome::Withdrawn);
                return Next::Close;
            }
        }
    }
    if server.selects(id, ERROR_SALT, conditions.errors) {
        in_flight.answer(ForwardOutcome::Error, stream);
        return send(stream, "500 Oops", "", b"").await;
    }
    if !hit {
        if let Some(fleet) = server.fleet.upgrade() {
            fleet.missed(id, server.number);
        }
        in_flight.answer(ForwardOutcome::Miss, stream);
        return send(stream, "404 Not Found", "X-Cache: miss\r\n", b"").await;
    }
    in_flight.f.ran = message.writes() && server.apply_write(id, &message);
    let repeat = message.writes() && !in_flight.f.ran;
    let outcome = if repeat {
        ForwardOutcome::Repeat
    } else {
        ForwardOutcome::Done
    };
    answer_hit(
        server,
        stream,
        &message,
        in_flight,
        outcome,
        conditions.resets,
    )
    .await
}

async fn answer_hit(
    server: &Arc<Server>,
    stream: &mut TcpStream,
    message: &Message,
    in_flight: InFlightForward,
    outcome: ForwardOutcome,
    resets: f64,
) -> Next {
    let id = in_flight.f.id;
    let body = server.body(id);
    let fields = "X-Cache: hit\r\n";
    if server.selects(id, RESET_SALT, resets) {
        let reply = http::reply("200 OK", fields, &body);
        http::write(stream, &reply[..reply.len() - CUT_BYTES]).await;
        in_flight.end(ForwardOutcome::Reset);
        return Next::Close;
    }
    if server.role == Role::Origin
        && !message.writes()
        && let Some(fleet) = server.fleet.upgrade()
    {
        fleet.answered(id, message.key());
    }
    // Recorded before the write: the client may have the answer before this task runs again.
    in_flight.answer(outcome, stream);
    send(stream, "200 OK", fields, &body).await
}

/// A server that hangs never goes on; a paused one goes on later, unless the node closes first.
async fn wait_out_faults(
    server: &Server,
    conditions: &Conditions,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Next {
    if conditions.hangs {
        closed(stream, buffer).await;
        return Next::Close;
    }
    let now = server.lab.now();
    if conditions.paused_until <= now {
        return Next::Continue;
    }
    tokio::select! {
        biased;
        () = sleep(Duration::from_nanos(conditions.paused_until - now)) => Next::Continue,
        // A paused process learns of the end only later; the record must not wait for that.
        () = closed(stream, buffer) => Next::Close,
    }
}
