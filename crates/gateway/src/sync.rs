//! Follows the key-value service: configuration, backend servers, evacuations and daemons.
//!
//! One listing and then one watch cover everything. An older revision of a key never replaces a newer one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::config::Entry;
use medlarstair_state::id::{Backend, Revision};
use medlarstair_state::time::Timestamp;
use medlarstair_transport::kv::{Listing, Store, StoreError};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::adapter::{Adapter, StoreUpdate};
use crate::core::Core;
use crate::eventlog::note_failed_call;
use crate::membership::{MEMBER_PREFIX, Member};

/// Longest wait of a watch. Each is a priced call.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Pause between watches that bring changes, so that changes in quick succession cost one call.
const GATHER: Duration = Duration::from_millis(400);

/// First pause after a failed call; doubled with each further one.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Longest pause after failed calls.
const RETRY_MAX: Duration = Duration::from_secs(1);

/// Time after the return of the service within which the changes of the outage arrive. Later deletions are not doubted:
/// a server that leaves without notice must get no new work.
const CATCH_UP: Duration = Duration::from_millis(300);

/// Time within which a server that lives has its entry back after an outage of the service.
const RESTORED_WITHIN: Duration = Duration::from_millis(2_200);

/// Whether the service answers.
#[derive(Debug, Clone, Copy, Default)]
enum Outage {
    /// It has always answered.
    #[default]
    None,
    /// Calls fail.
    Lasting,
    /// It has answered again since then.
    Over(Timestamp),
}

/// Beliefs that come from the key-value service.
#[derive(Debug, Default)]
pub struct Follower {
    revisions: RefCell<BTreeMap<Box<str>, Revision>>,
    outage: Cell<Outage>,
    doubted: RefCell<BTreeMap<Backend, Timestamp>>,
}

impl Follower {
    /// Follows the service until the daemon ends. `regained` tells that the service answers again, so that a watch which
    /// hangs is asked anew.
    pub async fn run<A: Adapter, S: Store>(&self, core: Rc<Core<A>>, store: Rc<S>, regained: Rc<Notify>) {
        let mut pause = RETRY_MIN;
        loop {
            match self.list_all(&core, &*store).await {
                Ok(mut after) => {
                    pause = RETRY_MIN;
                    self.watch(&core, &*store, &regained, &mut after).await;
                }
                Err(e) => {
                    self.note_failure(&core, &e);
                    sleep(pause).await;
                    pause = (pause * 2).min(RETRY_MAX);
                }
            }
        }
    }

    async fn list_all<A: Adapter, S: Store>(
        &self,
        core: &Core<A>,
        store: &S,
    ) -> Result<Revision, StoreError> {
        let listing = store.list("").await?;
        self.note_answer(core.now());
        let present: BTreeSet<&str> = listing.entries.iter().map(|e| &*e.key).collect();
        let gone: Vec<Box<str>> =
            self.revisions.borrow().keys().filter(|k| !present.contains(&***k)).cloned().collect();
        for key in gone {
            self.apply(core, Entry { key, revision: listing.revision, value: None });
        }
        let revision = listing.revision;
        self.apply_all(core, listing);
        Ok(revision)
    }

    /// Watches until the history is lost.
    async fn watch<A: Adapter, S: Store>(
        &self,
        core: &Core<A>,
        store: &S,
        regained: &Notify,
        after: &mut Revision,
    ) {
        let mut pause = RETRY_MIN;
        loop {
            let watched = tokio::select! {
                watched = store.watch("", *after, WATCH_WAIT) => watched,
                () = regained.notified() => {
                    self.outage.set(Outage::Lasting);
                    continue;
                }
            };
            match watched {
                Ok(listing) => {
                    pause = RETRY_MIN;
                    self.note_answer(core.now());
                    *after = listing.revision.max(*after);
                    let is_change = !listing.entries.is_empty();
                    self.apply_all(core, listing);
                    if is_change {
                        sleep(GATHER).await;
                    }
                }
                Err(e) => {
                    self.note_failure(core, &e);
                    if e.is_history_lost() {
                        return;
                    }
                    sleep(pause).await;
                    pause = (pause * 2).min(RETRY_MAX);
                }
            }
        }
    }

    fn note_failure<A: Adapter>(&self, core: &Core<A>, e: &StoreError) {
        self.outage.set(Outage::Lasting);
        note_failed_call(core, e);
    }

    fn note_answer(&self, now: Timestamp) {
        if matches!(self.outage.get(), Outage::Lasting) {
            self.outage.set(Outage::Over(now));
        }
    }

    /// Whether changes that arrive now may have happened during an outage.
    fn is_catching_up(&self, now: Timestamp) -> bool {
        match self.outage.get() {
            Outage::None => false,
            Outage::Lasting => true,
            Outage::Over(since) => now.since(since) < CATCH_UP,
        }
    }

    fn apply_all<A: Adapter>(&self, core: &Core<A>, listing: Listing) {
        for entry in listing.entries {
            self.apply(core, entry);
        }
        let counts = core.members.borrow().counts();
        core.steering.borrow_mut().set_daemons(core.now(), counts);
        core.release();
    }

    fn apply<A: Adapter>(&self, core: &Core<A>, entry: Entry) {
        let held = self.revisions.borrow().get(&entry.key).copied();
        if held.is_some_and(|held| entry.revision < held) {
            return;
        }
        match entry.value {
            Some(_) => self.revisions.borrow_mut().insert(entry.key.clone(), entry.revision),
            None => self.revisions.borrow_mut().remove(&entry.key),
        };
        if let Some(name) = entry.key.strip_prefix(MEMBER_PREFIX) {
            let member = entry.value.as_deref().and_then(|text| serde_json::from_str(text).ok());
            self.apply_member(core, name, entry.revision, member);
            return;
        }
        match core.adapter.parse_entry(&entry) {
            StoreUpdate::Plan(plan) => {
                let version = plan.version;
                let taken = core.steering.borrow_mut().apply_plan(*plan);
                slog::info!(core.events.logger(), "configuration"; "code" => 510, "version" => version.0,
                    "revision" => entry.revision.0, "in_force" => taken);
            }
            StoreUpdate::Server(id, Some(server)) => {
                self.doubted.borrow_mut().remove(&id);
                slog::info!(core.events.logger(), "backend server listed"; "code" => 530, "backend" => %id,
                    "revision" => entry.revision.0, "address" => %server.address,
                    "leaving" => server.draining, "cold_ms" => server.cold_left.as_millis());
                core.steering.borrow_mut().apply_server(server, core.now());
            }
            StoreUpdate::Server(id, None) => self.server_gone(core, id, entry.revision),
            StoreUpdate::Evacuation(domain, active) => {
                slog::info!(core.events.logger(), "evacuation"; "code" => 511, "domain" => %domain,
                    "revision" => entry.revision.0, "active" => active);
                core.steering.borrow_mut().set_evacuated(&domain, active, core.now());
            }
            StoreUpdate::Invalid(cause) => {
                slog::warn!(core.events.logger(), "entry cannot be used"; "code" => 572, "key" => &*entry.key,
                    "revision" => entry.revision.0, "cause" => &*cause);
            }
            StoreUpdate::Irrelevant => {}
        }
    }

    fn apply_member<A: Adapter>(
        &self,
        core: &Core<A>,
        name: &str,
        revision: Revision,
        member: Option<Member>,
    ) {
        let crashes = member.as_ref().map_or(&[][..], |m| &m.crashes);
        slog::info!(core.events.logger(), "daemon listed"; "code" => 520, "member" => name,
            "revision" => revision.0, "lives" => member.is_some(), "crashes" => crashes.len());
        core.steering.borrow_mut().record_remote_crashes(core.now(), crashes);
        core.members.borrow_mut().apply(name, member);
    }

    fn server_gone<A: Adapter>(&self, core: &Core<A>, id: Backend, revision: Revision) {
        let now = core.now();
        let leaving = core.steering.borrow().server(&id).is_none_or(|s| s.entry.draining);
        let doubt = !leaving && self.is_catching_up(now);
        slog::info!(core.events.logger(), "backend server gone"; "code" => 531, "backend" => %id,
            "revision" => revision.0, "doubted" => doubt);
        if doubt {
            self.doubted.borrow_mut().entry(id).or_insert(now + RESTORED_WITHIN);
            return;
        }
        core.steering.borrow_mut().remove_server(&id, now);
        core.pool.borrow_mut().close(&id);
    }

    /// Removes servers whose entries did not come back after an outage.
    pub fn settle_doubts<A: Adapter>(&self, core: &Core<A>) {
        let now = core.now();
        let due: Vec<Backend> =
            self.doubted.borrow().iter().filter(|(_, at)| now >= **at).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.doubted.borrow_mut().remove(&id);
            core.steering.borrow_mut().remove_server(&id, now);
            core.pool.borrow_mut().close(&id);
        }
    }
}
