//! Metrics of the gateway: counters and latency histograms.

use std::collections::BTreeMap;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use super::silence::{Awaited, Winner};
use crate::metrics::{MetricsError, Registered};

/// Whether a stream was in time, and by what it was late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Lateness {
    /// First event and gaps within their objectives.
    InTime,
    /// The first event was late.
    FirstEvent,
    /// A gap between two events was longer than its objective.
    Pause,
}

/// Metric instruments of an instance's gateway.
#[derive(Debug, Clone)]
pub struct Stats {
    registered: Registered,
    requests: Counter<u64>,
    sends: Counter<u64>,
    beside: Counter<u64>,
    orders: Counter<u64>,
    loads: Counter<u64>,
    store: Counter<u64>,
    first_response: Histogram<f64>,
    total: Histogram<f64>,
    plan: Histogram<f64>,
    feed_gap: Histogram<f64>,
    restores: Counter<u64>,
    streams: Counter<u64>,
    quota_requests: Counter<u64>,
    quota_units: Counter<u64>,
    quota_granted: Counter<u64>,
    ramps: Gauge<u64>,
    turned_away: Counter<u64>,
}

impl Stats {
    /// Registers the instruments.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] where the exporter cannot be built.
    pub fn new() -> Result<Self, MetricsError> {
        let registered = Registered::new()?;
        let meter = registered.meter();
        Ok(Self {
            requests: meter.u64_counter("brassrack_gateway_requests").build(),
            sends: meter.u64_counter("brassrack_gateway_sends").build(),
            beside: meter.u64_counter("brassrack_gateway_beside").build(),
            orders: meter.u64_counter("brassrack_gateway_orders").build(),
            loads: meter.u64_counter("brassrack_gateway_loads").build(),
            store: meter.u64_counter("brassrack_gateway_store_calls").build(),
            first_response: crate::metrics::seconds(
                &meter,
                "brassrack_gateway_first",
                "Time to the answer, or to the first event of a stream",
            ),
            total: crate::metrics::seconds(
                &meter,
                "brassrack_gateway_total",
                "Time to the end of the answer",
            ),
            plan: crate::metrics::seconds(
                &meter,
                "brassrack_gateway_plan",
                "Time that a plan of the lease holder took, orders begun and views told",
            ),
            feed_gap: crate::metrics::seconds(
                &meter,
                "brassrack_gateway_feed_gap",
                "Time between two answers of the platform's store about a table",
            ),
            restores: meter
                .u64_counter("brassrack_gateway_store_restores")
                .build(),
            streams: meter.u64_counter("brassrack_gateway_streams").build(),
            quota_requests: meter
                .u64_counter("brassrack_gateway_quota_requests")
                .build(),
            quota_units: meter.u64_counter("brassrack_gateway_quota_units").build(),
            quota_granted: meter.u64_counter("brassrack_gateway_quota_granted").build(),
            ramps: meter.u64_gauge("brassrack_gateway_ramps").build(),
            turned_away: meter.u64_counter("brassrack_gateway_turned_away").build(),
            registered,
        })
    }

    /// Records the end of a request.
    pub fn record_request(&self, route: &str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
        self.total.record(took.as_secs_f64(), &labels);
    }

    /// Records that the answer, or the first event of a stream, was sent to the caller.
    pub fn record_first_response(&self, route: &str, took: Duration) {
        let label = KeyValue::new("route", route.to_owned());
        self.first_response.record(took.as_secs_f64(), &[label]);
    }

    /// Records a request sent to an endpoint, which may have named a limit.
    pub fn record_send(&self, service: &str, repeated: bool, limited: bool) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("repeated", repeated),
            KeyValue::new("limited", limited),
        ];
        self.sends.add(1, &labels);
    }

    /// Records the end of two attempts beside each other.
    pub fn record_beside(&self, awaited: Awaited, winner: Winner) {
        let (awaited, winner): (&'static str, &'static str) = (awaited.into(), winner.into());
        let labels = [
            KeyValue::new("awaited", awaited),
            KeyValue::new("winner", winner),
        ];
        self.beside.add(1, &labels);
    }

    /// Records the outcome of an order.
    pub fn record_order(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records that the lease holder ordered the load of a model, as a further replica or a first one.
    pub fn record_load(&self, source: &'static str, further: bool) {
        let labels = [
            KeyValue::new("source", source),
            KeyValue::new("further", further),
        ];
        self.loads.add(1, &labels);
    }

    /// Records the duration of one planning round of the lease holder.
    pub fn record_plan(&self, took: Duration) {
        self.plan.record(took.as_secs_f64(), &[]);
    }

    /// Records a call of the platform's store.
    pub fn record_store_call(&self, call: &'static str, failed: bool) {
        let labels = [KeyValue::new("call", call), KeyValue::new("failed", failed)];
        self.store.add(1, &labels);
    }

    /// Records the time between two answers of the platform's store about a table.
    pub fn record_feed_gap(&self, table: &'static str, gap: Duration) {
        self.feed_gap
            .record(gap.as_secs_f64(), &[KeyValue::new("table", table)]);
    }

    /// Records that the platform's store came back from an older copy of a table.
    pub fn record_restore(&self, table: &'static str) {
        self.restores.add(1, &[KeyValue::new("table", table)]);
    }

    /// Records the end of a stream at a service whose endpoints state paces.
    pub fn record_lateness(&self, service: &str, lateness: Lateness) {
        let lateness: &'static str = lateness.into();
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("lateness", lateness),
        ];
        self.streams.add(1, &labels);
    }

    /// Records the quota check of a request; accounts are bounded by the configuration.
    pub fn record_quota(&self, account: &str, units: u32, refused: bool) {
        let label = KeyValue::new("account", account.to_owned());
        if !refused {
            self.quota_units
                .add(units.into(), std::slice::from_ref(&label));
        }
        self.quota_requests
            .add(1, &[label, KeyValue::new("refused", refused)]);
    }

    /// Records units of credit that the lease holder granted to this instance.
    pub fn record_credit(&self, account: String, units: u64) {
        self.quota_granted
            .add(units, &[KeyValue::new("account", account)]);
    }

    /// Records the number of ramps in progress of each service.
    pub fn record_ramps(&self, in_progress: &BTreeMap<String, u64>) {
        for (service, count) in in_progress {
            let label = KeyValue::new("service", service.clone());
            self.ramps.record(*count, &[label]);
        }
    }

    /// Records that an endpoint turned a request away for want of room.
    pub fn record_turned_away(&self, service: &str, brittle: bool) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("brittle", brittle),
        ];
        self.turned_away.add(1, &labels);
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] where they cannot be encoded.
    pub fn text(&self) -> Result<String, MetricsError> {
        self.registered.text()
    }
}
