//! Rate and concurrency limits of tenants, the waiting queue and the retry budget.
//!
//! The types here do no I/O and read no clock: the caller passes the time in as the
//! [`std::time::Duration`] since the clock's origin.

mod queue;
mod retries;
mod tenants;

pub use queue::{Dequeued, QueueSettings, QueuedRequest, WaitQueue};
pub use retries::{RetryBudget, RetrySettings};
pub use tenants::{Share, TenantLimits, TenantSettings};
