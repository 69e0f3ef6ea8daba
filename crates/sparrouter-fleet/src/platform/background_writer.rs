//! Writes an output on a separate thread, so that an output whose reader is slow or absent does not block the process.
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

/// How long a flush waits for the output. An active reader is faster than this.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A command to the writer thread.
enum Request {
    Write(Vec<u8>),
    /// Flushes the output, then notifies the sender.
    Flush(Sender<()>),
}

/// An output that is written on a separate thread, which starts with the first write and ends with the process. The
/// queue of pending writes is unbounded: the writer must limit its own output.
pub struct BackgroundWriter<W> {
    /// The output; `None` once the thread has started.
    output: Option<W>,
    requests: Option<Sender<Request>>,
}

impl<W: Write + Send + 'static> BackgroundWriter<W> {
    /// Creates a writer to this output.
    pub fn new(output: W) -> BackgroundWriter<W> {
        BackgroundWriter {
            output: Some(output),
            requests: None,
        }
    }

    fn request(&mut self, request: Request) {
        if let Some(output) = self.output.take() {
            let (sender, receiver) = channel();
            thread::spawn(move || write_all(output, &receiver));
            self.requests = Some(sender);
        }
        if let Some(requests) = &self.requests {
            // The thread ends only with the process.
            let _ = requests.send(request);
        }
    }
}

fn write_all(mut output: impl Write, requests: &Receiver<Request>) {
    for request in requests {
        match request {
            // If the output fails, the data is lost, as it would be without the thread.
            Request::Write(bytes) => {
                let _ = output.write_all(&bytes);
            }
            Request::Flush(done) => {
                let _ = output.flush();
                // The receiver is gone if its time-out has passed.
                let _ = done.send(());
            }
        }
    }
}

impl<W: Write + Send + 'static> Write for BackgroundWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.request(Request::Write(bytes.to_vec()));
        Ok(bytes.len())
    }

    /// Waits until all pending data is written, up to the time-out; the rest is written later.
    fn flush(&mut self) -> io::Result<()> {
        let (done, is_done) = channel();
        self.request(Request::Flush(done));
        let _ = is_done.recv_timeout(FLUSH_TIMEOUT);
        Ok(())
    }
}
