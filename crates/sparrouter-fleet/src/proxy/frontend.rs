//! The client edge: connections, one request at a time on each, limits of the configuration, an honest end.
use crate::node::{Node, OpenRequest};
use crate::platform::defects::rules;
use crate::platform::http::{self, ReadLimits, RequestReadError, Response};
use crate::platform::net::{self, Listener, Stream};
use crate::platform::upstream::Pool;
use crate::proxy::exchange::{self, Ended};
use bytes::BytesMut;
use sparrouter_http::reading;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::{Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Before a configuration is known.
const USUAL: sparrouter_config::Limits = sparrouter_config::Limits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// Longest time for a body, as a multiple of that for a head.
const BODY_TIMES: u32 = 4;

/// How long the first request of a new connection is waited for while the process leaves.
const FIRST_REQUEST: Duration = Duration::from_millis(500);

/// How far the node is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum Stage {
    Serving,
    /// No longer ready, but all that comes is still taken and answered.
    Leaving,
    /// Connections between requests are closed.
    Closing,
}

/// Takes clients until connections are closed for a departure: from then on a client that is still passed here finds no
/// listener and asks another node at once. `most`: connections at a time.
pub async fn listen(
    node: Rc<Node>,
    door: Box<dyn Listener>,
    stage: watch::Receiver<Stage>,
    most: usize,
) {
    let pool = Rc::new(Pool::default());
    let places = Arc::new(Semaphore::new(most.max(16)));
    spawn_local(sweep(node.clone(), pool.clone()));
    loop {
        // Beyond its places the node leaves clients waiting to be accepted: others have room.
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let mut closing = stage.clone();
        let (stream, _) = tokio::select! {
            biased;
            accepted = net::accept(&*door) => accepted,
            _ = closing.wait_for(|s| *s >= Stage::Closing), if rules::shutdown_limits_admission() => return,
        };
        let (node, pool, stage) = (node.clone(), pool.clone(), stage.clone());
        spawn_local(async move {
            attend(node, pool, stream, stage).await;
            drop(place);
        });
    }
}

async fn sweep(node: Rc<Node>, pool: Rc<Pool>) {
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let server_table = node.server_table.borrow();
        pool.sweep(|id| server_table.find(id).is_some());
    }
}

async fn attend(
    node: Rc<Node>,
    pool: Rc<Pool>,
    mut stream: Stream,
    mut stage: watch::Receiver<Stage>,
) {
    let mut buffer = BytesMut::new();
    let mut is_new = true;
    loop {
        let limits = node
            .active_configuration()
            .table
            .as_ref()
            .map_or(USUAL, |t| t.limits.clone());
        if buffer.is_empty()
            && !first_byte(&mut stream, &mut buffer, &limits, &mut stage, is_new).await
        {
            return;
        }
        let _open = OpenRequest::begin(&node.traffic);
        let header_timeout = Duration::from_millis(limits.header_timeout_ms.max(1));
        let room = ReadLimits {
            max_head_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            header_timeout,
        };
        // The client's time runs from its first byte, not from the end of a long body.
        let came = Instant::now();
        let until = came + header_timeout * BODY_TIMES;
        let request = match http::read_request(&mut stream, &mut buffer, room, until).await {
            Ok(request) => request,
            Err(RequestReadError::Left) => return,
            Err(RequestReadError::Refused(status, text)) => {
                // The client may have left meanwhile.
                let _ = stream
                    .write_all(&Response::plain(status, text).bytes(false))
                    .await;
                return http::drain_until_closed(stream).await;
            }
        };
        let came = if !rules::deadline_runs_from_first_byte() {
            Instant::now()
        } else {
            came
        };
        is_new = false;
        let keep = request.head.keep_alive && *stage.borrow() == Stage::Serving;
        let ended =
            exchange::serve(&node, &pool, &request, came, &mut stream, &mut buffer, keep).await;
        match ended {
            Ended::Kept => {}
            Ended::Closed => return,
            Ended::Own(answer) => {
                let keep = keep && answer.status < 500;
                let wrote = timeout(
                    Duration::from_secs(5),
                    stream.write_all(&answer.bytes(keep)),
                )
                .await;
                if !matches!(wrote, Ok(Ok(()))) {
                    return;
                }
                if !keep {
                    return http::drain_until_closed(stream).await;
                }
            }
        }
        if !keep {
            return http::drain_until_closed(stream).await;
        }
    }
}

/// Ends once connections between requests are closed. On a new connection the first request follows the handshake: it is
/// waited for a moment, so that it is answered and not cut off.
async fn closing(stage: &mut watch::Receiver<Stage>, is_new: bool) {
    let accepted = Instant::now();
    // An error means that the process ends.
    let _ = stage.wait_for(|s| *s >= Stage::Closing).await;
    if is_new {
        tokio::time::sleep_until(accepted + FIRST_REQUEST).await;
    }
}

/// Waits for a request to begin. False where the connection is to be closed.
async fn first_byte(
    stream: &mut Stream,
    buffer: &mut BytesMut,
    limits: &sparrouter_config::Limits,
    stage: &mut watch::Receiver<Stage>,
    is_new: bool,
) -> bool {
    *buffer = BytesMut::new();
    let idle = Duration::from_millis(limits.idle_timeout_ms.max(1));
    tokio::select! {
        biased;
        read = reading::more(stream, buffer) => return read.is_ok(),
        () = closing(stage, is_new) => {}
        () = tokio::time::sleep(idle) => {}
    }
    // Guards against closing over a request that has come since the runtime last looked.
    let mut piece = [0; 4096];
    match stream.read_available(&mut piece) {
        Some(Ok(read)) if read > 0 => {
            buffer.extend_from_slice(&piece[..read]);
            true
        }
        _ => false,
    }
}
