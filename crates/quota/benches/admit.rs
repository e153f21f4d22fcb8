//! Time to admit and complete a request, by number of tenants and depth of the tree.
#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use loomlb_quota::{Limit, NodeSpec, Quota, QuotaRequest, Spec, Verdict};
use std::hint::black_box;

fn tree(tenants: usize, depth: usize) -> Spec {
    let limit = |g: f64| Limit { guarantee: Some(g), ceiling: None };
    let total = 1e6;
    let mut spec = Spec::default();
    let mut add = |name: String, parent: Option<String>, share: f64| {
        let (requests, work, concurrency) = (limit(share), limit(share), limit(share));
        spec.nodes.push(NodeSpec {
            name,
            parent,
            weight: 1.0,
            requests,
            work,
            concurrency,
            windows: Vec::new(),
        });
    };
    add("root".into(), None, total);
    // A chain of organisations, with all tenants below the last one.
    let mut above = "root".to_string();
    for level in 1..depth {
        let name = format!("level-{level}");
        add(name.clone(), Some(above), total);
        above = name;
    }
    (0..tenants)
        .for_each(|t| add(format!("tenant-{t}"), Some(above.clone()), total / tenants as f64 * 0.999));
    spec
}

fn requests(c: &mut Criterion) {
    let mut group = c.benchmark_group("quota");
    group.sample_size(10);
    group.warm_up_time(std::time::Duration::from_millis(500));
    group.measurement_time(std::time::Duration::from_secs(1));
    for (tenants, depth) in [(10, 2), (1_000, 2), (100_000, 2), (10, 6), (1_000, 6), (100_000, 6)] {
        let Ok(mut quota) = Quota::new(tree(tenants, depth), 0) else { continue };
        let names: Vec<String> = (0..tenants).map(|t| format!("tenant-{t}")).collect();
        let (mut now, mut i) = (0u64, 0usize);
        group.bench_function(BenchmarkId::from_parameter(format!("{tenants} tenants, depth {depth}")), |b| {
            b.iter(|| {
                now += 10_000;
                i = (i + 7919) % tenants;
                let request = QuotaRequest { slots: 1.0, work: 0.3, retry: false, jitter_seed: now };
                if let Verdict::Admitted(ticket, status) = quota.admit(now, &names[i], &request) {
                    black_box(status);
                    quota.complete(now, ticket, 0.25);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, requests);
criterion_main!(benches);
