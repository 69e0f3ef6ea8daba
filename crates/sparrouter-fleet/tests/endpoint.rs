//! The tree of matchers: which handler a call comes to, and what nobody serves.
use bytes::Bytes;
use sparrouter_fleet::endpoint::{self, Matcher};
use sparrouter_fleet::http::{Answer, Request};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

fn request(method: &str, target: &str) -> Rc<Request> {
    let text = format!("{method} {target} HTTP/1.1\r\n\r\n");
    let head = sparrouter_http::head::call(&Bytes::from(text)).expect("a head");
    Rc::new(Request {
        head,
        body: Bytes::new(),
    })
}

/// Each place answers with its name and the words that `*` stood for.
fn tree() -> Matcher {
    let says = |name: &'static str| {
        move |_: Rc<Request>, words: Vec<String>| async move {
            Answer::plain(200, format!("{name} {}", words.join(",")))
        }
    };
    Matcher::default()
        .on("GET", "/api/config", says("get"))
        .on("PUT", "/api/config", says("put"))
        .on("PUT", "/api/instances/*", says("beat"))
        .on("GET", "/api/instances/all", says("all"))
        .on("GET", "/api/*/of/*", says("of"))
        .on("GET", "/", says("root"))
}

async fn told(method: &str, target: &str) -> (u16, String) {
    let answer = tree().answer(request(method, target)).await;
    (answer.status, answer.body)
}

#[tokio::test]
async fn given_a_place_with_methods_when_called_then_the_handler_of_that_method_answers() {
    assert_eq!(told("GET", "/api/config").await, (200, "get ".into()));
    assert_eq!(told("PUT", "/api/config").await, (200, "put ".into()));
    assert_eq!(told("GET", "/").await, (200, "root ".into()));
}

#[tokio::test]
async fn given_a_star_when_called_then_its_words_are_handed_over_in_order() {
    assert_eq!(
        told("PUT", "/api/instances/i-1").await,
        (200, "beat i-1".into())
    );
    assert_eq!(told("GET", "/api/a/of/b").await, (200, "of a,b".into()));
}

#[tokio::test]
async fn given_a_word_and_a_star_when_called_then_the_word_comes_first() {
    assert_eq!(
        told("GET", "/api/instances/all").await,
        (200, "all ".into())
    );
    assert_eq!(told("PUT", "/api/instances/all").await.0, 405);
}

#[tokio::test]
async fn given_a_query_or_spare_slashes_when_called_then_the_place_is_the_same() {
    assert_eq!(told("GET", "/api/config?x=/y").await, (200, "get ".into()));
    assert_eq!(told("GET", "//api//config/").await, (200, "get ".into()));
}

#[tokio::test]
async fn given_a_path_that_nobody_serves_when_called_then_it_is_404() {
    for path in [
        "/api",
        "/api/instances",
        "/api/instances/i-1/x",
        "/apix/config",
        "/api/a/of",
        "/API/config",
    ] {
        assert_eq!(told("GET", path).await.0, 404, "{path}");
    }
}

#[tokio::test]
async fn given_another_method_when_called_then_it_is_405() {
    for method in ["DELETE", "get", "PUTT", "PU"] {
        assert_eq!(told(method, "/api/config").await.0, 405, "{method}");
    }
}

#[test]
fn given_a_query_when_asked_for_a_name_then_its_value_is_given() {
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

/// One call on a connection that stays open here; gives back the connection if the answer says that it stays.
async fn call(door: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(door)
        .await
        .expect("the door takes connections");
    stream
        .write_all(b"GET /api/config HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .expect("it is read");
    let mut buffer = [0; 1_024];
    let read = timeout(Duration::from_secs(5), stream.read(&mut buffer)).await;
    let read = read.expect("an answer in time").expect("an answer");
    let answer = String::from_utf8_lossy(&buffer[..read]).to_lowercase();
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    (!answer.contains("connection: close")).then_some(stream)
}

#[tokio::test]
async fn given_more_callers_than_places_when_they_rest_between_calls_then_another_is_still_answered()
 {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let door = listener.local_addr().expect("its address");
            let listening = spawn_local(endpoint::listen(Box::new(listener), Rc::new(tree())));
            let mut resting = Vec::new();
            for _ in 0..1_000 {
                resting.extend(call(door).await);
            }
            assert_eq!(
                resting.len(),
                599,
                "three quarters of the places, one of them held open for whoever comes next"
            );
            assert!(call(door).await.is_none());
            resting.truncate(10);
            sleep(Duration::from_millis(20)).await;
            assert!(
                call(door).await.is_some(),
                "places that came free may be rested in again"
            );
            listening.abort();
        })
        .await;
}
