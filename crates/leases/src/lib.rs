//! Leases with fencing tokens on roles that one scheduler of a tier holds at a time.
//!
//! The modules do no input or output and read no clock; the current time is passed in. [`lease_table`] is the
//! replicated state, [`voter_grants`] holds the leases that a voter has granted, [`lease_holder`] the roles
//! that one process may perform now, and [`fence`] checks the token of an operation at its receiver.
//! docs/design/0007-duty.md has the safety argument and the times for which a role may have no holder.
//! Serving jobs must not depend on a holder.

#![forbid(unsafe_code)]

pub mod fence;
pub mod lease_holder;
pub mod lease_table;
pub mod voter_grants;

/// The name of a role.
pub type Role = String;
/// A fencing token: increases by one with each holder of a role; 0 before the first.
pub type FencingToken = u64;
/// A process of a scheduler: the scheduler's name, and a number that is unique among its processes.
pub type ProcessId = loomlb_consensus::lease_grants::ProcessId;
