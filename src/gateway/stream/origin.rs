//! Software version that a stream has to go on at.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::super::feed::observe_software;
use super::super::serve::{NOT_READY_RETRY_DELAY, RoutedRequest};
use super::super::stream_origins::Origin;
use crate::verdict::{Cause, Refusal};

/// Time that other instances have to tell where a stream began; longer than two of their reports.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(600);

/// Time in which an instance that starts learns of the versions before: some reads of the store.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval between two looks whether this instance hears of new endpoints again.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

impl RoutedRequest {
    /// Requires the software version at which the resumed stream began, if the request resumes one.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] where several versions may have begun it and no instance tells which one did.
    pub(super) async fn require_origin(&mut self) -> Result<(), Refusal> {
        if self.head.last_event.is_none() && self.head.resumes.is_none() {
            return Ok(());
        }
        observe_software(&self.gateway);
        let is_complete = || self.gateway.stream_origins().is_complete(self.now());
        let limit = if is_complete() {
            ORIGIN_TIMEOUT
        } else {
            HISTORY_TIMEOUT
        };
        let told = timeout(limit.min(self.time_left()), self.known_origin()).await;
        let Ok(software) = told else {
            let refusal = Refusal::not_run(Cause::UnknownOrigin);
            return Err(if is_complete() && self.gateway.is_in_step() {
                refusal
            } else {
                refusal.retry_after(NOT_READY_RETRY_DELAY)
            });
        };
        self.software = software;
        Ok(())
    }

    /// Waits until the origin of the resumed stream is known; none without any endpoint.
    ///
    /// That a service has a single version tells it only while this instance hears of new endpoints.
    async fn known_origin(&self) -> Option<String> {
        let attempt = self.head.resumes.as_deref().unwrap_or_default();
        loop {
            let told = self.gateway.origins_told.notified();
            let is_in_step = self.gateway.is_in_step();
            observe_software(&self.gateway);
            let (origin, is_recorded) = {
                let origins = self.gateway.stream_origins();
                let origin = origins.origin(attempt, &self.service, self.now());
                (origin, origins.is_recorded(attempt, &self.service))
            };
            match origin {
                Origin::Version(software) if is_recorded || is_in_step => return Some(software),
                Origin::NoVersion if is_in_step => return None,
                Origin::Unknown => told.await,
                Origin::Version(_) | Origin::NoVersion => sleep(STEP_INTERVAL).await,
            }
        }
    }

    /// Records the software version of the first event, at which the stream has to go on.
    pub(super) fn record_origin(&mut self, software: &str) {
        self.software = Some(software.to_owned());
        if self.route.kind.is_repeatable() {
            let attempt = self.head.resumes.as_ref().unwrap_or(&self.head.id);
            let now = self.now();
            let mut origins = self.gateway.stream_origins();
            origins.record(attempt, &self.service, software, now);
            let is_mixed = origins.is_mixed(&self.service, now);
            drop(origins);
            if is_mixed {
                // Reported at once: a stream that the holder does not know is lost with this instance.
                self.gateway.demand.changed.notify_one();
            }
        }
    }
}
