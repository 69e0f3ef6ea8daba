//! An in-memory network of scripted nodes, for tests of the code that calls nodes.
#![allow(
    dead_code,
    reason = "each test file is compiled as a separate program and uses a part of this module"
)]
use sparrouter_fleet::platform::net::{BoxFuture, Connection, Listener, Net, Stream};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf, duplex,
};

/// One end of an in-memory pipe, as a connection.
pub struct PipeConnection(pub DuplexStream);

impl AsyncRead for PipeConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for PipeConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl Connection for PipeConnection {
    fn read_available(&self, _: &mut [u8]) -> Option<io::Result<usize>> {
        None
    }
}

/// The behavior of a scripted node on one connection.
#[derive(Clone, Debug)]
pub enum Behavior {
    /// The node refuses the connection.
    Refuse,
    /// The node reads the call and never replies.
    NoReply,
    /// The node reads the call and closes the connection.
    Disconnect,
    /// The node reads the call and replies with this text.
    Reply(String),
}

/// The behavior that replies with this status and body.
pub fn replies(status: u16, body: &str) -> Behavior {
    Behavior::Reply(format!(
        "HTTP/1.1 {status} Word\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// A network of scripted nodes. Each connection to a node takes the node's next behavior; the last one repeats.
#[derive(Default)]
pub struct ScriptedNet {
    behaviors: RefCell<HashMap<SocketAddr, VecDeque<Behavior>>>,
    /// The calls that nodes received, in order, with the address of the node.
    pub calls: Rc<RefCell<Vec<(SocketAddr, String)>>>,
}

impl ScriptedNet {
    /// Adds a node with its behaviors.
    pub fn node(self, address: &str, behaviors: &[Behavior]) -> ScriptedNet {
        self.behaviors.borrow_mut().insert(
            address.parse().expect("an address"),
            behaviors.iter().cloned().collect(),
        );
        self
    }
}

impl Net for ScriptedNet {
    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Stream>> {
        let behavior = {
            let mut behaviors = self.behaviors.borrow_mut();
            let scripted = behaviors.entry(to).or_default();
            if scripted.len() > 1 {
                scripted.pop_front()
            } else {
                scripted.front().cloned()
            }
        };
        let calls = self.calls.clone();
        Box::pin(async move {
            let behavior = behavior.unwrap_or(Behavior::Refuse);
            if matches!(behavior, Behavior::Refuse) {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            let (near, mut far) = duplex(1 << 20);
            tokio::task::spawn_local(async move {
                let mut text = Vec::new();
                while !is_complete(&text) {
                    let mut chunk = [0; 4096];
                    match far.read(&mut chunk).await {
                        Ok(read) if read > 0 => text.extend_from_slice(&chunk[..read]),
                        _ => break,
                    }
                }
                calls
                    .borrow_mut()
                    .push((to, String::from_utf8_lossy(&text).into_owned()));
                match behavior {
                    Behavior::Reply(answer) => {
                        // The write fails if the caller has closed the connection.
                        let _ = far.write_all(answer.as_bytes()).await;
                    }
                    Behavior::NoReply => std::future::pending().await,
                    Behavior::Disconnect | Behavior::Refuse => {}
                }
            });
            Ok(Box::new(PipeConnection(near)) as Stream)
        })
    }

    fn listen(&self, _: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

fn is_complete(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("Content-Length: "))
        .unwrap_or("0");
    body.len() >= length.trim().parse().unwrap_or(0)
}
