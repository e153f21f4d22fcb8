//! A timer wheel with coarse ticks. Timers cannot be cancelled: a handler ignores an event that is obsolete.

use super::Scheduler;
use loomlb_policy::{Nanos, RequestId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// The resolution of the wheel.
const TICK: Nanos = 1_000_000;
const SLOT_COUNT: usize = 1024;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer of the decision module, with its token.
    Dispatcher(u64),
    /// The timeout of a forward, given by its flow and attempt number.
    ForwardTimeout(RequestId, u32),
    /// The deadline of a flow.
    FlowDeadline(RequestId),
    /// The periodic check of idle connections to targets.
    PoolSweep,
}

#[derive(Debug)]
struct Slots {
    slots: Vec<Vec<(u64, TimerEvent)>>,
    /// The next tick to process.
    next_tick: u64,
}

/// A timer wheel: slot `tick % SLOT_COUNT` holds the timers of `tick`, in this round or a later one.
#[derive(Debug)]
pub struct TimerWheel {
    inner: RefCell<Slots>,
    /// When [`run`] wakes up next.
    wake_at: Cell<Nanos>,
    /// Notified when a timer is set for a time before `wake_at`.
    earlier_timer: Notify,
}

impl TimerWheel {
    /// An empty wheel whose first tick is at `now`.
    pub fn new(now: Nanos) -> Self {
        let slots = vec![Vec::new(); SLOT_COUNT];
        let inner = RefCell::new(Slots { slots, next_tick: now / TICK });
        TimerWheel { inner, wake_at: Cell::new(0), earlier_timer: Notify::new() }
    }

    /// Sets a timer for the first tick at or after `at`.
    pub fn schedule(&self, at: Nanos, event: TimerEvent) {
        let mut inner = self.inner.borrow_mut();
        let tick = at.div_ceil(TICK).max(inner.next_tick);
        inner.slots[tick as usize % SLOT_COUNT].push((tick, event));
        if tick * TICK < self.wake_at.get() {
            self.earlier_timer.notify_one();
        }
    }

    /// The time of the next timer in this round, or the end of the round if it has none.
    fn next_wake(&self) -> Nanos {
        let inner = self.inner.borrow();
        let round = inner.next_tick..inner.next_tick + SLOT_COUNT as u64;
        let found = round
            .clone()
            .find(|tick| inner.slots[*tick as usize % SLOT_COUNT].iter().any(|entry| entry.0 <= *tick));
        found.unwrap_or(round.end) * TICK
    }

    /// Removes the timers that are due at `now` and returns their events in order of time.
    fn take_due(&self, now: Nanos) -> Vec<TimerEvent> {
        let mut inner = self.inner.borrow_mut();
        let (last_tick, mut due) = (now / TICK, Vec::new());
        // After a long stall one round visits every slot.
        let first_tick = inner.next_tick.max((last_tick + 1).saturating_sub(SLOT_COUNT as u64));
        for tick in first_tick..=last_tick {
            inner.slots[tick as usize % SLOT_COUNT].retain(|entry| {
                entry.0 > last_tick || {
                    due.push(*entry);
                    false
                }
            });
        }
        inner.next_tick = inner.next_tick.max(last_tick + 1);
        due.sort_by_key(|entry| entry.0);
        due.into_iter().map(|entry| entry.1).collect()
    }
}

/// Handles timers as they become due, for the lifetime of the process.
pub async fn run(scheduler: Rc<Scheduler>) {
    loop {
        let wake_at = scheduler.timers.next_wake();
        scheduler.timers.wake_at.set(wake_at);
        tokio::select! {
            () = tokio::time::sleep_until(scheduler.clock.instant(wake_at)) => {}
            () = scheduler.timers.earlier_timer.notified() => {}
        }
        for event in scheduler.timers.take_due(scheduler.clock.now()) {
            super::handle_timer(&scheduler, event);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_fire_in_order_across_rounds_and_after_stalls() {
        let wheel = TimerWheel::new(0);
        let round = SLOT_COUNT as Nanos * TICK;
        for at in [3 * round + 5, 7 * TICK, 2 * TICK + 1] {
            wheel.schedule(at, TimerEvent::Dispatcher(at));
        }
        assert_eq!(wheel.next_wake(), 3 * TICK);
        assert_eq!(wheel.take_due(2 * TICK + 1), []);
        assert_eq!(
            wheel.take_due(round),
            [TimerEvent::Dispatcher(2 * TICK + 1), TimerEvent::Dispatcher(7 * TICK)]
        );
        assert_eq!(wheel.take_due(9 * round), [TimerEvent::Dispatcher(3 * round + 5)]);
        assert_eq!(wheel.next_wake(), 10 * round + TICK);
    }
}
