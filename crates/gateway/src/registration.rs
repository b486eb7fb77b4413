//! The entry that a daemon keeps in the key-value service.
//!
//! The entry is tied to a lease, so that the service deletes it if the daemon fails. The daemon renews the lease, and writes the
//! entry again when it is lost, see [`OwnEntry`](crate::own_entry::OwnEntry).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::id::{Era, Revision};
use medlarstair_state::steering::poison::Crash;
use medlarstair_transport::kv::{LeaseId, RenewableLeaseStore, StoreError, WriteOutcome};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::adapter::Adapter;
use crate::eventlog::log_store_failure;
use crate::membership::MEMBER_PREFIX;
use crate::shared::{Phase, Shared};
use crate::store_relay::Position;
use crate::store_watcher::StoreWatcher;

/// TTL of the lease under which a daemon keeps its entry. The service deletes the entry when the TTL has passed since the
/// last renewal. Two renewals may time out before one succeeds.
const LEASE_TTL: Duration = Duration::from_millis(4_500);

/// TTL of the lease if the daemons exchange messages, so that most of them renew it rarely.
const RELAYED_LEASE_TTL: Duration = Duration::from_millis(5_000);

/// Interval between renewals of the lease. They also show whether the service responds.
const RENEWAL_PERIOD: Duration = Duration::from_millis(900);

/// Interval between renewals of a daemon whose relay announces that the service responds. Two renewals without a response
/// end 4.65 s after the last one with a response, within [`RELAYED_LEASE_TTL`].
const FOLLOWER_RENEWAL_PERIOD: Duration = Duration::from_millis(2_250);

/// Interval before a failed renewal is repeated. It bounds how late the end of an outage is noticed.
const RENEWAL_RETRY_PERIOD: Duration = Duration::from_millis(300);

/// Timeout for a renewal of the lease, including a write of the entry.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for writing the entry again. It leaves time for the renewal itself within [`RENEWAL_TIMEOUT`].
const REWRITE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of writes in one renewal. The condition of the first one may be outdated; its response tells the present one.
const MAX_WRITES: usize = 2;

/// Maintains the entry of this daemon until a graceful shutdown begins, and then deletes it. `store_recovered` is notified
/// when the service responds again after an outage. `watcher` announces the responses to followers, who renew rarely.
pub async fn maintain_registration<A: Adapter, S: RenewableLeaseStore>(
    shared: Rc<Shared<A>>,
    store: Rc<S>,
    store_recovered: Rc<Notify>,
    watcher: Rc<StoreWatcher>,
) {
    let registrar = Registrar::new(&shared, &*store);
    let mut failing = false;
    let mut era = store.era();
    while shared.phase() == Phase::Serving {
        // Created before the renewal, so that what happens during it is not missed.
        let shutdown_started = shared.shutdown_started.notified();
        let registration_due = shared.registration_due.notified();
        let called_at = shared.now();
        let result = timeout(RENEWAL_TIMEOUT, registrar.renew()).await;
        shared.own_entry.borrow_mut().finish_write();
        let renewed = match result.map_err(StoreError::new).flatten() {
            Ok(()) => true,
            Err(e) => {
                log_store_failure(&shared, &e);
                false
            }
        };
        if renewed {
            shared.store_outage.borrow_mut().record_response(shared.now());
            watcher.announce_position(&shared);
        } else {
            shared.store_outage.borrow_mut().record_failure();
        }
        let is_listed = renewed && !shared.own_entry.borrow().is_lost();
        if is_listed {
            shared.quotas.borrow_mut().record_registration(shared.now(), called_at);
        }
        let known_era = std::mem::replace(&mut era, store.era());
        if known_era != era && known_era != Era::default() {
            // A pending watch may wait for revisions that the restored service does not have.
            store_recovered.notify_waiters();
        }
        if renewed && failing {
            slog::info!(shared.events.logger(), "key-value service answers again"; "code" => 561);
            store_recovered.notify_waiters();
        }
        if !renewed && !failing {
            slog::warn!(shared.events.logger(), "key-value service does not answer"; "code" => 560);
        }
        failing = !renewed;
        tokio::select! {
            () = registrar.wait_for_renewal(is_listed) => {}
            () = shutdown_started => {}
            () = registration_due => {}
        }
    }
    registrar.revoke_lease().await;
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    /// Era of the service in which the lease was granted.
    era: Era,
}

/// Keeps the entry. Its state outlives a renewal that is broken off.
struct Registrar<'a, A: Adapter, S> {
    shared: &'a Shared<A>,
    store: &'a S,
    /// The lease of all writes until it ends, so that a late one ties the entry to the lease that is renewed.
    lease: Cell<Option<Lease>>,
    /// Crashes in the entry as it was last written under the lease. `None` if no such write has been confirmed.
    reported: RefCell<Option<Vec<Crash>>>,
}

impl<'a, A: Adapter, S: RenewableLeaseStore> Registrar<'a, A, S> {
    fn new(shared: &'a Shared<A>, store: &'a S) -> Self {
        Self { shared, store, lease: Cell::new(None), reported: RefCell::new(None) }
    }

    /// Waits until the next renewal is due. A daemon whose relay announces that the service responds renews rarely, unless it
    /// has a crash to report.
    async fn wait_for_renewal(&self, is_listed: bool) {
        if !is_listed {
            return sleep(RENEWAL_RETRY_PERIOD).await;
        }
        let mut waited = Duration::ZERO;
        while waited < FOLLOWER_RENEWAL_PERIOD {
            let step = RENEWAL_PERIOD.min(FOLLOWER_RENEWAL_PERIOD - waited);
            sleep(step).await;
            waited += step;
            if !self.shared.follows_relay() || self.lacks_crash() {
                return;
            }
        }
    }

    /// Whether a crash is to be reported that the entry lacks.
    fn lacks_crash(&self) -> bool {
        let crashes = self.recent_crashes();
        let reported = self.reported.borrow();
        crashes.iter().any(|crash| !reported.as_ref().is_some_and(|r| r.contains(crash)))
    }

    fn recent_crashes(&self) -> Vec<Crash> {
        self.shared.steering.borrow().recent_crashes(self.shared.now())
    }

    /// Renews the lease, or creates one if there is none. Writes the entry if it was not written under the lease, is lost, or
    /// lacks a crash that is to be reported.
    async fn renew(&self) -> Result<(), StoreError> {
        let lease = self.renew_or_grant_lease().await?;
        if self.reported.borrow().is_none() {
            return self.write_entry(lease).await;
        }
        let is_lost = self.shared.own_entry.borrow().is_lost();
        if !is_lost && !self.lacks_crash() {
            return Ok(());
        }
        let cause = match timeout(REWRITE_TIMEOUT, self.write_entry(lease)).await {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(e)) => e,
            Err(e) => StoreError::new(e),
        };
        // The lease was renewed, so this is not an outage of the service. The next renewal retries the write.
        log_store_failure(self.shared, &cause);
        Ok(())
    }

    async fn renew_or_grant_lease(&self) -> Result<Lease, StoreError> {
        if let Some(lease) = self.lease.get().filter(|lease| lease.era == self.store.era()) {
            let renewed = self.store.renew_lease(lease.id).await;
            self.count_call("renew", renewed.is_ok());
            if renewed? && lease.era == self.store.era() {
                return Ok(lease);
            }
        }
        self.lease.set(None);
        *self.reported.borrow_mut() = None;
        let ttl = if self.shared.cfg.peer_address.is_some() { RELAYED_LEASE_TTL } else { LEASE_TTL };
        let granted = self.store.grant_lease(ttl).await;
        self.count_call("grant", granted.is_ok());
        let lease = Lease { id: granted?, era: self.store.era() };
        self.lease.set(Some(lease));
        Ok(lease)
    }

    /// Writes the entry under the lease, if the key is as it was last known. Otherwise tries again with its present state.
    async fn write_entry(&self, lease: Lease) -> Result<(), StoreError> {
        let crashes = self.recent_crashes();
        let key = format!("{MEMBER_PREFIX}{}", self.shared.cfg.name);
        let entry = self.shared.members.borrow().local_entry(crashes.clone(), lease.era);
        let value = serde_json::to_string(&entry).map_err(StoreError::new)?;
        let at = |revision: Revision| Position { era: self.store.era(), revision };
        for _ in 0..MAX_WRITES {
            let condition = self.shared.own_entry.borrow_mut().begin_write();
            let outcome = self.store.put(&key, &value, condition, Some(lease.id)).await;
            self.count_call("put", matches!(outcome, WriteOutcome::Done(_)));
            match outcome {
                WriteOutcome::Done(revision) => {
                    self.shared.own_entry.borrow_mut().record_written(at(revision));
                    *self.reported.borrow_mut() = Some(crashes);
                    return Ok(());
                }
                WriteOutcome::Conflict(current) => {
                    self.shared.own_entry.borrow_mut().record_conflict(at(current));
                }
                WriteOutcome::Rejected => {
                    // The lease may have ended.
                    self.lease.set(None);
                    break;
                }
                WriteOutcome::Unknown => break,
            }
        }
        Err(StoreError::new("the entry of this daemon was not written"))
    }

    /// Ends the lease, which deletes the entry.
    async fn revoke_lease(&self) {
        // The restored service may have given the number of an earlier era's lease to another daemon.
        if let Some(lease) = self.lease.get().filter(|lease| lease.era == self.store.era())
            && let Err(e) = self.store.revoke_lease(lease.id).await
        {
            slog::warn!(self.shared.events.logger(), "own entry was not deleted"; "code" => 562, "cause" => %e);
        }
    }

    /// Counts a call that concerns the own entry.
    fn count_call(&self, kind: &str, succeeded: bool) {
        let result = if succeeded { "done" } else { "failed" };
        self.shared.metrics.store_calls.with_label_values(&[kind, result]).inc();
    }
}
