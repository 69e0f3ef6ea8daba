//! Server side of calls between nodes: accepting connections, and the tasks that answer calls.
use super::frames::{self, MAX_QUEUED_FRAMES};
use crate::peer::messages::{BOOTSTRAP_HELLO, Call, HELLO, QUOTA_HELLO, Reply};
use crate::platform::net::{self, Listener, Stream};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, BufReader, ReadHalf, split};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Maximum number of calls of one connection that are answered concurrently.
const MAX_CONCURRENT_CALLS: usize = 128;
/// Maximum number of connections from other nodes.
const MAX_CONNECTIONS: usize = 1_200;
/// Time-out for the first bytes of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections of other nodes and answers their calls with `answer`, until the process ends. `answer` returns
/// `None` for a call that has no reply.
pub async fn serve<F, A>(listener: Box<dyn Listener>, answer: F)
where
    F: Fn(SocketAddr, Call) -> A + Clone + 'static,
    A: Future<Output = Option<Reply>> + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let (stream, peer) = net::accept(&*listener).await;
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let answer = answer.clone();
        spawn_local(async move {
            serve_connection(stream, peer, answer).await;
            drop(permit);
        });
    }
}

/// Serves one connection until it breaks. Calls that are being answered then are completed, without a reply.
async fn serve_connection<F, A>(stream: Stream, peer: SocketAddr, answer: F)
where
    F: Fn(SocketAddr, Call) -> A + Clone + 'static,
    A: Future<Output = Option<Reply>> + 'static,
{
    let (from, into) = split(stream);
    let mut from = BufReader::new(from);
    if !reads_hello(&mut from).await {
        return;
    }
    let (queue, queued) = mpsc::channel(MAX_QUEUED_FRAMES);
    // The fixed order makes runs with the same seed identical.
    tokio::select! {
        biased;
        () = read_calls(from, queue, move |call| answer(peer, call)) => {}
        () = frames::write_queue(into, queued) => {}
    }
}

/// Whether the connection begins with this protocol's name and a version that this release speaks.
async fn reads_hello(from: &mut BufReader<ReadHalf<Stream>>) -> bool {
    let mut hello = [0; HELLO.len()];
    let read = timeout(HELLO_TIMEOUT, from.read_exact(&mut hello)).await;
    matches!(read, Ok(Ok(_))) && [HELLO, QUOTA_HELLO, BOOTSTRAP_HELLO].contains(&&hello)
}

/// Reads calls until the connection breaks; each is answered in a separate task.
async fn read_calls<A>(
    mut from: BufReader<ReadHalf<Stream>>,
    replies: mpsc::Sender<Vec<u8>>,
    answer: impl Fn(Call) -> A,
) where
    A: Future<Output = Option<Reply>> + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    while let Some(frame) = frames::read(&mut from, |_| ()).await {
        let Some(call) = sparrouter_codec::read::<Call>(&frame.body) else {
            return;
        };
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (answering, replies) = (answer(call), replies.clone());
        spawn_local(async move {
            if let Some(reply) = answering.await {
                // The peer may have disconnected before the reply.
                let _ = replies.send(frames::encode(frame.id, &reply)).await;
            }
            drop(permit);
        });
    }
}
