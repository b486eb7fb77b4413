//! Datagrams between the daemons of a deployment.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::steering::quota::Datagram;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::adapter::Adapter;
use crate::eventlog::EventCode;
use crate::quota;
use crate::shared::Shared;
use crate::store_relay::Announcement;
use crate::store_watcher::StoreWatcher;

/// Maximum size of a datagram in bytes. Larger ones may be fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Backoff after an error of the socket.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(20);

/// Message from one daemon to another. New variants are added at the end, since the encoding numbers them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Changes in the key-value service, or that there are none.
    Store(Announcement),
    /// Demand for or shares of quotas.
    Quota(Datagram),
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
            match self.socket.try_send_to(&buf, *address) {
                Ok(len) => count(shared, message, "sent", len),
                Err(e) => log_unsent(shared, &e.to_string()),
            }
        }
    }

    /// Receives the next valid message and the address of its sender. Invalid ones are logged.
    async fn receive<A: Adapter>(&self, shared: &Shared<A>) -> io::Result<(SocketAddr, PeerMessage)> {
        // One byte more than the limit, so that a longer datagram is invalid instead of cut.
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let (len, from) = self.socket.recv_from(&mut buf).await?;
            match postcard::from_bytes(&buf[..len]) {
                Ok(message) if len <= MAX_DATAGRAM_BYTES => {
                    count(shared, &message, "received", len);
                    return Ok((from, message));
                }
                Ok(_) => reject(shared, from, "it is too long"),
                Err(e) => reject(shared, from, &e.to_string()),
            }
        }
    }
}

/// Binds the socket of a daemon whose settings have an address for messages of other daemons.
///
/// # Errors
///
/// Any I/O error, for example if the address is in use.
pub async fn bind<A: Adapter>(shared: &Shared<A>) -> io::Result<()> {
    if let Some(address) = shared.cfg.peer_address {
        // The socket is empty, since it is bound only at the start.
        let _ = shared.peer_socket.set(PeerSocket::bind(address).await?);
    }
    Ok(())
}

/// Receives and handles messages of other daemons until the daemon exits.
pub async fn receive_all<A: Adapter>(shared: Rc<Shared<A>>, watcher: Rc<StoreWatcher>) {
    let Some(socket) = shared.peer_socket.get() else {
        return;
    };
    loop {
        match socket.receive(&shared).await {
            Ok((from, PeerMessage::Store(announcement))) => {
                watcher.on_announcement(&shared, from, announcement);
            }
            Ok((from, PeerMessage::Quota(datagram))) => quota::handle(&shared, from, &datagram),
            Err(e) => {
                if let Some(log) = shared.events.admit(shared.now(), EventCode(569)) {
                    slog::warn!(log, "messages of other daemons cannot be received"; "code" => 569, "cause" => %e);
                }
                sleep(RECEIVE_BACKOFF).await;
            }
        }
    }
}

/// Counts a datagram and its bytes.
fn count<A: Adapter>(shared: &Shared<A>, message: &PeerMessage, direction: &str, len: usize) {
    let kind = match message {
        PeerMessage::Store(_) => "store",
        PeerMessage::Quota(_) => "quota",
    };
    shared.metrics.peer_messages.with_label_values(&[kind, direction]).inc();
    shared.metrics.peer_bytes.with_label_values(&[kind, direction]).inc_by(len as u64);
}

/// Counts and logs a datagram that is not a valid message.
fn reject<A: Adapter>(shared: &Shared<A>, from: SocketAddr, cause: &str) {
    shared.metrics.peer_messages.with_label_values(&["invalid", "received"]).inc();
    log_ignored(shared, from, cause);
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
