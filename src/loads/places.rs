//! Ranks the servers that could take a replica.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::timeout;

use super::job::LoadContext;
use crate::endpoint_registry::Endpoint;
use crate::engine::Report;
use crate::idle::lock;
use crate::placement::{PlaceError, ServerRow};
use crate::policy::choose_server;
use crate::policy::key::{DomainKey, ServerKey};
use crate::policy::place::{Candidate, Locality};
use crate::rules::Model;

/// Servers whose reports are asked for, those with the most free memory first.
const SHORTLIST: usize = 16;
/// Longest time for those reports.
const REPORT_TIME: Duration = Duration::from_millis(300);
/// Part of a load's time that remains where the checkpoint lies on the server's disk.
const DISK_SHARE: u32 = 4;

impl LoadContext {
    /// Endpoints that may take the model, best first: those with room by the policy, then the
    /// others.
    ///
    /// # Errors
    ///
    /// [`PlaceError`] where the table service does not answer.
    pub(super) async fn ranked(
        &self,
        model: &str,
        rule: &Model,
        capacity: u64,
    ) -> Result<Vec<Endpoint>, PlaceError> {
        let mut found = self.candidates(rule);
        if found.len() < 2 {
            return Ok(found);
        }
        let rows = self.reconciler.placement.snapshot().await?;
        let rows: BTreeMap<String, ServerRow> = rows
            .into_iter()
            .map(|placed| (placed.server, placed.row))
            .collect();
        let free = |e: &Endpoint| {
            let taken = rows.get(&e.listed.name).map_or(0, ServerRow::taken);
            capacity.saturating_sub(taken)
        };
        found.sort_by_key(|e| std::cmp::Reverse(free(e)));
        let rest = found.split_off(found.len().min(SHORTLIST));
        let reports = join_all(found.iter().map(|e| self.fresh_report(e))).await;
        let taken = self.domains(model);
        let mut open: Vec<Candidate> = Vec::new();
        for (at, (endpoint, report)) in found.iter().zip(&reports).enumerate() {
            let report = report.clone().unwrap_or_default();
            open.push(self.candidate(key(at), endpoint, model, rule, free(endpoint), &report));
        }
        let mut order = Vec::new();
        while let Some(best) = choose_server(&open, rule.size, &taken) {
            open.retain(|c| c.server != best);
            order.extend(found.get(best.0 as usize).cloned());
        }
        order.extend(
            open.iter()
                .filter_map(|c| found.get(c.server.0 as usize).cloned()),
        );
        order.extend(rest);
        Ok(order)
    }

    /// Endpoints that may take the model, in name order.
    pub(super) fn candidates(&self, rule: &Model) -> Vec<Endpoint> {
        let view = Arc::clone(&self.reconciler.view.borrow());
        match &rule.base {
            Some(base) => view.ready_endpoints(base).cloned().collect(),
            None => view.service_endpoints(&rule.engines).cloned().collect(),
        }
    }

    async fn fresh_report(&self, endpoint: &Endpoint) -> Option<Report> {
        let report = self.reconciler.engines.report(endpoint.listed.address);
        timeout(REPORT_TIME, report).await.ok()?.ok()
    }

    /// Failure domains that hold replicas of the model.
    fn domains(&self, model: &str) -> Vec<DomainKey> {
        let view = self.reconciler.view.borrow();
        view.ready_endpoints(model)
            .map(|e| domain(&e.listed.domain))
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
        let reload = lock(&self.residencies).reload(rule.size);
        let rules = self.reconciler.rules.borrow();
        let size = |name: &String| {
            let rule = rules.as_ref().and_then(|r| r.rules.models.get(name));
            rule.map_or(0, |r| r.size)
        };
        Candidate {
            server,
            domain: domain(&endpoint.listed.domain),
            free,
            idle: idle.map(|r| r.bytes).sum(),
            locality: if cached {
                Locality::Disk
            } else {
                Locality::Remote
            },
            cached: report.cached.iter().filter(|c| *c != model).map(size).sum(),
            ready: if cached { reload / DISK_SHARE } else { reload },
        }
    }
}

fn key(at: usize) -> ServerKey {
    ServerKey(u32::try_from(at).unwrap_or(u32::MAX))
}

/// A key for a failure domain's name; two names with one key only share a preference.
fn domain(name: &str) -> DomainKey {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, ..] = *hash.as_bytes();
    DomainKey(u16::from_le_bytes([a, b]))
}
