//! Arithmetic of workers that have just started: how warm one is, and what it may be sent until then. Nothing is
//! decided here.

use crate::api::{Nanos, Obligations, Settings, WorkerId};
use crate::group_assignment::GroupLayout;

/// Standard deviations kept free below a cold worker's limit.
const SIGMAS: f64 = 3.5;

/// What a worker that is not warm yet may be sent by one of those that share it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    /// Work in slot nanoseconds that it bears in a window of the rule, as of the last send.
    budget: f64,
    /// Slots' worth of work that all may send, on average since then.
    pub(crate) rate: f64,
}

impl Budget {
    /// The budget of a worker of so many slots that was `before` warm at the last send and is `now` warm. Were the
    /// budget today's, all would find their credit grown at once.
    pub(crate) fn new(rules: &Obligations, capacity: f64, before: f64, now: f64) -> Budget {
        let multiple = rules.overload_factor * capacity;
        Budget {
            budget: multiple * before * rules.overload_window as f64,
            rate: multiple * (before + now) / 2.0,
        }
    }

    /// What a job of so much work is charged: more than its work the larger it is against the whole budget, so that a
    /// window keeps [`SIGMAS`] deviations of what comes by chance.
    pub(crate) fn charge(&self, work: f64) -> f64 {
        let b = SIGMAS * (2.0 * work / self.budget).sqrt();
        work / (((b * b + 4.0).sqrt() - b) / 2.0).powi(2)
    }
}

/// How many dispatchers share a cold worker's budget; none if this one is not among them. In one zone it is its group's
/// alone, by the settings and its id, whatever a list says.
pub(crate) fn sharers(set: &Settings, worker: WorkerId, group: usize) -> Option<usize> {
    let all = set.dispatcher_count.max(1) as usize;
    let split = if set.zone_count <= 1 && set.limits.peer_messages { all.div_ceil(group) } else { 1 };
    let tier = GroupLayout::new(all, split);
    let sharers = tier.members(tier.hashed_group(worker.0));
    (split <= 1 || sharers.contains(&(set.own_id.0 as usize))).then_some(sharers.len())
}

/// The part of its capacity that a worker surely has: it rises evenly or faster from the cold share.
pub(crate) fn warmth(rules: &Obligations, started: Nanos, at: Nanos) -> f64 {
    let age = at.saturating_sub(started) as f64;
    let cold = rules.warm_up_time as f64;
    if started == 0 || age >= cold {
        return 1.0;
    }
    rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * age / cold
}
