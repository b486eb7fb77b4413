//! A configuration that the operator writes together with an evacuation, and that one daemon never applies (rule CONFIG).

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{Connection, Deployment, MVTC, get};
use crate::http::read_message;
use crate::record::Record;
use crate::target::Work;

/// Number of routes that get no requests; the site file names it.
const IDLE_ROUTES: usize = 8;
/// Bound of a configuration.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time for which the new route is asked for after the bound.
const OBSERVED: Duration = Duration::from_secs(12);

/// Plays the case. Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let deployment =
        Deployment::start(record, &MVTC, |_| Work { time: Duration::from_millis(30), bytes: 300 })?;
    // The daemons learn of each other and choose who watches the store for the others of a zone.
    sleep(Duration::from_secs(6));
    let route = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"safe\",\"aim\":\"300ms\",\"priority\":1,\"affinity\":true,\
             \"match\":{{\"prefix\":\"/{name}/\"}},\"action\":{{\"service\":\"order-desk\",\
             \"timeout\":\"2500ms\",\"max_attempts\":2,\"home_regions\":[]}}}},"
        )
    };
    let mut routes: String = (0..IDLE_ROUTES).map(|n| route(&format!("idle-{n}"))).collect();
    routes.push_str(&route("added"));
    let config = MVTC.config.replace("00000007", "00000009");
    let config = config.replace("\"policy\":[", &format!("\"policy\":[{routes}"));
    if has_trouble {
        deployment.store.write_together(&[("op/evacuate/muscat-b", "{}"), ("op/config", &config)]);
        record.line("the operator writes op/evacuate/muscat-b and op/config in one transaction");
    } else {
        deployment.store.write("op/evacuate/muscat-b", "{}");
        deployment.store.write("op/config", &config);
        record.line("the operator writes op/evacuate/muscat-b, then op/config");
    }
    let acknowledged = Instant::now();
    sleep(CONFIG_APPLY);
    let mut refused = 0;
    for n in 0.. {
        if acknowledged.elapsed() > CONFIG_APPLY + OBSERVED {
            break;
        }
        for (daemon, (name, _)) in deployment.daemons.iter().zip(MVTC.daemons) {
            let attempt = format!("{name}-{n}");
            let mut connection = Connection::open(&daemon.front)?;
            connection.send(&get(&format!("/added/{n}"), &attempt, &n.to_string(), 2_500))?;
            let status = read_message(&mut connection.reader)?.status();
            let after = acknowledged.elapsed().as_millis();
            record.line(&format!(
                "{attempt} on the new route gets {status}, {after} ms after the acknowledgement"
            ));
            refused += usize::from(status == 404);
        }
        sleep(Duration::from_millis(400));
    }
    record.line(&format!("{refused} requests on the new route got 404 after the bound"));
    println!("{refused} requests on the new route got 404 after the bound");
    Ok(refused > 0)
}
