//! The network as one machine sees it: the implementation of the fleet's network traits.

use super::SimulatedNetwork;
use super::socket::Socket;
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

    /// Connects a stand-in. Unlike connections of nodes this one has no time-out for unacknowledged bytes.
    ///
    /// # Errors
    ///
    /// If the connection is refused, or the address does not answer in 30 s.
    pub async fn connect(&self, to: SocketAddr) -> io::Result<Socket> {
        self.network.dial(self.ip, to, false).await
    }

    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// If the address is in use.
    pub fn open(&self, address: SocketAddr) -> io::Result<SimulatedListener> {
        Ok(SimulatedListener {
            network: self.network.clone(),
            address,
            accepted: RefCell::new(self.network.open(address)?),
        })
    }
}

impl Net for NetworkInterface {
    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async move {
            let socket = self.network.dial(self.ip, to, true).await?;
            Ok(Box::new(socket) as Stream)
        })
    }

    fn listen(&self, address: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(self.open(address)?))
    }
}

/// An address that connections are accepted on, until this is dropped.
pub struct SimulatedListener {
    network: Rc<SimulatedNetwork>,
    address: SocketAddr,
    accepted: RefCell<mpsc::UnboundedReceiver<(Socket, SocketAddr)>>,
}

impl SimulatedListener {
    /// Waits for the next connection; returns it with the peer's address.
    pub async fn next(&self) -> (Socket, SocketAddr) {
        match poll_fn(|context| self.accepted.borrow_mut().poll_recv(context)).await {
            Some(connection) => connection,
            // The network drops the sender only when the listener is closed.
            None => std::future::pending().await,
        }
    }
}

impl Listener for SimulatedListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<(Stream, SocketAddr)>> {
        Box::pin(async move {
            let (socket, from) = self.next().await;
            Ok((Box::new(socket) as Stream, from))
        })
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        self.network.close(self.address);
    }
}
