//! Hot restart: a new process takes over from a running process of the same scheduler without dropping connections.
//!
//! [`message`] defines the messages between the two processes and their framing, and [`state_machine`] decides which
//! process accepts connections, even if either of them dies. Both are pure: no I/O and no clock. [`link`] carries the
//! messages, with file descriptors attached, over a Unix socket.

#![forbid(unsafe_code)]

pub mod link;
pub mod message;
pub mod state_machine;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
