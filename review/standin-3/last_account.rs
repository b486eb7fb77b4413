//! The operator removes the last tenant. The daemon runs requests with its key and with unknown keys.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Answer, Daemon, Record, Route, SURTIDOR, Target, call, config};
use crate::store::Store;

const HOST: &str = "a.example";
const SERVICE: &str = "extracto";

/// The bound `config_apply` of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

/// Key of the tenant, which the second configuration drops.
const KEY: &str = "5f2a77c09be14d63";

/// Key that no configuration holds.
const UNKNOWN_KEY: &str = "0000000000000000";

const REQUESTS: usize = 10;

pub fn run(record: &Arc<Record>, dir: &Path, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", Some(&config_with_tenants(7, true)));
    let log = Arc::clone(record);
    let target = Target::start(
        "i-0",
        record,
        Arc::new(move |message| {
            log.line(&format!(
                "target i-0 got Authorization {:?} and X-Tenant {:?}",
                message.header("authorization"),
                message.header("x-tenant")
            ));
            Answer::Respond(Duration::from_millis(20), b"statement".to_vec())
        }),
    );
    store.put("servers/i-0", Some(&target.entry(SERVICE, "mvd-a", "ready", 1)));
    let entrance = store.entrance();
    let Some(daemon) = Daemon::start(&SURTIDOR, dir, "front-mvd-a-1", "mvd-a", entrance.address) else {
        return Verdict::NotRun;
    };
    thread::sleep(CONFIG_APPLY);
    let send = |attempt: &str, key: &str| {
        let request = format!(
            "GET /statement/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Affinity-Key: 1\r\n\
             X-Deadline-Ms: 4000\r\nX-Tenant: other\r\nAuthorization: Bearer {key}\r\n\r\n"
        );
        let status = call(daemon.front, &request).map_or(0, |answer| answer.status());
        record.line(&format!("{attempt}: answered {status}"));
        status
    };
    if send("first-with-key", KEY) != 200 || send("first-with-unknown-key", UNKNOWN_KEY) != 401 {
        return Verdict::NotRun;
    }
    store.put("op/config", Some(&config_with_tenants(8, !trouble)));
    record.line("version 8 is acknowledged");
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    let (mut unknown, mut dropped) = (0, 0);
    for n in 0..REQUESTS {
        unknown += usize::from(send(&format!("unknown-key-{n}"), UNKNOWN_KEY) == 200);
        if trouble {
            dropped += usize::from(send(&format!("dropped-key-{n}"), KEY) == 200);
        }
    }
    record.line(&format!("{unknown} requests ran whose key no configuration ever held (ROUTE)"));
    record.line(&format!("{dropped} requests ran whose key was dropped (CONFIG)"));
    if unknown + dropped > 0 { Verdict::Broken } else { Verdict::Held }
}

/// A configuration with the only tenant, or with the list of tenants empty.
fn config_with_tenants(version: u32, has_tenant: bool) -> String {
    let route = Route {
        name: "statement-pull",
        kind: "safe",
        prefix: "/statement/",
        aim_ms: 3_000,
        timeout_ms: Some(4_000),
        service: SERVICE,
    };
    let text = config(version, HOST, &[route], &[SERVICE]);
    let tenant =
        if has_tenant { format!("{{\"name\":\"coop\",\"api_keys\":[\"{KEY}\"]}}") } else { String::new() };
    format!("{},\"tenants\":[{tenant}]}}", text.strip_suffix('}').unwrap_or(&text))
}
