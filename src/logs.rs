//! Log lines, as JSON on standard error, or bounded on standard output.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
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

/// Most lines a second; a request at the planned peak of an instance writes about four.
const LINES_A_SECOND: u32 = 400;
/// Lines that wait for a slow reader.
const LINES_WAITING: usize = 2048;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped because there were too many or their reader was slow.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Starts logging on standard output; lines beyond the bound are dropped and counted, and no
/// caller ever waits for the reader of the lines.
///
/// # Errors
///
/// Where another logger is in place.
pub fn start_bounded(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    let (lines, queue) = sync_channel(LINES_WAITING);
    std::thread::spawn(move || write_lines(&queue));
    let bounded = Bounded {
        lines,
        second: Mutex::new((Instant::now(), 0)),
    };
    Logger::with(LogSpecification::builder().default(level).build())
        .log_to_writer(Box::new(bounded))
        .start()
}

/// Writes what waits in one go.
fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(mut lines) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            lines.extend_from_slice(&line);
        }
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Hands lines to the thread that writes them.
struct Bounded {
    lines: SyncSender<Vec<u8>>,
    second: Mutex<(Instant, u32)>,
}

impl Bounded {
    fn admits(&self) -> bool {
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        if second.0.elapsed() >= Duration::from_secs(1) {
            *second = (Instant::now(), 0);
        }
        second.1 += 1;
        second.1 <= LINES_A_SECOND
    }
}

impl LogWriter for Bounded {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> std::io::Result<()> {
        if !self.admits() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        flexi_logger::json_format(&mut line, now, record)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Logs one finished request.
pub fn request(record: &Record) {
    let kept = record.stored();
    let verdict: &str = kept.verdict.map_or("", Into::into);
    let cause: &str = kept.cause.map_or("", Into::into);
    log::info!(
        id = kept.id,
        tenant = kept.tenant,
        target_name = kept.target,
        status = kept.status.unwrap_or_default(),
        verdict = verdict,
        cause = cause,
        wait_ms = millis(record.queue_wait),
        first_ms = millis(record.first_byte.unwrap_or_default()),
        total_ms = millis(record.elapsed());
        "request finished"
    );
}

fn millis(time: Duration) -> u64 {
    time.as_millis().try_into().unwrap_or(u64::MAX)
}
