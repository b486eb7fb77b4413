//! Tests of deployments: sizes, addresses, and all stand-ins in one process.

mod common;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use common::{TIMEOUT, get};
use medlarstair_standins::{Deployment, Front};

/// Kills the child process when dropped, also after a failed assertion.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill().and_then(|()| self.0.wait());
    }
}

/// Guards against a deployment that differs from the design document or uses an address twice.
#[test]
fn deployments_have_their_sizes() {
    let expected = [("consortium", [20, 12], 96, 12, 4_000_000), ("authority", [20, 16], 108, 35, 280_000)];
    for (name, backends, slots, delay, kbit) in expected {
        let d = Deployment::named(name, 251).expect("the deployment exists");
        assert_eq!(d.services.iter().map(|s| s.backends.len()).collect::<Vec<_>>(), backends);
        assert_eq!((d.total_slots(), d.region_delay_ms, d.region_kbit), (slots, delay, kbit));
        let per_region = |r: &String| d.entries.iter().filter(|e| e.place.region == *r).count();
        assert_eq!(d.regions.iter().map(per_region).collect::<Vec<_>>(), [2, 2, 3]);
        let domains: BTreeSet<_> = d.entries.iter().map(|e| &e.place).collect();
        assert_eq!(domains.len(), 6, "each failure domain has an entry VM");
        assert_eq!(d.backends().map(|b| &b.place).collect::<BTreeSet<_>>(), domains);
        let fronts = d.relay_config().fronts;
        let addresses: BTreeSet<_> =
            fronts.iter().flat_map(|Front { front, target, .. }| [front, target]).collect();
        assert_eq!(addresses.len(), 2 * (2 + 2 * 7 + backends[0] + backends[1]));
    }
    assert!(Deployment::named("other", 251).is_none());
}

/// Guards against fronts that do not forward to their target, missing delays and missing initial keys.
#[actix_rt::test]
async fn the_authority_runs_in_one_process() {
    let d = Deployment::authority(252);
    let running = d.start().expect("the addresses are free");
    let outgoing = d.entries[0].outgoing;
    let connector = Connector::new().local_address(outgoing).timeout(TIMEOUT);
    let client = Client::builder().connector(connector).timeout(TIMEOUT).finish();
    let kv = client
        .get(format!("http://{}/kv?prefix=", d.kv.front))
        .send()
        .await
        .expect("the server responds")
        .body()
        .await;
    let list: serde_json::Value =
        serde_json::from_slice(&kv.expect("the body is complete")).expect("the content is JSON");
    assert_eq!(list["entries"].as_array().map(Vec::len), Some(2 + 3 + 2));
    assert!(client.get(format!("http://{}/vms", d.vms.front)).send().await.is_ok());
    for plan in d.backends() {
        let start = Instant::now();
        let response = client.get(format!("http://{}/health", plan.http.front)).send().await;
        assert_eq!(response.expect("the server responds").status(), 200, "{}", plan.name);
        if plan.place.region != d.regions[0] {
            assert!(start.elapsed() >= Duration::from_millis(4 * 35), "{}", plan.name);
        }
    }
    assert_eq!(running.backends.len(), 36);
}

/// Guards against a program that does not start, or that writes other values than it serves.
#[actix_rt::test]
async fn the_program_writes_the_content_and_serves_it() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("deployment");
    let mut child = ChildGuard(
        Command::new(env!("CARGO_BIN_EXE_standin"))
            .args(["deployment", "consortium", "--block", "253", "--dir"])
            .arg(&dir)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts"),
    );
    let mut line = String::new();
    BufReader::new(child.0.stdout.take().expect("standard output is a pipe"))
        .read_line(&mut line)
        .expect("the program writes to standard output");
    let file = std::fs::read(dir.join("deployment.json")).expect("deployment.json exists");
    let d: Deployment = serde_json::from_slice(&file).expect("the file holds a deployment");
    let served = get(d.kv.real, "/kv/config/fleet").await.map(|response| response.json());
    drop(child);
    assert!(line.starts_with("ready"), "{line}");
    let written = std::fs::read(dir.join("kv/config/fleet.json")).expect("fleet.json exists");
    assert_eq!(served, Some(serde_json::from_slice(&written).expect("the content is JSON")));
}
