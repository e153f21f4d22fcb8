//! The decisions of a dispatcher that pushes jobs to workers, without any input or output.
//!
//! A [`Dispatcher`] is told what happens ([`Event`]) and answers with what to do ([`Action`]). It opens no
//! socket, reads no clock and draws its random numbers from the seed it was given: the same events give the
//! same actions. [`api`] holds the interface, [`rules`] every decision, but for the networks
//! that it learns by.
//!
//! ```
//! use loomlb_policy::*;
//! let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
//! let mut dispatcher = Dispatcher::new(settings, 7);
//! let mut actions = Vec::new();
//! let worker = Worker::new(WorkerId(1));
//! dispatcher.handle(0, Event::WorkerList { kind: ListKind::Complete, entries: vec![worker] }, &mut actions);
//! let job = Request::new(RequestId(10), ClassId(0), 2_000_000_000);
//! dispatcher.handle(1_000_000, Event::Request(job), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { worker: WorkerId(1), .. })));
//! ```
#![forbid(unsafe_code)]

pub mod api;
mod cold_start;
mod completion_estimator;
mod decay;
mod group_assignment;
mod group_traffic;
mod message;
mod network;
mod neurons;
pub mod raw_settings;
pub mod rules;
mod state;

pub use api::*;
pub use message::{Message, SlotUsage};
pub use rules::{Dispatcher, LearnedState};
