//! Admission by the limits of the tenants, before the body is read, and the retry budget.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::clock::Clock;
use crate::limits::{RetryBudget, RetrySettings, Share, TenantLimits};
use crate::peers::MeshHandle;
use crate::rules_sync::RulesWatch;
use crate::verdict::{Refusal, Verdict};

/// Limits of the tenants and the retry budget at one instance.
#[derive(Debug, Clone)]
pub struct Admission {
    tenants: Arc<Mutex<TenantLimits>>,
    retries: Arc<Mutex<RetryBudget>>,
    clock: Clock,
}

/// Permit of an admitted request; dropping it releases the tenant's concurrency slot.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Admission,
    tenant: String,
    admitted_at: Instant,
}

impl Admission {
    /// Limits without tenants; until the first update, every request is refused.
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
    pub fn admit(&self, tenant: &str) -> Result<AdmissionPermit, Refusal> {
        self.tenants().admit(tenant, self.clock.now())?;
        self.retries().record_request();
        Ok(AdmissionPermit {
            admission: self.clone(),
            tenant: tenant.to_owned(),
            admitted_at: Instant::now(),
        })
    }

    /// Whether a request may be retried after an attempt with this verdict.
    ///
    /// An attempt that did not run put no load on an endpoint, so its retry costs no budget.
    #[must_use]
    pub fn may_retry(&self, verdict: Verdict) -> bool {
        verdict == Verdict::NotRun || self.retries().try_retry(self.clock.now())
    }

    /// Applies changes of the tenants and of the live instances until a channel closes.
    pub async fn apply_updates(self, name: String, mut rules: RulesWatch, mesh: MeshHandle) {
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

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.admission
            .tenants()
            .release(&self.tenant, self.admitted_at.elapsed());
    }
}
