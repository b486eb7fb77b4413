//! Applies the entries of the key-value service to the state of a daemon.
//!
//! An older revision of a key never replaces a newer one. After a restoration of the service from an older copy, [`StoreView`]
//! decides what of the copy is applied. A deletion that may date from an outage is deferred, see
//! [`StoreOutage`](crate::store_outage::StoreOutage).

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use medlarstair_state::config::Entry;
use medlarstair_state::id::{Backend, Era, Revision};
use medlarstair_state::steering::{BackendEntry, Plan};
use medlarstair_state::time::Timestamp;

use crate::accounts;
use crate::adapter::{Adapter, StoreUpdate};
use crate::membership::{MEMBER_PREFIX, Member};
use crate::shared::Shared;
use crate::store_outage::ENTRY_RESTORE_GRACE_PERIOD;
use crate::store_relay::Position;
use crate::store_view::{ListingChange, StoreView, Verdict};

/// Grace period after a restoration of the service in which the operator's data is restored. An evacuation that is missing from
/// the copy stays in effect meanwhile.
const OPERATOR_RESTORE_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// A server whose entry was deleted in an outage.
#[derive(Debug)]
struct PendingRemoval {
    key: Box<str>,
    at: Timestamp,
}

/// The entries that this daemon knows, and what is deferred of them.
#[derive(Debug, Default)]
pub struct StoreEntries {
    view: RefCell<StoreView>,
    /// Servers whose entries were deleted during an outage, until they are removed or restored.
    pending_removals: RefCell<BTreeMap<Backend, PendingRemoval>>,
}

impl StoreEntries {
    /// Era of the service.
    pub fn era(&self) -> Era {
        self.view.borrow().era()
    }

    /// Begins a listing, and returns what it tells by the keys that are present.
    pub fn begin_listing(&self, era: Era, revision: Revision, present: BTreeSet<&str>) -> ListingChange {
        self.view.borrow_mut().begin_listing(era, revision, present)
    }

    /// Keeps an entry that is missing from an older copy of the service until its owner has had time to write it again.
    pub fn defer_deletion<A: Adapter>(&self, shared: &Shared<A>, deletion: &Entry) {
        let grace_period = match shared.adapter.parse_entry(deletion) {
            StoreUpdate::Evacuation(..) => OPERATOR_RESTORE_GRACE_PERIOD,
            _ => ENTRY_RESTORE_GRACE_PERIOD,
        };
        self.view.borrow_mut().defer_deletion(&deletion.key, shared.now() + grace_period);
    }

    /// Applies entries, then the number of daemons.
    pub fn apply_all<A: Adapter>(&self, shared: &Shared<A>, entries: Vec<Entry>) {
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
    pub fn apply<A: Adapter>(&self, shared: &Shared<A>, entry: Entry) {
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
            StoreUpdate::Plan(plan) => apply_plan(shared, *plan, entry.revision),
            StoreUpdate::Server(id, Some(server)) => self.server_listed(shared, id, server, entry.revision),
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
    pub fn record_own_entry<A: Adapter>(&self, shared: &Shared<A>, revision: Revision, exists: bool) {
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

    /// Applies the entry of a server, unless it was written before the known one.
    fn server_listed<A: Adapter>(
        &self,
        shared: &Shared<A>,
        id: Backend,
        server: BackendEntry,
        revision: Revision,
    ) {
        let (address, leaving, cold) = (server.address, server.draining, server.cold_left);
        let applied = shared.steering.borrow_mut().apply_server(server, shared.now());
        if applied {
            self.pending_removals.borrow_mut().remove(&id);
        }
        slog::info!(shared.events.logger(), "backend server listed"; "code" => 530, "backend" => %id,
            "revision" => revision.0, "address" => %address, "leaving" => leaving,
            "cold_ms" => cold.as_millis(), "in_force" => applied);
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
            self.apply_all(shared, deletions);
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

/// Applies a configuration, unless a newer version is in force.
fn apply_plan<A: Adapter>(shared: &Shared<A>, plan: Plan, revision: Revision) {
    let version = plan.version;
    let accounts = plan.accounts().clone();
    let in_force = shared.steering.borrow_mut().apply_plan(plan);
    if in_force {
        accounts::record_faults(shared, &accounts);
        shared.quotas.borrow_mut().set_accounts(shared.now(), &accounts);
    }
    slog::info!(shared.events.logger(), "routing configuration received"; "code" => 510,
        "version" => version.0, "revision" => revision.0, "in_force" => in_force);
}

/// Reads the entry of a daemon. `None` if it was deleted or is malformed.
fn parse_member(entry: &Entry) -> Option<Member> {
    entry.value.as_deref().and_then(|text| serde_json::from_str(text).ok())
}
