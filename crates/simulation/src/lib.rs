//! The platform as a model: workers, discovery, network, clients and faults, without input or output.
//!
//! A [`scenario::Scenario`] says what is played, a [`world::World`] plays the workers' side of it, [`clients`] make the
//! requests, and the [`invariants::InvariantChecker`] watches what must never go wrong. Two hosts drive them: [`simulate`] in
//! virtual time, with any number of schedulers in one process, and the emulator on loopback sockets. Times are
//! nanoseconds from the start of the scenario. All random numbers come from named streams of one seed ([`seed`]).
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
