//! Storage of answers: small ones in the row, large ones in the object store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use crate::objects::Objects;

use super::call::{Answer, IdempotencySettings};
use super::record::{StoredAnswer, StoredBody};

/// Reads and writes answers.
#[derive(Debug)]
pub(super) struct AnswerStore {
    objects: Arc<dyn Objects>,
    inline_bytes: usize,
    timeout: Duration,
}

impl AnswerStore {
    pub(super) fn new(objects: Arc<dyn Objects>, settings: &IdempotencySettings) -> Self {
        Self {
            objects,
            inline_bytes: settings.inline_bytes,
            timeout: settings.commit.timeout,
        }
    }

    /// Stores an answer; `None` if the object store does not confirm in time.
    pub(super) async fn save(&self, answer: &Answer) -> Option<StoredAnswer> {
        Some(StoredAnswer {
            status: answer.status,
            kind: answer.kind.clone(),
            body: self.store_body(&answer.body).await?,
        })
    }

    async fn store_body(&self, body: &Bytes) -> Option<StoredBody> {
        if body.len() <= self.inline_bytes
            && let Ok(text) = str::from_utf8(body)
        {
            return Some(StoredBody::Text(text.into()));
        }
        let key = blake3::hash(body).to_hex().to_string();
        let put = self.objects.put(key.clone(), body.clone());
        timeout(self.timeout, put).await.ok()?.ok()?;
        Some(StoredBody::Object(key))
    }

    /// The stored answer; `None` if the object is missing or the store fails or times out.
    pub(super) async fn load(&self, stored: StoredAnswer) -> Option<Answer> {
        let body = match stored.body {
            StoredBody::Text(text) => Bytes::from(text),
            StoredBody::Object(key) => {
                let got = timeout(self.timeout, self.objects.get(key)).await;
                got.ok()?.ok()??
            }
        };
        Some(Answer {
            status: stored.status,
            kind: stored.kind,
            body,
        })
    }
}
