//! Connections that nobody uses, as many as an instance takes.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::crowd::{self, Sends};
use crate::rig::{Clients, Record, Rig, Try, ends};

/// Connections of the crowd to each instance.
const CONNECTIONS: usize = 3000;
/// Time for which the crowd stays.
const STAY: u64 = 20;
/// `stableWindowMs` of the settings.
const WINDOW: f64 = 3.0;
/// Clients that have to try.
const CLIENTS: usize = 7;

/// Whether a ready instance took no new connection for a whole window, while seven clients tried.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let rig = Rig::start(2, 2, record);
    let clients = Clients::start(&rig, CLIENTS + 1, Duration::from_millis(250));
    thread::sleep(Duration::from_secs(2));
    let mut crowds = Vec::new();
    if trouble {
        record.say(&format!(
            "a crowd of {CONNECTIONS} connects to each instance and is silent"
        ));
        for instance in &rig.instances {
            crowds.extend(crowd::start(
                instance.callers(),
                CONNECTIONS,
                Sends::Nothing,
                STAY,
            ));
        }
    }
    let end = Instant::now() + Duration::from_secs(STAY + 2);
    let mut probes: Vec<(f64, usize, u16)> = Vec::new();
    while Instant::now() < end {
        for (number, instance) in rig.instances.iter().enumerate() {
            let (at, status) = (record.now(), instance.ready_status());
            record.line(&format!("probe of {}: {status}", instance.name));
            probes.push((at, number, status));
            if let Some(status) = instance.ended() {
                record.say(&format!("{} ended by itself: {status}", instance.name));
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    crowd::stop(crowds);
    let tries = clients.stop();
    let mut broken = false;
    for (number, instance) in rig.instances.iter().enumerate() {
        let own: Vec<Try> = tries
            .iter()
            .filter(|t| t.instance == number)
            .cloned()
            .collect();
        record.say(&format!(
            "{}: ordinary clients: {:?}",
            instance.name,
            ends(&own)
        ));
        let ready = |from: f64, to: f64| {
            let mut within = probes
                .iter()
                .filter(|(at, n, _)| *n == number && *at >= from && *at <= to);
            within.all(|(_, _, status)| *status == 200)
        };
        if let Some((from, to)) = shut_window(&own, &ready) {
            broken = true;
            record.say(&format!(
                "{} says that it is ready and takes no new connection from {from:.2} to {to:.2} s",
                instance.name
            ));
        }
    }
    rig.stop();
    broken
}

/// The longest time of a window and more in which at least seven clients tried, none of their
/// connections was served, and all probes said ready.
fn shut_window(tries: &[Try], ready: &dyn Fn(f64, f64) -> bool) -> Option<(f64, f64)> {
    let mut tries = tries.to_vec();
    tries.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut longest: Option<(f64, f64)> = None;
    let mut run: Vec<&Try> = Vec::new();
    for one in &tries {
        if one.end.is_ok() {
            run.clear();
            continue;
        }
        run.push(one);
        let (from, to) = (run[0].at, one.at);
        let clients: std::collections::BTreeSet<usize> = run.iter().map(|t| t.client).collect();
        let counts = to - from >= WINDOW && clients.len() >= CLIENTS && ready(from, to);
        if counts && longest.is_none_or(|(a, b)| to - from > b - a) {
            longest = Some((from, to));
        }
    }
    longest
}
