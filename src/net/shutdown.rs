//! Shutdown: from SIGTERM to the end, without losing what was taken.

use super::Scheduler;
use loomlb::Nanos;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;

/// New connections keep arriving for a while after SIGTERM, as the front hears of it late.
const ACCEPT_ON: Nanos = 700_000_000;

/// Whether the end has been asked for.
#[derive(Debug, Default)]
pub struct Shutdown {
    since: Cell<Option<Nanos>>,
    /// Told to idle connections when they are to close.
    pub close_idle: Notify,
}

impl Shutdown {
    /// The end has been asked for: answers say that the connection closes.
    pub fn begun(&self) -> bool {
        self.since.get().is_some()
    }

    /// Nothing new is taken any more.
    pub fn refusing(&self, now: Nanos) -> bool {
        self.since.get().is_some_and(|at| now >= at + ACCEPT_ON)
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

/// Waits for the signals; returns once the program may end. Call-backs come to the listener, so it stays open
/// until the last flow is answered.
pub async fn wait(s: &Rc<Scheduler>, mut signals: Signals) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.report.recv() => log::info!("counters: {}", s.book.borrow().counters),
        }
    }
    let now = s.clock.now();
    s.shutdown.since.set(Some(now));
    log::info!("asked to end, {} flows to finish", s.book.borrow().owed());
    tokio::time::sleep_until(s.clock.instant(now + ACCEPT_ON)).await;
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
