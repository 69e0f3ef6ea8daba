//! An answer on its way to the client: piece by piece as it comes, whole events where it may be resumed.
use super::attempt::hop_by_hop;
use super::{Exchange, left};
use crate::platform::defects::rules;
use crate::platform::net::Stream;
use crate::platform::upstream::Upstream;
use crate::proxy::event_stream::EventSplitter;
use bytes::{BufMut, Bytes, BytesMut};
use sparrouter_http::chunks::{ChunkDecoder, ChunkEvent};
use sparrouter_http::head::{Framing, ResponseHead};
use sparrouter_http::reading::{self, ReadError};
use tokio::io::{AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::time::timeout_at;

/// How passing an answer on ended.
pub(super) enum Passed {
    Whole,
    Broke,
    ClientGone,
    TimeUp,
}

fn put_piece(out: &mut BytesMut, piece: &[u8], plain: bool) {
    if piece.is_empty() {
        return;
    }
    if plain {
        out.put_slice(piece);
    } else {
        out.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        out.put_slice(piece);
        out.put_slice(b"\r\n");
    }
}

/// A body in pieces, by any framing.
struct Body {
    framing: Framing,
    chunks: ChunkDecoder,
    left: usize,
    any: bool,
    ended: bool,
}

enum Step {
    Data(Bytes),
    More,
    End,
}

impl Body {
    fn new(framing: Framing) -> Body {
        let left = if let Framing::Length(length) = framing {
            length
        } else {
            0
        };
        Body {
            framing,
            chunks: ChunkDecoder::default(),
            left,
            any: false,
            ended: false,
        }
    }

    fn next(&mut self, buffer: &mut BytesMut) -> Result<Step, ()> {
        let step = match self.framing {
            Framing::Length(_) if self.left == 0 => Step::End,
            Framing::Length(_) if buffer.is_empty() => Step::More,
            Framing::Length(_) => {
                let piece = buffer.split_to(self.left.min(buffer.len())).freeze();
                self.left -= piece.len();
                Step::Data(piece)
            }
            Framing::Chunked => match self.chunks.next(buffer).map_err(drop)? {
                ChunkEvent::Data(piece) => Step::Data(piece),
                ChunkEvent::More => Step::More,
                ChunkEvent::End => Step::End,
            },
            Framing::ToEnd if !buffer.is_empty() => Step::Data(buffer.split().freeze()),
            Framing::ToEnd if self.ended => Step::End,
            Framing::ToEnd => Step::More,
        };
        self.any |= matches!(step, Step::Data(_));
        Ok(step)
    }
}

impl Exchange<'_> {
    /// Passes an answer on as it comes.
    #[allow(clippy::too_many_arguments)] // The two halves, and what outlives one server's turn.
    pub(super) async fn pass(
        &mut self,
        head: &ResponseHead,
        link: &mut Upstream,
        events: &mut Option<EventSplitter>,
        begun: &mut bool,
        from: &mut ReadHalf<&mut Stream>,
        to: &mut WriteHalf<&mut Stream>,
        ahead: &mut BytesMut,
    ) -> Passed {
        let resumable = self.route.resumable && (200..300).contains(&head.status);
        let mut events = if resumable { events.as_mut() } else { None };
        let length = match head.framing {
            Framing::Length(length) if events.is_none() => Some(length),
            _ => None,
        };
        let mut out = BytesMut::new();
        if !*begun {
            self.answer_head(head, length, &mut out);
        }
        let mut body = Body::new(head.framing);
        loop {
            // Whatever is there already goes out in one write.
            let mut over = false;
            loop {
                match body.next(&mut link.buffer) {
                    Ok(Step::Data(piece)) => {
                        let piece = match events.as_deref_mut() {
                            None => piece,
                            Some(events) => match events.push(&piece) {
                                Some(whole) => whole,
                                None => return Passed::Broke,
                            },
                        };
                        put_piece(&mut out, &piece, length.is_some());
                    }
                    Ok(Step::More) => break,
                    Ok(Step::End) => {
                        if let Some(events) = events.as_deref_mut() {
                            put_piece(&mut out, &events.rest(), false);
                        }
                        if length.is_none() {
                            out.put_slice(b"0\r\n\r\n");
                        }
                        over = true;
                        break;
                    }
                    Err(()) => return Passed::Broke,
                }
            }
            let worth_it = over || *begun || body.any || !self.route.is_idempotent();
            if !out.is_empty() && worth_it {
                *begun = true;
                match timeout_at(self.until, to.write_all(&out)).await {
                    Ok(Ok(())) => out.clear(),
                    Ok(Err(_)) => return Passed::ClientGone,
                    Err(_) => return Passed::TimeUp,
                }
            }
            if over {
                return Passed::Whole;
            }
            tokio::select! {
                biased;
                read = reading::more(&mut link.stream, &mut link.buffer) => match read {
                    Ok(()) => {}
                    Err(ReadError::Closed) if head.framing == Framing::ToEnd => body.ended = true,
                    Err(ReadError::Reset)
                        if head.framing == Framing::ToEnd && !rules::resets_are_no_end() =>
                    {
                        body.ended = true;
                    }
                    Err(_) if !rules::broken_streams_stay_incomplete() && length.is_none() => {
                        // Whether the client still hears it changes nothing.
                        let _ = to.write_all(b"0\r\n\r\n").await;
                        return Passed::Whole;
                    }
                    Err(_) => return Passed::Broke,
                },
                () = left(from, ahead), if rules::client_watched_while_relaying() => return Passed::ClientGone,
                () = tokio::time::sleep_until(self.until) => return Passed::TimeUp,
            }
        }
    }

    pub(super) fn answer_head(
        &self,
        head: &ResponseHead,
        length: Option<usize>,
        out: &mut BytesMut,
    ) {
        out.put_slice(
            format!(
                "HTTP/1.1 {} {}\r\n",
                head.status,
                crate::platform::http::reason(head.status)
            )
            .as_bytes(),
        );
        for (name, value) in head.fields.iter() {
            let named = head
                .fields
                .lists("connection", std::str::from_utf8(name).unwrap_or("-"));
            if !hop_by_hop(name) && !named {
                out.put_slice(name);
                out.put_slice(b": ");
                out.put_slice(value);
                out.put_slice(b"\r\n");
            }
        }
        match length {
            Some(length) => out.put_slice(format!("Content-Length: {length}\r\n").as_bytes()),
            None => out.put_slice(b"Transfer-Encoding: chunked\r\n"),
        }
        out.put_slice(if self.keep {
            b"\r\n"
        } else {
            b"Connection: close\r\n\r\n"
        });
    }
}
