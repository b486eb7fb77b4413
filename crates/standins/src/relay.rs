//! Link relay, a proxy that simulates network links. It forwards TCP and UDP between loopback networks with the delay,
//! bandwidth and faults of each link.
//!
//! Each place (a failure domain, the platform or the clients of a region) has a loopback /24 network. The networks of
//! the source and of the target determine the link. Connections to the target use the source IP address of the client,
//! so that the target sees it. `GET /links` returns a list of [`LinkStatus`], and `POST /links` takes a [`LinkChange`].
//!
//! A front is an address on which the relay listens for a target. It accepts a connection before the target does. To
//! make a target that refuses connections visible to clients, the front closes its listener after a refused connection
//! and opens it again when the target accepts connections.

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

/// Maximum number of bytes per read, which take 2 ms at 280 Mbit/s.
const CHUNK_BYTES: usize = 64 << 10;
/// Chunks in flight in one direction of a connection. They hold 16 MiB, more than the bandwidth-delay product of
/// 4,000 Mbit/s and 12 ms.
const QUEUE_CHUNKS: usize = 256;
/// Datagrams in flight in one direction between two sockets; more are dropped.
const QUEUE_DATAGRAMS: usize = 1024;
/// Maximum time that a datagram waits for bandwidth. Datagrams that would wait longer are dropped, as by a router with
/// a bounded queue.
const MAX_DATAGRAM_WAIT: Duration = Duration::from_millis(200);
/// Burst size of the token bucket as a time at full rate, so that late wake-ups do not reduce the throughput.
const BURST: Duration = Duration::from_millis(5);
/// Interval between attempts to connect to a target that refused a connection.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// One end of a link, written as `region/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Place {
    /// Region. All links between two regions share their bandwidth.
    pub region: String,
    /// Name, unique in the region.
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
        let (region, name) = s.split_once('/').ok_or("expected a place in the form region/name")?;
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
    /// Place that has the network.
    pub place: Place,
    /// Any address of its /24 network.
    pub network: Ipv4Addr,
}

/// One-way delay from one place to another. Links without an entry have no delay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkDelay {
    /// Place where traffic leaves.
    pub from: Place,
    /// Place where traffic arrives.
    pub to: Place,
    /// Delay in ms.
    pub delay_ms: u64,
}

/// Bandwidth that all traffic from one region to another shares. Pairs of regions without an entry have no limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkBandwidth {
    /// Region where traffic leaves.
    pub from: String,
    /// Region where traffic arrives.
    pub to: String,
    /// Bandwidth in kbit/s.
    pub kbit: u64,
}

/// Address on which the relay listens for a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Front {
    /// Listen address of the relay. With port 0 the system chooses the port.
    pub front: SocketAddr,
    /// Address to which the relay forwards. It must be in the network of a place.
    pub target: SocketAddr,
    /// Whether to forward UDP as well as TCP.
    #[serde(default)]
    pub udp: bool,
}

/// Configuration of a relay.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayConfig {
    /// Places with their networks. Traffic from other networks is dropped.
    pub places: Vec<PlaceNetwork>,
    /// Delays of links.
    pub delays: Vec<LinkDelay>,
    /// Bandwidths between regions.
    pub bandwidths: Vec<LinkBandwidth>,
    /// Listen addresses and their targets.
    pub fronts: Vec<Front>,
    /// Time in ms after which connections over a cut link are closed.
    pub stall_ms: u64,
    /// Seed of the random number generators for datagram loss.
    pub seed: u64,
}

/// Change of all links whose ends match. A pattern is `region/name`, a region, or `*` for every place that the
/// pattern of the other end does not match. Properties whose field is absent are not changed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkChange {
    /// Pattern of the place where traffic leaves.
    pub from: String,
    /// Pattern of the place where traffic arrives.
    pub to: String,
    /// Whether to change the opposite direction as well.
    #[serde(default)]
    pub both_ways: bool,
    /// Whether the links are cut, so that they pass no traffic.
    #[serde(default)]
    pub cut: Option<bool>,
    /// One-way delay in ms.
    #[serde(default)]
    pub delay_ms: Option<u64>,
    /// Share of UDP datagrams that are lost, in percent.
    #[serde(default)]
    pub loss_percent: Option<f64>,
    /// Bandwidth in kbit/s. Pairs of regions without a bandwidth limit are not changed.
    #[serde(default)]
    pub kbit: Option<u64>,
}

impl LinkChange {
    /// Returns a change that cuts both directions between two ends, or restores them if `cut` is false.
    pub fn with_cut(from: &str, to: &str, cut: bool) -> Self {
        Self { from: from.into(), to: to.into(), both_ways: true, cut: Some(cut), ..Self::default() }
    }

    fn applies_to(&self, from: &Place, to: &Place) -> bool {
        let matches = |pattern: &str, place: &Place| match pattern.split_once('/') {
            Some((region, name)) => region == place.region && name == place.name,
            None => pattern == place.region,
        };
        let applies_one_way = |a: &Place, b: &Place| match (self.from.as_str(), self.to.as_str()) {
            ("*", "*") => a != b,
            ("*", to) => !matches(to, a) && matches(to, b),
            (from, "*") => matches(from, a) && !matches(from, b),
            (from, to) => matches(from, a) && matches(to, b),
        };
        applies_one_way(from, to) || self.both_ways && applies_one_way(to, from)
    }
}

/// Status of one link in the response to `GET /links`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Place where traffic leaves.
    pub from: Place,
    /// Place where traffic arrives.
    pub to: Place,
    /// Whether the link is cut.
    pub cut: bool,
    /// One-way delay in ms.
    pub delay_ms: u64,
    /// Share of UDP datagrams that are lost, in percent.
    pub loss_percent: f64,
    /// Number of payload bytes sent since the start, without lost datagrams.
    pub bytes: u64,
}

/// Handle of a running relay. Dropping it closes all listeners and connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    fronts: Vec<SocketAddr>,
    network: Arc<Network>,
    _task: Task,
}

impl Relay {
    /// Starts listening on every front, and on `address` for the control interface.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a target is not in the network of a place.
    pub fn start(worker: &Arc<Worker>, address: SocketAddr, config: RelayConfig) -> io::Result<Self> {
        let (control, address) = bind(address)?;
        let mut fronts = Vec::new();
        let mut listeners = Vec::new();
        let network = Arc::new(Network::new(&config, &worker.timer()));
        for front in &config.fronts {
            if network.place(front.target.ip()).is_none() {
                let message = format!("target {} is not in the network of a place", front.target);
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

    /// Returns the listen address of the control interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the listen addresses of the fronts in the order of the configuration.
    pub fn fronts(&self) -> &[SocketAddr] {
        &self.fronts
    }

    /// Applies a change to all links that it matches.
    pub fn change(&self, change: &LinkChange) {
        self.network.change(change);
    }

    /// Returns the status of all links.
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

/// Token bucket of bytes, stored as the time at which all bytes accepted so far have been sent.
#[derive(Debug)]
struct Bandwidth {
    bytes_per_second: f64,
    free_at: Instant,
}

impl Bandwidth {
    fn set_kbit(&mut self, kbit: u64) {
        self.bytes_per_second = kbit.max(1) as f64 * 125.0;
    }

    /// Accepts `bytes` and returns the time at which they have been sent.
    fn reserve(&mut self, bytes: usize) -> Instant {
        let earliest = Instant::now().checked_sub(BURST).unwrap_or(self.free_at);
        self.free_at =
            self.free_at.max(earliest) + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        self.free_at
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds the lock")
}

impl Link {
    fn state(&self) -> LinkState {
        *self.state.borrow()
    }

    /// Returns when the link is not cut.
    async fn wait_until_restored(&self) {
        // The sender is a field of `self`, so the channel is open and this cannot fail.
        let _ = self.state.subscribe().wait_for(|s| !s.cut).await;
    }

    /// Returns when the link has been cut for `time` without interruption.
    async fn wait_until_stalled(&self, time: Duration) {
        let mut state = self.state.subscribe();
        loop {
            let _ = state.wait_for(|s| s.cut).await;
            tokio::select! {
                () = sleep(time) => return,
                _ = state.wait_for(|s| !s.cut) => {}
            }
        }
    }

    /// Counts the bytes and returns the time at which the link has sent them.
    fn send(&self, bytes: usize) -> Instant {
        lock(&self.traffic).bytes += bytes as u64;
        self.bandwidth.as_ref().map_or_else(Instant::now, |b| lock(b).reserve(bytes))
    }

    /// Returns the arrival time of a datagram, or `None` if it is lost.
    fn send_datagram(&self, bytes: usize) -> Option<Instant> {
        let state = self.state();
        let now = Instant::now();
        let is_lost = lock(&self.traffic).rng.random_bool((state.loss_percent / 100.0).clamp(0.0, 1.0));
        let is_full = self.bandwidth.as_ref().is_some_and(|b| lock(b).free_at > now + MAX_DATAGRAM_WAIT);
        if state.cut || is_lost || is_full {
            return None;
        }
        Some(self.send(bytes).max(now) + state.delay)
    }
}

impl Network {
    fn new(config: &RelayConfig, timer: &Timer) -> Self {
        let now = Instant::now();
        let mut bandwidths = BTreeMap::new();
        for b in &config.bandwidths {
            let mut bandwidth = Bandwidth { bytes_per_second: 0.0, free_at: now };
            bandwidth.set_kbit(b.kbit);
            bandwidths.insert((&b.from, &b.to), Arc::new(Mutex::new(bandwidth)));
        }
        let mut links = BTreeMap::new();
        for (i, from) in config.places.iter().enumerate() {
            for (j, to) in config.places.iter().enumerate() {
                let seed = config.seed.wrapping_add((i * config.places.len() + j) as u64);
                let traffic = Traffic { bytes: 0, rng: Pcg32::seed_from_u64(seed) };
                let bandwidth = bandwidths.get(&(&from.place.region, &to.place.region)).cloned();
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

    /// Returns the place whose network contains `ip`.
    fn place(&self, ip: IpAddr) -> Option<&Place> {
        let IpAddr::V4(ip) = ip else { return None };
        let entry = self.places.iter().find(|entry| entry.network.octets()[..3] == ip.octets()[..3])?;
        Some(&entry.place)
    }

    /// Returns the link from the source to the target and the link back.
    fn links(&self, source: IpAddr, target: IpAddr) -> Option<(Arc<Link>, Arc<Link>)> {
        let (source, target) = (self.place(source)?.clone(), self.place(target)?.clone());
        let to_target = self.links.get(&(source.clone(), target.clone()))?;
        Some((Arc::clone(to_target), Arc::clone(self.links.get(&(target, source))?)))
    }

    fn change(&self, change: &LinkChange) {
        for ((from, to), link) in &self.links {
            if !change.applies_to(from, to) {
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

/// Result of a relayed connection.
enum RelayResult {
    Ended,
    /// The connection to the target failed.
    Refused,
}

async fn relay_tcp(listener: StdListener, target: SocketAddr, net: Arc<Network>) {
    let mut listener = TcpListener::from_std(listener).expect("the worker runs a runtime with network I/O");
    let front = listener.local_addr().expect("a bound socket has an address");
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(result) = connections.join_next(), if !connections.is_empty() => {
                let Ok(RelayResult::Refused) = result else { continue };
                drop(listener);
                while TcpStream::connect(target).await.is_err() {
                    sleep(PROBE_INTERVAL).await;
                }
                listener = loop {
                    match TcpListener::bind(front).await {
                        Ok(listener) => break listener,
                        Err(_) => sleep(PROBE_INTERVAL).await,
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
    (forward_link, return_link): (Arc<Link>, Arc<Link>),
    stall: Duration,
) -> RelayResult {
    let relayed = async {
        // The TCP handshake takes one round trip before the client can send data.
        forward_link.timer.sleep(forward_link.state().delay + return_link.state().delay).await;
        forward_link.wait_until_restored().await;
        return_link.wait_until_restored().await;
        let Ok(upstream) = connect_from(source, target).await else { return RelayResult::Refused };
        let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
        let (from_source, to_source) = stream.into_split();
        let (from_target, to_target) = upstream.into_split();
        let _ = tokio::join!(
            forward_stream(from_source, to_target, &forward_link),
            forward_stream(from_target, to_source, &return_link)
        );
        RelayResult::Ended
    };
    tokio::select! {
        result = relayed => result,
        () = forward_link.wait_until_stalled(stall) => RelayResult::Ended,
        () = return_link.wait_until_stalled(stall) => RelayResult::Ended,
    }
}

async fn connect_from(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(target).await
}

/// Forwards one direction of a connection. The end of the stream is delayed like data.
async fn forward_stream(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, link: &Link) -> io::Result<()> {
    let (tx, mut rx) = mpsc::channel::<(Instant, Bytes)>(QUEUE_CHUNKS);
    let read = async move {
        let mut buf = BytesMut::new();
        loop {
            buf.reserve(CHUNK_BYTES);
            let n = from.read_buf(&mut buf).await.unwrap_or(0);
            link.wait_until_restored().await;
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
            link.wait_until_restored().await;
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

/// Queue of datagrams in one direction, each with its arrival time.
type DatagramQueue = mpsc::Sender<(Instant, Bytes)>;

async fn relay_udp(socket: StdUdpSocket, target: SocketAddr, net: Arc<Network>) {
    let front = Arc::new(UdpSocket::from_std(socket).expect("the worker runs a runtime with network I/O"));
    let mut flows: HashMap<SocketAddr, (Arc<Link>, DatagramQueue)> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok((n, source)) = front.recv_from(&mut buf).await else { continue };
        if let Entry::Vacant(flow) = flows.entry(source) {
            let Some((forward_link, return_link)) = net.links(source.ip(), target.ip()) else { continue };
            let Ok(upstream) = UdpSocket::bind(SocketAddr::new(source.ip(), 0)).await.map(Arc::new) else {
                continue;
            };
            let to_target =
                spawn_datagram_sender(&mut tasks, Arc::clone(&forward_link), Arc::clone(&upstream), target);
            let to_source =
                spawn_datagram_sender(&mut tasks, Arc::clone(&return_link), Arc::clone(&front), source);
            tasks.spawn(relay_responses(upstream, return_link, to_source));
            flow.insert((forward_link, to_target));
        }
        let (link, queue) = &flows[&source];
        forward_datagram(link, queue, &buf[..n]);
    }
}

async fn relay_responses(upstream: Arc<UdpSocket>, link: Arc<Link>, queue: DatagramQueue) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok((n, _)) = upstream.recv_from(&mut buf).await else { continue };
        forward_datagram(&link, &queue, &buf[..n]);
    }
}

fn forward_datagram(link: &Link, queue: &DatagramQueue, bytes: &[u8]) {
    let Some(arrival) = link.send_datagram(bytes.len()) else { return };
    // If the queue is full, the datagram is dropped.
    let _ = queue.try_send((arrival, Bytes::copy_from_slice(bytes)));
}

/// Starts a task that sends queued datagrams at their arrival times. Datagrams in flight on a cut link are lost.
fn spawn_datagram_sender(
    tasks: &mut JoinSet<()>,
    link: Arc<Link>,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
) -> DatagramQueue {
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
