//! The core: buckets, loans and tickets.

use crate::Nanos;
use crate::spec::{Limit, MAX_DEPTH, Measure, OverSharePolicy, Spec, SpecError};
use crate::window::Window;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Flowing measures: requests and work.
const FLOWS: usize = 2;
/// Time over which a node's borrowing is compared with its weight, and a lender's want is remembered.
const RECENT: Nanos = 1_000_000_000;
/// A node's bucket goes no further below nothing than so many times its size: what a job took beyond its estimate.
const DEEPEST: f64 = 8.0;
/// When no window tells better, the refused come back after this time at the earliest and four times that at the latest.
const COME_BACK: Nanos = 50_000_000;
/// A bucket that is filled by less than this a second has no lenders worth a credit: its loans are nobody's.
const FAINT: f64 = 1e-3;
/// Less than this is rounding.
const DUST: f64 = 1e-9;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRequest {
    /// Slots that it takes.
    pub slots: f64,
    /// Its work by estimate, in slot seconds.
    pub work: f64,
    /// A client's further try of a request that was counted before: it is the same demand, and counts no request.
    pub retry: bool,
    /// Any number of its own: the refused come back spread by it.
    pub jitter_seed: u64,
}

/// A request that was let through, until it is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// Whose share a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShareStatus {
    /// Its tenant's own.
    Within,
    /// Room that others lend.
    Borrowed,
    /// Nobody's: it may be served where room is left, after those within their share.
    Over,
}

/// Why and until when a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The node whose ceiling binds.
    pub node: String,
    /// When to come back, in nanoseconds from now, spread so that the refused do not return as one.
    pub after: Nanos,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Let through; to be settled by its ticket.
    Admitted(Ticket, ShareStatus),
    /// A ceiling on its path is reached. Nothing was charged.
    Refused(Refusal),
    /// No node has this name. Nothing was charged.
    Unknown,
}

/// Counts of verdicts and of what was lent.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Requests within share.
    pub within: u64,
    /// Requests on borrowed room.
    pub borrowed: u64,
    /// Requests over share.
    pub over: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests of unknown tenants.
    pub unknown: u64,
    /// Loans, and what was lent in all: requests, and slot seconds.
    pub loans: u64,
    /// See `loans`.
    pub lent: [f64; FLOWS],
    /// What was paid back.
    pub repaid: [f64; FLOWS],
    /// Tickets settled, and those of nodes that had been removed by then.
    #[serde(rename = "settled")]
    pub completed: u64,
    /// See `completed`.
    #[serde(rename = "settled_removed")]
    pub completed_after_removal: u64,
}

/// A row of the table of loans.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Loan {
    /// The node.
    pub node: String,
    /// What is lent: requests or slot seconds.
    pub measure: Measure,
    /// What it owes.
    pub owes: f64,
    /// What it is owed.
    pub is_owed: f64,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    /// It takes part in the measure.
    limited: bool,
    guarantee: f64,
    /// The part of the guarantee that is not promised to children.
    unallocated: f64,
    ceiling: Option<f64>,
    fill: f64,
    level: f64,
    cap: f64,
    at: Nanos,
    lending: bool,
    /// An entry in the queue of wakes is its own.
    timed: bool,
    /// What has been drawn from this bucket for each unit of its fill, in units that do not fade.
    index: f64,
    /// The parent's index when its credit was last brought up to date.
    seen: f64,
    /// What it is owed, and what is owed to nobody's share below it; in units that do not fade.
    credit: f64,
    own_seen: f64,
    /// What was paid back here and nobody has drawn.
    repaid: f64,
    /// A lender below wants more than its share until then.
    wanted: Nanos,
    /// Weights of the children that borrowed of late, and this one's own borrowing from its parent.
    borrowers: f64,
    borrowing: bool,
    borrowed: f64,
    borrowed_at: Nanos,
}

impl Bucket {
    /// What this node has borrowed from above of late.
    fn borrowed_of_late(&self, now: Nanos) -> f64 {
        self.borrowed * (-(now.saturating_sub(self.borrowed_at) as f64 / RECENT as f64)).exp()
    }
}

#[derive(Clone, Debug)]
struct Node {
    name: String,
    parent: Option<usize>,
    weight: f64,
    flows: [Bucket; FLOWS],
    concurrency: Limit,
    in_use: f64,
    /// Guaranteed concurrency of its children that they do not use.
    idle: f64,
    windows: Vec<(usize, Window)>,
    /// Debts to ancestors: measure, ancestor, amount in units that do not fade.
    debts: Vec<(usize, usize, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    Free,
    Own,
    Repaid(usize),
    Loan(usize),
    Nobody,
}

#[derive(Clone, Debug)]
struct Held {
    node: usize,
    slots: f64,
    work: f64,
    source: Source,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Full(usize, usize),
    Quiet(usize, usize),
}

/// The quotas of an installation.
#[derive(Clone, Debug)]
pub struct Quota {
    spec: Spec,
    nodes: Vec<Node>,
    places: FxHashMap<String, usize>,
    /// Nodes without children, by their numbers among schedulers.
    leaves: FxHashMap<u32, usize>,
    held: FxHashMap<u64, Held>,
    last: u64,
    wakes: BinaryHeap<Reverse<(Nanos, Wake)>>,
    now: Nanos,
    epoch: Nanos,
    /// Credit that belongs to no share: what was lent out of a bucket that nothing fills any more.
    nobody: [f64; FLOWS],
    /// Counts.
    pub counters: Counters,
}

/// Something below `most`, the same for the same number.
fn jitter(seed: u64, bound: Nanos) -> Nanos {
    let mut x = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (x ^ (x >> 31)) % bound.max(1)
}

impl Quota {
    /// The quotas of a tree, all idle.
    pub fn new(spec: Spec, now: Nanos) -> Result<Quota, SpecError> {
        let parents = spec.check()?;
        let window = |w: &crate::WindowSpec| {
            let length = (w.seconds * 1e9) as Nanos;
            (w.measure as usize, Window::new(length, w.limit))
        };
        let mut nodes: Vec<Node> = spec
            .nodes
            .iter()
            .zip(&parents)
            .map(|(n, parent)| Node {
                name: n.name.clone(),
                parent: *parent,
                weight: n.weight,
                flows: [n.requests, n.work].map(|limit| {
                    let guarantee = limit.guarantee.unwrap_or(0.0);
                    Bucket {
                        limited: limit.guarantee.is_some(),
                        guarantee,
                        unallocated: guarantee,
                        ceiling: limit.ceiling,
                        cap: guarantee * spec.burst_s,
                        at: now,
                        ..Bucket::default()
                    }
                }),
                concurrency: n.concurrency,
                in_use: 0.0,
                idle: 0.0,
                windows: n.windows.iter().map(window).collect(),
                debts: Vec::new(),
            })
            .collect();
        for i in 0..nodes.len() {
            let Some(p) = parents[i] else { continue };
            for m in 0..FLOWS {
                let g = nodes[i].flows[m].guarantee;
                let above = &mut nodes[p].flows[m];
                above.unallocated = (above.unallocated - g).max(0.0);
            }
            let g = nodes[i].concurrency.guarantee.unwrap_or(0.0);
            nodes[p].idle += g;
        }
        // A ceiling on a rate is a window of one second.
        for node in &mut nodes {
            for m in 0..FLOWS {
                if let Some(most) = node.flows[m].ceiling {
                    node.windows.push((m, Window::new(1_000_000_000, most)));
                }
            }
        }
        let places = nodes.iter().enumerate().map(|(i, n)| (n.name.clone(), i)).collect();
        let inner: rustc_hash::FxHashSet<usize> = parents.iter().flatten().copied().collect();
        let leaf = |i: &usize| !inner.contains(i);
        let leaves = (0..nodes.len())
            .filter(leaf)
            .map(|i| (crate::share_split::node_number(&nodes[i].name), i))
            .collect();
        let mut quota = Quota {
            spec,
            nodes,
            places,
            leaves,
            held: FxHashMap::default(),
            last: 0,
            wakes: BinaryHeap::new(),
            now,
            epoch: now,
            nobody: [0.0; FLOWS],
            counters: Counters::default(),
        };
        // All are idle, so all lend: each bucket is full and filled by everything below it.
        for m in 0..FLOWS {
            for i in 0..quota.nodes.len() {
                let above = quota.nodes[i].parent.is_some_and(|p| quota.nodes[p].flows[m].limited);
                let b = &mut quota.nodes[i].flows[m];
                (b.fill, b.level, b.lending) = (b.guarantee, b.cap, b.limited && above);
            }
        }
        Ok(quota)
    }

    /// What one unit that does not fade is made of now: amounts are kept in such units, so that all fade alike.
    fn grown(&self) -> f64 {
        (self.now.saturating_sub(self.epoch) as f64 / 1e9 / self.spec.fade_s).exp()
    }

    /// Brings the time up. A clock that steps back stands still until it has caught up.
    fn tick(&mut self, now: Nanos) {
        let now = now.max(self.now);
        while let Some(&Reverse((at, wake))) = self.wakes.peek() {
            if at > now {
                break;
            }
            self.wakes.pop();
            self.now = self.now.max(at);
            match wake {
                Wake::Full(n, m) => {
                    self.nodes[n].flows[m].timed = false;
                    self.refill(n, m);
                    let b = &self.nodes[n].flows[m];
                    if b.level >= b.cap - DUST * b.cap.max(1.0) { self.lend(n, m) } else { self.time(n, m) }
                }
                Wake::Quiet(n, m) => self.quiet(n, m),
            }
        }
        self.now = now;
        // Long before the units run out of range, all amounts are rewritten in units of today.
        if now.saturating_sub(self.epoch) as f64 / 1e9 > 500.0 * self.spec.fade_s {
            self.rebase();
        }
    }

    fn rebase(&mut self) {
        let by = 1.0 / self.grown();
        for node in &mut self.nodes {
            for b in &mut node.flows {
                for x in [&mut b.index, &mut b.seen, &mut b.credit, &mut b.own_seen, &mut b.repaid] {
                    *x *= by;
                }
            }
            node.debts.iter_mut().for_each(|d| d.2 *= by);
        }
        self.nobody.iter_mut().for_each(|x| *x *= by);
        self.epoch = self.now;
    }

    /// Sets a wake for when a bucket will be full.
    fn time(&mut self, n: usize, m: usize) {
        let b = &mut self.nodes[n].flows[m];
        if b.timed || b.lending || b.fill <= DUST || !b.limited {
            return;
        }
        b.timed = true;
        let wait = ((b.cap - b.level).max(0.0) / b.fill * 1e9).ceil().min(1e15) as Nanos;
        self.wakes.push(Reverse((self.now + wait.max(1), Wake::Full(n, m))));
    }

    fn refill(&mut self, n: usize, m: usize) {
        let now = self.now;
        let b = &self.nodes[n].flows[m];
        if b.lending || !b.limited {
            return;
        }
        let span = now.saturating_sub(b.at) as f64 / 1e9;
        let mut gain = b.fill * span;
        if !self.nodes[n].debts.is_empty() {
            gain -= self.pay_back(n, m, self.spec.repay * self.nodes[n].flows[m].guarantee * span);
        }
        let b = &mut self.nodes[n].flows[m];
        (b.level, b.at) = ((b.level + gain).min(b.cap), now);
    }

    /// Pays back at most so much, to ancestors under which a lender wants it; what was paid.
    fn pay_back(&mut self, n: usize, m: usize, most: f64) -> f64 {
        let (now, grown) = (self.now, self.grown());
        let mut left = most;
        let mut debts = std::mem::take(&mut self.nodes[n].debts);
        for (measure, a, owed) in &mut debts {
            if *measure != m || self.nodes[*a].flows[m].wanted <= now || left <= 0.0 {
                continue;
            }
            let paid = left.min(*owed / grown);
            *owed -= paid * grown;
            self.nodes[*a].flows[m].repaid += paid * grown;
            self.counters.repaid[m] += paid;
            left -= paid;
        }
        debts.retain(|d| d.2 / grown > DUST);
        self.nodes[n].debts = debts;
        most - left
    }

    /// Brings a lending node's credit up to date, from the top down.
    fn accrue(&mut self, n: usize, m: usize) {
        let Some(p) = self.nodes[n].parent.filter(|_| self.nodes[n].flows[m].lending) else { return };
        self.accrue(p, m);
        let index = self.nodes[p].flows[m].index;
        let b = &mut self.nodes[n].flows[m];
        let drawn = index - b.seen;
        b.seen = index;
        // What was drawn from its fill falls to what fills it: its children that lend, and its own unallocated share.
        b.index += drawn;
        self.own_credit(n, m);
    }

    /// Credits a node's own share with what was drawn for each unit of fill.
    fn own_credit(&mut self, n: usize, m: usize) {
        let b = &mut self.nodes[n].flows[m];
        b.credit += b.unallocated * (b.index - b.own_seen);
        b.own_seen = b.index;
    }

    fn lend(&mut self, n: usize, m: usize) {
        let Some(p) = self.nodes[n].parent.filter(|&p| self.nodes[p].flows[m].limited) else {
            // The root lends to nobody; it is simply full.
            let b = &mut self.nodes[n].flows[m];
            b.level = b.cap;
            return;
        };
        self.accrue(p, m);
        let index = self.nodes[p].flows[m].index;
        let b = &mut self.nodes[n].flows[m];
        if b.lending {
            return;
        }
        (b.lending, b.level, b.seen) = (true, b.cap, index);
        let fill = b.fill;
        self.change_fill(p, m, fill);
    }

    fn stop_lending(&mut self, n: usize, m: usize) {
        if !self.nodes[n].flows[m].lending {
            return;
        }
        self.accrue(n, m);
        let now = self.now;
        let b = &mut self.nodes[n].flows[m];
        (b.lending, b.level, b.at) = (false, b.cap, now);
        let fill = b.fill;
        if let Some(p) = self.nodes[n].parent {
            self.change_fill(p, m, -fill);
        }
    }

    fn change_fill(&mut self, n: usize, m: usize, by: f64) {
        self.accrue(n, m);
        self.refill(n, m);
        let b = &mut self.nodes[n].flows[m];
        b.fill = (b.fill + by).max(0.0);
        if !b.lending {
            self.time(n, m);
        } else if let Some(p) = self.nodes[n].parent {
            self.change_fill(p, m, by);
        }
    }

    /// Takes from a bucket, which ceases to lend by that. Less than nothing gives back to it.
    fn draw(&mut self, n: usize, m: usize, amount: f64) {
        if self.nodes[n].flows[m].lending && amount <= 0.0 {
            // It is full; what comes back overflows.
            return;
        }
        self.stop_lending(n, m);
        self.refill(n, m);
        let b = &mut self.nodes[n].flows[m];
        b.level = (b.level - amount).clamp(-DEEPEST * b.cap.max(1.0), b.cap);
        self.time(n, m);
    }

    /// Holds another part of a node's flowing shares: `factor` times what the tree gives it. It counts for nodes without
    /// children; what lies above them follows.
    pub fn scale_share(&mut self, now: Nanos, node_number: u32, factor: f64) {
        self.tick(now);
        let Some(&n) = self.leaves.get(&node_number).filter(|_| factor.is_finite() && factor >= 0.0) else {
            return;
        };
        let spec = [self.spec.nodes[n].requests, self.spec.nodes[n].work];
        for (m, limit) in spec.into_iter().enumerate() {
            let Some(full) = limit.guarantee else { continue };
            let by = full * factor - self.nodes[n].flows[m].guarantee;
            if by.abs() < DUST {
                continue;
            }
            self.accrue(n, m);
            self.refill(n, m);
            self.own_credit(n, m);
            let burst = self.spec.burst_s;
            let b = &mut self.nodes[n].flows[m];
            let filled = if b.cap > DUST { b.level / b.cap } else { 1.0 };
            b.guarantee += by;
            (b.unallocated, b.fill, b.cap) = (b.guarantee, b.guarantee, b.guarantee * burst);
            // As full as it was: a part that moves between schedulers is neither made nor lost.
            b.level = if b.lending { b.cap } else { filled.min(1.0) * b.cap };
            let lending = b.lending;
            for a in self.path(n).skip(1) {
                self.accrue(a, m);
                self.refill(a, m);
                let above = &mut self.nodes[a].flows[m];
                above.guarantee += by;
                above.cap = above.guarantee * burst;
                above.level = above.level.min(above.cap);
            }
            match self.nodes[n].parent.filter(|_| lending) {
                Some(p) => self.change_fill(p, m, by),
                None => self.time(n, m),
            }
        }
    }

    // ---- requests

    /// Asks for a request of a tenant. Nothing is charged unless it is admitted, and then on all nodes of its path.
    pub fn admit(&mut self, now: Nanos, tenant: &str, request: &QuotaRequest) -> Verdict {
        self.tick(now);
        let Some(&n) = self.places.get(tenant) else {
            self.counters.unknown += 1;
            return Verdict::Unknown;
        };
        let amounts = [if request.retry { 0.0 } else { 1.0 }, request.work.max(0.0)];
        if let Some(refusal) = self.ceiling(n, request, &amounts) {
            self.counters.refused += 1;
            return Verdict::Refused(refusal);
        }
        let sources = [0, 1].map(|m| self.source(n, m, amounts[m]));
        let mut status = self.concurrency(n, request.slots);
        for source in sources {
            status = status.max(match source {
                Source::Free | Source::Own | Source::Repaid(_) => ShareStatus::Within,
                Source::Loan(_) => ShareStatus::Borrowed,
                Source::Nobody => ShareStatus::Over,
            });
        }
        if status == ShareStatus::Over && self.spec.over == OverSharePolicy::Refuse {
            self.counters.refused += 1;
            let after =
                [0, 1].map(|m| if sources[m] == Source::Nobody { self.paid_in(n, m, amounts[m]) } else { 0 });
            let after = after[0].max(after[1]).max(COME_BACK);
            let node = self.nodes[n].name.clone();
            return Verdict::Refused(Refusal {
                node,
                after: after + jitter(request.jitter_seed, (after / 4).max(3 * COME_BACK)),
            });
        }
        for m in 0..FLOWS {
            // What is over share in one measure uses no share in another.
            if status < ShareStatus::Over {
                self.take(n, m, amounts[m], sources[m]);
            }
            self.windows(n, m, amounts[m]);
        }
        self.use_slots(n, request.slots);
        match status {
            ShareStatus::Within => self.counters.within += 1,
            ShareStatus::Borrowed => self.counters.borrowed += 1,
            ShareStatus::Over => self.counters.over += 1,
        }
        self.last += 1;
        let source = if status < ShareStatus::Over { sources[1] } else { Source::Nobody };
        self.held.insert(self.last, Held { node: n, slots: request.slots, work: amounts[1], source });
        Verdict::Admitted(Ticket(self.last), status)
    }

    fn path(&self, n: usize) -> impl Iterator<Item = usize> + use<> {
        let mut path = [usize::MAX; MAX_DEPTH + 1];
        let (mut at, mut len) = (Some(n), 0);
        while let Some(i) = at.filter(|_| len <= MAX_DEPTH) {
            path[len] = i;
            len += 1;
            at = self.nodes[i].parent;
        }
        path.into_iter().take(len)
    }

    /// The ceiling that binds, if one does.
    fn ceiling(&mut self, n: usize, request: &QuotaRequest, amounts: &[f64; FLOWS]) -> Option<Refusal> {
        let now = self.now;
        let mut worst: Option<(Nanos, usize)> = None;
        for i in self.path(n) {
            let node = &mut self.nodes[i];
            for (m, window) in &mut node.windows {
                if amounts[*m] > 0.0
                    && let Err(after) = window.allows(now, amounts[*m])
                    && worst.is_none_or(|w| w.0 < after)
                {
                    worst = Some((after, i));
                }
            }
            let over = node.concurrency.ceiling.is_some_and(|c| node.in_use + request.slots > c + DUST);
            if over && worst.is_none() {
                worst = Some((COME_BACK, i));
            }
        }
        worst.map(|(after, i)| {
            // Up to four times the shortest wait, or a quarter of the window's: no second refusal for most.
            let most = (after / 4).max(3 * COME_BACK);
            Refusal { node: self.nodes[i].name.clone(), after: after + jitter(request.jitter_seed, most) }
        })
    }

    /// When a node's own share can pay for so much, in nanoseconds from now; an hour at the latest.
    fn paid_in(&self, n: usize, m: usize, amount: f64) -> Nanos {
        let b = &self.nodes[n].flows[m];
        let wait = (amount.min(b.cap) - b.level).max(0.0) / b.guarantee.max(DUST);
        (wait.min(3600.0) * 1e9) as Nanos
    }

    /// What pays for so much of a measure.
    fn source(&mut self, n: usize, m: usize, amount: f64) -> Source {
        if !self.nodes[n].flows[m].limited || amount <= 0.0 {
            return Source::Free;
        }
        self.refill(n, m);
        if self.nodes[n].flows[m].level >= amount - DUST {
            return Source::Own;
        }
        let (now, grown) = (self.now, self.grown());
        let credit = self.nodes[n].flows[m].credit / grown;
        let mut child = n;
        for a in self.path(n).skip(1) {
            if !self.nodes[a].flows[m].limited {
                break;
            }
            self.refill(a, m);
            let (weight, own) = (self.nodes[child].weight, &self.nodes[child].flows[m]);
            let rate = own.borrowed_of_late(now);
            let others = if own.borrowing { 0.0 } else { weight };
            let b = &mut self.nodes[a].flows[m];
            if credit >= amount {
                // A lender wants more than its share: those who owe pay back while it does.
                b.wanted = now + RECENT;
                if b.repaid / grown >= amount {
                    return Source::Repaid(a);
                }
            }
            let fair = b.fill * weight / (b.borrowers + others).max(DUST);
            let plenty = b.level - amount >= b.cap / 2.0;
            if b.level >= amount - DUST && (plenty || rate + amount <= fair.max(amount)) {
                return Source::Loan(a);
            }
            child = a;
        }
        Source::Nobody
    }

    fn take(&mut self, n: usize, m: usize, amount: f64, source: Source) {
        let grown = self.grown();
        match source {
            Source::Free | Source::Nobody => {}
            Source::Own => self.draw(n, m, amount),
            Source::Repaid(a) => {
                self.nodes[a].flows[m].repaid -= amount * grown;
                self.nodes[n].flows[m].credit -= amount * grown;
            }
            Source::Loan(a) => {
                self.counters.loans += 1;
                self.borrow(n, m, amount, a);
                let child = self.path(n).take_while(|i| *i != a).last().unwrap_or(n);
                let (now, weight) = (self.now, self.nodes[child].weight);
                let b = &mut self.nodes[child].flows[m];
                (b.borrowed, b.borrowed_at) = (b.borrowed_of_late(now) + amount, now);
                if !std::mem::replace(&mut b.borrowing, true) {
                    self.nodes[a].flows[m].borrowers += weight;
                    self.wakes.push(Reverse((now + RECENT, Wake::Quiet(child, m))));
                }
            }
        }
    }

    /// Draws on an ancestor's bucket: debts and credits grow by the same amount.
    fn borrow(&mut self, n: usize, m: usize, amount: f64, a: usize) {
        let grown = self.grown();
        self.draw(a, m, amount);
        self.own_credit(a, m);
        let b = &mut self.nodes[a].flows[m];
        if b.fill > FAINT {
            b.index += amount * grown / b.fill;
        } else {
            self.nobody[m] += amount * grown;
        }
        self.counters.lent[m] += amount.max(0.0);
        match self.nodes[n].debts.iter_mut().find(|d| d.0 == m && d.1 == a) {
            Some(debt) => debt.2 += amount * grown,
            None => self.nodes[n].debts.push((m, a, amount * grown)),
        }
    }

    /// A node that has not borrowed of late leaves the borrowers of its parent.
    fn quiet(&mut self, n: usize, m: usize) {
        let (now, weight, parent) = (self.now, self.nodes[n].weight, self.nodes[n].parent);
        let b = &mut self.nodes[n].flows[m];
        let until = b.borrowed_at + RECENT;
        if until > now {
            self.wakes.push(Reverse((until, Wake::Quiet(n, m))));
        } else if std::mem::replace(&mut b.borrowing, false)
            && let Some(p) = parent
        {
            let above = &mut self.nodes[p].flows[m];
            above.borrowers = (above.borrowers - weight).max(0.0);
        }
    }

    fn windows(&mut self, n: usize, m: usize, amount: f64) {
        let now = self.now;
        for i in self.path(n) {
            for (measure, window) in &mut self.nodes[i].windows {
                if *measure == m {
                    window.charge(now, amount);
                }
            }
        }
    }

    // ---- concurrency

    /// Whose slots a request would use: its own, idle ones that others lend, or nobody's.
    fn concurrency(&self, n: usize, slots: f64) -> ShareStatus {
        let node = &self.nodes[n];
        let Some(own) = node.concurrency.guarantee else { return ShareStatus::Within };
        if node.in_use + slots <= own + DUST {
            return ShareStatus::Within;
        }
        for a in self.path(n).skip(1) {
            let above = &self.nodes[a];
            let Some(most) = above.concurrency.guarantee else { break };
            // A part of what lenders leave idle stays free, so that they find room when they come back.
            if above.in_use + slots <= most - self.spec.reserve * above.idle + DUST {
                return ShareStatus::Borrowed;
            }
        }
        ShareStatus::Over
    }

    fn use_slots(&mut self, n: usize, slots: f64) {
        for i in self.path(n) {
            let node = &mut self.nodes[i];
            let own = node.concurrency.guarantee.unwrap_or(0.0);
            let before = (own - node.in_use).max(0.0);
            node.in_use = (node.in_use + slots).max(0.0);
            let idle = (own - node.in_use).max(0.0) - before;
            if let Some(p) = node.parent {
                self.nodes[p].idle = (self.nodes[p].idle + idle).max(0.0);
            }
        }
    }

    // ---- ends

    /// A request has ended, and took so much work, in slot seconds. A ticket is settled once; a second time does nothing.
    pub fn complete(&mut self, now: Nanos, ticket: Ticket, work: f64) {
        self.tick(now);
        let Some(held) = self.held.remove(&ticket.0) else { return };
        self.counters.completed += 1;
        self.use_slots(held.node, -held.slots);
        let more = work.max(0.0) - held.work;
        self.windows(held.node, 1, more);
        match held.source {
            Source::Own | Source::Repaid(_) => self.draw(held.node, 1, more),
            Source::Loan(a) if more > 0.0 => self.borrow(held.node, 1, more, a),
            Source::Loan(a) => self.give_back(held.node, -more, a),
            Source::Free | Source::Nobody => {}
        }
    }

    /// A job on borrowed room took less than was lent for it.
    fn give_back(&mut self, n: usize, amount: f64, a: usize) {
        let grown = self.grown();
        let Some(debt) = self.nodes[n].debts.iter_mut().find(|d| d.0 == 1 && d.1 == a) else { return };
        let back = amount.min(debt.2 / grown);
        debt.2 -= back * grown;
        self.draw(a, 1, -back);
        self.own_credit(a, 1);
        let b = &mut self.nodes[a].flows[1];
        if b.fill > FAINT {
            b.index -= back * grown / b.fill;
        } else {
            self.nobody[1] -= back * grown;
        }
    }

    // ---- changes and tables

    /// Puts another tree in place, whole and at once. What is in use, owed and counted stays with the nodes of the same
    /// name; jobs of a node that is gone count at the nearest of its ancestors that stays. A faulty tree changes nothing.
    pub fn replace_spec(&mut self, now: Nanos, spec: Spec) -> Result<(), SpecError> {
        self.tick(now);
        let mut next = Quota::new(spec, self.now)?;
        (next.epoch, next.last, next.counters) = (self.epoch, self.last, self.counters.clone());
        let stays = |next: &Quota, mut n: usize| loop {
            if let Some(&place) = next.places.get(&self.nodes[n].name) {
                return Some(place);
            }
            n = self.nodes[n].parent?;
        };
        for old in &self.nodes {
            let Some(&j) = next.places.get(&old.name) else { continue };
            for m in 0..FLOWS {
                let short = old.flows[m].cap - old.flows[m].level;
                if !old.flows[m].lending && next.nodes[j].flows[m].limited && short > DUST {
                    next.draw(j, m, short.min(next.nodes[j].flows[m].cap));
                }
            }
            for (m, window) in &old.windows {
                let same =
                    next.nodes[j].windows.iter_mut().find(|(k, w)| k == m && w.length() == window.length());
                if let Some((_, fresh)) = same {
                    let most = fresh.most();
                    *fresh = window.clone();
                    fresh.limit(most);
                }
            }
        }
        for (ticket, held) in &self.held {
            let Some(node) = stays(&next, held.node) else { continue };
            next.use_slots(node, held.slots);
            let moved = next.nodes[node].name != self.nodes[held.node].name;
            let source = match held.source {
                Source::Own if !moved => Source::Own,
                Source::Free => Source::Free,
                // Loans are closed by a change of the tree: what they were drawn from may not be there.
                _ => Source::Nobody,
            };
            next.held.insert(*ticket, Held { node, source, ..held.clone() });
        }
        *self = next;
        Ok(())
    }

    /// Tickets that are not settled.
    pub fn open_tickets(&self) -> usize {
        self.held.len()
    }

    /// Slots in use at a node; none if there is no such node.
    pub fn in_use(&self, node: &str) -> Option<f64> {
        self.places.get(node).map(|n| self.nodes[*n].in_use)
    }

    /// What is counted in a node's windows now: measure, what is used, and what may be.
    pub fn window_usage(&mut self, now: Nanos, node: &str) -> Vec<(Measure, f64, f64)> {
        self.tick(now);
        let Some(&n) = self.places.get(node) else { return Vec::new() };
        let now = self.now;
        let measures = [Measure::Requests, Measure::Work];
        self.nodes[n].windows.iter_mut().map(|(m, w)| (measures[*m], w.used(now), w.most())).collect()
    }

    /// The table of loans: every node that owes or is owed. Costs a look at all nodes.
    pub fn loans(&mut self, now: Nanos) -> Vec<Loan> {
        self.tick(now);
        let grown = self.grown();
        let mut rows = Vec::new();
        for n in 0..self.nodes.len() {
            for (m, measure) in [Measure::Requests, Measure::Work].into_iter().enumerate() {
                self.accrue(n, m);
                self.own_credit(n, m);
                let owes: f64 =
                    self.nodes[n].debts.iter().filter(|d| d.0 == m).map(|d| d.2).sum::<f64>() / grown;
                let is_owed = self.nodes[n].flows[m].credit / grown;
                if owes.abs() > 1e-6 || is_owed.abs() > 1e-6 {
                    rows.push(Loan { node: self.nodes[n].name.clone(), measure, owes, is_owed });
                }
            }
        }
        rows
    }

    /// What is lent and what is owed of a measure, in all: the same but for rounding.
    pub fn balance(&mut self, now: Nanos, measure: Measure) -> (f64, f64) {
        let m = measure as usize;
        let loans = self.loans(now);
        let grown = self.grown();
        let waiting: f64 = self.nodes.iter().map(|n| n.flows[m].repaid).sum::<f64>() / grown;
        let rows = loans.iter().filter(|l| l.measure == measure);
        let (owes, owed) = rows.fold((0.0, 0.0), |s, l| (s.0 + l.owes, s.1 + l.is_owed));
        (owes + waiting, owed + self.nobody[m] / grown)
    }
}
