//! The decisions of a dispatcher that pushes jobs to workers, without any input or output.
//!
//! A [`Dispatcher`] handles [`Event`]s and returns [`Action`]s for its caller to carry out. It opens no
//! socket, reads no clock and takes its random numbers from a seed: the same events give the same actions.
//! [`api`] holds the interface, [`rules`] the decisions, and the private module `network` the random neural
//! networks that they learn with.
//!
//! ```
//! use loomlb_policy::*;
//! let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
//! let mut dispatcher = Dispatcher::new(settings, 7);
//! let mut actions = Vec::new();
//! let worker = Worker::new(WorkerId(1));
//! let list = Event::WorkerList { kind: ListKind::Complete, entries: vec![worker] };
//! dispatcher.handle(0, list, &mut actions);
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
