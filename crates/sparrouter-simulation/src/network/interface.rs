//! The in-memory network as one machine sees it: the implementation of the fleet's network traits.
#![deny(missing_docs)]

use crate::network::SimulatedNetwork;
use crate::network::connection::End;
use sparrouter_fleet::platform::net::{BoxFuture, Listener, Net, Stream};
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::sync::mpsc;

/// The network of one machine.
#[derive(Clone)]
pub struct NetworkInterface {
    network: Rc<SimulatedNetwork>,
    /// Address of the machine.
    pub ip: IpAddr,
}

impl NetworkInterface {
    /// The network of the machine with this address.
    pub fn new(network: Rc<SimulatedNetwork>, ip: IpAddr) -> NetworkInterface {
        NetworkInterface { network, ip }
    }

    /// Connects a stand-in. Unlike connections of nodes this one has no timeout for unacknowledged bytes.
    pub async fn connect(&self, to: SocketAddr) -> io::Result<End> {
        self.network.dial(self.ip, to, false).await
    }

    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    pub fn open(&self, at: SocketAddr) -> io::Result<SimulatedListener> {
        Ok(SimulatedListener {
            network: self.network.clone(),
            at,
            queue: RefCell::new(self.network.open(at)?),
        })
    }
}

impl Net for NetworkInterface {
    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async move { Ok(Box::new(self.network.dial(self.ip, to, true).await?) as Stream) })
    }
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(self.open(at)?))
    }
}

/// An address that connections are accepted on, until this is dropped.
pub struct SimulatedListener {
    network: Rc<SimulatedNetwork>,
    at: SocketAddr,
    queue: RefCell<mpsc::UnboundedReceiver<(End, SocketAddr)>>,
}

impl SimulatedListener {
    /// Waits for the next connection; gives it with the peer's address.
    pub async fn next(&self) -> (End, SocketAddr) {
        match poll_fn(|context| self.queue.borrow_mut().poll_recv(context)).await {
            Some(connection) => connection,
            // The fabric drops the sender only when the listener is closed.
            None => std::future::pending().await,
        }
    }
}

impl Listener for SimulatedListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<(Stream, SocketAddr)>> {
        Box::pin(async move {
            let (end, from) = self.next().await;
            Ok((Box::new(end) as Stream, from))
        })
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        self.network.close(self.at);
    }
}
