//! Which server holds the state of an object.
//!
//! A server that has handled an object recently works faster on it, so requests about one object go to the same server.
//! Rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998) makes all
//! daemons choose the same server without talking, and moves only the objects of a server that leaves.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;
use rapidhash::v3::rapidhash_v3;

use crate::id::Backend;

/// Objects that one server is assumed to keep warm for one daemon. Below the number that a server keeps for all.
const WARM_OBJECTS: usize = 20;

/// Hash of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0:016x}")]
pub struct ObjectId(pub u64);

impl ObjectId {
    /// The object that a caller names.
    pub fn from_name(name: &[u8]) -> Self {
        Self(rapidhash_v3(name))
    }

    /// The object as the requests of one route concern it.
    pub fn for_route(self, route: &str) -> Self {
        Self(self.0.rotate_left(21) ^ rapidhash_v3(route.as_bytes()))
    }
}

/// Rendezvous score of a server for an object; the highest score wins.
pub fn score(server_hash: u64, object: ObjectId) -> u64 {
    let mut x = server_hash ^ object.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    // The finaliser of SplitMix64: the scores of one object must not be correlated between servers.
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hash of a server for [`score`].
pub fn server_hash(id: &Backend) -> u64 {
    rapidhash_v3(id.as_str().as_bytes())
}

/// Objects that a server has handled recently for this daemon, the last one at the back.
#[derive(Debug, Clone, Default)]
pub struct WarmSet {
    order: VecDeque<(u64, ObjectId)>,
    latest: BTreeMap<ObjectId, u64>,
    clock: u64,
}

impl WarmSet {
    /// Whether the server is assumed to be warm for the object.
    pub fn contains(&self, object: ObjectId) -> bool {
        self.latest.contains_key(&object)
    }

    /// The server has handled the object now.
    pub fn touch(&mut self, object: ObjectId) {
        self.clock += 1;
        self.latest.insert(object, self.clock);
        self.order.push_back((self.clock, object));
        while self.latest.len() > WARM_OBJECTS || self.order.len() > 8 * WARM_OBJECTS {
            let Some((at, oldest)) = self.order.pop_front() else {
                break;
            };
            if self.latest.get(&oldest) == Some(&at) {
                self.latest.remove(&oldest);
            }
        }
    }

    /// The server was restarted and knows nothing.
    pub fn clear(&mut self) {
        self.order.clear();
        self.latest.clear();
    }
}
