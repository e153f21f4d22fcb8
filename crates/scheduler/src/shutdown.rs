//! Shutdown: from SIGTERM to the end of the process, without losing accepted flows.

use super::{Scheduler, upgrade};
use loomlb_control::lifecycle::Lifecycle;
use loomlb_policy::Nanos;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;

/// Interval between requests to idle connections to close.
const CLOSE_INTERVAL: Duration = Duration::from_millis(5);

/// The service state with notifications of its changes.
#[derive(Debug)]
pub struct Shutdown {
    service: Cell<Lifecycle>,
    service_changed: Notify,
    /// Notifies idle connections that they must close.
    pub close_idle: Notify,
}

impl Shutdown {
    /// Creates the state for a scheduler whose clients wait for at most `longest`; `alone` if no other
    /// scheduler serves them.
    pub fn new(longest: Nanos, alone: bool) -> Self {
        let service = Cell::new(Lifecycle::new(longest, alone));
        Shutdown { service, service_changed: Notify::new(), close_idle: Notify::new() }
    }

    /// Returns the current service state.
    pub fn service(&self) -> Lifecycle {
        self.service.get()
    }

    /// Changes the service state and wakes the tasks that depend on it.
    pub fn update_service<T>(&self, update: impl FnOnce(&mut Lifecycle) -> T) -> T {
        let mut service = self.service.get();
        let result = update(&mut service);
        self.service.set(service);
        self.service_changed.notify_one();
        result
    }
}

/// Closes idle connections while no new flows are accepted: at the end of the program and of a drain period.
pub async fn close_idle(scheduler: Rc<Scheduler>) {
    loop {
        match scheduler.shutdown.service().closes_at() {
            None => scheduler.shutdown.service_changed.notified().await,
            Some(at) if scheduler.clock.now() < at => tokio::select! {
                () = scheduler.shutdown.service_changed.notified() => {}
                () = tokio::time::sleep_until(scheduler.clock.instant(at)) => {}
            },
            Some(_) => {
                scheduler.shutdown.close_idle.notify_waiters();
                tokio::time::sleep(CLOSE_INTERVAL).await;
            }
        }
    }
}

/// The signals that end the program or make it log its counters.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    user1: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub fn new() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user1: signal(SignalKind::user_defined1())?,
        })
    }
}

/// Logs the counters.
pub fn log_counters(scheduler: &Scheduler) {
    tracing::info!("counters: {}", scheduler.book.borrow().counters);
    if let Some(table) = scheduler.quotas.summary(scheduler.clock.now()) {
        tracing::info!("{table}");
    }
}

/// Waits for signals and returns when the program may end. Workers' call-backs arrive at the listener, so it
/// stays open until the last flow is answered.
pub async fn wait_for_end(scheduler: &Rc<Scheduler>, mut signals: Signals) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.user1.recv() => log_counters(scheduler),
            () = upgrade::wait_until_finished(scheduler) => return,
        }
    }
    let now = scheduler.clock.now();
    scheduler.shutdown.update_service(|service| service.start_shutdown(now));
    tracing::info!("asked to end, {} flows to finish", scheduler.book.borrow().unanswered());
    loop {
        let finished = || {
            scheduler.book.borrow().unanswered() == 0
                && scheduler.listener.active_count() == 0
                && scheduler.pool.unsent_cancellations() == 0
        };
        // Ending the process resets connections with unread input, and the other side may then lose the last
        // response.
        let connections_closed = || scheduler.listener.closing_count() == 0 || answer_time_over(scheduler);
        if upgrade::is_finished(scheduler) {
            return upgrade::wait_until_finished(scheduler).await;
        }
        if scheduler.shutdown.service().refuses_jobs(scheduler.clock.now()) && finished() {
            // Reads and answers what the kernel has received by now.
            tokio::time::sleep(Duration::from_millis(20)).await;
            if finished() && connections_closed() {
                return upgrade::say_goodbye(scheduler).await;
            }
        }
        tokio::time::sleep(CLOSE_INTERVAL).await;
    }
}

/// Returns whether the time limit for answering all flows has passed.
fn answer_time_over(scheduler: &Scheduler) -> bool {
    scheduler.shutdown.service().answer_deadline().is_some_and(|by| scheduler.clock.now() >= by)
}
