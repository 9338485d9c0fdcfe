//! Two machines that give orders at once: an older copy of the lease row is claimed too soon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::engine::Ordered;
use crate::http;
use crate::json::Json;
use crate::rig::{HOST, Record, Rig};

/// Engines, and models, of which they hold half.
const ENGINES: u32 = 4;
const MODELS: usize = 24;
/// Clients at each instance.
const CLIENTS: usize = 8;
/// Age of the copy from which the store comes back, and time for which it is away before.
const AGE: Duration = Duration::from_millis(2500);
const AWAY: Duration = Duration::from_millis(300);
/// Time for which the holder is cut off from the store and from the other zone.
const CUT: Duration = Duration::from_millis(7200);
/// `leaseMs` of the settings, in seconds.
const LEASE: f64 = 3.0;

/// Whether two machines gave orders in a way that breaks the rule ONE.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let rig = Rig::start_models(ENGINES, MODELS, 3, record);
    let going = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for (number, instance) in rig.instances.iter().enumerate() {
        for client in 0..CLIENTS {
            let (going, record, to) = (Arc::clone(&going), Arc::clone(record), instance.callers());
            clients.push(thread::spawn(move || {
                let mut count = client * 7 + number * 5;
                while going.load(Ordering::SeqCst) {
                    count += 11;
                    let id = format!("m{}c{client}n{count}", number + 1);
                    let text = format!(
                        "POST /explain/2f HTTP/1.1\r\nHost: {HOST}\r\nBrassrack-Request-Id: {id}\r\n\
                         Brassrack-Model: m{}\r\nBrassrack-Token-Usage: 100,80\r\n\
                         Brassrack-Prompt-Prefix: 5c1e07a2:50,{:08x}:50\r\nBrassrack-Deadline: 6000\r\n\
                         Connection: close\r\nContent-Length: 2\r\n\r\nhi",
                        (count * 13 + client) % MODELS,
                        count + client * 100_000
                    );
                    let end = http::call(to, &text, Duration::from_secs(6));
                    record.line(&format!("client: {id}: {}", end.map_or(0, |answer| answer.status)));
                    thread::sleep(Duration::from_millis(100));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(5));
    let row = rig.store.value("lease", "orders").unwrap_or_default();
    let holder = Json::parse(&row).map(|row| row.get("holder").text().to_owned());
    record.say(&format!("lease row: {row}"));
    let holder = rig
        .instances
        .iter()
        .position(|i| Some(&i.name) == holder.as_ref());
    let Some(holder) = holder else {
        record.say("no instance holds the lease: the case cannot run");
        rig.stop();
        std::process::exit(2);
    };
    let added = &rig.instances[rig.instances.len() - 1];
    let copy = rig.store.copy();
    thread::sleep(AGE - AWAY);
    if trouble {
        let name = &rig.instances[holder].name;
        record.say(&format!(
            "{name} is cut off from the store and from the zone east-b"
        ));
        rig.links[holder].cut();
        rig.views[holder].is_cut.store(true, Ordering::SeqCst);
        // DRILL=0 leaves the store as it is.
        if std::env::var("DRILL").as_deref() != Ok("0") {
            rig.store.drill(copy, AWAY);
            record.say("the store is back from a copy that is 2.5 s old");
        }
    }
    record.say(&format!("{} is added", added.name));
    added.start();
    thread::sleep(CUT - AWAY);
    if trouble {
        rig.views[holder].is_cut.store(false, Ordering::SeqCst);
        rig.links[holder].heal();
        record.say("the cut heals");
    }
    thread::sleep(Duration::from_secs(4));
    going.store(false, Ordering::SeqCst);
    let mut broken = false;
    for engine in &rig.engines {
        let ordered = engine.ordered.lock().unwrap().clone();
        record.say(&format!("{} got {} orders", engine.id, ordered.len()));
        broken |= breaks(&engine.id, &ordered, record);
    }
    rig.stop();
    for client in clients {
        let _ = client.join();
    }
    broken
}

/// Two holders with one fence, a lower fence after a higher one, or holders in turn within the time.
fn breaks(engine: &str, ordered: &[Ordered], record: &Record) -> bool {
    let mut lower = 0;
    let mut turns = 0;
    let mut highest: Option<&Ordered> = None;
    for (at, order) in ordered.iter().enumerate() {
        if let Some(high) = highest
            && order.fence < high.fence
        {
            lower += 1;
            if lower == 1 {
                record.say(&format!(
                    "{engine}: {} with the fence {} at {:.3} s, after {} with {} at {:.3} s",
                    order.holder, order.fence, order.at, high.holder, high.fence, high.at
                ));
            }
        }
        if highest.is_none_or(|high| order.fence >= high.fence) {
            highest = Some(order);
        }
        let before = ordered[..at]
            .iter()
            .rev()
            .take_while(|o| order.at - o.at < LEASE);
        let others: Vec<&Ordered> = before.skip_while(|o| o.holder == order.holder).collect();
        turns += usize::from(others.iter().any(|o| o.holder == order.holder));
        let same = ordered[..at]
            .iter()
            .any(|o| o.fence == order.fence && o.holder != order.holder);
        if same {
            record.say(&format!(
                "{engine}: two holders with the fence {}",
                order.fence
            ));
        }
        turns += usize::from(same);
    }
    if lower + turns > 0 {
        record.say(&format!(
            "{engine}: {lower} orders with a lower fence, {turns} in turn"
        ));
    }
    lower + turns > 0
}
