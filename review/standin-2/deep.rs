//! A part deep in long prompts crashes each server that begins to answer on it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::rig::{HOST, Record, Rig};

/// The part that crashes servers.
const BAD: &str = "bad0bad0";
/// Index of that part in the prompt, and number of parts of a prompt without its own last one.
const INDEX: usize = 8;
const PARTS: usize = 10;
/// Time between two requests with the part.
const PACE: Duration = Duration::from_millis(1500);
/// Time for which such requests come.
const TIME: Duration = Duration::from_secs(40);
/// `stableWindowMs` of the settings.
const WINDOW: f64 = 3.0;
/// Requests that may reach servers after that, from the fifth crash on.
const ALLOWED: usize = 3;

/// Whether more than three requests with the part reached servers later than a window after the
/// fifth crash.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let rig = Rig::start_engines(4, 2, if trouble { BAD } else { "" }, record);
    let index = std::env::var("INDEX")
        .ok()
        .and_then(|i| i.parse().ok())
        .unwrap_or(INDEX);
    let end = Instant::now() + TIME;
    let (mut count, mut calls) = (0, Vec::new());
    while Instant::now() < end {
        count += 1;
        let instance = &rig.instances[count % rig.instances.len()];
        for is_bad in [false, true] {
            let id = format!("{}{count}", if is_bad { "bad" } else { "sound" });
            let text = request(&id, index, count, is_bad);
            let (to, record) = (instance.callers(), Arc::clone(record));
            calls.push(thread::spawn(move || {
                let end = match http::call(to, &text, Duration::from_secs(6)) {
                    Ok(answer) => answer.status.to_string(),
                    Err(error) => format!("no whole answer ({})", error.kind()),
                };
                record.line(&format!("client: {id}: {end}"));
                (is_bad, end)
            }));
        }
        thread::sleep(PACE);
    }
    let mut ends = std::collections::BTreeMap::new();
    for call in calls {
        if let Ok(end) = call.join() {
            *ends.entry(end).or_insert(0) += 1;
        }
    }
    record.say(&format!(
        "ends of requests (with the part, status): {ends:?}"
    ));
    let mut reached: Vec<_> = rig
        .engines
        .iter()
        .flat_map(|engine| engine.reached.lock().unwrap().clone())
        .filter(|reached| reached.crashed)
        .collect();
    reached.sort_by(|a, b| a.at.total_cmp(&b.at));
    let late = reached.get(4).map_or(Vec::new(), |fifth| {
        let late = reached.iter().filter(|r| r.at > fifth.at + WINDOW);
        late.cloned().collect()
    });
    let requests: BTreeSet<&str> = late.iter().map(|r| &*r.id).collect();
    record.say(&format!(
        "{} crashes; the fifth at {:.2} s; {} requests with the part reach servers later than a \
         window after it, {} times",
        reached.len(),
        reached.get(4).map_or(0.0, |r| r.at),
        requests.len(),
        late.len()
    ));
    rig.stop();
    requests.len() > ALLOWED
}

/// A stream whose prompt has shared parts and one of its own at the end.
fn request(id: &str, index: usize, count: usize, is_bad: bool) -> String {
    let shared: Vec<String> = (0..PARTS)
        .map(|part| match part {
            _ if part == index && is_bad => format!("{BAD}:100"),
            0 => String::from("5c1e07a2:100"),
            _ => format!("{:08x}:100", 0x100 * part + count % 7 + 0x9000_0000),
        })
        .collect();
    format!(
        "POST /explain/2f HTTP/1.1\r\nHost: {HOST}\r\nBrassrack-Request-Id: {id}\r\n\
         Brassrack-Model: m0\r\nBrassrack-Token-Usage: 1100,80\r\n\
         Brassrack-Prompt-Prefix: {},{:08x}:100\r\nBrassrack-Deadline: 6000\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{id}",
        shared.join(","),
        0xa000_0000_usize + count * 2 + usize::from(is_bad),
        id.len()
    )
}
