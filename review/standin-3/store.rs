//! A stand-in of the platform's store, in its form `table`.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, respond, Request, Served};
use crate::json::{decode64, encode64, parse, Json};

/// How the store treats the calls of one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Serves them.
    Open,
    /// No byte passes in either direction.
    Cut,
    /// Resets the connections of writing calls and does nothing; serves reading ones.
    ResetWrites,
}

type Key = (String, String);

#[derive(Default)]
struct Rows {
    cells: BTreeMap<Key, (Option<Vec<u8>>, u64)>,
    version: u64,
}

pub struct Store {
    /// When the server list was read last, by the address at which it was.
    list_reads: Mutex<BTreeMap<IpAddr, Instant>>,
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

/// Time of a call.
const CALL_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            list_reads: Mutex::default(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        })
    }

    /// An address for one machine, and its path.
    pub fn view(self: &Arc<Self>, ip: IpAddr) -> (SocketAddr, Arc<Mutex<Path>>) {
        let listener = TcpListener::bind((ip, 0)).expect("store address");
        let address = listener.local_addr().expect("store address");
        let path = Arc::new(Mutex::new(Path::Open));
        let (store, seen) = (Arc::clone(self), Arc::clone(&path));
        let handler = move |request: &Request, to: &mut TcpStream| store.handle(request, to, &seen);
        http::serve(
            listener,
            Arc::new(AtomicBool::new(false)),
            Arc::new(handler),
        );
        (address, path)
    }

    pub fn put(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = value.map(String::into_bytes);
        rows.cells
            .insert((table.into(), key.into()), (value, version));
        self.changed.notify_all();
    }

    /// When the server list was read last at an address.
    pub fn list_read(&self, at: IpAddr) -> Option<Instant> {
        self.list_reads.lock().unwrap().get(&at).copied()
    }

    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let (value, _) = rows.cells.get(&(table.into(), key.into()))?;
        String::from_utf8(value.clone()?).ok()
    }

    /// A cut path delivers nothing, later neither: the connection is dead once it is over.
    fn wait_out(path: &Mutex<Path>) -> io::Result<()> {
        let mut cut = false;
        while *path.lock().unwrap() == Path::Cut {
            cut = true;
            std::thread::sleep(Duration::from_millis(5));
        }
        if cut {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }

    fn handle(
        &self,
        request: &Request,
        to: &mut TcpStream,
        path: &Mutex<Path>,
    ) -> io::Result<Served> {
        Self::wait_out(path)?;
        let writes = request.path() == "/rows-tx";
        if writes && *path.lock().unwrap() == Path::ResetWrites {
            return Ok(Served::Close);
        }
        std::thread::sleep(CALL_TIME);
        let (status, body) = match request.path() {
            "/rows-get" => self.get(request),
            "/rows-feed" => self.feed(request, path),
            "/rows-tx" => self.transact(&request.body),
            _ => (404, String::from("{}")),
        };
        Self::wait_out(path)?;
        if request.path().starts_with("/rows-") && request.query("table") == "servers" {
            let at = to.local_addr()?.ip();
            self.list_reads.lock().unwrap().insert(at, Instant::now());
        }
        respond(
            to,
            status,
            &[("Content-Type", "application/json"), ("Store-Era", "0")],
            body.as_bytes(),
        )
    }

    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis() + 1
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let (table, from) = (request.query("table"), request.query("from"));
        let limit: usize = request.query("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let range = rows.cells.range((table.clone(), from)..);
        let of_table = range.take_while(|((t, _), _)| *t == table);
        let found: Vec<String> = of_table
            .filter(|(_, (value, _))| value.is_some())
            .take(limit + 1)
            .map(|(key, cell)| encode(key, cell))
            .collect();
        let more = found.len() > limit;
        let page = found[..found.len().min(limit)].join(",");
        let body = format!(
            "{{\"rows\":[{page}],\"hasMore\":{more},\"ver\":{},\"nowMs\":{}}}",
            rows.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, request: &Request, path: &Mutex<Path>) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .cells
                .iter()
                .filter(|((t, _), (_, ver))| *t == table && *ver > after)
                .collect();
            found.sort_by_key(|(_, (_, ver))| *ver);
            let is_cut = *path.lock().unwrap() == Path::Cut;
            if !found.is_empty() || Instant::now() >= end || is_cut {
                let found: Vec<String> = found.into_iter().map(|(k, c)| encode(k, c)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}",
                    found.join(","),
                    rows.version,
                    self.now_ms()
                );
                return (200, body);
            }
            rows = self
                .changed
                .wait_timeout(rows, Duration::from_millis(20))
                .unwrap()
                .0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = parse(body) else {
            return (400, String::from("{}"));
        };
        let key = |row: &Json| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let mut rows = self.rows.lock().unwrap();
        let holds = |rows: &Rows, check: &Json| {
            let cell = rows.cells.get(&key(check)).filter(|(v, _)| v.is_some());
            cell.map_or(0, |(_, ver)| *ver) == check.get("ver").number().unwrap_or(0)
        };
        let checks = body.get("expected").list();
        if !checks.iter().all(|check| holds(&rows, check)) {
            let now: Vec<String> = checks
                .iter()
                .filter_map(|c| Some(encode(&key(c), rows.cells.get(&key(c))?)))
                .collect();
            return (
                412,
                format!("{{\"rows\":[{}],\"ver\":{}}}", now.join(","), rows.version),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for put in body.get("put").list() {
            let value = decode64(put.get("value").text());
            rows.cells.insert(key(put), (Some(value), version));
        }
        for removed in body.get("remove").list() {
            rows.cells.insert(key(removed), (None, version));
        }
        self.changed.notify_all();
        (
            200,
            format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms()),
        )
    }
}

fn encode((table, key): &Key, (value, ver): &(Option<Vec<u8>>, u64)) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{}\"", encode64(value)),
        None => String::from("\"deleted\":true"),
    };
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"ver\":{ver},{rest}}}",
        crate::json::quote(table),
        crate::json::quote(key)
    )
}
