//! Datagrams between the daemons of a deployment.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::adapter::Adapter;
use crate::eventlog::EventCode;
use crate::shared::Shared;
use crate::store_relay::Announcement;

/// Maximum size of a datagram in bytes. Larger ones may be fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Message from one daemon to another. New variants are added at the end, since the encoding numbers them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Changes in the key-value service, or that there are none.
    Store(Announcement),
}

/// Socket for datagrams to and from other daemons.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Any I/O error, for example if the address is in use.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address).await? })
    }

    /// Sends a message to each address without waiting. Datagrams may be lost, and are dropped if the send buffer is full.
    pub fn send<A: Adapter>(&self, shared: &Shared<A>, to: &[SocketAddr], message: &PeerMessage) {
        let buf = match postcard::to_stdvec(message) {
            Ok(buf) if buf.len() <= MAX_DATAGRAM_BYTES => buf,
            Ok(buf) => return log_unsent(shared, &format!("{} bytes are too many", buf.len())),
            Err(e) => return log_unsent(shared, &e.to_string()),
        };
        for address in to {
            if let Err(e) = self.socket.try_send_to(&buf, *address) {
                log_unsent(shared, &e.to_string());
            }
        }
    }

    /// Receives the next valid message and the address of its sender. Invalid ones are logged.
    ///
    /// # Errors
    ///
    /// Any I/O error of the socket.
    pub async fn receive<A: Adapter>(&self, shared: &Shared<A>) -> io::Result<(SocketAddr, PeerMessage)> {
        // One byte more than the limit, so that a longer datagram is invalid instead of cut.
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (len, from) = self.socket.recv_from(&mut buf).await?;
            match postcard::from_bytes(&buf[..len]) {
                Ok(message) if len <= MAX_DATAGRAM_BYTES => return Ok((from, message)),
                Ok(_) => log_ignored(shared, from, "it is too long"),
                Err(e) => log_ignored(shared, from, &e.to_string()),
            }
        }
    }
}

fn log_unsent<A: Adapter>(shared: &Shared<A>, cause: &str) {
    if let Some(log) = shared.events.admit(shared.now(), EventCode(567)) {
        slog::warn!(log, "message to another daemon was not sent"; "code" => 567, "cause" => cause);
    }
}

/// Logs a message that is not used.
pub fn log_ignored<A: Adapter>(shared: &Shared<A>, from: SocketAddr, cause: &str) {
    if let Some(log) = shared.events.admit(shared.now(), EventCode(568)) {
        slog::warn!(log, "message of another daemon ignored"; "code" => 568, "from" => %from, "cause" => cause);
    }
}
