//! Accepts clients as long as there is any descriptor to hold them with.
use super::budget::Share;
use super::client::{self, ClientSays, House};
use crate::counted::Often;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Pause while descriptors are short, so as not to spin.
const PAUSE: Duration = Duration::from_millis(5);

/// `most`: so many are carried in full. Whoever comes beyond them takes the place of one that idles,
/// or is told at once to come back: a message counts as taken once it is in our kernel, so that not
/// accepting would lose it.
pub async fn accept<M: From<ClientSays> + 'static>(
    listener: TcpListener,
    share: Rc<Share>,
    most: usize,
    house: Rc<House<M>>,
) {
    let (errors, told) = (Often::default(), Often::default());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                if let Some(count) = errors.again() {
                    log::warn!("accept: {error}, {count} times so far");
                }
                house.idlers.ask_first();
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
                    house.idlers.ask_first();
                    let _ = timeout(PAUSE, share.freed()).await;
                }
            }
        };
        if share.held() > most {
            // Those just accepted show that they idle only once they have run.
            tokio::task::yield_now().await;
        }
        let beyond = share.held() > most && !house.idlers.ask_first();
        if let Some(count) = beyond.then(|| told.again()).flatten() {
            log::warn!("more clients than descriptors: told to come back, {count} so far");
        }
        tokio::task::spawn_local(client::attend(stream, permit, beyond, house.clone()));
    }
}
