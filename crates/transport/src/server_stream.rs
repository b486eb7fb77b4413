//! The stream of a connection to a server, with limits on what a faulty server can make the process do.
//!
//! The HTTP library passes over any number of interim responses (status 1xx) before the response, and reads on for as long as
//! bytes arrive. A server that never stops would take the whole thread until the deadline of the request.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::http1::finish_writes;
use crate::shared_stream::{poll_read, poll_write};

/// Maximum number of bytes that a server sends up to the end of the head of a response, with interim responses. The HTTP library
/// may have read two buffers of the body, of 64 KiB each, before the budget is lifted.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Number of bytes after which other tasks of the thread get a turn.
const MAX_TURN_BYTES: usize = 64 << 10;

/// Value of [`HeadBudget`] while no head is awaited.
const UNLIMITED: usize = usize::MAX;

/// Number of bytes that a server may send until the head of its response is complete. Clones share it.
#[derive(Debug, Clone)]
pub struct HeadBudget(Arc<AtomicUsize>);

impl Default for HeadBudget {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

impl HeadBudget {
    /// Begins to wait for the head of a response.
    pub fn start(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the wait for the head.
    pub fn lift(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Takes received bytes from the budget. Returns whether they are within it.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A stream whose reads are limited.
#[derive(Debug)]
pub struct ServerStream {
    stream: Arc<TcpStream>,
    head_budget: HeadBudget,
    /// Bytes that were read since the last turn of other tasks.
    turn: usize,
}

impl ServerStream {
    /// Wraps the stream of a connection. A read fails when `head_budget` is exceeded.
    pub fn new(stream: Arc<TcpStream>, head_budget: HeadBudget) -> Self {
        Self { stream, head_budget, turn: 0 }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn >= MAX_TURN_BYTES {
            self.turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = poll_read(&self.stream, cx, buf);
        if read.is_pending() {
            self.turn = 0;
        }
        ready!(read)?;
        let bytes = buf.filled().len() - before;
        self.turn += bytes;
        if !self.head_budget.take(bytes) {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "response head too long")));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.stream, cx, |stream| stream.try_write(data))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.stream, cx, |stream| stream.try_write_vectored(data))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket has no buffer in the process.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(finish_writes(&self.stream))
    }
}
