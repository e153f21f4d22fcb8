//! What a process sends its successor. The build before reads it and is read: fields are added as optional ones, which it
//! skips, and times keep the meaning that they have for it.
//!
//! Times are on the sender's scale. A sender of this build says which one that is (`clock`), and its successor goes on with
//! it. The build before does not: its scale was anchored to the wall clock at its start, and so is its successor's, no
//! earlier than the latest event in the snapshot. A wall clock that was set back in between is made up for by that; one
//! that was set ahead makes the times in the snapshot older by the step.

use super::super::Scheduler;
use super::super::clock::{Clock, ClockOffset, nanos_from_millis};
use super::super::discovery::{self, Group, List};
use super::super::worker_starts::WorkerStarts;
use loomlb_control::lifecycle::LifecycleState;
use loomlb_control::overrides::WorkerOverrides;
use loomlb_policy::raw_settings::SettingNames;
use loomlb_policy::{LearnedState, Nanos, WorkerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// All that a process sends its successor. Workers' starts in `carried` are as the list dates them, by which the build
/// before knows an incarnation.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Snapshot {
    classes: Vec<String>,
    tenants: Vec<String>,
    kinds: Vec<String>,
    zones: Vec<String>,
    carried: LearnedState,
    orders: WorkerOverrides,
    service: LifecycleState,
    list: List,
    /// Where discovery answers, if a reload has named another address than the start did.
    discovery: Option<SocketAddr>,
    /// The scale of all times here; the build before does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    clock: Option<ClockOffset>,
    /// When the listed workers started; the build before does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    worker_starts: Option<WorkerStarts>,
}

impl Snapshot {
    /// What a successor of this scheduler needs.
    pub(super) fn of(s: &Scheduler) -> Snapshot {
        let epoch = s.epoch();
        let names = &epoch.names;
        Snapshot {
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
            kinds: names.kinds.clone(),
            zones: names.zones.clone(),
            carried: s
                .router
                .learned_state()
                .with_start_times(|id, started| listed_start(&s.target_group, id, started)),
            orders: s.orders.borrow().clone(),
            service: s.shutdown.service().state(),
            list: s.target_group.list(),
            discovery: s.target_group.moved_to(),
            clock: Some(s.clock.offset()),
            worker_starts: Some(s.target_group.starts_for_successor(s.clock.now())),
        }
    }

    /// A clock on the scale of the snapshot's times, as far as it tells.
    pub(super) fn clock(&self) -> Clock {
        self.clock.map_or_else(|| Clock::starting_no_earlier_than(self.latest_event()), Clock::on_scale_of)
    }

    /// The latest time at which anything in it is known to have happened.
    fn latest_event(&self) -> Nanos {
        self.carried.latest_event().max(self.orders.latest_change()).max(self.service.since())
    }

    /// Puts all of it in place in a scheduler that starts.
    pub(super) fn restore(self, s: &Rc<Scheduler>) {
        *s.orders.borrow_mut() = self.orders;
        s.shutdown.turn(|ours| ours.adopt(self.service));
        if let Some(address) = self.discovery {
            s.target_group.follow_at(address);
        }
        discovery::take_over(s, self.list, self.worker_starts);
        let carried = self.carried.with_start_times(|id, listed| assigned_start(&s.target_group, id, listed));
        let names = SettingNames {
            classes: self.classes,
            tenants: self.tenants,
            zones: self.zones,
            kinds: self.kinds,
        };
        s.router.restore_learned_state(carried.remapped(&names, &s.epoch().names));
    }
}

/// The list's date of the start that we assigned to a worker's incarnation. A start that staff's orders have set stays.
fn listed_start(group: &Group, id: WorkerId, started: Nanos) -> Nanos {
    let incarnation = group.target(id).map(|target| target.incarnation());
    let assigned = incarnation.filter(|incarnation| incarnation.started == started);
    assigned.map_or(started, |incarnation| nanos_from_millis(incarnation.born_ms))
}

/// The start that we assign to the incarnation that the list dates so.
fn assigned_start(group: &Group, id: WorkerId, listed: Nanos) -> Nanos {
    let incarnation = group.target(id).map(|target| target.incarnation());
    let dated = incarnation.filter(|incarnation| nanos_from_millis(incarnation.born_ms) == listed);
    dated.map_or(listed, |incarnation| incarnation.started)
}
