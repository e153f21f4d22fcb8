//! The platform on loopback sockets: the model's world behind real listeners, real scheduler processes in front of
//! it, and the same referee over both.
//!
//! Each scheduler gets addresses of its own for discovery, for every worker and for every peer, so that a stand-in
//! knows who calls, as machines of the platform do, and so that a cut between two of them can be played. Everything
//! runs on one thread; a test or the laboratory gives it one.
//!
//! What loopback cannot play without privileges: a machine that is gone still accepts connections here (the kernel
//! does), and stays silent on them; in virtual time such a connection never comes up.
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
