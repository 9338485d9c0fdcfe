//! Stand-in of a plain server: it lists itself, runs requests one at a time on each connection and
//! answers each of them, unless its answers are to be lost.

use std::io::BufReader;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;
use crate::site::unix_ms;
use crate::store::Store;

/// Time between two descriptions of a server in the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(15);

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born: u64,
    slots: u32,
    running: AtomicU64,
    signed: AtomicU64,
    /// Share of requests, in percent, that run and whose answer is lost with their connection.
    pub lost_percent: AtomicU64,
    draw: AtomicU64,
    quiet: AtomicBool,
    record: Arc<Record>,
    /// Ids of the requests that ran.
    pub ran: Mutex<Vec<String>>,
}

impl Server {
    pub fn start(ip: IpAddr, id: &str, service: &str, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Server> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let server = Arc::new(Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("its address"),
            born: unix_ms(),
            slots: 6,
            running: AtomicU64::new(0),
            signed: AtomicU64::new(0),
            lost_percent: AtomicU64::new(0),
            draw: AtomicU64::new(unix_ms()),
            quiet: AtomicBool::new(false),
            record: Arc::clone(record),
            ran: Mutex::default(),
        });
        let (listed, store) = (Arc::clone(&server), Arc::clone(store));
        thread::spawn(move || {
            for sequence in 1.. {
                if listed.quiet.load(Ordering::Relaxed) {
                    return;
                }
                store.put("servers", &listed.id, &listed.description(sequence));
                thread::sleep(HEARTBEAT);
            }
        });
        let serving = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&serving);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    fn description(&self, sequence: u64) -> String {
        format!(
            r#"{{"service":"{}","addr":"{}","zone":"gulf-a","version":"1","slots":{},"state":"ready","coldLeftMs":0,"seq":{sequence},"born":{}}}"#,
            self.service, self.address, self.slots, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if !self.answer(&request, &mut out) {
                return;
            }
        }
    }

    /// Answers a request; false where the connection is closed without an answer.
    fn answer(&self, request: &Message, out: &mut TcpStream) -> bool {
        let id = request.header("brassrack-request-id").to_owned();
        if request.target() == "/healthz" {
            let headers = [("brassrack-instance-id", self.id.as_str())];
            return http::write(out, "HTTP/1.1 200 OK", &headers, b"ok").is_ok();
        }
        let target = request.header("brassrack-target-instance");
        if !target.is_empty() && target != self.id {
            let headers = [("brassrack-request-id", id.as_str()), ("brassrack-not-executed", "1")];
            return http::write(out, "HTTP/1.1 421 X", &headers, b"").is_ok();
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let load = format!("{running},0,{}", self.slots);
        if running > u64::from(self.slots) {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [
                ("brassrack-request-id", id.as_str()),
                ("brassrack-not-executed", "1"),
                ("brassrack-server-load", load.as_str()),
            ];
            return http::write(out, "HTTP/1.1 503 X", &headers, b"").is_ok();
        }
        self.ran.lock().unwrap().push(id.clone());
        thread::sleep(WORK);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.is_lost() {
            self.record.line(&format!("server {} ran {id}; its answer is lost", self.id));
            return false;
        }
        self.record.line(&format!("server {} ran {id}", self.id));
        let number = self.signed.fetch_add(1, Ordering::SeqCst);
        let signature = format!("{}.{number}", self.id);
        let headers = [
            ("brassrack-request-id", id.as_str()),
            ("brassrack-response-signature", signature.as_str()),
            ("brassrack-server-load", load.as_str()),
            ("content-type", "text/plain"),
        ];
        http::write(out, "HTTP/1.1 200 OK", &headers, &[b'x'; 800]).is_ok()
    }

    fn is_lost(&self) -> bool {
        let before = self.draw.load(Ordering::Relaxed);
        let next = before.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        self.draw.store(next, Ordering::Relaxed);
        (next >> 33) % 100 < self.lost_percent.load(Ordering::Relaxed)
    }
}
