//! A small deployment on loopback addresses: a store, targets and a daemon.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::daemon::{Daemon, Settings};
use crate::http::{Message, read_message};
use crate::json::Json;
use crate::record::Record;
use crate::store::{Entrance, Store};
use crate::target::{Target, Work};

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// What a case needs of a deployment of the users.
pub struct Site {
    /// Zones with their regions.
    pub zones: &'static [(&'static str, &'static str)],
    /// Daemons, with their zones.
    pub daemons: &'static [(&'static str, &'static str)],
    /// Zones of the targets, one for each.
    pub targets: &'static [&'static str],
    /// Service of the targets.
    pub service: &'static str,
    pub slots: u32,
    /// The sections `vm` and `limits` of the settings.
    pub vm: &'static str,
    pub limits: &'static str,
    /// The configuration.
    pub config: &'static str,
}

/// The large machines of `bfh-topup-grown`, with its routes to `saldo`.
pub const BFH: Site = Site {
    zones: &[("gent-a", "vlaanderen"), ("antwerpen-b", "vlaanderen")],
    daemons: &[("front-gent-a-1", "gent-a")],
    targets: &["gent-a"; 10],
    service: "saldo",
    slots: 6,
    vm: "cpu_share = 0.5\ncore_speed = 1\nlink_mbps = 200.0\nmemory_mb = 512\nmax_fds = 8192",
    limits: "grace = 6s\nconfig_apply = 3000ms\ndrain = 3000ms\nmax_shift = 0.15\nretry_ratio = 0.2\n\
             retry_window = 10s\nretry_slack = 270\ncold_overrun = 1.5\ncold_slack = 8",
    config: r#"{"config_version":"00000007","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"ficu95.example","policy":[{"name":"saldo-check","kind":"safe","aim":"600ms","priority":2,"affinity":true,"match":{"prefix":"/saldo/"},"action":{"service":"saldo","timeout":"1500ms","max_attempts":2,"home_regions":[]}},{"name":"tarieflijst","kind":"download","aim":"500ms","priority":2,"affinity":true,"match":{"prefix":"/tarief/"},"action":{"service":"saldo","max_attempts":2,"home_regions":[]}}]}],"clusters":[{"name":"saldo","health_path":"/health","max_conns":2124,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":7.0}]}"#,
};

/// The machines of the region `muscat` of `mvtc-grid`, with its routes to `order-desk`.
pub const MVTC: Site = Site {
    zones: &[("muscat-a", "muscat"), ("muscat-b", "muscat")],
    daemons: &[
        ("front-muscat-a-1", "muscat-a"),
        ("front-muscat-a-2", "muscat-a"),
        ("front-muscat-b-1", "muscat-b"),
    ],
    targets: &["muscat-a", "muscat-a", "muscat-b", "muscat-b"],
    service: "order-desk",
    slots: 3,
    vm: "cpu_share = 0.2\ncore_speed = 1\nlink_mbps = 1000.0\nmemory_mb = 260\nmax_fds = 4100",
    limits: "grace = 6s\nconfig_apply = 2000ms\ndrain = 2000ms\nmax_shift = 0.15\nretry_ratio = 0.2\n\
             retry_window = 10s\nretry_slack = 60\ncold_overrun = 1.5\ncold_slack = 5",
    config: r#"{"config_version":"00000007","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"ficu95.example","policy":[{"name":"stock-lookup","kind":"safe","aim":"300ms","priority":1,"affinity":true,"match":{"prefix":"/stock/"},"action":{"service":"order-desk","timeout":"2500ms","max_attempts":2,"home_regions":[]}},{"name":"order-post","kind":"unsafe","aim":"400ms","priority":1,"affinity":true,"match":{"prefix":"/order/"},"action":{"service":"order-desk","timeout":"3000ms","max_attempts":2,"home_regions":[]}}]}],"clusters":[{"name":"order-desk","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":3.5}]}"#,
};

/// Four of the machines of `surtidor-uy-grown`, with its routes to `autoriza` and one tenant.
pub const SURTIDOR: Site = Site {
    zones: &[("mvd-a", "montevideo"), ("mvd-b", "montevideo"), ("lit-a", "litoral"), ("nor-a", "norte")],
    daemons: &[
        ("front-mvd-a-1", "mvd-a"),
        ("front-mvd-b-1", "mvd-b"),
        ("front-lit-a-1", "lit-a"),
        ("front-nor-a-1", "nor-a"),
    ],
    targets: &[
        "mvd-a", "mvd-a", "mvd-a", "mvd-b", "mvd-b", "mvd-b", "lit-a", "lit-a", "lit-a", "nor-a", "nor-a",
        "nor-a",
    ],
    service: "autoriza",
    slots: 4,
    vm: "cpu_share = 0.5\ncore_speed = 1\nlink_mbps = 200.0\nmemory_mb = 512\nmax_fds = 8192",
    limits: "grace = 6s\nconfig_apply = 3000ms\ndrain = 3000ms\nmax_shift = 0.15\nretry_ratio = 0.2\n\
             retry_window = 10s\nretry_slack = 166\ncold_overrun = 1.5\ncold_slack = 8\nquota_window = 5s\n\
             quota_overrun = 0.1\nquota_slack = 20",
    config: r#"{"config_version":"00000007","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"tenants":[{"name":"kaje82","api_keys":["dedev3nax7u27gxprymh"],"priority":1,"rate_per_s":100,"burst":100,"home_regions":[]}],"listeners":[{"host":"ficu95.example","policy":[{"name":"balance-check","kind":"safe","aim":"500ms","priority":0,"public":false,"affinity":true,"match":{"prefix":"/balance/"},"action":{"service":"autoriza","timeout":"2000ms","max_attempts":2,"home_regions":[]}}]}],"clusters":[{"name":"autoriza","health_path":"/health","max_conns":1320,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":7.0}]}"#,
};

/// A deployment. Its processes are ended and its folder is removed on drop.
pub struct Deployment {
    pub store: Arc<Store>,
    /// The address of the store for each daemon.
    pub entrances: Vec<Arc<Entrance>>,
    pub targets: Vec<Arc<Target>>,
    pub daemons: Vec<Daemon>,
    pub folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A loopback address that no other run uses at the same time.
pub fn loopback(host: usize) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{host}", 30 + pid / 250 % 200, 1 + pid % 250)
}

impl Deployment {
    /// Starts the stand-ins, and then the daemons. `work` tells what a target does with a request.
    pub fn start(
        record: &Arc<Record>,
        site: &Site,
        work: impl Fn(&Message) -> Work + Clone + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("rig-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start();
        store.write("op/config", site.config);
        let mut targets = Vec::new();
        for (n, zone) in site.targets.iter().enumerate() {
            let (id, address) = (format!("i-{n:08x}"), format!("{}:8080", loopback(10 + n)));
            let target = Target::start(&id, zone, &address, record, work.clone())?;
            store.write(&format!("servers/{id}"), &target.entry(site.service, site.slots, "ready"));
            targets.push(target);
        }
        let mut deployment = Self { store, entrances: Vec::new(), targets, daemons: Vec::new(), folder };
        for (n, (name, zone)) in site.daemons.iter().enumerate() {
            let address = format!("{}:8142", loopback(100 + n));
            deployment.entrances.push(deployment.store.open(&address)?);
            let region = site.zones.iter().find(|(z, _)| z == zone).map_or("", |(_, r)| r);
            let settings = Settings {
                name,
                ip: &loopback(50 + n),
                region,
                zone,
                zones: site.zones,
                store: &address,
                vm: site.vm,
                limits: site.limits,
            };
            let daemon = Daemon::start(&settings, &deployment.folder)?;
            record.line(&format!("daemon {name} in {zone} is ready, process {}", daemon.pid()));
            deployment.daemons.push(daemon);
        }
        Ok(deployment)
    }
}

/// A connection of a client to the daemon.
pub struct Connection {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection.
    pub fn open(address: &str) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a text.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}

/// Text of a GET request, which keeps its connection open.
pub fn get(path: &str, attempt: &str, key: &str, deadline_ms: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Affinity-Key: {key}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Asks the directory of a daemon where clients of a zone should connect.
pub fn resolve(directory: &str, region: &str, zone: &str) -> io::Result<Vec<String>> {
    let mut connection = Connection::open(directory)?;
    connection.send(&format!(
        "GET /api/resolve?name={HOST}&region={region}&zone={zone} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    ))?;
    let answer = read_message(&mut connection.reader)?;
    let body = Json::parse(&answer.body).ok_or(io::ErrorKind::InvalidData)?;
    let texts = body.list("addresses").iter().filter_map(|a| match a {
        Json::Text(text) => Some(text.clone()),
        _ => None,
    });
    Ok(texts.collect())
}
