//! Puts the parts of a daemon together.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler};
use medlarstair_coordination::timer::{Subscribe, TimerFired, TimerService};
use medlarstair_transport::kv::RenewableLeaseStore;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

use crate::adapter::Adapter;
use crate::config::Config;
use crate::core::Core;
use crate::eventlog::EventLog;
use crate::ingress::{self, Role, STOP_LISTEN};
use crate::membership::keep_entry;
use crate::metrics::Metrics;
use crate::probe;
use crate::sync::Follower;

/// Period of regular work.
const HOUSEKEEPING: Duration = Duration::from_millis(100);

/// Time before the end of the grace period at which the process ends whatever is still open.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Time before the end of the process at which every request is answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Time between checks whether all connections have ended.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Regular work of a daemon.
struct Housekeeper<A: Adapter> {
    core: Rc<Core<A>>,
    follower: Rc<Follower>,
}

impl<A: Adapter> Actor for Housekeeper<A> {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        let subscribe = Subscribe { subscriber: cx.address().recipient(), period: HOUSEKEEPING };
        TimerService.start().do_send(subscribe);
    }
}

impl<A: Adapter> Handler<TimerFired> for Housekeeper<A> {
    type Result = ();

    fn handle(&mut self, TimerFired: TimerFired, _: &mut Self::Context) {
        let now = self.core.now();
        self.follower.settle_doubts(&self.core);
        self.core.steering.borrow_mut().tick(now);
        self.core.pool.borrow_mut().expire(now);
        self.core.release();
        probe::start_due(&self.core);
    }
}

/// Runs a daemon until a planned stop is complete. Must run inside an actix system. `path` is the settings file, which
/// is read again on SIGHUP.
///
/// # Errors
///
/// Any I/O error at start, for example an address that is in use.
pub async fn run<A: Adapter, S: RenewableLeaseStore + 'static>(
    cfg: Config,
    path: PathBuf,
    adapter: A,
    store: S,
    log: Logger,
) -> io::Result<()> {
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let grace = cfg.grace_period;
    let events = EventLog::new(log.clone(), cfg.log_limits);
    let core = Core::new(cfg, adapter, metrics, events);
    listen(&core).await?;
    slog::info!(log, "started"; "code" => 1, "callers" => %core.cfg.client_address);
    let (store, regained, follower) = (Rc::new(store), Rc::new(Notify::new()), Rc::new(Follower::default()));
    let keeper = actix_rt::spawn(keep_entry(Rc::clone(&core), Rc::clone(&store), Rc::clone(&regained)));
    {
        let (core, follower) = (Rc::clone(&core), Rc::clone(&follower));
        actix_rt::spawn(async move { follower.run(core, store, regained).await });
    }
    Housekeeper { core: Rc::clone(&core), follower }.start();
    actix_rt::spawn(reload_on_hangup(Rc::clone(&core), path, signal(SignalKind::hangup())?));
    signal(SignalKind::terminate())?.recv().await;
    stop(&core, grace).await;
    keeper.abort();
    slog::info!(log, "stopped"; "code" => 2, "connections" => core.active());
    Ok(())
}

/// Writes why a daemon could not run.
pub fn log_fatal_error(log: &Logger, e: &io::Error) {
    slog::error!(log, "the daemon ends"; "code" => 574, "cause" => %e);
}

async fn listen<A: Adapter>(core: &Rc<Core<A>>) -> io::Result<()> {
    let mut listeners: Vec<(SocketAddr, Role)> =
        vec![(core.cfg.client_address, Role::Callers), (core.cfg.readiness_address, Role::Own)];
    listeners.extend(core.cfg.directory_address.map(|address| (address, Role::Own)));
    listeners.extend(core.cfg.metrics_address.map(|address| (address, Role::Metrics)));
    for (address, role) in listeners {
        let listener = TcpListener::bind(address).await?;
        actix_rt::spawn(ingress::serve(Rc::clone(core), listener, role));
    }
    Ok(())
}

/// Finishes what was begun. Callers learn from the directory that the daemon leaves; those that hold an older look-up
/// are served for a while.
async fn stop<A: Adapter>(core: &Core<A>, grace: Duration) {
    let begun = Instant::now();
    slog::info!(core.events.logger(), "stopping"; "code" => 500, "connections" => core.active());
    let span = grace.saturating_sub(STOP_MARGIN);
    core.stop(core.now() + span.saturating_sub(ANSWER_MARGIN));
    let end = begun + span;
    sleep_until((begun + STOP_LISTEN).min(end)).await;
    while core.active() > 0 && Instant::now() < end {
        sleep(STOP_CHECK).await;
    }
}

async fn reload_on_hangup<A: Adapter>(core: Rc<Core<A>>, path: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Config::read(&path) {
            Ok(cfg) => {
                core.steering.borrow_mut().reconfigure(cfg.steering());
                slog::info!(core.events.logger(), "settings reloaded"; "code" => 501);
            }
            Err(e) => {
                slog::warn!(core.events.logger(), "settings not reloaded"; "code" => 573, "cause" => %e);
            }
        }
    }
}
