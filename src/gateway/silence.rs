//! Attempts whose endpoint is silent.
//!
//! Silence is no proof that an endpoint has failed: a sound one may go on after a second or so. A
//! silent attempt stays open while others are made, and the first success of either counts.

/// What an endpoint was silent about when another one was asked beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Awaited {
    /// The answer to a call.
    Answer,
    /// The head of a stream.
    Head,
    /// The first event, or the next one, of a stream.
    Event,
}

/// Which of two attempts beside each other the caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Winner {
    /// The one at the silent endpoint.
    Silent,
    /// The one made beside it.
    Later,
    /// None of them.
    Neither,
}

/// A success, and which attempt it comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Success<T> {
    /// The silent attempt.
    Silent(T),
    /// An attempt made beside it.
    Later(T),
}

/// Waits for the first success of a silent attempt and of the attempts made beside it.
///
/// The other one is dropped then. A failure of one of them does not end the other.
///
/// # Errors
///
/// Both errors, the silent attempt's first, where neither succeeds.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::silence::{Success, first_success};
///
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let silent = async { Ok::<_, ()>(1) };
/// let later = async { Err("full") };
/// assert_eq!(first_success(silent, later).await, Ok(Success::Silent(1)));
/// # });
/// ```
pub async fn first_success<T, E, F>(
    silent: impl Future<Output = Result<T, E>>,
    later: impl Future<Output = Result<T, F>>,
) -> Result<Success<T>, (E, F)> {
    tokio::pin!(silent, later);
    tokio::select! {
        biased;
        first = &mut silent => match first {
            Ok(success) => Ok(Success::Silent(success)),
            Err(silent) => later.await.map(Success::Later).map_err(|later| (silent, later)),
        },
        first = &mut later => match first {
            Ok(success) => Ok(Success::Later(success)),
            Err(later) => silent.await.map(Success::Silent).map_err(|silent| (silent, later)),
        },
    }
}

/// Which attempt the caller got.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::silence::{Success, Winner, winner};
///
/// assert_eq!(winner::<_, ()>(&Ok(Success::Later(1))), Winner::Later);
/// assert_eq!(winner::<(), _>(&Err("closed")), Winner::Neither);
/// ```
#[must_use]
pub const fn winner<T, E>(first: &Result<Success<T>, E>) -> Winner {
    match first {
        Ok(Success::Silent(_)) => Winner::Silent,
        Ok(Success::Later(_)) => Winner::Later,
        Err(_) => Winner::Neither,
    }
}
