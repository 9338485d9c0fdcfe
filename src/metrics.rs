//! Metrics, kept by `OpenTelemetry` and read in the Prometheus text format.
//!
//! Attributes are tenants, classes, verdicts and causes, which are few; adapters never become an
//! attribute of a histogram, so the number of series does not grow with them.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::rules::PriorityClass;
use crate::verdict::Refusal;

/// Bounds of the histograms, in seconds.
const SECONDS: [f64; 16] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.86, 1.5, 3.0, 6.0, 12.0, 30.0, 60.0,
];

/// The instruments of an instance.
#[derive(Debug, Clone)]
pub struct Metrics {
    registered: Registered,
    first: Histogram<f64>,
    gap: Histogram<f64>,
    wait: Histogram<f64>,
    cold: Histogram<f64>,
    answered: Counter<u64>,
    refused: Counter<u64>,
    retries: Counter<u64>,
    idle: Counter<f64>,
}

/// Why the metrics could not be set up or read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("metrics: {0}")]
pub struct MetricsError(String);

impl Metrics {
    /// Sets up the instruments.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] where the exporter cannot be built.
    pub fn new() -> Result<Self, MetricsError> {
        let registered = Registered::new()?;
        let meter = registered.meter();
        Ok(Self {
            first: seconds(
                &meter,
                "brassrack_first_token",
                "Time to the first byte of an answer",
            ),
            gap: seconds(
                &meter,
                "brassrack_token_gap",
                "Time between two parts of a stream",
            ),
            wait: seconds(&meter, "brassrack_queue_wait", "Time that a request waited"),
            cold: seconds(
                &meter,
                "brassrack_cold_start",
                "Time from decision to ready replica",
            ),
            answered: meter.u64_counter("brassrack_answered").build(),
            refused: meter.u64_counter("brassrack_refused").build(),
            retries: meter.u64_counter("brassrack_retries").build(),
            idle: meter
                .f64_counter("brassrack_idle_accelerator")
                .with_unit("s")
                .build(),
            registered,
        })
    }

    /// A first byte reached the caller after this time.
    pub fn first(&self, tenant: &str, class: PriorityClass, after: Duration) {
        self.first
            .record(after.as_secs_f64(), &labels(tenant, class));
    }

    /// Two parts of a stream came this far apart.
    pub fn gap(&self, tenant: &str, class: PriorityClass, gap: Duration) {
        self.gap.record(gap.as_secs_f64(), &labels(tenant, class));
    }

    /// A request waited this long for a replica.
    pub fn wait(&self, tenant: &str, class: PriorityClass, wait: Duration) {
        self.wait.record(wait.as_secs_f64(), &labels(tenant, class));
    }

    /// A cold start took this long.
    pub fn cold(&self, class: PriorityClass, took: Duration) {
        let class: &str = class.into();
        self.cold.record(
            took.as_secs_f64(),
            &[KeyValue::new("class", class.to_owned())],
        );
    }

    /// An endpoint's answer went back whole.
    pub fn answered(&self, tenant: &str) {
        self.answered
            .add(1, &[KeyValue::new("tenant", tenant.to_owned())]);
    }

    /// A request was refused.
    pub fn refused(&self, tenant: &str, refusal: &Refusal) {
        let verdict: &str = refusal.verdict.into();
        let cause: &str = refusal.cause.into();
        self.refused.add(
            1,
            &[
                KeyValue::new("tenant", tenant.to_owned()),
                KeyValue::new("verdict", verdict.to_owned()),
                KeyValue::new("cause", cause.to_owned()),
            ],
        );
    }

    /// A request was sent once more.
    pub fn retried(&self) {
        self.retries.add(1, &[]);
    }

    /// Replicas of a base model stood idle for these accelerator seconds.
    pub fn idle(&self, model: &str, seconds: f64) {
        self.idle
            .add(seconds, &[KeyValue::new("model", model.to_owned())]);
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

/// A registry of instruments and the provider that feeds it.
#[derive(Debug, Clone)]
pub(crate) struct Registered {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Registered {
    pub(crate) fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| MetricsError(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter("brassrack")
    }

    pub(crate) fn text(&self) -> Result<String, MetricsError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|e| MetricsError(e.to_string()))?;
        String::from_utf8(text).map_err(|e| MetricsError(e.to_string()))
    }
}

pub(crate) fn seconds(meter: &Meter, name: &'static str, what: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(what)
        .with_boundaries(SECONDS.to_vec())
        .build()
}

fn labels(tenant: &str, class: PriorityClass) -> [KeyValue; 2] {
    let class: &str = class.into();
    [
        KeyValue::new("tenant", tenant.to_owned()),
        KeyValue::new("class", class.to_owned()),
    ]
}
