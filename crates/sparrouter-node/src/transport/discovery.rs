//! Calls to discovery: the whole list once, or a watch that stays open.
use super::reading::{self, ReadError};
use crate::protocol::chunks::{ChunkDecoder, ChunkEvent};
use crate::protocol::endpoint_list::{self as endpoint_list, Frame, FrameSplitter, ListUpdate};
use crate::protocol::head::{self, Framing};
use crate::protocol::{ParseError, messages};
use bytes::BytesMut;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

pub struct DiscoveryCall {
    stream: TcpStream,
    buffer: BytesMut,
    chunks: Option<ChunkDecoder>,
    /// Bytes of a fixed length that are still to come.
    left: usize,
    text: BytesMut,
    splitter: FrameSplitter,
}

impl DiscoveryCall {
    /// From `after` on, or the whole list at once. Open once discovery has answered with 200.
    pub async fn open(
        at: SocketAddr,
        after: Option<u64>,
        dial_limit: Duration,
    ) -> Result<DiscoveryCall, ReadError> {
        let target = match after {
            Some(rev) => format!("/registry/instances?watch=1&after={rev}"),
            None => "/registry/instances".to_string(),
        };
        // Frame off, it would neither come up nor say so; asking again soon finds it back soon.
        let dialled = timeout(dial_limit, TcpStream::connect(at))
            .await
            .map_err(|_| ReadError::Reset)?;
        let mut stream = dialled.map_err(|_| ReadError::Reset)?;
        let _ = stream.set_nodelay(true);
        stream
            .write_all(&messages::get(&target, at))
            .await
            .map_err(|_| ReadError::Reset)?;
        let mut buffer = BytesMut::new();
        let head =
            head::parse_response(&reading::head(&mut stream, &mut buffer, head::REPLY).await?)?;
        if head.status != 200 {
            return Err(ParseError("discovery did not answer 200").into());
        }
        let (chunks, left) = match head.framing {
            Framing::Chunked => (Some(ChunkDecoder::default()), 0),
            Framing::Length(length) => (None, length),
            Framing::ToEnd => (None, usize::MAX),
        };
        Ok(DiscoveryCall {
            stream,
            buffer,
            chunks,
            left,
            text: BytesMut::new(),
            splitter: FrameSplitter::default(),
        })
    }

    /// The next list; none for an empty line, by which a quiet discovery shows that it is there. Also
    /// the end of the body ends a list. Cancel-safe.
    pub async fn line(&mut self) -> Result<Option<ListUpdate>, ReadError> {
        loop {
            match self.splitter.next(&mut self.text)? {
                Frame::Value(value) => return Ok(Some(endpoint_list::parse(value.trim_ascii())?)),
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

    /// The list that a plain call asked for, past the empty lines before it.
    pub async fn whole(mut self) -> Result<ListUpdate, ReadError> {
        loop {
            if let Some(listing) = self.line().await? {
                return Ok(listing);
            }
        }
    }

    /// More of the body; false at its end.
    async fn fill(&mut self) -> Result<bool, ReadError> {
        let Some(chunks) = &mut self.chunks else {
            if self.left == 0 {
                return Ok(false);
            }
            if self.buffer.is_empty() {
                match reading::more(&mut self.stream, &mut self.buffer).await {
                    Err(ReadError::Closed) if self.left == usize::MAX => {
                        self.left = 0;
                        return Ok(false);
                    }
                    read => read?,
                }
            }
            let piece = self.buffer.split_to(self.buffer.len().min(self.left));
            self.left -= if self.left == usize::MAX {
                0
            } else {
                piece.len()
            };
            self.text.extend_from_slice(&piece);
            return Ok(true);
        };
        loop {
            match chunks.next(&mut self.buffer)? {
                ChunkEvent::Data(piece) => {
                    self.text.extend_from_slice(&piece);
                    return Ok(true);
                }
                ChunkEvent::More => reading::more(&mut self.stream, &mut self.buffer).await?,
                ChunkEvent::End => return Ok(false),
            }
        }
    }
}
