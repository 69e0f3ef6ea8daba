//! A process's end of a connection.

use super::SimulatedNetwork;
use super::connection::{ConnectionState, Side};
use sparrouter_fleet::platform::net::Connection;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep_until};

/// A process's end of a connection. Dropping it closes it.
pub struct Socket {
    connection: Rc<ConnectionState>,
    side: Side,
    network: Rc<SimulatedNetwork>,
    /// Wakes the reader when the next segment arrives.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    pub(super) fn new(
        connection: Rc<ConnectionState>,
        side: Side,
        network: Rc<SimulatedNetwork>,
        has_user_timeout: bool,
    ) -> Socket {
        connection.set_user_timeout(side, has_user_timeout);
        Socket {
            connection,
            side,
            network,
            timer: None,
        }
    }

    /// Closes it with a reset, whatever was read.
    pub fn abort(self) {
        self.connection.leave_unread(self.side);
    }
}

impl Connection for Socket {
    fn read_available(&self, buffer: &mut [u8]) -> Option<io::Result<usize>> {
        self.connection.read(self.side, buffer, &self.network)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let unfilled = buffer.initialize_unfilled();
            if let Some(read) = self.connection.read(self.side, unfilled, &self.network) {
                return Poll::Ready(read.map(|length| buffer.advance(length)));
            }
            let Some(arrives_at) = self.connection.wait_for_segment(self.side, context) else {
                return Poll::Pending;
            };
            let mut timer = Box::pin(sleep_until(arrives_at));
            if timer.as_mut().poll(context).is_pending() {
                self.timer = Some(timer);
                return Poll::Pending;
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let admitted = self
            .connection
            .admit_write(self.side, bytes.len(), &self.network, context);
        let admitted = match admitted {
            Poll::Ready(Ok(admitted)) => admitted,
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        };
        self.network
            .count_written(admitted.from, admitted.to, admitted.length);
        self.connection
            .write(self.side, &admitted, bytes, &self.network);
        Poll::Ready(Ok(admitted.length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.shut_down(self.side, &self.network);
        Poll::Ready(Ok(()))
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.connection.close(self.side, &self.network);
    }
}
