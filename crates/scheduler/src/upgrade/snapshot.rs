//! The state that a process sends to its successor. The previous build reads it, and its own snapshots are
//! read: new fields are optional, unknown fields are ignored, and times keep the meaning that they have in
//! that build.
//!
//! Times are by the sender's clock. A sender of this build includes its clock's offset (`clock`), and the
//! successor uses the same one. The previous build sends no offset: it derived its clock from the wall clock
//! when it started, and its successor does the same, but starts no earlier than the latest event in the
//! snapshot. That compensates for a wall clock that was set back in between; one that was set ahead makes the
//! times in the snapshot older by the step.

use super::super::Scheduler;
use super::super::clock::{Clock, ClockOffset, nanos_from_millis};
use super::super::discovery::{self, EndpointList, TargetGroup};
use super::super::worker_starts::WorkerStarts;
use loomlb_control::lifecycle::LifecycleState;
use loomlb_control::overrides::WorkerOverrides;
use loomlb_hot_restart::message::OpenRequest;
use loomlb_policy::raw_settings::SettingNames;
use loomlb_policy::{LearnedState, Nanos, WorkerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// The state that a process sends to its successor. In `carried`, workers' starts are the list's dates, by
/// which the previous build identifies an incarnation.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Snapshot {
    classes: Vec<String>,
    tenants: Vec<String>,
    kinds: Vec<String>,
    zones: Vec<String>,
    carried: LearnedState,
    orders: WorkerOverrides,
    service: LifecycleState,
    list: EndpointList,
    /// The address of discovery, if a reload has changed it.
    discovery: Option<SocketAddr>,
    /// The offset of the clock of all times here; missing from the previous build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    clock: Option<ClockOffset>,
    /// When the listed workers started; missing from the previous build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    worker_starts: Option<WorkerStarts>,
    /// The requests that the sender has open, for a successor that shares ids. It gets them once more when connections
    /// are handed over; these are for a sender that does not hand over in time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) open_requests: Option<Vec<OpenRequest>>,
}

impl Snapshot {
    /// Takes a snapshot of a scheduler. `open_requests` are those that it has open, for a successor that shares ids.
    pub(super) fn of(scheduler: &Scheduler, open_requests: Option<Vec<OpenRequest>>) -> Snapshot {
        let settings = scheduler.settings();
        let names = &settings.names;
        Snapshot {
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
            kinds: names.kinds.clone(),
            zones: names.zones.clone(),
            carried: scheduler
                .router
                .learned_state()
                .with_start_times(|id, started| listed_start(&scheduler.target_group, id, started)),
            orders: scheduler.orders.borrow().clone(),
            service: scheduler.shutdown.service().state(),
            list: scheduler.target_group.endpoint_list(),
            discovery: scheduler.target_group.reloaded_address(),
            clock: Some(scheduler.clock.offset()),
            worker_starts: Some(scheduler.target_group.starts_for_successor(scheduler.clock.now())),
            open_requests,
        }
    }

    /// Returns a clock for the times of the snapshot.
    pub(super) fn clock(&self) -> Clock {
        self.clock.map_or_else(|| Clock::starting_no_earlier_than(self.latest_event()), Clock::with_offset)
    }

    /// Returns the latest time at which an event in the snapshot happened.
    fn latest_event(&self) -> Nanos {
        self.carried.latest_event().max(self.orders.latest_change()).max(self.service.since())
    }

    /// Restores the snapshot in a scheduler that starts.
    pub(super) fn restore(self, scheduler: &Rc<Scheduler>) {
        *scheduler.orders.borrow_mut() = self.orders;
        scheduler.shutdown.update_service(|service| service.adopt(self.service));
        if let Some(address) = self.discovery {
            scheduler.target_group.set_address(address);
        }
        discovery::start_from_predecessor(scheduler, self.list, self.worker_starts);
        let carried =
            self.carried.with_start_times(|id, listed| assigned_start(&scheduler.target_group, id, listed));
        let names = SettingNames {
            classes: self.classes,
            tenants: self.tenants,
            zones: self.zones,
            kinds: self.kinds,
        };
        scheduler.router.restore_learned_state(carried.remapped(&names, &scheduler.settings().names));
    }
}

/// Converts the start that we assigned to a worker's incarnation to the list's date of it. A start that an
/// operator's order has set stays.
fn listed_start(group: &TargetGroup, id: WorkerId, started: Nanos) -> Nanos {
    let incarnation = group.target(id).map(|target| target.incarnation());
    let assigned = incarnation.filter(|incarnation| incarnation.started == started);
    assigned.map_or(started, |incarnation| nanos_from_millis(incarnation.born_ms))
}

/// Converts the list's date of a worker's start to the start that we assigned to that incarnation.
fn assigned_start(group: &TargetGroup, id: WorkerId, listed: Nanos) -> Nanos {
    let incarnation = group.target(id).map(|target| target.incarnation());
    let dated = incarnation.filter(|incarnation| nanos_from_millis(incarnation.born_ms) == listed);
    dated.map_or(listed, |incarnation| incarnation.started)
}
