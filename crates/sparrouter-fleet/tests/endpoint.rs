//! The handler tree of an HTTP endpoint: routing by path and method, 404 and 405, and limits on idle connections.
use bytes::Bytes;
use sparrouter_fleet::api::endpoint::{self, Matcher};
use sparrouter_fleet::platform::body::Body;
use sparrouter_fleet::platform::http::Response;
use sparrouter_fleet::platform::request::Request;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

fn request(method: &str, target: &str) -> Rc<Request> {
    let text = format!("{method} {target} HTTP/1.1\r\n\r\n");
    let head = sparrouter_http::head::parse_request(&Bytes::from(text)).expect("a head");
    Rc::new(Request {
        head,
        body: Body::default(),
    })
}

/// A tree in which each handler answers with its name and the segments that `*` matched.
fn tree() -> Matcher {
    let handler = |name: &'static str| {
        move |_: Rc<Request>, segments: Vec<String>| async move {
            Response::plain(200, format!("{name} {}", segments.join(",")))
        }
    };
    Matcher::default()
        .on("GET", "/api/config", handler("get"))
        .on("PUT", "/api/config", handler("put"))
        .on("PUT", "/api/instances/*", handler("heartbeat"))
        .on("GET", "/api/instances/all", handler("all"))
        .on("GET", "/api/*/of/*", handler("of"))
        .on("GET", "/", handler("root"))
}

async fn answer_to(method: &str, target: &str) -> (u16, String) {
    let response = tree().respond(request(method, target)).await;
    (response.status, response.body)
}

#[tokio::test]
async fn given_a_path_with_several_methods_when_called_then_the_handler_of_the_method_answers() {
    assert_eq!(answer_to("GET", "/api/config").await, (200, "get ".into()));
    assert_eq!(answer_to("PUT", "/api/config").await, (200, "put ".into()));
    assert_eq!(answer_to("GET", "/").await, (200, "root ".into()));
}

#[tokio::test]
async fn given_wildcards_when_called_then_the_matched_segments_are_passed_in_order() {
    assert_eq!(
        answer_to("PUT", "/api/instances/i-1").await,
        (200, "heartbeat i-1".into())
    );
    assert_eq!(
        answer_to("GET", "/api/a/of/b").await,
        (200, "of a,b".into())
    );
}

#[tokio::test]
async fn given_a_literal_segment_and_a_wildcard_when_called_then_the_literal_takes_precedence() {
    assert_eq!(
        answer_to("GET", "/api/instances/all").await,
        (200, "all ".into())
    );
    assert_eq!(answer_to("PUT", "/api/instances/all").await.0, 405);
}

#[tokio::test]
async fn given_a_query_string_or_extra_slashes_when_called_then_the_same_handler_answers() {
    assert_eq!(
        answer_to("GET", "/api/config?x=/y").await,
        (200, "get ".into())
    );
    assert_eq!(
        answer_to("GET", "//api//config/").await,
        (200, "get ".into())
    );
}

#[tokio::test]
async fn given_an_unknown_path_when_called_then_the_status_is_404() {
    for path in [
        "/api",
        "/api/instances",
        "/api/instances/i-1/x",
        "/apix/config",
        "/api/a/of",
        "/API/config",
    ] {
        assert_eq!(answer_to("GET", path).await.0, 404, "{path}");
    }
}

#[tokio::test]
async fn given_an_unsupported_method_when_called_then_the_status_is_405() {
    for method in ["DELETE", "get", "PUTT", "PU"] {
        assert_eq!(answer_to(method, "/api/config").await.0, 405, "{method}");
    }
}

#[test]
fn given_a_query_string_when_a_parameter_is_read_then_its_value_is_returned() {
    let request = request("GET", "/a/b?one=1&two=&three");
    assert_eq!(request.path(), "/a/b");
    assert_eq!(
        (
            request.query("one"),
            request.query("two"),
            request.query("three")
        ),
        (Some("1"), Some(""), None)
    );
}

/// Makes one call that asks for a persistent connection; returns the connection if the response keeps it open.
async fn call(endpoint: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(endpoint)
        .await
        .expect("the endpoint accepts connections");
    stream
        .write_all(b"GET /api/config HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .expect("the request is sent");
    let mut buffer = [0; 1_024];
    let read = timeout(Duration::from_secs(5), stream.read(&mut buffer)).await;
    let read = read.expect("a response in time").expect("a response");
    let response = String::from_utf8_lossy(&buffer[..read]).to_lowercase();
    assert!(response.starts_with("http/1.1 200"), "{response}");
    (!response.contains("connection: close")).then_some(stream)
}

#[tokio::test]
async fn given_more_idle_clients_than_the_connection_limit_when_another_client_calls_then_it_is_answered()
 {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("its address");
            let listening = spawn_local(endpoint::listen(Box::new(listener), Rc::new(tree())));
            let mut idle = Vec::new();
            for _ in 0..1_000 {
                idle.extend(call(address).await);
            }
            assert_eq!(
                idle.len(),
                599,
                "three quarters of the connection limit, less the permit that is reserved for the next connection"
            );
            assert!(call(address).await.is_none());
            idle.truncate(10);
            sleep(Duration::from_millis(20)).await;
            assert!(
                call(address).await.is_some(),
                "connections are kept alive again after idle ones were closed"
            );
            listening.abort();
        })
        .await;
}
