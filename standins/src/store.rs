//! Table service and object store over HTTP.

use brassrack::objects::Objects;
use brassrack::table::{Read, Table, Txn};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::http::{Answer, Call, answer, failure, json_answer, not_run};
use crate::table::{MemoryObjects, MemoryTable};

/// Path prefix of the objects.
const OBJECTS: &str = "/v1/objects/";

/// The platform's table service and object store in one process.
#[derive(Debug, Clone, Default)]
pub struct Store {
    /// Rows.
    pub table: MemoryTable,
    /// Objects.
    pub objects: MemoryObjects,
}

impl Store {
    /// Answers one call.
    pub async fn answer(&self, call: Call) -> Answer {
        match (call.method.clone(), call.path.as_str()) {
            (Method::POST, "/v1/commit") => self.commit(&call).await,
            (Method::POST, "/v1/read") => self.read(&call).await,
            (method, path) => match path.strip_prefix(OBJECTS) {
                Some(key) => self.object(&method, key.to_owned(), call.body).await,
                None => not_run(StatusCode::NOT_FOUND, "unknown"),
            },
        }
    }

    async fn commit(&self, call: &Call) -> Answer {
        let Ok(txn) = serde_json::from_slice::<Txn>(&call.body) else {
            return not_run(StatusCode::BAD_REQUEST, "bad-request");
        };
        match self.table.commit(txn).await {
            Ok(commit) => json_answer(StatusCode::OK, &json!(commit)),
            Err(error) => failure(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    async fn read(&self, call: &Call) -> Answer {
        let Ok(read) = serde_json::from_slice::<Read>(&call.body) else {
            return not_run(StatusCode::BAD_REQUEST, "bad-request");
        };
        match self.table.read(read).await {
            Ok(rows) => json_answer(StatusCode::OK, &json!(rows)),
            Err(error) => failure(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    async fn object(&self, method: &Method, key: String, body: bytes::Bytes) -> Answer {
        if *method == Method::PUT {
            return match self.objects.put(key, body).await {
                Ok(()) => json_answer(StatusCode::OK, &json!(true)),
                Err(error) => failure(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
            };
        }
        match self.objects.get(key).await {
            Ok(Some(body)) => answer(StatusCode::OK, "application/octet-stream", body),
            Ok(None) => failure(StatusCode::NOT_FOUND, "unknown"),
            Err(error) => failure(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    /// Calls that took effect and all rows.
    #[must_use]
    pub fn ledger(&self) -> Value {
        let usage = self.table.usage();
        json!({
            "commits": usage.commits,
            "reads": usage.reads,
            "rows": self.table.rows(),
        })
    }
}
