//! Administration of a running scheduler, as pure logic: no I/O and no clock; time is passed in as nanoseconds.
//!
//! [`request`] parses requests to the admin address, [`overrides`] records which workers an operator has taken offline, and
//! [`lifecycle`] holds the state of the scheduler: serving, draining or shutting down. The admin server is part of the
//! scheduler crate, because it uses that crate's HTTP code.

#![forbid(unsafe_code)]

pub mod lifecycle;
pub mod overrides;
pub mod request;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
