//! Tests of daemon processes under faults: kills, SIGSTOP, planned stops, configuration changes, outages of the
//! key-value service, crashing requests and network partitions.

mod common;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use awc::http::StatusCode;
use common::{Cluster, Reply, Request, sleep_ms, wait_for, wait_within};
use futures_util::future::join_all;
use medlarstair_standins::{BackendFaults, KvFaults, LinkChange};
use rustix::process::Signal;

/// Time limit for a configuration change to be in force on all daemons.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

/// Delay after which a leaving backend server must not receive new requests.
const LEAVING_DELAY_MS: u64 = 2_000;

fn repeatable_request<'a>(cluster: &'a Cluster, entry: u32, path: &'a str) -> Request<'a> {
    request_with_headers(
        cluster,
        entry,
        path,
        vec![("medlar-rank", "urgent".into()), ("medlar-repeatable", "yes".into())],
    )
}

fn request_with_headers<'a>(
    cluster: &'a Cluster,
    entry: u32,
    path: &'a str,
    headers: Vec<(&'static str, String)>,
) -> Request<'a> {
    let (customer, service) = (cluster.plan.customers[0].as_str(), cluster.plan.services[0].name.as_str());
    Request { entry, customer, service, path, headers, body: "one order" }
}

fn operation_request<'a>(cluster: &'a Cluster, entry: u32, token: &str) -> Request<'a> {
    request_with_headers(
        cluster,
        entry,
        "/orders",
        vec![("medlar-repeatable", "no".into()), ("medlar-token", token.into())],
    )
}

/// Creates a token owned by the daemon `owner`.
async fn token_owned_by(cluster: &Cluster, owner: u32, suffix: &str) -> String {
    let req = operation_request(cluster, owner, "");
    let lookup = cluster.lookup(owner, req.customer, req.service).await.expect("a lookup is answered");
    let entry = lookup.entries.iter().find(|e| e.node == owner).expect("the daemon is listed");
    format!("{}{suffix}", entry.token_prefix)
}

async fn send_all(cluster: &Cluster, requests: &[Request<'_>]) -> Vec<Option<Reply>> {
    join_all(requests.iter().map(|req| cluster.send(req))).await
}

fn succeeded(reply: &Option<Reply>) -> bool {
    reply.as_ref().is_some_and(|r| r.status == StatusCode::OK && r.body == b"one order")
}

/// Guards against a second execution when an operation is resent through other daemons, concurrently or later.
#[actix_rt::test]
async fn operation_runs_once_through_any_daemon() {
    let cluster = Cluster::start("consortium", |_| {}).await;
    let token = token_owned_by(&cluster, 2, "order-1").await;
    let requests = (1..=7).map(|entry| operation_request(&cluster, entry, &token)).collect::<Vec<_>>();
    let replies = send_all(&cluster, &requests).await;
    assert!(replies.iter().all(succeeded), "{replies:?}");
    let again = cluster.send(&requests[4]).await;
    assert!(succeeded(&again), "{again:?}");
    assert_eq!(cluster.run_count(&token), 1);
}

/// Guards against a second execution after the owner was killed, and against "not run" for an executed operation.
#[actix_rt::test]
async fn outcome_is_unknown_after_the_owner_was_killed() {
    let mut cluster = Cluster::start("consortium", |_| {}).await;
    let token = token_owned_by(&cluster, 3, "order-2").await;
    assert!(succeeded(&cluster.send(&operation_request(&cluster, 3, &token)).await));
    cluster.kill(3);
    for entry in [1, 4, 7] {
        let reply =
            cluster.send(&operation_request(&cluster, entry, &token)).await.expect("the daemon answers");
        assert_eq!(reply.outcome.as_deref(), Some("unknown"), "{reply:?}");
    }
    cluster.spawn(3);
    cluster.wait_ready().await;
    let reply = cluster.send(&operation_request(&cluster, 3, &token)).await.expect("the daemon answers");
    assert_eq!(reply.reason.as_deref(), Some("owner-restarted"), "{reply:?}");
    assert_eq!(cluster.run_count(&token), 1);
}

/// Guards against a planned stop that loses recorded answers of operations or aborts requests.
#[actix_rt::test]
async fn planned_stop_hands_operations_over_and_cuts_no_request() {
    let mut cluster = Cluster::start("consortium", |_| {}).await;
    let token = token_owned_by(&cluster, 5, "order-3").await;
    assert!(succeeded(&cluster.send(&operation_request(&cluster, 5, &token)).await));
    cluster.signal(5, Signal::TERM);
    let stop_start = Instant::now();
    // A caller with a cached lookup continues to send until the lookup expires.
    while stop_start.elapsed() < Duration::from_secs(5) {
        let requests = (0..4).map(|_| repeatable_request(&cluster, 5, "/stock")).collect::<Vec<_>>();
        let replies = send_all(&cluster, &requests).await;
        assert!(replies.iter().all(succeeded), "after {:?}: {replies:?}", stop_start.elapsed());
        sleep_ms(20).await;
    }
    assert!(cluster.wait_exit(5).await.success());
    for entry in [1, 6] {
        let reply = cluster.send(&operation_request(&cluster, entry, &token)).await;
        assert!(succeeded(&reply), "{reply:?}");
    }
    assert_eq!(cluster.run_count(&token), 1);
    let lookup = cluster.lookup(6, &cluster.plan.customers[0], &cluster.plan.services[0].name).await;
    assert!(lookup.expect("a lookup is answered").entries.iter().all(|e| e.node != 5));
}

/// Guards against a contract change that does not reach every daemon in time or does not stay in force.
#[actix_rt::test]
async fn contract_change_is_in_force_everywhere_in_time() {
    let cluster = Cluster::start("consortium", |_| {}).await;
    let customer = cluster.plan.customers[0].clone();
    let key = format!("contract/{customer}");
    let stored = cluster.platform.kv.list(&format!("config/{key}")).entries.remove(0);
    let without = format!(r#"{{"customer":"{customer}","change_id":"c2","services":[]}}"#);
    let (status, body) = cluster.put_config(1, &key, &without, stored.revision).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let changed = Instant::now();
    for entry in 1..=7 {
        let refused = async || {
            let reply = cluster.send(&repeatable_request(&cluster, entry, "/stock")).await?;
            (reply.reason.as_deref() == Some("no-contract")).then_some(())
        };
        wait_within("the change is in force", IN_FORCE_WITHIN.saturating_sub(changed.elapsed()), refused)
            .await;
    }
    sleep_ms(1_000).await;
    for entry in 1..=7 {
        let reply =
            cluster.send(&repeatable_request(&cluster, entry, "/stock")).await.expect("the daemon answers");
        assert_eq!(
            reply.reason.as_deref(),
            Some("no-contract"),
            "the contract change did not stay in force on entry VM {entry}"
        );
    }
}

/// Guards against requests that fail, or a daemon that cannot restart, during an outage of the key-value service.
#[actix_rt::test]
async fn service_goes_on_while_the_key_value_service_is_down() {
    let mut cluster = Cluster::start("consortium", |_| {}).await;
    cluster.platform.kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    cluster.kill(4);
    cluster.spawn(4);
    cluster.wait_ready().await;
    for entry in 1..=7 {
        let reply = cluster.send(&repeatable_request(&cluster, entry, "/stock")).await;
        assert!(succeeded(&reply), "entry VM {entry}: {reply:?}");
    }
    for (resend, outcome) in [("no", "not-run"), ("yes", "unknown")] {
        let headers = vec![
            ("medlar-repeatable", "no".into()),
            ("medlar-key", "own-1".into()),
            ("medlar-resend", resend.into()),
        ];
        let reply =
            cluster.send(&request_with_headers(&cluster, 2, "/orders", headers)).await.expect("an answer");
        let reported = (reply.outcome.as_deref(), reply.reason.as_deref());
        assert_eq!(reported, (Some(outcome), Some("claim-unavailable")));
    }
}

/// Guards against a second execution when several daemons claim the same key, including when responses of the
/// key-value service are lost.
#[actix_rt::test]
async fn callers_own_key_runs_once() {
    let cluster = Cluster::start("consortium", |_| {}).await;
    for (lose_answers, path) in [(0, "/first"), (7, "/second")] {
        cluster.platform.kv.set_faults(KvFaults { lose_answers, ..KvFaults::default() });
        let key = format!("own{}", path.replace('/', "-"));
        let headers = || vec![("medlar-repeatable", "no".into()), ("medlar-key", key.clone())];
        let requests =
            (1..=7).map(|entry| request_with_headers(&cluster, entry, path, headers())).collect::<Vec<_>>();
        let mut replies = send_all(&cluster, &requests).await;
        cluster.platform.kv.set_faults(KvFaults::default());
        replies.push(cluster.send(&requests[2]).await);
        assert!(succeeded(&replies[7]), "{replies:?}");
        let runs =
            cluster.platform.backends.values().flat_map(|b| b.runs()).filter(|r| r.path.starts_with(path));
        assert_eq!(runs.count(), 1, "{replies:?}");
    }
}

/// Guards against new requests to a backend server that is drained by configuration or reports itself as draining.
#[actix_rt::test]
async fn leaving_backend_server_gets_no_new_work() {
    let cluster = Cluster::start("consortium", |_| {}).await;
    let names = cluster.plan.services[0].backends.iter().map(|b| b.name.clone()).collect::<Vec<_>>();
    let (drained, reporting) = (&names[0], &names[1]);
    let drain = format!(r#"{{"change_id":"d1","kind":"backend","name":"{drained}"}}"#);
    let (status, body) = cluster.put_config(1, &format!("drain/backend/{drained}"), &drain, 0).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let draining = BackendFaults { draining: true, ..BackendFaults::default() };
    cluster.platform.backends[reporting].set_faults(draining);
    let send_load_for = async |limit_ms: u64| {
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(limit_ms) {
            let requests =
                (1..=7).map(|entry| repeatable_request(&cluster, entry, "/stock")).collect::<Vec<_>>();
            send_all(&cluster, &requests).await;
        }
    };
    send_load_for(LEAVING_DELAY_MS).await;
    let before = [drained, reporting].map(|name| cluster.platform.backends[name].stats().runs);
    send_load_for(1_000).await;
    let after = [drained, reporting].map(|name| cluster.platform.backends[name].stats().runs);
    assert_eq!(before, after);
}

/// Guards against a paused daemon that uses expired loans after it continues, which overloads backend servers, and
/// against one that does not serve again.
#[actix_rt::test]
async fn paused_daemon_overloads_no_backend_server_and_serves_again() {
    let mut cluster = Cluster::start("consortium", |_| {}).await;
    let flood = async |cluster: &Cluster, entries: &[u32], limit_ms: u64| {
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(limit_ms) {
            let each = entries.iter().flat_map(|entry| [*entry; 24]);
            let requests = each.map(|entry| repeatable_request(cluster, entry, "/stock")).collect::<Vec<_>>();
            send_all(cluster, &requests).await;
        }
    };
    flood(&cluster, &[1, 2, 3, 4, 5, 6, 7], 1_500).await;
    cluster.signal(2, Signal::STOP);
    flood(&cluster, &[1, 3, 4, 5, 6, 7], 3_000).await;
    cluster.signal(2, Signal::CONT);
    flood(&cluster, &[1, 2, 3, 4, 5, 6, 7], 1_500).await;
    for (name, backend) in &cluster.platform.backends {
        assert_eq!(backend.stats().shed, 0, "{name} received more concurrent requests than it has slots");
    }
    let serves = async || {
        let sent = Instant::now();
        let reply = cluster.send(&repeatable_request(&cluster, 2, "/stock")).await;
        if !succeeded(&reply) {
            eprintln!("after {:?}: {reply:?}", sent.elapsed());
        }
        succeeded(&reply).then_some(())
    };
    wait_for("the paused daemon serves again", serves).await;
}

/// Guards against a request that crashes one backend server after another, and against quarantine of other requests.
#[actix_rt::test]
async fn crashing_request_is_refused_after_three_crashes() {
    let cluster = Cluster::start("consortium", |_| {}).await;
    let headers = vec![("medlar-repeatable", "yes".into()), ("x-crash", "yes".to_owned())];
    let mut reasons = BTreeSet::new();
    for round in 0..14 {
        let entry = round % 7 + 1;
        let crash = request_with_headers(&cluster, entry, "/poison", headers.clone());
        let reply = cluster.send(&crash).await.expect("the daemon answers");
        reasons.insert(reply.reason.unwrap_or_default());
        let harmless =
            cluster.send(&repeatable_request(&cluster, entry, "/stock")).await.expect("the daemon answers");
        assert_ne!(harmless.reason.as_deref(), Some("quarantined"));
        sleep_ms(50).await;
    }
    let crashes = cluster.platform.backends.values().map(|b| b.stats().crashes).sum::<u64>();
    assert!(crashes <= 3, "{crashes} crashes");
    assert!(reasons.contains("quarantined"), "{reasons:?}");
}

/// Guards against backend servers that stay unused after the only daemon of their failure domain was killed.
#[actix_rt::test]
async fn backend_servers_of_a_dead_daemons_domain_stay_in_use() {
    let mut cluster = Cluster::start("consortium", |_| {}).await;
    let domain = cluster.entry(1).place.name.clone();
    let is_only_entry = cluster.plan.entries.iter().filter(|e| e.place.name == domain).count() == 1;
    assert!(is_only_entry, "entry VM 1 is the only one of its domain");
    cluster.kill(1);
    let in_domain = cluster.plan.services[0].backends.iter().filter(|b| b.place.name == domain);
    let names = in_domain.map(|b| b.name.clone()).collect::<Vec<_>>();
    let runs = || names.iter().map(|name| cluster.platform.backends[name].stats().runs).sum::<u64>();
    sleep_ms(3_500).await;
    let before = runs();
    for _ in 0..10 {
        let requests = (0..12).map(|_| repeatable_request(&cluster, 2, "/stock")).collect::<Vec<_>>();
        send_all(&cluster, &requests).await;
    }
    assert!(runs() > before, "{names:?} received no requests");
    let dead = async || {
        let events = cluster.timeline(2).await?.events;
        events
            .iter()
            .any(|e| e.name == "liveness-changed" && e.detail == "node=1 liveness=Dead")
            .then_some(())
    };
    wait_for("the timeline lists node 1 as dead", dead).await;
}

/// Guards against a partitioned failure domain that stops serving, against backend servers that are overloaded during
/// the partition, and against a configuration change that is not applied after it.
#[actix_rt::test]
async fn cut_off_domain_goes_on_serving_and_catches_up() {
    let cluster = Cluster::start("consortium", |_| {}).await;
    let domain = format!("{}/{}", cluster.entry(1).place.region, cluster.entry(1).place.name);
    cluster.platform.relay.change(&LinkChange::with_cut(&domain, "*", true));
    let customer = cluster.plan.customers[1].clone();
    let key = format!("contract/{customer}");
    let stored = cluster.platform.kv.list(&format!("config/{key}")).entries.remove(0);
    let without = format!(r#"{{"customer":"{customer}","change_id":"c3","services":[]}}"#);
    let (status, body) = cluster.put_config(4, &key, &without, stored.revision).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let started = Instant::now();
    let mut served = 0;
    while started.elapsed() < Duration::from_secs(5) {
        let each = (1..=7).flat_map(|entry| [entry; 6]);
        let requests = each.map(|entry| repeatable_request(&cluster, entry, "/stock")).collect::<Vec<_>>();
        let replies = send_all(&cluster, &requests).await;
        served += replies[..6].iter().filter(|reply| succeeded(reply)).count();
    }
    assert!(served > 0, "the partitioned domain served no requests");
    for (name, backend) in &cluster.platform.backends {
        assert_eq!(backend.stats().shed, 0, "{name} received more concurrent requests than it has slots");
    }
    cluster.platform.relay.change(&LinkChange::with_cut(&domain, "*", false));
    let changed = async || {
        let mut req = repeatable_request(&cluster, 1, "/stock");
        req.customer = &customer;
        let reply = cluster.send(&req).await?;
        (reply.reason.as_deref() == Some("no-contract")).then_some(())
    };
    wait_for("the change is in force after the partition", changed).await;
}
