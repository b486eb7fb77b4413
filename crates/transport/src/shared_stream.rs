//! Reads and writes on a stream that others hold as well, to watch it or to set its options.

use std::io;
use std::task::{Context, Poll, ready};

use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Reads into `buf`.
///
/// # Errors
///
/// Any I/O error.
pub fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read_buf(buf) {
            Ok(_) => return Poll::Ready(Ok(())),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Poll::Ready(Err(e)),
        }
    }
}

/// Writes with `write`, which must not block.
///
/// # Errors
///
/// Any I/O error.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}
