//! The settings as the configuration file and the simulator spell them, and their conversion. Unknown keys
//! are ignored.

use crate::api::*;
use rustc_hash::FxHasher;
use serde::Deserialize;
use std::hash::Hasher;

/// The names of classes, tenants, zones and kinds, in the order of the settings. An unknown name gets the
/// number after the last one.
#[derive(Clone, Debug, Default)]
pub struct SettingNames {
    /// The classes.
    pub classes: Vec<String>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The kinds of machine.
    pub kinds: Vec<String>,
}

fn index_or_len(names: &[String], name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or(names.len())
}

impl SettingNames {
    /// Returns the worker with the numbers of this zone and kind.
    pub fn with_zone_and_kind(&self, zone: &str, kind: &str, worker: Worker) -> Worker {
        let (zone, kind) = (index_or_len(&self.zones, zone), index_or_len(&self.kinds, kind));
        Worker { zone: ZoneId(zone), kind: KindId(kind), ..worker }
    }
    /// Returns the number of a class; the number of classes if the name is unknown.
    pub fn class_index(&self, name: &str) -> usize {
        index_or_len(&self.classes, name)
    }
}

/// Returns the affinity key for the name of what a job is about.
pub fn affinity_key(name: &str) -> AffinityKey {
    let mut hasher = FxHasher::default();
    hasher.write(name.as_bytes());
    AffinityKey(hasher.finish())
}

/// The settings as they are configured.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct BootInfo")]
pub struct RawSettings {
    balancers: u32,
    rank: u32,
    my_zone: String,
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<RawClass>,
    tenants: Vec<RawTenant>,
    over_share_worth: f64,
    worth_by: String,
    registry_mode: String,
    weights: String,
    tick: Nanos,
    load_report: RawLoadReport,
    ceilings: RawCeilings,
    obligations: RawObligations,
    penalties: RawPenalties,
    extra: RawExtra,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct RawClass")]
struct RawClass {
    name: String,
    aim: Nanos,
    aim_stretch: f64,
    give_up: Nanos,
    worth: f64,
    late_worth: f64,
    effect: String,
    group: String,
    repeat_window: Nanos,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct RawTenant")]
struct RawTenant {
    name: String,
    quota_rps: f64,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct LoadReport")]
struct RawLoadReport {
    fields: Vec<String>,
    how: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
#[serde(expecting = "struct Ceilings")]
struct RawCeilings {
    cancel: bool,
    dial_timeout: Nanos,
    keepalive: Nanos,
    max_attempts: u32,
    max_open: usize,
    max_retry_after: Nanos,
    may_tell: bool,
    probing: bool,
    retry_after: bool,
    second_copies: bool,
}

impl Default for RawCeilings {
    fn default() -> Self {
        RawCeilings {
            cancel: false,
            dial_timeout: 1_000_000_000,
            keepalive: 5_000_000_000,
            max_attempts: 1,
            max_open: 20_000,
            max_retry_after: 0,
            may_tell: false,
            probing: false,
            retry_after: false,
            second_copies: false,
        }
    }
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct Obligations")]
struct RawObligations {
    cold: Nanos,
    cold_from: f64,
    drain_grace: Nanos,
    must_ask_in: Nanos,
    overload_factor: f64,
    overload_for: Nanos,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct Penalties")]
struct RawPenalties {
    cross_zone: f64,
    waste: f64,
    late_fail: f64,
    peer: f64,
    probe: f64,
    handshake: f64,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct Extra")]
struct RawExtra {
    class_kind: Vec<i64>,
    class_stretch: Vec<f64>,
    progress: Nanos,
    tells_start: bool,
    queue_order: String,
    report_x0: String,
}

impl RawSettings {
    /// Converts the settings for the decision module, with the names that they use.
    pub fn to_settings(&self) -> (Settings, SettingNames) {
        let classes = self.classes.iter().enumerate().map(|(i, c)| Class {
            latency_objective: c.aim,
            objective_stretch: self.extra.class_stretch.get(i).copied().unwrap_or(c.aim_stretch),
            client_timeout: c.give_up,
            worth: c.worth,
            late_worth: c.late_worth,
            idempotency: match (&*c.effect, &*c.group) {
                ("idempotent", _) => Idempotency::Idempotent,
                ("deduplicated", "all") => Idempotency::Deduplicated(DedupScope::All),
                ("deduplicated", "zone") => Idempotency::Deduplicated(DedupScope::Zone),
                ("deduplicated", "cell") => Idempotency::Deduplicated(DedupScope::Cell),
                _ => Idempotency::AtMostOnce,
            },
            dedup_window: c.repeat_window,
            kind: self.extra.class_kind.get(i).and_then(|&k| usize::try_from(k).ok()).map(KindId),
        });
        let settings = Settings {
            dispatcher_count: self.balancers,
            own_id: PeerId(self.rank),
            own_zone: ZoneId(index_or_len(&self.zones, &self.my_zone)),
            zone_count: self.zones.len(),
            kind_count: self.kinds.len(),
            classes: classes.collect(),
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_rps }).collect(),
            over_share_worth: self.over_share_worth,
            worth_by_work: self.worth_by == "work",
            queue_order: match &*self.extra.queue_order {
                "backfill" => QueueOrder::Backfill,
                "priority" => QueueOrder::Priority,
                _ => QueueOrder::Fifo,
            },
            job_starts_reported: self.extra.tells_start,
            progress_interval: self.extra.progress,
            free_slots_reported: self.extra.report_x0 == "free slots",
            load_reporting: match &*self.load_report.how {
                "inline" => LoadReporting::Inline,
                "on_probe" => LoadReporting::OnProbe,
                _ => LoadReporting::None,
            },
            weight_meaning: match &*self.weights {
                "nominal" | "rough" => WeightMeaning::Size,
                "live" => WeightMeaning::Live,
                _ => WeightMeaning::None,
            },
            list_needs_watch: self.registry_mode == "subscribe",
            tick: self.tick,
            limits: Limits {
                max_attempts: self.ceilings.max_attempts,
                cancel: self.ceilings.cancel,
                hedging: self.ceilings.second_copies,
                probing: self.ceilings.probing,
                peer_messages: self.ceilings.may_tell,
                max_retry_after: if self.ceilings.retry_after { self.ceilings.max_retry_after } else { 0 },
            },
            obligations: Obligations {
                warm_up_time: self.obligations.cold,
                initial_capacity_share: self.obligations.cold_from,
                overload_factor: self.obligations.overload_factor,
                overload_window: self.obligations.overload_for,
                list_request_interval: self.obligations.must_ask_in,
            },
            costs: Costs {
                cross_zone: self.penalties.cross_zone,
                waste: self.penalties.waste,
                late_failure: self.penalties.late_fail,
                peer_message: self.penalties.peer,
                probe: self.penalties.probe,
                handshake: self.penalties.handshake,
            },
        };
        let names = SettingNames {
            classes: self.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.name.clone()).collect(),
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
        };
        (settings, names)
    }
    /// Returns the settings for the network code.
    pub fn network_settings(&self) -> NetworkSettings {
        NetworkSettings {
            dial_timeout: self.ceilings.dial_timeout,
            keepalive: self.ceilings.keepalive,
            drain_grace: self.obligations.drain_grace,
            max_open: self.ceilings.max_open,
            report_fields: self.load_report.fields.clone(),
        }
    }
}

/// Settings that only the network code uses.
#[derive(Clone, Debug, Default)]
pub struct NetworkSettings {
    /// Timeout for opening a connection.
    pub dial_timeout: Nanos,
    /// Idle time after which workers close a connection.
    pub keepalive: Nanos,
    /// Time after which attempts at a draining or removed worker end.
    pub drain_grace: Nanos,
    /// Open requests at most.
    pub max_open: usize,
    /// The values in a load report, by the names that the settings use.
    pub report_fields: Vec<String>,
}

/// Names of load values that workers may use, and the names that the settings use for them.
const LOAD_VALUE_ALIASES: [(&str, &str); 6] = [
    ("inflight", "rif"),
    ("queue", "q"),
    ("util", "busy"),
    ("latency_ms", "lat_ms"),
    ("qps", "rate"),
    ("eps", "fail_rate"),
];

impl NetworkSettings {
    /// Sets a load value in a report by its name or alias, unless the settings don't list it.
    pub fn record_load_value(&self, report: &mut LoadReport, name: &str, value: f64) {
        let name = LOAD_VALUE_ALIASES.iter().find(|alias| alias.0 == name).map_or(name, |alias| alias.1);
        if !self.report_fields.iter().any(|f| f == name) {
            return;
        }
        match name {
            "rif" => report.in_flight = Some(value),
            "q" => report.queued = Some(value),
            "busy" => report.utilization = Some(value),
            "lat_ms" => report.service_time_ms = Some(value),
            "x0" => report.free_slots = Some(value),
            _ => {}
        }
    }
}
