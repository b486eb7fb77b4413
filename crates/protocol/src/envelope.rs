//! The authenticated wrapper of every message between daemons.
//!
//! Layout: postcard header, postcard payload, 16 bytes of a BLAKE3 keyed hash over both. The header names the receiver,
//! so that a message cannot be redirected to another daemon.

use derive_more::{Display, Error};
use medlarstair_state::id::{Incarnation, NodeId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock::HybridTime;
use crate::key::KeyRing;
use crate::replay::ReplayGuard;

/// Version of the protocol between daemons.
pub const VERSION: u8 = 1;

/// Length of the authenticator in bytes.
pub const MAC_BYTES: usize = 16;

/// Largest datagram in bytes. Stays under the usual MTU, so that datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Largest frame on a stream in bytes: a forwarded body of 1 MiB and its headers.
pub const MAX_FRAME_BYTES: usize = (1 << 20) + (64 << 10);

/// How a message travels. Each channel has its own sequence, since a stream may be late by many datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Channel {
    /// UDP.
    Datagram,
    /// TCP.
    Stream,
}

/// Header of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Version of the protocol.
    pub version: u8,
    /// How the message travels.
    pub channel: Channel,
    /// Who sent it.
    pub sender: Incarnation,
    /// Who is to receive it.
    pub receiver: NodeId,
    /// Place in the sender's sequence for the channel.
    pub sequence: u64,
    /// The sender's hybrid clock.
    pub clock: HybridTime,
}

/// Why a message was refused. The names are label values of the refusal counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Error)]
pub enum OpenError {
    /// Longer than the channel allows.
    #[display("oversized")]
    Oversized,
    /// Not decodable.
    #[display("malformed")]
    Malformed,
    /// Other protocol version.
    #[display("version")]
    Version,
    /// No key matches.
    #[display("forged")]
    Forged,
    /// Meant for another daemon or channel.
    #[display("misdirected")]
    Misdirected,
    /// Seen before, or too old to tell.
    #[display("replayed")]
    Replayed,
}

/// The payload is too large for its channel or cannot be encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SealError {
    /// Too large.
    #[display("message of {bytes} bytes exceeds the limit of its channel")]
    TooLarge {
        /// Size of the sealed message in bytes.
        bytes: usize,
    },
    /// The type cannot be encoded.
    #[display("message cannot be encoded")]
    Encode,
}

fn limit(channel: Channel) -> usize {
    match channel {
        Channel::Datagram => MAX_DATAGRAM_BYTES,
        Channel::Stream => MAX_FRAME_BYTES,
    }
}

/// Seals the messages of one daemon.
#[derive(Debug)]
pub struct Sealer {
    keys: KeyRing,
    me: Incarnation,
    datagrams: u64,
    frames: u64,
}

impl Sealer {
    /// A sealer for the messages of `me`.
    pub fn new(keys: KeyRing, me: Incarnation) -> Self {
        Self { keys, me, datagrams: 0, frames: 0 }
    }

    /// Encodes and authenticates a message.
    ///
    /// # Errors
    ///
    /// [`SealError`] if the message is larger than its channel allows.
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
        let mac = blake3::keyed_hash(self.keys.sealing(), &buf);
        buf.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        if buf.len() > limit(channel) {
            return Err(SealError::TooLarge { bytes: buf.len() });
        }
        Ok(buf)
    }

    fn next_sequence(&mut self, channel: Channel) -> u64 {
        let counter = match channel {
            Channel::Datagram => &mut self.datagrams,
            Channel::Stream => &mut self.frames,
        };
        *counter += 1;
        *counter
    }
}

/// Opens the messages that arrive at one daemon.
#[derive(Debug)]
pub struct Opener {
    keys: KeyRing,
    me: NodeId,
    datagrams: ReplayGuard,
    frames: ReplayGuard,
}

impl Opener {
    /// An opener for the messages to `me`.
    pub fn new(keys: KeyRing, me: NodeId) -> Self {
        Self { keys, me, datagrams: ReplayGuard::default(), frames: ReplayGuard::default() }
    }

    /// Checks and decodes a message.
    ///
    /// # Errors
    ///
    /// [`OpenError`] with the reason for the refusal. Nothing of a refused message is used.
    pub fn open<T: DeserializeOwned>(
        &mut self,
        channel: Channel,
        buf: &[u8],
    ) -> Result<(Header, T), OpenError> {
        if buf.len() > limit(channel) {
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
            Channel::Datagram => &mut self.datagrams,
            Channel::Stream => &mut self.frames,
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

/// Compares without an early exit, so that the time does not tell how many bytes of a forged authenticator match.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}
