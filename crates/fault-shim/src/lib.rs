//! A library that is preloaded into a program under test. It injects the faults of a [`loomlb_fault_plan`] into system
//! calls and forwards all other calls to the C library. Without a plan in the environment it injects nothing.
//!
//! Nothing here allocates or locks: the functions replace those that the C library, the allocator and signal handlers
//! may call at any time.

mod calls;
mod plan;
