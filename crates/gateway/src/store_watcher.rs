//! Watch of the key-value service for configuration, backend servers, evacuations and daemons.
//!
//! A single listing followed by a single watch covers all keys. [`StoreEntries`] applies what they return.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::config::Entry;
use medlarstair_state::id::Revision;
use medlarstair_state::time::Timestamp;
use medlarstair_transport::kv::{Listing, RenewableLeaseStore, StoreError};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::adapter::Adapter;
use crate::eventlog::log_store_failure;
use crate::membership::MEMBER_PREFIX;
use crate::peers::{MAX_DATAGRAM_BYTES, PeerMessage, log_ignored};
use crate::shared::Shared;
use crate::store_entries::StoreEntries;
use crate::store_relay::{ANNOUNCEMENT_PERIOD, Announcement, Position, Reaction, Source, split};

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

/// Follows the changes of the key-value service, by its own watch or that of a relay.
#[derive(Debug, Default)]
pub struct StoreWatcher {
    entries: StoreEntries,
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
        let change = self.entries.begin_listing(listing.era, listing.revision, present);
        if is_unlisted {
            self.entries.record_own_entry(shared, listing.revision, false);
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
                true => self.entries.defer_deletion(shared, &deletion),
                false => self.entries.apply(shared, deletion),
            }
        }
        self.entries.apply_all(shared, listing.entries);
        self.applied.set(Position { era: listing.era, revision });
        shared.quotas.borrow_mut().record_view(called_at);
        Ok(())
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
        let era = self.entries.era();
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
        self.entries.apply_all(shared, newer_than(known, listing.entries));
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
                self.entries.apply_all(shared, changes);
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

    /// Removes what was not restored within the grace period after an outage or a restoration of the service.
    pub fn apply_due_removals<A: Adapter>(&self, shared: &Shared<A>) {
        self.entries.apply_due_removals(shared);
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
