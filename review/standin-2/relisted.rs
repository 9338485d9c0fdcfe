//! Brittle servers whose entries are removed and come back while their requests go on.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::rig::{HOST, Record, Rig};

/// Servers, and the requests that they may turn away in a second (`Server-Brittle`).
const SERVERS: u32 = 8;
const BRITTLE: usize = 2;
/// Time that a request takes, and clients that send one after the other at each instance.
const WORK: Duration = Duration::from_secs(3);
const CLIENTS: usize = 28;

/// Whether the servers fell over more often than 2 + a tenth of their number.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let rig = Rig::start(SERVERS, 3, record);
    let servers: Vec<_> = rig.servers.iter().filter(|s| s.service == "desk").collect();
    for server in &servers {
        let mut behaviour = server.behaviour.lock().unwrap();
        behaviour.work = WORK;
        behaviour.brittle = Some(BRITTLE);
    }
    let going = Arc::new(AtomicBool::new(true));
    let ends: Arc<Mutex<std::collections::BTreeMap<u16, usize>>> = Arc::default();
    let mut clients = Vec::new();
    for (number, instance) in rig.instances.iter().enumerate() {
        for client in 0..CLIENTS {
            let (going, ends) = (Arc::clone(&going), Arc::clone(&ends));
            let (to, record) = (instance.callers(), Arc::clone(record));
            clients.push(thread::spawn(move || {
                // The first requests show that the servers are brittle; the others come later than
                // `stableWindowMs` after that.
                thread::sleep(Duration::from_millis(if client == 0 { 0 } else { 6500 }));
                let mut count = 0;
                while going.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("m{}c{client}n{count}", number + 1);
                    let text = format!(
                        "GET /survey/2f HTTP/1.1\r\nHost: {HOST}\r\nBrassrack-Request-Id: {id}\r\n\
                         Brassrack-Deadline: 12000\r\nConnection: close\r\n\r\n"
                    );
                    let answer = http::call(to, &text, Duration::from_secs(13));
                    let status = answer.as_ref().map_or(0, |answer| answer.status);
                    record.line(&format!("client: {id}: {status}"));
                    *ends.lock().unwrap().entry(status).or_default() += 1;
                    if status != 200 {
                        let after = answer
                            .ok()
                            .and_then(|a| a.headers.get("retry-after")?.parse().ok());
                        thread::sleep(Duration::from_secs_f64(after.unwrap_or(0.5_f64).min(4.0)));
                    }
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(12));
    for server in &servers {
        if trouble {
            server.reach_store(false);
            thread::sleep(Duration::from_millis(4200));
            server.reach_store(true);
        }
        thread::sleep(Duration::from_millis(4800));
    }
    going.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(1));
    let falls: u64 = servers.iter().map(|s| s.falls.load(Ordering::SeqCst)).sum();
    record.say(&format!(
        "answers: {:?}; the servers fell over {falls} times",
        ends.lock().unwrap()
    ));
    rig.stop();
    falls as f64 > 2.0 + 0.1 * f64::from(SERVERS)
}
