//! Plain service over HTTP: orders and activations that may not be repeated, and look-ups.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::http::{Answer, Call, IDEMPOTENCY_KEY, REQUEST_ID, json_answer, not_run};
use crate::now_ms;
use crate::server::lock;

/// A call that the service ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    /// Milliseconds since the machine's boot.
    pub at: u64,
    /// Id of the request.
    pub id: String,
    /// Idempotency key, empty where absent.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: String,
    /// Whether the stored result was answered and nothing ran.
    pub stored: bool,
}

/// What the service did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Calls in the order of their arrival.
    pub calls: Vec<Ran>,
}

impl Ledger {
    /// How often a call with this key and path really ran.
    #[must_use]
    pub fn runs(&self, path: &str, key: &str) -> usize {
        self.calls
            .iter()
            .filter(|c| c.path == path && c.key == key && !c.stored)
            .count()
    }
}

#[derive(Debug, Default)]
struct State {
    ledger: Ledger,
    results: BTreeMap<(String, String), Value>,
    serial: u64,
}

/// A plain service; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// Whether it recognises idempotency keys.
    pub keyed: bool,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// A service that recognises idempotency keys, or does not.
    #[must_use]
    pub fn new(keyed: bool) -> Self {
        Self {
            keyed,
            ..Self::default()
        }
    }

    /// Answers one call.
    #[must_use]
    pub fn answer(&self, call: &Call) -> Answer {
        let route = call.path.split('/').nth(1).unwrap_or_default();
        match (call.method.clone(), route) {
            (Method::POST, "orders" | "activations") => self.execute(call),
            (Method::GET, "stock") => self.look_up(call, "stock"),
            (Method::GET, "status") => self.look_up(call, "status"),
            _ => not_run(StatusCode::NOT_FOUND, "unknown"),
        }
    }

    /// Runs a call that may not be repeated; each run has a serial number of its own.
    fn execute(&self, call: &Call) -> Answer {
        let key = call.header(&IDEMPOTENCY_KEY);
        let slot = (call.path.clone(), key.clone());
        let mut state = lock(&self.state);
        if self.keyed
            && !key.is_empty()
            && let Some(result) = state.results.get(&slot).cloned()
        {
            state.ledger.calls.push(entry(call, true));
            return json_answer(StatusCode::CREATED, &result);
        }
        state.serial += 1;
        let result = result(call, state.serial);
        state.ledger.calls.push(entry(call, false));
        state.results.insert(slot, result.clone());
        json_answer(StatusCode::CREATED, &result)
    }

    fn look_up(&self, call: &Call, kind: &str) -> Answer {
        lock(&self.state).ledger.calls.push(entry(call, false));
        json_answer(StatusCode::OK, &look_up(&call.path, kind))
    }

    /// What ran so far.
    #[must_use]
    pub fn ledger(&self) -> Value {
        json!(lock(&self.state).ledger)
    }
}

/// The result of a call that may not be repeated.
fn result(call: &Call, serial: u64) -> Value {
    json!({ "path": call.path, "serial": serial, "digest": call.digest() })
}

/// The answer of a look-up, the same for the same path.
#[must_use]
pub fn look_up(path: &str, kind: &str) -> Value {
    let count = path.bytes().map(u64::from).sum::<u64>() % 100;
    json!({ "path": path, kind: count })
}

fn entry(call: &Call, stored: bool) -> Ran {
    Ran {
        at: now_ms(),
        id: call.header(&REQUEST_ID),
        key: call.header(&IDEMPOTENCY_KEY),
        method: call.method.to_string(),
        path: call.path.clone(),
        body: String::from_utf8_lossy(&call.body).into_owned(),
        stored,
    }
}
