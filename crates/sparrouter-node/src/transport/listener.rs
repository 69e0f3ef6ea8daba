//! Accepts clients while descriptors are available.
use super::budget::{Budget, Reservation};
use super::client::{self, ClientContext, ClientEvent};
use crate::invariant::OccurrenceCounter;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Delay between attempts while no descriptor is available, to avoid a busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts clients until the task ends; at most `max_served` of them are served. A further client gets the descriptor
/// of an idle connection, or a 503 that allows a retry. It is accepted even to be rejected, because a message counts as
/// received once it is in this machine's kernel: a connection that is never accepted would lose it.
pub async fn accept<M: From<ClientEvent> + 'static>(
    listener: TcpListener,
    budget: Rc<Budget>,
    max_served: usize,
    context: Rc<ClientContext<M>>,
) {
    let (errors, rejections) = (OccurrenceCounter::default(), OccurrenceCounter::default());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                if let Some(count) = errors.increment() {
                    log::warn!("accept: {error}, {count} times so far");
                }
                context.idle.close_one();
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let descriptor = reserve(&budget, &context).await;
        if budget.reserved() > max_served {
            // Connections that were just accepted register as idle only after their tasks have run.
            tokio::task::yield_now().await;
        }
        let is_rejected = budget.reserved() > max_served && !context.idle.close_one();
        if is_rejected && let Some(count) = rejections.increment() {
            log::warn!("more clients than descriptors: told to come back, {count} so far");
        }
        tokio::task::spawn_local(client::serve_connection(
            stream,
            descriptor,
            is_rejected,
            context.clone(),
        ));
    }
}

/// Waits until a descriptor is available and reserves it.
async fn reserve<M>(budget: &Rc<Budget>, context: &ClientContext<M>) -> Reservation {
    loop {
        match budget.reserve() {
            Some(descriptor) => return descriptor,
            // Guards against waiting for a release without having asked any idle connection to close.
            None => {
                context.idle.close_one();
                let _ = timeout(RETRY_DELAY, budget.released()).await;
            }
        }
    }
}
