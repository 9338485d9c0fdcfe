//! Stand-in of the platform's store: rows, transactions and the feed of changes. It is always sound.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;

/// Table and key; only the empty part is in use.
type Key = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in base64 and version; no value where the row was dropped.
    rows: BTreeMap<Key, (Option<String>, u64)>,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start(ip: IpAddr) -> Arc<Store> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("its address"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row, as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = Some(base64(value.as_bytes()));
        rows.rows.insert((table.to_owned(), key.to_owned()), (value, version));
        self.changed.notify_all();
    }

    /// Drops a row.
    pub fn drop_row(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.to_owned(), key.to_owned()), (None, version));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = http::read(&mut reader) {
            // An answer takes 4 ms.
            thread::sleep(Duration::from_millis(4));
            let path = call.target().split('?').next().unwrap_or_default().to_owned();
            let (status, body) = match path.as_str() {
                "/rows-get" => (200, self.get(&call)),
                "/rows-feed" => (200, self.feed(&call)),
                "/rows-tx" => self.transact(&call),
                _ => (404, String::from("{}")),
            };
            let headers = [("content-type", "application/json")];
            if http::write(&mut out, &format!("HTTP/1.1 {status} X"), &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, rows: &Rows, found: &[String]) -> String {
        format!(
            r#"{{"rows":[{}],"hasMore":false,"ver":{},"nowMs":{}}}"#,
            found.join(","),
            rows.version,
            self.started.elapsed().as_millis()
        )
    }

    fn get(&self, call: &Message) -> String {
        let (table, from, to) = (call.query("table"), call.query("from"), call.query("to"));
        let limit = call.query("limit").parse().unwrap_or(500);
        let rows = self.rows.lock().unwrap();
        let matching = rows.rows.iter().filter(|((t, key), (value, _))| {
            *t == table && value.is_some() && *key >= from && (to.is_empty() || *key < to)
        });
        let found: Vec<String> = matching.take(limit).map(|(key, row)| row_text(key, row)).collect();
        self.answer(&rows, &found)
    }

    fn feed(&self, call: &Message) -> String {
        let table = call.query("table");
        let after: u64 = call.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(call.query("waitMs").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let matching = rows.rows.iter().filter(|((t, _), (_, v))| *t == table && *v > after);
            let mut found: Vec<(u64, String)> =
                matching.map(|(key, row)| (row.1, row_text(key, row))).collect();
            found.sort();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let found: Vec<String> = found.into_iter().map(|(_, text)| text).collect();
                return self.answer(&rows, &found);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, call: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&call.body);
        let Some(body) = Json::parse(&text) else {
            return (400, String::from("{}"));
        };
        let key = |entry: &Json| (entry.text("table"), entry.text("key"));
        if body.list("put").iter().chain(&body.list("remove")).any(|e| {
            matches!(e.text("table").as_str(), "op" | "servers")
        }) {
            return (403, String::from("{}"));
        }
        let mut rows = self.rows.lock().unwrap();
        let expected = body.list("expected");
        let current = |entry: &Json| match rows.rows.get(&key(entry)) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        if expected.iter().any(|entry| current(entry) != entry.number("ver")) {
            let found: Vec<String> = expected
                .iter()
                .filter_map(|entry| rows.rows.get_key_value(&key(entry)))
                .filter(|(_, (value, _))| value.is_some())
                .map(|(key, row)| row_text(key, row))
                .collect();
            return (412, self.answer(&rows, &found));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in body.list("put") {
            rows.rows.insert(key(&entry), (Some(entry.text("value")), version));
        }
        for entry in body.list("remove") {
            rows.rows.insert(key(&entry), (None, version));
        }
        self.changed.notify_all();
        (200, self.answer(&rows, &[]))
    }
}

fn row_text((table, key): &Key, (value, version): &(Option<String>, u64)) -> String {
    let rest = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => String::from(r#""deleted":true"#),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},{rest}}}"#)
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for at in 0..4 {
            if at <= part.len() {
                out.push(SIGNS[(word >> (18 - 6 * at) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
