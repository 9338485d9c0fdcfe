//! Log lines, as JSON on standard error.

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
    let verdict: &str = record.verdict.map_or("", Into::into);
    let cause: &str = record.cause.map_or("", Into::into);
    log::info!(
        id = record.id,
        tenant = record.tenant,
        target_name = record.target,
        status = record.status,
        verdict = verdict,
        cause = cause,
        wait_ms = record.wait_ms,
        first_ms = record.first_ms,
        total_ms = record.total_ms;
        "request finished"
    );
}
