//! Reading of requests and writing of the node's own responses over a pipe, in virtual time: size limits, slow clients,
//! chunked bodies.
use bytes::BytesMut;
use sparrouter_fleet::platform::http::{Response, drain_until_closed};
use sparrouter_fleet::platform::memory::MemoryPool;
use sparrouter_fleet::platform::request::{
    HeadLimits, ReadLimits, Request, RequestReadError, RequestReader,
};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Instant, sleep};

const LIMITS: ReadLimits = ReadLimits {
    head: HeadLimits {
        max_bytes: 256,
        timeout: Duration::from_secs(3),
    },
    max_body_bytes: 64,
};
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);

/// Reads one request, without a limit on memory.
async fn read_request(
    stream: &mut DuplexStream,
    buffer: &mut BytesMut,
    deadline: Instant,
) -> Result<Request, RequestReadError> {
    let mut reader = RequestReader {
        stream,
        buffer,
        reservation: &mut MemoryPool::unlimited().reserve(),
        deadline,
    };
    reader.read(LIMITS).await
}

/// Reads one request from what `client` writes. Also returns the bytes that were read beyond it.
async fn read_from_client<F: Future<Output = ()>>(
    client: impl FnOnce(DuplexStream) -> F,
) -> (Result<Request, RequestReadError>, BytesMut) {
    let (client_end, mut server_end) = duplex(1 << 20);
    let mut buffer = BytesMut::new();
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let (read, ()) = tokio::join!(
        read_request(&mut server_end, &mut buffer, deadline),
        client(client_end)
    );
    (read, buffer)
}

async fn read(text: &'static str) -> Result<Request, RequestReadError> {
    let sending = |mut client_end: DuplexStream| async move {
        client_end
            .write_all(text.as_bytes())
            .await
            .expect("space in the pipe");
        sleep(REQUEST_TIMEOUT * 2).await;
    };
    read_from_client(sending).await.0
}

fn status(read: Result<Request, RequestReadError>) -> u16 {
    match read {
        Err(RequestReadError::Refused(status, text)) if !text.is_empty() => status,
        other => panic!("request was not rejected: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn given_a_complete_request_when_read_then_head_and_body_are_returned_and_later_bytes_kept() {
    let text = "POST /a/b?c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n";
    let sending = |mut client_end: DuplexStream| async move {
        client_end
            .write_all(text.as_bytes())
            .await
            .expect("space in the pipe")
    };
    let (read, remaining) = read_from_client(sending).await;
    let read = read.expect("a complete request");
    assert_eq!(
        (read.path(), &read.body.contiguous()[..]),
        ("/a/b", &b"abc"[..])
    );
    assert_eq!(&remaining[..], b"GET / HTTP/1.1\r\n");
}

#[tokio::test(start_paused = true)]
async fn given_a_request_split_at_any_byte_when_the_rest_arrives_then_the_body_is_complete() {
    let text = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n";
    for split_at in 1..text.len() {
        let sending = |mut client_end: DuplexStream| async move {
            client_end
                .write_all(&text.as_bytes()[..split_at])
                .await
                .expect("space in the pipe");
            sleep(Duration::from_millis(10)).await;
            client_end
                .write_all(&text.as_bytes()[split_at..])
                .await
                .expect("space in the pipe");
        };
        let (read, remaining) = read_from_client(sending).await;
        assert_eq!(
            &read.expect("a complete request").body.contiguous()[..],
            b"abcde",
            "split at {split_at}"
        );
        assert!(remaining.is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn given_a_head_above_the_size_limit_when_read_then_the_status_is_431() {
    let long_head: &'static str =
        format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(300)).leak();
    assert_eq!(status(read(long_head).await), 431);
    // A head whose end has not arrived yet is rejected as well.
    let incomplete_head: &'static str = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(300)).leak();
    assert_eq!(status(read(incomplete_head).await), 431);
}

#[tokio::test(start_paused = true)]
async fn given_a_body_above_the_size_limit_when_read_then_the_status_is_413_before_the_body_arrives()
 {
    assert_eq!(
        status(read("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n").await),
        413
    );
    assert_eq!(
        status(read("POST / HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\n").await),
        413
    );
    let chunks: &'static str = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{}\r\n1\r\ny\r\n",
        "x".repeat(64)
    )
    .leak();
    assert_eq!(status(read(chunks).await), 413);
    let max_body: &'static str = format!(
        "POST / HTTP/1.1\r\nContent-Length: 64\r\n\r\n{}",
        "x".repeat(64)
    )
    .leak();
    assert_eq!(
        read(max_body)
            .await
            .expect("a body at the size limit")
            .body
            .len(),
        64
    );
}

#[tokio::test(start_paused = true)]
async fn given_an_incomplete_head_when_no_more_bytes_arrive_then_the_status_is_408_after_the_header_timeout()
 {
    let started_at = Instant::now();
    let sending = |mut client_end: DuplexStream| async move {
        client_end
            .write_all(b"GET / HT")
            .await
            .expect("space in the pipe");
        sleep(REQUEST_TIMEOUT * 2).await;
    };
    let (client_end, mut server_end) = duplex(1 << 10);
    let mut buffer = BytesMut::new();
    let reading = async {
        let deadline = started_at + REQUEST_TIMEOUT;
        let read = read_request(&mut server_end, &mut buffer, deadline).await;
        (read, started_at.elapsed())
    };
    let ((read, elapsed), ()) = tokio::join!(reading, sending(client_end));
    assert_eq!(status(read), 408);
    assert!(
        (LIMITS.head.timeout..LIMITS.head.timeout + Duration::from_millis(5)).contains(&elapsed),
        "{elapsed:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn given_a_head_at_one_byte_per_second_when_the_header_timeout_ends_then_the_status_is_408() {
    let sending = |mut client_end: DuplexStream| async move {
        for byte in "GET / HTTP/1.1\r\nHost: x\r\n\r\n".bytes() {
            if client_end.write_all(&[byte]).await.is_err() {
                return;
            }
            sleep(Duration::from_secs(1)).await;
        }
    };
    assert_eq!(status(read_from_client(sending).await.0), 408);
}

#[tokio::test(start_paused = true)]
async fn given_a_body_at_one_byte_per_second_when_the_request_timeout_ends_then_the_status_is_408()
{
    let sending = |mut client_end: DuplexStream| async move {
        client_end
            .write_all(b"POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n")
            .await
            .expect("space in the pipe");
        for _ in 0..30 {
            if client_end.write_all(b"x").await.is_err() {
                return;
            }
            sleep(Duration::from_secs(1)).await;
        }
    };
    assert_eq!(status(read_from_client(sending).await.0), 408);
}

#[tokio::test(start_paused = true)]
async fn given_a_client_that_disconnects_within_a_request_when_read_then_no_response_is_due() {
    for text in [
        "GET / HT",
        "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
    ] {
        let sending = |mut client_end: DuplexStream| async move {
            client_end
                .write_all(text.as_bytes())
                .await
                .expect("space in the pipe")
        };
        assert_eq!(
            read_from_client(sending).await.0.expect_err("a disconnect"),
            RequestReadError::Left
        );
    }
}

#[tokio::test(start_paused = true)]
async fn given_a_malformed_or_ambiguous_request_when_read_then_the_status_is_400() {
    let invalid_requests = [
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        "GET / HTTP/1.1\r\nA b: c\r\n\r\n",
        "GET / HTTP/1.1\r\n folded: c\r\n\r\n",
        "GET /  HTTP/1.1\r\n\r\n",
        "GET x HTTP/1.1\r\n\r\n",
        "GET / HTTP/2.0\r\n\r\n",
        "nonsense\r\n\r\n",
    ];
    for text in invalid_requests {
        assert_eq!(status(read(text).await), 400, "{text}");
    }
}

#[tokio::test(start_paused = true)]
async fn given_expect_100_continue_when_read_then_an_interim_response_requests_the_body() {
    let sending = |mut client_end: DuplexStream| async move {
        let head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        client_end.write_all(head).await.expect("space in the pipe");
        let mut interim = [0; 25];
        client_end
            .read_exact(&mut interim)
            .await
            .expect("an interim response");
        assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        client_end
            .write_all(b"ok")
            .await
            .expect("space in the pipe");
    };
    assert_eq!(
        &read_from_client(sending)
            .await
            .0
            .expect("a complete request")
            .body
            .contiguous()[..],
        b"ok"
    );
}

/// Guards against a connection that is held for ever by a client that reads nothing.
#[tokio::test(start_paused = true)]
async fn given_expect_100_continue_when_the_interim_response_is_not_read_then_the_status_is_408() {
    let (mut client_end, mut server_end) = duplex(16);
    let began = Instant::now();
    let writing = async {
        let head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        client_end.write_all(head).await.expect("it is read");
        sleep(REQUEST_TIMEOUT * 2).await;
    };
    let reading = async {
        let deadline = began + REQUEST_TIMEOUT;
        let read = read_request(&mut server_end, &mut BytesMut::new(), deadline).await;
        (read, began.elapsed())
    };
    let ((read, elapsed), ()) = tokio::join!(reading, writing);
    assert_eq!(status(read), 408);
    assert!(
        elapsed <= REQUEST_TIMEOUT + Duration::from_millis(5),
        "{elapsed:?}"
    );
}

#[test]
fn given_own_responses_when_written_then_they_are_complete_http_messages() {
    let text = |response: Response, keep_alive| {
        String::from_utf8(response.bytes(keep_alive).to_vec()).expect("text")
    };
    insta::assert_snapshot!(text(Response::plain(404, "no such"), true).replace("\r\n", "|"), @"HTTP/1.1 404 Not Found|Content-Type: text/plain|Content-Length: 7||no such");
    insta::assert_snapshot!(text(Response::retry_later(Duration::from_millis(1_250)), false).replace("\r\n", "|"), @"HTTP/1.1 503 Service Unavailable|Content-Type: text/plain|Content-Length: 0|Retry-After: 1.250|Connection: close||");
    insta::assert_snapshot!(text(Response::json(200, "{}"), true).replace("\r\n", "|"), @"HTTP/1.1 200 OK|Content-Type: application/json|Content-Length: 2||{}");
    let redirect = Response {
        location: Some("http://10.0.0.4:8080/x".into()),
        ..Response::plain(307, "")
    };
    insta::assert_snapshot!(text(redirect, true).replace("\r\n", "|"), @"HTTP/1.1 307 Temporary Redirect|Content-Type: text/plain|Content-Length: 0|Location: http://10.0.0.4:8080/x||");
}

#[tokio::test(start_paused = true)]
async fn given_a_client_that_keeps_writing_when_drained_then_draining_ends_at_its_timeout() {
    let (mut client_end, server_end) = duplex(1 << 10);
    let started_at = Instant::now();
    let writing = async {
        while client_end.write_all(b"more").await.is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let draining = async {
        drain_until_closed(server_end).await;
        started_at.elapsed()
    };
    let (elapsed, ()) = tokio::join!(draining, writing);
    assert!(elapsed <= Duration::from_millis(310), "{elapsed:?}");
}
