//! Whole lives of replicas, from the decision to the release.

use brassrack::engine::Engine;
use brassrack::placement::{PlacementError, Reservation, load_order};
use brassrack::state_chart::ReplicaState;
use tokio::time::{sleep, timeout};

use crate::rack::{CALL, Instance, ROUND, ROUNDS, address};

impl Instance {
    /// Decides a load and sends its order.
    pub(crate) async fn load(
        &self,
        model: &str,
        server: u16,
    ) -> Result<Reservation, PlacementError> {
        let ask = Self::ask(model, server);
        let reserved = self.placement.reserve(&ask).await?;
        if reserved.state == ReplicaState::Loading && reserved.server == ask.server {
            let placed = self.placement.server(&reserved.server).await?;
            if let Some(replica) = placed.row.replica_by_op(&reserved.op) {
                let order = load_order(replica, reserved.fence);
                let _answer_may_be_lost =
                    timeout(CALL, self.engines.order(address(server), order)).await;
            }
        }
        Ok(reserved)
    }

    /// Loads a model, waits until it is ready, lets it go and waits until it is gone.
    ///
    /// Returns false where that does not end.
    pub(crate) async fn live(&mut self, model: &str, server: u16) -> bool {
        self.until_ready(model, server).await && self.until_gone(model, server).await
    }

    /// Loads a model and waits until it is ready.
    pub(crate) async fn until_ready(&mut self, model: &str, server: u16) -> bool {
        for _ in 0..ROUNDS {
            let reserved = self.load(model, server).await;
            if reserved.is_ok_and(|r| r.state == ReplicaState::Ready) {
                return true;
            }
            self.reconcile(server).await;
            sleep(ROUND).await;
        }
        false
    }
}
