//! Reload: on SIGHUP reads the configuration again, activates its settings and changes the address of
//! discovery.

use super::config::ReloadedConfig;
use super::{Scheduler, discovery, route, tier_application};
use loomlb_policy::{ClassOrigin, Event};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

/// Interval between attempts to save the active configuration after a failure.
const SAVE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Installs the handler for SIGHUP, which would end the program by default.
pub fn install_sighup_handler() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reloads the operator file and the configuration on every SIGHUP. An invalid one is logged and changes
/// nothing.
pub fn start(scheduler: &Rc<Scheduler>, mut hangup: Signal) {
    let scheduler = Rc::clone(scheduler);
    spawn_local(async move {
        while hangup.recv().await.is_some() {
            if let Err(e) = scheduler.quotas.reload(scheduler.clock.now()) {
                scheduler.book.borrow_mut().counters.reload_faults += 1;
                tracing::error!("operator file: {e}; keeping the active one");
            }
            match reload(&scheduler) {
                Ok(()) => scheduler.book.borrow_mut().counters.reloads += 1,
                Err(e) => {
                    scheduler.book.borrow_mut().counters.reload_faults += 1;
                    tracing::error!("configuration: {e}; keeping the active one");
                }
            }
        }
    });
}

/// Saves the active configuration again for as long as that has failed, including at the start. After a
/// handover the file belongs to the successor.
pub fn retry_saving(scheduler: &Rc<Scheduler>) {
    let scheduler = Rc::clone(scheduler);
    spawn_local(async move {
        loop {
            tokio::time::sleep(SAVE_RETRY_INTERVAL).await;
            if scheduler.config.is_save_pending() && scheduler.upgrade.accepts() {
                scheduler.config.save();
            }
        }
    });
}

/// Reads the configuration and activates all of it or nothing.
fn reload(scheduler: &Rc<Scheduler>) -> Result<(), String> {
    let reloaded = scheduler.config.reload()?;
    if scheduler.tier.is_enabled() {
        // With a tier the settings are proposed to it, and only the address of discovery applies at once.
        scheduler.target_group.set_address(reloaded.discovery);
        tier_application::propose_settings(scheduler, &reloaded.settings_json());
        return Ok(());
    }
    let discovery = reloaded.discovery;
    activate(scheduler, reloaded)?;
    scheduler.target_group.set_address(discovery);
    Ok(())
}

/// Activates settings, all of them or nothing. The current endpoint list stays in use.
pub fn activate(scheduler: &Rc<Scheduler>, reloaded: ReloadedConfig) -> Result<(), String> {
    let book = scheduler.book.borrow();
    let (next, origins) =
        scheduler.settings().merge((*reloaded.settings).clone(), |class| book.has_flow_of_class(class.0))?;
    drop(book);
    let changed = origins.iter().filter(|start| **start != ClassOrigin::Kept).count();
    scheduler.pool.set_keepalive(next.network.keepalive);
    scheduler.shutdown.update_service(|service| {
        service.reconfigure(next.longest_client_timeout(), next.is_only_scheduler());
    });
    scheduler.quotas.add_classes(&next.latency_objectives());
    let settings = Box::new(next.policy.clone());
    *scheduler.settings.borrow_mut() = Rc::new(next);
    route::handle_event(scheduler, Event::SettingsChanged(settings, origins));
    discovery::resend_targets(scheduler);
    let (discovery, restart_required) = (reloaded.discovery, reloaded.restart_required.join(", "));
    scheduler.config.record_active(reloaded);
    // Logged last: a process that starts after this line and takes over reads the saved configuration.
    tracing::info!("configuration reloaded: discovery: {discovery}; {changed} classes changed or new");
    if !restart_required.is_empty() {
        tracing::warn!("configuration: {restart_required}: changed, takes effect at the next start");
    }
    Ok(())
}
