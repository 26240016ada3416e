//! Folding of records, checkpoints and parsing of a document, at 1, 10 and 100 times the current size and
//! at the target size.
#![allow(
    missing_docs,
    reason = "criterion's macros make undocumented functions"
)]

mod sized;

use std::{
    hint,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fireflywheel::{document, ledger};
use sized::{Size, Writer, incarnation};

fn sizes() -> [(&'static str, Size); 4] {
    [
        ("1", Size::times(1)),
        ("10", Size::times(10)),
        ("100", Size::times(100)),
        ("target", Size::target()),
    ]
}

/// Folds a load and an unload: a grant, its close, a withdrawal and its close, each in one record. The time
/// is that of all four records.
fn fold(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fold");
    for (name, size) in sizes() {
        let mut writer = Writer::new(size, incarnation(0));
        group.bench_function(BenchmarkId::new("load_and_unload", name), |bencher| {
            bencher.iter_custom(|count| {
                let mut time = Duration::ZERO;
                for _ in 0..count {
                    let records = writer.round();
                    let start = Instant::now();
                    for stored in &records {
                        hint::black_box(writer.ledger.fold(stored)).expect("the next record");
                    }
                    time += start.elapsed();
                }
                time
            });
        });
        group.bench_function(BenchmarkId::new("claim_and_settle", name), |bencher| {
            bencher.iter_custom(|count| {
                let mut time = Duration::ZERO;
                for _ in 0..count {
                    let entries = writer.claim();
                    let stored = writer.record(entries);
                    let start = Instant::now();
                    hint::black_box(writer.ledger.fold(&stored)).expect("the next record");
                    time += start.elapsed();
                }
                time
            });
        });
    }
    group.finish();
}

fn checkpoint(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("checkpoint");
    for (name, size) in sizes() {
        let writer = Writer::new(size, incarnation(0));
        group.bench_function(BenchmarkId::new("write", name), |bencher| {
            bencher.iter(|| writer.ledger.checkpoint());
        });
        let parts = writer.ledger.checkpoint();
        group.bench_function(BenchmarkId::new("restore", name), |bencher| {
            bencher.iter(|| ledger::Ledger::restore(&parts).expect("the checkpoint is complete"));
        });
        let text = size.document();
        group.bench_function(BenchmarkId::new("parse_document", name), |bencher| {
            bencher.iter(|| document::Document::parse(&text).expect("the document has no faults"));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800));
    targets = fold, checkpoint
}
criterion_main!(benches);
