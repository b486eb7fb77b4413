//! Tests of the link relay: delay, shared bandwidth, datagram loss, cuts and refused connections.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{TIMEOUT, send};
use medlarstair_standins::{
    Front, LinkBandwidth, LinkChange, LinkDelay, PlaceNetwork, Relay, RelayConfig, Worker,
};
use socket2::{Domain, Socket, Type};

const KBIT: u64 = 80_000;
const DELAY: Duration = Duration::from_millis(30);

/// Returns an address with port 0 in a network. Networks 1 and 2 are failure domains of region `a`, networks 3 and 4 of
/// region `b`.
fn address(network: u8) -> SocketAddr {
    SocketAddr::from(([127, 250, network, 1], 0))
}

/// Starts a relay with one front per target. Only the link between networks 1 and 3 has a delay.
fn relay(targets: &[SocketAddr]) -> Relay {
    let place = |text: &str| text.parse().expect("the place is valid");
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
    Relay::start(&Worker::start().expect("the thread starts"), address(1), config)
        .expect("the addresses are free")
}

/// Connects from an address of `network`, because the source address determines the link.
fn connect(network: u8, to: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be created");
    socket.bind(&address(network).into()).expect("a port is free");
    socket.connect(&to.into()).expect("the front accepts connections");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
    stream
}

/// Starts a server that echoes the data of each connection.
fn start_echo_server(network: u8) -> SocketAddr {
    let listener = TcpListener::bind(address(network)).expect("the address is free");
    let to = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    to
}

/// Sends four bytes and returns the time until they are echoed.
fn round_trip(stream: &mut TcpStream) -> std::io::Result<Duration> {
    let start = Instant::now();
    stream.write_all(b"ping")?;
    stream.read_exact(&mut [0; 4])?;
    Ok(start.elapsed())
}

/// Guards against a missing delay and a delay on links that have none. It also guards against a timer with a resolution
/// of 1 ms, with which a round trip without delay takes more than 4 ms.
#[test]
fn a_link_delays_each_direction() {
    let relay = relay(&[start_echo_server(3)]);
    let mut far = connect(1, relay.fronts()[0]);
    assert!(
        round_trip(&mut far).expect("the bytes are echoed") >= 4 * DELAY,
        "the first round trip includes the handshake"
    );
    let next = round_trip(&mut far).expect("the bytes are echoed");
    assert!(next >= 2 * DELAY && next < 4 * DELAY, "{next:?}");
    let mut near = connect(2, relay.fronts()[0]);
    let best = (0..20).map(|_| round_trip(&mut near).expect("the bytes are echoed")).min();
    assert!(best < Some(Duration::from_millis(3)), "{best:?}");
}

/// Guards against a bandwidth limit per connection or per pair of failure domains instead of per pair of regions.
#[test]
fn transfers_share_the_bandwidth_between_regions() {
    const BYTES: usize = 5_000_000;
    let mut receivers = Vec::new();
    let mut targets = Vec::new();
    for network in [3, 4] {
        let listener = TcpListener::bind(address(network)).expect("the address is free");
        targets.push(listener.local_addr().expect("the listener has an address"));
        receivers.push(thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("the relay connects");
            std::io::copy(&mut stream, &mut std::io::sink()).expect("the stream ends without an error")
        }));
    }
    let relay = relay(&targets);
    let start = Instant::now();
    let mut senders = Vec::new();
    for (network, front) in [1, 2].into_iter().zip(relay.fronts().to_vec()) {
        let mut stream = connect(network, front);
        senders.push(thread::spawn(move || stream.write_all(&vec![0; BYTES]).expect("the data is sent")));
    }
    for sender in senders {
        sender.join().expect("the thread does not panic");
    }
    for receiver in receivers {
        assert_eq!(receiver.join().expect("the thread does not panic"), BYTES as u64);
    }
    let measured = 2.0 * BYTES as f64 * 8.0 / start.elapsed().as_secs_f64() / 1000.0;
    println!("total of two transfers: {measured:.0} of {KBIT} kbit/s");
    assert!((measured / KBIT as f64 - 1.0).abs() < 0.15, "{measured:.0} kbit/s");
}

/// Guards against a cut link that passes or loses data, and stalled connections that are never closed.
#[actix_rt::test]
async fn a_cut_link_stalls_and_then_closes_connections() {
    let relay = relay(&[start_echo_server(4)]);
    let mut stream = connect(2, relay.fronts()[0]);
    round_trip(&mut stream).expect("the bytes are echoed");
    relay.change(&LinkChange::with_cut("a/2", "*", true));
    stream.write_all(b"ping").expect("the send buffer has space");
    stream.set_read_timeout(Some(Duration::from_millis(100))).expect("the timeout is valid");
    assert!(stream.read(&mut [0; 4]).is_err(), "a cut link passes no data");
    relay.change(&LinkChange::with_cut("a/2", "*", false));
    stream.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
    stream.read_exact(&mut [0; 4]).expect("the delayed bytes arrive");
    let cut = r#"{"from":"a","to":"b","cut":true}"#;
    assert_eq!(
        send("POST", relay.address(), "/links", &[], cut).await.map(|response| response.status),
        Some(200)
    );
    assert_eq!(relay.links().iter().filter(|link| link.cut).count(), 4);
    assert_eq!(stream.read(&mut [0; 4]).ok(), Some(0), "the connection is closed after the stall time");
}

/// Guards against a front that accepts connections while its target refuses them, and one that does not accept them
/// again when the target does.
#[test]
fn a_front_refuses_while_its_target_does() {
    let listener = TcpListener::bind(address(4)).expect("the address is free");
    let target = listener.local_addr().expect("the listener has an address");
    let relay = relay(&[target]);
    drop(listener);
    let front = relay.fronts()[0];
    assert_eq!(connect(2, front).read(&mut [0; 1]).unwrap_or(0), 0);
    let start = Instant::now();
    while TcpStream::connect(front).is_ok() {
        assert!(start.elapsed() < TIMEOUT);
    }
    let _listener = TcpListener::bind(target).expect("the port is free again");
    while TcpStream::connect(front).is_err() {
        assert!(start.elapsed() < TIMEOUT);
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against responses that are not forwarded, and a loss rate that differs greatly from the configured one.
#[test]
fn datagrams_pass_both_ways_and_get_lost_at_the_rate() {
    let target = Arc::new(UdpSocket::bind(address(4)).expect("the address is free"));
    target.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
    let relay = relay(&[target.local_addr().expect("the socket has an address")]);
    let source = UdpSocket::bind(address(2)).expect("the address is free");
    source.connect(relay.fronts()[0]).expect("the front has an address");
    source.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
    let mut buf = [0; 16];
    source.send(b"ping").expect("the datagram is sent");
    let (n, sender) = target.recv_from(&mut buf).expect("the datagram arrives");
    assert_eq!((&buf[..n], sender.ip()), (&b"ping"[..], address(2).ip()));
    target.send_to(b"pong", sender).expect("the datagram is sent");
    assert_eq!(source.recv(&mut buf).expect("the response arrives"), 4);

    let loss =
        LinkChange { from: "a".into(), to: "b".into(), loss_percent: Some(50.0), ..LinkChange::default() };
    relay.change(&loss);
    target.set_read_timeout(Some(Duration::from_secs(1))).expect("the timeout is valid");
    let counter = Arc::clone(&target);
    let received = thread::spawn(move || (0..400).take_while(|_| counter.recv(&mut [0; 16]).is_ok()).count());
    for _ in 0..400 {
        source.send(b"ping").expect("the datagram is sent");
        thread::sleep(Duration::from_micros(100));
    }
    let received = received.join().expect("the thread does not panic");
    assert!((140..=260).contains(&received), "{received} of 400 arrived");
}
