//! Answers of the administration API.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, WWW_AUTHENTICATE};
use serde_json::Value;

use super::types::{Failure, FailureCode};
use crate::http::VERDICT;
use crate::rules::{ApplyError, StoreError};

pub(super) type Answer = Response<Full<Bytes>>;

/// A JSON answer with a status.
pub(super) fn json(status: u16, body: &Value) -> Answer {
    let mut answer = Response::new(Full::from(format!("{body}\n")));
    *answer.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    answer
}

/// The answer that tells a failure.
pub(super) fn failure(failure: &Failure) -> Answer {
    let body = serde_json::json!({ "error": failure });
    let mut answer = json(failure.code.status(), &body);
    let verdict: &'static str = failure.verdict.into();
    answer
        .headers_mut()
        .insert(VERDICT, HeaderValue::from_static(verdict));
    if failure.code == FailureCode::Denied {
        let scheme = HeaderValue::from_static("Bearer");
        answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    }
    answer
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        let code = match error {
            StoreError::NotFound(_) => FailureCode::NotFound,
            StoreError::Unavailable(_) | StoreError::Corrupt(..) | StoreError::BadRow(..) => {
                FailureCode::Unavailable
            }
        };
        Self::new(code, error.to_string())
    }
}

impl From<ApplyError> for Failure {
    fn from(error: ApplyError) -> Self {
        let detail = error.to_string();
        match error {
            ApplyError::Invalid(errors) => Self {
                errors,
                ..Self::new(FailureCode::Invalid, detail)
            },
            ApplyError::Conflict(race) => Self {
                race: Some(race),
                ..Self::new(FailureCode::Raced, detail)
            },
            ApplyError::NoSuchBase(_) => Self::new(FailureCode::NoSuchBase, detail),
            ApplyError::Unavailable(_) => Self::new(FailureCode::Unavailable, detail),
            ApplyError::Unknown(_) => Self::new(FailureCode::Unknown, detail),
        }
    }
}
