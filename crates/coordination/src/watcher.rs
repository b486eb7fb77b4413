//! The watch on the key-value service.
//!
//! Only the watchers of a failure domain hold one, so the number of waiting calls grows with the domains and not
//! with the daemons.

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

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// First pause after a failed call; doubles up to [`RETRY_DELAY_MAX`].
const RETRY_DELAY_MIN: Duration = Duration::from_millis(200);

/// Longest pause after a failed call.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// A pause with jitter: half of it is random, so that daemons that failed together do not return together.
fn with_jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Watches the key-value service while the engine wants it.
pub struct ConfigWatcher<S> {
    engine: Addr<Engine>,
    store: S,
    running: Option<SpawnHandle>,
}

impl<S: Store + Clone + Unpin + 'static> ConfigWatcher<S> {
    /// A watcher that tells `engine` what it learns.
    pub fn new(engine: Addr<Engine>, store: S) -> Self {
        Self { engine, store, running: None }
    }
}

async fn run_watch<S: Store>(engine: Addr<Engine>, store: S) {
    let mut delay = RETRY_DELAY_MIN;
    let mut last = None;
    loop {
        let ok = match last {
            None => load_listing(&engine, &store).await,
            Some(after) => wait_for_change(&engine, &store, after).await,
        };
        match ok {
            Some(revision) => {
                last = Some(revision);
                delay = RETRY_DELAY_MIN;
            }
            None => {
                // Changes during the outage may include deletions, which only a listing shows.
                last = None;
                sleep(with_jitter(delay)).await;
                delay = (delay * 2).min(RETRY_DELAY_MAX);
            }
        }
    }
}

async fn load_listing<S: Store>(engine: &Addr<Engine>, store: &S) -> Option<Revision> {
    let listing = store.list(CONFIG_PREFIX).await.ok()?;
    let revision = listing.revision;
    engine.do_send(StoreListing { revision, entries: listing.entries });
    Some(revision)
}

async fn wait_for_change<S: Store>(engine: &Addr<Engine>, store: &S, after: Revision) -> Option<Revision> {
    let changes = store.watch(CONFIG_PREFIX, after, WATCH_WAIT).await.ok()?;
    let newest = changes.entries.iter().map(|e| e.revision).max();
    if !changes.entries.is_empty() {
        engine.do_send(ApplyEntries { entries: changes.entries, source: ConfigSource::Store });
    }
    Some(newest.map_or(after, |newest| newest.max(after)))
}

/// Gets the first configuration: from another daemon, so that a restarting failure domain does not burden the
/// key-value service, or else from the service. Returns when there is one.
pub async fn load_initial_config<S: Store>(engine: Addr<Engine>, store: S, seeds: Vec<Seed>) {
    let mut delay = RETRY_DELAY_MIN;
    loop {
        let fetched = engine.send(crate::engine::FetchFromSeeds(seeds.clone())).await.unwrap_or(false);
        if fetched || load_listing(&engine, &store).await.is_some() {
            return;
        }
        sleep(with_jitter(delay)).await;
        delay = (delay * 2).min(RETRY_DELAY_MAX);
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

    /// A lost or refused write needs no answer: the engine proposes again while the change is still due.
    fn handle(&mut self, ProposeWrite { key, value, expect }: ProposeWrite, cx: &mut Self::Context) {
        let store = self.store.clone();
        let write = async move { store.put(&key, &value, Precondition::Revision(expect), None).await };
        cx.spawn(write.into_actor(self).map(|_, _, _| ()));
    }
}
