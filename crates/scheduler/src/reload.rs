//! Reload: SIGHUP has the configuration read again: its settings are put in force, and discovery is followed where it now
//! says.

use super::config::Fresh;
use super::{Scheduler, agreed, discovery, route};
use loomlb_policy::{ClassOrigin, Event};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

/// Pause between two looks whether the configuration in force has yet to be kept for the next process.
const KEEP_RETRY: Duration = Duration::from_secs(1);

/// Takes SIGHUP over, for as long as the program runs: left to its default it would end the program with
/// every flow it has taken.
pub fn take_over() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the configuration again at every SIGHUP. A faulty one is logged by its key and changes nothing.
pub fn start(s: &Rc<Scheduler>, mut hangup: Signal) {
    let s = Rc::clone(s);
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            if let Err(e) = s.quotas.reload(s.clock.now()) {
                s.book.borrow_mut().counters.reload_faults += 1;
                tracing::error!("operator file: {e}; the old one stays");
            }
            match take(&s) {
                Ok(()) => s.book.borrow_mut().counters.reloads += 1,
                Err(e) => {
                    s.book.borrow_mut().counters.reload_faults += 1;
                    tracing::error!("configuration: {e}; the old one stays");
                }
            }
        }
    });
}

/// Writes the configuration in force for the next process once more for as long as that has failed, also at the start.
/// Once this process has handed over, the file is the next one's.
pub fn retry_keeping(s: &Rc<Scheduler>) {
    let s = Rc::clone(s);
    spawn_local(async move {
        loop {
            tokio::time::sleep(KEEP_RETRY).await;
            if s.config.is_unkept() && s.upgrade.accepts() {
                s.config.keep();
            }
        }
    });
}

/// Reads the file, and puts all of it in force or nothing.
fn take(s: &Rc<Scheduler>) -> Result<(), String> {
    let fresh = s.config.reload()?;
    if s.tier.is_enabled() {
        // Where the tier agrees on settings, a file is a proposal, and only what is this scheduler's own is taken in here.
        s.target_group.follow_at(fresh.discovery);
        agreed::propose_settings(s, &fresh.settings());
        return Ok(());
    }
    let discovery = fresh.discovery;
    put_in_force(s, fresh)?;
    s.target_group.follow_at(discovery);
    Ok(())
}

/// Puts settings in force, all of them or nothing. Discovery is followed on from the list that is there.
pub fn put_in_force(s: &Rc<Scheduler>, fresh: Fresh) -> Result<(), String> {
    let book = s.book.borrow();
    let (next, starts) = s.epoch().next((*fresh.epoch).clone(), |class| book.has_flow_of_class(class.0))?;
    drop(book);
    let changed = starts.iter().filter(|start| **start != ClassOrigin::Kept).count();
    s.pool.set_keepalive(next.terms.keepalive);
    s.shutdown.turn(|service| service.set_longest_wait(next.longest()));
    s.quotas.add_classes(&next.aims());
    let settings = Box::new(next.settings.clone());
    *s.epoch.borrow_mut() = Rc::new(next);
    route::handle_event(s, Event::SettingsChanged(settings, starts));
    discovery::renamed(s);
    let (discovery, postponed) = (fresh.discovery, fresh.postponed.join(", "));
    s.config.took(fresh);
    // Said last: a process that starts at this word, and takes over, reads what is kept.
    tracing::info!("configuration reloaded: discovery: {discovery}; {changed} classes changed or new");
    if !postponed.is_empty() {
        tracing::warn!("configuration: {postponed}: changed, read at the next start");
    }
    Ok(())
}
