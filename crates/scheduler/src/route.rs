//! Route: the only caller of the decision module. Passes events to it and executes the actions that it returns.

use super::book::Answer;
use super::timers::TimerEvent;
use super::{Scheduler, relay, send};
use loomlb_policy::{Action, Dispatcher, Event, LearnedState};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// The decision module and its queue of events.
#[derive(Debug)]
pub struct Router {
    dispatcher: RefCell<Dispatcher>,
    events: RefCell<VecDeque<Event>>,
    /// Whether [`handle_event`] is processing the queue.
    processing: Cell<bool>,
}

impl Router {
    /// The learned state of the decision module, for a successor process.
    pub fn learned_state(&self) -> LearnedState {
        self.dispatcher.borrow().learned_state()
    }

    /// Gives the decision module the learned state of a predecessor process.
    pub fn restore_learned_state(&self, carried: LearnedState) {
        self.dispatcher.borrow_mut().restore(carried);
    }

    /// A router for a new decision module.
    pub fn new(dispatcher: Dispatcher) -> Self {
        Router {
            dispatcher: RefCell::new(dispatcher),
            events: RefCell::default(),
            processing: Cell::new(false),
        }
    }
}

/// Passes an event to the decision module and executes the resulting actions. Events caused by these actions are queued
/// and handled in order.
pub fn handle_event(scheduler: &Rc<Scheduler>, event: Event) {
    scheduler.router.events.borrow_mut().push_back(event);
    if scheduler.router.processing.replace(true) {
        return;
    }
    let mut actions = Vec::new();
    loop {
        let Some(event) = scheduler.router.events.borrow_mut().pop_front() else { break };
        let mut dispatcher = scheduler.router.dispatcher.borrow_mut();
        // A panic must not end the other flows; the flow concerned is answered at its deadline.
        let handled =
            catch_unwind(AssertUnwindSafe(|| dispatcher.handle(scheduler.clock.now(), event, &mut actions)));
        drop(dispatcher);
        if handled.is_err() {
            tracing::error!("the decision module panicked; the flow concerned fails at its deadline");
            scheduler.book.borrow_mut().counters.panics += 1;
        }
        actions.drain(..).for_each(|action| execute(scheduler, action));
    }
    scheduler.router.processing.set(false);
}

fn execute(scheduler: &Rc<Scheduler>, action: Action) {
    match action {
        Action::Send { id, worker, timeout } => send::start_forward(scheduler, id, worker, timeout),
        Action::Refuse { id, retry_after } => {
            let retry_after = retry_after.min(scheduler.settings().policy.limits.max_retry_after);
            relay::answer_flow(scheduler, id, Answer::Refused(retry_after));
        }
        Action::Fail(id) => {
            relay::answer_flow(scheduler, id, Answer::Failed);
        }
        Action::Cancel(id, attempt) => send::cancel(scheduler, id, attempt),
        Action::SetTimer { after, token } => {
            scheduler
                .timers
                .schedule(scheduler.clock.now().saturating_add(after), TimerEvent::Dispatcher(token));
        }
        Action::Probe(worker) => send::probe(scheduler, worker),
        Action::CloseIdleConnections(worker) => scheduler.pool.close_idle(worker),
        Action::WatchList => scheduler.target_group.request_list(),
        Action::SendToPeers(to, bytes) => scheduler.peers.send(scheduler, to, &bytes),
    }
}
