//! How warm a recently started worker is, and how much work dispatchers may send it until it is warm.

use crate::api::{Nanos, Obligations, Settings, WorkerId};
use crate::group_assignment::GroupLayout;

/// Standard deviations of randomly arriving work that are kept free below the limit of a cold worker.
const BURST_SIGMAS: f64 = 3.5;

/// The work that one dispatcher may send to a worker that is not warm yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdStartBudget {
    /// Work in slot nanoseconds that the worker bears in one overload window, as of the last send.
    window_work: f64,
    /// Slots that all dispatchers together may keep busy, averaged over the time since the last send.
    pub(crate) rate: f64,
}

impl ColdStartBudget {
    /// The budget of a worker with this many slots. Both warmths count: with the present one alone, the
    /// credit of all dispatchers would grow at the same moment.
    pub(crate) fn new(
        obligations: &Obligations,
        slots: f64,
        warmth_at_last_send: f64,
        warmth_now: f64,
    ) -> ColdStartBudget {
        let max_work = obligations.overload_factor * slots;
        ColdStartBudget {
            window_work: max_work * warmth_at_last_send * obligations.overload_window as f64,
            rate: max_work * (warmth_at_last_send + warmth_now) / 2.0,
        }
    }

    /// Returns the charge for a job of this work. It exceeds the work by more the larger the job is compared
    /// with the budget of a window, so that [`BURST_SIGMAS`] deviations stay free.
    pub(crate) fn charge(&self, work: f64) -> f64 {
        let deviation = BURST_SIGMAS * (2.0 * work / self.window_work).sqrt();
        work / (((deviation * deviation + 4.0).sqrt() - deviation) / 2.0).powi(2)
    }
}

/// Returns the number of dispatchers that share the budget of a cold worker, or `None` if this dispatcher is
/// not one of them. In a single zone these are the members of one group, which depends on the settings and
/// the worker id alone, so that dispatchers with different lists agree.
pub(crate) fn budget_sharers(settings: &Settings, worker: WorkerId, group_size: usize) -> Option<usize> {
    let dispatchers = settings.dispatcher_count.max(1) as usize;
    let group_count = if settings.zone_count <= 1 && settings.limits.peer_messages {
        dispatchers.div_ceil(group_size)
    } else {
        1
    };
    let layout = GroupLayout::new(dispatchers, group_count);
    let sharers = layout.members(layout.hashed_group(worker.0));
    (group_count <= 1 || sharers.contains(&(settings.own_id.0 as usize))).then_some(sharers.len())
}

/// Returns the fraction of its capacity that a worker has at least: it rises linearly or faster from its
/// initial share.
pub(crate) fn warmth(obligations: &Obligations, started_at: Nanos, now: Nanos) -> f64 {
    let age = now.saturating_sub(started_at) as f64;
    let warm_up_time = obligations.warm_up_time as f64;
    if started_at == 0 || age >= warm_up_time {
        return 1.0;
    }
    obligations.initial_capacity_share + (1.0 - obligations.initial_capacity_share) * age / warm_up_time
}
