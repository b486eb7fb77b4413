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

/// Longest time that a connection attempt may take. A live peer answers within a round trip of the farthest region.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that carries frames of at most [`MAX_FRAME_BYTES`].
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Wraps a connection.
pub fn frames(stream: TcpStream) -> Frames {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

/// Connects to a peer, from the given source address if there is one.
///
/// # Errors
///
/// Any I/O error of the connection attempt; [`io::ErrorKind::TimedOut`] after [`CONNECT_TIMEOUT`].
pub async fn connect(peer: SocketAddr, source: Option<IpAddr>) -> io::Result<Frames> {
    let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream =
        timeout(CONNECT_TIMEOUT, socket.connect(peer)).await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(frames(stream))
}

/// Sends a frame.
///
/// # Errors
///
/// Any I/O error; the connection is not usable afterwards.
pub async fn send(frames: &mut Frames, frame: Vec<u8>) -> io::Result<()> {
    frames.send(Bytes::from(frame)).await
}

/// Receives a frame within `limit`.
///
/// # Errors
///
/// [`io::ErrorKind::UnexpectedEof`] if the peer closed the connection, [`io::ErrorKind::TimedOut`] after `limit`, or any
/// other I/O error.
pub async fn receive(frames: &mut Frames, limit: Duration) -> io::Result<BytesMut> {
    let next = timeout(limit, frames.next()).await.map_err(|_| io::ErrorKind::TimedOut)?;
    next.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
}
