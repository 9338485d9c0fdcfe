//! A model server of the service `assist`: streams, orders, reports, and crashes on a prompt part.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Door, Request, reply};
use crate::json::Json;
use crate::rig::{HEARTBEAT, Record, unix_ms};
use crate::store::Store;

/// Models that an engine has memory for.
pub const FITS: usize = 3;
/// Time until a server that fell over is back.
const BACK_AFTER: Duration = Duration::from_secs(2);
/// Time of a load from the server's own disk.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Events of a stream, and the time between two of them.
const EVENTS: usize = 8;
const GAP: Duration = Duration::from_millis(20);

/// An order that reached an engine.
#[derive(Debug, Clone)]
pub struct Ordered {
    pub at: f64,
    pub holder: String,
    pub fence: f64,
    pub text: String,
}

/// A request that reached an engine.
#[derive(Debug, Clone)]
pub struct Reached {
    pub at: f64,
    pub id: String,
    /// Whether the engine fell over with it.
    pub crashed: bool,
}

#[derive(Default)]
struct State {
    born: u128,
    models: BTreeSet<String>,
    is_busy: bool,
    orders: u64,
}

pub struct Engine {
    pub id: String,
    door: Arc<Door>,
    /// Part of a prompt on which it falls over.
    bad_part: String,
    sequence: AtomicU64,
    running: AtomicU64,
    state: Mutex<State>,
    pub reached: Mutex<Vec<Reached>>,
    pub ordered: Mutex<Vec<Ordered>>,
    /// All models that it may be asked for; copies of all of them lie on its disk.
    known: Vec<String>,
    store: Arc<Store>,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(
        number: u32,
        ip: IpAddr,
        bad_part: &str,
        (known, held): (Vec<String>, Vec<String>),
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Engine> {
        let engine = Arc::new(Engine {
            id: format!("e-{number:08x}"),
            door: Door::new(SocketAddr::new(ip, 8080)),
            bad_part: bad_part.to_owned(),
            sequence: AtomicU64::new(0),
            running: AtomicU64::new(0),
            state: Mutex::default(),
            reached: Mutex::default(),
            ordered: Mutex::default(),
            known,
            store: Arc::clone(store),
            record: Arc::clone(record),
        });
        engine.boot(held.into_iter().collect());
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.door.is_open() {
                    beating.write_entry();
                }
            }
        });
        engine
    }

    /// A new incarnation; it holds nothing but at the first start.
    fn boot(self: &Arc<Self>, models: BTreeSet<String>) {
        *self.state.lock().unwrap() = State {
            born: unix_ms(),
            models,
            ..State::default()
        };
        self.sequence.store(0, Ordering::SeqCst);
        let serving = Arc::clone(self);
        self.door
            .open(move |request, stream| serving.answer(request, stream));
        self.write_entry();
    }

    /// Falls over: all connections end, nobody listens, and it comes back after a time.
    fn crash(self: &Arc<Self>) {
        if !self.door.shut() {
            return;
        }
        let engine = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(BACK_AFTER);
            engine.boot(BTreeSet::new());
            engine.record.line(&format!("{} is back", engine.id));
        });
    }

    fn write_entry(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let (born, models) = {
            let state = self.state.lock().unwrap();
            (state.born, models(&state))
        };
        let entry = format!(
            "{{\"service\":\"assist\",\"addr\":\"{}\",\"zone\":\"east-a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\
             \"models\":{models},\"seq\":{sequence},\"born\":{born},\
             \"atHand\":{{\"inMemory\":[],\"onDisk\":[{}]}}}}",
            self.door.address,
            quoted(&self.known)
        );
        self.store.put("servers", &self.id, Some(entry.as_bytes()));
    }

    fn answer(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let target = request.header("brassrack-target-instance");
        if !target.is_empty() && target != self.id {
            return reply(stream, 421, "", "");
        }
        match request.path.as_str() {
            "/healthz" => {
                let own = format!("brassrack-instance-id: {}\r\n", self.id);
                reply(stream, 200, &own, "")
            }
            "/report" => self.report(stream),
            "/order" => self.order(request, stream),
            _ => self.stream(request, stream),
        }
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let state = self.state.lock().unwrap();
        let body = format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":{},\"seq\":{},\"queued\":0,\
             \"running\":{},\"kvUsed\":0,\"kvTotal\":119923,\"handles\":0,\"born\":{},\
             \"atHand\":{{\"inMemory\":[],\"onDisk\":[{}]}}}}",
            models(&state),
            state.is_busy,
            state.orders,
            self.running.load(Ordering::SeqCst),
            state.born,
            quoted(&self.known)
        );
        drop(state);
        reply(stream, 200, "content-type: application/json\r\n", &body)
    }

    fn order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let order = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let is_load = order.get("opcode").text() == "load";
        if order.get("holder").text().is_empty() || order.get("fence").number() < 0.0 {
            return reply(stream, 400, "", "");
        }
        let model = order.get("model").text().to_owned();
        let ordered = Ordered {
            at: self.record.now(),
            holder: order.get("holder").text().to_owned(),
            fence: order.get("fence").number(),
            text: format!("{} {model}", order.get("opcode").text()),
        };
        self.ordered.lock().unwrap().push(ordered.clone());
        let status = {
            let mut state = self.state.lock().unwrap();
            let expected = order.get("expected").number();
            if state.is_busy || (expected >= 0.0 && expected != state.orders as f64) {
                409
            } else if state.models.contains(&model) == is_load {
                200
            } else if is_load && state.models.len() >= FITS {
                self.record.say(&format!(
                    "{} is ordered to load more than it holds",
                    self.id
                ));
                409
            } else {
                state.orders += 1;
                state.is_busy = true;
                202
            }
        };
        self.record.line(&format!(
            "{} gets the order {} of {} with the fence {}: {status}",
            self.id, ordered.text, ordered.holder, ordered.fence
        ));
        if status == 202 {
            let engine = Arc::clone(self);
            let born = self.state.lock().unwrap().born;
            thread::spawn(move || {
                thread::sleep(if is_load {
                    LOAD_TIME
                } else {
                    Duration::from_millis(20)
                });
                let mut state = engine.state.lock().unwrap();
                if state.born != born {
                    return;
                }
                if is_load {
                    state.models.insert(model);
                } else {
                    state.models.remove(&model);
                }
                state.is_busy = false;
                drop(state);
                engine.write_entry();
            });
        }
        reply(stream, status, "", "")
    }

    fn stream(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("brassrack-request-id").to_owned();
        let echo = format!("brassrack-request-id: {id}\r\nbrassrack-server-load: 1,0,64\r\n");
        if !self
            .state
            .lock()
            .unwrap()
            .models
            .contains(request.header("brassrack-model"))
        {
            return reply(stream, 421, &echo, "");
        }
        let parts = request.header("brassrack-prompt-prefix");
        let mut ids = parts
            .split(',')
            .map(|part| part.split(':').next().unwrap_or_default());
        let crashed = !self.bad_part.is_empty() && ids.any(|part| part == self.bad_part);
        let reached = Reached {
            at: self.record.now(),
            id: id.clone(),
            crashed,
        };
        self.reached.lock().unwrap().push(reached);
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(GAP);
        if crashed {
            self.record
                .line(&format!("{id} reaches {} and crashes it", self.id));
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.crash();
            return false;
        }
        self.record
            .line(&format!("{id} reaches {} and runs", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{echo}\
             brassrack-response-signature: {}.{id}\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        let from = request.header("last-event-id").parse().unwrap_or(0);
        let mut whole = stream.write_all(head.as_bytes()).is_ok();
        for number in from + 1..=EVENTS {
            let event = format!("id: {number}\ndata: word\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            whole = whole && stream.write_all(chunk.as_bytes()).is_ok();
            thread::sleep(GAP);
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        whole && stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn models(state: &State) -> String {
    let held: Vec<String> = state
        .models
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"))
        .collect();
    format!("[{}]", held.join(","))
}

fn quoted(names: &[String]) -> String {
    names
        .iter()
        .map(|name| format!("\"{name}\""))
        .collect::<Vec<_>>()
        .join(",")
}
