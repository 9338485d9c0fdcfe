//! Bounded load on loopback, with the times of the first byte, between tokens and in all.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::StatusCode;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::client::{Ask, CallError, Connection};

/// Largest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Significant digits of the times.
const DIGITS: u8 = 3;
/// Longest time that a call may take.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// What to send, and how much of it.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Request.
    pub ask: Ask,
    /// Body that every answer must have.
    pub body: String,
    /// Requests a second.
    pub rate: u32,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Connections; a request that finds none free counts as late.
    pub connections: usize,
}

/// Times in microseconds and counts.
#[derive(Debug, Clone)]
pub struct Times {
    /// From the send to the first byte of the body.
    pub first: Histogram<u64>,
    /// Between frames of the body.
    pub between: Histogram<u64>,
    /// From the send to the end of the body.
    pub total: Histogram<u64>,
    /// Answers whose every byte is right.
    pub right: u64,
    /// Calls without an answer, or with another one.
    pub wrong: u64,
    /// Requests that found no free connection and were not sent.
    pub late: u64,
}

/// Times of one answer.
struct Sample {
    first: Duration,
    between: Vec<Duration>,
    total: Duration,
    right: bool,
}

impl Times {
    /// No times yet.
    ///
    /// # Errors
    ///
    /// Never for the bounds in use.
    pub fn new() -> Result<Self, hdrhistogram::CreationError> {
        let histogram = Histogram::new_with_max(MAX_MICROS, DIGITS)?;
        Ok(Self {
            first: histogram.clone(),
            between: histogram.clone(),
            total: histogram,
            right: 0,
            wrong: 0,
            late: 0,
        })
    }

    fn add(&mut self, sample: &Sample) {
        if !sample.right {
            self.wrong += 1;
            return;
        }
        self.right += 1;
        self.first.saturating_record(micros(sample.first));
        self.total.saturating_record(micros(sample.total));
        for gap in &sample.between {
            self.between.saturating_record(micros(*gap));
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS)
}

/// Sends the plan's requests to one address at an even rate.
///
/// # Errors
///
/// [`CallError`] where no connection can be opened.
pub async fn run(to: SocketAddr, plan: &Plan, mut times: Times) -> Result<Times, CallError> {
    let (free, mut idle) = mpsc::channel(plan.connections);
    for _ in 0..plan.connections {
        // The channel has room for every connection.
        drop(free.try_send(Connection::open(to).await?));
    }
    let mut ticks = interval(Duration::from_secs(1) / plan.rate.max(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut running = JoinSet::new();
    let end = Instant::now() + plan.duration;
    while Instant::now() < end {
        ticks.tick().await;
        let Ok(connection) = idle.try_recv() else {
            times.late += 1;
            continue;
        };
        running.spawn(send(connection, to, plan.clone(), free.clone()));
        while let Some(sample) = running.try_join_next() {
            record(&mut times, sample.ok().as_ref());
        }
    }
    while let Some(sample) = running.join_next().await {
        record(&mut times, sample.ok().as_ref());
    }
    Ok(times)
}

fn record(times: &mut Times, sample: Option<&Sample>) {
    match sample {
        Some(sample) => times.add(sample),
        None => times.wrong += 1,
    }
}

async fn send(
    mut connection: Connection,
    to: SocketAddr,
    plan: Plan,
    free: mpsc::Sender<Connection>,
) -> Sample {
    let sample = timeout(CALL_LIMIT, measure(&mut connection, &plan)).await;
    if let Ok(Ok(sample)) = sample {
        drop(free.try_send(connection));
        return sample;
    }
    // A broken connection is replaced; without a new one there is one less.
    if let Ok(fresh) = Connection::open(to).await {
        drop(free.try_send(fresh));
    }
    Sample {
        first: Duration::ZERO,
        between: Vec::new(),
        total: Duration::ZERO,
        right: false,
    }
}

async fn measure(connection: &mut Connection, plan: &Plan) -> Result<Sample, CallError> {
    let start = Instant::now();
    let answer = connection.start(&plan.ask).await?;
    let status = answer.status();
    let mut body = answer.into_body();
    let mut bytes = Vec::with_capacity(plan.body.len());
    let mut first = None;
    let mut between = Vec::new();
    let mut last = start;
    while let Some(frame) = body.frame().await {
        let now = Instant::now();
        if let Some(data) = frame?.data_ref() {
            bytes.extend_from_slice(data);
        }
        match first {
            None => first = Some(now - start),
            Some(_) => between.push(now - last),
        }
        last = now;
    }
    Ok(Sample {
        first: first.unwrap_or_else(|| start.elapsed()),
        between,
        total: start.elapsed(),
        right: status == StatusCode::OK && bytes == plan.body.as_bytes(),
    })
}
