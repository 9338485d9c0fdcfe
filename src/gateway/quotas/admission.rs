//! Quota check of a request, before its body is read.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::super::accounts::{Account, Quota};
use super::super::link::millis;
use super::super::shared::Gateway;
use super::credit::{Charge, Decision, Denial};
use crate::verdict::{Cause, Refusal};

/// Longest wait for credit.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Part of the objective that a request may wait for credit.
const OBJECTIVE_PARTS: u32 = 3;

/// What the quota check needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct QuotaRequest<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Client account; none where the request has none.
    pub account: Option<&'a Arc<Account>>,
    /// Tokens of prompt and answer, where the request states them.
    pub tokens: Option<u32>,
    /// Objective for the time to the answer.
    pub objective: Duration,
}

/// Credit taken for one request; given back on drop unless a send of the request may have run.
#[derive(Debug)]
pub struct Charged {
    gateway: Arc<Gateway>,
    account: String,
    cost: u32,
    is_spent: AtomicBool,
}

impl Charged {
    /// Records whether the request ran or may have run, as from the start of a send on.
    pub fn set_spent(&self, is_spent: bool) {
        self.is_spent.store(is_spent, Ordering::Relaxed);
    }
}

impl Drop for Charged {
    fn drop(&mut self) {
        if !*self.is_spent.get_mut() {
            let mut credit = self.gateway.quotas.credit();
            credit.refund(&self.account, self.cost);
        }
    }
}

/// A request that waits for credit until this is dropped.
struct Waiting<'a> {
    gateway: &'a Gateway,
    charge: Charge<'a>,
    number: u64,
}

impl Waiting<'_> {
    fn give_up(&self) -> Denial {
        let now = self.gateway.now();
        let mut credit = self.gateway.quotas.credit();
        credit.give_up(&self.charge, self.number, now)
    }

    /// Waits for credit; false where there is none in time.
    async fn wait(&self) -> bool {
        let quotas = &self.gateway.quotas;
        let end = Instant::now() + self.charge.patience;
        loop {
            let granted = quotas.granted.notified();
            tokio::pin!(granted);
            granted.as_mut().enable();
            let now = self.gateway.now();
            let taken = {
                let mut credit = quotas.credit();
                credit.take_waiting(self.charge.account, self.number, now)
            };
            if taken {
                // Further credit may serve the next one.
                quotas.granted.notify_waiters();
                return true;
            }
            if timeout_at(end, granted).await.is_err() {
                return false;
            }
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut credit = self.gateway.quotas.credit();
        credit.cancel(self.charge.account, self.number);
    }
}

/// Takes credit for a request; none where its account has no quota.
///
/// # Errors
///
/// The refusal of a request above the quota.
pub async fn admit(
    gateway: &Arc<Gateway>,
    request: QuotaRequest<'_>,
) -> Result<Option<Charged>, Refusal> {
    let limited = request.account.and_then(|a| Some((a, a.quota.as_ref()?)));
    let Some((account, quota)) = limited else {
        return Ok(None);
    };
    let charge = Charge {
        account: &account.name,
        quota,
        cost: whole_cost(quota, request.tokens),
        patience: MAX_WAIT.min(request.objective / OBJECTIVE_PARTS),
    };
    let decision = {
        let mut credit = gateway.quotas.credit();
        credit.request(&charge, gateway.now(), rand::random())
    };
    let denial = match decision {
        Decision::Admitted => None,
        Decision::Denied(denial) => Some(denial),
        Decision::Waits(number) => {
            gateway.quotas.urgent.notify_one();
            let waiting = Waiting {
                gateway,
                charge,
                number,
            };
            if waiting.wait().await {
                None
            } else {
                Some(waiting.give_up())
            }
        }
    };
    gateway
        .stats
        .record_quota(&account.name, charge.cost, denial.is_some());
    let Some(denial) = denial else {
        return Ok(Some(Charged {
            gateway: Arc::clone(gateway),
            account: account.name.clone(),
            cost: charge.cost,
            is_spent: AtomicBool::new(false),
        }));
    };
    log::info!(id = request.id, account = account.name.as_str(), wanted = charge.cost,
        left = denial.left, age_ms:? = denial.age.map(millis),
        retry_ms = denial.retry_after.map_or(0, millis); "over quota");
    let refusal = Refusal::not_run(Cause::OverQuota);
    Err(match denial.retry_after {
        Some(after) => refusal
            .detail("the account has used its quota")
            .retry_after(after),
        None => refusal.detail("the request is larger than the account's burst"),
    })
}

fn whole_cost(quota: &Quota, tokens: Option<u32>) -> u32 {
    u32::try_from(super::units(quota.cost(tokens).ceil())).unwrap_or(u32::MAX)
}
