//! Log lines, as JSON on standard error.

use std::time::Duration;

use flexi_logger::{FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::LevelFilter;

use crate::records::Record;

/// Starts logging; the logger lives as long as the handle.
///
/// # Errors
///
/// Where another logger is in place.
pub fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::with(LogSpecification::builder().default(level).build())
        .format(flexi_logger::json_format)
        .log_to_stderr()
        .start()
}

/// Logs one finished request.
pub fn request(record: &Record) {
    let kept = record.kept();
    let verdict: &str = kept.verdict.map_or("", Into::into);
    let cause: &str = kept.cause.map_or("", Into::into);
    log::info!(
        id = kept.id,
        tenant = kept.tenant,
        target_name = kept.target,
        status = kept.status.unwrap_or_default(),
        verdict = verdict,
        cause = cause,
        wait_ms = millis(record.wait),
        first_ms = millis(record.first.unwrap_or_default()),
        total_ms = millis(record.elapsed());
        "request finished"
    );
}

fn millis(time: Duration) -> u64 {
    time.as_millis().try_into().unwrap_or(u64::MAX)
}
