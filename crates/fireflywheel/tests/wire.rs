//! Whatever comes over a peer's link or stands in the log: no panic, no memory beyond its size, a clear error.

use arbitrary::Unstructured;
use fireflywheel::{ledger, member, record, wire};
use rand::{Rng, RngCore, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 400;

fn bytes(seed: u64, longest: usize) -> Vec<u8> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut bytes = vec![0; random.random_range(0..longest)];
    random.fill_bytes(&mut bytes);
    bytes
}

fn text(u: &mut Unstructured<'_>) -> String {
    u.arbitrary::<String>().unwrap_or_default()
}

/// Any frame with texts and numbers of any kind.
fn frame(u: &mut Unstructured<'_>) -> wire::Frame {
    let number = u.arbitrary().unwrap_or_default();
    let by = record::Incarnation {
        instance: text(u).into(),
        number,
    };
    match u.int_in_range(0..=4).unwrap_or_default() {
        0 => wire::Frame::Document {
            version: number,
            text: text(u),
        },
        1 => wire::Frame::AskState { next: number },
        2 => wire::Frame::State(record::Part {
            next: number,
            hash: text(u).into(),
            part: u.arbitrary().unwrap_or_default(),
            parts: u.arbitrary().unwrap_or_default(),
            text: text(u),
        }),
        3 => wire::Frame::Members(vec![member::Update {
            by,
            address: text(u).into(),
            failure_domain: text(u).into(),
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

/// A peer of another build, or a damaged message, sends bytes that are no frame.
#[test]
fn garbage_is_refused() {
    for seed in 0..SEEDS {
        let garbage = bytes(seed, 600);
        if let Ok(frame) = wire::Frame::decode(&garbage) {
            // What happens to be a frame is taken for the frame that it is.
            assert_eq!(wire::Frame::decode(&frame.encode()), Ok(frame));
        }
    }
    let long = vec![0; wire::MAX_FRAME_BYTES + 1];
    assert_eq!(
        wire::Frame::decode(&long),
        Err(wire::Malformed::TooLong(wire::MAX_FRAME_BYTES + 1))
    );
}

/// CBOR may claim a length of exabytes in nine bytes. Whoever believed it would ask for that much memory.
#[test]
fn claimed_lengths_are_not_believed() {
    for head in [0x5b, 0x7b, 0x9b, 0xbb] {
        let mut claim = vec![0xa1, 0x68];
        claim.extend(b"Document");
        claim.push(head);
        claim.extend([0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]);
        assert!(wire::Frame::decode(&claim).is_err());
    }
}

/// Frames come out as they went in; with a byte cut off or changed they are refused or another frame, and
/// nothing else happens.
#[test]
fn frames_survive_the_way_and_damage_is_harmless() {
    for seed in 0..SEEDS {
        let source = bytes(seed, 2_000);
        let frame = frame(&mut Unstructured::new(&source));
        let whole = frame.encode();
        assert_eq!(wire::Frame::decode(&whole), Ok(frame));
        assert!(wire::Frame::decode(&whole[..whole.len() - 1]).is_err());
        let mut random = StdRng::seed_from_u64(seed);
        let mut damaged = whole.clone();
        let place = random.random_range(0..damaged.len());
        damaged[place] ^= 1 << random.random_range(0..8);
        let _ = wire::Frame::decode(&damaged);
    }
}

/// Anyone who can append may append anything. The ledger passes it over and goes on.
#[test]
fn any_text_in_the_log_is_passed_over() {
    let mut ledger = ledger::Ledger::new();
    for seed in 0..SEEDS {
        let source = bytes(seed, 400);
        let body = match seed % 3 {
            0 => String::from_utf8_lossy(&source).into_owned(),
            1 => format!(
                "{{\"rule\":1,\"id\":{}}}",
                text(&mut Unstructured::new(&source))
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
