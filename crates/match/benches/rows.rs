//! Benchmarks the classification of a request by 1, 100 and 10,000 rows: decision tree versus linear
//! evaluation.
//!
//! `cargo bench -p pearfork-match --bench rows`

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use pearfork_match::{Fields, Rules};
use std::hint::black_box;

/// The condition of a row, given its number.
type Row = fn(usize) -> String;

/// Kinds of conditions by which rows distinguish requests.
const KINDS: [(&str, Row); 4] = [
    ("by name", |i| format!("volume == \"volume-{i}\" and op in [\"read\", \"verify\"] and bytes <= 64KiB")),
    ("by range", |i| format!("lba >= {} and lba < {} and bytes <= 64KiB", i * 100, i * 100 + 90)),
    ("by extent", |i| format!("lba / 2048 == {i} and op in [\"read\", \"verify\"]")),
    ("by prefix", |i| format!("starts_with(volume, \"volume-{i}-\") and bytes <= 64KiB")),
];

fn file(rows: usize, row: Row) -> String {
    let rows: String = (0..rows).map(|i| format!("class \"c{i}\" if {};\n", row(i))).collect();
    rows + "class \"rest\" otherwise;"
}

fn rows(c: &mut Criterion) {
    for (kind, row) in KINDS {
        let mut group = c.benchmark_group(kind);
        for n in [1usize, 100, 10_000] {
            let rules = Rules::compile(file(n, row).as_bytes()).expect("a good file");
            let row_numbers: Vec<usize> = (0..64).map(|i| i * 7919 % n).collect();
            let names: Vec<String> = row_numbers
                .iter()
                .map(
                    |i| if kind == "by prefix" { format!("volume-{i}-notes") } else { format!("volume-{i}") },
                )
                .collect();
            let step = if kind == "by range" { 100 } else { 2048 };
            let lbas: Vec<u64> = row_numbers.iter().map(|i| (i * step + 7) as u64).collect();
            let mut at = 0;
            let mut next = || {
                at = (at + 1) % names.len();
                Fields {
                    op: "read",
                    bytes: 4096,
                    lba: lbas[at],
                    volume: names[at].as_str(),
                    ..Fields::default()
                }
            };
            // Every request must match one of the generated rows, or the benchmark would measure the
            // `otherwise` row.
            assert!((0..64).all(|_| rules.class_index(&next()).is_some_and(|c| c < n)));
            group.bench_function(BenchmarkId::new("tree", n), |b| {
                b.iter(|| black_box(rules.class_index(&next())))
            });
            group.bench_function(BenchmarkId::new("each row", n), |b| {
                b.iter(|| black_box(rules.class_index_linear(&next())));
            });
        }
        group.finish();
    }
}

criterion_group!(benches, rows);
criterion_main!(benches);
