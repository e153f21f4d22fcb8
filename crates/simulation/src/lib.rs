//! A model of the platform: workers, discovery, network, clients and faults, without input or output.
//!
//! A [`scenario::Scenario`] is the input of a run. A [`world::World`] models the workers and the worker list,
//! [`clients`] generate the requests, and an [`invariants::InvariantChecker`] checks what happens. They are driven
//! by one of two hosts: [`simulate`] in virtual time, with any number of schedulers in one process, or the emulator
//! on loopback sockets. Times are nanoseconds from the start of the scenario. All random numbers come from named
//! streams of one seed ([`seed`]).
#![forbid(unsafe_code)]

pub mod clients;
pub mod figures;
pub mod invariants;
pub mod scenario;
pub mod seed;
pub mod settings;
pub mod simulate;
pub mod worker;
pub mod world;

pub use figures::Figures;
pub use invariants::{Invariant, InvariantChecker, Violation};
pub use scenario::{ConfigError, FaultKind, Scenario};
pub use world::World;
