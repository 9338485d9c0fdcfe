//! Order counts of engines: which changes may still send orders, and with which count.
//!
//! An engine carries out an order only if it has accepted as many orders as the order states. The
//! count therefore stands for the state that a change was planned on. A change ends as soon as that
//! state is no longer the one on record: the record was dropped, or an order of another holder was
//! carried out in between.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::{Mutex, MutexGuard};

#[derive(Debug, Default)]
struct Shared {
    /// Number of orders that the engine accepted; locked while one is being sent.
    accepted: Mutex<u64>,
    /// Increases whenever the changes in flight lose their basis.
    epoch: AtomicU64,
    /// Whether the engine carries out the load of a model.
    loading: AtomicBool,
}

/// Orders that one incarnation of an engine has accepted; dropping it revokes all tickets.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::orders::sequence::OrderSequence;
///
/// let sequence = OrderSequence::default();
/// let ticket = sequence.ticket();
/// assert!(ticket.is_valid());
/// drop(sequence);
/// assert!(!ticket.is_valid());
/// ```
#[derive(Debug, Default)]
pub struct OrderSequence {
    shared: Arc<Shared>,
}

impl OrderSequence {
    /// Creates a ticket for a change that is planned on the present state.
    #[must_use]
    pub fn ticket(&self) -> OrderTicket {
        OrderTicket {
            epoch: self.shared.epoch.load(Ordering::Acquire),
            shared: Arc::clone(&self.shared),
        }
    }

    /// Whether a ticket was created here, valid or revoked.
    #[must_use]
    pub fn issued(&self, ticket: &OrderTicket) -> bool {
        Arc::ptr_eq(&self.shared, &ticket.shared)
    }

    /// Whether the engine has accepted the load of a model that has not ended.
    #[must_use]
    pub fn is_loading(&self) -> bool {
        self.shared.loading.load(Ordering::Acquire)
    }

    /// Number of accepted orders; `None` while an order is being sent.
    #[must_use]
    pub fn accepted(&self) -> Option<u64> {
        self.shared.accepted.try_lock().ok().map(|count| *count)
    }

    /// Replaces the number of accepted orders; returns false while an order is being sent.
    #[must_use]
    pub fn set_accepted(&self, count: u64) -> bool {
        let Ok(mut accepted) = self.shared.accepted.try_lock() else {
            return false;
        };
        *accepted = count;
        true
    }
}

impl Drop for OrderSequence {
    fn drop(&mut self) {
        self.shared.epoch.fetch_add(1, Ordering::AcqRel);
    }
}

/// Permission of a change to send orders to an engine.
#[derive(Debug, Clone)]
pub struct OrderTicket {
    epoch: u64,
    shared: Arc<Shared>,
}

impl OrderTicket {
    /// Whether the engine's state is still the one that the change was planned on.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.shared.epoch.load(Ordering::Acquire) == self.epoch
    }

    /// Records whether the engine carries out the load of a model.
    pub fn set_loading(&self, loading: bool) {
        self.shared.loading.store(loading, Ordering::Release);
    }

    /// Waits for the order that is being sent; returns the count, or `None` once revoked.
    pub async fn lock(&self) -> Option<MutexGuard<'_, u64>> {
        let accepted = self.shared.accepted.lock().await;
        self.is_valid().then_some(accepted)
    }

    /// Revokes all tickets of the engine, after an order of another holder was carried out.
    pub fn revoke_all(&self) {
        self.shared.epoch.fetch_add(1, Ordering::AcqRel);
    }
}
