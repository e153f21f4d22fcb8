//! Agreed: what the tier has agreed on, put in force in this scheduler; and files that go to the tier as proposals.

use super::{Scheduler, control, discovery, reload};
use loomlb_consensus::worker_lists::{LeavingWorker, ListReport};
use loomlb_tier::Application;
use serde_json::Value;
use std::rc::Rc;
use tokio::task::spawn_local;

/// The scheduler as the tier sees it.
#[derive(Debug)]
pub struct TierApplication(pub Rc<Scheduler>);

/// The same for tasks that go on for as long as the program runs.
pub fn application(s: &Rc<Scheduler>) -> Rc<dyn Application> {
    Rc::new(TierApplication(Rc::clone(s)))
}

impl Application for TierApplication {
    fn list(&self) -> ListReport {
        self.0.target_group.report_to_peers(self.0.clock.now())
    }

    fn settings(&self) -> Value {
        self.0.config.settings_json()
    }

    fn check(&self, settings: Value) -> Result<(), String> {
        self.0.config.with_settings(settings).map(|_| ())
    }

    fn put_in_force(&self, settings: Value) -> Result<(), String> {
        self.0.config.with_settings(settings).and_then(|fresh| reload::activate(&self.0, fresh))
    }

    fn order(&self, worker: &str, out: bool) {
        control::apply_agreed_order(&self.0, worker, out);
    }

    fn leaving(&self, leaving: &LeavingWorker) -> bool {
        discovery::record_peer_report(&self.0, &leaving.host, leaving.born_ms)
    }

    fn forget_leaving(&self) {
        discovery::expire_peer_reports(&self.0);
    }

    fn ask_list_anew(&self) {
        self.0.target_group.request_full_list();
    }
}

/// A file that SIGHUP had read is proposed to the tier; what comes of it is logged.
pub fn propose_settings(s: &Rc<Scheduler>, settings: &Value) {
    let (s, text) = (Rc::clone(s), settings.to_string());
    spawn_local(async move {
        let (status, said) =
            loomlb_tier::proposed(&s.tier, &TierApplication(Rc::clone(&s)), text.as_bytes(), None).await;
        if status < 300 {
            tracing::info!("configuration proposed to the tier: {said}");
        } else {
            s.book.borrow_mut().counters.reload_faults += 1;
            tracing::error!("configuration: refused by the tier: {said}");
        }
    });
}
