//! Emulates the platform on loopback sockets: the world of the simulation behind real listeners, real scheduler
//! processes, and the same invariant checker as in virtual time.
//!
//! Each scheduler has its own addresses for discovery, for every worker and for every peer, so that an endpoint knows
//! which scheduler connects to it, and so that a network partition between two of them can be emulated. Everything
//! runs on the thread of the caller, except for [`tier_harness`].
//!
//! One limit of loopback without privileges: the kernel still accepts connections for a machine that is unreachable,
//! so they open and get no response. In virtual time they never open.
#![forbid(unsafe_code)]

mod clients;
mod cost;
mod discovery;
mod emulation;
mod http;
mod peer_proxies;
mod schedulers;
pub mod tier_harness;
mod workers;

pub use cost::Cost;
pub use emulation::{EmulationResult, Options, Progress, StopFlag, run};
