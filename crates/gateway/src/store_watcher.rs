//! Watch of the key-value service for configuration, backend servers, evacuations and daemons.
//!
//! A single listing followed by a single watch covers all keys. An older revision of a key never replaces a newer one.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::config::Entry;
use medlarstair_state::id::{Backend, Revision};
use medlarstair_state::time::Timestamp;
use medlarstair_transport::kv::{Listing, Store, StoreError};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::accounts;
use crate::adapter::{Adapter, StoreUpdate};
use crate::eventlog::log_store_failure;
use crate::membership::{MEMBER_PREFIX, Member};
use crate::shared::Shared;

/// Minimum timeout of a watch. Each watch counts as a billed call.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the next watch after one that returned changes, as a fraction of the time in which a change must take
/// effect. Changes in quick succession are batched into one call, and there is time for several retries of it.
const BATCH_DELAY_FRACTION: f64 = 0.25;

/// Number of changes in one response from which the service may have held back further ones. The next watch then follows
/// without delay: after an outage, a delay after each of many full responses would add up to several seconds.
const FULL_RESPONSE_CHANGES: usize = 256;

/// Backoff after the first failed call. It doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Applies the entries of the key-value service to the state of a daemon.
#[derive(Debug, Default)]
pub struct StoreWatcher {
    /// Revision of each key that exists, as last applied.
    revisions: RefCell<BTreeMap<Box<str>, Revision>>,
    /// Servers whose entries were deleted during an outage, with the time at which they are removed.
    pending_removals: RefCell<BTreeMap<Backend, Timestamp>>,
}

impl StoreWatcher {
    /// Follows the service until the daemon exits. `store_recovered` is notified when the service responds again after an
    /// outage, so that a hanging watch is restarted.
    pub async fn run<A: Adapter, S: Store>(
        &self,
        shared: Rc<Shared<A>>,
        store: Rc<S>,
        store_recovered: Rc<Notify>,
    ) {
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.list_all(&shared, &*store).await {
                Ok(mut after) => {
                    backoff = MIN_BACKOFF;
                    self.watch(&shared, &*store, &store_recovered, &mut after).await;
                }
                Err(e) => {
                    record_failure(&shared, &e);
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Lists and applies all entries, and treats known keys that are missing as deleted. Returns the revision of the
    /// listing.
    async fn list_all<A: Adapter, S: Store>(
        &self,
        shared: &Shared<A>,
        store: &S,
    ) -> Result<Revision, StoreError> {
        let listing = store.list("").await?;
        shared.store_outage.borrow_mut().record_success(shared.now(), listing.revision);
        let present: BTreeSet<&str> = listing.entries.iter().map(|e| &*e.key).collect();
        let deleted: Vec<Box<str>> =
            self.revisions.borrow().keys().filter(|k| !present.contains(&***k)).cloned().collect();
        for key in deleted {
            self.apply(shared, Entry { key, revision: listing.revision, value: None });
        }
        let revision = listing.revision;
        self.apply_all(shared, listing);
        Ok(revision)
    }

    /// Watches until the service has discarded changes after the revision `after`.
    async fn watch<A: Adapter, S: Store>(
        &self,
        shared: &Shared<A>,
        store: &S,
        store_recovered: &Notify,
        after: &mut Revision,
    ) {
        let mut backoff = MIN_BACKOFF;
        loop {
            let watched = tokio::select! {
                watched = store.watch("", *after, watch_timeout(shared)) => watched,
                () = store_recovered.notified() => continue,
            };
            match watched {
                Ok(listing) => {
                    backoff = MIN_BACKOFF;
                    *after = listing.revision.max(*after);
                    let changes = listing.entries.len();
                    if changes < FULL_RESPONSE_CHANGES {
                        shared.store_outage.borrow_mut().record_success(shared.now(), *after);
                    }
                    self.apply_all(shared, listing);
                    if (1..FULL_RESPONSE_CHANGES).contains(&changes) {
                        sleep(shared.cfg.max_change_delay.mul_f64(BATCH_DELAY_FRACTION)).await;
                    }
                }
                Err(e) => {
                    record_failure(shared, &e);
                    if e.is_history_lost() {
                        return;
                    }
                    tokio::select! {
                        () = sleep(backoff) => {}
                        () = store_recovered.notified() => {}
                    }
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Applies all entries of a listing, then the number of daemons.
    fn apply_all<A: Adapter>(&self, shared: &Shared<A>, listing: Listing) {
        for entry in listing.entries {
            self.apply(shared, entry);
        }
        let counts = shared.members.borrow().counts();
        shared.steering.borrow_mut().set_daemons(shared.now(), counts);
        let (own, others) = shared.members.borrow().quota_daemons();
        shared.quotas.borrow_mut().set_daemons(shared.now(), own, others);
        shared.deliver_decisions();
    }

    /// Applies an entry unless a newer revision of its key is known.
    fn apply<A: Adapter>(&self, shared: &Shared<A>, entry: Entry) {
        let known = self.revisions.borrow().get(&entry.key).copied();
        if known.is_some_and(|known| entry.revision < known) {
            return;
        }
        match entry.value {
            Some(_) => self.revisions.borrow_mut().insert(entry.key.clone(), entry.revision),
            None => self.revisions.borrow_mut().remove(&entry.key),
        };
        if let Some(name) = entry.key.strip_prefix(MEMBER_PREFIX) {
            let member = entry.value.as_deref().and_then(|text| serde_json::from_str(text).ok());
            self.apply_member(shared, name, entry.revision, member);
            return;
        }
        match shared.adapter.parse_entry(&entry) {
            StoreUpdate::Plan(plan) => {
                let version = plan.version;
                let accounts = plan.accounts().clone();
                let in_force = shared.steering.borrow_mut().apply_plan(*plan);
                if in_force {
                    accounts::record_faults(shared, &accounts);
                    shared.quotas.borrow_mut().set_accounts(shared.now(), &accounts);
                }
                slog::info!(shared.events.logger(), "routing configuration received"; "code" => 510,
                    "version" => version.0, "revision" => entry.revision.0, "in_force" => in_force);
            }
            StoreUpdate::Server(id, Some(server)) => {
                let (address, leaving, cold) = (server.address, server.draining, server.cold_left);
                let applied = shared.steering.borrow_mut().apply_server(server, shared.now());
                if applied {
                    self.pending_removals.borrow_mut().remove(&id);
                }
                slog::info!(shared.events.logger(), "backend server listed"; "code" => 530, "backend" => %id,
                    "revision" => entry.revision.0, "address" => %address, "leaving" => leaving,
                    "cold_ms" => cold.as_millis(), "in_force" => applied);
            }
            StoreUpdate::Server(id, None) => self.server_deleted(shared, id, entry.revision),
            StoreUpdate::Evacuation(domain, active) => {
                slog::info!(shared.events.logger(), "evacuation state of failure domain received"; "code" => 511,
                    "domain" => %domain, "revision" => entry.revision.0, "active" => active);
                shared.steering.borrow_mut().set_evacuated(&domain, active, shared.now());
            }
            StoreUpdate::Invalid(cause) => {
                slog::warn!(shared.events.logger(), "entry cannot be used"; "code" => 572, "key" => &*entry.key,
                    "revision" => entry.revision.0, "cause" => &*cause);
            }
            StoreUpdate::Irrelevant => {}
        }
    }

    /// Applies the entry of another daemon and the crashes that it reports.
    fn apply_member<A: Adapter>(
        &self,
        shared: &Shared<A>,
        name: &str,
        revision: Revision,
        member: Option<Member>,
    ) {
        let crashes = member.as_ref().map_or(&[][..], |m| &m.crashes);
        slog::info!(shared.events.logger(), "daemon listed"; "code" => 520, "member" => name,
            "revision" => revision.0, "lives" => member.is_some(), "crashes" => crashes.len());
        shared.steering.borrow_mut().record_remote_crashes(shared.now(), crashes);
        shared.members.borrow_mut().apply(name, member);
    }

    /// Removes a server whose entry was deleted. The removal is deferred if the entry may have expired because of an outage.
    fn server_deleted<A: Adapter>(&self, shared: &Shared<A>, id: Backend, revision: Revision) {
        let now = shared.now();
        let is_draining = shared.steering.borrow().server(&id).is_none_or(|s| s.entry.draining);
        let removal =
            if is_draining { now } else { shared.store_outage.borrow().removal_time(now, revision) };
        slog::info!(shared.events.logger(), "backend server gone"; "code" => 531, "backend" => %id,
            "revision" => revision.0, "doubted" => removal > now);
        if removal > now {
            self.pending_removals.borrow_mut().entry(id).or_insert(removal);
            return;
        }
        remove_server(shared, &id);
    }

    /// Removes servers whose entries were not restored within the grace period after an outage.
    pub fn apply_due_removals<A: Adapter>(&self, shared: &Shared<A>) {
        let now = shared.now();
        let due: Vec<Backend> = self
            .pending_removals
            .borrow()
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.pending_removals.borrow_mut().remove(&id);
            remove_server(shared, &id);
        }
    }
}

/// Timeout of the next watch. Nothing shows that the response to a watch was lost, so a watch lasts no longer than a change
/// may take. After a failure it returns at once, so that its revision tells the changes of the outage from later ones.
fn watch_timeout<A: Adapter>(shared: &Shared<A>) -> Duration {
    if shared.store_outage.borrow().is_ongoing() {
        return Duration::ZERO;
    }
    shared.cfg.max_change_delay.max(MIN_WATCH_TIMEOUT)
}

/// Records and logs the failure of a call.
fn record_failure<A: Adapter>(shared: &Shared<A>, e: &StoreError) {
    shared.store_outage.borrow_mut().record_failure();
    log_store_failure(shared, e);
}

/// Removes a server, and closes the idle connections to it.
fn remove_server<A: Adapter>(shared: &Shared<A>, id: &Backend) {
    shared.steering.borrow_mut().remove_server(id, shared.now());
    shared.pool.borrow_mut().close(id);
}
