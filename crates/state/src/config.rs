//! Configuration entries by revision.

use serde::{Deserialize, Serialize};

use crate::id::Revision;

/// Identifies a set of configuration entries. Equal digests mean equal keys and revisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// Number of entries, tombstones included.
    pub entries: u32,
    /// Highest revision of an entry.
    pub highest: Revision,
    /// XOR of the hashes of each key with its revision.
    pub hash: u64,
}
