//! Verdicts: whether a request that failed may have run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a failed request may have run at its endpoint.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The request surely did not run.
    NotRun,
    /// The request may have run; nothing proves either way.
    MayHaveRun,
    /// The request ran, but its answer is lost or incomplete.
    Ran,
}

/// Why brassrack answered a request itself.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// The request is malformed.
    BadRequest,
    /// The body or the head is larger than the limit.
    TooLarge,
    /// The body arrived slower than the limit.
    SlowSender,
    /// No rule names the model, service or path.
    Unknown,
    /// The tenant is not known.
    UnknownTenant,
    /// The call may not be repeated and carries no idempotency key.
    KeyMissing,
    /// The idempotency key was used before with another request.
    KeyReused,
    /// The tenant is over its rate.
    RateLimit,
    /// The tenant is over its concurrency.
    ConcurrencyLimit,
    /// The instance holds as many requests as it may.
    Overload,
    /// The answer cannot be ready before the deadline.
    DeadlineTooShort,
    /// The deadline passed while the request waited or ran.
    DeadlinePassed,
    /// No endpoint can hold the model now.
    NoCapacity,
    /// No endpoint of the service is live.
    NoEndpoint,
    /// The platform's table service does not answer.
    TableDown,
    /// The endpoint failed.
    EndpointFailed,
    /// Requests like this one crashed endpoints before.
    CrashSuspect,
    /// The same key is being worked on, and the deadline came first.
    InProgress,
    /// The instance that claimed the key is gone; the outcome is unknown.
    OutcomeUnknown,
    /// The instance is stopping.
    Stopping,
    /// The instance has no configuration in force yet.
    NotReady,
}

impl Cause {
    /// HTTP status code that belongs to the cause.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(brassrack::verdict::Cause::RateLimit.status(), 429);
    /// ```
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyMissing => 400,
            Self::UnknownTenant => 401,
            Self::Unknown => 404,
            Self::SlowSender => 408,
            Self::InProgress => 409,
            Self::TooLarge => 413,
            Self::KeyReused | Self::CrashSuspect => 422,
            Self::RateLimit | Self::ConcurrencyLimit => 429,
            Self::EndpointFailed | Self::OutcomeUnknown => 502,
            Self::Overload
            | Self::DeadlineTooShort
            | Self::NoCapacity
            | Self::NoEndpoint
            | Self::TableDown
            | Self::Stopping
            | Self::NotReady => 503,
            Self::DeadlinePassed => 504,
        }
    }
}

/// A final answer that brassrack gives in place of an endpoint.
///
/// # Examples
///
/// ```
/// use brassrack::verdict::{Cause, Refusal, Verdict};
///
/// let refusal = Refusal::not_run(Cause::Overload).retry_after(std::time::Duration::from_secs(2));
/// assert_eq!(refusal.verdict, Verdict::NotRun);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{cause} ({verdict}): {detail}")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub cause: Cause,
    /// One sentence for the caller.
    pub detail: String,
    /// When coming back helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request with the given verdict.
    #[must_use]
    pub const fn new(verdict: Verdict, cause: Cause) -> Self {
        Self {
            verdict,
            cause,
            detail: String::new(),
            retry_after: None,
        }
    }

    /// A refusal of a request that surely did not run.
    #[must_use]
    pub const fn not_run(cause: Cause) -> Self {
        Self::new(Verdict::NotRun, cause)
    }

    /// Raises the verdict to that of an earlier attempt, where that is worse.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::verdict::{Cause, Refusal, Verdict};
    ///
    /// let refusal = Refusal::not_run(Cause::NoEndpoint).raise_verdict(Verdict::MayHaveRun);
    /// assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    /// ```
    #[must_use]
    pub fn raise_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = self.verdict.max(verdict);
        self
    }

    /// Adds one sentence for the caller.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Adds the time after which coming back helps.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
