//! Shared keys that authenticate messages between the daemons of a deployment.
//!
//! A key file contains one key per line as 64 hexadecimal digits. The first key seals messages; all keys are accepted
//! when messages are opened. To rotate, add the new key as the second line of every key file, then make it the
//! first line everywhere, then remove the old key.

use std::fmt;

use derive_more::{Display, Error};

/// Length of a key in bytes.
pub const KEY_BYTES: usize = 32;

/// Maximum number of keys in a key file.
pub const MAX_KEYS: usize = 4;

/// Error parsing a key file. The message contains the line number but never the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum KeyError {
    /// A line is not a key.
    #[display("line {line}: a key has 64 hexadecimal digits")]
    Malformed {
        /// Line number, from 1.
        line: usize,
    },
    /// The file contains no key or more than [`MAX_KEYS`].
    #[display("a key file holds 1 to {MAX_KEYS} keys")]
    Count,
}

/// Keys of a deployment, with the sealing key first.
///
/// ```
/// use medlarstair_protocol::key::KeyRing;
/// assert!(KeyRing::parse(&"0a".repeat(32)).is_ok());
/// assert!(KeyRing::parse("short").is_err());
/// ```
#[derive(Clone)]
pub struct KeyRing {
    keys: Vec<[u8; KEY_BYTES]>,
}

/// Shows only the number of keys, so that a key is never logged.
impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyRing").field("keys", &self.keys.len()).finish()
    }
}

impl KeyRing {
    /// Parses the text of a key file. Empty lines are ignored.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if a line is not a key or the number of keys is not in `1..=MAX_KEYS`.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let mut keys = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() {
                continue;
            }
            keys.push(parse_key(line).ok_or(KeyError::Malformed { line: i + 1 })?);
        }
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err(KeyError::Count);
        }
        Ok(Self { keys })
    }

    pub(crate) fn sealing_key(&self) -> &[u8; KEY_BYTES] {
        &self.keys[0]
    }

    pub(crate) fn all(&self) -> &[[u8; KEY_BYTES]] {
        &self.keys
    }
}

fn parse_key(hex: &str) -> Option<[u8; KEY_BYTES]> {
    if hex.len() != 2 * KEY_BYTES || !hex.is_ascii() {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (i, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(key)
}
