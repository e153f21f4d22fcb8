//! Roles that do not exist yet: reasoned, never measured. Each note tells how.

use super::meter::{self, Plan, point};
use loomlb_capacity::{Series, Source};

/// All estimates.
pub fn series(plan: &Plan) -> Result<Vec<Series>, String> {
    let estimate = |key: &str, unit: &str, by: &str, note: &str, sizes: &[f64], cost: &dyn Fn(f64) -> f64| {
        let mut series = meter::series(key, unit, by, Source::Estimated, note);
        plan.sizes(sizes).iter().for_each(|size| point(&mut series, *size, vec![cost(*size)]));
        series
    };
    let workers = [100.0, 1_000.0, 10_000.0, 19_000.0, 57_000.0];
    let all = [
        estimate(
            "planner.gang.time_by_workers",
            "ns",
            "workers",
            "not built: one pass over all workers for a gang, 10 ns a worker (a cache line each, read in order), and as much again to order the candidates",
            &workers,
            &|w| 20.0 * w,
        ),
        estimate(
            "planner.memory_by_workers",
            "bytes",
            "workers",
            "not built: 256 bytes a worker (name, zone, state) and 64 for each of 25/19 accelerators (kind, holder, until when)",
            &workers,
            &|w| w * (256.0 + 64.0 * 25.0 / 19.0),
        ),
        estimate(
            "planner.sent_by_starts",
            "bytes/s",
            "task starts a second",
            "not built: 200 bytes an order to a scheduler or worker, and 100 for its answer",
            &[10.0, 100.0, 1_000.0, 1_900.0, 5_700.0],
            &|s| 300.0 * s,
        ),
        estimate(
            "urgent.stop.messages_by_slots",
            "messages",
            "slots to be freed",
            "not built: a stop and its answer for each slot, and a start and its answer in its place",
            &[1.0, 8.0, 64.0],
            &|s| 4.0 * s,
        ),
    ];
    Ok(all.into_iter().filter(|s| plan.wants(&s.key)).collect())
}
