//! Tests that invalid frames are refused.

use yare::parameterized;

use super::*;

const LIMIT_BYTES: usize = 100;

fn key() -> PeerKey {
    "a key that all nodes share".parse().expect("long enough")
}

fn frame() -> Frame<u64> {
    Frame {
        boot: BootId(3),
        sequence: 9,
        body: 77,
    }
}

#[parameterized(
    older = { PROTOCOL - 1 },
    newer = { PROTOCOL + 1 },
)]
fn open_other_version(version: u16) {
    let bytes = frame()
        .seal_as(version, &key(), &[], LIMIT_BYTES)
        .expect("fits");
    let opened = Frame::<u64>::open(&bytes, &key(), &[], LIMIT_BYTES);
    assert_eq!(opened, Err(FrameError::Version { version }));
}

#[test]
fn open_every_bit_flipped() {
    let bytes = frame().seal(&key(), b"here", LIMIT_BYTES).expect("fits");
    for bit in 0..bytes.len() * 8 {
        let mut bad = bytes.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        let opened = Frame::<u64>::open(&bad, &key(), b"here", LIMIT_BYTES);
        assert_eq!(opened, Err(FrameError::Unauthenticated), "bit {bit}");
    }
}

#[test]
fn open_truncated() {
    let bytes = frame().seal(&key(), &[], LIMIT_BYTES).expect("fits");
    for length in 0..bytes.len() {
        let opened = Frame::<u64>::open(&bytes[..length], &key(), &[], LIMIT_BYTES);
        assert_eq!(opened, Err(FrameError::Unauthenticated), "length {length}");
    }
}

#[test]
fn open_other_context() {
    let bytes = frame().seal(&key(), b"one", LIMIT_BYTES).expect("fits");
    let opened = Frame::<u64>::open(&bytes, &key(), b"two", LIMIT_BYTES);
    assert_eq!(opened, Err(FrameError::Unauthenticated));
}

#[test]
fn open_trailing_bytes() {
    let long = Frame {
        boot: BootId(3),
        sequence: 9,
        body: (1_u64, 2_u64),
    };
    let bytes = long.seal(&key(), &[], LIMIT_BYTES).expect("fits");
    let opened = Frame::<u64>::open(&bytes, &key(), &[], LIMIT_BYTES);
    assert!(matches!(opened, Err(FrameError::Malformed { .. })));
}

#[test]
fn seal_oversized() {
    let long = Frame {
        boot: BootId(3),
        sequence: 9,
        body: vec![0_u8; LIMIT_BYTES],
    };
    let sealed = long.seal(&key(), &[], LIMIT_BYTES);
    assert!(matches!(sealed, Err(FrameError::Oversized { .. })));
}
