//! Messages to and from other daemons.

use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use medlarstair_protocol::clock::{HybridClock, HybridTime};
use medlarstair_protocol::envelope::{Channel, Header, MAX_DATAGRAM_BYTES, OpenError, Opener, Sealer};
use medlarstair_protocol::key::KeyRing;
use medlarstair_protocol::stream::{StreamRequest, StreamResponse};
use medlarstair_state::id::{Incarnation, NodeId};
use medlarstair_state::node::PeerMessage;
use medlarstair_transport::clock::wall_ms;
use medlarstair_transport::stream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;

use crate::metrics::Metrics;

/// Where another daemon listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAddress {
    /// The daemon.
    pub node: NodeId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// The daemon's end of all connections to other daemons. Belongs to the engine's thread.
#[derive(Debug)]
pub struct PeerTransport {
    me: Incarnation,
    socket: UdpSocket,
    source: Option<IpAddr>,
    sealer: RefCell<Sealer>,
    opener: RefCell<Opener>,
    clock: RefCell<HybridClock>,
    metrics: Metrics,
}

impl PeerTransport {
    /// Binds the datagram socket.
    ///
    /// # Errors
    ///
    /// Any I/O error, for example if another daemon runs on the address.
    pub async fn bind(
        me: Incarnation,
        address: SocketAddr,
        source: Option<IpAddr>,
        keys: KeyRing,
        metrics: Metrics,
    ) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Rc::new(Self {
            me,
            socket,
            source,
            sealer: RefCell::new(Sealer::new(keys.clone(), me)),
            opener: RefCell::new(Opener::new(keys, me.node)),
            clock: RefCell::new(HybridClock::default()),
            metrics,
        }))
    }

    /// This daemon.
    pub fn me(&self) -> Incarnation {
        self.me
    }

    /// The next point of the hybrid clock.
    pub fn now(&self) -> HybridTime {
        self.clock.borrow_mut().now(wall_ms())
    }

    fn seal<T: Serialize>(&self, channel: Channel, to: NodeId, message: &T) -> io::Result<Vec<u8>> {
        let at = self.now();
        self.sealer.borrow_mut().seal(channel, to, at, message).map_err(io::Error::other)
    }

    fn open<T: DeserializeOwned>(&self, channel: Channel, buf: &[u8]) -> Result<(Header, T), OpenError> {
        let opened = self.opener.borrow_mut().open::<T>(channel, buf);
        match &opened {
            Ok((header, _)) => {
                self.clock.borrow_mut().observe(header.clock, wall_ms());
            }
            Err(e) => self.metrics.on_message_refused(*e),
        }
        opened
    }

    /// Sends a datagram. It may get lost, also when the socket's buffer is full.
    pub fn send(&self, to: PeerAddress, message: &PeerMessage) {
        let Ok(buf) = self.seal(Channel::Datagram, to.node, message) else {
            return;
        };
        if self.socket.try_send_to(&buf, to.address).is_ok() {
            self.metrics.on_datagram_sent(buf.len());
        }
    }

    /// Receives the next valid datagram.
    ///
    /// # Errors
    ///
    /// Any I/O error of the socket.
    pub async fn receive(&self) -> io::Result<(Incarnation, PeerMessage)> {
        // One byte more than allowed, so that oversized datagrams are recognised.
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (len, _) = self.socket.recv_from(&mut buf).await?;
            self.metrics.on_datagram_received(len);
            if let Ok((header, message)) = self.open::<PeerMessage>(Channel::Datagram, &buf[..len]) {
                return Ok((header.sender, message));
            }
        }
    }

    /// Sends a request over a new stream and waits for the answer for at most `limit`.
    ///
    /// # Errors
    ///
    /// Any I/O error; [`io::ErrorKind::InvalidData`] if the answer is not valid.
    pub async fn exchange(
        &self,
        to: PeerAddress,
        req: &StreamRequest,
        limit: Duration,
    ) -> io::Result<StreamResponse> {
        let frame = self.seal(Channel::Stream, to.node, req)?;
        let mut frames = stream::connect(to.address, self.source).await?;
        let sent = frame.len();
        stream::send(&mut frames, frame).await?;
        let buf = stream::receive(&mut frames, limit).await?;
        self.metrics.on_frame(buf.len(), sent);
        let (header, answer) =
            self.open::<StreamResponse>(Channel::Stream, &buf).map_err(io::Error::other)?;
        if header.sender.node != to.node {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(answer)
    }

    /// Opens a request that arrived over a stream.
    ///
    /// # Errors
    ///
    /// [`OpenError`] if the frame is refused.
    pub fn open_request(&self, buf: &[u8]) -> Result<(Incarnation, StreamRequest), OpenError> {
        self.metrics.on_frame(buf.len(), 0);
        let (header, req) = self.open::<StreamRequest>(Channel::Stream, buf)?;
        Ok((header.sender, req))
    }

    /// Seals the answer to a request that arrived over a stream.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the answer is too large.
    pub fn seal_response(&self, to: NodeId, answer: &StreamResponse) -> io::Result<Vec<u8>> {
        let frame = self.seal(Channel::Stream, to, answer)?;
        self.metrics.on_frame(0, frame.len());
        Ok(frame)
    }
}
