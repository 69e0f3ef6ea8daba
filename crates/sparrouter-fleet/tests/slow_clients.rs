//! Connections of the operating system whose other side reads slowly.
use sparrouter_fleet::platform::net::{Net, Sockets, accept};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::runtime::Builder;

/// More than the buffers of both sides take.
const RESPONSE_BYTES: usize = 16 << 20;
/// Shorter than the shortest time-out of a route in the example of DEPLOY.md.
const READ_PAUSE: Duration = Duration::from_secs(3);

/// Reads one byte, pauses, then reads to the end; returns the number of bytes, or the error's text.
fn read_with_pause(address: SocketAddr) -> Result<usize, String> {
    let mut stream = TcpStream::connect(address).map_err(|error| error.to_string())?;
    let mut first = [0];
    stream
        .read_exact(&mut first)
        .map_err(|error| error.to_string())?;
    thread::sleep(READ_PAUSE);
    let mut rest = Vec::new();
    match stream.read_to_end(&mut rest) {
        Ok(bytes) => Ok(first.len() + bytes),
        Err(error) => Err(error.to_string()),
    }
}

/// Guards against a client that is cut off in the middle of a response because it reads nothing for a while: a receive
/// window of zero counts as bytes that are not acknowledged.
#[test]
fn given_a_client_that_reads_nothing_for_three_seconds_then_it_still_gets_the_whole_response() {
    let runtime = Builder::new_current_thread().enable_all().build();
    let received = runtime.expect("a runtime").block_on(async {
        let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let probe = std::net::TcpListener::bind(address).expect("a free port");
        let address = probe.local_addr().expect("its address");
        drop(probe);
        let listener = Sockets.listen(address).expect("a listener");
        let client = thread::spawn(move || read_with_pause(address));
        let (mut stream, _) = accept(&*listener).await;
        // The outcome is what the client reads.
        let _ = stream.write_all(&vec![b'x'; RESPONSE_BYTES]).await;
        drop(stream);
        client.join().expect("the client ends")
    });
    assert_eq!(received, Ok(RESPONSE_BYTES));
}
