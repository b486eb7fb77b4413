//! Tests that messages are rejected, with the matching reason, unless they are complete, authentic, addressed to the
//! receiver and new.

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

/// Encodes a message with any header and payload bytes and a valid MAC.
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

fn open_error(buf: &[u8]) -> OpenError {
    opener().open::<Vec<u8>>(Channel::Datagram, buf).expect_err("the message is rejected")
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

/// Guards against a header or payload that differs after sealing and opening.
#[test]
fn a_sealed_message_round_trips() {
    let payload = vec![5_u8; 100];
    let buf = seal(&mut sealer(), &payload);
    let (got, message) = opener().open::<Vec<u8>>(Channel::Datagram, &buf).expect("it is valid");
    assert_eq!((got, message), (header(1), payload));
}

/// Guards against a wrong rejection reason, which would mislead the operator, and against use of an invalid message.
#[test]
fn invalid_messages_are_rejected_with_their_reason() {
    let sealed = seal(&mut sealer(), &vec![5_u8; 4]);
    let other_version = with_mac([&[VERSION + 1], &sealed[1..sealed.len() - MAC_BYTES]].concat());
    let other_receiver = Header { receiver: NodeId(3), ..header(1) };
    let other_channel = Header { channel: Channel::Stream, ..header(1) };
    let cases = [
        ("empty", Vec::new(), OpenError::Malformed),
        ("shorter than a MAC", vec![VERSION; MAC_BYTES - 1], OpenError::Malformed),
        ("only a MAC", with_mac(Vec::new()), OpenError::Version),
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
        assert_eq!(open_error(&buf), expected, "{name}");
    }
    let frame = vec![VERSION; MAX_FRAME_BYTES + 1];
    let got = opener().open::<Vec<u8>>(Channel::Stream, &frame);
    assert_eq!(got.expect_err("it is rejected"), OpenError::Oversized, "oversized frame");
}

/// Guards against a part of the message that the MAC does not cover.
#[test]
fn every_truncation_and_bit_flip_is_rejected() {
    let sealed = seal(&mut sealer(), &vec![5_u8; 40]);
    for len in 0..sealed.len() {
        let expected = match len {
            ..MAC_BYTES => OpenError::Malformed,
            MAC_BYTES => OpenError::Version,
            _ => OpenError::Forged,
        };
        assert_eq!(open_error(&sealed[..len]), expected, "truncated to {len} bytes");
    }
    for bit in 0..8 * sealed.len() {
        let mut flipped = sealed.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        let expected = if bit < 8 { OpenError::Version } else { OpenError::Forged };
        assert_eq!(open_error(&flipped), expected, "bit {bit}");
    }
}

/// Guards against a message that takes effect twice, and against a replay window that loses received messages.
#[test]
fn replayed_and_old_messages_are_rejected() {
    let (mut sealer, mut opener) = (sealer(), opener());
    let first = seal(&mut sealer, &1_u8);
    let second = seal(&mut sealer, &2_u8);
    let mut open = |buf: &[u8]| opener.open::<u8>(Channel::Datagram, buf).map(|(_, message)| message);
    assert_eq!(open(&second), Ok(2));
    assert_eq!(open(&second), Err(OpenError::Replayed));
    assert_eq!(open(&authentic(&header(1 + WINDOW), &[3])), Ok(3));
    assert_eq!(open(&first), Err(OpenError::Replayed), "too old for the window");
    assert_eq!(open(&authentic(&header(u64::MAX), &[4])), Ok(4));
    assert_eq!(open(&authentic(&header(u64::MAX), &[4])), Err(OpenError::Replayed));
    assert_eq!(open(&authentic(&header(0), &[4])), Err(OpenError::Replayed));
}

/// Guards against an invalid message that marks its sequence number as received, so that the authentic message is
/// rejected afterwards.
#[test]
fn a_rejected_message_does_not_use_its_sequence_number() {
    let (sealed, mut opener) = (seal(&mut sealer(), &vec![5_u8; 4]), opener());
    let mut flipped = sealed.clone();
    *flipped.last_mut().expect("it is not empty") ^= 1;
    let cut = authentic(&header(1), &[4, 5]);
    for buf in [flipped, cut] {
        assert!(opener.open::<Vec<u8>>(Channel::Datagram, &buf).is_err());
    }
    assert!(opener.open::<Vec<u8>>(Channel::Datagram, &sealed).is_ok());
}

/// Guards against sealing a message that the receiver rejects as oversized, and against an off-by-one size limit.
#[test]
fn sealer_and_opener_have_the_same_size_limit() {
    let limits = [(Channel::Datagram, MAX_DATAGRAM_BYTES), (Channel::Stream, MAX_FRAME_BYTES)];
    for (channel, limit) in limits {
        let overhead = sealer().seal(channel, RECEIVER, AT, &()).expect("it fits").len();
        let raw = |bytes: usize| vec![7_u8; bytes];
        // The payload is preceded by its length, which takes up to three bytes.
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

/// Guards against a key rotation during which daemons of two consecutive steps reject each other's messages.
#[test]
fn daemons_of_consecutive_rotation_steps_accept_each_other() {
    let steps: [&[u8]; 4] = [&[1], &[1, 2], &[2, 1], &[2]];
    for (i, sealing) in steps.iter().enumerate() {
        for (j, opening) in steps.iter().enumerate() {
            let buf = seal(&mut Sealer::new(ring(sealing), SENDER), &1_u8);
            let got = Opener::new(ring(opening), RECEIVER).open::<u8>(Channel::Datagram, &buf);
            let expected = if opening.contains(&sealing[0]) { Ok(1) } else { Err(OpenError::Forged) };
            assert_eq!(got.map(|(_, message)| message), expected, "sealed in step {i}, opened in step {j}");
            assert!(i.abs_diff(j) > 1 || expected.is_ok(), "steps {i} and {j} are consecutive");
        }
    }
}

/// Guards against a key file that is accepted in part, and against a key in debug output.
#[test]
fn invalid_key_files_are_rejected() {
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
        assert_eq!(KeyRing::parse(&text).expect_err("the file is rejected"), expected, "{text:?}");
    }
    let ring = KeyRing::parse(&key).expect("the file is valid");
    assert!(!format!("{ring:?}").contains("10"), "a key as decimal bytes");
    assert!(!format!("{ring:?}").contains("0a"), "a key as hexadecimal digits");
}

/// Guards against a panic on, or acceptance of, bytes that no daemon has sealed.
#[test]
fn arbitrary_bytes_are_rejected_without_a_panic() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..1_300);
    run(21, bytes, |buf| {
        assert!(opener().open::<PeerMessage>(Channel::Datagram, &buf).is_err());
        assert!(opener().open::<PeerMessage>(Channel::Stream, &buf).is_err());
        let versioned = [&[VERSION], &buf[..]].concat();
        assert!(opener().open::<PeerMessage>(Channel::Datagram, &versioned).is_err());
    });
}

/// Guards against a panic in the decoder on invalid data from a sender that holds the key.
#[test]
fn arbitrary_authentic_bytes_do_not_panic() {
    run(22, proptest::collection::vec(any::<u8>(), 0..300), |payload| {
        let _ = opener().open::<PeerMessage>(Channel::Datagram, &authentic(&header(1), &payload));
        let _ =
            opener().open::<PeerMessage>(Channel::Datagram, &with_mac([&[VERSION], &payload[..]].concat()));
    });
}
