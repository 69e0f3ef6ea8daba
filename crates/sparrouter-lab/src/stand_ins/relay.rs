//! A bare forwarder of bytes on one thread: what a proxy costs that reads nothing of what it passes on.
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Runs until killed: each connection to the next address in turn.
///
/// # Errors
///
/// The runtime cannot be started, or the address not be bound.
pub fn run(listen: SocketAddr, to: &[SocketAddr]) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(listen).await?;
        let mut next = 0;
        loop {
            let Ok((mut near, _)) = listener.accept().await else {
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            let target = to[next % to.len()];
            next += 1;
            spawn_local(async move {
                let Ok(mut far) = TcpStream::connect(target).await else {
                    return;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let _ = copy_bidirectional(&mut near, &mut far).await;
            });
        }
    })
}
