//! Agreed: what the tier has agreed on, put in force in this scheduler; and files that go to the tier as proposals.

use super::{Scheduler, control, discovery, reload};
use loomlb_consensus::worker_lists::{LeavingWorker, ListReport};
use loomlb_tier::Application;
use serde_json::Value;
use std::rc::Rc;
use tokio::task::spawn_local;

/// The scheduler as the tier sees it.
#[derive(Debug)]
pub struct Around(pub Rc<Scheduler>);

/// The same for tasks that go on for as long as the program runs.
pub fn around(s: &Rc<Scheduler>) -> Rc<dyn Application> {
    Rc::new(Around(Rc::clone(s)))
}

impl Application for Around {
    fn worker_list(&self) -> ListReport {
        self.0.target_group.mine(self.0.clock.now())
    }

    fn settings(&self) -> Value {
        self.0.config.settings()
    }

    fn validate_settings(&self, settings: Value) -> Result<(), String> {
        self.0.config.with_settings(settings).map(|_| ())
    }

    fn apply_settings(&self, settings: Value) -> Result<(), String> {
        self.0.config.with_settings(settings).and_then(|fresh| reload::put_in_force(&self.0, fresh))
    }

    fn set_worker_offline(&self, worker: &str, out: bool) {
        control::agreed(&self.0, worker, out);
    }

    fn learn_leaving_worker(&self, leaving: &LeavingWorker) -> bool {
        discovery::hearsay(&self.0, &leaving.host, leaving.born_ms)
    }

    fn expire_leaving_workers(&self) {
        discovery::forget_hearsay(&self.0);
    }

    fn refetch_worker_list(&self) {
        self.0.target_group.ask_anew();
    }
}

/// A file that SIGHUP had read is proposed to the tier; what comes of it is logged.
pub fn propose_settings(s: &Rc<Scheduler>, settings: &Value) {
    let (s, text) = (Rc::clone(s), settings.to_string());
    spawn_local(async move {
        let (status, said) =
            loomlb_tier::propose_settings(&s.tier, &Around(Rc::clone(&s)), text.as_bytes(), None).await;
        if status < 300 {
            tracing::info!("configuration proposed to the tier: {said}");
        } else {
            s.book.borrow_mut().counters.reload_faults += 1;
            tracing::error!("configuration: refused by the tier: {said}");
        }
    });
}
