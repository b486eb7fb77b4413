//! Watch of the key-value service for configuration, backend servers, evacuations and daemons.
//!
//! A single listing followed by a single watch covers all keys. An older revision of a key never replaces a newer one. After a
//! restoration of the service from an older copy, [`StoreView`] decides what of the copy is applied.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::config::Entry;
use medlarstair_state::id::{Backend, Revision};
use medlarstair_state::time::Timestamp;
use medlarstair_transport::kv::{Listing, RenewableLeaseStore, StoreError};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::accounts;
use crate::adapter::{Adapter, StoreUpdate};
use crate::eventlog::log_store_failure;
use crate::membership::{MEMBER_PREFIX, Member};
use crate::peers::{MAX_DATAGRAM_BYTES, PeerMessage, log_ignored};
use crate::shared::Shared;
use crate::store_outage::ENTRY_RESTORE_GRACE_PERIOD;
use crate::store_relay::{ANNOUNCEMENT_PERIOD, Announcement, Position, Reaction, Source, split};
use crate::store_view::{StoreView, Verdict};

/// Minimum timeout of a watch. Each watch counts as a billed call.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the next watch after one that returned changes, as a fraction of the time in which a change must take
/// effect. Changes in quick succession are batched into one call, and there is time for several retries of it.
const BATCH_DELAY_FRACTION: f64 = 0.25;

/// Number of changes in one response from which the service may have held back further ones. The next watch then follows
/// without delay: after an outage, a delay after each of many full responses would add up to several seconds.
const FULL_RESPONSE_CHANGES: usize = 256;

/// Maximum size of the changes in one announcement in bytes. The rest of the datagram holds positions and lengths.
const MAX_CHANGES_BYTES: usize = MAX_DATAGRAM_BYTES - 100;

/// Backoff after the first failed call. It doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Grace period after a restoration of the service in which the operator's data is restored. An evacuation that is missing from
/// the copy stays in effect meanwhile.
const OPERATOR_RESTORE_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// A server whose entry was deleted in an outage.
#[derive(Debug)]
struct PendingRemoval {
    key: Box<str>,
    at: Timestamp,
}

/// Applies the entries of the key-value service to the state of a daemon.
#[derive(Debug, Default)]
pub struct StoreWatcher {
    view: RefCell<StoreView>,
    /// Servers whose entries were deleted during an outage, until they are removed or restored.
    pending_removals: RefCell<BTreeMap<Backend, PendingRemoval>>,
    /// Position up to which all changes have been applied.
    applied: Cell<Position>,
    /// Notified when an announcement tells of changes that must be fetched.
    fetch_needed: Notify,
    announced_at: Cell<Timestamp>,
}

impl StoreWatcher {
    /// Follows the service until the daemon exits. `store_recovered` is notified when the service responds again after an
    /// outage, so that a hanging watch is restarted.
    pub async fn run<A: Adapter, S: RenewableLeaseStore>(
        &self,
        shared: Rc<Shared<A>>,
        store: Rc<S>,
        store_recovered: Rc<Notify>,
    ) {
        let mut backoff = MIN_BACKOFF;
        loop {
            match self.list_all(&shared, &*store).await {
                Ok(()) => {
                    backoff = MIN_BACKOFF;
                    self.watch(&shared, &*store, &store_recovered).await;
                }
                Err(e) => {
                    record_failure(&shared, &e);
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Lists and applies all entries, and treats known keys that are missing as deleted, after a restoration with a
    /// delay.
    async fn list_all<A: Adapter, S: RenewableLeaseStore>(
        &self,
        shared: &Shared<A>,
        store: &S,
    ) -> Result<(), StoreError> {
        // An announced change that is newer than the listing would count as deleted by it.
        self.applied.set(Position::default());
        let called_at = shared.now();
        let listed = store.list("").await;
        count_call(shared, "list", &listed);
        let listing = listed?;
        let present: BTreeSet<&str> = listing.entries.iter().map(|e| &*e.key).collect();
        let own_key = format!("{MEMBER_PREFIX}{}", shared.cfg.name);
        let is_unlisted = !present.contains(&*own_key);
        let change = self.view.borrow_mut().begin_listing(listing.era, listing.revision, present);
        if is_unlisted {
            self.record_own_entry(shared, listing.revision, false);
        }
        let revision = listing.revision;
        if change.is_restored {
            record_restoration(shared, &listing);
        } else {
            shared.store_outage.borrow_mut().record_success(shared.now(), revision);
        }
        for key in change.missing {
            let deletion = Entry { key, revision, value: None };
            match change.is_restored {
                true => self.defer_deletion(shared, &deletion),
                false => self.apply(shared, deletion),
            }
        }
        self.apply_entries(shared, listing.entries);
        self.applied.set(Position { era: listing.era, revision });
        shared.quotas.borrow_mut().record_view(called_at);
        Ok(())
    }

    /// Keeps an entry that is missing from an older copy of the service until its owner has had time to write it again.
    fn defer_deletion<A: Adapter>(&self, shared: &Shared<A>, deletion: &Entry) {
        let grace_period = match shared.adapter.parse_entry(deletion) {
            StoreUpdate::Evacuation(..) => OPERATOR_RESTORE_GRACE_PERIOD,
            _ => ENTRY_RESTORE_GRACE_PERIOD,
        };
        self.view.borrow_mut().defer_deletion(&deletion.key, shared.now() + grace_period);
    }

    /// Watches until all keys must be listed again: the service has discarded changes since the last known revision or was
    /// restored from an older copy, or a response with all missed changes does not arrive in time or cannot be used.
    async fn watch<A: Adapter, S: RenewableLeaseStore>(
        &self,
        shared: &Shared<A>,
        store: &S,
        store_recovered: &Notify,
    ) {
        let mut backoff = MIN_BACKOFF;
        let era = self.view.borrow().era();
        let mut followed = false;
        while store.era() == era {
            let after = self.applied.get().revision;
            let source = self.source(shared);
            followed |= is_wait(source);
            // The first watch after a relay returns at once, which shows whether the service is available to this daemon.
            let wait = if followed { Duration::ZERO } else { watch_timeout(shared, source) };
            let watched = tokio::select! {
                () = wait_until(shared, source) => continue,
                watched = store.watch("", after, wait), if !is_wait(source) => watched,
                // A fetch that each announcement restarted would never end on a slow link.
                () = self.fetch_needed.notified(), if source != Source::Fetch => continue,
                () = store_recovered.notified() => continue,
            };
            count_call(shared, "watch", &watched);
            let is_fetch = !std::mem::take(&mut followed) && wait.is_zero();
            match watched {
                Ok(listing) if listing.era != era => return,
                Ok(listing) => {
                    backoff = MIN_BACKOFF;
                    let changes = listing.entries.len();
                    if changes < FULL_RESPONSE_CHANGES {
                        shared
                            .store_outage
                            .borrow_mut()
                            .record_success(shared.now(), listing.revision.max(after));
                    }
                    self.apply_watched(shared, after, listing);
                    if (1..FULL_RESPONSE_CHANGES).contains(&changes) {
                        sleep(shared.cfg.max_change_delay.mul_f64(BATCH_DELAY_FRACTION)).await;
                    }
                }
                Err(e) => {
                    record_failure(shared, &e);
                    // The changes of a long time may be too many for a slow link, or for one response. A listing has each key
                    // only once, and comes in pages.
                    let is_too_long = e.is_timed_out() && is_fetch;
                    if e.is_history_lost() || e.is_unusable() || is_too_long {
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

    /// Chooses how this daemon gets the next change.
    fn source<A: Adapter>(&self, shared: &Shared<A>) -> Source {
        let may_follow = shared.may_follow_relay();
        shared.store_relay.borrow().source(shared.now(), may_follow, self.applied.get())
    }

    /// Applies the response to a watch after the revision `after`, and announces its changes.
    fn apply_watched<A: Adapter>(&self, shared: &Shared<A>, after: Revision, listing: Listing) {
        let watched = Position { era: listing.era, revision: listing.revision };
        let known = self.applied.get();
        let applied = known.max(watched);
        self.applied.set(applied);
        shared.store_relay.borrow_mut().record_fetched(applied);
        if listing.entries.iter().any(|entry| entry.revision > known.revision) {
            // All changes, also those that another relay has announced to this one: it may have announced nothing then, and a
            // daemon that is still at `after` takes the announcement as complete.
            self.announce_changes(shared, after, watched, &listing.entries);
        }
        self.apply_entries(shared, newer_than(known, listing.entries));
        // The call may have waited, but what it returns was complete when it ended.
        shared.quotas.borrow_mut().record_view(shared.now());
    }

    /// Handles an announcement of a relay.
    pub fn on_announcement<A: Adapter>(
        &self,
        shared: &Shared<A>,
        from: SocketAddr,
        announcement: Announcement,
    ) {
        let members = shared.members.borrow();
        let Some(domain) = members.domain_of_peer(from) else {
            return log_ignored(shared, from, "no daemon of the region is listed with the address");
        };
        let own_domain = domain == members.domain();
        drop(members);
        let now = shared.now();
        let reaction =
            shared.store_relay.borrow_mut().receive(now, own_domain, &announcement, self.applied.get());
        self.record_availability(shared, own_domain, &announcement);
        if own_domain && reaction != Reaction::Fetch && announcement.position >= self.applied.get() {
            shared.quotas.borrow_mut().record_view(announcement.response_at(now));
        }
        match reaction {
            Reaction::Apply => {
                let known = self.applied.replace(announcement.position);
                let changes = newer_than(known, announcement.changes);
                self.announce_changes(shared, known.revision, announcement.position, &changes);
                self.apply_entries(shared, changes);
            }
            Reaction::Fetch => self.fetch_needed.notify_waiters(),
            Reaction::Ignore => {}
        }
    }

    /// Records what an announcement tells of the availability of the service: whether it responded to the announcing daemon, and
    /// for the own failure domain's relay, an outage that this daemon may not have noticed.
    fn record_availability<A: Adapter>(
        &self,
        shared: &Shared<A>,
        own_domain: bool,
        announcement: &Announcement,
    ) {
        if announcement.position.era != self.applied.get().era {
            return;
        }
        let now = shared.now();
        let mut store_outage = shared.store_outage.borrow_mut();
        if let Some(report) = announcement.outage.filter(|_| own_domain) {
            // Before the response, which may have ended the outage.
            store_outage.record_report(now, report);
        }
        store_outage.record_relayed_response(announcement.response_at(now));
    }

    /// Announces the newest known position to the followers if this daemon is a relay and has announced nothing for some time.
    pub fn announce_if_due<A: Adapter>(&self, shared: &Shared<A>) {
        let now = shared.now();
        if now.since(self.announced_at.get()) < ANNOUNCEMENT_PERIOD {
            return;
        }
        self.announce_position(shared);
    }

    /// Announces the newest known position to the followers if this daemon is a relay.
    pub fn announce_position<A: Adapter>(&self, shared: &Shared<A>) {
        self.announced_at.set(shared.now());
        let position = shared.store_relay.borrow().newest(self.applied.get());
        self.announce(shared, vec![Announcement::new(position, position.revision)]);
    }

    /// Announces the changes after the revision `after` up to `end` if this daemon is a relay.
    fn announce_changes<A: Adapter>(
        &self,
        shared: &Shared<A>,
        after: Revision,
        end: Position,
        changes: &[Entry],
    ) {
        if shared.peer_socket.get().is_some() {
            self.announce(shared, split(after, end, changes.to_vec(), MAX_CHANGES_BYTES));
        }
    }

    /// Sends announcements to the followers if this daemon is a relay that is served by the service.
    fn announce<A: Adapter>(&self, shared: &Shared<A>, announcements: Vec<Announcement>) {
        let Some(peers) = shared.peer_socket.get() else {
            return;
        };
        if self.applied.get() == Position::default()
            || !shared.members.borrow().is_relay()
            || shared.store_outage.borrow().is_ongoing()
        {
            return;
        }
        let now = shared.now();
        self.announced_at.set(now);
        let age = now.since(shared.store_outage.borrow().last_response()).as_millis();
        let response_age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        let outage = shared.store_outage.borrow().recent(now);
        let followers = shared.members.borrow().followers();
        for announcement in announcements {
            let message = PeerMessage::Store(Announcement { response_age_ms, outage, ..announcement });
            peers.send(shared, &followers, &message);
        }
    }

    /// Applies entries, then the number of daemons.
    fn apply_entries<A: Adapter>(&self, shared: &Shared<A>, entries: Vec<Entry>) {
        for entry in entries {
            self.apply(shared, entry);
        }
        let counts = shared.members.borrow().counts();
        shared.steering.borrow_mut().set_daemons(shared.now(), counts);
        let (own, others) = shared.members.borrow().quota_daemons();
        shared.quotas.borrow_mut().set_daemons(shared.now(), own, others);
        shared.deliver_decisions();
    }

    /// Applies an entry unless a newer revision of its key is known, or it comes from an older copy of the service and its key
    /// was withdrawn.
    fn apply<A: Adapter>(&self, shared: &Shared<A>, entry: Entry) {
        let verdict = self.view.borrow_mut().record(shared.now(), &entry);
        if verdict == Verdict::Outdated {
            return;
        }
        if verdict != Verdict::Apply && !self.may_apply_copy(shared, &entry, verdict) {
            slog::info!(shared.events.logger(), "entry of an older copy withheld"; "code" => 566,
                "key" => &*entry.key, "revision" => entry.revision.0);
            return;
        }
        if let Some(name) = entry.key.strip_prefix(MEMBER_PREFIX) {
            if entry.value.is_none() {
                self.view.borrow_mut().record_withdrawal(shared.now(), &entry.key);
            }
            self.apply_member(shared, name, entry.revision, parse_member(&entry));
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
            StoreUpdate::Server(id, None) => self.server_deleted(shared, id, &entry),
            StoreUpdate::Evacuation(domain, active) => {
                if !active {
                    self.view.borrow_mut().record_withdrawal(shared.now(), &entry.key);
                }
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

    /// Whether an entry is applied that may come from an older copy of the service. It may as well have been written between the
    /// restoration and the listing, so that its revision does not tell; its contents decide.
    fn may_apply_copy<A: Adapter>(&self, shared: &Shared<A>, entry: &Entry, verdict: Verdict) -> bool {
        let is_withheld = verdict == Verdict::Withheld;
        let is_applied = match shared.adapter.parse_entry(entry) {
            StoreUpdate::Server(_, Some(server)) if is_withheld => {
                shared.steering.borrow().supersedes_departure(&server)
            }
            StoreUpdate::Server(_, Some(server)) => shared.steering.borrow().accepts_copy(&server),
            // Nothing tells a new evacuation from an old one. Its servers are spared until the operator's deletion is restored.
            StoreUpdate::Evacuation(..) => true,
            _ => !is_withheld || self.is_registered_in_era(entry),
        };
        if is_withheld && is_applied {
            self.view.borrow_mut().accept(entry);
        }
        is_applied
    }

    /// Whether an entry is that of a daemon which wrote it in the current era of the service.
    fn is_registered_in_era(&self, entry: &Entry) -> bool {
        entry.key.starts_with(MEMBER_PREFIX)
            && parse_member(entry).is_some_and(|member| member.era == self.view.borrow().era())
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
        if *name == *shared.members.borrow().local_name() {
            return self.record_own_entry(shared, revision, member.is_some());
        }
        shared.members.borrow_mut().apply(name, member);
    }

    /// Records what the service has as the entry of this daemon. If it is not what this daemon wrote, it is written again. While
    /// it does not exist, no quota is coordinated, since the others do not list this daemon.
    fn record_own_entry<A: Adapter>(&self, shared: &Shared<A>, revision: Revision, exists: bool) {
        let position = Position { era: self.view.borrow().era(), revision };
        if !shared.own_entry.borrow_mut().record_seen(position, exists) {
            return;
        }
        slog::warn!(shared.events.logger(), "own entry is lost"; "code" => 521,
            "revision" => revision.0, "exists" => exists);
        if !exists {
            shared.quotas.borrow_mut().record_removal();
        }
        shared.registration_due.notify_waiters();
    }

    /// Removes a server whose entry was deleted. The removal is deferred if the entry may have expired because of an outage.
    fn server_deleted<A: Adapter>(&self, shared: &Shared<A>, id: Backend, entry: &Entry) {
        let (now, revision) = (shared.now(), entry.revision);
        let is_draining = shared.steering.borrow().server(&id).is_none_or(|s| s.entry.draining);
        let removal =
            if is_draining { now } else { shared.store_outage.borrow().removal_time(now, revision) };
        slog::info!(shared.events.logger(), "backend server gone"; "code" => 531, "backend" => %id,
            "revision" => revision.0, "doubted" => removal > now);
        if removal > now {
            let removal = PendingRemoval { key: entry.key.clone(), at: removal };
            self.pending_removals.borrow_mut().entry(id).or_insert(removal);
            return;
        }
        self.remove_server(shared, &id, &entry.key);
    }

    /// Removes what was not restored within the grace period after an outage or a restoration of the service.
    pub fn apply_due_removals<A: Adapter>(&self, shared: &Shared<A>) {
        let now = shared.now();
        let deletions = self.view.borrow_mut().take_due_deletions(now);
        if !deletions.is_empty() {
            self.apply_entries(shared, deletions);
        }
        let due: Vec<_> =
            self.pending_removals.borrow_mut().extract_if(.., |_, removal| now >= removal.at).collect();
        for (id, removal) in due {
            self.remove_server(shared, &id, &removal.key);
        }
    }

    /// Removes a server, and closes the idle connections to it.
    fn remove_server<A: Adapter>(&self, shared: &Shared<A>, id: &Backend, key: &str) {
        self.view.borrow_mut().record_withdrawal(shared.now(), key);
        shared.steering.borrow_mut().remove_server(id, shared.now());
        shared.pool.borrow_mut().close(id);
    }
}

/// Reads the entry of a daemon. `None` if it was deleted or is malformed.
fn parse_member(entry: &Entry) -> Option<Member> {
    entry.value.as_deref().and_then(|text| serde_json::from_str(text).ok())
}

/// Timeout of the next watch. Nothing shows that the response to a watch was lost, so a watch lasts no longer than a change
/// may take. After a failure it returns at once, so that its revision tells the changes of the outage from later ones.
fn watch_timeout<A: Adapter>(shared: &Shared<A>, source: Source) -> Duration {
    if source == Source::Fetch || shared.store_outage.borrow().is_ongoing() {
        return Duration::ZERO;
    }
    shared.cfg.max_change_delay.max(MIN_WATCH_TIMEOUT)
}

/// Keeps the changes that are newer than the known position. An older one may have been undone since.
fn newer_than(known: Position, mut changes: Vec<Entry>) -> Vec<Entry> {
    changes.retain(|entry| entry.revision > known.revision);
    changes
}

fn is_wait(source: Source) -> bool {
    matches!(source, Source::Wait(_))
}

/// Waits until the end of [`Source::Wait`]. Never returns for the other sources.
async fn wait_until<A: Adapter>(shared: &Shared<A>, source: Source) {
    match source {
        Source::Wait(until) => sleep(until.since(shared.now())).await,
        Source::Watch | Source::Fetch => std::future::pending().await,
    }
}

/// Records and logs the failure of a call.
fn record_failure<A: Adapter>(shared: &Shared<A>, e: &StoreError) {
    shared.store_outage.borrow_mut().record_failure();
    log_store_failure(shared, e);
}

/// Records that the service was restored from an older copy, and lets the own entry be written again.
fn record_restoration<A: Adapter>(shared: &Shared<A>, listing: &Listing) {
    shared.store_outage.borrow_mut().record_restoration(shared.now(), listing.revision);
    shared.metrics.store_eras.with_label_values(&["later"]).inc();
    slog::warn!(shared.events.logger(), "key-value service was restored"; "code" => 564,
        "era" => listing.era.0, "revision" => listing.revision.0);
    shared.registration_due.notify_waiters();
}

/// Counts a listing or watch by its result.
fn count_call<A: Adapter>(shared: &Shared<A>, kind: &str, result: &Result<Listing, StoreError>) {
    let result = match result {
        Ok(listing) if listing.entries.is_empty() => "unchanged",
        Ok(_) => "changes",
        Err(_) => "failed",
    };
    shared.metrics.store_calls.with_label_values(&[kind, result]).inc();
}
