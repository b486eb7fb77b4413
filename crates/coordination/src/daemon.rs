//! Puts the parts of a daemon together.

use std::fs::File;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use actix::{Actor, Addr};
use actix_web::web::Data;
use actix_web::{App, HttpServer, web};
use medlarstair_state::id::{Boot, Incarnation};
use medlarstair_state::node::{Event, Node, NodeConfig};
use medlarstair_state::operation::Minute;
use medlarstair_state::time::Timestamp;
use medlarstair_transport::backend::BackendClient;
use medlarstair_transport::clock::{BootClock, wall_ms};
use medlarstair_transport::kv::{HttpStore, platform_client};
use slog::{Logger, error, info};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

use crate::call::Caller;
use crate::claims::Claims;
use crate::engine::{Engine, EngineConfig, Feed, SetStore};
use crate::health::{HealthPoller, PollClients};
use crate::http::{self, WorkerState};
use crate::metrics::Metrics;
use crate::ops::{self, OpsState};
use crate::peers::PeerLink;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use crate::streams::StreamServer;
use crate::timer::TimerService;
use crate::trace::{TRACE_VERSION, TraceHeader, TraceWriter};
use crate::watcher::{ConfigWatcher, load_first};

/// Milliseconds per minute.
const MINUTE_MS: u64 = 60_000;

/// Seconds that the HTTP server waits for open connections at the end of a planned stop. All requests have been answered
/// by then.
const SHUTDOWN_SECONDS: u64 = 2;

/// Connections of callers and operators per worker.
const CONNECTIONS_MAX: usize = 8_192;

/// Runs a daemon until a planned stop is complete. Must run inside an actix system.
///
/// # Errors
///
/// Any I/O error at start, for example an address that is in use.
pub async fn run(settings: Settings, log: Logger) -> io::Result<()> {
    let wall = wall_ms();
    let clock = BootClock::start();
    let me = Incarnation { node: settings.node, boot: Boot(wall) };
    let metrics = Metrics::new();
    let link =
        PeerLink::bind(me, settings.peer, settings.source, settings.keys.clone(), metrics.clone()).await?;
    let listener = TcpListener::bind(settings.peer).await?;
    let (cfg, started) = (node_config(&settings, me, wall), clock.now());
    let trace = settings.trace_file.as_deref().map(|path| start_trace(path, &cfg, started)).transpose()?;
    let node = Node::new(cfg, started);
    let snapshot = Snapshot::new(node.view(clock.now()));
    let timer = TimerService.start();
    let (exit, exited) = oneshot::channel();
    let engine = Engine::new(EngineConfig {
        node,
        clock,
        link: Rc::clone(&link),
        snapshot: snapshot.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        timer: timer.clone(),
        trace,
        exit,
    })
    .start();
    let parts = Parts { settings, engine, snapshot, metrics, ids: Arc::new(AtomicU64::new(1)) };
    parts.start_streams(link, listener);
    parts.start_platform(&timer);
    let server = parts.start_http()?;
    info!(log, "daemon started"; "code" => 1, "boot" => me.boot.0, "http" => parts.settings.http.to_string());
    forward_signals(parts.engine.clone())?;
    let handle = server.handle();
    actix_rt::spawn(server);
    if exited.await.is_err() {
        error!(log, "the engine ended unexpectedly"; "code" => 902);
    }
    handle.stop(true).await;
    info!(log, "daemon stopped"; "code" => 2);
    Ok(())
}

fn node_config(settings: &Settings, me: Incarnation, wall: u64) -> NodeConfig {
    NodeConfig {
        me,
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        epoch: Minute(u32::try_from(wall / MINUTE_MS).unwrap_or(u32::MAX)),
        seed: me.boot.0 ^ (u64::from(me.node.0) << 48),
    }
}

fn start_trace(path: &Path, node: &NodeConfig, started: Timestamp) -> io::Result<TraceWriter> {
    let header = TraceHeader { version: TRACE_VERSION, node: node.clone(), started };
    TraceWriter::start(File::create(path)?, &header)
}

struct Parts {
    settings: Settings,
    engine: Addr<Engine>,
    snapshot: Snapshot,
    metrics: Metrics,
    ids: Arc<AtomicU64>,
}

impl Parts {
    fn start_streams(&self, link: Rc<PeerLink>, listener: TcpListener) {
        let caller = Caller::new(
            self.engine.clone(),
            BackendClient::new(self.settings.source),
            Claims::new(HttpStore::new(&self.settings.store, self.settings.source)),
            Arc::clone(&self.ids),
            self.metrics.clone(),
        );
        actix_rt::spawn(StreamServer::new(link, self.engine.clone(), caller).run(listener));
    }

    fn start_platform(&self, timer: &Addr<TimerService>) {
        let store = HttpStore::new(&self.settings.store, self.settings.source);
        actix_rt::spawn(load_first(self.engine.clone(), store.clone(), self.settings.seeds.clone()));
        let watcher = ConfigWatcher::new(self.engine.clone(), store).start();
        self.engine
            .do_send(SetStore { watches: watcher.clone().recipient(), proposals: watcher.recipient() });
        let clients = PollClients {
            backends: BackendClient::new(self.settings.source),
            platform: platform_client(self.settings.source),
        };
        HealthPoller::new(self.engine.clone(), timer.clone(), clients, self.settings.vms.clone()).start();
    }

    fn start_http(&self) -> io::Result<actix_web::dev::Server> {
        let (engine, snapshot, metrics) = (self.engine.clone(), self.snapshot.clone(), self.metrics.clone());
        let (ids, source, store) = (Arc::clone(&self.ids), self.settings.source, self.settings.store.clone());
        let token = self.settings.operator_token.clone();
        // Clients belong to one thread, so each worker makes its own.
        let app = move || {
            let store = HttpStore::new(&store, source);
            let backends = BackendClient::new(source);
            let caller = Caller::new(
                engine.clone(),
                backends.clone(),
                Claims::new(store.clone()),
                Arc::clone(&ids),
                metrics.clone(),
            );
            let worker =
                WorkerState { caller: Rc::new(caller), snapshot: snapshot.clone(), metrics: metrics.clone() };
            let operators = OpsState {
                engine: engine.clone(),
                snapshot: snapshot.clone(),
                store,
                backends,
                token: token.clone(),
            };
            App::new()
                .app_data(Data::new(worker))
                .app_data(Data::new(operators))
                .configure(http::configure)
                .configure(ops::configure)
                .default_service(web::to(actix_web::HttpResponse::NotFound))
        };
        let server = HttpServer::new(app)
            .workers(self.settings.http_workers)
            .max_connections(CONNECTIONS_MAX)
            .disable_signals()
            .shutdown_timeout(SHUTDOWN_SECONDS)
            .bind(self.settings.http)?;
        Ok(server.run())
    }
}

/// A termination signal starts a planned stop.
fn forward_signals(engine: Addr<Engine>) -> io::Result<()> {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signals = signal(kind)?;
        let engine = engine.clone();
        actix_rt::spawn(async move {
            while signals.recv().await.is_some() {
                engine.do_send(Feed(Event::Stop));
            }
        });
    }
    Ok(())
}
