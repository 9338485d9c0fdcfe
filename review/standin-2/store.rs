//! A stand-in of the platform's store: rows under conditions, reads and the feed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Door, Request, reply};
use crate::json::{Json, from_base64, quote, to_base64};

type Key = (String, String, String);

#[derive(Default, Clone)]
struct Rows {
    /// Value and version; no value where the row was dropped.
    cells: BTreeMap<Key, (Option<Vec<u8>>, u64)>,
    version: u64,
}

/// How one machine sees the store.
#[derive(Default)]
pub struct View {
    /// Addresses of servers and other machines, and those at which this machine finds them.
    pub elsewhere: Mutex<BTreeMap<String, String>>,
    /// Whether the machine is partitioned from the store: its calls get no answer.
    pub is_cut: AtomicBool,
}

/// An older state of the store, from which it can come back.
pub struct Copy(Rows);

pub struct Store {
    era: AtomicU64,
    is_away: AtomicBool,
    rows: Mutex<Rows>,
    changed: Condvar,
    begun: Instant,
}

impl Store {
    pub fn start() -> Arc<Store> {
        Arc::new(Store {
            era: AtomicU64::new(0),
            is_away: AtomicBool::new(false),
            rows: Mutex::default(),
            changed: Condvar::new(),
            begun: Instant::now(),
        })
    }

    /// Answers one machine at an address of its own, by its view.
    pub fn serve_view(self: &Arc<Self>, address: SocketAddr, view: Arc<View>) {
        let serving = Arc::clone(self);
        Door::new(address).open(move |request, stream| serving.answer(request, &view, stream));
    }

    /// Writes a row as the operator or a server does; no value drops it.
    pub fn put(&self, table: &str, key: &str, value: Option<&[u8]>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.cells.insert(key, (value.map(<[u8]>::to_vec), version));
        self.changed.notify_all();
    }

    pub fn copy(&self) -> Copy {
        Copy(self.rows.lock().unwrap().clone())
    }

    /// A drill: the store is away for a moment, and comes back from an older copy. Versions go back and
    /// are given out again. The servers write their entries again with their next heartbeats.
    pub fn drill(&self, copy: Copy, away: Duration) {
        self.is_away.store(true, Ordering::SeqCst);
        std::thread::sleep(away);
        *self.rows.lock().unwrap() = copy.0;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let cell = rows
            .cells
            .get(&(table.to_owned(), String::new(), key.to_owned()))?;
        Some(String::from_utf8_lossy(cell.0.as_ref()?).into_owned())
    }

    /// Waits while a machine is partitioned from the store; whether it was.
    fn is_lost(view: &View) -> bool {
        let was_cut = view.is_cut.load(Ordering::SeqCst);
        while view.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
        was_cut
    }

    fn answer(&self, request: &Request, view: &View, stream: &mut TcpStream) -> bool {
        if Self::is_lost(view) {
            return false;
        }
        let before = self.era.load(Ordering::SeqCst);
        let away = self.is_away.load(Ordering::SeqCst);
        let (status, body) = match request.path.as_str() {
            _ if away => (503, String::from("{}")),
            "/rows-get" => self.get(&request.query, view),
            "/rows-feed" => self.feed(&request.query, view),
            "/rows-parts" => (200, String::from("{\"parts\":[],\"hasMore\":false}")),
            "/rows-tx" => self.transact(&request.body),
            _ => (404, String::from("{}")),
        };
        if Self::is_lost(view) {
            return false;
        }
        let era = self.era.load(Ordering::SeqCst);
        let headers = format!("content-type: application/json\r\nstore-era: {era}\r\n");
        if self.is_away.load(Ordering::SeqCst) || era != before {
            return reply(stream, 503, &headers, "{}");
        }
        reply(stream, status, &headers, &body)
    }

    fn now_ms(&self) -> u128 {
        self.begun.elapsed().as_millis()
    }

    fn get(&self, query: &BTreeMap<String, String>, view: &View) -> (u16, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (text("table"), text("part"), text("from"), text("to"));
        let limit = text("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let fits = |key: &Key| {
            key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to)
        };
        let found: Vec<String> = rows
            .cells
            .iter()
            .filter(|(key, cell)| fits(key) && cell.0.is_some())
            .map(|(key, cell)| encode(key, &seen(key, cell, view)))
            .collect();
        let page = found[..found.len().min(limit)].join(",");
        let body = format!(
            "{{\"rows\":[{page}],\"hasMore\":{},\"ver\":{},\"nowMs\":{}}}",
            found.len() > limit,
            rows.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, query: &BTreeMap<String, String>, view: &View) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let (after, wait) = (number("after"), number("waitMs").min(30_000));
        let end = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            if after > rows.version {
                return (410, String::from("{}"));
            }
            let mut found: Vec<(&Key, &(Option<Vec<u8>>, u64))> = rows
                .cells
                .iter()
                .filter(|(key, cell)| key.0 == table && cell.1 > after)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, cell)| cell.1);
                let page: Vec<String> = found
                    .into_iter()
                    .map(|(k, c)| encode(k, &seen(k, c, view)))
                    .collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}",
                    page.join(","),
                    rows.version,
                    self.now_ms()
                );
                return (200, body);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, String::from("{}"));
        };
        let key = |row: &Json| -> Key {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let is_own = |row: &Json| ["op", "servers"].contains(&row.get("table").text());
        let (put, remove) = (call.get("put").list(), call.get("remove").list());
        if put.iter().chain(remove).any(is_own) {
            return (403, String::from("{}"));
        }
        let broken = call.get("expected").list().iter().any(|row| {
            let cell = rows.cells.get(&key(row)).filter(|cell| cell.0.is_some());
            row.get("ver").number() != cell.map_or(0.0, |cell| cell.1 as f64)
        });
        if broken {
            let expected = call.get("expected").list().iter().map(key);
            let now: Vec<String> = expected
                .filter_map(|key| Some(encode(&key, rows.cells.get(&key)?)))
                .collect();
            let body = format!("{{\"rows\":[{}],\"ver\":{}}}", now.join(","), rows.version);
            return (412, body);
        }
        rows.version += 1;
        let version = rows.version;
        for row in put {
            let value = from_base64(row.get("value").text());
            rows.cells.insert(key(row), (Some(value), version));
        }
        for row in remove {
            rows.cells.insert(key(row), (None, version));
        }
        self.changed.notify_all();
        (
            200,
            format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms()),
        )
    }
}

/// A cell as a machine sees it: it finds servers at addresses of its own.
fn seen(key: &Key, cell: &(Option<Vec<u8>>, u64), view: &View) -> (Option<Vec<u8>>, u64) {
    let elsewhere = view.elsewhere.lock().unwrap();
    if !["servers", "lease"].contains(&key.0.as_str()) || elsewhere.is_empty() {
        return cell.clone();
    }
    let value = cell.0.as_ref().map(|value| {
        let mut text = String::from_utf8_lossy(value).into_owned();
        for (address, there) in elsewhere.iter() {
            text = text.replace(&format!("\"{address}\""), &format!("\"{there}\""));
        }
        text.into_bytes()
    });
    (value, cell.1)
}

fn encode(key: &Key, cell: &(Option<Vec<u8>>, u64)) -> String {
    let value = match &cell.0 {
        Some(value) => format!("\"value\":{}", quote(&to_base64(value))),
        None => String::from("\"deleted\":true"),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{},{value}}}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2),
        cell.1
    )
}
