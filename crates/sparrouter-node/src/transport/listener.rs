//! Accepts clients as long as there is any descriptor for them.
use super::budget::{Budget, Reservation};
use super::client::{self, ClientContext, ClientEvent};
use crate::invariant::OccurrenceCounter;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Delay while descriptors are short, so as not to spin.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts clients for good; `max_served` of them are served. A client beyond them gets the descriptor of an idle one,
/// or is answered at once that it may retry: a message counts as received once it is in our kernel, so that not
/// accepting would lose it.
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
            // Those just accepted show that they idle only once they have run.
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

/// Waits for a descriptor.
async fn reserve<M>(budget: &Rc<Budget>, context: &ClientContext<M>) -> Reservation {
    loop {
        match budget.reserve() {
            Some(descriptor) => return descriptor,
            // Guards against waiting for connections that nobody has asked to close.
            None => {
                context.idle.close_one();
                let _ = timeout(RETRY_DELAY, budget.released()).await;
            }
        }
    }
}
