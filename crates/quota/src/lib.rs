//! Nested quotas: a tree of organisations, their parts and tenants, each with a guaranteed share, a ceiling and a weight
//! for requests, work and concurrency.
//!
//! A pure core: time is passed in, nothing is read or written. [`Quota::admit`] asks whether a request is within its
//! tenant's share, on borrowed room, over it, or refused with the time at which to come back; [`Quota::complete`] tells
//! what it really took. Both cost the depth of the tree, whatever the number of tenants.
//!
//! **How lending works.** Every node has a bucket that its guaranteed rate fills. A bucket that is full lends: its rate
//! flows into its parent's bucket, and from there, if that is full as well, further up. So at any moment a parent's bucket
//! is filled by just the share that nobody below wants, without a look at its children. A borrower draws on the nearest
//! ancestor's bucket and owes it; a lender's credit grows with what was drawn while it lent. A lender that comes back
//! stops lending with its first request, and has its full bucket at once. While it wants more than its share, borrowers pay
//! back a bounded part of theirs, and the rest stays theirs as a floor. Debts and credits fade together.
#![forbid(unsafe_code)]

mod core;
pub mod share_split;
mod spec;
mod window;

pub use crate::core::{Counters, Loan, Quota, QuotaRequest, Refusal, ShareStatus, Ticket, Verdict};
pub use spec::{Limit, MAX_DEPTH, Measure, NodeSpec, OverSharePolicy, Spec, SpecError, WindowSpec};

/// Time or a span in nanoseconds, from any fixed moment.
pub type Nanos = u64;
