//! A network in memory of scripted nodes, for tests of what calls them.
#![allow(dead_code)] // Each test file is a program of its own and uses a part.
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

/// One end of a pipe, as a connection.
pub struct Wired(pub DuplexStream);

impl AsyncRead for Wired {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Wired {
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

impl Connection for Wired {
    fn read_available(&self, _: &mut [u8]) -> Option<io::Result<usize>> {
        None
    }
}

/// What a scripted node does with one connection.
#[derive(Clone, Debug)]
pub enum Act {
    Refuse,
    /// Takes the call and says nothing.
    Silent,
    /// Takes the call and ends the connection.
    Drops,
    Answers(String),
}

/// Status and body, as a node answers.
pub fn answers(status: u16, body: &str) -> Act {
    Act::Answers(format!(
        "HTTP/1.1 {status} Word\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Nodes that do what they are told, connection by connection; the last act is repeated.
#[derive(Default)]
pub struct Scripted {
    acts: RefCell<HashMap<SocketAddr, VecDeque<Act>>>,
    /// What each connection brought, in order.
    pub calls: Rc<RefCell<Vec<(SocketAddr, String)>>>,
}

impl Scripted {
    pub fn node(self, at: &str, acts: &[Act]) -> Scripted {
        self.acts.borrow_mut().insert(
            at.parse().expect("an address"),
            acts.iter().cloned().collect(),
        );
        self
    }
}

impl Net for Scripted {
    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Stream>> {
        let act = {
            let mut acts = self.acts.borrow_mut();
            let own = acts.entry(to).or_default();
            if own.len() > 1 {
                own.pop_front()
            } else {
                own.front().cloned()
            }
        };
        let calls = self.calls.clone();
        Box::pin(async move {
            let act = act.unwrap_or(Act::Refuse);
            if matches!(act, Act::Refuse) {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            let (near, mut far) = duplex(1 << 20);
            tokio::task::spawn_local(async move {
                let mut text = Vec::new();
                while !is_whole(&text) {
                    let mut piece = [0; 4096];
                    match far.read(&mut piece).await {
                        Ok(read) if read > 0 => text.extend_from_slice(&piece[..read]),
                        _ => break,
                    }
                }
                calls
                    .borrow_mut()
                    .push((to, String::from_utf8_lossy(&text).into_owned()));
                match act {
                    Act::Answers(answer) => {
                        // The caller may have left.
                        let _ = far.write_all(answer.as_bytes()).await;
                    }
                    Act::Silent => std::future::pending().await,
                    Act::Drops | Act::Refuse => {}
                }
            });
            Ok(Box::new(Wired(near)) as Stream)
        })
    }

    fn listen(&self, _: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

fn is_whole(text: &[u8]) -> bool {
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
