//! Tests of the simulated backend server: slots, cancellation, deadlines, crashes, health reports and injected faults.

mod common;

use std::time::{Duration, Instant};

use common::{TestResponse, any_port, get, send, wait_until};
use medlarstair_standins::{BackendConfig, BackendFaults, BackendServer, RunEnd, Worker};

fn start(config: BackendConfig) -> BackendServer {
    BackendServer::start(&Worker::start().expect("the thread starts"), any_port(), config)
        .expect("the address is free")
}

fn start_fast() -> BackendServer {
    start(BackendConfig { run_ms: 1, restart_ms: 100, ..BackendConfig::default() })
}

async fn call(server: &BackendServer, path: &str, id: &str) -> Option<TestResponse> {
    send("POST", server.address(), path, &[("medlar-request-id", id), ("medlar-token", "n1-1-0-a")], "body")
        .await
}

/// Guards against more runs than slots, a rejected request that runs, and a cancelled run that keeps its slot.
#[actix_rt::test]
async fn sheds_above_its_slots_and_frees_them_on_cancellation() {
    let server = start(BackendConfig { slots: 2, ..BackendConfig::default() });
    let to = server.address();
    let mut clients = Vec::new();
    for _ in 0..2 {
        clients.push(actix_rt::spawn(async move { get(to, "/long?run_ms=60000").await }));
    }
    wait_until("two runs are in progress", async || server.health().in_use == 2).await;
    let shed = call(&server, "/x", "3").await.expect("the server responds");
    assert_eq!((shed.status, shed.header("medlar-outcome")), (503, "not-run"));
    assert_eq!(shed.header("medlar-request-id"), "3");
    clients[0].abort();
    wait_until("a slot is free", async || server.health().in_use == 1).await;
    assert_eq!(call(&server, "/x", "4").await.expect("the server responds").status, 200);
    let ends: Vec<_> = server.runs().iter().map(|run| (run.request_id.clone(), run.end)).collect();
    assert_eq!(ends, [(String::new(), RunEnd::Cancelled), ("4".into(), RunEnd::Done)]);
    assert_eq!((server.stats().most_in_use, server.stats().shed), (2, 1));
    clients[1].abort();
}

/// Guards against wrong responses, a run that continues after its deadline, and a missing cold start.
#[actix_rt::test]
async fn runs_for_its_time_or_until_the_deadline() {
    let server =
        start(BackendConfig { run_ms: 10, cold_ms: 400, cold_factor: 8, ..BackendConfig::default() });
    let cold = Instant::now();
    let echo = call(&server, "/echo", "1").await.expect("the server responds");
    assert!(cold.elapsed() >= Duration::from_millis(80));
    assert_eq!((echo.header("medlar-request-id"), echo.body.as_deref()), ("1", Some(&b"body"[..])));
    let deadline = [("medlar-deadline-ms", "30")];
    let stopped =
        send("GET", server.address(), "/x?run_ms=60000", &deadline, "").await.expect("the server responds");
    assert_eq!((stopped.status, stopped.header("medlar-outcome")), (504, "ran"));
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let sized = call(&server, "/sized?bytes=70000", "2").await.expect("the server responds");
    assert_eq!(sized.body.map(|b| b.len()), Some(70_000));
    let runs = server.runs();
    assert_eq!((runs[0].service_ms, runs[2].service_ms), (80, 10));
    assert_eq!((runs[1].end, runs[2].token.as_str()), (RunEnd::Deadline, "n1-1-0-a"));
    assert!(runs[1].end_ms - runs[1].start_ms < 10_000);
}

/// Guards against a crash that sends a response, does not interrupt other requests, keeps the port open or keeps the
/// boot number.
#[actix_rt::test]
async fn a_crash_drops_every_connection_and_changes_the_boot() {
    let server = start_fast();
    let to = server.address();
    let boot = server.health().boot;
    let other_request = actix_rt::spawn(async move { get(to, "/long?run_ms=60000").await });
    wait_until("a run is in progress", async || server.health().in_use == 1).await;
    assert!(send("POST", to, "/x", &[], "a CRASH here").await.is_none());
    assert!(other_request.await.expect("the task does not panic").is_none());
    assert!(get(to, "/health").await.is_none());
    wait_until("the server has restarted", async || get(to, "/health").await.is_some()).await;
    assert!(server.health().boot > boot);
    assert_eq!((server.health().in_use, server.stats().crashes), (0, 1));
    assert!(server.runs().iter().all(|run| run.end == RunEnd::Crashed && run.boot == boot));
    assert_eq!(server.runs().len(), 2);
    assert_eq!(call(&server, "/x", "1").await.expect("the server responds").status, 200);
    assert!(send("GET", to, "/x", &[("x-crash", "yes")], "").await.is_none());
}

/// Guards against response faults that have no effect or apply to more responses than set.
#[actix_rt::test]
async fn each_answer_fault_shows_once() {
    let server = start_fast();
    let fault = r#"{"truncated":1}"#;
    assert_eq!(send("POST", server.address(), "/faults", &[], fault).await.map(|a| a.status), Some(200));
    let truncated = call(&server, "/x?bytes=1000", "1").await.expect("the response has a head");
    assert_eq!((truncated.header("content-length"), truncated.body.as_ref()), ("1000", None));

    server.set_faults(BackendFaults { truncated: 1, ..BackendFaults::default() });
    assert_eq!(call(&server, "/x?bytes=0", "1").await.expect("the response has a head").body, None);

    server.set_faults(BackendFaults { late: 1, late_ms: 80, ..BackendFaults::default() });
    let start = Instant::now();
    assert!(call(&server, "/x", "2").await.is_some());
    assert!(start.elapsed() >= Duration::from_millis(80));

    server.set_faults(BackendFaults { crossed: 1, ..BackendFaults::default() });
    let crossed = call(&server, "/x", "3").await.expect("the server responds");
    assert_ne!((crossed.header("medlar-request-id"), crossed.body.as_deref()), ("3", Some(&b"body"[..])));

    server.set_faults(BackendFaults { unanswered: 1, ..BackendFaults::default() });
    assert!(call(&server, "/x", "4").await.is_none());

    let intact = call(&server, "/x", "5").await.expect("the server responds");
    assert_eq!((intact.header("medlar-request-id"), intact.body.as_deref()), ("5", Some(&b"body"[..])));
    assert_eq!(server.runs().iter().filter(|run| run.end == RunEnd::Done).count(), 6);
}

/// Guards against health report faults that have no effect, so that the report is always correct and up to date.
#[actix_rt::test]
async fn health_reports_lag_and_mislead() {
    let server = start_fast();
    assert!(!server.health().draining);
    server.set_faults(BackendFaults { draining: true, ..BackendFaults::default() });
    assert!(get(server.address(), "/health").await.expect("the server responds").json()["draining"] == true);
    let hidden = BackendFaults {
        draining: true,
        hide_draining: true,
        fixed_in_use: Some(7),
        ..BackendFaults::default()
    };
    server.set_faults(hidden);
    assert_eq!((server.health().draining, server.health().in_use), (false, 7));
    server.set_faults(BackendFaults::default());
    server.set_faults(BackendFaults { health_lag_ms: 60_000, draining: true, ..BackendFaults::default() });
    assert!(!server.health().draining);
}

/// Guards against servers that need a thread each: 36 servers run on one worker.
#[actix_rt::test]
async fn many_servers_share_a_worker() {
    let worker = Worker::start().expect("the thread starts");
    let mut servers = Vec::new();
    for _ in 0..36 {
        servers.push(
            BackendServer::start(&worker, any_port(), BackendConfig::default()).expect("the address is free"),
        );
    }
    for server in &servers {
        assert_eq!(call(server, "/x", "1").await.expect("the server responds").status, 200);
    }
}
