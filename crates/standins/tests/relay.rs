//! Link relay: delay, shared bandwidth, loss, cuts and refused connections.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{LIMIT, send};
use medlarstair_standins::{
    Front, LinkBandwidth, LinkChange, LinkDelay, PlaceNetwork, Relay, RelayConfig, Worker,
};
use socket2::{Domain, Socket, Type};

const KBIT: u64 = 80_000;
const DELAY: Duration = Duration::from_millis(30);

/// Networks 1 and 2 are domains of region `a`, networks 3 and 4 of region `b`.
fn address(network: u8) -> SocketAddr {
    SocketAddr::from(([127, 250, network, 1], 0))
}

/// A relay with one front per target; only the link between networks 1 and 3 has a delay.
fn relay(targets: &[SocketAddr]) -> Relay {
    let place = |text: &str| text.parse().expect("a place");
    let mut config = RelayConfig { stall_ms: 400, seed: 7, ..RelayConfig::default() };
    for (network, name) in [(1, "a/1"), (2, "a/2"), (3, "b/1"), (4, "b/2")] {
        config.places.push(PlaceNetwork { place: place(name), network: [127, 250, network, 0].into() });
    }
    for (from, to) in [("a/1", "b/1"), ("b/1", "a/1")] {
        let delay_ms = DELAY.as_millis() as u64;
        config.delays.push(LinkDelay { from: place(from), to: place(to), delay_ms });
    }
    config.bandwidths.push(LinkBandwidth { from: "a".into(), to: "b".into(), kbit: KBIT });
    for target in targets {
        config.fronts.push(Front { front: SocketAddr::new(target.ip(), 0), target: *target, udp: true });
    }
    Relay::start(&Worker::start().expect("a thread"), address(1), config).expect("ports")
}

/// Connects from a network, since the source address decides the link.
fn connect(network: u8, to: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&address(network).into()).expect("a port");
    socket.connect(&to.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(LIMIT)).expect("a timeout");
    stream
}

/// A server that echoes everything on each connection.
fn echo(network: u8) -> SocketAddr {
    let listener = TcpListener::bind(address(network)).expect("a port");
    let to = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    to
}

fn round_trip(stream: &mut TcpStream) -> std::io::Result<Duration> {
    let start = Instant::now();
    stream.write_all(b"ping")?;
    stream.read_exact(&mut [0; 4])?;
    Ok(start.elapsed())
}

/// Guards against a delay that is missing or applies to links without one, and a timer with steps of 1 ms, which
/// takes more than 4 ms for the round trip without delay.
#[test]
fn a_link_delays_each_direction() {
    let relay = relay(&[echo(3)]);
    let mut far = connect(1, relay.fronts()[0]);
    assert!(round_trip(&mut far).expect("an answer") >= 4 * DELAY, "the first takes a handshake more");
    let next = round_trip(&mut far).expect("an answer");
    assert!(next >= 2 * DELAY && next < 4 * DELAY, "{next:?}");
    let mut near = connect(2, relay.fronts()[0]);
    let best = (0..20).map(|_| round_trip(&mut near).expect("an answer")).min();
    assert!(best < Some(Duration::from_millis(3)), "{best:?}");
}

/// Guards against a bandwidth per connection or per pair of domains instead of per pair of regions.
#[test]
fn transfers_share_the_bandwidth_between_regions() {
    const BYTES: usize = 5_000_000;
    let mut receivers = Vec::new();
    let mut targets = Vec::new();
    for network in [3, 4] {
        let listener = TcpListener::bind(address(network)).expect("a port");
        targets.push(listener.local_addr().expect("an address"));
        receivers.push(thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            std::io::copy(&mut stream, &mut std::io::sink()).expect("the whole stream")
        }));
    }
    let relay = relay(&targets);
    let start = Instant::now();
    let mut senders = Vec::new();
    for (network, front) in [1, 2].into_iter().zip(relay.fronts().to_vec()) {
        let mut stream = connect(network, front);
        senders.push(thread::spawn(move || stream.write_all(&vec![0; BYTES]).expect("sent")));
    }
    for sender in senders {
        sender.join().expect("no panic");
    }
    for receiver in receivers {
        assert_eq!(receiver.join().expect("no panic"), BYTES as u64);
    }
    let measured = 2.0 * BYTES as f64 * 8.0 / start.elapsed().as_secs_f64() / 1000.0;
    println!("two transfers together: {measured:.0} of {KBIT} kbit/s");
    assert!((measured / KBIT as f64 - 1.0).abs() < 0.15, "{measured:.0} kbit/s");
}

/// Guards against a cut that lets data through, loses it, or leaves stalled connections open for ever.
#[actix_rt::test]
async fn a_cut_link_stalls_and_then_closes_connections() {
    let relay = relay(&[echo(4)]);
    let mut stream = connect(2, relay.fronts()[0]);
    round_trip(&mut stream).expect("an answer");
    relay.change(&LinkChange::with_cut("a/2", "*", true));
    stream.write_all(b"ping").expect("a buffer");
    stream.set_read_timeout(Some(Duration::from_millis(100))).expect("a timeout");
    assert!(stream.read(&mut [0; 4]).is_err(), "nothing passes a cut link");
    relay.change(&LinkChange::with_cut("a/2", "*", false));
    stream.set_read_timeout(Some(LIMIT)).expect("a timeout");
    stream.read_exact(&mut [0; 4]).expect("the stalled bytes");
    let cut = r#"{"from":"a","to":"b","cut":true}"#;
    assert_eq!(send("POST", relay.address(), "/links", &[], cut).await.map(|a| a.status), Some(200));
    assert_eq!(relay.links().iter().filter(|link| link.cut).count(), 4);
    assert_eq!(stream.read(&mut [0; 4]).ok(), Some(0), "closed after the stall time");
}

/// Guards against a front that accepts for a target that refuses, or that does not come back with it.
#[test]
fn a_front_refuses_while_its_target_does() {
    let listener = TcpListener::bind(address(4)).expect("a port");
    let target = listener.local_addr().expect("an address");
    let relay = relay(&[target]);
    drop(listener);
    let front = relay.fronts()[0];
    assert_eq!(connect(2, front).read(&mut [0; 1]).unwrap_or(0), 0);
    let start = Instant::now();
    while TcpStream::connect(front).is_ok() {
        assert!(start.elapsed() < LIMIT);
    }
    let _listener = TcpListener::bind(target).expect("the same port");
    while TcpStream::connect(front).is_err() {
        assert!(start.elapsed() < LIMIT);
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against datagrams that lose their way back, and a loss rate far from the one set.
#[test]
fn datagrams_pass_both_ways_and_get_lost_at_the_rate() {
    let target = Arc::new(UdpSocket::bind(address(4)).expect("a port"));
    target.set_read_timeout(Some(LIMIT)).expect("a timeout");
    let relay = relay(&[target.local_addr().expect("an address")]);
    let source = UdpSocket::bind(address(2)).expect("a port");
    source.connect(relay.fronts()[0]).expect("an address");
    source.set_read_timeout(Some(LIMIT)).expect("a timeout");
    let mut buf = [0; 16];
    source.send(b"ping").expect("sent");
    let (n, seen) = target.recv_from(&mut buf).expect("a datagram");
    assert_eq!((&buf[..n], seen.ip()), (&b"ping"[..], address(2).ip()));
    target.send_to(b"pong", seen).expect("sent");
    assert_eq!(source.recv(&mut buf).expect("an answer"), 4);

    let loss =
        LinkChange { from: "a".into(), to: "b".into(), loss_percent: Some(50.0), ..LinkChange::default() };
    relay.change(&loss);
    target.set_read_timeout(Some(Duration::from_secs(1))).expect("a timeout");
    let counter = Arc::clone(&target);
    let received = thread::spawn(move || (0..400).take_while(|_| counter.recv(&mut [0; 16]).is_ok()).count());
    for _ in 0..400 {
        source.send(b"ping").expect("sent");
        thread::sleep(Duration::from_micros(100));
    }
    let received = received.join().expect("no panic");
    assert!((140..=260).contains(&received), "{received} of 400 arrived");
}
