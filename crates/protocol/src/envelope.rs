//! Authenticated envelope of every message between daemons.
//!
//! Layout: header and payload in postcard encoding, then a MAC of 16 bytes, the truncated BLAKE3 keyed hash of both.
//! The header contains the receiver, so that a message cannot be redirected to another daemon.

use derive_more::{Display, Error};
use medlarstair_state::id::{Incarnation, NodeId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock::HybridTime;
use crate::key::KeyRing;
use crate::replay::ReplayGuard;

/// Version of the protocol between daemons.
pub const VERSION: u8 = 1;

/// Length of the message authentication code (MAC) in bytes.
pub const MAC_BYTES: usize = 16;

/// Maximum size of a datagram in bytes. Below the usual MTU, so that datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Maximum size of a TCP frame in bytes: a forwarded body of 1 MiB and 64 KiB for its headers.
pub const MAX_FRAME_BYTES: usize = (1 << 20) + (64 << 10);

/// Transport of a message. Each channel has its own sequence numbers, since a frame may arrive after many datagrams
/// that were sent later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Channel {
    /// A UDP datagram.
    Datagram,
    /// A frame on a TCP connection.
    Stream,
}

/// Header of a message, covered by its MAC.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Version of the protocol.
    pub version: u8,
    /// Transport for which the message was sealed.
    pub channel: Channel,
    /// Daemon that sealed the message, with its boot.
    pub sender: Incarnation,
    /// Daemon for which the message was sealed.
    pub receiver: NodeId,
    /// Sequence number of the sender for the channel, from 1.
    pub sequence: u64,
    /// Hybrid time of the sender when it sealed the message.
    pub clock: HybridTime,
}

/// Reason why a message was rejected. The displayed names are label values of the metric of refused messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Error)]
pub enum OpenError {
    /// Larger than the channel allows.
    #[display("oversized")]
    Oversized,
    /// Too short for a MAC, or not decodable.
    #[display("malformed")]
    Malformed,
    /// Sealed with another protocol version.
    #[display("version")]
    Version,
    /// The MAC matches none of the keys.
    #[display("forged")]
    Forged,
    /// Sealed for another daemon or channel.
    #[display("misdirected")]
    Misdirected,
    /// Received before, too old for the replay window, of an earlier boot of the sender, or from a new sender beyond
    /// [`MAX_SENDERS`](crate::replay::MAX_SENDERS).
    #[display("replayed")]
    Replayed,
}

/// Error sealing a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SealError {
    /// The message is larger than its channel allows.
    #[display("message of {bytes} bytes exceeds the limit of its channel")]
    TooLarge {
        /// Size of the sealed message in bytes.
        bytes: usize,
    },
    /// The payload type cannot be encoded in postcard.
    #[display("message cannot be encoded")]
    Encode,
}

fn max_bytes(channel: Channel) -> usize {
    match channel {
        Channel::Datagram => MAX_DATAGRAM_BYTES,
        Channel::Stream => MAX_FRAME_BYTES,
    }
}

/// Encodes and authenticates the messages that one daemon sends.
#[derive(Debug)]
pub struct Sealer {
    keys: KeyRing,
    me: Incarnation,
    datagram_sequence: u64,
    stream_sequence: u64,
}

impl Sealer {
    /// Creates a sealer for the messages that `me` sends.
    pub fn new(keys: KeyRing, me: Incarnation) -> Self {
        Self { keys, me, datagram_sequence: 0, stream_sequence: 0 }
    }

    /// Encodes and authenticates a message.
    ///
    /// # Errors
    ///
    /// [`SealError`] if the message is larger than its channel allows or cannot be encoded.
    pub fn seal<T: Serialize>(
        &mut self,
        channel: Channel,
        receiver: NodeId,
        clock: HybridTime,
        payload: &T,
    ) -> Result<Vec<u8>, SealError> {
        let sequence = self.next_sequence(channel);
        let header = Header { version: VERSION, channel, sender: self.me, receiver, sequence, clock };
        let buf = postcard::to_extend(&header, Vec::with_capacity(256)).map_err(|_| SealError::Encode)?;
        let mut buf = postcard::to_extend(payload, buf).map_err(|_| SealError::Encode)?;
        let mac = blake3::keyed_hash(self.keys.sealing_key(), &buf);
        buf.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        if buf.len() > max_bytes(channel) {
            return Err(SealError::TooLarge { bytes: buf.len() });
        }
        Ok(buf)
    }

    fn next_sequence(&mut self, channel: Channel) -> u64 {
        let counter = match channel {
            Channel::Datagram => &mut self.datagram_sequence,
            Channel::Stream => &mut self.stream_sequence,
        };
        *counter += 1;
        *counter
    }
}

/// Verifies and decodes the messages that one daemon receives.
#[derive(Debug)]
pub struct Opener {
    keys: KeyRing,
    me: NodeId,
    datagram_guard: ReplayGuard,
    stream_guard: ReplayGuard,
}

impl Opener {
    /// Creates an opener for the messages sent to `me`.
    pub fn new(keys: KeyRing, me: NodeId) -> Self {
        Self { keys, me, datagram_guard: ReplayGuard::default(), stream_guard: ReplayGuard::default() }
    }

    /// Verifies and decodes a message.
    ///
    /// # Errors
    ///
    /// [`OpenError`] if the message is rejected. Nothing in a rejected message takes effect.
    pub fn open<T: DeserializeOwned>(
        &mut self,
        channel: Channel,
        buf: &[u8],
    ) -> Result<(Header, T), OpenError> {
        if buf.len() > max_bytes(channel) {
            return Err(OpenError::Oversized);
        }
        let (sealed, mac) = buf.split_last_chunk::<MAC_BYTES>().ok_or(OpenError::Malformed)?;
        if sealed.first() != Some(&VERSION) {
            return Err(OpenError::Version);
        }
        if !self.is_authentic(sealed, mac) {
            return Err(OpenError::Forged);
        }
        let (header, payload) =
            postcard::take_from_bytes::<Header>(sealed).map_err(|_| OpenError::Malformed)?;
        if header.receiver != self.me || header.channel != channel {
            return Err(OpenError::Misdirected);
        }
        let (message, rest) = postcard::take_from_bytes(payload).map_err(|_| OpenError::Malformed)?;
        if !rest.is_empty() {
            return Err(OpenError::Malformed);
        }
        let guard = match channel {
            Channel::Datagram => &mut self.datagram_guard,
            Channel::Stream => &mut self.stream_guard,
        };
        if !guard.accept(header.sender, header.sequence) {
            return Err(OpenError::Replayed);
        }
        Ok((header, message))
    }

    fn is_authentic(&self, sealed: &[u8], mac: &[u8; MAC_BYTES]) -> bool {
        let mut authentic = false;
        for key in self.keys.all() {
            let expected = blake3::keyed_hash(key, sealed);
            authentic |= constant_time_eq(&expected.as_bytes()[..MAC_BYTES], mac);
        }
        authentic
    }
}

/// Compares without an early exit, so that timing does not reveal how many bytes of a forged MAC match.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}
