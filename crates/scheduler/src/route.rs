//! Route: the only caller of the decision module. Events go in, actions come out and are carried out.

use super::book::Answer;
use super::wheel::Due;
use super::{Scheduler, relay, send};
use loomlb_policy::{Action, Dispatcher, Event, LearnedState};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// The module with the events that wait for it.
#[derive(Debug)]
pub struct Router {
    module: RefCell<Dispatcher>,
    events: RefCell<VecDeque<Event>>,
    busy: Cell<bool>,
}

impl Router {
    /// What the module has learned.
    pub fn carried(&self) -> LearnedState {
        self.module.borrow().learned_state()
    }

    /// Gives the module what another had learned.
    pub fn restore(&self, carried: LearnedState) {
        self.module.borrow_mut().restore(carried);
    }

    /// A router around a module that has just started.
    pub fn new(module: Dispatcher) -> Self {
        Router { module: RefCell::new(module), events: RefCell::default(), busy: Cell::new(false) }
    }
}

/// Tells the module of an event and carries out what it wants. What happens on the way waits its turn.
pub fn feed(s: &Rc<Scheduler>, event: Event) {
    s.router.events.borrow_mut().push_back(event);
    if s.router.busy.replace(true) {
        return;
    }
    let mut actions = Vec::new();
    loop {
        let Some(event) = s.router.events.borrow_mut().pop_front() else { break };
        let mut module = s.router.module.borrow_mut();
        // A fault in a decision must not take every other flow with it: the deadline answers this one.
        let handled = catch_unwind(AssertUnwindSafe(|| module.handle(s.clock.now(), event, &mut actions)));
        drop(module);
        if handled.is_err() {
            tracing::error!("the decision module panicked");
            s.book.borrow_mut().counters.panics += 1;
        }
        actions.drain(..).for_each(|action| act(s, action));
    }
    s.router.busy.set(false);
}

fn act(s: &Rc<Scheduler>, action: Action) {
    match action {
        Action::Send { id, worker, timeout } => send::forward(s, id, worker, timeout),
        Action::Refuse { id, retry_after } => {
            let wait = retry_after.min(s.epoch().settings.limits.max_retry_after);
            relay::answer(s, id, Answer::Refused(wait));
        }
        Action::Fail(id) => {
            relay::answer(s, id, Answer::Failed);
        }
        Action::Cancel(id, attempt) => send::cancel(s, id, attempt),
        Action::SetTimer { after, token } => {
            s.wheel.set(s.clock.now().saturating_add(after), Due::Module(token));
        }
        Action::Probe(worker) => send::probe(s, worker),
        Action::CloseIdleConnections(worker) => s.pool.release(worker),
        Action::WatchList => s.group.ask(),
        Action::SendToPeers(to, bytes) => s.peers.tell(s, to, &bytes),
    }
}
