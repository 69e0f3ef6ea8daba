//! Accepts clients as long as there is any descriptor to hold them with.
use super::budget::DescriptorBudget;
use super::client::{self, ClientContext, ClientEvent};
use crate::invariant::OccurrenceCounter;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Pause while descriptors are short, so as not to spin.
const PAUSE: Duration = Duration::from_millis(5);

/// `most`: so many are carried in full. Whoever comes beyond them takes the place of one that idles,
/// or is told at once to come back: a message counts as taken once it is in our kernel, so that not
/// accepting would lose it.
pub async fn accept<M: From<ClientEvent> + 'static>(
    listener: TcpListener,
    share: Rc<DescriptorBudget>,
    most: usize,
    context: Rc<ClientContext<M>>,
) {
    let (errors, told) = (OccurrenceCounter::default(), OccurrenceCounter::default());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                if let Some(count) = errors.again() {
                    log::warn!("accept: {error}, {count} times so far");
                }
                context.idlers.ask_first();
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let permit = loop {
            match share.take() {
                Some(permit) => break permit,
                // Guards against waiting for connections that nobody has asked to close.
                None => {
                    context.idlers.ask_first();
                    let _ = timeout(PAUSE, share.freed()).await;
                }
            }
        };
        if share.held() > most {
            // Those just accepted show that they idle only once they have run.
            tokio::task::yield_now().await;
        }
        let beyond = share.held() > most && !context.idlers.ask_first();
        if let Some(count) = beyond.then(|| told.again()).flatten() {
            log::warn!("more clients than descriptors: told to come back, {count} so far");
        }
        tokio::task::spawn_local(client::serve_connection(
            stream,
            permit,
            beyond,
            context.clone(),
        ));
    }
}
