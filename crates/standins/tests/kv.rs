//! Tests of the simulated key-value service and VM list: conditional writes, watches, leases and injected faults.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{any_port, get, send, wait_until};
use medlarstair_standins::{
    KvFaults, KvService, Vm, VmKind, VmListFaults, VmListService, VmListing, VmState, Worker,
};
use serde_json::json;

fn start() -> KvService {
    KvService::start(&Worker::start().expect("the thread starts"), any_port()).expect("the address is free")
}

async fn put(to: SocketAddr, key: &str, condition: (&str, &str), value: &str) -> Option<(u16, u64)> {
    let response = send("PUT", to, &format!("/kv/{key}"), &[condition], value).await?;
    Some((response.status, response.json()["revision"].as_u64().unwrap_or(0)))
}

/// Guards against a write that ignores its condition and revisions that are not global.
#[actix_rt::test]
async fn writes_are_conditional_on_the_revision() {
    let kv = start();
    let to = kv.address();
    let create = ("If-None-Match", "*");
    assert_eq!(put(to, "contract/a", create, "1").await, Some((200, 1)));
    assert_eq!(put(to, "contract/b", create, "1").await, Some((200, 2)));
    assert_eq!(put(to, "contract/a", create, "2").await, Some((412, 1)));
    assert_eq!(put(to, "contract/a", ("If-Match", "\"2\""), "2").await, Some((412, 1)));
    assert_eq!(put(to, "contract/a", ("If-Match", "\"1\""), "2").await, Some((200, 3)));
    assert_eq!(put(to, "contract/c", ("If-Match", "\"1\""), "2").await, Some((412, 0)));
    assert_eq!(put(to, "contract/a", ("x-none", "1"), "2").await, Some((428, 0)));
    assert_eq!(put(to, "big", create, &"x".repeat((1 << 20) + 1)).await, Some((413, 0)));
    assert_eq!(put(to, "big", create, &"x".repeat(1 << 20)).await, Some((200, 4)));
    let read = get(to, "/kv/contract/a").await.expect("the server responds");
    assert_eq!((read.header("etag"), read.body.as_deref()), ("\"3\"", Some(&b"2"[..])));
    let deleted = send("DELETE", to, "/kv/contract/a", &[("If-Match", "\"3\"")], "")
        .await
        .expect("the server responds");
    assert_eq!((deleted.status, deleted.json()), (200, json!({"revision": 5})));
    assert_eq!(get(to, "/kv/contract/a").await.map(|a| a.status), Some(404));
    let list = get(to, "/kv?prefix=contract/").await.expect("the server responds").json();
    assert_eq!(list, json!({"revision": 5, "entries": [{"key": "contract/b", "revision": 2, "value": "1"}]}));
}

/// Guards against a watch that misses a change or a deletion, does not wait, or counts more than one call.
#[actix_rt::test]
async fn a_watch_waits_for_the_next_change() {
    let kv = start();
    let to = kv.address();
    let first = kv.put("a/1", "x");
    let empty =
        get(to, &format!("/kv?prefix=a/&after={first}&wait_ms=30")).await.expect("the server responds");
    assert_eq!(empty.json(), json!({"revision": 1, "entries": []}));
    let watch = actix_rt::spawn(async move { get(to, "/kv?prefix=a/&after=1&wait_ms=8000").await });
    wait_until("two watches have been counted", async || kv.calls().watch == 2).await;
    kv.put("b/1", "other prefix");
    send("DELETE", to, "/kv/a/1", &[("If-Match", "*")], "").await.expect("the server responds");
    let changes = watch.await.expect("the task does not panic").expect("the server responds").json();
    assert_eq!(changes, json!({"revision": 3, "entries": [{"key": "a/1", "revision": 3, "value": null}]}));
    assert_eq!((kv.calls().watch, kv.calls().delete), (2, 1));
}

/// Guards against an expired lease whose keys remain, or that can be renewed or used for a write.
#[actix_rt::test]
async fn a_lapsed_lease_deletes_its_keys() {
    let kv = start();
    let to = kv.address();
    let lease =
        send("POST", to, "/leases", &[], r#"{"ttl_ms":300}"#).await.expect("the server responds").json();
    let id = lease["lease"].to_string();
    let headers = [("If-None-Match", "*"), ("Lease", id.as_str())];
    let written = send("PUT", to, "/kv/claim/a", &headers, "n1-1").await.expect("the server responds");
    assert_eq!(written.status, 200);
    let renewed = send("PUT", to, &format!("/leases/{id}"), &[], "").await.expect("the server responds");
    assert_eq!((renewed.status, kv.list("claim/").entries.len()), (200, 1));
    wait_until("the key is deleted", async || kv.list("claim/").entries.is_empty()).await;
    let late_renewal = send("PUT", to, &format!("/leases/{id}"), &[], "").await.expect("the server responds");
    let late_write = send("PUT", to, "/kv/claim/a", &headers, "n1-1").await.expect("the server responds");
    assert_eq!((late_renewal.status, late_write.status), (404, 404));
}

/// Guards against faults that have no effect or remain after they are cleared.
#[actix_rt::test]
async fn each_fault_shows_once() {
    let kv = start();
    let to = kv.address();
    kv.put("a", "old");

    let watch = actix_rt::spawn(async move { get(to, "/kv?after=1&wait_ms=8000").await });
    wait_until("a watch has been counted", async || kv.calls().watch == 1).await;
    assert!(send("POST", to, "/faults", &[], r#"{"down":true}"#).await.is_some());
    assert!(watch.await.expect("the task does not panic").is_none());
    assert!(get(to, "/kv/a").await.is_none());

    kv.set_faults(KvFaults { slow_ms: 60, ..KvFaults::default() });
    let start = Instant::now();
    assert!(get(to, "/kv/a").await.is_some());
    assert!(start.elapsed() >= Duration::from_millis(60));

    kv.set_faults(KvFaults { lose_answers: 1, ..KvFaults::default() });
    assert_eq!(put(to, "a", ("If-Match", "\"1\""), "new").await, None);
    assert_eq!(kv.list("a").entries[0].value.as_deref(), Some("new"));
    assert_eq!(put(to, "a", ("If-Match", "\"2\""), "newer").await, Some((200, 3)));

    kv.set_faults(KvFaults { stale_reads: true, ..KvFaults::default() });
    assert_eq!(put(to, "a", ("If-Match", "\"3\""), "newest").await, Some((200, 4)));
    assert_eq!(get(to, "/kv/a").await.expect("the server responds").body.as_deref(), Some(&b"newer"[..]));
    kv.set_faults(KvFaults::default());
    assert_eq!(get(to, "/kv/a").await.expect("the server responds").body.as_deref(), Some(&b"newest"[..]));
    let calls = get(to, "/calls").await.expect("the server responds").json();
    assert_eq!((&calls["get"], &calls["put"]), (&json!(4), &json!(3)));
}

/// Guards against a list that is visible before its lag has passed, and a stopped server that keeps its port open.
#[actix_rt::test]
async fn the_vm_list_lags() {
    let vm = |state| VmListing { vms: vec![Vm { name: "trade-1".into(), kind: VmKind::Backend, state }] };
    let worker = Worker::start().expect("the thread starts");
    let vms = VmListService::start(&worker, any_port(), vm(VmState::Live)).expect("the address is free");
    let to = vms.address();
    assert!(send("POST", to, "/faults", &[], r#"{"lag_ms":60000}"#).await.is_some());
    let leaving = r#"{"vms":[{"name":"trade-1","kind":"backend","state":"leaving"}]}"#;
    assert!(send("POST", to, "/vms", &[], leaving).await.is_some());
    assert_eq!(vms.current(), vm(VmState::Leaving));
    assert_eq!(get(to, "/vms").await.expect("the server responds").json()["vms"][0]["state"], "live");
    vms.set_faults(VmListFaults::default());
    assert_eq!(get(to, "/vms").await.expect("the server responds").json()["vms"][0]["state"], "leaving");
    drop(vms);
    assert!(get(to, "/vms").await.is_none());
}
