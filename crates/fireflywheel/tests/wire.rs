//! Robustness against arbitrary data from a peer's link or from the log: no panic, no allocation beyond the
//! size of the data, and a clear error.

use arbitrary::Unstructured;
use fireflywheel::{ledger, member, record, wire};
use rand::{Rng, RngCore, SeedableRng, rngs::StdRng};

const SEED_COUNT: u64 = 400;

fn random_bytes(seed: u64, max_length: usize) -> Vec<u8> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut bytes = vec![0; random.random_range(0..max_length)];
    random.fill_bytes(&mut bytes);
    bytes
}

fn arbitrary_text(u: &mut Unstructured<'_>) -> String {
    u.arbitrary::<String>().unwrap_or_default()
}

/// Returns a frame with arbitrary texts and numbers.
fn arbitrary_frame(u: &mut Unstructured<'_>) -> wire::Frame {
    let number = u.arbitrary().unwrap_or_default();
    let by = record::Incarnation {
        instance: arbitrary_text(u).into(),
        number,
    };
    match u.int_in_range(0..=4).unwrap_or_default() {
        0 => wire::Frame::Document {
            version: number,
            text: arbitrary_text(u),
        },
        1 => wire::Frame::AskState { next: number },
        2 => wire::Frame::State(record::Part {
            next: number,
            hash: arbitrary_text(u).into(),
            part: u.arbitrary().unwrap_or_default(),
            parts: u.arbitrary().unwrap_or_default(),
            text: arbitrary_text(u),
        }),
        3 => wire::Frame::Members(vec![member::Update {
            by,
            address: arbitrary_text(u).into(),
            failure_domain: arbitrary_text(u).into(),
            state: member::State::Suspect,
            refutation: u.arbitrary().unwrap_or_default(),
        }]),
        _ => wire::Frame::Ping {
            number,
            digest: wire::Digest::default(),
            gossip: Vec::new(),
        },
    }
}

/// A peer with another build, or a damaged message, sends bytes that are not a frame.
#[test]
fn garbage_is_rejected() {
    for seed in 0..SEED_COUNT {
        let garbage = random_bytes(seed, 600);
        if let Ok(frame) = wire::Frame::decode(&garbage) {
            // Bytes that happen to form a frame are decoded as that frame.
            assert_eq!(wire::Frame::decode(&frame.encode()), Ok(frame));
        }
    }
    let long = vec![0; wire::MAX_FRAME_BYTES + 1];
    assert_eq!(
        wire::Frame::decode(&long),
        Err(wire::Malformed::TooLong(wire::MAX_FRAME_BYTES + 1))
    );
}

/// A CBOR header of nine bytes can claim a length of exabytes. A decoder that trusted it would try to
/// allocate that much memory.
#[test]
fn claimed_lengths_are_not_trusted() {
    for head in [0x5b, 0x7b, 0x9b, 0xbb] {
        let mut claim = vec![0xa1, 0x68];
        claim.extend(b"Document");
        claim.push(head);
        claim.extend([0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]);
        assert!(wire::Frame::decode(&claim).is_err());
    }
}

/// Frames decode to what was encoded. With a byte removed or changed, the message is rejected or decodes to
/// another frame, without any other effect.
#[test]
fn frames_round_trip_and_damage_is_harmless() {
    for seed in 0..SEED_COUNT {
        let source = random_bytes(seed, 2_000);
        let frame = arbitrary_frame(&mut Unstructured::new(&source));
        let encoded = frame.encode();
        assert_eq!(wire::Frame::decode(&encoded), Ok(frame));
        assert!(wire::Frame::decode(&encoded[..encoded.len() - 1]).is_err());
        let mut random = StdRng::seed_from_u64(seed);
        let mut damaged = encoded.clone();
        let index = random.random_range(0..damaged.len());
        damaged[index] ^= 1 << random.random_range(0..8);
        let _ = wire::Frame::decode(&damaged);
    }
}

/// Any process that can append to the log may append anything. The ledger skips invalid records and
/// continues.
#[test]
fn invalid_records_are_skipped() {
    let mut ledger = ledger::Ledger::new();
    for seed in 0..SEED_COUNT {
        let source = random_bytes(seed, 400);
        let body = match seed % 3 {
            0 => String::from_utf8_lossy(&source).into_owned(),
            1 => format!(
                "{{\"rule\":1,\"id\":{}}}",
                arbitrary_text(&mut Unstructured::new(&source))
            ),
            _ => format!("{}{}", "[".repeat(source.len()), "{".repeat(source.len())),
        };
        let stored = record::Stored {
            offset: seed,
            time_ms: seed,
            body,
        };
        assert_eq!(ledger.fold(&stored), Ok(None));
    }
    assert_eq!(ledger.version(), 0);
}
