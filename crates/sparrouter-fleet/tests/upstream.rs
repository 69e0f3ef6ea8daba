//! Connections to servers: outcome of interrupted sends, early responses, and which connections may be pooled.
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

/// Scripted behaviour of a connection: the writes that it accepts, and the bytes that can be read from it.
#[derive(Default)]
struct Script {
    /// Number of bytes that writes still accept. Then writes fail with `write_error`, or stay pending if it is `None`.
    writable_bytes: usize,
    write_error: Option<ErrorKind>,
    /// Bytes that can be read once `response_after` bytes were written.
    response: BytesMut,
    response_after: usize,
    written: Vec<u8>,
    is_closed: bool,
}

/// A server that responds after 1,000 bytes and does not read any more.
fn early_response(response: &[u8]) -> Script {
    Script {
        writable_bytes: 1_000,
        response: BytesMut::from(response),
        response_after: 1_000,
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
        if script.written.len() >= script.response_after && !script.response.is_empty() {
            let length = script.response.len().min(buffer.remaining());
            buffer.put_slice(&script.response.split_to(length));
            return Poll::Ready(Ok(()));
        }
        if script.is_closed {
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
        if script.writable_bytes == 0 {
            return match script.write_error {
                Some(kind) => Poll::Ready(Err(kind.into())),
                None => Poll::Pending,
            };
        }
        let length = bytes.len().min(script.writable_bytes);
        script.writable_bytes -= length;
        script.written.extend_from_slice(&bytes[..length]);
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

async fn send_long_request(upstream: &mut Upstream) -> SendOutcome {
    let body = Bytes::from(vec![b'x'; LONG_BODY]);
    upstream.send(&Bytes::from_static(HEAD), &[body]).await
}

/// Reads one complete response.
async fn read_response(upstream: &mut Upstream) -> ResponseHead {
    let bytes = reading::head(
        &mut upstream.stream,
        &mut upstream.buffer,
        head::RESPONSE_PREFIX,
        4096,
    )
    .await
    .expect("a head");
    let head = head::parse_response(&bytes).expect("a response head");
    sparrouter_fleet::platform::http::read_body(
        &mut upstream.stream,
        &mut upstream.buffer,
        head.framing,
        1 << 20,
    )
    .await
    .expect("a complete body");
    head
}

#[tokio::test]
async fn given_a_connection_that_accepts_no_byte_when_a_request_is_sent_then_the_outcome_is_nothing()
 {
    let connection = connection(Script {
        write_error: Some(ErrorKind::ConnectionReset),
        ..Script::default()
    });
    let mut upstream = dial(&connection).await;
    assert_eq!(send_long_request(&mut upstream).await, SendOutcome::NotSent);
    let outcome = upstream
        .send(&Bytes::from_static(b"GET / HTTP/1.1\r\n\r\n"), &[])
        .await;
    assert_eq!(outcome, SendOutcome::NotSent);
}

#[tokio::test]
async fn given_a_write_error_after_some_bytes_when_a_request_is_sent_then_the_outcome_is_begun() {
    // Part of the head, the complete head, the head and one body byte, all bytes but the last.
    let request_bytes = HEAD.len() + LONG_BODY;
    for writable_bytes in [
        1,
        HEAD.len() - 1,
        HEAD.len(),
        HEAD.len() + 1,
        request_bytes - 1,
    ] {
        let connection = connection(Script {
            writable_bytes,
            write_error: Some(ErrorKind::BrokenPipe),
            ..Script::default()
        });
        let mut upstream = dial(&connection).await;
        assert_eq!(
            send_long_request(&mut upstream).await,
            SendOutcome::Begun,
            "{writable_bytes} bytes"
        );
    }
}

#[tokio::test]
async fn given_a_request_without_a_body_when_its_head_is_partly_written_then_the_outcome_is_begun()
{
    let connection = connection(Script {
        writable_bytes: 5,
        write_error: Some(ErrorKind::ConnectionReset),
        ..Script::default()
    });
    let mut upstream = dial(&connection).await;
    let sent = upstream
        .send(&Bytes::from_static(b"GET / HTTP/1.1\r\n\r\n"), &[])
        .await;
    assert_eq!(sent, SendOutcome::Begun);
}

#[tokio::test]
async fn given_an_early_response_to_an_incomplete_body_when_sent_then_it_is_read_and_the_connection_not_pooled()
 {
    let connection = connection(early_response(RESPONSE));
    let mut upstream = dial(&connection).await;
    assert_eq!(send_long_request(&mut upstream).await, SendOutcome::Begun);
    let head = read_response(&mut upstream).await;
    assert_eq!(head.status, 200);
    assert!(
        !upstream.is_reusable(&head),
        "the server still waits for the rest of the body"
    );
    let pool = Pool::default();
    pool.put("i-1", upstream, &head);
    assert!(pool.take("i-1").is_none());
}

#[tokio::test]
async fn given_an_early_response_when_the_server_reads_on_then_it_receives_exactly_the_rest_of_the_body()
 {
    // The response is larger than the part of it that `send` reads.
    let response = [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"[..],
        &[b'y'; 9_000],
    ]
    .concat();
    let connection = connection(early_response(&response));
    let mut upstream = dial(&connection).await;
    assert_eq!(send_long_request(&mut upstream).await, SendOutcome::Begun);
    connection.0.borrow_mut().writable_bytes = usize::MAX;
    let head = read_response(&mut upstream).await;
    assert!(upstream.is_reusable(&head));
    let expected = [HEAD, &vec![b'x'; LONG_BODY]].concat();
    assert!(connection.0.borrow().written == expected);
}

#[tokio::test]
async fn given_a_partly_written_request_when_its_response_is_complete_then_the_connection_is_not_reusable()
 {
    let connection = connection(Script {
        write_error: Some(ErrorKind::BrokenPipe),
        ..early_response(RESPONSE)
    });
    let mut upstream = dial(&connection).await;
    assert_eq!(send_long_request(&mut upstream).await, SendOutcome::Begun);
    let head = read_response(&mut upstream).await;
    assert!(!upstream.is_reusable(&head));
}

#[tokio::test]
async fn given_a_connection_that_closes_while_a_body_is_written_then_sending_ends() {
    let connection = connection(Script {
        writable_bytes: 1_000,
        is_closed: true,
        ..Script::default()
    });
    let mut upstream = dial(&connection).await;
    assert_eq!(send_long_request(&mut upstream).await, SendOutcome::Begun);
}

#[tokio::test]
async fn given_a_pooled_connection_when_unsolicited_bytes_arrive_then_it_is_not_reused() {
    let connection = connection(Script {
        writable_bytes: usize::MAX,
        response: BytesMut::from(RESPONSE),
        ..Script::default()
    });
    let mut upstream = dial(&connection).await;
    assert_eq!(send_long_request(&mut upstream).await, SendOutcome::Begun);
    let head = read_response(&mut upstream).await;
    let pool = Pool::default();
    pool.put("i-1", upstream, &head);
    connection.0.borrow_mut().response = BytesMut::from(RESPONSE);
    assert!(pool.take("i-1").is_none());
}

/// Starts a server on a real socket. It accepts one connection, reads `bytes_before_reset` bytes and resets the
/// connection.
async fn start_resetting_server(bytes_before_reset: usize) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = vec![0; bytes_before_reset];
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

/// Size of a request body that exceeds the buffers of a loopback connection, in bytes.
const HUGE_BODY: usize = 64 << 20;

#[tokio::test]
async fn given_a_socket_that_is_reset_during_the_body_when_a_request_is_sent_then_the_outcome_is_begun()
 {
    for bytes_before_reset in [1, HEAD.len(), 100_000] {
        let server = start_resetting_server(bytes_before_reset).await;
        let upstream = Upstream::dial(&sparrouter_fleet::platform::net::Sockets, server).await;
        let mut upstream = upstream.expect("a connection");
        let body = Bytes::from(vec![b'x'; HUGE_BODY]);
        let sent = upstream.send(&Bytes::from_static(HEAD), &[body]).await;
        assert_eq!(sent, SendOutcome::Begun, "{bytes_before_reset} bytes");
        let response = reading::head(
            &mut upstream.stream,
            &mut upstream.buffer,
            head::RESPONSE_PREFIX,
            4096,
        )
        .await;
        assert!(response.is_err(), "{bytes_before_reset} bytes");
    }
}

#[tokio::test]
async fn given_a_socket_that_was_reset_when_a_request_is_sent_then_the_outcome_is_nothing() {
    let server = start_resetting_server(0).await;
    let upstream = Upstream::dial(&sparrouter_fleet::platform::net::Sockets, server).await;
    let mut upstream = upstream.expect("a connection");
    while upstream.is_idle() {
        tokio::task::yield_now().await;
    }
    let sent = upstream
        .send(&Bytes::from_static(b"GET / HTTP/1.1\r\n\r\n"), &[])
        .await;
    assert_eq!(sent, SendOutcome::NotSent);
}
