//! A library to preload into a program under test: it fails system calls as a [`loomlb_fault_plan`] says, and passes all
//! others on to the C library. Without a plan in the environment everything passes.
//!
//! Nothing here allocates or locks: the functions replace those that the C library, the allocator and signal handlers
//! may call at any time.

mod calls;
mod plan;
