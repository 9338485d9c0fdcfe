//! Limits of tenants, the waiting queue and the retry budget.
//!
//! Everything here is pure: time is passed in as the [`std::time::Duration`] since the clock's
//! origin, and no call blocks.

mod queue;
mod retries;
mod tenants;

pub use queue::{Dequeued, QueueSettings, QueuedRequest, WaitQueue};
pub use retries::{RetryBudget, RetrySettings};
pub use tenants::{Share, TenantLimits, TenantSettings};
