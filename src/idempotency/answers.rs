//! Keeps answers: small ones in the row, large ones in the object store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use crate::objects::Objects;

use super::call::{Answer, LedgerSettings};
use super::record::{Body, Kept};

/// Store of answers.
#[derive(Debug)]
pub(super) struct Answers {
    objects: Arc<dyn Objects>,
    inline: usize,
    limit: Duration,
}

impl Answers {
    pub(super) fn new(objects: Arc<dyn Objects>, settings: &LedgerSettings) -> Self {
        Self {
            objects,
            inline: settings.inline,
            limit: settings.commit.timeout,
        }
    }

    /// Keeps an answer; none where the object store does not confirm.
    pub(super) async fn keep(&self, answer: &Answer) -> Option<Kept> {
        Some(Kept {
            status: answer.status,
            kind: answer.kind.clone(),
            body: self.body(&answer.body).await?,
        })
    }

    async fn body(&self, body: &Bytes) -> Option<Body> {
        if body.len() <= self.inline
            && let Ok(text) = str::from_utf8(body)
        {
            return Some(Body::Text(text.into()));
        }
        let key = blake3::hash(body).to_hex().to_string();
        let put = self.objects.put(key.clone(), body.clone());
        timeout(self.limit, put).await.ok()?.ok()?;
        Some(Body::Object(key))
    }

    /// The answer as it was kept; none where the object store does not answer.
    pub(super) async fn fetch(&self, kept: Kept) -> Option<Answer> {
        let body = match kept.body {
            Body::Text(text) => Bytes::from(text),
            Body::Object(key) => {
                let got = timeout(self.limit, self.objects.get(key)).await;
                got.ok()?.ok()??
            }
        };
        Some(Answer {
            status: kept.status,
            kind: kept.kind,
            body,
        })
    }
}
