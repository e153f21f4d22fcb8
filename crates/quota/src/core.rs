//! Admission against a tree of token buckets: charges, loans between nodes, and tickets of admitted requests.

use crate::Nanos;
use crate::spec::{Limit, MAX_DEPTH, Measure, OverSharePolicy, Spec, SpecError};
use crate::window::Window;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Number of measures that are limited by rate: requests and work.
const MEASURE_COUNT: usize = 2;
/// Period over which a node's borrowing is averaged and a lender's demand for repayment stays active.
const ACTIVITY_PERIOD: Nanos = 1_000_000_000;
/// A bucket's level falls at most this many times its capacity below zero. It falls below zero when a job takes more
/// work than estimated.
const MAX_OVERDRAFT_FACTOR: f64 = 8.0;
/// Shortest time after which a refused request is told to retry, where no window gives a time. The longest is four times
/// this.
const MIN_RETRY_AFTER: Nanos = 50_000_000;
/// Loans from a bucket that fills more slowly than this, in units per second, are credited to no lender: none of those that
/// fill it is worth a credit.
const MIN_LENDING_FILL_RATE: f64 = 1e-3;
/// Smaller differences are treated as rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The amounts that a request would use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRequest {
    /// Number of slots.
    pub slots: f64,
    /// Estimated work, in slot seconds.
    pub work: f64,
    /// Whether a client retries a request that was counted before; a retry isn't counted as another request.
    pub retry: bool,
    /// Seed of the jitter that is added to the retry time of a refusal.
    pub jitter_seed: u64,
}

/// Identifies an admitted request until it is completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// How a request relates to its tenant's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShareStatus {
    /// Covered by the tenant's own share.
    Within,
    /// Covered by idle shares of other nodes.
    Borrowed,
    /// Covered by no share. It may be served with capacity that requests within their shares leave free.
    Over,
}

/// The reason of a refusal and the time to wait before a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The node whose ceiling or share is exhausted.
    pub node: String,
    /// Time to wait before a retry, in nanoseconds, with jitter so that refused requests don't return at the same time.
    pub retry_after: Nanos,
}

/// The result of an admission check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Admitted. The ticket must be passed to [`Quota::complete`] when the request ends.
    Admitted(Ticket, ShareStatus),
    /// A ceiling is reached, or no share covers the request and the policy is to refuse. Nothing was charged.
    Refused(Refusal),
    /// No node has the tenant's name. Nothing was charged.
    Unknown,
}

/// Counters of admissions and loans.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Requests admitted within their share.
    pub within: u64,
    /// Requests admitted on borrowed share.
    pub borrowed: u64,
    /// Requests admitted over their share.
    pub over: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests of unknown tenants.
    pub unknown: u64,
    /// Number of loans.
    pub loans: u64,
    /// Amounts lent: requests, and slot seconds.
    pub lent: [f64; MEASURE_COUNT],
    /// Amounts repaid: requests, and slot seconds.
    pub repaid: [f64; MEASURE_COUNT],
    /// Requests completed.
    #[serde(rename = "settled")]
    pub completed: u64,
    /// Requests completed after their node was removed.
    #[serde(rename = "settled_removed")]
    pub completed_after_removal: u64,
}

/// Debt and credit of one node for one measure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Loan {
    /// Name of the node.
    pub node: String,
    /// The measure, which gives the unit of the amounts.
    pub measure: Measure,
    /// Amount that the node owes to lenders.
    pub owes: f64,
    /// Amount that borrowers owe to the node.
    pub is_owed: f64,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    /// Whether shares limit the node's use of the measure.
    limited: bool,
    guarantee: f64,
    /// The part of the guarantee that isn't assigned to children.
    unallocated: f64,
    ceiling: Option<f64>,
    fill_rate: f64,
    level: f64,
    capacity: f64,
    /// Time of the last refill.
    refilled_at: Nanos,
    lending: bool,
    /// Whether the event queue holds a `BucketFull` event of this bucket.
    full_event_queued: bool,
    /// Sum of the amounts drawn from this bucket, each divided by the fill rate at that time, in non-decaying units.
    drawn_index: f64,
    /// The parent's `drawn_index` at the last update of the credit.
    parent_index_seen: f64,
    /// Amount owed to this node, in non-decaying units (see `Quota::growth_factor`).
    credit: f64,
    /// This bucket's own `drawn_index` at the last update of the credit of the unallocated share.
    own_index_seen: f64,
    /// Amount repaid to this bucket and not yet claimed by a lender, in non-decaying units.
    repaid: f64,
    /// Until this time, borrowers repay because a lender below this node needs more than its share.
    wanted_until: Nanos,
    /// Sum of the weights of the children that borrowed recently.
    borrower_weight: f64,
    /// Whether this node is counted in its parent's `borrower_weight`.
    borrowing: bool,
    /// Amount borrowed from ancestors, decayed up to `borrowed_at`.
    borrowed_amount: f64,
    borrowed_at: Nanos,
}

impl Bucket {
    /// The decayed amount that this node borrowed from its ancestors.
    fn recently_borrowed(&self, now: Nanos) -> f64 {
        self.borrowed_amount * (-(now.saturating_sub(self.borrowed_at) as f64 / ACTIVITY_PERIOD as f64)).exp()
    }
}

#[derive(Clone, Debug)]
struct Node {
    name: String,
    parent: Option<usize>,
    weight: f64,
    buckets: [Bucket; MEASURE_COUNT],
    concurrency: Limit,
    in_use: f64,
    /// Guaranteed slots that the children don't use.
    idle_child_slots: f64,
    windows: Vec<(usize, Window)>,
    /// Debts to ancestors: measure, ancestor, and amount in non-decaying units.
    debts: Vec<(usize, usize, f64)>,
}

/// The bucket that pays for an amount.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    /// Shares don't limit the measure.
    Unlimited,
    OwnShare,
    /// An amount repaid to this ancestor.
    Repaid(usize),
    /// A loan from this ancestor.
    Loan(usize),
    /// No share covers the amount.
    Unfunded,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    node: usize,
    slots: f64,
    work: f64,
    source: Source,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The bucket of a node and measure may be full.
    BucketFull(usize, usize),
    /// A node may have stopped borrowing.
    CheckBorrowing(usize, usize),
}

/// The quotas of all nodes of a tree, with their current use.
#[derive(Clone, Debug)]
pub struct Quota {
    spec: Spec,
    nodes: Vec<Node>,
    node_indices: FxHashMap<String, usize>,
    /// Nodes without children, by the node number used in digests.
    leaves: FxHashMap<u32, usize>,
    open_requests: FxHashMap<u64, OpenRequest>,
    last_ticket: u64,
    events: BinaryHeap<Reverse<(Nanos, Event)>>,
    now: Nanos,
    epoch: Nanos,
    /// Credit of loans from buckets that nothing filled, which belongs to no lender; in non-decaying units.
    unattributed_credit: [f64; MEASURE_COUNT],
    /// Counters since the start.
    pub counters: Counters,
}

/// Returns a pseudorandom time below `bound` that depends only on `seed`.
fn jitter(seed: u64, bound: Nanos) -> Nanos {
    let mut hash = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (hash ^ (hash >> 31)) % bound.max(1)
}

impl Quota {
    /// Creates the quotas of a tree with nothing in use. Fails if the specification is invalid.
    pub fn new(spec: Spec, now: Nanos) -> Result<Quota, SpecError> {
        let parents = spec.check()?;
        let window = |window_spec: &crate::WindowSpec| {
            let length = (window_spec.seconds * 1e9) as Nanos;
            (window_spec.measure as usize, Window::new(length, window_spec.limit))
        };
        let mut nodes: Vec<Node> = spec
            .nodes
            .iter()
            .zip(&parents)
            .map(|(node_spec, parent)| Node {
                name: node_spec.name.clone(),
                parent: *parent,
                weight: node_spec.weight,
                buckets: [node_spec.requests, node_spec.work].map(|limit| {
                    let guarantee = limit.guarantee.unwrap_or(0.0);
                    Bucket {
                        limited: limit.guarantee.is_some(),
                        guarantee,
                        unallocated: guarantee,
                        ceiling: limit.ceiling,
                        capacity: guarantee * spec.burst_s,
                        refilled_at: now,
                        ..Bucket::default()
                    }
                }),
                concurrency: node_spec.concurrency,
                in_use: 0.0,
                idle_child_slots: 0.0,
                windows: node_spec.windows.iter().map(window).collect(),
                debts: Vec::new(),
            })
            .collect();
        for i in 0..nodes.len() {
            let Some(parent) = parents[i] else { continue };
            for measure in 0..MEASURE_COUNT {
                let guarantee = nodes[i].buckets[measure].guarantee;
                let above = &mut nodes[parent].buckets[measure];
                above.unallocated = (above.unallocated - guarantee).max(0.0);
            }
            let guarantee = nodes[i].concurrency.guarantee.unwrap_or(0.0);
            nodes[parent].idle_child_slots += guarantee;
        }
        // The ceiling of a rate is enforced as a window of one second.
        for node in &mut nodes {
            for measure in 0..MEASURE_COUNT {
                if let Some(ceiling) = node.buckets[measure].ceiling {
                    node.windows.push((measure, Window::new(1_000_000_000, ceiling)));
                }
            }
        }
        let node_indices = nodes.iter().enumerate().map(|(i, entry)| (entry.name.clone(), i)).collect();
        let inner_nodes: rustc_hash::FxHashSet<usize> = parents.iter().flatten().copied().collect();
        let is_leaf = |i: &usize| !inner_nodes.contains(i);
        let leaves = (0..nodes.len())
            .filter(is_leaf)
            .map(|i| (crate::share_split::node_number(&nodes[i].name), i))
            .collect();
        let mut quota = Quota {
            spec,
            nodes,
            node_indices,
            leaves,
            open_requests: FxHashMap::default(),
            last_ticket: 0,
            events: BinaryHeap::new(),
            now,
            epoch: now,
            unattributed_credit: [0.0; MEASURE_COUNT],
            counters: Counters::default(),
        };
        // Initially all nodes are idle and lend: each bucket is full and receives the rates of all buckets below it.
        for measure in 0..MEASURE_COUNT {
            for i in 0..quota.nodes.len() {
                let above =
                    quota.nodes[i].parent.is_some_and(|parent| quota.nodes[parent].buckets[measure].limited);
                let bucket = &mut quota.nodes[i].buckets[measure];
                (bucket.fill_rate, bucket.level, bucket.lending) =
                    (bucket.guarantee, bucket.capacity, bucket.limited && above);
            }
        }
        Ok(quota)
    }

    /// Factor between current amounts and stored amounts in non-decaying units. Debts and credits are stored multiplied
    /// by it; as it grows, they all decay at the same rate without being updated.
    fn growth_factor(&self) -> f64 {
        (self.now.saturating_sub(self.epoch) as f64 / 1e9 / self.spec.fade_s).exp()
    }

    /// Advances the time and handles the events that are due. If the clock steps back, the time stays where it is.
    fn advance_time(&mut self, now: Nanos) {
        let now = now.max(self.now);
        while let Some(&Reverse((at, event))) = self.events.peek() {
            if at > now {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            match event {
                Event::BucketFull(node, measure) => {
                    self.nodes[node].buckets[measure].full_event_queued = false;
                    self.refill(node, measure);
                    let bucket = &self.nodes[node].buckets[measure];
                    if bucket.level >= bucket.capacity - ROUNDING_TOLERANCE * bucket.capacity.max(1.0) {
                        self.start_lending(node, measure)
                    } else {
                        self.schedule_full_event(node, measure)
                    }
                }
                Event::CheckBorrowing(node, measure) => self.check_borrowing(node, measure),
            }
        }
        self.now = now;
        // Rescales the stored amounts before the growth factor overflows.
        if now.saturating_sub(self.epoch) as f64 / 1e9 > 500.0 * self.spec.fade_s {
            self.rebase_units();
        }
    }

    fn rebase_units(&mut self) {
        let factor = 1.0 / self.growth_factor();
        for node in &mut self.nodes {
            for bucket in &mut node.buckets {
                for amount in [
                    &mut bucket.drawn_index,
                    &mut bucket.parent_index_seen,
                    &mut bucket.credit,
                    &mut bucket.own_index_seen,
                    &mut bucket.repaid,
                ] {
                    *amount *= factor;
                }
            }
            node.debts.iter_mut().for_each(|debt| debt.2 *= factor);
        }
        self.unattributed_credit.iter_mut().for_each(|credit| *credit *= factor);
        self.epoch = self.now;
    }

    /// Queues an event for the time at which the bucket will be full.
    fn schedule_full_event(&mut self, node: usize, measure: usize) {
        let bucket = &mut self.nodes[node].buckets[measure];
        if bucket.full_event_queued
            || bucket.lending
            || bucket.fill_rate <= ROUNDING_TOLERANCE
            || !bucket.limited
        {
            return;
        }
        bucket.full_event_queued = true;
        let wait =
            ((bucket.capacity - bucket.level).max(0.0) / bucket.fill_rate * 1e9).ceil().min(1e15) as Nanos;
        self.events.push(Reverse((self.now + wait.max(1), Event::BucketFull(node, measure))));
    }

    fn refill(&mut self, node: usize, measure: usize) {
        let now = self.now;
        let bucket = &self.nodes[node].buckets[measure];
        if bucket.lending || !bucket.limited {
            return;
        }
        let span = now.saturating_sub(bucket.refilled_at) as f64 / 1e9;
        let mut refill = bucket.fill_rate * span;
        if !self.nodes[node].debts.is_empty() {
            refill -= self.repay_debts(
                node,
                measure,
                self.spec.repay * self.nodes[node].buckets[measure].guarantee * span,
            );
        }
        let bucket = &mut self.nodes[node].buckets[measure];
        (bucket.level, bucket.refilled_at) = ((bucket.level + refill).min(bucket.capacity), now);
    }

    /// Repays at most `max_amount` to ancestors under which a lender requested repayment. Returns the amount repaid.
    fn repay_debts(&mut self, node: usize, measure: usize, max_amount: f64) -> f64 {
        let (now, growth) = (self.now, self.growth_factor());
        let mut left = max_amount;
        let mut debts = std::mem::take(&mut self.nodes[node].debts);
        for (debt_measure, ancestor, owed) in &mut debts {
            if *debt_measure != measure
                || self.nodes[*ancestor].buckets[measure].wanted_until <= now
                || left <= 0.0
            {
                continue;
            }
            let paid = left.min(*owed / growth);
            *owed -= paid * growth;
            self.nodes[*ancestor].buckets[measure].repaid += paid * growth;
            self.counters.repaid[measure] += paid;
            left -= paid;
        }
        debts.retain(|debt| debt.2 / growth > ROUNDING_TOLERANCE);
        self.nodes[node].debts = debts;
        max_amount - left
    }

    /// Updates the credit of a lending node, after that of its ancestors.
    fn accrue_credit(&mut self, node: usize, measure: usize) {
        let Some(parent) = self.nodes[node].parent.filter(|_| self.nodes[node].buckets[measure].lending)
        else {
            return;
        };
        self.accrue_credit(parent, measure);
        let index = self.nodes[parent].buckets[measure].drawn_index;
        let bucket = &mut self.nodes[node].buckets[measure];
        let drawn = index - bucket.parent_index_seen;
        bucket.parent_index_seen = index;
        // Amounts drawn are credited to the nodes that fill the bucket: lending children and the unallocated share.
        bucket.drawn_index += drawn;
        self.credit_own_share(node, measure);
    }

    /// Credits the node's unallocated share with its part of the amounts drawn since the last update.
    fn credit_own_share(&mut self, node: usize, measure: usize) {
        let bucket = &mut self.nodes[node].buckets[measure];
        bucket.credit += bucket.unallocated * (bucket.drawn_index - bucket.own_index_seen);
        bucket.own_index_seen = bucket.drawn_index;
    }

    fn start_lending(&mut self, node: usize, measure: usize) {
        let Some(parent) =
            self.nodes[node].parent.filter(|&parent| self.nodes[parent].buckets[measure].limited)
        else {
            // The root has no parent to lend to; its bucket is full.
            let bucket = &mut self.nodes[node].buckets[measure];
            bucket.level = bucket.capacity;
            return;
        };
        self.accrue_credit(parent, measure);
        let index = self.nodes[parent].buckets[measure].drawn_index;
        let bucket = &mut self.nodes[node].buckets[measure];
        if bucket.lending {
            return;
        }
        (bucket.lending, bucket.level, bucket.parent_index_seen) = (true, bucket.capacity, index);
        let fill = bucket.fill_rate;
        self.change_fill_rate(parent, measure, fill);
    }

    fn stop_lending(&mut self, node: usize, measure: usize) {
        if !self.nodes[node].buckets[measure].lending {
            return;
        }
        self.accrue_credit(node, measure);
        let now = self.now;
        let bucket = &mut self.nodes[node].buckets[measure];
        (bucket.lending, bucket.level, bucket.refilled_at) = (false, bucket.capacity, now);
        let fill = bucket.fill_rate;
        if let Some(parent) = self.nodes[node].parent {
            self.change_fill_rate(parent, measure, -fill);
        }
    }

    fn change_fill_rate(&mut self, node: usize, measure: usize, change: f64) {
        self.accrue_credit(node, measure);
        self.refill(node, measure);
        let bucket = &mut self.nodes[node].buckets[measure];
        bucket.fill_rate = (bucket.fill_rate + change).max(0.0);
        if !bucket.lending {
            self.schedule_full_event(node, measure);
        } else if let Some(parent) = self.nodes[node].parent {
            self.change_fill_rate(parent, measure, change);
        }
    }

    /// Draws an amount from a bucket, which stops lending. A negative amount is returned to the bucket.
    fn draw(&mut self, node: usize, measure: usize, amount: f64) {
        if self.nodes[node].buckets[measure].lending && amount <= 0.0 {
            // A lending bucket is full, so a returned amount has no effect.
            return;
        }
        self.stop_lending(node, measure);
        self.refill(node, measure);
        let bucket = &mut self.nodes[node].buckets[measure];
        bucket.level =
            (bucket.level - amount).clamp(-MAX_OVERDRAFT_FACTOR * bucket.capacity.max(1.0), bucket.capacity);
        self.schedule_full_event(node, measure);
    }

    /// Sets a leaf's guaranteed rates to `factor` times those of the specification, and adjusts its ancestors. Unknown
    /// numbers and nodes with children are ignored.
    pub fn scale_share(&mut self, now: Nanos, node_number: u32, factor: f64) {
        self.advance_time(now);
        let Some(&node) = self.leaves.get(&node_number).filter(|_| factor.is_finite() && factor >= 0.0)
        else {
            return;
        };
        let limits = [self.spec.nodes[node].requests, self.spec.nodes[node].work];
        for (measure, limit) in limits.into_iter().enumerate() {
            let Some(full_guarantee) = limit.guarantee else { continue };
            let change = full_guarantee * factor - self.nodes[node].buckets[measure].guarantee;
            if change.abs() < ROUNDING_TOLERANCE {
                continue;
            }
            self.accrue_credit(node, measure);
            self.refill(node, measure);
            self.credit_own_share(node, measure);
            let burst = self.spec.burst_s;
            let bucket = &mut self.nodes[node].buckets[measure];
            let filled_fraction =
                if bucket.capacity > ROUNDING_TOLERANCE { bucket.level / bucket.capacity } else { 1.0 };
            bucket.guarantee += change;
            (bucket.unallocated, bucket.fill_rate, bucket.capacity) =
                (bucket.guarantee, bucket.guarantee, bucket.guarantee * burst);
            // Keeps the fraction that is filled, so that moving a share between schedulers creates and loses nothing.
            bucket.level =
                if bucket.lending { bucket.capacity } else { filled_fraction.min(1.0) * bucket.capacity };
            let lending = bucket.lending;
            for ancestor in self.path_to_root(node).skip(1) {
                self.accrue_credit(ancestor, measure);
                self.refill(ancestor, measure);
                let above = &mut self.nodes[ancestor].buckets[measure];
                above.guarantee += change;
                above.capacity = above.guarantee * burst;
                above.level = above.level.min(above.capacity);
            }
            match self.nodes[node].parent.filter(|_| lending) {
                Some(parent) => self.change_fill_rate(parent, measure, change),
                None => self.schedule_full_event(node, measure),
            }
        }
    }

    // ---- admission

    /// Checks a request of a tenant. If admitted, it is charged to all nodes from the tenant to the root.
    pub fn admit(&mut self, now: Nanos, tenant: &str, request: &QuotaRequest) -> Verdict {
        self.advance_time(now);
        let Some(&node) = self.node_indices.get(tenant) else {
            self.counters.unknown += 1;
            return Verdict::Unknown;
        };
        let amounts = [if request.retry { 0.0 } else { 1.0 }, request.work.max(0.0)];
        if let Some(refusal) = self.check_ceilings(node, request, &amounts) {
            self.counters.refused += 1;
            return Verdict::Refused(refusal);
        }
        let sources = [0, 1].map(|measure| self.choose_source(node, measure, amounts[measure]));
        let mut status = self.concurrency_status(node, request.slots);
        for source in sources {
            status = status.max(match source {
                Source::Unlimited | Source::OwnShare | Source::Repaid(_) => ShareStatus::Within,
                Source::Loan(_) => ShareStatus::Borrowed,
                Source::Unfunded => ShareStatus::Over,
            });
        }
        if status == ShareStatus::Over && self.spec.over == OverSharePolicy::Refuse {
            self.counters.refused += 1;
            let after = [0, 1].map(|measure| {
                if sources[measure] == Source::Unfunded {
                    self.time_until_funded(node, measure, amounts[measure])
                } else {
                    0
                }
            });
            let after = after[0].max(after[1]).max(MIN_RETRY_AFTER);
            let node = self.nodes[node].name.clone();
            return Verdict::Refused(Refusal {
                node,
                retry_after: after + jitter(request.jitter_seed, (after / 4).max(3 * MIN_RETRY_AFTER)),
            });
        }
        for measure in 0..MEASURE_COUNT {
            // A request that is over its share in one measure isn't charged to the share of the other.
            if status < ShareStatus::Over {
                self.charge_source(node, measure, amounts[measure], sources[measure]);
            }
            self.charge_windows(node, measure, amounts[measure]);
        }
        self.use_slots(node, request.slots);
        match status {
            ShareStatus::Within => self.counters.within += 1,
            ShareStatus::Borrowed => self.counters.borrowed += 1,
            ShareStatus::Over => self.counters.over += 1,
        }
        self.last_ticket += 1;
        let source = if status < ShareStatus::Over { sources[1] } else { Source::Unfunded };
        self.open_requests
            .insert(self.last_ticket, OpenRequest { node, slots: request.slots, work: amounts[1], source });
        Verdict::Admitted(Ticket(self.last_ticket), status)
    }

    fn path_to_root(&self, node: usize) -> impl Iterator<Item = usize> + use<> {
        let mut path = [usize::MAX; MAX_DEPTH + 1];
        let (mut next, mut len) = (Some(node), 0);
        while let Some(i) = next.filter(|_| len <= MAX_DEPTH) {
            path[len] = i;
            len += 1;
            next = self.nodes[i].parent;
        }
        path.into_iter().take(len)
    }

    /// Checks all ceilings from the node to the root. Returns the refusal with the longest wait if one is reached.
    fn check_ceilings(
        &mut self,
        node: usize,
        request: &QuotaRequest,
        amounts: &[f64; MEASURE_COUNT],
    ) -> Option<Refusal> {
        let now = self.now;
        let mut longest_wait: Option<(Nanos, usize)> = None;
        for i in self.path_to_root(node) {
            let node = &mut self.nodes[i];
            for (measure, window) in &mut node.windows {
                if amounts[*measure] > 0.0
                    && let Err(after) = window.check(now, amounts[*measure])
                    && longest_wait.is_none_or(|longest| longest.0 < after)
                {
                    longest_wait = Some((after, i));
                }
            }
            let over_ceiling = node
                .concurrency
                .ceiling
                .is_some_and(|ceiling| node.in_use + request.slots > ceiling + ROUNDING_TOLERANCE);
            if over_ceiling && longest_wait.is_none() {
                longest_wait = Some((MIN_RETRY_AFTER, i));
            }
        }
        longest_wait.map(|(after, i)| {
            // Spreads the retries over a quarter of the wait, so that most aren't refused again.
            let jitter_bound = (after / 4).max(3 * MIN_RETRY_AFTER);
            Refusal {
                node: self.nodes[i].name.clone(),
                retry_after: after + jitter(request.jitter_seed, jitter_bound),
            }
        })
    }

    /// Time until the node's own share covers the amount, in nanoseconds; at most an hour.
    fn time_until_funded(&self, node: usize, measure: usize, amount: f64) -> Nanos {
        let bucket = &self.nodes[node].buckets[measure];
        let wait_seconds =
            (amount.min(bucket.capacity) - bucket.level).max(0.0) / bucket.guarantee.max(ROUNDING_TOLERANCE);
        (wait_seconds.min(3600.0) * 1e9) as Nanos
    }

    /// Returns the bucket that an amount can be charged to.
    fn choose_source(&mut self, node: usize, measure: usize, amount: f64) -> Source {
        if !self.nodes[node].buckets[measure].limited || amount <= 0.0 {
            return Source::Unlimited;
        }
        self.refill(node, measure);
        if self.nodes[node].buckets[measure].level >= amount - ROUNDING_TOLERANCE {
            return Source::OwnShare;
        }
        let (now, growth) = (self.now, self.growth_factor());
        let credit = self.nodes[node].buckets[measure].credit / growth;
        let mut child = node;
        for ancestor in self.path_to_root(node).skip(1) {
            if !self.nodes[ancestor].buckets[measure].limited {
                break;
            }
            self.refill(ancestor, measure);
            let (weight, child_bucket) = (self.nodes[child].weight, &self.nodes[child].buckets[measure]);
            let recently_borrowed = child_bucket.recently_borrowed(now);
            let new_weight = if child_bucket.borrowing { 0.0 } else { weight };
            let bucket = &mut self.nodes[ancestor].buckets[measure];
            if credit >= amount {
                // This lender needs more than its share, so its borrowers repay for the next period.
                bucket.wanted_until = now + ACTIVITY_PERIOD;
                if bucket.repaid / growth >= amount {
                    return Source::Repaid(ancestor);
                }
            }
            let fair_share =
                bucket.fill_rate * weight / (bucket.borrower_weight + new_weight).max(ROUNDING_TOLERANCE);
            let half_full = bucket.level - amount >= bucket.capacity / 2.0;
            if bucket.level >= amount - ROUNDING_TOLERANCE
                && (half_full || recently_borrowed + amount <= fair_share.max(amount))
            {
                return Source::Loan(ancestor);
            }
            child = ancestor;
        }
        Source::Unfunded
    }

    fn charge_source(&mut self, node: usize, measure: usize, amount: f64, source: Source) {
        let growth = self.growth_factor();
        match source {
            Source::Unlimited | Source::Unfunded => {}
            Source::OwnShare => self.draw(node, measure, amount),
            Source::Repaid(ancestor) => {
                self.nodes[ancestor].buckets[measure].repaid -= amount * growth;
                self.nodes[node].buckets[measure].credit -= amount * growth;
            }
            Source::Loan(ancestor) => {
                self.counters.loans += 1;
                self.borrow(node, measure, amount, ancestor);
                let child = self.path_to_root(node).take_while(|i| *i != ancestor).last().unwrap_or(node);
                let (now, weight) = (self.now, self.nodes[child].weight);
                let bucket = &mut self.nodes[child].buckets[measure];
                (bucket.borrowed_amount, bucket.borrowed_at) = (bucket.recently_borrowed(now) + amount, now);
                if !std::mem::replace(&mut bucket.borrowing, true) {
                    self.nodes[ancestor].buckets[measure].borrower_weight += weight;
                    self.events.push(Reverse((now + ACTIVITY_PERIOD, Event::CheckBorrowing(child, measure))));
                }
            }
        }
    }

    /// Borrows from an ancestor's bucket. The borrower's debt and the lenders' credits grow by the same amount.
    fn borrow(&mut self, node: usize, measure: usize, amount: f64, ancestor: usize) {
        let growth = self.growth_factor();
        self.draw(ancestor, measure, amount);
        self.credit_own_share(ancestor, measure);
        let bucket = &mut self.nodes[ancestor].buckets[measure];
        if bucket.fill_rate > MIN_LENDING_FILL_RATE {
            bucket.drawn_index += amount * growth / bucket.fill_rate;
        } else {
            self.unattributed_credit[measure] += amount * growth;
        }
        self.counters.lent[measure] += amount.max(0.0);
        match self.nodes[node].debts.iter_mut().find(|debt| debt.0 == measure && debt.1 == ancestor) {
            Some(debt) => debt.2 += amount * growth,
            None => self.nodes[node].debts.push((measure, ancestor, amount * growth)),
        }
    }

    /// Removes a node from its parent's borrowers if it hasn't borrowed within the period.
    fn check_borrowing(&mut self, node: usize, measure: usize) {
        let (now, weight, parent) = (self.now, self.nodes[node].weight, self.nodes[node].parent);
        let bucket = &mut self.nodes[node].buckets[measure];
        let until = bucket.borrowed_at + ACTIVITY_PERIOD;
        if until > now {
            self.events.push(Reverse((until, Event::CheckBorrowing(node, measure))));
        } else if std::mem::replace(&mut bucket.borrowing, false)
            && let Some(parent) = parent
        {
            let above = &mut self.nodes[parent].buckets[measure];
            above.borrower_weight = (above.borrower_weight - weight).max(0.0);
        }
    }

    fn charge_windows(&mut self, node: usize, measure: usize, amount: f64) {
        let now = self.now;
        for i in self.path_to_root(node) {
            for (window_measure, window) in &mut self.nodes[i].windows {
                if *window_measure == measure {
                    window.charge(now, amount);
                }
            }
        }
    }

    // ---- concurrency

    /// Whether the slots are covered by the node's guarantee, by idle slots of other nodes, or by neither.
    fn concurrency_status(&self, node: usize, slots: f64) -> ShareStatus {
        let tenant = &self.nodes[node];
        let Some(own) = tenant.concurrency.guarantee else { return ShareStatus::Within };
        if tenant.in_use + slots <= own + ROUNDING_TOLERANCE {
            return ShareStatus::Within;
        }
        for ancestor in self.path_to_root(node).skip(1) {
            let above = &self.nodes[ancestor];
            let Some(guarantee) = above.concurrency.guarantee else { break };
            // Keeps a reserve of the idle slots free for their owners.
            if above.in_use + slots
                <= guarantee - self.spec.reserve * above.idle_child_slots + ROUNDING_TOLERANCE
            {
                return ShareStatus::Borrowed;
            }
        }
        ShareStatus::Over
    }

    fn use_slots(&mut self, node: usize, slots: f64) {
        for i in self.path_to_root(node) {
            let node = &mut self.nodes[i];
            let own = node.concurrency.guarantee.unwrap_or(0.0);
            let idle_before = (own - node.in_use).max(0.0);
            node.in_use = (node.in_use + slots).max(0.0);
            let idle_change = (own - node.in_use).max(0.0) - idle_before;
            if let Some(parent) = node.parent {
                self.nodes[parent].idle_child_slots =
                    (self.nodes[parent].idle_child_slots + idle_change).max(0.0);
            }
        }
    }

    // ---- completion

    /// Completes a request that took `work` slot seconds and charges the difference to the estimate. Completing the
    /// same ticket again has no effect.
    pub fn complete(&mut self, now: Nanos, ticket: Ticket, work: f64) {
        self.advance_time(now);
        let Some(open_request) = self.open_requests.remove(&ticket.0) else { return };
        self.counters.completed += 1;
        self.use_slots(open_request.node, -open_request.slots);
        let excess = work.max(0.0) - open_request.work;
        self.charge_windows(open_request.node, 1, excess);
        match open_request.source {
            Source::OwnShare | Source::Repaid(_) => self.draw(open_request.node, 1, excess),
            Source::Loan(ancestor) if excess > 0.0 => self.borrow(open_request.node, 1, excess, ancestor),
            Source::Loan(ancestor) => self.return_loan(open_request.node, -excess, ancestor),
            Source::Unlimited | Source::Unfunded => {}
        }
    }

    /// Returns the unused part of a loan after a job took less work than estimated.
    fn return_loan(&mut self, node: usize, amount: f64, ancestor: usize) {
        let growth = self.growth_factor();
        let Some(debt) = self.nodes[node].debts.iter_mut().find(|debt| debt.0 == 1 && debt.1 == ancestor)
        else {
            return;
        };
        let returned = amount.min(debt.2 / growth);
        debt.2 -= returned * growth;
        self.draw(ancestor, 1, -returned);
        self.credit_own_share(ancestor, 1);
        let bucket = &mut self.nodes[ancestor].buckets[1];
        if bucket.fill_rate > MIN_LENDING_FILL_RATE {
            bucket.drawn_index -= returned * growth / bucket.fill_rate;
        } else {
            self.unattributed_credit[1] -= returned * growth;
        }
    }

    // ---- changes and status

    /// Replaces the tree. Use and window counts are kept for nodes of the same name; open requests of a removed node
    /// are counted at its nearest remaining ancestor, and loans are closed. An invalid specification changes nothing.
    pub fn replace_spec(&mut self, now: Nanos, spec: Spec) -> Result<(), SpecError> {
        self.advance_time(now);
        let mut next = Quota::new(spec, self.now)?;
        (next.epoch, next.last_ticket, next.counters) = (self.epoch, self.last_ticket, self.counters.clone());
        let remaining_node = |next: &Quota, mut node: usize| loop {
            if let Some(&index) = next.node_indices.get(&self.nodes[node].name) {
                return Some(index);
            }
            node = self.nodes[node].parent?;
        };
        for old in &self.nodes {
            let Some(&new_node) = next.node_indices.get(&old.name) else { continue };
            for measure in 0..MEASURE_COUNT {
                let missing = old.buckets[measure].capacity - old.buckets[measure].level;
                if !old.buckets[measure].lending
                    && next.nodes[new_node].buckets[measure].limited
                    && missing > ROUNDING_TOLERANCE
                {
                    next.draw(new_node, measure, missing.min(next.nodes[new_node].buckets[measure].capacity));
                }
            }
            for (measure, window) in &old.windows {
                let same_window = next.nodes[new_node].windows.iter_mut().find(|(new_measure, candidate)| {
                    new_measure == measure && candidate.length() == window.length()
                });
                if let Some((_, new_window)) = same_window {
                    let limit = new_window.limit();
                    *new_window = window.clone();
                    new_window.set_limit(limit);
                }
            }
        }
        for (ticket, open_request) in &self.open_requests {
            let Some(node) = remaining_node(&next, open_request.node) else { continue };
            next.use_slots(node, open_request.slots);
            let moved = next.nodes[node].name != self.nodes[open_request.node].name;
            let source = match open_request.source {
                Source::OwnShare if !moved => Source::OwnShare,
                Source::Unlimited => Source::Unlimited,
                // Loans are closed, because the bucket that they were drawn from may not exist any more.
                _ => Source::Unfunded,
            };
            next.open_requests.insert(*ticket, OpenRequest { node, source, ..open_request.clone() });
        }
        *self = next;
        Ok(())
    }

    /// Number of admitted requests that aren't completed.
    pub fn open_tickets(&self) -> usize {
        self.open_requests.len()
    }

    /// Number of slots in use at a node; `None` for an unknown node.
    pub fn in_use(&self, node: &str) -> Option<f64> {
        self.node_indices.get(node).map(|node| self.nodes[*node].in_use)
    }

    /// Use and limit of each window of a node: measure, amount used, limit.
    pub fn window_usage(&mut self, now: Nanos, node: &str) -> Vec<(Measure, f64, f64)> {
        self.advance_time(now);
        let Some(&node) = self.node_indices.get(node) else { return Vec::new() };
        let now = self.now;
        let measures = [Measure::Requests, Measure::Work];
        self.nodes[node]
            .windows
            .iter_mut()
            .map(|(measure, window)| (measures[*measure], window.used(now), window.limit()))
            .collect()
    }

    /// Debts and credits of all nodes that have any. Takes time proportional to the number of nodes.
    pub fn loans(&mut self, now: Nanos) -> Vec<Loan> {
        self.advance_time(now);
        let growth = self.growth_factor();
        let mut rows = Vec::new();
        for node in 0..self.nodes.len() {
            for (measure, measure_kind) in [Measure::Requests, Measure::Work].into_iter().enumerate() {
                self.accrue_credit(node, measure);
                self.credit_own_share(node, measure);
                let owes: f64 = self.nodes[node]
                    .debts
                    .iter()
                    .filter(|debt| debt.0 == measure)
                    .map(|debt| debt.2)
                    .sum::<f64>()
                    / growth;
                let is_owed = self.nodes[node].buckets[measure].credit / growth;
                if owes.abs() > 1e-6 || is_owed.abs() > 1e-6 {
                    rows.push(Loan {
                        node: self.nodes[node].name.clone(),
                        measure: measure_kind,
                        owes,
                        is_owed,
                    });
                }
            }
        }
        rows
    }

    /// Sums of all debts and all credits of a measure. They are equal except for rounding.
    pub fn balance(&mut self, now: Nanos, measure: Measure) -> (f64, f64) {
        let measure_index = measure as usize;
        let loans = self.loans(now);
        let growth = self.growth_factor();
        let unclaimed: f64 =
            self.nodes.iter().map(|node| node.buckets[measure_index].repaid).sum::<f64>() / growth;
        let rows = loans.iter().filter(|loan| loan.measure == measure);
        let (owes, owed) = rows.fold((0.0, 0.0), |sum, loan| (sum.0 + loan.owes, sum.1 + loan.is_owed));
        (owes + unclaimed, owed + self.unattributed_credit[measure_index] / growth)
    }
}
