//! The settings of a scheduler and the entries of the worker list, for the decision module and in the formats of the
//! platform.

use crate::scenario::{DiscoveryMode, Idempotency, Queue, Scenario};
use crate::world::{Health, WorkerEntry, World};
use loomlb_policy::raw_settings::{RawSettings, SettingNames};
use loomlb_policy::{CellId, Settings, Worker, WorkerId, WorkerState};
use serde_json::{Value, json};

/// Returns the name of a zone.
pub fn zone_name(scenario: &Scenario, number: usize) -> String {
    if scenario.fleet.zones <= 1 { "here".into() } else { format!("here-{}", number % scenario.fleet.zones) }
}

fn nanos_from_ms(ms: f64) -> u64 {
    (ms * 1e6) as u64
}

/// Returns the settings of a scheduler as JSON, in the format of the platform. `tenant_rates` are in requests per
/// second.
pub fn raw_settings(scenario: &Scenario, scheduler: usize, tenant_rates: &[f64]) -> Value {
    let classes: Vec<Value> = scenario
        .classes
        .iter()
        .map(|c| {
            let (effect, group) = match c.effect {
                Idempotency::Idempotent => ("idempotent", "all"),
                Idempotency::DeduplicatedInCell => ("deduplicated", "cell"),
                Idempotency::DeduplicatedInZone => ("deduplicated", "zone"),
                Idempotency::AtMostOnce => ("at_most_once", "all"),
            };
            json!({"name": c.name, "aim": nanos_from_ms(c.aim_ms), "give_up": nanos_from_ms(c.deadline_ms), "worth": c.worth, "late_worth": 0.0,
                "effect": effect, "group": group, "repeat_window": nanos_from_ms(c.window_ms), "stream": false})
        })
        .collect();
    let shares: f64 = scenario.tenants.iter().map(|t| t.share).sum();
    let tenants: Vec<Value> = scenario
        .tenants
        .iter()
        .zip(tenant_rates)
        .map(|(t, rate)| json!({"name": t.name, "quota_rps": rate, "share": t.share / shares}))
        .collect();
    let kinds: Vec<&str> = scenario.fleet.kinds.iter().map(|k| k.name.as_str()).collect();
    let coldest = scenario.fleet.kinds.iter().map(|k| k.cold_from).fold(1.0, f64::min);
    let cold = scenario.fleet.kinds.iter().map(|k| k.cold_s).fold(0.0, f64::max);
    let zones: Vec<String> = (0..scenario.fleet.zones).map(|z| zone_name(scenario, z)).collect();
    let how = match (scenario.reports.on, scenario.reports.by_probe) {
        (false, _) => "off",
        (true, false) => "inline",
        (true, true) => "on_probe",
    };
    let order = match scenario.fleet.queue {
        Queue::Fifo => "fifo",
        Queue::Backfill => "backfill",
        Queue::Priority => "priority",
    };
    json!({
        "balancers": scenario.schedulers.count, "rank": scheduler, "my_zone": zone_name(scenario, scheduler), "zones": zones, "kinds": kinds,
        "classes": classes, "tenants": tenants, "over_share_worth": scenario.terms.over_share_worth, "worth_by": "work",
        "registry_mode": if scenario.discovery.mode == DiscoveryMode::Poll { "subscribe" } else { "automatic" },
        "weights": if scenario.discovery.weights_ms > 0.0 { "live" } else { "off" }, "tick": nanos_from_ms(scenario.tick_ms),
        "load_report": {"how": how, "fields": ["rif", "rate", "x0"]},
        "ceilings": {
            "cancel": true, "dial_timeout": nanos_from_ms(scenario.network.dial_ms), "keepalive": nanos_from_ms(scenario.network.idle_s * 1e3),
            "max_attempts": scenario.terms.max_attempts, "max_open": 20_000, "streams_per_conn": 1,
            "max_retry_after": nanos_from_ms(scenario.terms.max_retry_after_ms), "retry_after": scenario.terms.max_retry_after_ms > 0.0,
            "may_tell": scenario.schedulers.talk, "probing": scenario.schedulers.probes,
            "second_copies": scenario.terms.second_copies,
        },
        "obligations": {
            "cold": nanos_from_ms(cold * 1e3), "cold_from": coldest, "drain_grace": nanos_from_ms(scenario.terms.drain_grace_ms),
            "must_ask_in": 10_000_000_000u64, "overload_factor": scenario.terms.fall_multiple,
            "overload_for": nanos_from_ms(scenario.terms.fall_ms), "grace_to_answer": nanos_from_ms(scenario.terms.answer_grace_ms),
        },
        "penalties": {"waste": 0.02, "late_fail": 0.064, "peer": 0.0086, "probe": scenario.terms.probe_price,
            "handshake": 0.02, "cross_zone": scenario.terms.cross_price},
        "extra": {
            "class_kind": vec![-1; scenario.classes.len()],
            "class_stretch": scenario.classes.iter().map(|c| c.stretch).collect::<Vec<f64>>(),
            "class_priority": scenario.classes.iter().map(|c| c.priority).collect::<Vec<i32>>(),
            "progress": nanos_from_ms(scenario.terms.progress_ms), "tells_start": true, "queue_order": order,
            "report_x0": "free slots",
        },
    })
}

/// Returns the settings of a scheduler for the decision module.
pub fn dispatcher_settings(
    scenario: &Scenario,
    scheduler: usize,
    tenant_rates: &[f64],
) -> (Settings, SettingNames) {
    // The JSON is generated above, and a test checks that it can be read.
    serde_json::from_value::<RawSettings>(raw_settings(scenario, scheduler, tenant_rates))
        .unwrap_or_default()
        .to_settings()
}

/// Converts a list entry for the decision module.
pub fn listed_worker(world: &World, names: &SettingNames, entry: &WorkerEntry) -> Worker {
    let state = match entry.health {
        Health::Active => WorkerState::Ready,
        Health::Leaving => WorkerState::Draining,
        Health::Left => WorkerState::Removed,
    };
    let id = WorkerId(entry.worker as u64 + 1);
    let worker = Worker {
        state,
        cell: CellId(world.cell(entry.worker) as u64),
        weight: entry.weight,
        started_at: entry.started_at,
        ..Worker::new(id)
    };
    names.with_zone_and_kind(
        &zone_name(&world.scenario, entry.worker),
        &world.scenario.fleet.kinds[world.kind(entry.worker)].name,
        worker,
    )
}

/// Returns a list entry in the JSON format of discovery. `epoch_ms` is the Unix time of the scenario's start in
/// milliseconds.
pub fn discovery_entry(world: &World, entry: &WorkerEntry, dial: &str, epoch_ms: u64) -> Value {
    let health = match entry.health {
        Health::Active => "active",
        Health::Leaving => "leaving",
        Health::Left => "left",
    };
    let started_ms = if entry.started_at == 0 { 0 } else { epoch_ms + entry.started_at / 1_000_000 };
    json!({"host": World::worker_name(entry.worker), "dial": dial, "site": zone_name(&world.scenario, entry.worker),
        "class": world.scenario.fleet.kinds[world.kind(entry.worker)].name, "block": world.cell(entry.worker),
        "health": health, "share": entry.weight, "born_ms": started_ms})
}
