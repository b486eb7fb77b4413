//! Memory budget for what a daemon holds for clients and backend servers.
//!
//! Every body that is being received, forwarded or delivered has a [`HolderId`] and a reservation. When the budget is
//! exhausted, the holder that makes the least progress is evicted first: one from which or to which no byte has moved for
//! [`STALL_TIME`], then an upload that holds more than the holder that asks. Ordinary requests are small, so a client that
//! sends large bodies gives way to them, and among themselves such clients do not evict each other in turn.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;

use crate::time::Timestamp;

/// Time without a byte after which a body may be evicted. Links of the daemons lose packets for less long.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Delay after which the delivery of a response to a client may be evicted although it proceeds.
pub const SLOW_DELIVERY_TIME: Duration = Duration::from_secs(10);

/// Maximum size in bytes of a reservation that may use the whole budget.
const SMALL_BYTES: u64 = 64 << 10;

/// Fraction of the budget, as a divisor, that only small reservations may use. Large bodies that wait for servers cannot be
/// evicted, and must not keep small ones out.
const SMALL_PART_DIVISOR: u64 = 32;

/// Identity of a holder of memory, unique in the lifetime of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct HolderId(u64);

/// What the memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderKind {
    /// A request body that is being received. The request has not run.
    Upload,
    /// A complete body of a request or response that waits. It is not evicted.
    Complete,
    /// A response body that is being received from a server.
    ServerResponse,
    /// A response body that is being delivered to a client.
    Delivery,
}

#[derive(Debug, Clone)]
struct Holder {
    kind: HolderKind,
    held: u64,
    since: Timestamp,
    progress_at: Timestamp,
    evicted: bool,
}

impl Holder {
    /// Time since the last byte, if it is long enough for an eviction.
    fn stalled_for(&self, now: Timestamp) -> Option<Duration> {
        if self.kind == HolderKind::Complete {
            return None;
        }
        let idle = now.since(self.progress_at);
        let is_slow = self.kind == HolderKind::Delivery && now.since(self.since) >= SLOW_DELIVERY_TIME;
        (idle >= STALL_TIME || is_slow).then_some(idle)
    }
}

/// Result of an attempt to reserve memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The memory is reserved.
    Granted,
    /// This holder must be evicted first; ask again at once.
    Evict(HolderId),
    /// Holders that are being evicted will release enough memory.
    Wait,
    /// There is not enough memory.
    Refused,
}

/// Reservations of memory, up to a limit.
///
/// ```
/// use medlarstair_state::steering::memory::{HolderKind, MemoryBudget, Reservation};
/// use medlarstair_state::time::Timestamp;
/// let now = Timestamp::ZERO;
/// let mut budget = MemoryBudget::new(1 << 20);
/// let upload = budget.open(now, HolderKind::Upload);
/// assert_eq!(budget.reserve(now, upload, 1000), Reservation::Granted);
/// assert_eq!(budget.used(), 1000);
/// budget.close(upload);
/// assert_eq!(budget.used(), 0);
/// ```
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: u64,
    used: u64,
    /// Fraction of `used` whose holders are being evicted.
    releasing: u64,
    next: u64,
    holders: BTreeMap<HolderId, Holder>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self { limit, used: 0, releasing: 0, next: 0, holders: BTreeMap::new() }
    }

    /// Maximum number of bytes that are reserved at once.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Number of bytes that are reserved.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Largest reservation that an otherwise empty budget grants.
    pub fn max_reservation(&self) -> u64 {
        self.limit - self.limit / SMALL_PART_DIVISOR
    }

    /// Registers a holder, which holds nothing yet.
    pub fn open(&mut self, now: Timestamp, kind: HolderKind) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder { kind, held: 0, since: now, progress_at: now, evicted: false };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder and releases what it holds.
    pub fn close(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else { return };
        self.used -= holder.held;
        if holder.evicted {
            self.releasing -= holder.held;
        }
    }

    /// Records that bytes of the body have moved.
    pub fn record_progress(&mut self, now: Timestamp, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress_at = now;
        }
    }

    /// Changes what the memory is held for.
    pub fn set_kind(&mut self, now: Timestamp, id: HolderId, kind: HolderKind) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.kind = kind;
            holder.since = now;
            holder.progress_at = now;
        }
    }

    /// Number of bytes that a holder has reserved.
    pub fn held(&self, id: HolderId) -> u64 {
        self.holders.get(&id).map_or(0, |holder| holder.held)
    }

    /// Whether a holder has been selected for eviction.
    pub fn is_evicted(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_some_and(|holder| holder.evicted)
    }

    /// Reserves further `bytes` for a holder, or selects a holder to evict.
    pub fn reserve(&mut self, now: Timestamp, id: HolderId, bytes: u64) -> Reservation {
        let max_large = self.max_reservation();
        let Some(asker) = self.holders.get_mut(&id) else { return Reservation::Refused };
        let total = asker.held.saturating_add(bytes);
        let limit = if total > SMALL_BYTES { max_large } else { self.limit };
        if asker.evicted || total > limit {
            return Reservation::Refused;
        }
        if self.used + bytes <= limit {
            asker.held = total;
            self.used += bytes;
            return Reservation::Granted;
        }
        if self.used - self.releasing + bytes <= limit {
            return Reservation::Wait;
        }
        match self.victim(now, id, total) {
            Some(victim) => {
                self.mark_evicted(victim);
                Reservation::Evict(victim)
            }
            None => Reservation::Refused,
        }
    }

    fn mark_evicted(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.evicted = true;
            self.releasing += holder.held;
        }
    }

    /// The holder to evict for one that would hold `total` bytes.
    fn victim(&self, now: Timestamp, asker: HolderId, total: u64) -> Option<HolderId> {
        let mut stalled = None;
        let mut largest = None;
        for (id, holder) in &self.holders {
            if *id == asker || holder.evicted || holder.held == 0 {
                continue;
            }
            if let Some(idle) = holder.stalled_for(now) {
                // An upload has not run, so its loss costs less than that of a response.
                stalled = stalled.max(Some((holder.kind == HolderKind::Upload, idle, *id)));
            }
            if holder.kind == HolderKind::Upload && holder.held > total {
                largest = largest.max(Some((holder.held, *id)));
            }
        }
        stalled.map(|(_, _, id)| id).or(largest.map(|(_, id)| id))
    }
}
