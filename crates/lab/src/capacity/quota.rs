//! Quotas: `quota.admit.time_by_tenants` is a request admitted and settled, as `crates/quota/benches/admit.rs` drives it,
//! in a tree of two levels; `quota.memory_by_tenants` the live bytes of the tree.

use super::meter::{self, Plan, live, point};
use loomlb_capacity::{Series, Source};
use loomlb_quota::{Limit, NodeSpec, Quota, QuotaRequest, Spec, Verdict};
use std::hint::black_box;

/// A root and so many tenants below it.
fn tree(tenants: usize) -> Spec {
    let limit = |g: f64| Limit { guarantee: Some(g), ceiling: None };
    let node = |name: String, parent: Option<String>, share: f64| {
        let (requests, work, concurrency) = (limit(share), limit(share), limit(share));
        NodeSpec { name, parent, weight: 1.0, requests, work, concurrency, windows: Vec::new() }
    };
    let mut spec = Spec::default();
    spec.nodes.push(node("root".into(), None, 1e6));
    let each = 1e6 / tenants as f64 * 0.999;
    spec.nodes.extend((0..tenants).map(|t| node(format!("tenant-{t}"), Some("root".into()), each)));
    spec
}

/// All series of quotas.
pub fn series(plan: &Plan) -> Result<Vec<Series>, String> {
    let keys = ["quota.admit.time_by_tenants", "quota.memory_by_tenants"];
    if !plan.wants_any(&keys) {
        return Ok(Vec::new());
    }
    let mut time = meter::series(keys[0], "ns", "tenants", Source::Timed, "admitted and settled");
    let mut memory = meter::series(keys[1], "bytes", "tenants", Source::Counted, "the tree");
    for n in plan.sizes(&[10usize, 69, 1_000, 10_000, 100_000]) {
        let spec = tree(*n);
        let (quota, held) = live(|| Quota::new(spec.clone(), 0));
        let mut quota = quota.map_err(|e| format!("quota of {n} tenants: {e}"))?;
        point(&mut memory, *n as f64, vec![held]);
        let names: Vec<String> = (0..*n).map(|t| format!("tenant-{t}")).collect();
        let (mut now, mut i) = (0u64, 0usize);
        let took = plan.time(|| {
            now += 10_000;
            i = (i + 7919) % n;
            let ask = QuotaRequest { slots: 1.0, work: 0.3, retry: false, jitter_seed: now };
            if let Verdict::Admitted(ticket, standing) = quota.admit(now, &names[i], &ask) {
                black_box(standing);
                quota.complete(now, ticket, 0.25);
            }
        });
        point(&mut time, *n as f64, took);
    }
    Ok(vec![time, memory])
}
