//! Clients: the arrival of requests, their properties, and retries.

use crate::scenario::{Backoff, FaultKind, Idempotency, Scenario, Shape};
use crate::seed::{RandomStream, RandomStreams};
use loomlb_policy::Nanos;

/// Fraction of the fleet's capacity that is divided among the tenants.
const TENANT_CAPACITY_SHARE: f64 = 0.8;
/// Depth of a tenant's token bucket, in seconds of its rate.
const QUOTA_BURST_S: f64 = 5.0;

/// A request of a client; each of its tries has an id of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The number, from 1.
    pub number: u64,
    /// When the client sends the first try.
    pub sent_at: Nanos,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: Option<usize>,
    /// The subject of the job, if it has one.
    pub subject: Option<u64>,
    /// Slots that the job takes.
    pub slots: u32,
    /// Work of the job, in nanoseconds of a reference core.
    pub work: f64,
    /// The client's hint of the work, in nanoseconds of a reference core.
    pub hint: Option<u64>,
    /// Time after which the client stops waiting, in nanoseconds.
    pub client_timeout: Nanos,
    /// Time that the client takes to read a response, in nanoseconds.
    pub read_delay: Nanos,
    /// Whether the request is within the rate of its tenant.
    pub in_share: bool,
}

/// Generates the requests of a scenario in the order of time.
#[derive(Debug)]
pub struct Arrivals {
    arrival_times: RandomStream,
    request_properties: RandomStream,
    work: RandomStream,
    subject: RandomStream,
    behavior: RandomStream,
    hints: RandomStream,
    /// Cumulative probabilities of the subjects; empty for a uniform distribution.
    cumulative_popularity: Vec<f64>,
    rate: f64,
    at: f64,
    number: u64,
    end: f64,
    tenant_rate: Vec<f64>,
    /// The token bucket of each tenant: level, and time of its last update.
    buckets: Vec<(f64, f64)>,
    /// Requests during a burst, with increased work, and with a slow reader.
    pub burst_requests: u64,
    /// See `burst_requests`.
    pub heavy_requests: u64,
    /// See `burst_requests`.
    pub slow_readers: u64,
}

impl Arrivals {
    /// Creates the arrivals of a scenario whose fleet does `capacity` nanoseconds of work per nanosecond.
    pub fn new(scenario: &Scenario, streams: &RandomStreams, capacity: f64) -> Self {
        let rate = scenario.load.rate_per_s.unwrap_or_else(|| {
            let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
            let work: f64 = scenario
                .classes
                .iter()
                .map(|c| c.share / shares * c.work_ms / 1e3 * mean_cores(&c.slots))
                .sum();
            scenario.load.part.unwrap_or(0.6) * capacity / work.max(1e-9)
        });
        let shares: f64 = scenario.tenants.iter().map(|t| t.share).sum();
        // Tenants' rates are shares of the fleet's capacity. Without a configured load, 70 % of it is assumed to be
        // in use.
        let tenant_rate_total = rate / scenario.load.part.unwrap_or(0.7).max(0.1) * TENANT_CAPACITY_SHARE;
        Arrivals {
            arrival_times: streams.stream("arrivals"),
            request_properties: streams.stream("classes"),
            work: streams.stream("work"),
            subject: streams.stream("subjects"),
            behavior: streams.stream("habits"),
            hints: streams.stream("hints"),
            cumulative_popularity: cumulative_popularity(scenario),
            rate,
            at: 0.0,
            number: 0,
            end: scenario.seconds,
            tenant_rate: scenario.tenants.iter().map(|t| t.share / shares * tenant_rate_total).collect(),
            buckets: scenario
                .tenants
                .iter()
                .map(|t| (QUOTA_BURST_S * t.share / shares * tenant_rate_total, 0.0))
                .collect(),
            burst_requests: 0,
            heavy_requests: 0,
            slow_readers: 0,
        }
    }

    /// Returns the mean rate of requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the rate of each tenant in requests per second.
    pub fn tenant_rates(&self) -> &[f64] {
        &self.tenant_rate
    }

    /// Returns the rate at a time, whether there is a burst, and the weights of the tenants.
    fn rate_at(&self, scenario: &Scenario, at: f64) -> (f64, bool, Vec<f64>) {
        let load_factor = match scenario.load.shape {
            Shape::Steady => 1.0,
            Shape::Wave => 1.0 + scenario.load.swing * (at / scenario.seconds * std::f64::consts::TAU).sin(),
        };
        let mut weights: Vec<f64> = scenario.tenants.iter().map(|t| t.share * t.usage).collect();
        let normal_weight: f64 = weights.iter().sum();
        let (mut factor, mut burst_active) = (load_factor, false);
        for t in &scenario.faults {
            if t.kind != FaultKind::Burst || at < t.at_s || at >= t.at_s + t.for_s {
                continue;
            }
            burst_active = true;
            let tenant = t.tenant.as_ref().and_then(|n| scenario.tenants.iter().position(|x| x.name == *n));
            match tenant {
                Some(tenant) => weights[tenant] *= t.size.unwrap_or(2.0),
                None => factor *= t.size.unwrap_or(2.0),
            }
        }
        let current_weight: f64 = weights.iter().sum();
        let tenant_factor = if normal_weight > 0.0 { current_weight / normal_weight } else { 1.0 };
        (self.rate * factor * tenant_factor, burst_active, weights)
    }

    /// Takes a token from the bucket of a tenant, and returns whether there was one.
    fn in_share(&mut self, tenant: usize) -> bool {
        let (rate, now) = (self.tenant_rate[tenant], self.at);
        let (level, at) = &mut self.buckets[tenant];
        *level = (*level + rate * (now - *at)).min(QUOTA_BURST_S * rate + 1.0);
        *at = now;
        let within = *level >= 1.0;
        *level -= f64::from(u8::from(within));
        within
    }

    fn draw_subject(&mut self, subjects: usize) -> u64 {
        if self.cumulative_popularity.is_empty() {
            return self.subject.index_below(subjects) as u64;
        }
        let at = self.subject.next_unit();
        self.cumulative_popularity.partition_point(|p| *p < at).min(subjects - 1) as u64
    }

    /// Returns the next request, or `None` after the end of the scenario.
    pub fn next(&mut self, scenario: &Scenario) -> Option<Request> {
        let (rate, _, _) = self.rate_at(scenario, self.at);
        self.at += self.arrival_times.exponential() / rate.max(1e-9);
        if self.at >= self.end {
            return None;
        }
        let (_, burst_active, weights) = self.rate_at(scenario, self.at);
        self.burst_requests += u64::from(burst_active);
        self.number += 1;
        let shares: Vec<f64> = scenario.classes.iter().map(|c| c.share).collect();
        let class = self.request_properties.weighted_index(&shares);
        let c = &scenario.classes[class];
        let slots = 1 << self.request_properties.weighted_index(&c.slots);
        let tenant = self.request_properties.weighted_index(&weights);
        let tenant = (!scenario.tenants.is_empty()).then_some(tenant);
        let in_share = tenant.is_none_or(|t| self.in_share(t));
        let mut work = c.work_ms * 1e6 * self.work.log_normal(c.cv);
        let (heavy_draw, slow_draw, impatience_draw) =
            (self.behavior.next_unit(), self.behavior.next_unit(), self.behavior.next_unit());
        let timeout_draw = self.behavior.next_unit();
        let mut read_delay = 0;
        for (i, t) in scenario.faults.iter().enumerate() {
            if self.at < t.at_s || self.at >= t.at_s + t.for_s {
                continue;
            }
            match t.kind {
                FaultKind::HeavyTail if class == i % scenario.classes.len() && heavy_draw < t.part => {
                    work *= t.size.unwrap_or(15.0);
                    self.heavy_requests += 1;
                }
                FaultKind::SlowReader if slow_draw < t.part => {
                    read_delay = (t.size.unwrap_or(0.2) * 1e9) as Nanos;
                    self.slow_readers += 1;
                }
                _ => {}
            }
        }
        let deadline = c.deadline_ms * 1e6;
        let client_timeout = if impatience_draw < scenario.clients.impatient {
            deadline * (0.02 + 0.3 * timeout_draw)
        } else {
            deadline
        };
        Some(Request {
            number: self.number,
            sent_at: (self.at * 1e9) as Nanos,
            class,
            tenant,
            subject: (scenario.load.subjects > 0).then(|| self.draw_subject(scenario.load.subjects)),
            slots,
            work,
            hint: scenario.load.hints.map(|cv| (work * self.hints.log_normal(cv)) as u64),
            client_timeout: client_timeout as Nanos,
            read_delay,
            in_share,
        })
    }
}

/// Returns the cumulative probabilities of the subjects, which follow Zipf's law.
fn cumulative_popularity(scenario: &Scenario) -> Vec<f64> {
    if scenario.load.skew == 0.0 {
        return Vec::new();
    }
    let weights = (1..=scenario.load.subjects).map(|i| (i as f64).powf(-scenario.load.skew));
    let sums: Vec<f64> = weights
        .scan(0.0, |sum, w| {
            *sum += w;
            Some(*sum)
        })
        .collect();
    let all = sums.last().copied().unwrap_or(1.0);
    sums.into_iter().map(|s| s / all).collect()
}

/// Returns the mean number of cores that a job of a class uses.
fn mean_cores(slots: &[f64]) -> f64 {
    let sum: f64 = slots.iter().sum();
    slots.iter().enumerate().map(|(i, s)| s / sum * f64::from(1 << i)).sum()
}

/// The outcome of a try, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// Refused, with the value of `Retry-After`; 0 if there was none.
    Refused(Nanos),
    /// Failed, or timed out.
    Failed,
    /// No scheduler could be reached, or the connection was closed.
    Unreachable,
}

/// Returns the delay in nanoseconds before the next try, if the client retries after try number `tries` (from 1).
pub fn retry_delay(
    scenario: &Scenario,
    rng: &mut RandomStream,
    class: usize,
    tries: u32,
    outcome: Outcome,
) -> Option<Nanos> {
    let (follows_retry_after, jitter) = (rng.chance(scenario.clients.honour), rng.uniform([0.8, 1.2]));
    if outcome == Outcome::Served || tries > scenario.clients.retries {
        return None;
    }
    let retry_allowed = match outcome {
        Outcome::Refused(_) | Outcome::Unreachable => true,
        _ => scenario.classes[class].effect == Idempotency::Idempotent,
    };
    if !retry_allowed {
        return None;
    }
    let base = scenario.clients.backoff_ms * 1e6;
    let wait = match scenario.clients.backoff {
        Backoff::AtOnce => 0.0,
        Backoff::Fixed => base,
        Backoff::Exponential => base * f64::from(1u32 << (tries - 1).min(16)),
    } * jitter;
    Some(match outcome {
        Outcome::Refused(after) if follows_retry_after && after > 0 => after.max(wait as Nanos),
        _ => wait as Nanos,
    })
}
