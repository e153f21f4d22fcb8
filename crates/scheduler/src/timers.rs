//! Timers as coarse ticks on a wheel. Timers are not revoked: what no longer matters is ignored when due.

use super::Scheduler;
use loomlb_policy::{Nanos, RequestId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// The length of a tick.
const TICK: Nanos = 1_000_000;
const SLOTS: usize = 1024;

/// What to do when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer of the module.
    Dispatcher(u64),
    /// The time of a forward is over.
    ForwardTimeout(RequestId, u32),
    /// The deadline of a flow has come.
    FlowDeadline(RequestId),
    /// Connections are to be looked through.
    PoolSweep,
}

#[derive(Debug)]
struct Slots {
    slots: Vec<Vec<(u64, TimerEvent)>>,
    /// The next tick to be served.
    next: u64,
}

/// The wheel: slot `t % SLOTS` holds what is due at tick `t`, this round or a later one.
#[derive(Debug)]
pub struct TimerWheel {
    inner: RefCell<Slots>,
    /// When the turning task wakes by itself.
    wakes: Cell<Nanos>,
    /// Something is due earlier than that.
    earlier: Notify,
}

impl TimerWheel {
    /// An empty wheel that starts now.
    pub fn new(now: Nanos) -> Self {
        let slots = vec![Vec::new(); SLOTS];
        let inner = RefCell::new(Slots { slots, next: now / TICK });
        TimerWheel { inner, wakes: Cell::new(0), earlier: Notify::new() }
    }

    /// Sets a timer for the first tick at or after `at`.
    pub fn schedule(&self, at: Nanos, due: TimerEvent) {
        let mut inner = self.inner.borrow_mut();
        let tick = at.div_ceil(TICK).max(inner.next);
        inner.slots[tick as usize % SLOTS].push((tick, due));
        if tick * TICK < self.wakes.get() {
            self.earlier.notify_one();
        }
    }

    /// The time of the next slot that holds anything of this round; a round ahead if none does.
    fn upcoming(&self) -> Nanos {
        let inner = self.inner.borrow();
        let round = inner.next..inner.next + SLOTS as u64;
        let found = round.clone().find(|t| inner.slots[*t as usize % SLOTS].iter().any(|e| e.0 <= *t));
        found.unwrap_or(round.end) * TICK
    }

    /// Takes out what is due by now, in order.
    fn take(&self, now: Nanos) -> Vec<TimerEvent> {
        let mut inner = self.inner.borrow_mut();
        let (last, mut due) = (now / TICK, Vec::new());
        // After a long stall one round visits every slot.
        let first = inner.next.max((last + 1).saturating_sub(SLOTS as u64));
        for t in first..=last {
            inner.slots[t as usize % SLOTS].retain(|e| {
                e.0 > last || {
                    due.push(*e);
                    false
                }
            });
        }
        inner.next = inner.next.max(last + 1);
        due.sort_by_key(|e| e.0);
        due.into_iter().map(|e| e.1).collect()
    }
}

/// Turns the wheel for as long as the program runs.
pub async fn run(s: Rc<Scheduler>) {
    loop {
        let at = s.timers.upcoming();
        s.timers.wakes.set(at);
        tokio::select! {
            () = tokio::time::sleep_until(s.clock.instant(at)) => {}
            () = s.timers.earlier.notified() => {}
        }
        for due in s.timers.take(s.clock.now()) {
            super::handle_timer(&s, due);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_come_due_in_order_across_rounds_and_stalls() {
        let wheel = TimerWheel::new(0);
        let round = SLOTS as Nanos * TICK;
        for at in [3 * round + 5, 7 * TICK, 2 * TICK + 1] {
            wheel.schedule(at, TimerEvent::Dispatcher(at));
        }
        assert_eq!(wheel.upcoming(), 3 * TICK);
        assert_eq!(wheel.take(2 * TICK + 1), []);
        assert_eq!(
            wheel.take(round),
            [TimerEvent::Dispatcher(2 * TICK + 1), TimerEvent::Dispatcher(7 * TICK)]
        );
        assert_eq!(wheel.take(9 * round), [TimerEvent::Dispatcher(3 * round + 5)]);
        assert_eq!(wheel.upcoming(), 10 * round + TICK);
    }
}
