//! Duties that one scheduler of a tier holds at a time: a lease with a fencing token that only grows.
//!
//! Pure: no sockets, no clock, time passed in. [`table`] is what the voters agree on, [`voter`] what one voter has promised
//! to holders, [`holder`] what one process may do now, [`fence`] what a receiver of an act looks at. The proof and the
//! times without a holder are in docs/design/0007-duty.md. Nothing that serves a job may depend on a holder.

#![forbid(unsafe_code)]

pub mod fence;
pub mod holder;
pub mod table;
pub mod voter;

/// A duty by its name.
pub type Duty = String;
/// Grows by one with every holder of a duty; 0 before the first.
pub type Token = u64;
/// A process of a scheduler, as no other is called: its name and a number.
pub type Process = loomlb_consensus::lease_grants::ProcessId;
