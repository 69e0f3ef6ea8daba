//! Connections to other machines, as traits with two implementations: real sockets here, and an in-memory network in
//! the simulation. No other module opens sockets.
use sparrouter_http::reading;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Time without an acknowledgement after which a connection to a server or another node breaks, since a machine that lost
/// power closes none.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for a caller's connection. A caller that reads nothing for a while acknowledges nothing either, and what is
/// written to it ends at the deadline of its request.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(60);
/// Size of the receive buffer of a caller's connection. The operating system's own size grows to some MB for a caller that
/// sends faster than is read, on each connection.
const CALLER_RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Maximum number of connections that the operating system queues until they are accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Pause before another attempt to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// One connection.
pub trait Connection: AsyncRead + AsyncWrite + Unpin {
    /// Reads the available bytes without waiting; see [`reading::read_available`].
    fn read_available(&self, buffer: &mut [u8]) -> Option<io::Result<usize>>;
}

/// A connection of any kind.
pub type Stream = Box<dyn Connection>;
/// A boxed future, which makes the traits here usable as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A socket that accepts connections on one address.
pub trait Listener {
    /// Waits for the next connection and returns it with the peer's address.
    fn accept(&self) -> BoxFuture<'_, io::Result<(Stream, SocketAddr)>>;
}

/// The network, as one machine uses it.
pub trait Net {
    /// Connects to an address. The caller sets the time-out.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Stream>>;
    /// Listens on an address of this machine.
    ///
    /// # Errors
    ///
    /// The error of the operating system, for example if the address is in use.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;
    /// Listens on an address of this machine for connections of other nodes.
    ///
    /// # Errors
    ///
    /// The errors of [`Net::listen`].
    fn listen_for_nodes(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        self.listen(at)
    }
}

/// TCP sockets of the operating system.
pub struct Sockets;

impl Connection for TcpStream {
    fn read_available(&self, buffer: &mut [u8]) -> Option<io::Result<usize>> {
        reading::read_available(self, buffer)
    }
}

/// Sets the options of a new connection.
fn configure(stream: TcpStream, unacknowledged_timeout: Duration) -> Stream {
    // Errors are ignored: without these options the connection works, but sends with delay and detects a failed peer
    // later.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(unacknowledged_timeout));
    Box::new(stream)
}

impl Net for Sockets {
    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async move {
            let stream = TcpStream::connect(to).await?;
            Ok(configure(stream, UNACKNOWLEDGED_TIMEOUT))
        })
    }
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let socket = bind(at)?;
        // Accepted connections inherit the size. Without it the listener works, and bytes of fast callers take more memory.
        let _ = socket.set_recv_buffer_size(CALLER_RECEIVE_BUFFER_BYTES);
        Ok(Box::new(socket.listen(ACCEPT_BACKLOG)?))
    }
    fn listen_for_nodes(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(NodeListener(bind(at)?.listen(ACCEPT_BACKLOG)?)))
    }
}

fn bind(at: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    Ok(socket)
}

/// A listener for connections of other nodes.
struct NodeListener(TcpListener);

impl Listener for NodeListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<(Stream, SocketAddr)>> {
        Box::pin(async move {
            let (stream, from) = self.0.accept().await?;
            Ok((configure(stream, UNACKNOWLEDGED_TIMEOUT), from))
        })
    }
}

impl Listener for TcpListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<(Stream, SocketAddr)>> {
        Box::pin(async move {
            let (stream, from) = TcpListener::accept(self).await?;
            Ok((configure(stream, CALLER_UNACKNOWLEDGED_TIMEOUT), from))
        })
    }
}

/// The network, shared by the tasks of a process.
pub type SharedNet = Rc<dyn Net>;

/// Waits for the next connection. After an error, such as too few file descriptors, it retries until it succeeds.
pub async fn accept(listener: &dyn Listener) -> (Stream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(connection) => return connection,
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
