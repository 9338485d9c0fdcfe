//! Instance list over HTTP.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brassrack::instances::Listed;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::http::{Answer, Call, failure, json_answer};
use crate::server::lock;

/// Path prefix of single entries.
const ENTRY: &str = "/v1/instances/";

/// A change of an entry; none takes it off the list.
#[derive(Debug)]
struct Change {
    at: Instant,
    name: String,
    entry: Option<Listed>,
}

/// The platform's instance list; changes show after a lag.
#[derive(Debug, Clone, Default)]
pub struct List {
    /// Time until a change shows.
    pub lag: Duration,
    changes: Arc<Mutex<Vec<Change>>>,
}

impl List {
    /// A list whose changes show after the lag.
    #[must_use]
    pub fn with_lag(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Registers or alters an entry.
    pub fn put(&self, entry: Listed) {
        self.change(entry.name.clone(), Some(entry));
    }

    fn change(&self, name: String, entry: Option<Listed>) {
        let at = Instant::now();
        lock(&self.changes).push(Change { at, name, entry });
    }

    /// The entries that show after the lag.
    fn entries(&self, lag: Duration) -> Vec<Listed> {
        let now = Instant::now();
        let changes = lock(&self.changes);
        let mut entries = BTreeMap::new();
        for change in changes.iter().filter(|c| now - c.at >= lag) {
            entries.insert(change.name.as_str(), change.entry.as_ref());
        }
        entries.into_values().flatten().cloned().collect()
    }

    /// Answers one call.
    #[must_use]
    pub fn answer(&self, call: &Call) -> Answer {
        if call.method == Method::GET && call.path == "/v1/instances" {
            return json_answer(StatusCode::OK, &json!(self.entries(self.lag)));
        }
        let Some(name) = call.path.strip_prefix(ENTRY) else {
            return failure(StatusCode::NOT_FOUND, "unknown");
        };
        match call.method {
            Method::PUT => match serde_json::from_slice::<Listed>(&call.body) {
                Ok(entry) if entry.name == name => self.put(entry),
                _ => return failure(StatusCode::BAD_REQUEST, "bad-request"),
            },
            Method::DELETE => self.change(name.to_owned(), None),
            _ => return failure(StatusCode::METHOD_NOT_ALLOWED, "bad-request"),
        }
        json_answer(StatusCode::OK, &json!(true))
    }

    /// The entries without the lag.
    #[must_use]
    pub fn ledger(&self) -> Value {
        json!({ "entries": self.entries(Duration::ZERO) })
    }
}
