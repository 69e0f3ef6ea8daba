//! Tests of a client connection between a client and the decision actor's mailbox. The client uses a blocking stream of
//! the standard library: its writes and closes have reached the kernel before the connection's task runs again and
//! before the runtime has polled the socket.
use super::budget::Budget;
use super::client::{self, ClientContext, ClientEvent, ReservedAnswer, ServingStage};
use super::idle::IdleConnections;
use crate::protocol::messages::Answer;
use crate::routing::tests::run_local;
use bytes::Bytes;
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

const MS: Duration = Duration::from_millis(1);

struct ClientFixture {
    client: TcpStream,
    events: mpsc::Receiver<ClientEvent>,
    stage: watch::Sender<ServingStage>,
    context: Rc<ClientContext<ClientEvent>>,
    task: JoinHandle<()>,
}

fn request(id: &str) -> String {
    format!("GET /api/k HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: get\r\n\r\n")
}

fn served(body: Bytes) -> ReservedAnswer {
    Answer::Succeeded {
        content_type: None,
        body,
    }
    .into()
}

impl ClientFixture {
    async fn new() -> ClientFixture {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client.set_nonblocking(true).unwrap();
        let stream = listener.accept().await.unwrap().0;
        let (mailbox, events) = mpsc::channel(8);
        let (stage, staged) = watch::channel(ServingStage::Serving);
        let context = Rc::new(ClientContext {
            mailbox,
            stage: staged,
            idle: IdleConnections::new(64),
            max_timeout: Cell::new(900 * MS),
            shutdown_deadline: Cell::new(None),
            next_invocation: Cell::new(0),
        });
        let permit = Budget::new(1).reserve().unwrap();
        let task = tokio::task::spawn_local(client::serve_connection(
            stream,
            permit,
            false,
            context.clone(),
        ));
        ClientFixture {
            client,
            events,
            stage,
            context,
            task,
        }
    }
    fn write(&mut self, text: &str) {
        self.client.write_all(text.as_bytes()).unwrap();
    }
    fn half_close(&self) {
        self.client.shutdown(std::net::Shutdown::Write).unwrap();
    }
    async fn received(&mut self) -> (String, oneshot::Sender<ReservedAnswer>) {
        match timeout(2000 * MS, self.events.recv())
            .await
            .expect("an invocation")
        {
            Some(ClientEvent::Received {
                invocation, answer, ..
            }) => (String::from_utf8(invocation.id.to_vec()).unwrap(), answer),
            _ => panic!("an invocation is received"),
        }
    }
    async fn client_left(&mut self) {
        let event = timeout(2000 * MS, self.events.recv())
            .await
            .expect("the event that it has left");
        assert!(matches!(event, Some(ClientEvent::Left { .. })));
    }
    /// Reads to the end of the connection. Returns the text and whether the connection was reset.
    async fn read_to_end(&mut self) -> (String, bool) {
        let (mut all, mut bytes) = (Vec::new(), [0; 4096]);
        for _ in 0..5000 {
            match self.client.read(&mut bytes) {
                Ok(0) => return (String::from_utf8(all).unwrap(), false),
                Ok(read) => all.extend_from_slice(&bytes[..read]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(MS).await,
                Err(_) => return (String::from_utf8(all).unwrap(), true),
            }
        }
        panic!("the connection does not end");
    }
    /// Completes one invocation, after which the connection is idle.
    async fn exchange_first(&mut self) {
        self.write(&request("first"));
        let (_, answer) = self.received().await;
        let _ = answer.send(served(Bytes::from_static(b"1")));
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n1") {
            let mut byte = [0];
            match self.client.read(&mut byte) {
                Ok(1) => text.push(byte[0]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(MS).await,
                other => panic!("{other:?}"),
            }
        }
        sleep(5 * MS).await;
    }
    async fn task_ended(self) {
        timeout(2000 * MS, self.task)
            .await
            .expect("the connection task ends")
            .unwrap();
    }
}

/// A request is written on an idle connection while the node closes it, in its shutdown or because descriptors run out.
/// If the request arrives before the close, it is answered; otherwise it is not read, and therefore never forwarded.
#[test]
fn a_request_sent_during_the_close_is_answered_or_never_read() {
    for (shuts_down, is_first) in [(true, true), (false, true), (true, false), (false, false)] {
        run_local(async {
            let mut f = ClientFixture::new().await;
            f.exchange_first().await;
            if is_first {
                f.write(&request("second"));
            }
            if shuts_down {
                f.stage.send_replace(ServingStage::Closing);
            } else {
                assert!(f.context.idle.close_one());
            }
            if is_first {
                let (id, answer) = f.received().await;
                let _ = answer.send(served(Bytes::from_static(b"2")));
                assert_eq!(id, "second");
                if shuts_down {
                    let (text, reset) = f.read_to_end().await;
                    assert!(
                        text.contains("Connection: close") && text.ends_with("\r\n\r\n2") && !reset
                    );
                }
            } else {
                let (text, _) = f.read_to_end().await;
                let _ = f.client.write_all(request("second").as_bytes());
                assert_eq!(text, "");
                assert!(
                    timeout(50 * MS, f.events.recv()).await.is_err(),
                    "no request is submitted"
                );
            }
        });
    }
}

/// A connection that is accepted just before the close is not closed before its message can arrive.
#[test]
fn a_new_connection_is_served_while_the_node_closes() {
    run_local(async {
        let mut f = ClientFixture::new().await;
        f.stage.send_replace(ServingStage::Closing);
        sleep(50 * MS).await;
        f.write(&request("late"));
        let (_, answer) = f.received().await;
        let _ = answer.send(served(Bytes::from_static(b"1")));
        assert!(f.read_to_end().await.0.ends_with("\r\n\r\n1"));
        f.task_ended().await;
    });
}

/// An invocation that may not complete before the node exits is rejected and not submitted.
#[test]
fn an_invocation_that_may_not_complete_before_the_exit_is_rejected() {
    run_local(async {
        let mut f = ClientFixture::new().await;
        f.stage.send_replace(ServingStage::Draining);
        f.context
            .shutdown_deadline
            .set(Some(Instant::now() + 800 * MS));
        f.write(&request("long"));
        assert!(f.read_to_end().await.0.starts_with("HTTP/1.1 503 "));
        assert!(f.events.try_recv().is_err());
        f.task_ended().await;
    });
    run_local(async {
        let mut f = ClientFixture::new().await;
        f.context
            .shutdown_deadline
            .set(Some(Instant::now() + 800 * MS));
        f.write(&request("short").replace("\r\n\r\n", "\r\nX-Deadline-Ms: 300\r\n\r\n"));
        assert_eq!(f.received().await.0, "short");
    });
}

/// The client disconnected before the node read its request, or while the request was queued behind another: nothing is
/// submitted, and a client that closed only its side gets 503.
#[test]
fn a_request_that_waited_after_its_client_left_is_not_submitted() {
    for is_behind in [false, true] {
        run_local(async {
            let mut f = ClientFixture::new().await;
            if is_behind {
                f.write(&request("ahead"));
                let (_, answer) = f.received().await;
                f.write(&request("behind"));
                f.half_close();
                let _ = answer.send(served(Bytes::from_static(b"1")));
                // The disconnect may be detected first.
                let (text, _) = f.read_to_end().await;
                assert_eq!(text.matches("HTTP/1.1 ").count(), 2, "{text}");
                assert!(text.contains("HTTP/1.1 503 "));
            } else {
                f.write(&request("alone"));
                f.half_close();
                assert!(f.read_to_end().await.0.starts_with("HTTP/1.1 503 "));
            }
            while let Ok(event) = f.events.try_recv() {
                assert!(
                    matches!(event, ClientEvent::Left { .. }),
                    "nothing more is submitted"
                );
            }
            f.task_ended().await;
        });
    }
}

/// A client disconnects while its invocation is in flight: the decision actor is notified immediately. A client that
/// closed only its side gets the answer.
#[test]
fn a_client_that_leaves_is_reported_immediately() {
    for reset in [false, true] {
        run_local(async {
            let mut f = ClientFixture::new().await;
            f.write(&request("waits"));
            let (_, answer) = f.received().await;
            let start = Instant::now();
            if reset {
                socket2::SockRef::from(&f.client)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                f.client = TcpStream::connect(f.client.peer_addr().unwrap()).unwrap_or_else(|_| {
                    // There is no listener at the address; the old stream is dropped nevertheless.
                    let spare = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
                    TcpStream::connect(spare.local_addr().unwrap()).unwrap()
                });
            } else {
                f.half_close();
            }
            f.client_left().await;
            assert!(start.elapsed() < 100 * MS, "{:?}", start.elapsed());
            let _ = answer.send(Answer::Throttled { retry_after: 0 }.into());
            if !reset {
                assert!(f.read_to_end().await.0.starts_with("HTTP/1.1 503 "));
            }
            f.task_ended().await;
        });
    }
}

/// Closing a connection with unread bytes resets it, and the part of a long answer that has not reached the client is
/// lost.
#[test]
fn an_answer_reaches_a_client_that_has_sent_more() {
    run_local(async {
        let mut f = ClientFixture::new().await;
        f.write(&request("long"));
        let (_, answer) = f.received().await;
        f.stage.send_replace(ServingStage::Closing);
        let body = Bytes::from(vec![b'x'; 1 << 20]);
        let _ = answer.send(served(body.clone()));
        // The client has received the head but not most of the body, and sends more data.
        sleep(5 * MS).await;
        let _ = f.client.write_all(request("crosses").as_bytes());
        sleep(50 * MS).await;
        let (text, _) = f.read_to_end().await;
        assert!(text.contains("Connection: close"));
        assert_eq!(text.matches('x').count(), body.len());
        assert!(
            f.events.try_recv().is_err(),
            "a request sent during the close is not submitted"
        );
    });
}
