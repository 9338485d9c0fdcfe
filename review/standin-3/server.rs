//! A stand-in of a model server, and of a plain server, whose requests name no model.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, respond, Request, Served};
use crate::json::{parse, quote};
use crate::store::Store;

/// Interval between two beats.
const BEAT: Duration = Duration::from_millis(1200);
/// Age of what a report says.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Load of a model that lies on the server's disk.
const DISK_LOAD: Duration = Duration::from_millis(1600);
/// Load of one that does not.
const STORE_LOAD: Duration = Duration::from_millis(6200);
pub const SLOTS: usize = 24;
/// Adapters of each model, named a1 and so on.
pub const ADAPTERS: usize = 12;

/// Tokens in an event of a stream.
const EVENT_TOKENS: u64 = 3;

#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub text: String,
}

#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub software: String,
    pub after: u64,
}

#[derive(Debug, Default, Clone)]
struct State {
    software: String,
    is_draining: bool,
    born: u64,
    beats: u64,
    accepted: u64,
    busy: bool,
    models: BTreeMap<String, BTreeSet<String>>,
    disk: BTreeSet<String>,
    up: bool,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    gap: Duration,
    store: Arc<Store>,
    state: Mutex<State>,
    /// What a report shows: states, with the time from which each is shown.
    shown: Mutex<Vec<(Instant, State)>>,
    stop: Mutex<Arc<AtomicBool>>,
    open: Mutex<BTreeMap<u64, TcpStream>>,
    next: AtomicU64,
    running: AtomicU64,
    pub orders: Mutex<Vec<Order>>,
    pub runs: Mutex<Vec<Run>>,
}

fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |t| t.as_millis() as u64)
}

impl Server {
    /// Starts a server that holds these models and sends events with this gap between them.
    pub fn start(
        ip: IpAddr,
        id: &str,
        service: &str,
        models: &[&str],
        gap: Duration,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("server address");
        let address = listener.local_addr().expect("server address");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            gap,
            store: Arc::clone(store),
            state: Mutex::new(State {
                software: String::from("v1"),
                born: unix_ms(),
                models: models
                    .iter()
                    .map(|m| ((*m).to_owned(), BTreeSet::new()))
                    .collect(),
                disk: models.iter().map(|m| (*m).to_owned()).collect(),
                up: true,
                ..State::default()
            }),
            shown: Mutex::default(),
            stop: Mutex::default(),
            open: Mutex::default(),
            next: AtomicU64::new(0),
            running: AtomicU64::new(0),
            orders: Mutex::default(),
            runs: Mutex::default(),
        });
        server.changed();
        server.listen(listener);
        let beating = Arc::clone(&server);
        thread::spawn(move || loop {
            thread::sleep(BEAT);
            beating.beat();
        });
        server
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let stop = Arc::new(AtomicBool::new(false));
        *self.stop.lock().unwrap() = Arc::clone(&stop);
        let serving = Arc::clone(self);
        let handler = move |request: &Request, to: &mut TcpStream| serving.handle(request, to);
        http::serve(listener, stop, Arc::new(handler));
    }

    /// Ends the process of the server: its connections close, and its address refuses new ones.
    pub fn end(&self) {
        self.state.lock().unwrap().up = false;
        self.stop.lock().unwrap().store(true, Ordering::Relaxed);
        for stream in std::mem::take(&mut *self.open.lock().unwrap()).into_values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Says in its entry that it leaves, and goes on serving.
    pub fn drain(&self) {
        self.state.lock().unwrap().is_draining = true;
        self.beat();
    }

    /// Ends it for good and removes its entry.
    pub fn leave(&self) {
        self.end();
        self.store.put("servers", &self.id, None);
    }

    /// Starts it again under its id, with this version of its software; it holds no model.
    pub fn begin(self: &Arc<Self>, software: &str) {
        thread::sleep(Duration::from_millis(10));
        let listener = TcpListener::bind(self.address).expect("server address again");
        {
            let mut state = self.state.lock().unwrap();
            software.clone_into(&mut state.software);
            state.born = unix_ms();
            state.beats = 0;
            state.accepted = 0;
            state.busy = false;
            state.models.clear();
            state.up = true;
        }
        self.shown.lock().unwrap().clear();
        self.changed();
        self.listen(listener);
    }

    /// Whether it holds a model, or an adapter that is named behind it and a slash.
    pub fn holds(&self, name: &str) -> bool {
        let (model, adapter) = name.split_once('/').unwrap_or((name, ""));
        let state = self.state.lock().unwrap();
        let held = state.models.get(model);
        held.is_some_and(|adapters| adapter.is_empty() || adapters.contains(adapter))
    }

    /// Puts copies of models on its disk.
    pub fn store_copies(&self, models: &[String]) {
        self.state
            .lock()
            .unwrap()
            .disk
            .extend(models.iter().cloned());
        self.changed();
    }

    pub fn software(&self) -> String {
        self.state.lock().unwrap().software.clone()
    }

    /// Writes the entry, and lets reports show the state after their lag.
    fn changed(&self) {
        let state = self.state.lock().unwrap().clone();
        let mut shown = self.shown.lock().unwrap();
        let lag = if shown.is_empty() {
            Duration::ZERO
        } else {
            REPORT_LAG
        };
        shown.push((Instant::now() + lag, state));
        drop(shown);
        self.beat();
    }

    fn beat(&self) {
        let state = {
            let mut state = self.state.lock().unwrap();
            if !state.up {
                return;
            }
            state.beats += 1;
            state.clone()
        };
        let entry = format!(
            "{{\"service\":{},\"addr\":\"{}\",\"zone\":\"gulf-a\",\"version\":{},\"slots\":{SLOTS},\
             \"state\":\"{}\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":{},\"seq\":{},\
             \"born\":{},\"atHand\":{}}}",
            quote(&self.service),
            self.address,
            quote(&state.software),
            if state.is_draining { "draining" } else { "ready" },
            models_text(&state),
            state.beats,
            state.born,
            at_hand_text(&state)
        );
        self.store.put("servers", &self.id, Some(entry));
    }

    fn handle(self: &Arc<Self>, request: &Request, to: &mut TcpStream) -> io::Result<Served> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let born = {
            let state = self.state.lock().unwrap();
            if !state.up {
                return Ok(Served::Close);
            }
            self.open.lock().unwrap().insert(number, to.try_clone()?);
            state.born
        };
        let served = self.answer(request, to, born);
        self.open.lock().unwrap().remove(&number);
        served
    }

    fn answer(
        self: &Arc<Self>,
        request: &Request,
        to: &mut TcpStream,
        born: u64,
    ) -> io::Result<Served> {
        let json = [("Content-Type", "application/json")];
        match request.path() {
            "/report" => return respond(to, 200, &json, self.report().as_bytes()),
            "/healthz" => {
                let id = [("Brassrack-Instance-Id", self.id.as_str())];
                return respond(to, 200, &id, b"");
            }
            "/order" => {
                let status = self.order(request);
                return respond(to, status, &json, b"{}");
            }
            _ => {}
        }
        let id = request.header("brassrack-request-id").to_owned();
        let unrun = [
            ("Brassrack-Not-Executed", "1"),
            ("Brassrack-Request-Id", id.as_str()),
        ];
        let target = request.header("brassrack-target-instance");
        let is_other = !target.is_empty() && target != self.id;
        let model = request.header("brassrack-model");
        if is_other || (!model.is_empty() && !self.holds(model)) {
            return respond(to, 421, &unrun, b"");
        }
        let software = self.software();
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            id: id.clone(),
            software: software.clone(),
            after,
        });
        if model.is_empty() {
            thread::sleep(self.gap);
            let signature = format!("{}.{born}", self.id);
            let head = [
                ("Brassrack-Request-Id", id.as_str()),
                ("Brassrack-Response-Signature", signature.as_str()),
            ];
            return respond(to, 200, &head, b"status");
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let tokens = request.header("brassrack-token-usage").split(',').nth(1);
        let tokens: u64 = tokens
            .and_then(|t| t.trim().parse().ok())
            .unwrap_or(EVENT_TOKENS);
        let streamed = self.stream(to, &id, after + 1..=tokens / EVENT_TOKENS, &software, born);
        self.running.fetch_sub(1, Ordering::Relaxed);
        streamed
    }

    fn stream(
        &self,
        to: &mut TcpStream,
        id: &str,
        events: RangeInclusive<u64>,
        software: &str,
        born: u64,
    ) -> io::Result<Served> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBrassrack-Request-Id: {id}\r\n\
             Brassrack-Response-Signature: {}.{born}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        thread::sleep(self.gap);
        to.write_all(head.as_bytes())?;
        for event in events {
            let text = format!("id: {event}\ndata: {software} {}\n\n", self.id);
            to.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(self.gap);
            let state = self.state.lock().unwrap();
            if !state.up || state.born != born {
                return Ok(Served::Close);
            }
        }
        to.write_all(b"0\r\n\r\n")?;
        Ok(Served::Keep)
    }

    fn report(&self) -> String {
        let now = Instant::now();
        let state = {
            let mut shown = self.shown.lock().unwrap();
            while shown.len() > 1 && shown[1].0 <= now {
                shown.remove(0);
            }
            shown[0].1.clone()
        };
        format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":{},\"seq\":{},\"queued\":0,\"running\":{},\
             \"kvUsed\":0,\"kvTotal\":119923,\"handles\":0,\"born\":{},\"coming\":[],\"atHand\":{}}}",
            models_text(&state),
            state.busy,
            state.accepted,
            self.running.load(Ordering::Relaxed),
            state.born,
            at_hand_text(&state)
        )
    }

    fn order(self: &Arc<Self>, request: &Request) -> u16 {
        let Some(order) = parse(&request.body) else {
            return 400;
        };
        let target = request.header("brassrack-target-instance");
        if !target.is_empty() && target != self.id {
            return 421;
        }
        let (holder, fence) = (order.get("holder").text(), order.get("fence").number());
        let Some(fence) = fence.filter(|_| !holder.is_empty()) else {
            return 400;
        };
        self.orders.lock().unwrap().push(Order {
            at: Instant::now(),
            holder: holder.to_owned(),
            fence,
            text: String::from_utf8_lossy(&request.body).into_owned(),
        });
        let model = order.get("model").text().to_owned();
        let adapter = order.get("adapter").text().to_owned();
        let is_load = order.get("opcode").text() == "load";
        let is_known = (1..=ADAPTERS).any(|n| adapter == format!("a{n}"));
        if !adapter.is_empty() && !is_known {
            return 400;
        }
        let mut state = self.state.lock().unwrap();
        let expected = order.get("expected").number();
        if state.busy || expected.is_some_and(|e| e != state.accepted) {
            return 409;
        }
        if !adapter.is_empty() {
            state.accepted += 1;
            let Some(held) = state.models.get_mut(&model) else {
                return 400;
            };
            if is_load {
                held.insert(adapter);
            } else {
                held.remove(&adapter);
            }
            drop(state);
            self.changed();
            return if is_load { 202 } else { 200 };
        }
        if is_load == state.models.contains_key(&model) {
            return 200;
        }
        state.accepted += 1;
        if !is_load {
            state.models.remove(&model);
            drop(state);
            self.changed();
            return 202;
        }
        state.busy = true;
        let born = state.born;
        let time = if state.disk.contains(&model) {
            DISK_LOAD
        } else {
            STORE_LOAD
        };
        drop(state);
        self.changed();
        let loading = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(time);
            let mut state = loading.state.lock().unwrap();
            if !state.up || state.born != born {
                return;
            }
            state.busy = false;
            state.disk.insert(model.clone());
            state.models.insert(model, BTreeSet::new());
            drop(state);
            loading.changed();
        });
        202
    }
}

fn models_text(state: &State) -> String {
    let models = state.models.iter().map(|(name, adapters)| {
        let adapters: Vec<String> = adapters.iter().map(|a| quote(a)).collect();
        format!(
            "{{\"name\":{},\"version\":1,\"adapters\":[{}]}}",
            quote(name),
            adapters.join(",")
        )
    });
    format!("[{}]", models.collect::<Vec<_>>().join(","))
}

fn at_hand_text(state: &State) -> String {
    let disk: Vec<String> = state.disk.iter().map(|m| quote(m)).collect();
    format!("{{\"inMemory\":[],\"onDisk\":[{}]}}", disk.join(","))
}
