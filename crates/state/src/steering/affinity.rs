//! Object affinity: which server holds the state of an object.
//!
//! A server that has recently handled an object works faster on it, so requests for one object go to the same server.
//! With rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998) all
//! daemons select the same server without communication, and only the objects of a removed server move.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;
use rapidhash::v3::rapidhash_v3;

use crate::id::Backend;

/// Number of objects that a server is assumed to keep warm for one daemon. Lower than the number of objects that a
/// server keeps warm for all daemons together.
const WARM_OBJECTS_PER_DAEMON: usize = 20;

/// Identifies an object for affinity, as a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0:016x}")]
pub struct ObjectId(pub u64);

impl ObjectId {
    /// Identifies an object by the name that a client gives it.
    pub fn from_name(name: &[u8]) -> Self {
        Self(rapidhash_v3(name))
    }

    /// Identifies the object within one route, so that affinity is separate for each route.
    pub fn for_route(self, route: &str) -> Self {
        Self(self.0.rotate_left(21) ^ rapidhash_v3(route.as_bytes()))
    }
}

/// Rendezvous score of a server for an object. The server with the highest score is preferred.
pub fn score(server_hash: u64, object: ObjectId) -> u64 {
    let mut x = server_hash ^ object.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    // The finalizer of SplitMix64, so that the scores of one object are not correlated between servers.
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hash of a server identity, as [`score`] takes it.
pub fn server_hash(id: &Backend) -> u64 {
    rapidhash_v3(id.as_str().as_bytes())
}

/// Objects that a server has recently handled for this daemon. Objects that were not used recently are evicted.
#[derive(Debug, Clone, Default)]
pub struct WarmSet {
    /// Uses in order, the latest at the back, each with its sequence number.
    uses: VecDeque<(u64, ObjectId)>,
    /// Sequence number of the latest use of each object.
    last_use: BTreeMap<ObjectId, u64>,
    last_sequence: u64,
}

impl WarmSet {
    /// Whether the server is assumed to hold the state of the object.
    pub fn contains(&self, object: ObjectId) -> bool {
        self.last_use.contains_key(&object)
    }

    /// Records that the server is handling the object.
    pub fn touch(&mut self, object: ObjectId) {
        self.last_sequence += 1;
        self.last_use.insert(object, self.last_sequence);
        self.uses.push_back((self.last_sequence, object));
        while self.last_use.len() > WARM_OBJECTS_PER_DAEMON || self.uses.len() > 8 * WARM_OBJECTS_PER_DAEMON {
            let Some((sequence, oldest)) = self.uses.pop_front() else {
                break;
            };
            if self.last_use.get(&oldest) == Some(&sequence) {
                self.last_use.remove(&oldest);
            }
        }
    }

    /// Forgets all objects, for a server that was restarted or has become cold.
    pub fn clear(&mut self) {
        self.uses.clear();
        self.last_use.clear();
    }
}
