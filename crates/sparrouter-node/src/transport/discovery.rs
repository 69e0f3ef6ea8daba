//! Calls to discovery: a single fetch of the full list, or an open subscription.
use super::reading::{self, ReadError};
use crate::protocol::chunks::{ChunkDecoder, ChunkEvent};
use crate::protocol::endpoint_list::{self, Frame, FrameSplitter, ListUpdate};
use crate::protocol::head::{self, Framing};
use crate::protocol::{ParseError, messages};
use bytes::BytesMut;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A call to discovery whose answer is being read.
pub struct DiscoveryCall {
    stream: TcpStream,
    buffer: BytesMut,
    body: BodyState,
    /// Received bytes of the body that are not parsed yet.
    text: BytesMut,
    splitter: FrameSplitter,
}

/// Framing of the body and the position in it.
enum BodyState {
    Chunked(ChunkDecoder),
    /// Number of remaining bytes.
    Length(usize),
    /// The body extends to the end of the stream.
    ToEnd,
}

impl DiscoveryCall {
    /// Requests the changes after version `after`, or the full list. The call is open once discovery has answered with
    /// 200.
    ///
    /// # Errors
    ///
    /// The connection was not established or broke, or the answer is not 200.
    pub async fn open(
        address: SocketAddr,
        after: Option<u64>,
        connect_timeout: Duration,
    ) -> Result<DiscoveryCall, ReadError> {
        let target = match after {
            Some(rev) => format!("/registry/instances?watch=1&after={rev}"),
            None => "/registry/instances".to_string(),
        };
        // A connect to a partitioned machine neither succeeds nor fails. The timeout lets the next call detect its
        // recovery sooner.
        let connected = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| ReadError::Reset)?;
        let mut stream = connected.map_err(|_| ReadError::Reset)?;
        let _ = stream.set_nodelay(true);
        stream
            .write_all(&messages::get(&target, address))
            .await
            .map_err(|_| ReadError::Reset)?;
        let mut buffer = BytesMut::new();
        let head = reading::head(&mut stream, &mut buffer, head::RESPONSE_PREFIX).await?;
        let head = head::parse_response(&head)?;
        if head.status != 200 {
            return Err(ParseError("discovery did not answer 200").into());
        }
        let body = match head.framing {
            Framing::Chunked => BodyState::Chunked(ChunkDecoder::default()),
            Framing::Length(length) => BodyState::Length(length),
            Framing::ToEnd => BodyState::ToEnd,
        };
        Ok(DiscoveryCall {
            stream,
            buffer,
            body,
            text: BytesMut::new(),
            splitter: FrameSplitter::default(),
        })
    }

    /// Reads the next update; `None` for an empty line, which an idle discovery sends as a heartbeat. The end of the
    /// body also ends an update. Cancel-safe.
    ///
    /// # Errors
    ///
    /// The stream ended, or the update is malformed or too long.
    pub async fn next_update(&mut self) -> Result<Option<ListUpdate>, ReadError> {
        loop {
            match self.splitter.next(&mut self.text)? {
                Frame::Value(value) => {
                    return Ok(Some(endpoint_list::parse(value.trim_ascii())?));
                }
                Frame::Empty => return Ok(None),
                Frame::Incomplete if self.fill().await? => {}
                Frame::Incomplete => match self.splitter.rest(&mut self.text) {
                    Frame::Value(value) => {
                        return Ok(Some(endpoint_list::parse(value.trim_ascii())?));
                    }
                    _ => return Err(ReadError::Closed),
                },
            }
        }
    }

    /// Reads the full list, skipping empty lines before it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`DiscoveryCall::next_update`].
    pub async fn full_list(mut self) -> Result<ListUpdate, ReadError> {
        loop {
            if let Some(list) = self.next_update().await? {
                return Ok(list);
            }
        }
    }

    /// Reads more of the body. Returns false at its end.
    async fn fill(&mut self) -> Result<bool, ReadError> {
        match &mut self.body {
            BodyState::Chunked(chunks) => loop {
                match chunks.next(&mut self.buffer)? {
                    ChunkEvent::Data(bytes) => {
                        self.text.extend_from_slice(&bytes);
                        return Ok(true);
                    }
                    ChunkEvent::Incomplete => {
                        reading::more(&mut self.stream, &mut self.buffer).await?;
                    }
                    ChunkEvent::End => return Ok(false),
                }
            },
            BodyState::Length(0) => return Ok(false),
            BodyState::Length(remaining) => {
                if self.buffer.is_empty() {
                    reading::more(&mut self.stream, &mut self.buffer).await?;
                }
                let bytes = self.buffer.split_to(self.buffer.len().min(*remaining));
                *remaining -= bytes.len();
                self.text.extend_from_slice(&bytes);
            }
            BodyState::ToEnd => {
                if self.buffer.is_empty() {
                    match reading::more(&mut self.stream, &mut self.buffer).await {
                        Err(ReadError::Closed) => {
                            self.body = BodyState::Length(0);
                            return Ok(false);
                        }
                        read => read?,
                    }
                }
                self.text.unsplit(self.buffer.split());
            }
        }
        Ok(true)
    }
}
