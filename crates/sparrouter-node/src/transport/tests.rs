//! A client's connection alone, between a client and whoever decides. The client's stream is a plain one: what it
//! does has come to the system before the connection's task runs again, while the runtime has not looked yet.
use super::budget::{DescriptorBudget, IdleConnections};
use super::client::{self, ClientContext, ClientEvent, ReservedAnswer, ServingStage};
use crate::protocol::messages::Answer;
use crate::routing::tests::play;
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

struct Front {
    client: TcpStream,
    said: mpsc::Receiver<ClientEvent>,
    stage: watch::Sender<ServingStage>,
    context: Rc<ClientContext<ClientEvent>>,
    task: JoinHandle<()>,
}

fn request(id: &str) -> String {
    format!("GET /api/k HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: get\r\n\r\n")
}

fn served(body: Bytes) -> ReservedAnswer {
    (Answer::Succeeded { kind: None, body }, Vec::new())
}

impl Front {
    async fn new() -> Front {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client.set_nonblocking(true).unwrap();
        let stream = listener.accept().await.unwrap().0;
        let (mailbox, said) = mpsc::channel(8);
        let (stage, staged) = watch::channel(ServingStage::Serving);
        let context = Rc::new(ClientContext {
            mailbox,
            stage: staged,
            idlers: IdleConnections::new(64),
            patience: Cell::new(900 * MS),
            leaves: Cell::new(None),
            next: Cell::new(0),
        });
        let permit = DescriptorBudget::new(1).take().unwrap();
        let task = tokio::task::spawn_local(client::serve_connection(
            stream,
            permit,
            false,
            context.clone(),
        ));
        Front {
            client,
            said,
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
    async fn taken(&mut self) -> (String, oneshot::Sender<ReservedAnswer>) {
        match timeout(2000 * MS, self.said.recv())
            .await
            .expect("an invocation")
        {
            Some(ClientEvent::Received {
                invocation, answer, ..
            }) => (String::from_utf8(invocation.id.to_vec()).unwrap(), answer),
            _ => panic!("an invocation is taken"),
        }
    }
    async fn gone(&mut self) {
        let says = timeout(2000 * MS, self.said.recv())
            .await
            .expect("word that it has gone");
        assert!(matches!(says, Some(ClientEvent::Left { .. })));
    }
    /// All that comes up to the end of the connection, and whether that was a reset.
    async fn rest(&mut self) -> (String, bool) {
        let (mut all, mut piece) = (Vec::new(), [0; 4096]);
        for _ in 0..5000 {
            match self.client.read(&mut piece) {
                Ok(0) => return (String::from_utf8(all).unwrap(), false),
                Ok(read) => all.extend_from_slice(&piece[..read]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => sleep(MS).await,
                Err(_) => return (String::from_utf8(all).unwrap(), true),
            }
        }
        panic!("the connection does not end");
    }
    /// One invocation and its answer; the connection rests from now on.
    async fn rested(&mut self) {
        self.write(&request("first"));
        let (_, answer) = self.taken().await;
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
    async fn over(self) {
        timeout(2000 * MS, self.task)
            .await
            .expect("nothing is left of it")
            .unwrap();
    }
}

/// A request is written on a resting connection just as the node closes it, at its end or for want of descriptors.
/// Come before the close it is answered; come after it, it is not read, and so never sent on.
#[test]
fn a_request_that_crosses_the_close_is_answered_or_never_read() {
    for (leaves, first) in [(true, true), (false, true), (true, false), (false, false)] {
        play(async {
            let mut f = Front::new().await;
            f.rested().await;
            if first {
                f.write(&request("second"));
            }
            if leaves {
                f.stage.send_replace(ServingStage::Closing);
            } else {
                assert!(f.context.idlers.ask_first());
            }
            if first {
                let (id, answer) = f.taken().await;
                let _ = answer.send(served(Bytes::from_static(b"2")));
                assert_eq!(id, "second");
                if leaves {
                    let (text, reset) = f.rest().await;
                    assert!(
                        text.contains("Connection: close") && text.ends_with("\r\n\r\n2") && !reset
                    );
                }
            } else {
                let (text, _) = f.rest().await;
                let _ = f.client.write_all(request("second").as_bytes());
                assert_eq!(text, "");
                assert!(
                    timeout(50 * MS, f.said.recv()).await.is_err(),
                    "nothing of it is handed over"
                );
            }
        });
    }
}

/// A connection that came in the last moment is not closed before its message can be there.
#[test]
fn a_new_connection_is_heard_though_the_node_closes() {
    play(async {
        let mut f = Front::new().await;
        f.stage.send_replace(ServingStage::Closing);
        sleep(50 * MS).await;
        f.write(&request("late"));
        let (_, answer) = f.taken().await;
        let _ = answer.send(served(Bytes::from_static(b"1")));
        assert!(f.rest().await.0.ends_with("\r\n\r\n1"));
        f.over().await;
    });
}

/// What can't be over before the node has to be gone is told to come back, not begun.
#[test]
fn what_would_outlive_the_node_is_not_begun() {
    play(async {
        let mut f = Front::new().await;
        f.stage.send_replace(ServingStage::Draining);
        f.context.leaves.set(Some(Instant::now() + 800 * MS));
        f.write(&request("long"));
        assert!(f.rest().await.0.starts_with("HTTP/1.1 503 "));
        assert!(f.said.try_recv().is_err());
        f.over().await;
    });
    play(async {
        let mut f = Front::new().await;
        f.context.leaves.set(Some(Instant::now() + 800 * MS));
        f.write(&request("short").replace("\r\n\r\n", "\r\nX-Deadline-Ms: 300\r\n\r\n"));
        assert_eq!(f.taken().await.0, "short");
    });
}

/// Its client had left before anybody looked, or behind an invocation that is not its last: nothing is handed over,
/// and a client that only ended its side is told so.
#[test]
fn what_waited_after_its_client_left_is_not_handed_over() {
    for behind in [false, true] {
        play(async {
            let mut f = Front::new().await;
            if behind {
                f.write(&request("ahead"));
                let (_, answer) = f.taken().await;
                f.write(&request("behind"));
                f.half_close();
                let _ = answer.send(served(Bytes::from_static(b"1")));
                // It may have been seen first that the client has left.
                let (text, _) = f.rest().await;
                assert_eq!(text.matches("HTTP/1.1 ").count(), 2, "{text}");
                assert!(text.contains("HTTP/1.1 503 "));
            } else {
                f.write(&request("alone"));
                f.half_close();
                assert!(f.rest().await.0.starts_with("HTTP/1.1 503 "));
            }
            while let Ok(says) = f.said.try_recv() {
                assert!(
                    matches!(says, ClientEvent::Left { .. }),
                    "nothing more is handed over"
                );
            }
            f.over().await;
        });
    }
}

/// It leaves while its invocation waits: whoever decides hears of it at once. Where only its side has ended, the
/// client gets what that says.
#[test]
fn a_client_that_leaves_is_told_of_at_once() {
    for reset in [false, true] {
        play(async {
            let mut f = Front::new().await;
            f.write(&request("waits"));
            let (_, answer) = f.taken().await;
            let start = Instant::now();
            if reset {
                socket2::SockRef::from(&f.client)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                f.client = TcpStream::connect(f.client.peer_addr().unwrap()).unwrap_or_else(|_| {
                    // Nobody listens there any more; the old stream is dropped all the same.
                    let spare = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
                    TcpStream::connect(spare.local_addr().unwrap()).unwrap()
                });
            } else {
                f.half_close();
            }
            f.gone().await;
            assert!(start.elapsed() < 100 * MS, "{:?}", start.elapsed());
            let _ = answer.send((Answer::Throttled { retry_after: 0 }, Vec::new()));
            if !reset {
                assert!(f.rest().await.0.starts_with("HTTP/1.1 503 "));
            }
            f.over().await;
        });
    }
}

/// Closed with bytes unread, a connection is reset, and what is not yet at the client of a long answer goes with it.
#[test]
fn an_answer_reaches_a_client_that_has_sent_more() {
    play(async {
        let mut f = Front::new().await;
        f.write(&request("long"));
        let (_, answer) = f.taken().await;
        f.stage.send_replace(ServingStage::Closing);
        let body = Bytes::from(vec![b'x'; 1 << 20]);
        let _ = answer.send(served(body.clone()));
        // The head is there, most of the body is not, and more comes from the client.
        sleep(5 * MS).await;
        let _ = f.client.write_all(request("crosses").as_bytes());
        sleep(50 * MS).await;
        let (text, _) = f.rest().await;
        assert!(text.contains("Connection: close"));
        assert_eq!(text.matches('x').count(), body.len());
        assert!(
            f.said.try_recv().is_err(),
            "what crosses the end is not handed over"
        );
    });
}
