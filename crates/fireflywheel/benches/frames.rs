//! Encoding and decoding of frames between instances, at 1, 10 and 100 times the current size.
#![allow(
    missing_docs,
    reason = "criterion's macros make undocumented functions"
)]

mod sized;

use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fireflywheel::wire;
use sized::{Size, fleet};
use smol_str::SmolStr;

fn frames(size: Size) -> [(&'static str, wire::Frame); 4] {
    let digest = wire::Digest {
        version: 1_000_000,
        next: 1_000_000,
        log_readable: true,
    };
    let items = size
        .placements()
        .into_iter()
        .map(|(_, _, item)| wire::Usage {
            item,
            finished: 1,
            active: 1,
        });
    [
        (
            "ping",
            wire::Frame::Ping {
                number: 1_000_000,
                digest,
                gossip: (0..6).map(fleet::update).collect(),
            },
        ),
        (
            "members",
            wire::Frame::Members((0..size.instances.min(96)).map(fleet::update).collect()),
        ),
        (
            "usage",
            wire::Frame::Usage {
                group: SmolStr::new_static("g0"),
                items: items.take(size.models + size.adapters).collect(),
            },
        ),
        (
            "document",
            wire::Frame::Document {
                version: 1_000_000,
                text: size.document(),
            },
        ),
    ]
}

fn codec(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("frames");
    for factor in [1, 10, 100] {
        for (name, frame) in frames(Size::times(factor)) {
            let bytes = frame.encode();
            println!("{name} at {factor} times: {} bytes", bytes.len());
            group.bench_function(
                BenchmarkId::new(format!("encode_{name}"), factor),
                |bencher| {
                    bencher.iter(|| frame.encode());
                },
            );
            group.bench_function(
                BenchmarkId::new(format!("decode_{name}"), factor),
                |bencher| {
                    bencher.iter(|| wire::Frame::decode(&bytes).expect("the bytes encode a frame"));
                },
            );
        }
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(300));
    targets = codec
}
criterion_main!(benches);
