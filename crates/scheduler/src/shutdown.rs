//! Shutdown: from SIGTERM to the end, without losing what was taken.

use super::Scheduler;
use loomlb_decide::Nanos;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;

/// The platform waits this long for what is under way when it asks for the end, and for the longest deadline,
const NOTICE: Nanos = 700_000_000;
/// of which it counts no more than this.
const LONGEST: Nanos = 3_000_000_000;
/// Time kept free before the platform may kill, for answers to get out.
const MARGIN: Nanos = 200_000_000;

/// Whether the end has been asked for.
#[derive(Debug)]
pub struct Shutdown {
    since: Cell<Option<Nanos>>,
    /// What the platform waits for beyond its notice.
    wait: Nanos,
    /// Told to idle connections when they are to close.
    pub close_idle: Notify,
}

impl Shutdown {
    /// For a scheduler whose clients wait no longer than `longest`.
    pub fn new(longest: Nanos) -> Self {
        Shutdown { since: Cell::new(None), wait: longest.min(LONGEST), close_idle: Notify::new() }
    }

    /// The end has been asked for.
    pub fn begun(&self) -> bool {
        self.since.get().is_some()
    }

    /// When flows cease to be taken and connections close. Clients keep to the connections that they have,
    /// and while a peer restarts as well nobody else serves them: so those stay in use for half of the wait,
    /// and the other half is left to what was taken last.
    fn closing(&self) -> Option<Nanos> {
        self.since.get().map(|at| at + NOTICE + self.wait / 2)
    }

    /// Nothing new is taken any more: answers say that the connection closes.
    pub fn refusing(&self, now: Nanos) -> bool {
        self.closing().is_some_and(|at| now >= at)
    }

    /// By when a flow that is taken now must have its answer, if the end has been asked for: what is taken
    /// after the notice is lost if the platform's kill finds it open.
    pub fn answer_by(&self) -> Option<Nanos> {
        self.since.get().map(|at| at + NOTICE + self.wait - MARGIN.min(self.wait / 4))
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
    if let Some(table) = s.shares.table(s.clock.now()) {
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
        }
    }
    let now = s.clock.now();
    s.shutdown.since.set(Some(now));
    tracing::info!("asked to end, {} flows to finish", s.book.borrow().owed());
    tokio::time::sleep_until(s.clock.instant(s.shutdown.closing().unwrap_or(now))).await;
    loop {
        s.shutdown.close_idle.notify_waiters();
        if s.book.borrow().owed() == 0 && s.listener.engaged() == 0 {
            // One more turn: whatever the kernel holds for us by now gets read and answered.
            tokio::time::sleep(Duration::from_millis(20)).await;
            if s.book.borrow().owed() == 0 && s.listener.engaged() == 0 {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
