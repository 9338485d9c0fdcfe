//! An instance without a path to servers, which passes requests to one that stood still.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::proxy::Proxy;
use crate::rig::{HOST, Instance, Record, Rig, config};

/// Versions of the configuration, each of which adds a route, and the instance that stands still
/// meanwhile. The lease holder is not asked for help, so that each of the two others has its turn.
const VERSIONS: [(u32, usize); 2] = [(8, 1), (9, 2)];
/// Time from the begin of the cut in which the instance finds out.
const NOTICE: Duration = Duration::from_secs(2);
/// Calm between the two versions.
const CALM: Duration = Duration::from_secs(6);
/// Time in which requests on the new route are sent, and the time between two of them.
const TIME: Duration = Duration::from_millis(3500);
const PACE: Duration = Duration::from_millis(40);
/// `rollbackSlackMs` of the settings, in seconds.
const SLACK: f64 = 0.25;

/// A request that a client sent: when, its number, and the status of its answer.
type Sent = (f64, u32, u16);

/// Whether a request sent to a machine later than the slack after a server had run a request from
/// there by a version was answered 404 on a route that the version added, or run by the service from
/// which it moved the route.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let rig = Rig::start(3, 3, record);
    let cut_off = &rig.instances[0];
    let mut regressed = 0;
    for (version, still) in VERSIONS {
        if trouble {
            record.say(&format!("{} is cut off from all servers", cut_off.name));
            rig.paths.iter().for_each(|path| path.cut());
        }
        thread::sleep(NOTICE);
        let frozen = &rig.instances[still];
        if trouble {
            frozen.signal("STOP");
            record.say(&format!("{} stands still", frozen.name));
            thread::sleep(Duration::from_millis(100));
        }
        rig.store
            .put("op", "config", Some(config(version).as_bytes()));
        record.say(&format!("version {version} is acknowledged"));
        let (mut added, mut moved) = (Vec::new(), Vec::new());
        let end = Instant::now() + TIME;
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let path = format!("/added{version}/2f");
            added.push(send(
                cut_off,
                record,
                "GET",
                path,
                format!("a{version}n"),
                number,
            ));
            let path = String::from("/moved/2f");
            moved.push(send(
                cut_off,
                record,
                "POST",
                path,
                format!("m{version}n"),
                number,
            ));
            thread::sleep(PACE);
        }
        if trouble {
            frozen.signal("CONT");
            record.say(&format!("{} goes on", frozen.name));
        }
        let join = |calls: Vec<thread::JoinHandle<Sent>>| -> Vec<Sent> {
            calls
                .into_iter()
                .filter_map(|call| call.join().ok())
                .collect()
        };
        let (added, moved) = (join(added), join(moved));
        if trouble {
            record.say("the cut heals");
            rig.paths.iter().for_each(Proxy::heal);
        }
        regressed += refused_late(&rig, version, &added, record);
        regressed += moved_back_late(&rig, version, &moved, record);
        thread::sleep(CALM);
    }
    record.say(&format!("times that the machine regressed: {regressed}"));
    rig.stop();
    regressed > 0
}

fn send(
    to: &Arc<Instance>,
    record: &Arc<Record>,
    method: &'static str,
    path: String,
    ids: String,
    number: u32,
) -> thread::JoinHandle<Sent> {
    let (to, record) = (to.callers(), Arc::clone(record));
    thread::spawn(move || {
        let id = format!("{ids}{number}");
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nBrassrack-Request-Id: {id}\r\n\
             Brassrack-Deadline: 8000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        );
        let at = record.now();
        let status = http::call(to, &text, Duration::from_millis(8000));
        let status = status.map_or(0, |answer| answer.status);
        record.line(&format!("client: {id} sent at {at:.3} s: {status}"));
        (at, number, status)
    })
}

/// Times at which servers of a service ran requests with such ids, by the numbers of these.
fn runs(rig: &Rig, service: &str, ids: &str) -> BTreeMap<u32, f64> {
    let mut runs = BTreeMap::new();
    for server in rig
        .servers
        .iter()
        .filter(|server| server.service == service)
    {
        for arrival in server.arrivals.lock().unwrap().iter() {
            let number = arrival
                .id
                .strip_prefix(ids)
                .and_then(|number| number.parse().ok());
            if let Some(number) = number.filter(|_| arrival.status == 200) {
                runs.insert(number, arrival.at);
            }
        }
    }
    runs
}

/// Whether requests on the new route got 404 later than the slack after its first run.
fn refused_late(rig: &Rig, version: u32, added: &[Sent], record: &Record) -> usize {
    let runs = runs(rig, "desk", &format!("a{version}n"));
    let seen = runs.values().copied().fold(f64::MAX, f64::min);
    let late = added
        .iter()
        .filter(|(at, _, status)| *status == 404 && *at > seen + SLACK);
    let late: Vec<f64> = late.map(|(at, ..)| *at).collect();
    record.say(&format!("statuses on the new route: {:?}", statuses(added)));
    let Some(last) = late.iter().copied().reduce(f64::max) else {
        return 0;
    };
    record.say(&format!(
        "version {version}: a server runs a request on the new route at {seen:.3} s; {} requests sent \
         later than 250 ms after that get 404, the last one sent at {last:.3} s",
        late.len()
    ));
    1
}

/// Whether requests ran at the old service of a route later than the slack after the first run at the
/// new one.
fn moved_back_late(rig: &Rig, version: u32, moved: &[Sent], record: &Record) -> usize {
    let (new, old) = if version % 2 == 0 {
        ("annex", "desk")
    } else {
        ("desk", "annex")
    };
    let ids = format!("m{version}n");
    let seen = runs(rig, new, &ids)
        .values()
        .copied()
        .fold(f64::MAX, f64::min);
    let old_runs = runs(rig, old, &ids);
    let late = moved
        .iter()
        .filter(|(at, number, _)| old_runs.contains_key(number) && *at > seen + SLACK);
    let late: Vec<f64> = late.map(|(at, ..)| *at).collect();
    record.say(&format!(
        "statuses on the moved route: {:?}",
        statuses(moved)
    ));
    let Some(last) = late.iter().copied().reduce(f64::max) else {
        return 0;
    };
    record.say(&format!(
        "version {version}: a server of {new} runs a request on the moved route at {seen:.3} s; {} \
         requests that may run once, sent later than 250 ms after that, run at {old}, the last one sent \
         at {last:.3} s",
        late.len()
    ));
    1
}

fn statuses(sent: &[Sent]) -> BTreeMap<u16, usize> {
    let mut statuses = BTreeMap::new();
    for (_, _, status) in sent {
        *statuses.entry(*status).or_default() += 1;
    }
    statuses
}
