//! Reload: SIGHUP has the configuration read again, and discovery followed at the address that it now names.

use super::Scheduler;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;

/// Takes SIGHUP over, for as long as the program runs: left to its default it would end the program with
/// every flow it has taken. A faulty configuration is logged by its key and changes nothing.
pub fn start(s: &Rc<Scheduler>) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let s = Rc::clone(s);
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            if let Err(e) = s.shares.reload(s.clock.now()) {
                s.book.borrow_mut().counters.reload_faults += 1;
                tracing::error!("operator file: {e}; the old one stays");
            }
            match s.config.reload() {
                Ok(fresh) => {
                    s.book.borrow_mut().counters.reloads += 1;
                    tracing::info!("configuration reloaded: discovery: {}", fresh.discovery);
                    if !fresh.postponed.is_empty() {
                        tracing::warn!(
                            "configuration: {}: changed, read at the next start",
                            fresh.postponed.join(", ")
                        );
                    }
                    s.group.follow_at(fresh.discovery);
                }
                Err(e) => {
                    s.book.borrow_mut().counters.reload_faults += 1;
                    tracing::error!("configuration: {e}; the old one stays");
                }
            }
        }
    });
    Ok(())
}
