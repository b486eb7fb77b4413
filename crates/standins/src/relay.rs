//! Link relay: forwards TCP and UDP between loopback networks with the delay, bandwidth and faults of links.
//!
//! Each place (a failure domain, the platform, the clients of a region) has a loopback /24 network. The networks of
//! the sender and of the target decide the link. Outgoing connections keep the IP address of the sender, so the
//! target sees it. `GET /links` lists [`LinkStatus`]; `POST /links` takes a [`LinkChange`].
//!
//! The front accepts a connection before the target does. So that callers see a target that refuses connections,
//! the front closes its listener after a refused connection and opens it again when the target accepts.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener as StdListener, UdpSocket as StdUdpSocket};
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::http::{Handler, Limits, Reply, Request, Response, serve};
use crate::worker::{Task, Timer, Worker, bind};

/// Most bytes read at once; at 280 Mbit/s they take 2 ms.
const CHUNK_BYTES: usize = 64 << 10;
/// Chunks under way in one direction of a connection: 16 MiB, above 4,000 Mbit/s times 12 ms.
const QUEUE_CHUNKS: usize = 256;
/// Datagrams under way in one direction between two sockets; more are dropped.
const QUEUE_DATAGRAMS: usize = 1024;
/// A datagram that would wait longer for bandwidth is dropped, as a router with a bounded queue does.
const DATAGRAM_WAIT: Duration = Duration::from_millis(200);
/// Unused bandwidth that is kept, so that late wake-ups do not lower the rate.
const BURST: Duration = Duration::from_millis(5);
/// Pause between attempts to reach a target that refused a connection.
const PROBE_PERIOD: Duration = Duration::from_millis(20);

/// One end of links, written as `region/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Place {
    /// Region, one end of a shared bandwidth.
    pub region: String,
    /// Name inside the region.
    pub name: String,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.region, self.name)
    }
}

impl FromStr for Place {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let (region, name) = s.split_once('/').ok_or("a place has the form region/name")?;
        Ok(Self { region: region.into(), name: name.into() })
    }
}

impl TryFrom<String> for Place {
    type Error = String;

    fn try_from(s: String) -> Result<Self, String> {
        s.parse()
    }
}

impl From<Place> for String {
    fn from(place: Place) -> Self {
        place.to_string()
    }
}

/// The loopback network of a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceNetwork {
    /// The place.
    pub place: Place,
    /// Any address of its /24 network.
    pub network: Ipv4Addr,
}

/// One-way delay from one place to another; 0 if not given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkDelay {
    /// Where traffic leaves.
    pub from: Place,
    /// Where traffic arrives.
    pub to: Place,
    /// Delay in ms.
    pub delay_ms: u64,
}

/// Bandwidth that all traffic from one region to another shares; unlimited if not given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkBandwidth {
    /// Region where traffic leaves.
    pub from: String,
    /// Region where traffic arrives.
    pub to: String,
    /// Bandwidth in kbit/s.
    pub kbit: u64,
}

/// An address that the relay listens on for a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Front {
    /// Where the relay listens.
    pub front: SocketAddr,
    /// Where it forwards to.
    pub target: SocketAddr,
    /// Whether it forwards UDP too.
    #[serde(default)]
    pub udp: bool,
}

/// Everything a relay needs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayConfig {
    /// Places; traffic from elsewhere is dropped.
    pub places: Vec<PlaceNetwork>,
    /// Delays.
    pub delays: Vec<LinkDelay>,
    /// Bandwidths.
    pub bandwidths: Vec<LinkBandwidth>,
    /// Fronts.
    pub fronts: Vec<Front>,
    /// Time in ms after which connections over a cut link are closed.
    pub stall_ms: u64,
    /// Seed of the datagram losses.
    pub seed: u64,
}

/// Changes every link whose ends match. An end is `region/name`, a region, or `*` for every place that the other
/// end does not match. Fields that are absent stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkChange {
    /// Where traffic leaves.
    pub from: String,
    /// Where traffic arrives.
    pub to: String,
    /// Changes the opposite direction too.
    #[serde(default)]
    pub both_ways: bool,
    /// Cuts or heals.
    #[serde(default)]
    pub cut: Option<bool>,
    /// One-way delay in ms.
    #[serde(default)]
    pub delay_ms: Option<u64>,
    /// Part of UDP datagrams that are lost, in percent.
    #[serde(default)]
    pub loss_percent: Option<f64>,
    /// Bandwidth in kbit/s of the pairs of regions that have one.
    #[serde(default)]
    pub kbit: Option<u64>,
}

impl LinkChange {
    /// Cuts or heals both directions between two ends.
    pub fn with_cut(from: &str, to: &str, cut: bool) -> Self {
        Self { from: from.into(), to: to.into(), both_ways: true, cut: Some(cut), ..Self::default() }
    }

    fn concerns(&self, from: &Place, to: &Place) -> bool {
        let matches = |end: &str, place: &Place| match end.split_once('/') {
            Some((region, name)) => region == place.region && name == place.name,
            None => end == place.region,
        };
        let forward = |a: &Place, b: &Place| match (self.from.as_str(), self.to.as_str()) {
            ("*", "*") => a != b,
            ("*", to) => !matches(to, a) && matches(to, b),
            (from, "*") => matches(from, a) && !matches(from, b),
            (from, to) => matches(from, a) && matches(to, b),
        };
        forward(from, to) || self.both_ways && forward(to, from)
    }
}

/// One link as `GET /links` lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Where traffic leaves.
    pub from: Place,
    /// Where traffic arrives.
    pub to: Place,
    /// Whether it is cut.
    pub cut: bool,
    /// One-way delay in ms.
    pub delay_ms: u64,
    /// Part of UDP datagrams that are lost, in percent.
    pub loss_percent: f64,
    /// Payload bytes that were sent.
    pub bytes: u64,
}

/// A running relay; dropping it closes its fronts and connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    fronts: Vec<SocketAddr>,
    network: Arc<Network>,
    _task: Task,
}

impl Relay {
    /// Starts every front, and the control interface on `address`. Ports 0 let the system choose.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a target is in no place.
    pub fn start(worker: &Arc<Worker>, address: SocketAddr, config: RelayConfig) -> io::Result<Self> {
        let (control, address) = bind(address)?;
        let mut fronts = Vec::new();
        let mut listeners = Vec::new();
        let network = Arc::new(Network::new(&config, &worker.timer()));
        for front in &config.fronts {
            if network.place(front.target.ip()).is_none() {
                let message = format!("{} is in no place", front.target);
                return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
            }
            let (listener, address) = bind(front.front)?;
            let udp = if front.udp { Some(StdUdpSocket::bind(address)?) } else { None };
            if let Some(udp) = &udp {
                udp.set_nonblocking(true)?;
            }
            listeners.push((listener, udp, front.target));
            fronts.push(address);
        }
        let net = Arc::clone(&network);
        let task = worker.spawn(async move {
            let mut tasks = JoinSet::new();
            for (listener, udp, target) in listeners {
                tasks.spawn(relay_tcp(listener, target, Arc::clone(&net)));
                if let Some(udp) = udp {
                    tasks.spawn(relay_udp(udp, target, Arc::clone(&net)));
                }
            }
            serve(control, net, Limits::default()).await;
        });
        Ok(Self { address, fronts, network, _task: task })
    }

    /// Where the control interface listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Addresses of the fronts, in the order of the configuration.
    pub fn fronts(&self) -> &[SocketAddr] {
        &self.fronts
    }

    /// Changes links.
    pub fn change(&self, change: &LinkChange) {
        self.network.change(change);
    }

    /// All links.
    pub fn links(&self) -> Vec<LinkStatus> {
        self.network.status()
    }
}

#[derive(Debug)]
struct Network {
    places: Vec<PlaceNetwork>,
    links: BTreeMap<(Place, Place), Arc<Link>>,
    stall: Duration,
}

#[derive(Debug)]
struct Link {
    state: watch::Sender<LinkState>,
    traffic: Mutex<Traffic>,
    bandwidth: Option<Arc<Mutex<Bandwidth>>>,
    timer: Timer,
}

#[derive(Debug, Clone, Copy, Default)]
struct LinkState {
    cut: bool,
    delay: Duration,
    loss_percent: f64,
}

#[derive(Debug)]
struct Traffic {
    bytes: u64,
    rng: Pcg32,
}

/// Token bucket over bytes, kept as the time when everything accepted so far has been sent.
#[derive(Debug)]
struct Bandwidth {
    bytes_per_second: f64,
    free_at: Instant,
}

impl Bandwidth {
    fn set_kbit(&mut self, kbit: u64) {
        self.bytes_per_second = kbit.max(1) as f64 * 125.0;
    }

    /// Time when `bytes` more have been sent.
    fn reserve(&mut self, bytes: usize) -> Instant {
        let earliest = Instant::now().checked_sub(BURST).unwrap_or(self.free_at);
        self.free_at =
            self.free_at.max(earliest) + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        self.free_at
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl Link {
    fn state(&self) -> LinkState {
        *self.state.borrow()
    }

    async fn healed(&self) {
        // The sender is a field of `self`, so the channel is open.
        let _ = self.state.subscribe().wait_for(|s| !s.cut).await;
    }

    /// Returns once the link has been cut for `time` without a break.
    async fn stalled(&self, time: Duration) {
        let mut state = self.state.subscribe();
        loop {
            let _ = state.wait_for(|s| s.cut).await;
            tokio::select! {
                () = sleep(time) => return,
                _ = state.wait_for(|s| !s.cut) => {}
            }
        }
    }

    /// Counts the bytes and gives the time when the link has sent them.
    fn send(&self, bytes: usize) -> Instant {
        lock(&self.traffic).bytes += bytes as u64;
        self.bandwidth.as_ref().map_or_else(Instant::now, |b| lock(b).reserve(bytes))
    }

    /// Time of arrival of a datagram, or `None` if it is lost.
    fn send_datagram(&self, bytes: usize) -> Option<Instant> {
        let state = self.state();
        let now = Instant::now();
        let is_lost = lock(&self.traffic).rng.random_bool((state.loss_percent / 100.0).clamp(0.0, 1.0));
        let is_full = self.bandwidth.as_ref().is_some_and(|b| lock(b).free_at > now + DATAGRAM_WAIT);
        if state.cut || is_lost || is_full {
            return None;
        }
        Some(self.send(bytes).max(now) + state.delay)
    }
}

impl Network {
    fn new(config: &RelayConfig, timer: &Timer) -> Self {
        let now = Instant::now();
        let mut shared = BTreeMap::new();
        for b in &config.bandwidths {
            let mut bandwidth = Bandwidth { bytes_per_second: 0.0, free_at: now };
            bandwidth.set_kbit(b.kbit);
            shared.insert((&b.from, &b.to), Arc::new(Mutex::new(bandwidth)));
        }
        let mut links = BTreeMap::new();
        for (i, from) in config.places.iter().enumerate() {
            for (j, to) in config.places.iter().enumerate() {
                let seed = config.seed.wrapping_add((i * config.places.len() + j) as u64);
                let traffic = Traffic { bytes: 0, rng: Pcg32::seed_from_u64(seed) };
                let bandwidth = shared.get(&(&from.place.region, &to.place.region)).cloned();
                let state = watch::Sender::new(LinkState::default());
                let timer = timer.clone();
                let link = Link { state, traffic: Mutex::new(traffic), bandwidth, timer };
                links.insert((from.place.clone(), to.place.clone()), Arc::new(link));
            }
        }
        for delay in &config.delays {
            let Some(link) = links.get(&(delay.from.clone(), delay.to.clone())) else { continue };
            link.state.send_modify(|s| s.delay = Duration::from_millis(delay.delay_ms));
        }
        Self { places: config.places.clone(), links, stall: Duration::from_millis(config.stall_ms) }
    }

    fn place(&self, ip: IpAddr) -> Option<&Place> {
        let IpAddr::V4(ip) = ip else { return None };
        let spec = self.places.iter().find(|spec| spec.network.octets()[..3] == ip.octets()[..3])?;
        Some(&spec.place)
    }

    /// Links to the target and back.
    fn links(&self, source: IpAddr, target: IpAddr) -> Option<(Arc<Link>, Arc<Link>)> {
        let (source, target) = (self.place(source)?.clone(), self.place(target)?.clone());
        let there = self.links.get(&(source.clone(), target.clone()))?;
        Some((Arc::clone(there), Arc::clone(self.links.get(&(target, source))?)))
    }

    fn change(&self, change: &LinkChange) {
        for ((from, to), link) in &self.links {
            if !change.concerns(from, to) {
                continue;
            }
            link.state.send_modify(|s| {
                s.cut = change.cut.unwrap_or(s.cut);
                s.delay = change.delay_ms.map_or(s.delay, Duration::from_millis);
                s.loss_percent = change.loss_percent.unwrap_or(s.loss_percent);
            });
            if let (Some(kbit), Some(bandwidth)) = (change.kbit, &link.bandwidth) {
                lock(bandwidth).set_kbit(kbit);
            }
        }
    }

    fn status(&self) -> Vec<LinkStatus> {
        let mut list = Vec::new();
        for ((from, to), link) in &self.links {
            let LinkState { cut, delay, loss_percent } = link.state();
            let bytes = lock(&link.traffic).bytes;
            let delay_ms = delay.as_millis() as u64;
            list.push(LinkStatus { from: from.clone(), to: to.clone(), cut, delay_ms, loss_percent, bytes });
        }
        list
    }
}

impl Handler for Network {
    async fn handle(&self, req: Request) -> Reply {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/links") => Response::json(200, &self.status()).into(),
            ("POST", "/links") => req.apply(|change| self.change(&change)),
            _ => Response::error(404, "no such resource").into(),
        }
    }
}

/// What became of the connection to the target.
enum TargetConnection {
    Ended,
    Refused,
}

async fn relay_tcp(listener: StdListener, target: SocketAddr, net: Arc<Network>) {
    let mut listener = TcpListener::from_std(listener).expect("the worker runs a runtime with network I/O");
    let front = listener.local_addr().expect("a bound socket has an address");
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(end) = connections.join_next(), if !connections.is_empty() => {
                let Ok(TargetConnection::Refused) = end else { continue };
                drop(listener);
                while TcpStream::connect(target).await.is_err() {
                    sleep(PROBE_PERIOD).await;
                }
                listener = loop {
                    match TcpListener::bind(front).await {
                        Ok(listener) => break listener,
                        Err(_) => sleep(PROBE_PERIOD).await,
                    }
                };
            }
            accepted = listener.accept() => {
                let Ok((stream, source)) = accepted else { continue };
                let Some(links) = net.links(source.ip(), target.ip()) else { continue };
                connections.spawn(relay_connection(stream, source.ip(), target, links, net.stall));
            }
        }
    }
}

async fn relay_connection(
    stream: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    (there, back): (Arc<Link>, Arc<Link>),
    stall: Duration,
) -> TargetConnection {
    let relayed = async {
        // The handshake takes a round trip before the first data can leave.
        there.timer.sleep(there.state().delay + back.state().delay).await;
        there.healed().await;
        back.healed().await;
        let Ok(upstream) = connect_from(source, target).await else { return TargetConnection::Refused };
        let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
        let (from_source, to_source) = stream.into_split();
        let (from_target, to_target) = upstream.into_split();
        let _ = tokio::join!(pump(from_source, to_target, &there), pump(from_target, to_source, &back));
        TargetConnection::Ended
    };
    tokio::select! {
        end = relayed => end,
        () = there.stalled(stall) => TargetConnection::Ended,
        () = back.stalled(stall) => TargetConnection::Ended,
    }
}

async fn connect_from(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(target).await
}

/// Forwards one direction; the end of the stream travels like data.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, link: &Link) -> io::Result<()> {
    let (tx, mut rx) = mpsc::channel::<(Instant, Bytes)>(QUEUE_CHUNKS);
    let read = async move {
        let mut buf = BytesMut::new();
        loop {
            buf.reserve(CHUNK_BYTES);
            let n = from.read_buf(&mut buf).await.unwrap_or(0);
            link.healed().await;
            if n > 0 {
                link.timer.sleep_until(link.send(n)).await;
            }
            let arrival = Instant::now() + link.state().delay;
            if tx.send((arrival, buf.split().freeze())).await.is_err() || n == 0 {
                return Ok(());
            }
        }
    };
    let write = async move {
        while let Some((arrival, chunk)) = rx.recv().await {
            link.timer.sleep_until(arrival).await;
            link.healed().await;
            if chunk.is_empty() {
                to.shutdown().await?;
                break;
            }
            to.write_all(&chunk).await?;
        }
        Ok(())
    };
    tokio::try_join!(read, write).map(|_| ())
}

/// Datagrams in one direction, by time of arrival.
type Datagrams = mpsc::Sender<(Instant, Bytes)>;

async fn relay_udp(socket: StdUdpSocket, target: SocketAddr, net: Arc<Network>) {
    let front = Arc::new(UdpSocket::from_std(socket).expect("the worker runs a runtime with network I/O"));
    let mut flows: HashMap<SocketAddr, (Arc<Link>, Datagrams)> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok((n, source)) = front.recv_from(&mut buf).await else { continue };
        if let Entry::Vacant(flow) = flows.entry(source) {
            let Some((there, back)) = net.links(source.ip(), target.ip()) else { continue };
            let Ok(upstream) = UdpSocket::bind(SocketAddr::new(source.ip(), 0)).await.map(Arc::new) else {
                continue;
            };
            let to_target = queue(&mut tasks, Arc::clone(&there), Arc::clone(&upstream), target);
            let to_source = queue(&mut tasks, Arc::clone(&back), Arc::clone(&front), source);
            tasks.spawn(relay_answers(upstream, back, to_source));
            flow.insert((there, to_target));
        }
        let (link, datagrams) = &flows[&source];
        forward(link, datagrams, &buf[..n]);
    }
}

async fn relay_answers(upstream: Arc<UdpSocket>, link: Arc<Link>, datagrams: Datagrams) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok((n, _)) = upstream.recv_from(&mut buf).await else { continue };
        forward(&link, &datagrams, &buf[..n]);
    }
}

fn forward(link: &Link, datagrams: &Datagrams, bytes: &[u8]) {
    let Some(arrival) = link.send_datagram(bytes.len()) else { return };
    // A full queue drops the datagram.
    let _ = datagrams.try_send((arrival, Bytes::copy_from_slice(bytes)));
}

/// Starts a task that delivers datagrams when they arrive; a cut loses those under way.
fn queue(tasks: &mut JoinSet<()>, link: Arc<Link>, socket: Arc<UdpSocket>, to: SocketAddr) -> Datagrams {
    let (tx, mut rx) = mpsc::channel::<(Instant, Bytes)>(QUEUE_DATAGRAMS);
    tasks.spawn(async move {
        while let Some((arrival, datagram)) = rx.recv().await {
            link.timer.sleep_until(arrival).await;
            if !link.state().cut {
                let _ = socket.send_to(&datagram, to).await;
            }
        }
    });
    tx
}
