//! Connections to servers: what of a broken request has left, early responses, and what may be pooled.
use bytes::{Bytes, BytesMut};
use sparrouter_fleet::platform::net::{BoxFuture, Connection, Listener, Net, Stream};
use sparrouter_fleet::platform::upstream::{Pool, SendOutcome, Upstream};
use sparrouter_http::head::{self, ResponseHead};
use sparrouter_http::reading;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const HEAD: &[u8] = b"POST /a HTTP/1.1\r\nContent-Length: 40000\r\n\r\n";
const LONG_BODY: usize = 40_000;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok";

/// What the transport does with writes, and what can be read from it.
#[derive(Default)]
struct Script {
    /// Bytes that writes still accept; after them `error` happens.
    accepts: usize,
    error: Option<ErrorKind>,
    /// Bytes that can be read once `after` bytes were accepted.
    response: BytesMut,
    after: usize,
    accepted: Vec<u8>,
    ended: bool,
}

/// A server that responds once it has 1,000 bytes and reads no more.
fn early_response(response: &[u8]) -> Script {
    Script {
        accepts: 1_000,
        response: BytesMut::from(response),
        after: 1_000,
        ..Script::default()
    }
}

#[derive(Clone)]
struct ScriptedConnection(Rc<RefCell<Script>>);

impl AsyncRead for ScriptedConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let script = &mut *self.0.borrow_mut();
        if script.accepted.len() >= script.after && !script.response.is_empty() {
            let length = script.response.len().min(buffer.remaining());
            buffer.put_slice(&script.response.split_to(length));
            return Poll::Ready(Ok(()));
        }
        if script.ended {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for ScriptedConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let script = &mut *self.0.borrow_mut();
        if script.accepts == 0 {
            return match script.error {
                Some(kind) => Poll::Ready(Err(kind.into())),
                None => Poll::Pending,
            };
        }
        let length = bytes.len().min(script.accepts);
        script.accepts -= length;
        script.accepted.extend_from_slice(&bytes[..length]);
        Poll::Ready(Ok(length))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Connection for ScriptedConnection {
    fn read_available(&self, _: &mut [u8]) -> Option<io::Result<usize>> {
        let script = self.0.borrow();
        (!script.response.is_empty()).then_some(Ok(1))
    }
}

impl Net for ScriptedConnection {
    fn dial(&self, _: SocketAddr) -> BoxFuture<'_, io::Result<Stream>> {
        Box::pin(async move { Ok(Box::new(self.clone()) as Stream) })
    }
    fn listen(&self, _: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Err(ErrorKind::Unsupported.into())
    }
}

fn connection(script: Script) -> ScriptedConnection {
    ScriptedConnection(Rc::new(RefCell::new(script)))
}

async fn dial(connection: &ScriptedConnection) -> Upstream {
    let server = "10.0.0.1:8080".parse().expect("an address");
    Upstream::dial(connection, server)
        .await
        .expect("a connection")
}

async fn send_long(link: &mut Upstream) -> SendOutcome {
    let body = Bytes::from(vec![b'x'; LONG_BODY]);
    link.send(&Bytes::from_static(HEAD), &body).await
}

/// Reads one complete response.
async fn read_response(link: &mut Upstream) -> ResponseHead {
    let bytes = reading::head(
        &mut link.stream,
        &mut link.buffer,
        head::RESPONSE_PREFIX,
        4096,
    )
    .await
    .expect("a head");
    let head = head::parse_response(&bytes).expect("an answer");
    sparrouter_fleet::platform::http::read_body(
        &mut link.stream,
        &mut link.buffer,
        head.framing,
        1 << 20,
    )
    .await
    .expect("a complete body");
    head
}

#[tokio::test]
async fn given_a_connection_that_accepts_no_byte_when_sent_then_nothing_left() {
    let connection = connection(Script {
        error: Some(ErrorKind::ConnectionReset),
        ..Script::default()
    });
    let mut link = dial(&connection).await;
    assert_eq!(send_long(&mut link).await, SendOutcome::Nothing);
    let small = link
        .send(
            &Bytes::from_static(b"GET / HTTP/1.1\r\n\r\n"),
            &Bytes::new(),
        )
        .await;
    assert_eq!(small, SendOutcome::Nothing);
}

#[tokio::test]
async fn given_an_error_after_any_byte_was_accepted_when_sent_then_it_may_have_run() {
    // Part of the head, all of it without a body byte, part of the body, all but the last byte.
    let request_bytes = HEAD.len() + LONG_BODY;
    for accepts in [
        1,
        HEAD.len() - 1,
        HEAD.len(),
        HEAD.len() + 1,
        request_bytes - 1,
    ] {
        let connection = connection(Script {
            accepts,
            error: Some(ErrorKind::BrokenPipe),
            ..Script::default()
        });
        let mut link = dial(&connection).await;
        assert_eq!(
            send_long(&mut link).await,
            SendOutcome::Begun,
            "{accepts} bytes"
        );
    }
}

#[tokio::test]
async fn given_a_request_without_a_body_when_its_head_is_cut_then_it_may_have_run() {
    let connection = connection(Script {
        accepts: 5,
        error: Some(ErrorKind::ConnectionReset),
        ..Script::default()
    });
    let mut link = dial(&connection).await;
    let sent = link
        .send(
            &Bytes::from_static(b"GET / HTTP/1.1\r\n\r\n"),
            &Bytes::new(),
        )
        .await;
    assert_eq!(sent, SendOutcome::Begun);
}

#[tokio::test]
async fn given_a_server_that_answers_before_a_long_body_is_in_then_the_answer_is_read_at_once() {
    let connection = connection(early_response(RESPONSE));
    let mut link = dial(&connection).await;
    assert_eq!(send_long(&mut link).await, SendOutcome::Begun);
    let head = read_response(&mut link).await;
    assert_eq!(head.status, 200);
    assert!(
        !link.is_reusable(&head),
        "the server still waits for the rest of the body"
    );
    let pool = Pool::default();
    pool.put("i-1", link, &head);
    assert!(pool.take("i-1").is_none());
}

#[tokio::test]
async fn given_an_early_answer_when_the_server_reads_on_then_it_gets_the_rest_of_that_body_only() {
    // Longer than what is read ahead of it.
    let answer = [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"[..],
        &[b'y'; 9_000],
    ]
    .concat();
    let connection = connection(early_response(&answer));
    let mut link = dial(&connection).await;
    assert_eq!(send_long(&mut link).await, SendOutcome::Begun);
    connection.0.borrow_mut().accepts = usize::MAX;
    let head = read_response(&mut link).await;
    assert!(link.is_reusable(&head));
    let expected = [HEAD, &vec![b'x'; LONG_BODY]].concat();
    assert!(connection.0.borrow().accepted == expected);
}

#[tokio::test]
async fn given_an_answer_to_a_request_that_broke_off_when_it_is_complete_then_the_connection_ends()
{
    let connection = connection(Script {
        error: Some(ErrorKind::BrokenPipe),
        ..early_response(RESPONSE)
    });
    let mut link = dial(&connection).await;
    assert_eq!(send_long(&mut link).await, SendOutcome::Begun);
    let head = read_response(&mut link).await;
    assert!(!link.is_reusable(&head));
}

#[tokio::test]
async fn given_a_connection_that_ends_while_a_body_is_written_then_sending_ends_too() {
    let connection = connection(Script {
        accepts: 1_000,
        ended: true,
        ..Script::default()
    });
    let mut link = dial(&connection).await;
    assert_eq!(send_long(&mut link).await, SendOutcome::Begun);
}

#[tokio::test]
async fn given_a_pooled_connection_when_bytes_arrive_unrequested_then_it_is_not_used() {
    let connection = connection(Script {
        accepts: usize::MAX,
        response: BytesMut::from(RESPONSE),
        ..Script::default()
    });
    let mut link = dial(&connection).await;
    assert_eq!(send_long(&mut link).await, SendOutcome::Begun);
    let head = read_response(&mut link).await;
    let pool = Pool::default();
    pool.put("i-1", link, &head);
    connection.0.borrow_mut().response = BytesMut::from(RESPONSE);
    assert!(pool.take("i-1").is_none());
}

/// A server on a real socket that takes one connection, reads so many bytes of it, and resets it.
async fn resets_after(read: usize) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = vec![0; read];
        tokio::io::AsyncReadExt::read_exact(&mut stream, &mut received)
            .await
            .expect("bytes");
        let no_linger = Some(std::time::Duration::ZERO);
        socket2::SockRef::from(&stream)
            .set_linger(no_linger)
            .expect("a socket");
    });
    address
}

/// Longer than the buffers of a loopback connection.
const HUGE_BODY: usize = 64 << 20;

#[tokio::test]
async fn given_a_real_socket_that_is_reset_in_a_body_when_sent_then_it_may_have_run() {
    for read in [1, HEAD.len(), 100_000] {
        let server = resets_after(read).await;
        let link = Upstream::dial(&sparrouter_fleet::platform::net::Sockets, server).await;
        let mut link = link.expect("a connection");
        let body = Bytes::from(vec![b'x'; HUGE_BODY]);
        let sent = link.send(&Bytes::from_static(HEAD), &body).await;
        assert_eq!(sent, SendOutcome::Begun, "{read} bytes");
        let answer = reading::head(
            &mut link.stream,
            &mut link.buffer,
            head::RESPONSE_PREFIX,
            4096,
        )
        .await;
        assert!(answer.is_err(), "{read} bytes");
    }
}

#[tokio::test]
async fn given_a_real_socket_that_was_reset_before_when_sent_then_nothing_left() {
    let server = resets_after(0).await;
    let link = Upstream::dial(&sparrouter_fleet::platform::net::Sockets, server).await;
    let mut link = link.expect("a connection");
    while link.is_idle() {
        tokio::task::yield_now().await;
    }
    let sent = link
        .send(
            &Bytes::from_static(b"GET / HTTP/1.1\r\n\r\n"),
            &Bytes::new(),
        )
        .await;
    assert_eq!(sent, SendOutcome::Nothing);
}
