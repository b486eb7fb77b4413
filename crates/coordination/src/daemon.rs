//! Start-up and shutdown of an entry daemon.

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

use crate::call::RequestExecutor;
use crate::claims::KeyClaims;
use crate::engine::{ConnectStore, Engine, EngineConfig, HandleEvent};
use crate::health::{HealthPoller, PollClients};
use crate::http::{self, WorkerState};
use crate::metrics::Metrics;
use crate::ops::{self, OpsState};
use crate::peers::PeerTransport;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use crate::streams::StreamServer;
use crate::timer::TimerService;
use crate::trace::{TRACE_VERSION, TraceHeader, TraceWriter};
use crate::watcher::{ConfigWatcher, load_initial_config};

/// Length of a minute in milliseconds.
const MINUTE_MS: u64 = 60_000;

/// Timeout in seconds for closing the connections of the HTTP server after a graceful shutdown. All requests have been
/// answered by then.
const SHUTDOWN_TIMEOUT_S: u64 = 2;

/// Maximum number of client and operator connections per HTTP worker.
const MAX_CONNECTIONS: usize = 8_192;

/// Runs a daemon until its graceful shutdown is complete. Must be called inside an actix system.
///
/// # Errors
///
/// Any I/O error during start-up, for example an address that is in use.
pub async fn run(settings: Settings, log: Logger) -> io::Result<()> {
    let wall = wall_ms();
    let clock = BootClock::start();
    let me = Incarnation { node: settings.node, boot: Boot(wall) };
    let metrics = Metrics::new();
    let transport = PeerTransport::bind(
        me,
        settings.peer_address,
        settings.source_ip,
        settings.keys.clone(),
        metrics.clone(),
    )
    .await?;
    let listener = TcpListener::bind(settings.peer_address).await?;
    let (cfg, started) = (node_config(&settings, me, wall), clock.now());
    let trace = settings.trace_file.as_deref().map(|path| start_trace(path, &cfg, started)).transpose()?;
    let node = Node::new(cfg, started);
    let snapshot = Snapshot::new(node.view(clock.now()));
    let timer = TimerService.start();
    let (exit, exited) = oneshot::channel();
    let engine = Engine::new(EngineConfig {
        node,
        clock,
        transport: Rc::clone(&transport),
        snapshot: snapshot.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        timer: timer.clone(),
        trace,
        exit,
    })
    .start();
    let components = Components { settings, engine, snapshot, metrics, ids: Arc::new(AtomicU64::new(1)) };
    components.start_stream_server(transport, listener);
    components.start_platform_tasks(&timer);
    let server = components.start_http()?;
    info!(log, "daemon started"; "code" => 1, "boot" => me.boot.0, "http" => components.settings.http_address.to_string());
    stop_on_signals(components.engine.clone())?;
    let handle = server.handle();
    actix_rt::spawn(server);
    if exited.await.is_err() {
        error!(log, "engine actor stopped unexpectedly"; "code" => 902);
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

/// Components of a daemon that the start-up functions share.
struct Components {
    settings: Settings,
    engine: Addr<Engine>,
    snapshot: Snapshot,
    metrics: Metrics,
    ids: Arc<AtomicU64>,
}

impl Components {
    /// Starts the server for the TCP requests of other daemons.
    fn start_stream_server(&self, transport: Rc<PeerTransport>, listener: TcpListener) {
        let executor = RequestExecutor::new(
            self.engine.clone(),
            BackendClient::new(self.settings.source_ip),
            KeyClaims::new(HttpStore::new(&self.settings.store_url, self.settings.source_ip)),
            Arc::clone(&self.ids),
            self.metrics.clone(),
        );
        actix_rt::spawn(StreamServer::new(transport, self.engine.clone(), executor).run(listener));
    }

    /// Starts the load of the initial configuration, the watch on the key-value service and the health polls.
    fn start_platform_tasks(&self, timer: &Addr<TimerService>) {
        let store = HttpStore::new(&self.settings.store_url, self.settings.source_ip);
        actix_rt::spawn(load_initial_config(self.engine.clone(), store.clone(), self.settings.seeds.clone()));
        let watcher = ConfigWatcher::new(self.engine.clone(), store).start();
        self.engine
            .do_send(ConnectStore { watcher: watcher.clone().recipient(), writer: watcher.recipient() });
        let clients = PollClients {
            backends: BackendClient::new(self.settings.source_ip),
            platform: platform_client(self.settings.source_ip),
        };
        HealthPoller::new(self.engine.clone(), timer.clone(), clients, self.settings.vm_list_url.clone())
            .start();
    }

    /// Binds the HTTP server for callers and operators and starts its workers.
    fn start_http(&self) -> io::Result<actix_web::dev::Server> {
        let (engine, snapshot, metrics) = (self.engine.clone(), self.snapshot.clone(), self.metrics.clone());
        let (ids, source, store) =
            (Arc::clone(&self.ids), self.settings.source_ip, self.settings.store_url.clone());
        let token = self.settings.operator_token.clone();
        // The key-value client is bound to one thread, so each worker creates its own clients.
        let app = move || {
            let store = HttpStore::new(&store, source);
            let backends = BackendClient::new(source);
            let executor = RequestExecutor::new(
                engine.clone(),
                backends.clone(),
                KeyClaims::new(store.clone()),
                Arc::clone(&ids),
                metrics.clone(),
            );
            let worker = WorkerState {
                executor: Rc::new(executor),
                snapshot: snapshot.clone(),
                metrics: metrics.clone(),
            };
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
            .max_connections(MAX_CONNECTIONS)
            .disable_signals()
            .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
            .bind(self.settings.http_address)?;
        Ok(server.run())
    }
}

/// Starts a graceful shutdown on SIGTERM or SIGINT.
fn stop_on_signals(engine: Addr<Engine>) -> io::Result<()> {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signals = signal(kind)?;
        let engine = engine.clone();
        actix_rt::spawn(async move {
            while signals.recv().await.is_some() {
                engine.do_send(HandleEvent(Event::Stop));
            }
        });
    }
    Ok(())
}
