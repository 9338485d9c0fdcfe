//! Contract of the platform's object store.
//!
//! Over HTTP: `PUT /v1/objects/<key>` stores the body, `GET /v1/objects/<key>` answers it or 404.
//! Keys are named after the digest of their content, so an object never changes.

use std::fmt::Debug;

use bytes::Bytes;

use crate::BoxFuture;

/// Why a call to the object store failed; storing again is harmless.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("object store did not answer: {0}")]
pub struct ObjectError(pub String);

/// The platform's object store.
pub trait Objects: Debug + Send + Sync {
    /// Stores an object.
    ///
    /// # Errors
    ///
    /// [`ObjectError`] where the store does not confirm.
    fn put(&self, key: String, body: Bytes) -> BoxFuture<'_, Result<(), ObjectError>>;

    /// Fetches an object, or none where the key is not stored.
    ///
    /// # Errors
    ///
    /// [`ObjectError`] where the store does not answer.
    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Bytes>, ObjectError>>;
}
