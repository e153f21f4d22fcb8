//! What staff order of a running scheduler, as pure cores: no input or output, no clock, time passed in as nanoseconds.
//!
//! [`request`] reads what is asked at the second address, [`overrides`] holds which workers are out by hand, and [`lifecycle`]
//! is the one state of the whole scheduler: in service, draining, or ending. The front that carries the calls is in the
//! scheduler, as it speaks that crate's HTTP.

#![forbid(unsafe_code)]

pub mod lifecycle;
pub mod overrides;
pub mod request;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
