//! Limits that a request passes before it is read, and the budget of its retries.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::clock::Clock;
use crate::limits::{RetryBudget, RetrySettings, Share, TenantLimits};
use crate::peers::MeshHandle;
use crate::rules_sync::RulesWatch;
use crate::verdict::{Refusal, Verdict};

/// Limits of the tenants and the budget of retries, at one instance.
#[derive(Debug, Clone)]
pub struct Admission {
    tenants: Arc<Mutex<TenantLimits>>,
    retries: Arc<Mutex<RetryBudget>>,
    clock: Clock,
}

/// An admitted request; dropping it ends its count.
#[derive(Debug)]
pub struct Pass {
    admission: Admission,
    tenant: String,
    since: Instant,
}

impl Admission {
    /// Limits without tenants yet.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        let retries = RetryBudget::new(RetrySettings::default());
        Self {
            tenants: Arc::default(),
            retries: Arc::new(Mutex::new(retries)),
            clock,
        }
    }

    /// Admits a request of a tenant.
    ///
    /// # Errors
    ///
    /// A refusal as not run where the tenant is unknown or over a limit.
    pub fn admit(&self, tenant: &str) -> Result<Pass, Refusal> {
        self.tenants().admit(tenant, self.clock.now())?;
        self.retries().request();
        Ok(Pass {
            admission: self.clone(),
            tenant: tenant.to_owned(),
            since: Instant::now(),
        })
    }

    /// Whether a request may be sent again after an attempt with this verdict.
    ///
    /// An attempt that surely did not run put no load on an endpoint and costs no budget.
    #[must_use]
    pub fn may_retry(&self, verdict: Verdict) -> bool {
        verdict == Verdict::NotRun || self.retries().retry(self.clock.now())
    }

    /// Follows the configuration and the live instances, until the process ends.
    pub async fn follow(self, name: String, mut rules: RulesWatch, mesh: MeshHandle) {
        let mut members = mesh.members();
        loop {
            let live: BTreeSet<String> = members.borrow_and_update().keys().cloned().collect();
            self.tenants().set_share(Share::of(&name, &live));
            if let Some(rules) = rules.borrow_and_update().as_ref() {
                self.tenants().set_tenants(&rules.rules.tenants);
            }
            let changed = tokio::select! {
                changed = rules.changed() => changed,
                changed = members.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    fn tenants(&self) -> MutexGuard<'_, TenantLimits> {
        self.tenants.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.admission
            .tenants()
            .finish(&self.tenant, self.since.elapsed());
    }
}
