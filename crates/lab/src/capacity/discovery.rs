//! Discovery: `discovery.watch.bytes_by_changes` is what one scheduler's watch brings by changes of workers a second, each in
//! an answer of its own: the body as the model words an entry, without the head of HTTP.

use super::meter::{self, Plan, point};
use super::probe::{listed, world};
use loomlb_capacity::{Series, Source};
use serde_json::json;

/// All series of discovery.
pub fn series(plan: &Plan) -> Result<Vec<Series>, String> {
    let (key, note) = ("discovery.watch.bytes_by_changes", "bodies of answers to one scheduler");
    let mut watch = meter::series(key, "bytes/s", "changes of workers a second", Source::Counted, note);
    if !plan.wants(key) {
        return Ok(Vec::new());
    }
    let world = world(1_000)?;
    for changes in plan.sizes(&[1usize, 10, 100, 1_000]) {
        let told = (0..*changes).map(|c| {
            let (seq, hosts) = (1_000_000 + c, [listed(&world, c)]);
            json!({"seq": seq, "whole": false, "hosts": hosts}).to_string().len()
        });
        point(&mut watch, *changes as f64, vec![told.sum::<usize>() as f64]);
    }
    Ok(vec![watch])
}
