//! Shutdown: from SIGTERM to the end, without losing what was taken.

use super::{Scheduler, upgrade};
use loomlb_control::lifecycle::Lifecycle;
use loomlb_policy::Nanos;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;

/// Time between two words to idle connections while they are to close.
const CLOSE_EVERY: Duration = Duration::from_millis(5);

/// The state of the service, and who is told when it turns.
#[derive(Debug)]
pub struct Shutdown {
    service: Cell<Lifecycle>,
    turned: Notify,
    /// Told to idle connections when they are to close.
    pub close_idle: Notify,
}

impl Shutdown {
    /// For a scheduler whose clients wait no longer than `longest`; whether no other serves them.
    pub fn new(longest: Nanos, alone: bool) -> Self {
        let service = Cell::new(Lifecycle::new(longest, alone));
        Shutdown { service, turned: Notify::new(), close_idle: Notify::new() }
    }

    /// The state as it stands.
    pub fn service(&self) -> Lifecycle {
        self.service.get()
    }

    /// Changes the state, and wakes whoever acts on it.
    pub fn turn<T>(&self, word: impl FnOnce(&mut Lifecycle) -> T) -> T {
        let mut service = self.service.get();
        let said = word(&mut service);
        self.service.set(service);
        self.turned.notify_one();
        said
    }
}

/// Has idle connections close for as long as nothing is taken: at the end of the program, or of a drain's time.
pub async fn close_idle(s: Rc<Scheduler>) {
    loop {
        match s.shutdown.service().closes_at() {
            None => s.shutdown.turned.notified().await,
            Some(at) if s.clock.now() < at => tokio::select! {
                () = s.shutdown.turned.notified() => {}
                () = tokio::time::sleep_until(s.clock.instant(at)) => {}
            },
            Some(_) => {
                s.shutdown.close_idle.notify_waiters();
                tokio::time::sleep(CLOSE_EVERY).await;
            }
        }
    }
}

/// The signals that end the program or have it report.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    report: Signal,
}

impl Signals {
    /// Takes them over from their defaults.
    pub fn new() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            report: signal(SignalKind::user_defined1())?,
        })
    }
}

/// Logs the counters.
pub fn report(s: &Scheduler) {
    tracing::info!("counters: {}", s.book.borrow().counters);
    if let Some(table) = s.quotas.summary(s.clock.now()) {
        tracing::info!("{table}");
    }
}

/// Waits for the signals; returns once the program may end. Call-backs come to the listener, so it stays open
/// until the last flow is answered.
pub async fn wait(s: &Rc<Scheduler>, mut signals: Signals) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.report.recv() => report(s),
            () = upgrade::finished(s) => return,
        }
    }
    let now = s.clock.now();
    s.shutdown.turn(|service| service.start_shutdown(now));
    tracing::info!("asked to end, {} flows to finish", s.book.borrow().unanswered());
    loop {
        let over = || {
            s.book.borrow().unanswered() == 0
                && s.listener.active_count() == 0
                && s.pool.unsent_cancellations() == 0
        };
        // A process that ends resets connections on which something still comes, and what it wrote last with them.
        let parted = || s.listener.closing_count() == 0 || service_over(s);
        if upgrade::is_finished(s) {
            return upgrade::finished(s).await;
        }
        if s.shutdown.service().refuses_jobs(s.clock.now()) && over() {
            // One more turn: whatever the kernel holds for us by now gets read and answered.
            tokio::time::sleep(Duration::from_millis(20)).await;
            if over() && parted() {
                return;
            }
        }
        tokio::time::sleep(CLOSE_EVERY).await;
    }
}

/// Whether the time is over by which all must be answered.
fn service_over(s: &Scheduler) -> bool {
    s.shutdown.service().answer_deadline().is_some_and(|by| s.clock.now() >= by)
}
