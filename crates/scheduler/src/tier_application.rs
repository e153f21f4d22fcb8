//! Connects the tier to this scheduler: applies what the schedulers of the tier have agreed on, and proposes
//! reloaded settings to them.

use super::{Scheduler, control, discovery, reload};
use loomlb_consensus::worker_lists::{LeavingWorker, ListReport};
use loomlb_tier::Application;
use serde_json::Value;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Implements the tier's [`Application`] for a scheduler.
#[derive(Debug)]
pub struct TierApplication(pub Rc<Scheduler>);

/// Returns the application as a shared object, for the background tasks of the tier.
pub fn application(scheduler: &Rc<Scheduler>) -> Rc<dyn Application> {
    Rc::new(TierApplication(Rc::clone(scheduler)))
}

impl Application for TierApplication {
    fn worker_list(&self) -> ListReport {
        self.0.target_group.report_to_peers(self.0.clock.now())
    }

    fn settings(&self) -> Value {
        self.0.config.settings_json()
    }

    fn validate_settings(&self, settings: Value) -> Result<(), String> {
        self.0.config.with_settings(settings).map(|_| ())
    }

    fn apply_settings(&self, settings: Value) -> Result<(), String> {
        self.0.config.with_settings(settings).and_then(|reloaded| reload::activate(&self.0, reloaded))
    }

    fn set_worker_offline(&self, worker: &str, out: bool) {
        control::apply_agreed_order(&self.0, worker, out);
    }

    fn learn_leaving_worker(&self, leaving: &LeavingWorker) -> bool {
        discovery::record_peer_report(&self.0, &leaving.host, leaving.born_ms)
    }

    fn expire_leaving_workers(&self) {
        discovery::expire_peer_reports(&self.0);
    }

    fn refetch_worker_list(&self) {
        self.0.target_group.request_full_list();
    }
}

/// Proposes reloaded settings to the tier in the background and logs the result.
pub fn propose_settings(scheduler: &Rc<Scheduler>, settings: &Value) {
    let (scheduler, text) = (Rc::clone(scheduler), settings.to_string());
    spawn_local(async move {
        let (status, reply) = loomlb_tier::propose_settings(
            &scheduler.tier,
            &TierApplication(Rc::clone(&scheduler)),
            text.as_bytes(),
            None,
        )
        .await;
        if status < 300 {
            tracing::info!("configuration proposed to the tier: {reply}");
        } else {
            scheduler.book.borrow_mut().counters.reload_faults += 1;
            tracing::error!("configuration: refused by the tier: {reply}");
        }
    });
}
