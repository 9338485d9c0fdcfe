//! Ranks the servers that a replica could be placed on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::timeout;

use super::load::ColdStartContext;
use crate::endpoint_registry::Endpoint;
use crate::engine::Report;
use crate::placement::{PlacementError, ServerRow};
use crate::policy::choose_server;
use crate::policy::key::{DomainKey, ServerKey};
use crate::policy::server_selection::{Candidate, Locality};
use crate::residency_controller::lock_tracker;
use crate::rules::Model;

/// Maximum number of servers whose reports are requested, those with the most free memory first.
const MAX_REPORT_REQUESTS: usize = 16;
/// Maximum time for such a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Divides the estimated load time where the checkpoint is on the server's disk.
const DISK_LOAD_DIVISOR: u32 = 4;

impl ColdStartContext {
    /// Endpoints that the model may be placed on, best first.
    ///
    /// Those that the policy finds room on come before the others.
    ///
    /// # Errors
    ///
    /// [`PlacementError`] where the table service does not answer.
    pub(super) async fn rank_endpoints(
        &self,
        model: &str,
        rule: &Model,
        capacity: u64,
    ) -> Result<Vec<Endpoint>, PlacementError> {
        let mut endpoints = self.eligible_endpoints(rule);
        if endpoints.len() < 2 {
            return Ok(endpoints);
        }
        let rows = self.reconciler.placement.snapshot().await?;
        let rows: BTreeMap<String, ServerRow> = rows
            .into_iter()
            .map(|placed| (placed.server, placed.row))
            .collect();
        let free = |e: &Endpoint| {
            let used = rows.get(&e.listed.name).map_or(0, ServerRow::used_bytes);
            capacity.saturating_sub(used)
        };
        endpoints.sort_by_key(|e| std::cmp::Reverse(free(e)));
        let unranked = endpoints.split_off(endpoints.len().min(MAX_REPORT_REQUESTS));
        let reports = join_all(endpoints.iter().map(|e| self.fresh_report(e))).await;
        let occupied = self.replica_domains(model);
        let mut remaining: Vec<Candidate> = Vec::new();
        for (index, (endpoint, report)) in endpoints.iter().zip(&reports).enumerate() {
            let report = report.clone().unwrap_or_default();
            remaining.push(self.candidate(
                candidate_key(index),
                endpoint,
                model,
                rule,
                free(endpoint),
                &report,
            ));
        }
        let mut ranked = Vec::new();
        while let Some(best) = choose_server(&remaining, rule.size, &occupied) {
            remaining.retain(|c| c.server != best);
            ranked.extend(endpoints.get(best.0 as usize).cloned());
        }
        ranked.extend(
            remaining
                .iter()
                .filter_map(|c| endpoints.get(c.server.0 as usize).cloned()),
        );
        ranked.extend(unranked);
        Ok(ranked)
    }

    /// Endpoints that the model may be placed on, in name order.
    pub(super) fn eligible_endpoints(&self, rule: &Model) -> Vec<Endpoint> {
        let view = Arc::clone(&self.reconciler.view.borrow());
        match &rule.base {
            Some(base) => view.ready_endpoints(base).cloned().collect(),
            None => view.service_endpoints(&rule.engines).cloned().collect(),
        }
    }

    async fn fresh_report(&self, endpoint: &Endpoint) -> Option<Report> {
        let report = self.reconciler.engines.report(endpoint.listed.address);
        timeout(REPORT_TIMEOUT, report).await.ok()?.ok()
    }

    /// Failure domains with replicas of the model.
    fn replica_domains(&self, model: &str) -> Vec<DomainKey> {
        let view = self.reconciler.view.borrow();
        view.ready_endpoints(model)
            .map(|e| domain_key(&e.listed.domain))
            .collect()
    }

    fn candidate(
        &self,
        server: ServerKey,
        endpoint: &Endpoint,
        model: &str,
        rule: &Model,
        free: u64,
        report: &Report,
    ) -> Candidate {
        let idle = report
            .residents
            .iter()
            .filter(|r| r.running + r.queued == 0);
        let cached = report.cached.iter().any(|c| c == model);
        let reload = lock_tracker(&self.tracker).load_time(rule.size);
        let rules = self.reconciler.rules.borrow();
        let size = |name: &String| {
            let rule = rules.as_ref().and_then(|r| r.rules.models.get(name));
            rule.map_or(0, |r| r.size)
        };
        Candidate {
            server,
            domain: domain_key(&endpoint.listed.domain),
            free_bytes: free,
            idle_bytes: idle.map(|r| r.bytes).sum(),
            locality: if cached {
                Locality::Disk
            } else {
                Locality::Remote
            },
            cached_bytes: report.cached.iter().filter(|c| *c != model).map(size).sum(),
            ready_in: if cached {
                reload / DISK_LOAD_DIVISOR
            } else {
                reload
            },
        }
    }
}

fn candidate_key(index: usize) -> ServerKey {
    ServerKey(u32::try_from(index).unwrap_or(u32::MAX))
}

/// Hashes the name of a failure domain; a collision only affects the ranking of servers.
fn domain_key(name: &str) -> DomainKey {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, ..] = *hash.as_bytes();
    DomainKey(u16::from_le_bytes([a, b]))
}
