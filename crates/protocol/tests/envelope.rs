//! Messages that are not whole, authentic, addressed to the receiver and new are refused, each with its reason.

use medlarstair_protocol::clock::HybridTime;
use medlarstair_protocol::envelope::{
    Channel, Header, MAC_BYTES, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, OpenError, Opener, SealError, Sealer,
    VERSION,
};
use medlarstair_protocol::key::{KEY_BYTES, KeyError, KeyRing, MAX_KEYS};
use medlarstair_protocol::replay::WINDOW;
use medlarstair_state::id::{Boot, Incarnation, NodeId};
use medlarstair_state::node::PeerMessage;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde::Serialize;

const SENDER: Incarnation = Incarnation { node: NodeId(1), boot: Boot(7) };
const RECEIVER: NodeId = NodeId(2);
const AT: HybridTime = HybridTime { wall_ms: 1_000, logical: 3 };

fn ring(keys: &[u8]) -> KeyRing {
    let lines = keys.iter().map(|key| format!("{key:02x}").repeat(KEY_BYTES)).collect::<Vec<_>>();
    KeyRing::parse(&lines.join("\n")).expect("the keys are valid")
}

fn sealer() -> Sealer {
    Sealer::new(ring(&[1]), SENDER)
}

fn opener() -> Opener {
    Opener::new(ring(&[1]), RECEIVER)
}

fn seal<T: Serialize>(sealer: &mut Sealer, payload: &T) -> Vec<u8> {
    sealer.seal(Channel::Datagram, RECEIVER, AT, payload).expect("it fits")
}

/// A message of arbitrary header and payload bytes that carries a valid authenticator.
fn authentic(header: &Header, payload: &[u8]) -> Vec<u8> {
    let mut buf = postcard::to_stdvec(header).expect("it encodes");
    buf.extend_from_slice(payload);
    with_mac(buf)
}

fn with_mac(mut buf: Vec<u8>) -> Vec<u8> {
    let mac = blake3::keyed_hash(&[1; KEY_BYTES], &buf);
    buf.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
    buf
}

fn header(sequence: u64) -> Header {
    let channel = Channel::Datagram;
    Header { version: VERSION, channel, sender: SENDER, receiver: RECEIVER, sequence, clock: AT }
}

fn refused(buf: &[u8]) -> OpenError {
    opener().open::<Vec<u8>>(Channel::Datagram, buf).expect_err("the message is refused")
}

fn run<S: Strategy>(seed: u8, strategy: S, test: impl Fn(S::Value)) {
    let cfg = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]));
    let check = |value| {
        test(value);
        Ok(())
    };
    runner.run(&strategy, check).unwrap();
}

/// Guards against a header or payload that is changed on the way through the envelope.
#[test]
fn a_whole_message_arrives_unchanged() {
    let payload = vec![5_u8; 100];
    let buf = seal(&mut sealer(), &payload);
    let (got, message) = opener().open::<Vec<u8>>(Channel::Datagram, &buf).expect("it is valid");
    assert_eq!((got, message), (header(1), payload));
}

/// Guards against a reason that hides another fault from the operator, and against use of a faulty message.
#[test]
fn faulty_messages_are_refused_by_reason() {
    let whole = seal(&mut sealer(), &vec![5_u8; 4]);
    let other_version = with_mac([&[VERSION + 1], &whole[1..whole.len() - MAC_BYTES]].concat());
    let other_receiver = Header { receiver: NodeId(3), ..header(1) };
    let other_channel = Header { channel: Channel::Stream, ..header(1) };
    let cases = [
        ("empty", Vec::new(), OpenError::Malformed),
        ("shorter than an authenticator", vec![VERSION; MAC_BYTES - 1], OpenError::Malformed),
        ("nothing but an authenticator", with_mac(Vec::new()), OpenError::Version),
        ("oversized", vec![VERSION; MAX_DATAGRAM_BYTES + 1], OpenError::Oversized),
        ("other version", other_version, OpenError::Version),
        ("other key", seal(&mut Sealer::new(ring(&[9]), SENDER), &vec![5_u8; 4]), OpenError::Forged),
        ("header cut short", with_mac(vec![VERSION, 0]), OpenError::Malformed),
        ("unknown channel", with_mac(vec![VERSION, 9, 1, 7, 2, 1, 1, 1, 0]), OpenError::Malformed),
        ("payload cut short", authentic(&header(1), &[4, 5, 5]), OpenError::Malformed),
        ("bytes after the payload", authentic(&header(1), &[1, 5, 5]), OpenError::Malformed),
        ("other receiver", authentic(&other_receiver, &[1, 5]), OpenError::Misdirected),
        ("other channel", authentic(&other_channel, &[1, 5]), OpenError::Misdirected),
    ];
    for (name, buf, expected) in cases {
        assert_eq!(refused(&buf), expected, "{name}");
    }
    let frame = vec![VERSION; MAX_FRAME_BYTES + 1];
    let got = opener().open::<Vec<u8>>(Channel::Stream, &frame);
    assert_eq!(got.expect_err("it is refused"), OpenError::Oversized, "oversized frame");
}

/// Guards against a part of the message that the authenticator does not cover.
#[test]
fn every_truncation_and_flipped_bit_is_refused() {
    let whole = seal(&mut sealer(), &vec![5_u8; 40]);
    for len in 0..whole.len() {
        let expected = match len {
            ..MAC_BYTES => OpenError::Malformed,
            MAC_BYTES => OpenError::Version,
            _ => OpenError::Forged,
        };
        assert_eq!(refused(&whole[..len]), expected, "cut to {len} bytes");
    }
    for bit in 0..8 * whole.len() {
        let mut flipped = whole.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        let expected = if bit < 8 { OpenError::Version } else { OpenError::Forged };
        assert_eq!(refused(&flipped), expected, "bit {bit}");
    }
}

/// Guards against a message that takes effect twice, and against a window that forgets.
#[test]
fn replayed_and_old_messages_are_refused() {
    let (mut sealer, mut opener) = (sealer(), opener());
    let first = seal(&mut sealer, &1_u8);
    let second = seal(&mut sealer, &2_u8);
    let mut open = |buf: &[u8]| opener.open::<u8>(Channel::Datagram, buf).map(|(_, message)| message);
    assert_eq!(open(&second), Ok(2));
    assert_eq!(open(&second), Err(OpenError::Replayed));
    assert_eq!(open(&authentic(&header(1 + WINDOW), &[3])), Ok(3));
    assert_eq!(open(&first), Err(OpenError::Replayed), "too old to tell");
    assert_eq!(open(&authentic(&header(u64::MAX), &[4])), Ok(4));
    assert_eq!(open(&authentic(&header(u64::MAX), &[4])), Err(OpenError::Replayed));
    assert_eq!(open(&authentic(&header(0), &[4])), Err(OpenError::Replayed));
}

/// Guards against a refused message that uses up a place in the window, so that the true one is refused afterwards.
#[test]
fn a_refused_message_leaves_its_place_free() {
    let (whole, mut opener) = (seal(&mut sealer(), &vec![5_u8; 4]), opener());
    let mut flipped = whole.clone();
    *flipped.last_mut().expect("it is not empty") ^= 1;
    let cut = authentic(&header(1), &[4, 5]);
    for buf in [flipped, cut] {
        assert!(opener.open::<Vec<u8>>(Channel::Datagram, &buf).is_err());
    }
    assert!(opener.open::<Vec<u8>>(Channel::Datagram, &whole).is_ok());
}

/// Guards against a message that fits no datagram but is sent, and against a channel's limit being off by one.
#[test]
fn the_size_limit_holds_at_both_ends() {
    let limits = [(Channel::Datagram, MAX_DATAGRAM_BYTES), (Channel::Stream, MAX_FRAME_BYTES)];
    for (channel, limit) in limits {
        let overhead = sealer().seal(channel, RECEIVER, AT, &()).expect("it fits").len();
        let raw = |bytes: usize| vec![7_u8; bytes];
        // The length of the payload takes up to three bytes in front of it.
        let prefix =
            postcard::to_stdvec(&raw(limit - overhead)).expect("it encodes").len() - (limit - overhead);
        let largest = raw(limit - overhead - prefix);
        let buf = sealer().seal(channel, RECEIVER, AT, &largest).expect("it fits");
        assert_eq!(buf.len(), limit);
        assert!(opener().open::<Vec<u8>>(channel, &buf).is_ok());
        let error = sealer().seal(channel, RECEIVER, AT, &raw(largest.len() + 1));
        assert_eq!(error, Err(SealError::TooLarge { bytes: limit + 1 }));
    }
}

/// Guards against a rotation during which daemons with the old and the new file cannot talk to each other.
#[test]
fn keys_rotate_without_a_gap() {
    let steps: [&[u8]; 4] = [&[1], &[1, 2], &[2, 1], &[2]];
    for (i, sealing) in steps.iter().enumerate() {
        for (j, opening) in steps.iter().enumerate() {
            let buf = seal(&mut Sealer::new(ring(sealing), SENDER), &1_u8);
            let got = Opener::new(ring(opening), RECEIVER).open::<u8>(Channel::Datagram, &buf);
            let expected = if opening.contains(&sealing[0]) { Ok(1) } else { Err(OpenError::Forged) };
            assert_eq!(got.map(|(_, message)| message), expected, "sealed in step {i}, opened in step {j}");
            assert!(i.abs_diff(j) > 1 || expected.is_ok(), "steps {i} and {j} follow each other");
        }
    }
}

/// Guards against a key file that is accepted in part, and against a key that reaches a log.
#[test]
fn faulty_key_files_are_refused() {
    let key = "0a".repeat(KEY_BYTES);
    let many = format!("{key}\n").repeat(MAX_KEYS + 1);
    let cases = [
        (String::new(), KeyError::Count),
        (many, KeyError::Count),
        (format!("{key}\n\n{}", &key[2..]), KeyError::Malformed { line: 3 }),
        (key.replace('a', "g"), KeyError::Malformed { line: 1 }),
        ("é".repeat(KEY_BYTES), KeyError::Malformed { line: 1 }),
    ];
    for (text, expected) in cases {
        assert_eq!(KeyRing::parse(&text).expect_err("the file is refused"), expected, "{text:?}");
    }
    let ring = KeyRing::parse(&key).expect("the file is valid");
    assert!(!format!("{ring:?}").contains("10"), "a key as decimal bytes");
    assert!(!format!("{ring:?}").contains("0a"), "a key as hexadecimal digits");
}

/// Guards against a panic, and against acceptance, on bytes that no daemon has sealed.
#[test]
fn arbitrary_bytes_are_refused_without_a_panic() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..1_300);
    run(21, bytes, |buf| {
        assert!(opener().open::<PeerMessage>(Channel::Datagram, &buf).is_err());
        assert!(opener().open::<PeerMessage>(Channel::Stream, &buf).is_err());
        let versioned = [&[VERSION], &buf[..]].concat();
        assert!(opener().open::<PeerMessage>(Channel::Datagram, &versioned).is_err());
    });
}

/// Guards against a panic in the decoder when the sender holds the key but is faulty.
#[test]
fn arbitrary_authentic_bytes_do_not_panic() {
    run(22, proptest::collection::vec(any::<u8>(), 0..300), |payload| {
        let _ = opener().open::<PeerMessage>(Channel::Datagram, &authentic(&header(1), &payload));
        let _ =
            opener().open::<PeerMessage>(Channel::Datagram, &with_mac([&[VERSION], &payload[..]].concat()));
    });
}
