//! A scheduler without its sockets: decisions, open flows, the list of workers, and what schedulers tell each other.
//!
//! - `scheduler.decision.*`: a request that ends and one that comes, with two in flight for each worker, 2,000 at most (a
//!   scheduler of a large fleet does not fill the fleet alone). Allocations are counted over 200 of them. Memory is what the
//!   module holds after that, with nothing in flight.
//! - `scheduler.flows.memory_by_flows`: live bytes of the module of 1,000 workers with so many requests in flight.
//! - `scheduler.list.*`: the whole list as JSON, entries as the model words them; parsing it into the scheduler's own type,
//!   and telling it to a module that has none yet (`told_time`: the latter alone). Memory is that of the parsed list; the module's part is in
//!   `scheduler.decision.memory_by_workers`. What the scheduler's own table of targets takes beside is not measured.
//! - `scheduler.talk.*`: digests of tenants' traffic (`loomlb-quota`, 69 tenants, four times a second) from so many peers,
//!   with what datagrams carry and no more, and the module's words on each job it starts and ends.

use super::meter::{self, Plan, allocations, live, point};
use super::probe::{Probe, listed, workers, world};
use loomlb_capacity::{Series, Source};
use loomlb_policy::{Event, ListKind};
use loomlb_quota::share_split::{ShareSplit, node_number};
use loomlb_scheduler::discovery::EndpointList;
use serde_json::json;
use std::hint::black_box;

/// Workers in a scheduler's list.
const WORKERS: [usize; 5] = [10, 100, 1_000, 10_000, 19_000];
/// Requests in flight at most.
const IN_FLIGHT: usize = 2_000;
/// Tenants of the operators.
const TENANTS: usize = 69;
/// Digests of traffic a second.
const DIGESTS: f64 = 4.0;

/// All series of this module that are asked for.
pub fn series(plan: &Plan) -> Result<Vec<Series>, String> {
    let mut all = Vec::new();
    all.extend(decisions(plan));
    all.extend(tenants(plan));
    all.extend(flows(plan));
    all.extend(lists(plan)?);
    all.extend(talk(plan));
    Ok(all)
}

fn decisions(plan: &Plan) -> Vec<Series> {
    let [time, count, memory] =
        ["time", "allocations", "memory"].map(|what| format!("scheduler.decision.{what}_by_workers"));
    if !plan.wants_any(&[&time, &count, &memory]) {
        return Vec::new();
    }
    let mut time = meter::series(&time, "ns", "workers", Source::Timed, "a decision with its end");
    let mut count =
        meter::series(&count, "allocations", "workers", Source::Counted, "a decision with its end");
    let mut memory = meter::series(&memory, "bytes", "workers", Source::Counted, "nothing in flight");
    for n in plan.sizes(&WORKERS) {
        let in_flight = (2 * n).min(IN_FLIGHT);
        if plan.wants(&memory.key) {
            let held = || {
                let mut probe = Probe::busy(*n, 2, 1, in_flight);
                probe.drain();
                probe
            };
            point(&mut memory, *n as f64, vec![live(held).1]);
        }
        let mut probe = Probe::busy(*n, 2, 1, in_flight);
        let counted = allocations(|| (0..200).for_each(|_| probe.step()));
        point(&mut count, *n as f64, vec![counted / 200.0]);
        point(&mut time, *n as f64, plan.time(|| probe.step()));
    }
    vec![time, count, memory].into_iter().filter(|s| !s.points.is_empty()).collect()
}

fn tenants(plan: &Plan) -> Option<Series> {
    let note = "100 workers, 200 in flight";
    let mut time = meter::series("scheduler.decision.time_by_tenants", "ns", "tenants", Source::Timed, note);
    if !plan.wants(&time.key) {
        return None;
    }
    for n in plan.sizes(&[1usize, 10, 100, 1_000, 10_000]) {
        let mut probe = Probe::busy(100, *n, 1, 200);
        point(&mut time, *n as f64, plan.time(|| probe.step()));
    }
    Some(time)
}

fn flows(plan: &Plan) -> Option<Series> {
    let note = "1,000 workers";
    let mut memory =
        meter::series("scheduler.flows.memory_by_flows", "bytes", "flows open", Source::Counted, note);
    if !plan.wants(&memory.key) {
        return None;
    }
    let workers = plan.pick(1_000, 100);
    for n in plan.sizes(&[10usize, 100, 1_000, 3_000, 10_000]) {
        let open = || {
            let mut probe = Probe::idle(workers, 2, 1);
            (0..*n).for_each(|_| probe.request());
            probe
        };
        point(&mut memory, *n as f64, vec![live(open).1]);
    }
    Some(memory)
}

fn lists(plan: &Plan) -> Result<Vec<Series>, String> {
    let [bytes, time, told, memory] =
        ["bytes", "time", "told_time", "memory"].map(|what| format!("scheduler.list.{what}_by_workers"));
    if !plan.wants_any(&[&bytes, &time, &told, &memory]) {
        return Ok(Vec::new());
    }
    let mut bytes = meter::series(&bytes, "bytes", "workers", Source::Counted, "the body of a whole list");
    let mut time = meter::series(&time, "ns", "workers", Source::Timed, "parsed, and told to a module");
    let mut told = meter::series(&told, "ns", "workers", Source::Timed, "told to a module that has none");
    let mut memory = meter::series(&memory, "bytes", "workers", Source::Counted, "the parsed list");
    for n in plan.sizes(&WORKERS) {
        let world = world(*n)?;
        let hosts: Vec<serde_json::Value> = (0..*n).map(|w| listed(&world, w)).collect();
        let text = json!({"seq": 1_000_000, "whole": true, "hosts": hosts}).to_string();
        let parse = || serde_json::from_str::<EndpointList>(&text).map_err(|e| format!("a list: {e}"));
        parse()?;
        point(&mut bytes, *n as f64, vec![text.len() as f64]);
        point(&mut memory, *n as f64, vec![live(parse).1]);
        let entries = workers(*n);
        let tell = || {
            let mut probe = Probe::idle(0, 0, 1);
            probe.tell(Event::WorkerList { kind: ListKind::Complete, entries: entries.clone() });
            black_box(&probe);
        };
        point(&mut told, *n as f64, plan.time(tell));
        let both = plan.time(|| {
            let _ = black_box(parse());
            tell();
        });
        point(&mut time, *n as f64, both);
    }
    Ok(vec![bytes, time, told, memory])
}

fn talk(plan: &Plan) -> Vec<Series> {
    let [bytes, time, job] =
        ["bytes", "time", "job_bytes"].map(|what| format!("scheduler.talk.{what}_by_peers"));
    if !plan.wants_any(&[&bytes, &time, &job]) {
        return Vec::new();
    }
    let note = "digests of 69 tenants' traffic, four times a second from each peer";
    let mut bytes = meter::series(&bytes, "bytes/s", "peers", Source::Counted, note);
    let mut time = meter::series(&time, "ns/s", "peers", Source::Timed, note);
    let note = "the module's words on one job, with 100 workers, sent to each peer";
    let mut job = meter::series(&job, "bytes", "peers", Source::Counted, note);
    for n in plan.sizes(&[1usize, 10, 30, 100, 300]) {
        let mut told = ShareSplit::new(n + 1);
        (0..TENANTS).for_each(|t| told.record_demand(0, node_number(&format!("tenant-{t}")), 1.0));
        let words = told.digests(1);
        let length: usize = words.iter().map(Vec::len).sum();
        point(&mut bytes, *n as f64, vec![(length * n) as f64 * DIGESTS]);
        let (mut parts, mut now) = (ShareSplit::new(n + 1), 1);
        let heard = plan.time(|| {
            now += 250_000_000;
            for peer in 0..*n {
                words.iter().for_each(|word| _ = black_box(parts.apply_digest(now, peer, word)));
            }
        });
        point(&mut time, *n as f64, heard.into_iter().map(|ns| ns * DIGESTS).collect());
        let mut probe = Probe::busy(100, 2, *n as u32 + 1, 200);
        let mut sum = 0;
        for _ in 0..200 {
            sum += probe.end();
            probe.request();
            sum += probe.told();
        }
        point(&mut job, *n as f64, vec![(sum * n) as f64 / 200.0]);
    }
    vec![bytes, time, job]
}
