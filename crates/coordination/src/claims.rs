//! Claims on callers' idempotency keys in the key-value service.
//!
//! An idempotency key that a caller chose itself does not name an owner, unlike an operation token. The first daemon
//! that creates the claim in the key-value service becomes the owner; the service arbitrates between concurrent
//! claims.

use std::cell::Cell;
use std::time::{Duration, Instant};

use medlarstair_state::id::Customer;
use medlarstair_state::node::ClaimResult;
use medlarstair_state::operation::{CallerKey, Issuer};
use medlarstair_transport::kv::{LeaseId, Precondition, Store, WriteOutcome};

/// TTL of the leases under which claims are written. It bounds the number of claims in the service; a key must not be
/// used for another operation within this time.
const LEASE_TTL: Duration = Duration::from_secs(2 * 3600);

/// Maximum age of a lease under which new claims are written.
const MAX_LEASE_REUSE_AGE: Duration = Duration::from_secs(3600);

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    granted: Instant,
}

/// Claims idempotency keys for one daemon.
#[derive(Debug)]
pub struct KeyClaims<S> {
    store: S,
    lease: Cell<Option<Lease>>,
}

impl<S: Store> KeyClaims<S> {
    /// Writes claims to `store`. The first lease is granted with the first claim.
    pub fn new(store: S) -> Self {
        Self { store, lease: Cell::new(None) }
    }

    /// Claims a key for `issuer`, or returns its present owner.
    pub async fn claim(&self, customer: &Customer, key: &CallerKey, issuer: Issuer) -> ClaimResult {
        let Some(lease) = self.lease().await else {
            return ClaimResult::Unavailable;
        };
        let path = format!("claim/{customer}/{key}");
        let value = issuer.to_string();
        match self.store.put(&path, &value, Precondition::Absent, Some(lease)).await {
            WriteOutcome::Done(_) => ClaimResult::Owned(issuer),
            // After a lost response the claim may be this daemon's own. Its operation table shows whether the request
            // has run.
            WriteOutcome::Conflict(_) | WriteOutcome::Unknown => self.read_owner(&path).await,
            WriteOutcome::Rejected => ClaimResult::Unavailable,
        }
    }

    /// Reads the owner of a key that is claimed already.
    async fn read_owner(&self, path: &str) -> ClaimResult {
        let Ok(Some(entry)) = self.store.get(path).await else {
            return ClaimResult::Unavailable;
        };
        let owner = entry.value.as_deref().and_then(|value| value.parse().ok());
        owner.map_or(ClaimResult::Unavailable, ClaimResult::Owned)
    }

    /// Returns the current lease, or a new one if it is too old for new claims.
    async fn lease(&self) -> Option<LeaseId> {
        if let Some(lease) = self.lease.get().filter(|lease| lease.granted.elapsed() < MAX_LEASE_REUSE_AGE) {
            return Some(lease.id);
        }
        let granted = Instant::now();
        let id = self.store.grant_lease(LEASE_TTL).await.ok()?;
        self.lease.set(Some(Lease { id, granted }));
        Some(id)
    }
}
