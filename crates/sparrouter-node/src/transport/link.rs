//! One connection to a cache server or the origin, carrying one exchange at a time.
use super::budget::{Body, BodyMemory, Reservation};
use super::reading::{self, ReadError};
use crate::protocol::ParseError;
use crate::protocol::head::{self, ResponseHead};
use bytes::{Buf, Bytes, BytesMut};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Interim answers ahead of one that counts.
const MAX_INTERIM: usize = 16;

pub struct Link {
    stream: TcpStream,
    buffer: BytesMut,
    /// Where it leads.
    pub to: SocketAddr,
    /// How long it stood idle before its present use; none for a new one.
    pub idle: Option<Duration>,
    _permit: Reservation,
}

/// A whole answer, and the link if it can carry another exchange.
pub struct Reply {
    pub head: ResponseHead,
    pub body: Body,
    pub link: Option<Link>,
}

impl Link {
    pub async fn dial(to: SocketAddr, limit: Duration, permit: Reservation) -> io::Result<Link> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(to)).await??;
        stream.set_nodelay(true)?;
        Ok(Link {
            stream,
            buffer: BytesMut::new(),
            to,
            idle: None,
            _permit: permit,
        })
    }

    /// Open and silent, as an idle connection must be: one that was ended, or holds bytes that nobody
    /// asked for, would hand a late reply to the wrong invocation.
    pub fn is_quiet(&self) -> bool {
        self.buffer.is_empty() && reading::read_available(&self.stream, &mut [0]).is_none()
    }

    /// Sends once, and never again by itself. `written` tells whether the last byte left, also where
    /// this is dropped half way; dropping closes the connection. None where it could not be written whole
    /// `before` that moment.
    pub async fn exchange(
        mut self,
        head: Bytes,
        body: Bytes,
        before: Option<Instant>,
        memory: &BodyMemory,
        written: &Cell<bool>,
    ) -> Result<Option<Reply>, ReadError> {
        let mut all = head.chain(body);
        let writing = self.stream.write_all_buf(&mut all);
        let wrote = match before {
            Some(before) => match timeout_at(before, writing).await {
                Ok(wrote) => wrote,
                Err(_) => return Ok(None),
            },
            None => writing.await,
        };
        wrote.map_err(|_| ReadError::Reset)?;
        written.set(true);
        let mut interim = 0;
        let head = loop {
            let head = reading::head(&mut self.stream, &mut self.buffer, head::REPLY).await?;
            let head = head::parse_response(&head)?;
            // Interim answers come before the one that counts, but not without end.
            if head.status >= 200 {
                break head;
            }
            interim += 1;
            if interim > MAX_INTERIM {
                return Err(ParseError("interim answers without end").into());
            }
        };
        let body = reading::body(&mut self.stream, &mut self.buffer, head.framing, memory).await?;
        let reusable = head.keep_alive && self.buffer.is_empty();
        self.buffer = BytesMut::new();
        Ok(Some(Reply {
            head,
            body,
            link: reusable.then_some(self),
        }))
    }
}
