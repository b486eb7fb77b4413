//! Authenticated messages to and from other daemons, over UDP and TCP.

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

/// Number and address of another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAddress {
    /// Number of the daemon; messages are sealed for it.
    pub node: NodeId,
    /// Address on which it receives datagrams and streams of other daemons.
    pub address: SocketAddr,
}

/// Transport of all messages between this daemon and others. Used only on the engine's thread.
#[derive(Debug)]
pub struct PeerTransport {
    me: Incarnation,
    socket: UdpSocket,
    source_ip: Option<IpAddr>,
    sealer: RefCell<Sealer>,
    opener: RefCell<Opener>,
    clock: RefCell<HybridClock>,
    metrics: Metrics,
}

impl PeerTransport {
    /// Binds the UDP socket. Streams are opened from `source_ip`, if given.
    ///
    /// # Errors
    ///
    /// Any I/O error, for example if the address is in use.
    pub async fn bind(
        me: Incarnation,
        address: SocketAddr,
        source_ip: Option<IpAddr>,
        keys: KeyRing,
        metrics: Metrics,
    ) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Rc::new(Self {
            me,
            socket,
            source_ip,
            sealer: RefCell::new(Sealer::new(keys.clone(), me)),
            opener: RefCell::new(Opener::new(keys, me.node)),
            clock: RefCell::new(HybridClock::default()),
            metrics,
        }))
    }

    /// Returns the identity of this daemon.
    pub fn me(&self) -> Incarnation {
        self.me
    }

    /// Advances the hybrid clock for a local event and returns its time.
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

    /// Sends a datagram without waiting. It is dropped if the send buffer is full, and may be lost on the way.
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
        // One byte more than the limit, so that an oversized datagram is detected instead of truncated to a valid size.
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (len, _) = self.socket.recv_from(&mut buf).await?;
            self.metrics.on_datagram_received(len);
            if let Ok((header, message)) = self.open::<PeerMessage>(Channel::Datagram, &buf[..len]) {
                return Ok((header.sender, message));
            }
        }
    }

    /// Sends a request over a new TCP connection and waits at most `timeout` for the response. Connecting has a
    /// timeout of its own.
    ///
    /// # Errors
    ///
    /// Any I/O error; [`io::ErrorKind::InvalidData`] if another daemon than `to` sealed the response.
    pub async fn exchange(
        &self,
        to: PeerAddress,
        req: &StreamRequest,
        timeout: Duration,
    ) -> io::Result<StreamResponse> {
        let frame = self.seal(Channel::Stream, to.node, req)?;
        let mut connection = stream::connect(to.address, self.source_ip).await?;
        let sent = frame.len();
        stream::send(&mut connection, frame).await?;
        let buf = stream::receive(&mut connection, timeout).await?;
        self.metrics.on_frame(buf.len(), sent);
        let (header, response) =
            self.open::<StreamResponse>(Channel::Stream, &buf).map_err(io::Error::other)?;
        if header.sender.node != to.node {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(response)
    }

    /// Authenticates and decodes a request received over TCP.
    ///
    /// # Errors
    ///
    /// [`OpenError`] if the frame is rejected.
    pub fn open_request(&self, buf: &[u8]) -> Result<(Incarnation, StreamRequest), OpenError> {
        self.metrics.on_frame(buf.len(), 0);
        let (header, req) = self.open::<StreamRequest>(Channel::Stream, buf)?;
        Ok((header.sender, req))
    }

    /// Encodes and authenticates the response to a request received over TCP.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the response exceeds the frame limit.
    pub fn seal_response(&self, to: NodeId, response: &StreamResponse) -> io::Result<Vec<u8>> {
        let frame = self.seal(Channel::Stream, to, response)?;
        self.metrics.on_frame(0, frame.len());
        Ok(frame)
    }
}
