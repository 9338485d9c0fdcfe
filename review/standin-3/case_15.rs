//! The lease holder, and one more instance, are partitioned from the store for some seconds. A server
//! says shortly before the end that it leaves: do the other instances stop sending to it in time?

mod http;
mod json;
mod rig;
mod server;
mod store;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{until, Case, Instance, Machine, Verdict, HOST};
use server::Server;
use store::{Path, Store};

const HOSTS: [u8; 7] = [1, 2, 3, 4, 5, 6, 7];
const ROUNDS: u32 = 3;
/// Time from the begin of the partitions until a server says that it leaves: then at the next read of
/// the list by an instance that is in touch, so that the others learn of it later.
const LEAVES: Duration = Duration::from_millis(9_600);
const AFTER_READ: Duration = Duration::from_millis(30);
/// Ends of the partitions after that; the site file has up to 12 s.
const OTHER_BACK: Duration = Duration::from_millis(50);
const HOLDER_BACK: Duration = Duration::from_millis(650);
/// Time for which it goes on serving; `drainMs` and some seconds.
const SERVES: Duration = Duration::from_millis(7_000);
/// The rule: `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Interval between the requests of a client, one at each instance.
const PAUSE: Duration = Duration::from_millis(25);

fn main() {
    rig::run(play);
}

/// When a server's leaving was acknowledged, by the server.
type Leaving = BTreeMap<String, Instant>;

fn play(case: &Case) -> Verdict {
    let store = Store::new();
    store.put("op", "config", Some(rig::config(7)));
    let work = Duration::from_millis(15);
    let start = |number: u32| {
        let ip = case.ip(100 + number as u8);
        Server::start(ip, &format!("i-{number:08x}"), "desk", &[], work, &store)
    };
    let mut servers: Vec<Arc<Server>> = (1..=3).map(start).collect();
    let views: Vec<_> = HOSTS.iter().map(|h| store.view(case.ip(200 + h))).collect();
    let machine = Machine {
        ram_mb: 260,
        max_fds: 4100,
    };
    let instances: Vec<Instance> = HOSTS
        .iter()
        .zip(&views)
        .map(|(host, (address, _))| Instance::start(case, *host, &HOSTS, *address, machine))
        .collect();
    if !until(Duration::from_secs(15), || {
        instances.iter().all(Instance::is_ready)
    }) {
        return Err(String::from("the instances never became ready"));
    }
    thread::sleep(Duration::from_secs(6));
    let stop = AtomicBool::new(false);
    let served = Mutex::new((0_usize, 0_usize));
    let sent: Mutex<BTreeMap<String, (Instant, usize)>> = Mutex::default();
    let mut leaving = Leaving::new();
    let mut cuts: Vec<(usize, Instant, Instant)> = Vec::new();
    let result: Result<(), String> = thread::scope(|scope| {
        for (at, instance) in instances.iter().enumerate() {
            let (front, stop, served, sent) = (instance.front(), &stop, &served, &sent);
            scope.spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("i{at}n{number:06}");
                    let headers = [
                        ("Host", HOST),
                        ("Connection", "close"),
                        ("Brassrack-Request-Id", id.as_str()),
                        ("Brassrack-Deadline", "600"),
                    ];
                    sent.lock()
                        .unwrap()
                        .insert(id.clone(), (Instant::now(), at));
                    let limit = Duration::from_millis(600);
                    let answer = http::ask(front, "GET", "/status/seat", &headers, b"", limit);
                    let mut served = served.lock().unwrap();
                    served.0 += 1;
                    served.1 += usize::from(answer.status == 200);
                    drop(served);
                    thread::sleep(PAUSE);
                }
            });
        }
        let played = rounds(
            case,
            &store,
            &views,
            &instances,
            &mut servers,
            &start,
            &mut leaving,
            &mut cuts,
        );
        stop.store(true, Ordering::Relaxed);
        played
    });
    result?;
    let sent = sent.into_inner().unwrap();
    // An instance that was cut off is out of touch until 3 s after the cut.
    let in_touch = |at: usize, moment: Instant| {
        cuts.iter().all(|(cut, from, to)| {
            *cut != at || moment < *from || moment > *to + Duration::from_secs(3)
        })
    };
    let mut late = Vec::new();
    for server in &servers {
        let Some(since) = leaving.get(&server.id) else {
            continue;
        };
        for run in server.runs.lock().unwrap().iter() {
            let Some((_, at)) = sent.get(&run.id) else {
                continue;
            };
            if run.at > *since + DRAIN && in_touch(*at, run.at) {
                let ms = run.at.duration_since(*since).as_millis();
                case.say_at(
                    run.at,
                    &format!(
                        "{} reaches {} from {}, {ms} ms after this said that it leaves",
                        run.id, server.id, instances[*at].name
                    ),
                );
                late.push(ms);
            }
        }
    }
    let (asked, answered) = *served.lock().unwrap();
    if answered < asked / 2 {
        return Err(format!("only {answered} of {asked} requests were served"));
    }
    let text = format!(
        "{} requests reached servers later than {DRAIN:?} after the store had accepted that they leave, the \
         last one after {} ms; {answered} of {asked} were answered with 200, {} servers left",
        late.len(),
        late.iter().max().copied().unwrap_or(0),
        leaving.len()
    );
    Ok((!late.is_empty(), text))
}

#[allow(clippy::too_many_arguments)]
fn rounds(
    case: &Case,
    store: &Arc<Store>,
    views: &[(std::net::SocketAddr, Arc<Mutex<Path>>)],
    instances: &[Instance],
    servers: &mut Vec<Arc<Server>>,
    start: &dyn Fn(u32) -> Arc<Server>,
    leaving: &mut Leaving,
    cuts: &mut Vec<(usize, Instant, Instant)>,
) -> Result<(), String> {
    for round in 0..ROUNDS {
        servers.push(start(4 + round));
        thread::sleep(Duration::from_secs(2));
        let lease = store.value("lease", "orders").unwrap_or_default();
        let holder = instances
            .iter()
            .position(|i| lease.contains(&format!("\"{}\"", i.name)));
        let Some(holder) = holder else {
            return Err(format!("no holder: {lease}"));
        };
        // One of the seeds, which the holder asks.
        let other = if holder == 0 { 1 } else { 0 };
        let begun = Instant::now();
        let wait = |time: Duration| thread::sleep(time.saturating_sub(begun.elapsed()));
        let set = |at: usize, path: Path| {
            if case.trouble {
                *views[at].1.lock().unwrap() = path;
                case.say(&format!("{}: {path:?}", instances[at].name));
            }
        };
        set(holder, Path::Cut);
        set(other, Path::Cut);
        wait(LEAVES);
        let mark = Instant::now();
        let in_touch = (0..instances.len()).filter(|at| *at != holder && *at != other);
        let sights: Vec<_> = in_touch.map(|at| views[at].0.ip()).collect();
        let has_read = |ip: &std::net::IpAddr| store.list_read(*ip).is_some_and(|at| at > mark);
        until(Duration::from_millis(1_500), || sights.iter().any(has_read));
        thread::sleep(AFTER_READ);
        let server = Arc::clone(&servers[round as usize]);
        server.drain();
        let left = Instant::now();
        leaving.insert(server.id.clone(), left);
        case.say(&format!("{} says that it leaves", server.id));
        let wait = |time: Duration| thread::sleep(time.saturating_sub(left.elapsed()));
        wait(OTHER_BACK);
        set(other, Path::Open);
        wait(HOLDER_BACK);
        set(holder, Path::Open);
        if case.trouble {
            cuts.push((holder, begun, left + HOLDER_BACK));
            cuts.push((other, begun, left + OTHER_BACK));
        }
        wait(SERVES);
        server.leave();
        case.say(&format!("{} is gone", server.id));
    }
    Ok(())
}
