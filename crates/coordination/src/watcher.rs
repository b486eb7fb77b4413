//! Watch on the configuration in the key-value service.
//!
//! Only the designated watchers of each failure domain hold a watch, so the number of pending watch calls grows with
//! the number of failure domains and not with the number of daemons.

use std::time::Duration;

use actix::prelude::*;
use medlarstair_protocol::convert::CONFIG_PREFIX;
use medlarstair_state::id::Revision;
use medlarstair_state::node::ConfigSource;
use medlarstair_transport::kv::{Precondition, Store};
use rand::RngExt;
use tokio::time::sleep;

use crate::engine::{ApplyEntries, Engine, ProposeWrite, SetWatching, StoreListing};
use crate::settings::Seed;

/// Timeout of a watch, after which the service returns without changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Backoff after the first failed call. It doubles with each further failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Randomizes half of a backoff, so that daemons that failed at the same time do not retry at the same time.
fn with_jitter(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Actor that watches the key-value service while the engine requests it, and writes the engine's proposals.
pub struct ConfigWatcher<S> {
    engine: Addr<Engine>,
    store: S,
    running: Option<SpawnHandle>,
}

impl<S: Store + Clone + Unpin + 'static> ConfigWatcher<S> {
    /// Creates a watcher that sends changes to `engine`. It is idle until the first [`SetWatching`].
    pub fn new(engine: Addr<Engine>, store: S) -> Self {
        Self { engine, store, running: None }
    }
}

/// Loads all entries and then watches for changes, with a backoff after failures. Never returns.
async fn run_watch<S: Store>(engine: Addr<Engine>, store: S) {
    let mut backoff = MIN_BACKOFF;
    let mut last_revision = None;
    loop {
        let result = match last_revision {
            None => load_listing(&engine, &store).await,
            Some(after) => wait_for_change(&engine, &store, after).await,
        };
        match result {
            Some(revision) => {
                last_revision = Some(revision);
                backoff = MIN_BACKOFF;
            }
            None => {
                // Only a full listing reveals keys that were deleted during the outage.
                last_revision = None;
                sleep(with_jitter(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Sends all configuration entries to the engine. Returns the revision of the listing.
async fn load_listing<S: Store>(engine: &Addr<Engine>, store: &S) -> Option<Revision> {
    let listing = store.list(CONFIG_PREFIX).await.ok()?;
    let revision = listing.revision;
    engine.do_send(StoreListing { revision, entries: listing.entries });
    Some(revision)
}

/// Waits for changes after a revision and sends them to the engine. Returns the revision after which to continue.
async fn wait_for_change<S: Store>(engine: &Addr<Engine>, store: &S, after: Revision) -> Option<Revision> {
    let changes = store.watch(CONFIG_PREFIX, after, WATCH_TIMEOUT).await.ok()?;
    let newest = changes.entries.iter().map(|e| e.revision).max();
    if !changes.entries.is_empty() {
        engine.do_send(ApplyEntries { entries: changes.entries, source: ConfigSource::Store });
    }
    Some(newest.map_or(after, |newest| newest.max(after)))
}

/// Loads the initial configuration, retrying until it succeeds. The seed daemons are tried first, so that a failure
/// domain that restarts does not load the key-value service; the service is the fallback.
pub async fn load_initial_config<S: Store>(engine: Addr<Engine>, store: S, seeds: Vec<Seed>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let fetched = engine.send(crate::engine::FetchFromSeeds(seeds.clone())).await.unwrap_or(false);
        if fetched || load_listing(&engine, &store).await.is_some() {
            return;
        }
        sleep(with_jitter(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

impl<S: Store + Clone + Unpin + 'static> Actor for ConfigWatcher<S> {
    type Context = Context<Self>;
}

impl<S: Store + Clone + Unpin + 'static> Handler<SetWatching> for ConfigWatcher<S> {
    type Result = ();

    fn handle(&mut self, SetWatching(wanted): SetWatching, cx: &mut Self::Context) {
        if wanted == self.running.is_some() {
            return;
        }
        self.running = match self.running.take() {
            Some(handle) => {
                cx.cancel_future(handle);
                None
            }
            None => Some(cx.spawn(run_watch(self.engine.clone(), self.store.clone()).into_actor(self))),
        };
    }
}

impl<S: Store + Clone + Unpin + 'static> Handler<ProposeWrite> for ConfigWatcher<S> {
    type Result = ();

    /// The outcome is ignored: the engine proposes the write again for as long as the change is due.
    fn handle(&mut self, ProposeWrite { key, value, expect }: ProposeWrite, cx: &mut Self::Context) {
        let store = self.store.clone();
        let write = async move { store.put(&key, &value, Precondition::Revision(expect), None).await };
        cx.spawn(write.into_actor(self).map(|_, _, _| ()));
    }
}
