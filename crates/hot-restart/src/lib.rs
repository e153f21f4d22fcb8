//! Replacing the process: two processes that are one scheduler while the one takes over from the other.
//!
//! [`message`] is what they say, with its framing; [`state_machine`] says who accepts when, whatever dies on the way. Both are
//! pure: no input or output, no clock. [`link`] carries the words, and descriptors with them, over a Unix socket.

#![forbid(unsafe_code)]

pub mod link;
pub mod message;
pub mod state_machine;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
