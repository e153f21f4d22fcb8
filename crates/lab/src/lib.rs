//! The laboratory's parts: days that ship, textbook policies to compare with, and tables.
#![forbid(unsafe_code)]

pub mod baselines;
pub mod capacity;
pub mod days;
pub mod fleet;
pub mod processes;
pub mod scale;
pub mod tables;
pub mod trial;
