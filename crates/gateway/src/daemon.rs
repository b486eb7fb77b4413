//! Start, periodic work and graceful shutdown of a daemon.

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
use crate::eventlog::EventLog;
use crate::ingress::{self, ACCEPT_GRACE_PERIOD, ListenerRole};
use crate::metrics::Metrics;
use crate::notices;
use crate::peers;
use crate::probe;
use crate::quota;
use crate::registration::maintain_registration;
use crate::shared::{Shared, Shutdown};
use crate::store_watcher::StoreWatcher;

/// Interval between runs of the periodic work.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(100);

/// Margin between the exit of the process and the end of the grace period. The process exits even if connections are still
/// open.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Margin between the deadline for all responses and the exit of the process.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Margin between the end of the connections and the exit of the process, for their tasks to run.
const CLOSE_MARGIN: Duration = Duration::from_millis(50);

/// Delay between the end of the acceptance of requests and the refusal of those that wait for a server.
const SEND_MARGIN: Duration = Duration::from_millis(100);

/// Interval between checks whether all client connections are closed.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Actor that runs the periodic work of a daemon.
struct Housekeeper<A: Adapter> {
    shared: Rc<Shared<A>>,
    watcher: Rc<StoreWatcher>,
}

impl<A: Adapter> Actor for Housekeeper<A> {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        let subscribe = Subscribe { subscriber: cx.address().recipient(), period: HOUSEKEEPING_PERIOD };
        TimerService.start().do_send(subscribe);
    }
}

impl<A: Adapter> Handler<TimerFired> for Housekeeper<A> {
    type Result = ();

    fn handle(&mut self, TimerFired: TimerFired, _: &mut Self::Context) {
        let now = self.shared.now();
        self.watcher.apply_due_removals(&self.shared);
        self.watcher.announce_if_due(&self.shared);
        notices::end_pauses(&self.shared);
        self.shared.steering.borrow_mut().tick(now);
        self.shared.pool.borrow_mut().expire(now);
        self.shared.deliver_decisions();
        self.shared.clients.cut_stalled();
        self.shared.control_clients.cut_stalled();
        self.shared.record_held();
        probe::start_due(&self.shared);
        quota::send_reports(&self.shared);
    }
}

/// Runs a daemon until a graceful shutdown, which SIGTERM starts, is complete. Must be called inside an actix system.
/// `path` is the settings file; its steering settings are read again on SIGHUP.
///
/// # Errors
///
/// Any I/O error during the start, for example if a listening address is in use.
pub async fn run<A: Adapter, S: RenewableLeaseStore + 'static>(
    cfg: Config,
    path: PathBuf,
    adapter: A,
    store: S,
    log: Logger,
) -> io::Result<()> {
    let metrics = Metrics::new().map_err(io::Error::other)?;
    let grace_period = cfg.grace_period;
    let events = EventLog::new(log.clone(), cfg.log_limits);
    let shared = Shared::new(cfg, adapter, metrics, events);
    listen(&shared).await?;
    peers::bind(&shared).await?;
    slog::info!(log, "started"; "code" => 1, "callers" => %shared.cfg.client_address);
    for key in &shared.cfg.unfilled {
        slog::warn!(log, "optional setting is not filled in"; "code" => 502, "key" => &**key);
    }
    let (store, store_recovered, watcher) =
        (Rc::new(store), Rc::new(Notify::new()), Rc::new(StoreWatcher::default()));
    let registration = actix_rt::spawn(maintain_registration(
        Rc::clone(&shared),
        Rc::clone(&store),
        Rc::clone(&store_recovered),
        Rc::clone(&watcher),
    ));
    {
        let (shared, watcher) = (Rc::clone(&shared), Rc::clone(&watcher));
        actix_rt::spawn(async move { watcher.run(shared, store, store_recovered).await });
    }
    actix_rt::spawn(peers::receive_all(Rc::clone(&shared), Rc::clone(&watcher)));
    Housekeeper { shared: Rc::clone(&shared), watcher }.start();
    actix_rt::spawn(reload_on_hangup(Rc::clone(&shared), path, signal(SignalKind::hangup())?));
    signal(SignalKind::terminate())?.recv().await;
    shut_down(&shared, grace_period).await;
    registration.abort();
    slog::info!(log, "stopped"; "code" => 2, "connections" => shared.open_connections());
    Ok(())
}

/// Logs the error that [`run`] returned.
pub fn log_fatal_error(log: &Logger, e: &io::Error) {
    slog::error!(log, "daemon failed"; "code" => 574, "cause" => %e);
}

/// Binds all listening addresses of the settings and starts to serve them.
async fn listen<A: Adapter>(shared: &Rc<Shared<A>>) -> io::Result<()> {
    let mut listeners: Vec<(SocketAddr, ListenerRole)> = vec![
        (shared.cfg.client_address, ListenerRole::Clients),
        (shared.cfg.readiness_address, ListenerRole::Control),
    ];
    listeners.extend(shared.cfg.directory_address.map(|address| (address, ListenerRole::Control)));
    listeners.extend(shared.cfg.metrics_address.map(|address| (address, ListenerRole::Metrics)));
    for (address, role) in listeners {
        let listener = TcpListener::bind(address).await?;
        actix_rt::spawn(ingress::serve(Rc::clone(shared), listener, role));
    }
    Ok(())
}

/// Completes accepted requests and waits until all client connections are closed or the grace period ends. New look-ups no
/// longer return this daemon; clients that use a cached one are still served for [`ACCEPT_GRACE_PERIOD`].
async fn shut_down<A: Adapter>(shared: &Shared<A>, grace_period: Duration) {
    let started = Instant::now();
    slog::info!(shared.events.logger(), "stopping"; "code" => 500, "connections" => shared.open_connections());
    let time_to_exit = grace_period.saturating_sub(EXIT_MARGIN);
    let time_to_accept = ACCEPT_GRACE_PERIOD.min(time_to_exit);
    let now = shared.now();
    shared.begin_shutdown(Shutdown {
        accept_until: now + time_to_accept,
        send_until: now + time_to_accept + SEND_MARGIN,
        response_deadline: now + time_to_exit.saturating_sub(RESPONSE_MARGIN),
        close_at: now + time_to_exit.saturating_sub(CLOSE_MARGIN),
    });
    sleep_until(started + time_to_accept).await;
    // The listener counts the last connections within the first of these periods.
    loop {
        sleep(DRAIN_POLL_PERIOD).await;
        if shared.open_connections() == 0 || started.elapsed() >= time_to_exit {
            return;
        }
    }
}

/// Reads the settings file again on each SIGHUP and applies its steering settings. The old ones stay in effect if it is
/// invalid.
async fn reload_on_hangup<A: Adapter>(shared: Rc<Shared<A>>, path: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Config::read(&path) {
            Ok(cfg) => {
                shared.steering.borrow_mut().reconfigure(cfg.steering());
                shared.quotas.borrow_mut().set_limits(shared.now(), cfg.quota_limits);
                slog::info!(shared.events.logger(), "settings reloaded"; "code" => 501);
            }
            Err(e) => {
                slog::warn!(shared.events.logger(), "settings not reloaded"; "code" => 573, "cause" => %e);
            }
        }
    }
}
