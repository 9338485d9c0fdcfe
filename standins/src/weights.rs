//! Weight store over HTTP: rate-limited transfers of checkpoints.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::http::{Answer, Call, failure, json_answer};
use crate::server::lock;

/// Step in which the bandwidth is shared out.
const STEP: Duration = Duration::from_millis(2);
/// Shortest transfer of an adapter, in milliseconds.
const ADAPTER_MIN_MS: u64 = 4;
/// Spread of the adapters' transfers, in milliseconds.
const ADAPTER_SPREAD_MS: u64 = 17;

/// Limits of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Bytes a second of one transfer at full speed.
    pub rate: u64,
    /// Models at once at full speed.
    pub models: u32,
    /// Adapters at once at full speed.
    pub adapters: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: 16_000_000_000,
            models: 4,
            adapters: 32,
        }
    }
}

/// Transfers of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Transfers in flight.
    pub running: u32,
    /// Most transfers seen in flight at once.
    pub peak: u32,
    /// Transfers started.
    pub started: u64,
    /// Transfers ended.
    pub ended: u64,
}

/// What the weight store did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Transfers of models.
    pub models: Traffic,
    /// Transfers of adapters.
    pub adapters: Traffic,
}

/// Kind of a checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Model,
    Adapter,
}

/// The weight store; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Weights {
    settings: Settings,
    ledger: Arc<Mutex<Ledger>>,
}

/// A transfer in flight.
struct Transfer<'a> {
    weights: &'a Weights,
    kind: Kind,
}

impl<'a> Transfer<'a> {
    fn start(weights: &'a Weights, kind: Kind) -> Self {
        weights.count(kind, |t| {
            t.started += 1;
            t.running += 1;
            t.peak = t.peak.max(t.running);
        });
        Self { weights, kind }
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.weights.count(self.kind, |t| {
            t.ended += 1;
            t.running -= 1;
        });
    }
}

impl Weights {
    /// A weight store with the given limits.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    fn count(&self, kind: Kind, change: impl FnOnce(&mut Traffic)) {
        let mut ledger = lock(&self.ledger);
        match kind {
            Kind::Model => change(&mut ledger.models),
            Kind::Adapter => change(&mut ledger.adapters),
        }
    }

    /// Answers one call; a transfer is answered when it is over.
    pub async fn answer(&self, call: Call) -> Answer {
        let Some(name) = call.path.strip_prefix("/v1/weights/") else {
            return failure(StatusCode::NOT_FOUND, "unknown");
        };
        let Some(bytes) = call.param("bytes").and_then(|n| n.parse().ok()) else {
            return failure(StatusCode::BAD_REQUEST, "bad-request");
        };
        match call.param("kind") {
            Some("adapter") => self.adapter(name).await,
            _ => self.model(bytes).await,
        }
        json_answer(StatusCode::OK, &json!({ "bytes": bytes }))
    }

    /// Transfers a model; beyond the limit all share the bandwidth.
    async fn model(&self, bytes: u64) {
        let _transfer = Transfer::start(self, Kind::Model);
        let mut left = Duration::from_nanos(nanos(bytes, self.settings.rate));
        let mut last = Instant::now();
        while !left.is_zero() {
            let running = lock(&self.ledger).models.running.max(1);
            let slowness = running.max(self.settings.models);
            let wait = left * slowness / self.settings.models;
            tokio::time::sleep(wait.min(STEP)).await;
            let now = Instant::now();
            left = left.saturating_sub((now - last) * self.settings.models / slowness);
            last = now;
        }
    }

    /// Transfers an adapter; beyond the limit it takes longer in proportion.
    async fn adapter(&self, name: &str) {
        let _transfer = Transfer::start(self, Kind::Adapter);
        let spread = name.bytes().map(u64::from).sum::<u64>() % ADAPTER_SPREAD_MS;
        let time = Duration::from_millis(ADAPTER_MIN_MS + spread);
        let running = lock(&self.ledger).adapters.running;
        let slowness = running.max(self.settings.adapters);
        tokio::time::sleep(time * slowness / self.settings.adapters).await;
    }

    /// Transfers so far.
    #[must_use]
    pub fn ledger(&self) -> Value {
        json!(*lock(&self.ledger))
    }
}

/// Nanoseconds that a number of bytes takes at a rate in bytes a second.
pub(crate) fn nanos(bytes: u64, rate: u64) -> u64 {
    let nanos = u128::from(bytes) * 1_000_000_000 / u128::from(rate.max(1));
    u64::try_from(nanos).unwrap_or(u64::MAX)
}
