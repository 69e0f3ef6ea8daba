//! The way to other machines: sockets, or a network in memory where stories are told. Nothing else opens any.
use sparrouter_http::reading;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Unacknowledged bytes may be so old: a machine without power or behind a cut says nothing.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
const BACKLOG: u32 = 1024;

/// One connection.
pub trait Wire: AsyncRead + AsyncWrite + Unpin {
    /// What has come and was not read yet, straight from the system; None where there is nothing yet.
    fn at_hand(&self, buffer: &mut [u8]) -> Option<io::Result<usize>>;
}

pub type Stream = Box<dyn Wire>;
pub type Later<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Where connections come in.
pub trait Listener {
    fn accept(&self) -> Later<'_, io::Result<(Stream, SocketAddr)>>;
}

/// One machine's way to others.
pub trait Net {
    fn dial(&self, to: SocketAddr) -> Later<'_, io::Result<Stream>>;
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;
}

/// Real sockets.
pub struct Sockets;

impl Wire for TcpStream {
    fn at_hand(&self, buffer: &mut [u8]) -> Option<io::Result<usize>> {
        reading::at_hand(self, buffer)
    }
}

fn tuned(stream: TcpStream) -> Stream {
    // Without these a connection still works, only slower to send and to notice a dead machine.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    Box::new(stream)
}

impl Net for Sockets {
    fn dial(&self, to: SocketAddr) -> Later<'_, io::Result<Stream>> {
        Box::pin(async move { Ok(tuned(TcpStream::connect(to).await?)) })
    }
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let socket = if at.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        Ok(Box::new(socket.listen(BACKLOG)?))
    }
}

impl Listener for TcpListener {
    fn accept(&self) -> Later<'_, io::Result<(Stream, SocketAddr)>> {
        Box::pin(async move {
            let (stream, from) = TcpListener::accept(self).await?;
            Ok((tuned(stream), from))
        })
    }
}

/// A network that several parts of a process share.
pub type SharedNet = Rc<dyn Net>;

/// The next connection; waits where the system is out of descriptors, until some come free.
pub async fn accept(door: &dyn Listener) -> (Stream, SocketAddr) {
    loop {
        match door.accept().await {
            Ok(connection) => return connection,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}
