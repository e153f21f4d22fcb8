//! Statistics of a scenario: the outcomes of requests as seen by their clients.

use crate::clients::Request;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use loomlb_policy::Nanos;
use serde::Serialize;

/// Length of the window for [`Figures::worst_window`], in seconds.
const WORST_WINDOW_S: usize = 10;

/// The outcome of a request after all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Served,
    /// Refused by the scheduler.
    Refused,
    /// Failed.
    Failed,
    /// No scheduler could be reached.
    Unreachable,
    /// The client left before its deadline.
    ClientLeft,
}

/// Collects the outcomes of requests.
#[derive(Debug)]
pub struct Collector {
    requests: u64,
    served: u64,
    in_time: u64,
    refused: u64,
    failed: u64,
    unreachable: u64,
    left: u64,
    tries: u64,
    latency: Histogram<u64>,
    /// Offered and earned worth by class, by tenant and by second of the first try.
    classes: Vec<[f64; 2]>,
    tenants: Vec<[f64; 2]>,
    seconds: Vec<[f64; 2]>,
    /// Offered and served work of each tenant by second.
    work: Vec<Vec<[f64; 2]>>,
}

/// Statistics of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Requests of clients, without retries.
    pub requests: u64,
    /// Tries, including retries.
    pub tries: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were served within the latency objective.
    pub in_time: u64,
    /// Requests whose last try was refused.
    pub refused: u64,
    /// Requests whose last try failed.
    pub failed: u64,
    /// Requests whose last try reached no scheduler.
    pub unreachable: u64,
    /// Requests whose client left before its deadline.
    pub left: u64,
    /// Worth earned within the latency objectives, as a fraction of the offered worth.
    pub service: f64,
    /// The lowest value of `service` over 10 s.
    pub worst_window: f64,
    /// `service` by class.
    pub classes: Vec<f64>,
    /// `service` by tenant.
    pub tenants: Vec<f64>,
    /// Work of each tenant by second, in slot seconds: offered by requests made in that second, and served by
    /// requests that ended in it.
    pub tenant_work: Vec<Vec<[f64; 2]>>,
    /// Time from the first try to the response of served requests, in milliseconds.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
}

impl Collector {
    /// Creates an empty collector.
    pub fn new(scenario: &Scenario) -> Self {
        Collector {
            requests: 0,
            served: 0,
            in_time: 0,
            refused: 0,
            failed: 0,
            unreachable: 0,
            left: 0,
            tries: 0,
            latency: Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|_| unreachable!("fixed bounds")),
            classes: vec![[0.0; 2]; scenario.classes.len()],
            tenants: vec![[0.0; 2]; scenario.tenants.len()],
            seconds: vec![[0.0; 2]; scenario.seconds.ceil() as usize + 1],
            work: vec![vec![[0.0; 2]; scenario.seconds.ceil() as usize + 1]; scenario.tenants.len()],
        }
    }

    /// Records the outcome of a request that ended at `at`, after `tries` tries.
    pub fn record(
        &mut self,
        scenario: &Scenario,
        request: &Request,
        at: Nanos,
        tries: u32,
        end: RequestOutcome,
    ) {
        self.requests += 1;
        self.tries += u64::from(tries);
        let class = &scenario.classes[request.class];
        let latency = at.saturating_sub(request.sent_at);
        let objective = class.aim_ms * 1e6 + class.stretch * request.work;
        let in_time =
            end == RequestOutcome::Served && latency as f64 <= objective.min(class.deadline_ms * 1e6);
        match end {
            RequestOutcome::Served => self.served += 1,
            RequestOutcome::Refused => self.refused += 1,
            RequestOutcome::Failed => self.failed += 1,
            RequestOutcome::Unreachable => self.unreachable += 1,
            RequestOutcome::ClientLeft => self.left += 1,
        }
        self.in_time += u64::from(in_time);
        if end == RequestOutcome::Served {
            self.latency.saturating_record((latency / 1000).max(1));
        }
        let share = if request.in_share { 1.0 } else { scenario.terms.over_share_worth };
        let worth = class.worth * request.work / 1e9 * f64::from(request.slots) * share;
        let earned = if in_time { worth } else { 0.0 };
        let second = (request.sent_at / 1_000_000_000) as usize;
        let size = request.work / 1e9 * f64::from(request.slots);
        if let Some(work) = request.tenant.and_then(|t| self.work.get_mut(t)) {
            let ended = (at / 1_000_000_000) as usize;
            if let Some(offered) = work.get_mut(second) {
                offered[0] += size;
            }
            if let Some(served) = work.get_mut(ended).filter(|_| end == RequestOutcome::Served) {
                served[1] += size;
            }
        }
        let tenant = request.tenant.filter(|_| request.in_share).and_then(|t| self.tenants.get_mut(t));
        let sums = [self.classes.get_mut(request.class), tenant, self.seconds.get_mut(second)];
        for sum in sums.into_iter().flatten() {
            sum[0] += worth;
            sum[1] += earned;
        }
    }

    /// Returns the statistics of the requests recorded so far.
    pub fn figures(&self) -> Figures {
        let fraction = |s: &[f64; 2]| if s[0] > 0.0 { s[1] / s[0] } else { 1.0 };
        let sum = |all: &[[f64; 2]]| all.iter().fold([0.0; 2], |a, s| [a[0] + s[0], a[1] + s[1]]);
        let windows = self.seconds.windows(WORST_WINDOW_S.min(self.seconds.len().max(1)));
        let ms = |q: f64| self.latency.value_at_quantile(q) as f64 / 1e3;
        Figures {
            requests: self.requests,
            tries: self.tries,
            served: self.served,
            in_time: self.in_time,
            refused: self.refused,
            failed: self.failed,
            unreachable: self.unreachable,
            left: self.left,
            service: fraction(&sum(&self.classes)),
            worst_window: windows.map(|w| fraction(&sum(w))).fold(1.0, f64::min),
            classes: self.classes.iter().map(fraction).collect(),
            tenants: self.tenants.iter().map(fraction).collect(),
            tenant_work: self.work.clone(),
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
        }
    }
}
