//! Hierarchical quotas: a tree of organisations, departments and tenants. Each node has a guarantee, a ceiling and a
//! weight for requests, work and concurrency.
//!
//! The crate does no I/O, and the caller passes the time. [`Quota::admit`] decides whether a request is within its
//! tenant's share, on borrowed share, over it, or refused with a retry time. [`Quota::complete`] charges the work that
//! the request took. Both take time proportional to the depth of the tree, independent of the number of tenants.
//!
//! **Lending.** Every node has a token bucket that is filled at its guaranteed rate. A full bucket lends: its rate
//! flows into its parent's bucket and, if that is full too, further up. A parent's bucket is therefore filled at the
//! rate that its descendants leave unused. A borrower draws from the nearest ancestor's bucket and owes the amount, and
//! the lenders are credited with it. A lender stops lending with its first request and starts with a full bucket. While
//! a lender needs more than its share, borrowers repay a bounded part of their own guarantees. Debts and credits decay
//! at the same rate.
#![forbid(unsafe_code)]

mod core;
pub mod share_split;
mod spec;
mod window;

pub use crate::core::{Counters, Loan, Quota, QuotaRequest, Refusal, ShareStatus, Ticket, Verdict};
pub use spec::{Limit, MAX_DEPTH, Measure, NodeSpec, OverSharePolicy, Spec, SpecError, WindowSpec};

/// Time or a span in nanoseconds, from any fixed moment.
pub type Nanos = u64;
