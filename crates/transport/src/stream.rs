//! Length-prefixed frames over TCP.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use medlarstair_protocol::envelope::MAX_FRAME_BYTES;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Timeout for opening a connection. A reachable peer accepts within the round-trip time to the farthest region.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// TCP connection that carries frames of at most [`MAX_FRAME_BYTES`].
pub type FramedConnection = Framed<TcpStream, LengthDelimitedCodec>;

/// Adds framing to a connection.
pub fn with_framing(stream: TcpStream) -> FramedConnection {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Connects to a peer. The connection is opened from `source_ip`, if given.
///
/// # Errors
///
/// Any I/O error of the connection attempt; [`io::ErrorKind::TimedOut`] after [`CONNECT_TIMEOUT`].
pub async fn connect(peer: SocketAddr, source_ip: Option<IpAddr>) -> io::Result<FramedConnection> {
    let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source_ip) = source_ip {
        socket.bind(SocketAddr::new(source_ip, 0))?;
    }
    let stream =
        timeout(CONNECT_TIMEOUT, socket.connect(peer)).await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(with_framing(stream))
}

/// Sends a frame and flushes it.
///
/// # Errors
///
/// Any I/O error; the connection must not be used afterwards.
pub async fn send(connection: &mut FramedConnection, frame: Vec<u8>) -> io::Result<()> {
    connection.send(Bytes::from(frame)).await
}

/// Waits at most `limit` for the next frame.
///
/// # Errors
///
/// [`io::ErrorKind::UnexpectedEof`] if the peer closed the connection, [`io::ErrorKind::TimedOut`] after `limit`, or
/// any other I/O error.
pub async fn receive(connection: &mut FramedConnection, limit: Duration) -> io::Result<BytesMut> {
    let next = timeout(limit, connection.next()).await.map_err(|_| io::ErrorKind::TimedOut)?;
    next.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
}
