//! Whole requests and answers over a pipe, in virtual time: limits, slow bytes, chunks, our own answers.
use bytes::BytesMut;
use sparrouter_fleet::platform::http::{
    ReadLimits, Request, RequestReadError, Response, drain_until_closed, read_request,
};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::{Instant, sleep};

const LIMITS: ReadLimits = ReadLimits {
    max_head_bytes: 256,
    max_body_bytes: 64,
    header_timeout: Duration::from_secs(3),
};
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);

/// Reads one request of what `client` writes.
async fn read_of<F: Future<Output = ()>>(
    client: impl FnOnce(DuplexStream) -> F,
) -> (Result<Request, RequestReadError>, BytesMut) {
    let (near, mut far) = duplex(1 << 20);
    let mut buffer = BytesMut::new();
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let (read, ()) = tokio::join!(
        read_request(&mut far, &mut buffer, LIMITS, deadline),
        client(near)
    );
    (read, buffer)
}

async fn read(text: &'static str) -> Result<Request, RequestReadError> {
    let sending = |mut near: DuplexStream| async move {
        near.write_all(text.as_bytes())
            .await
            .expect("space in the pipe");
        sleep(REQUEST_TIMEOUT * 2).await;
    };
    read_of(sending).await.0
}

fn status(read: Result<Request, RequestReadError>) -> u16 {
    match read {
        Err(RequestReadError::Refused(status, text)) if !text.is_empty() => status,
        other => panic!("not refused: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn given_a_whole_request_when_read_then_head_and_body_are_there_and_the_next_is_left() {
    let text = "POST /a/b?c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n";
    let sending = |mut near: DuplexStream| async move {
        near.write_all(text.as_bytes())
            .await
            .expect("space in the pipe")
    };
    let (read, remaining) = read_of(sending).await;
    let read = read.expect("complete");
    assert_eq!((read.path(), &read.body[..]), ("/a/b", &b"abc"[..]));
    assert_eq!(&remaining[..], b"GET / HTTP/1.1\r\n");
}

#[tokio::test(start_paused = true)]
async fn given_a_request_cut_at_any_byte_when_the_rest_comes_then_it_is_the_same() {
    let text = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n";
    for cut in 1..text.len() {
        let sending = |mut near: DuplexStream| async move {
            near.write_all(&text.as_bytes()[..cut])
                .await
                .expect("space in the pipe");
            sleep(Duration::from_millis(10)).await;
            near.write_all(&text.as_bytes()[cut..])
                .await
                .expect("space in the pipe");
        };
        let (read, remaining) = read_of(sending).await;
        assert_eq!(&read.expect("complete").body[..], b"abcde", "cut at {cut}");
        assert!(remaining.is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn given_a_head_that_is_too_long_when_read_then_it_is_431() {
    let long: &'static str = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(300)).leak();
    assert_eq!(status(read(long).await), 431);
    // Also one that has no end yet.
    let endless: &'static str = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(300)).leak();
    assert_eq!(status(read(endless).await), 431);
}

#[tokio::test(start_paused = true)]
async fn given_a_body_that_is_too_long_when_read_then_it_is_413_before_it_has_come() {
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
    let fits: &'static str = format!(
        "POST / HTTP/1.1\r\nContent-Length: 64\r\n\r\n{}",
        "x".repeat(64)
    )
    .leak();
    assert_eq!(read(fits).await.expect("just fits").body.len(), 64);
}

#[tokio::test(start_paused = true)]
async fn given_half_a_head_when_no_more_comes_then_it_is_408_after_the_header_timeout() {
    let began = Instant::now();
    let sending = |mut near: DuplexStream| async move {
        near.write_all(b"GET / HT")
            .await
            .expect("space in the pipe");
        sleep(REQUEST_TIMEOUT * 2).await;
    };
    let (near, mut far) = duplex(1 << 10);
    let mut buffer = BytesMut::new();
    let reading = async {
        let read = read_request(&mut far, &mut buffer, LIMITS, began + REQUEST_TIMEOUT).await;
        (read, began.elapsed())
    };
    let ((read, elapsed), ()) = tokio::join!(reading, sending(near));
    assert_eq!(status(read), 408);
    assert!(
        (LIMITS.header_timeout..LIMITS.header_timeout + Duration::from_millis(5))
            .contains(&elapsed),
        "{elapsed:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn given_a_byte_a_second_when_read_then_the_head_is_408_in_its_time_all_the_same() {
    let sending = |mut near: DuplexStream| async move {
        for byte in "GET / HTTP/1.1\r\nHost: x\r\n\r\n".bytes() {
            if near.write_all(&[byte]).await.is_err() {
                return;
            }
            sleep(Duration::from_secs(1)).await;
        }
    };
    assert_eq!(status(read_of(sending).await.0), 408);
}

#[tokio::test(start_paused = true)]
async fn given_a_body_a_byte_a_second_when_read_then_it_is_408_at_the_end_of_its_time() {
    let sending = |mut near: DuplexStream| async move {
        near.write_all(b"POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n")
            .await
            .expect("space in the pipe");
        for _ in 0..30 {
            if near.write_all(b"x").await.is_err() {
                return;
            }
            sleep(Duration::from_secs(1)).await;
        }
    };
    assert_eq!(status(read_of(sending).await.0), 408);
}

#[tokio::test(start_paused = true)]
async fn given_a_client_that_leaves_midway_when_read_then_nothing_is_owed() {
    for text in [
        "GET / HT",
        "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
    ] {
        let sending = |mut near: DuplexStream| async move {
            near.write_all(text.as_bytes())
                .await
                .expect("space in the pipe")
        };
        assert_eq!(
            read_of(sending).await.0.expect_err("left"),
            RequestReadError::Left
        );
    }
}

#[tokio::test(start_paused = true)]
async fn given_what_two_readers_could_take_differently_when_read_then_it_is_400() {
    let bad = [
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
    for text in bad {
        assert_eq!(status(read(text).await), 400, "{text}");
    }
}

#[tokio::test(start_paused = true)]
async fn given_expect_continue_when_read_then_the_body_is_asked_for() {
    let sending = |mut near: DuplexStream| async move {
        let head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
        near.write_all(head).await.expect("space in the pipe");
        let mut reported = [0; 25];
        near.read_exact(&mut reported)
            .await
            .expect("an interim answer");
        assert_eq!(&reported, b"HTTP/1.1 100 Continue\r\n\r\n");
        near.write_all(b"ok").await.expect("space in the pipe");
    };
    assert_eq!(&read_of(sending).await.0.expect("complete").body[..], b"ok");
}

#[test]
fn given_answers_of_our_own_when_written_then_they_are_whole_messages() {
    let text =
        |answer: Response, keep| String::from_utf8(answer.bytes(keep).to_vec()).expect("text");
    insta::assert_snapshot!(text(Response::plain(404, "no such"), true).replace("\r\n", "|"), @"HTTP/1.1 404 Not Found|Content-Type: text/plain|Content-Length: 7||no such");
    insta::assert_snapshot!(text(Response::retry_later(Duration::from_millis(1_250)), false).replace("\r\n", "|"), @"HTTP/1.1 503 Service Unavailable|Content-Type: text/plain|Content-Length: 0|Retry-After: 1.250|Connection: close||");
    insta::assert_snapshot!(text(Response::json(200, "{}"), true).replace("\r\n", "|"), @"HTTP/1.1 200 OK|Content-Type: application/json|Content-Length: 2||{}");
    let moved = Response {
        location: Some("http://10.0.0.4:8080/x".into()),
        ..Response::plain(307, "")
    };
    insta::assert_snapshot!(text(moved, true).replace("\r\n", "|"), @"HTTP/1.1 307 Temporary Redirect|Content-Type: text/plain|Content-Length: 0|Location: http://10.0.0.4:8080/x||");
}

#[tokio::test(start_paused = true)]
async fn given_a_client_that_never_stops_writing_when_lingered_then_it_ends_in_its_time() {
    let (mut near, far) = duplex(1 << 10);
    let began = Instant::now();
    let writing = async {
        while near.write_all(b"more").await.is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let lingering = async {
        drain_until_closed(far).await;
        began.elapsed()
    };
    let (elapsed, ()) = tokio::join!(lingering, writing);
    assert!(elapsed <= Duration::from_millis(310), "{elapsed:?}");
}
