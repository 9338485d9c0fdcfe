//! A small deployment on loopback: the platform, plain servers and instances as processes.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::engine::{Engine, FITS};
use crate::http::{self, Answer, Door, Request, reply};
use crate::proxy::Proxy;
use crate::store::{Store, View};

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// `heartbeatMs` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Arc<Record>> {
        let file = File::create(folder.join("record.txt"))?;
        let file = Mutex::new(file);
        Ok(Arc::new(Record {
            begun: Instant::now(),
            file,
        }))
    }

    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}");
    }

    /// The same on the screen too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} s  {text}", self.now());
    }
}

pub fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

/// Loopback addresses that nobody uses: each one is tried before it is given out.
pub struct Addresses {
    network: [u8; 2],
    next: u8,
}

impl Addresses {
    pub fn new() -> Addresses {
        // Processes that start at the same moment have different ids.
        let id = std::process::id().wrapping_mul(0x9e37_79b1);
        Addresses {
            network: [64 + (id >> 16 & 127) as u8, (id >> 24) as u8],
            next: 2,
        }
    }

    pub fn next(&mut self) -> IpAddr {
        loop {
            let ip = IpAddr::V4(Ipv4Addr::new(
                127,
                self.network[0],
                self.network[1],
                self.next,
            ));
            self.next += 1;
            let is_free = |port: u16| TcpListener::bind((ip, port)).is_ok();
            if [8080, 8141, 8142, 8144, 8149, 9464]
                .into_iter()
                .all(is_free)
            {
                return ip;
            }
        }
    }
}

/// How a plain server answers.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// It is full, turns requests away and wants nothing for this many seconds.
    pub turns_away: Option<u64>,
    /// Time that a request takes.
    pub work: Duration,
    /// Requests that it has to turn away in a second, for want of a slot, to fall over; it says so.
    pub brittle: Option<usize>,
}

/// Slots of a plain server.
pub const SLOTS: usize = 6;
/// Time until a server that fell over is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Servers of the service `annex`, which come after those of `desk`.
const ANNEX_SERVERS: u32 = 2;

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: f64,
    pub id: String,
    /// Status that the server answered.
    pub status: u16,
}

/// A plain server.
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub door: Arc<Door>,
    born: Mutex<u128>,
    sequence: AtomicU64,
    reaches_store: AtomicBool,
    running: Mutex<usize>,
    /// Times at which it turned requests away.
    rejected: Mutex<Vec<f64>>,
    pub falls: AtomicU64,
    store: Arc<Store>,
    record: Arc<Record>,
    pub behaviour: Mutex<Behaviour>,
    pub arrivals: Mutex<Vec<Arrival>>,
}

impl Server {
    pub fn start(
        number: u32,
        service: &'static str,
        ip: IpAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Server> {
        let server = Arc::new(Server {
            id: format!("i-{number:08x}"),
            service,
            door: Door::new(SocketAddr::new(ip, 8080)),
            born: Mutex::default(),
            sequence: AtomicU64::new(0),
            reaches_store: AtomicBool::new(true),
            running: Mutex::default(),
            rejected: Mutex::default(),
            falls: AtomicU64::new(0),
            store: Arc::clone(store),
            record: Arc::clone(record),
            behaviour: Mutex::new(Behaviour {
                turns_away: None,
                work: Duration::from_millis(15),
                brittle: None,
            }),
            arrivals: Mutex::default(),
        });
        server.boot();
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.write_entry();
            }
        });
        server
    }

    /// A new incarnation.
    fn boot(self: &Arc<Self>) {
        *self.born.lock().unwrap() = unix_ms();
        *self.running.lock().unwrap() = 0;
        self.rejected.lock().unwrap().clear();
        self.sequence.store(0, Ordering::SeqCst);
        let serving = Arc::clone(self);
        self.door
            .open(move |request, stream| serving.answer(request, stream));
        self.write_entry();
    }

    fn write_entry(&self) {
        if !self.reaches_store.load(Ordering::SeqCst) || !self.door.is_open() {
            return;
        }
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"east-a\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{sequence},\"born\":{}}}",
            self.service,
            self.door.address,
            self.born.lock().unwrap()
        );
        self.store.put("servers", &self.id, Some(entry.as_bytes()));
    }

    /// Cuts the server off from the store, or heals the cut. Its entry is removed after three
    /// heartbeat intervals of silence; it writes again as soon as it can.
    pub fn reach_store(self: &Arc<Self>, reaches: bool) {
        self.reaches_store.store(reaches, Ordering::SeqCst);
        if reaches {
            self.write_entry();
            self.record.say(&format!(
                "{} reaches the store again and writes its entry",
                self.id
            ));
            return;
        }
        self.record
            .say(&format!("{} is cut off from the store", self.id));
        let server = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            if !server.reaches_store.load(Ordering::SeqCst) {
                server.store.put("servers", &server.id, None);
                server
                    .record
                    .say(&format!("the store removes the entry of {}", server.id));
            }
        });
    }

    /// Turns a request away for want of a slot; too many in a second, and it falls over.
    fn reject(self: &Arc<Self>, bound: usize) {
        let now = self.record.now();
        let count = {
            let mut rejected = self.rejected.lock().unwrap();
            rejected.retain(|at| *at > now - 1.0);
            rejected.push(now);
            rejected.len()
        };
        if count <= bound || !self.door.shut() {
            return;
        }
        self.falls.fetch_add(1, Ordering::SeqCst);
        self.record.say(&format!(
            "{} turns {count} requests away in a second: it falls over",
            self.id
        ));
        let server = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(BACK_AFTER);
            server.boot();
            server.record.line(&format!("{} is back", server.id));
        });
    }

    fn answer(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("brassrack-request-id").to_owned();
        let Behaviour {
            turns_away,
            work,
            brittle,
        } = self.behaviour.lock().unwrap().clone();
        let mut own = format!("brassrack-instance-id: {}\r\n", self.id);
        if let Some(bound) = brittle {
            own += &format!("server-brittle: {bound}\r\n");
        }
        if request.path == "/healthz" {
            return reply(stream, 200, &own, "");
        }
        let target = request.header("brassrack-target-instance");
        if !target.is_empty() && target != self.id {
            return reply(stream, 421, &own, "");
        }
        if id.is_empty() {
            return reply(stream, 400, "brassrack-not-executed: 1\r\n", "");
        }
        let running = {
            let mut running = self.running.lock().unwrap();
            let before = *running;
            if turns_away.is_none() && (brittle.is_none() || before < SLOTS) {
                *running += 1;
            }
            before
        };
        let load = format!("brassrack-server-load: {running},0,{SLOTS}\r\n");
        let echo = format!("{own}brassrack-request-id: {id}\r\n{load}");
        let is_full = brittle.is_some() && running >= SLOTS;
        let status = if turns_away.is_some() || is_full {
            503
        } else {
            200
        };
        let at = self.record.now();
        self.arrivals.lock().unwrap().push(Arrival {
            at,
            id: id.clone(),
            status,
        });
        if let Some(seconds) = turns_away {
            self.record.line(&format!(
                "{id} reaches {}: 503, Retry-After {seconds}",
                self.id
            ));
            let refused = format!("{echo}brassrack-not-executed: 1\r\nretry-after: {seconds}\r\n");
            return reply(stream, 503, &refused, "");
        }
        if let Some(bound) = brittle.filter(|_| is_full) {
            self.record
                .line(&format!("{id} reaches {}, which has no slot: 503", self.id));
            let refused = format!("{echo}brassrack-not-executed: 1\r\n");
            let whole = reply(stream, 503, &refused, "");
            self.reject(bound);
            return whole;
        }
        self.record.line(&format!(
            "{id} reaches {} of {} and runs",
            self.id, self.service
        ));
        let born = *self.born.lock().unwrap();
        thread::sleep(work);
        if *self.born.lock().unwrap() == born {
            *self.running.lock().unwrap() -= 1;
        }
        let signed = format!("{echo}brassrack-response-signature: {}.{id}\r\n", self.id);
        reply(stream, 200, &signed, &format!("answer to {id}"))
    }
}

/// Configuration with a short safe route, a long one, one for calls that may run once, and one for
/// streams.
///
/// Each version after 7 has one safe route more, and moves the route `moved` from the service `desk` to
/// `annex` or back.
pub fn config(version: u32) -> String {
    config_with(version, 1)
}

/// The same with this number of models.
fn config_with(version: u32, models: usize) -> String {
    let route = |name: &str, kind: &str, timeout: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"sloMs\":100,\"priority\":2,\"service\":\"desk\",\
             \"attempts\":2,\"sticky\":false,\"canResume\":false}}"
        )
    };
    let added: String = (8..=version)
        .map(|added| format!(",{}", route(&format!("added{added}"), "safe", 8000)))
        .collect();
    let moved = route("moved", "unsafe", 8000);
    let explain = format!(
        "{{\"name\":\"explain\",\"host\":\"{HOST}\",\"prefix\":\"/explain/\",\
         \"kind\":\"stream\",\"timeoutMs\":8000,\"sloMs\":600,\"priority\":1,\
         \"service\":\"assist\",\"attempts\":2,\"sticky\":true,\"canResume\":true,\
         \"gapAimMs\":300}}"
    );
    let models: Vec<String> = (0..models)
        .map(|model| {
            format!(
                "{{\"name\":\"m{model}\",\"weightsMb\":65100.0,\"loadS\":6.2,\"adapters\":0,\
                 \"adapterMb\":12.0,\"warmS\":0.3,\"diskS\":0.3}}"
            )
        })
        .collect();
    let models = models.join(",");
    let engine = format!(
        "{{\"slots\":64,\"kvCapacity\":119923,\"kvTokenBytes\":163840,\"linkMbps\":280000.0,\
         \"stride\":3,\"cap\":12,\"hostMb\":150000.0,\"diskMb\":1300000.0,\"pinMs\":4000.0,\
         \"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{models}],\"weightsMb\":220000.0,\"adapterSlots\":8,\"loadsPerS\":2.1}}"
    );
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{},{},{explain}{added}],\"services\":[{{\"name\":\"desk\",\
         \"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"annex\",\"healthPath\":\"/healthz\",\"maxConns\":370,\
         \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"assist\",\"healthPath\":\"/healthz\",\"maxConns\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        route("status", "safe", 1500),
        route("activate", "unsafe", 15000),
        route("survey", "safe", 12000).replace("\"sloMs\":100", "\"sloMs\":4000"),
        if version % 2 == 0 {
            moved.replace("\"desk\"", "\"annex\"")
        } else {
            moved
        }
    )
}

/// All instances, to be ended where the case cannot go on.
static STARTED: Mutex<Vec<Arc<Instance>>> = Mutex::new(Vec::new());

/// Ends all instances.
pub fn end_all() {
    let started = STARTED.lock().map(|list| list.clone()).unwrap_or_default();
    for instance in started {
        instance.kill();
    }
}

/// An instance of the program of the deploy file, as a process.
pub struct Instance {
    pub name: String,
    pub ip: IpAddr,
    child: Mutex<Option<Child>>,
    file: PathBuf,
    log: PathBuf,
    record: Arc<Record>,
}

impl Instance {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8149)
    }

    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("log of an instance");
        let child = Command::new("target/release/brassrack-platform")
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&&**name)))
            .env("BRASSRACK_NODE_FILE", &self.file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log of an instance"))
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => *self.child.lock().unwrap() = Some(child),
            Err(error) => {
                panic!("the program of the deploy file cannot be started: {error}");
            }
        }
        self.record
            .line(&format!("{} is started at {}", self.name, self.ip));
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the process, or lets it go on.
    pub fn signal(&self, signal: &str) {
        let id = self.child.lock().unwrap().as_ref().map_or(0, Child::id);
        if id > 0 {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(id.to_string())
                .status();
        }
    }

    /// The status with which the process ended by itself, if it has.
    pub fn ended(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        Some(status.to_string())
    }

    /// Memory of the process in kB.
    pub fn memory_kb(&self) -> u64 {
        let id = self.child.lock().unwrap().as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status
            .lines()
            .find(|l| l.starts_with("VmRSS"))
            .unwrap_or_default();
        line.split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse().ok())
            .unwrap_or(0)
    }

    /// Status of the readiness check; 0 without an answer.
    pub fn ready_status(&self) -> u16 {
        let text = format!(
            "GET /readyz HTTP/1.1\r\nhost: {}\r\nconnection: close\r\n\r\n",
            self.ip
        );
        let at = SocketAddr::new(self.ip, 8141);
        http::call(at, &text, Duration::from_secs(1)).map_or(0, |answer| answer.status)
    }
}

/// The platform, its servers and the instances.
pub struct Rig {
    pub store: Arc<Store>,
    /// How each instance sees the store.
    pub views: Vec<Arc<View>>,
    /// Paths of the last instance to the others, which can be cut.
    pub links: Vec<Arc<Proxy>>,
    /// Paths of the first instance to the plain servers, which can be cut.
    pub paths: Vec<Arc<Proxy>>,
    pub servers: Vec<Arc<Server>>,
    pub engines: Vec<Arc<Engine>>,
    pub instances: Vec<Arc<Instance>>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

impl Rig {
    /// Plain servers and instances.
    pub fn start(servers: u32, instances: usize, record: &Arc<Record>) -> Rig {
        Self::launch(servers, 0, "", 1, instances, record)
    }

    /// Engines and instances; the engines fall over on this part of a prompt, if it has a name.
    pub fn start_engines(
        engines: u32,
        instances: usize,
        bad_part: &str,
        record: &Arc<Record>,
    ) -> Rig {
        Self::launch(1, engines, bad_part, 1, instances, record)
    }

    /// Instances before engines that hold a part of many models. The last one, in a zone of its own, is
    /// not started yet, and finds the others through paths that can be cut.
    pub fn start_models(
        engines: u32,
        models: usize,
        instances: usize,
        record: &Arc<Record>,
    ) -> Rig {
        Self::launch(1, engines, "", models, instances, record)
    }

    /// Starts everything and waits until all instances are ready; ends the case with 2 otherwise.
    fn launch(
        servers: u32,
        engines: u32,
        bad_part: &str,
        models: usize,
        instances: usize,
        record: &Arc<Record>,
    ) -> Rig {
        let mut addresses = Addresses::new();
        let store = Store::start();
        store.put("op", "config", Some(config_with(7, models).as_bytes()));
        let servers: Vec<Arc<Server>> = (1..=servers + ANNEX_SERVERS)
            .map(|number| {
                let service = if number <= servers { "desk" } else { "annex" };
                Server::start(number, service, addresses.next(), &store, record)
            })
            .collect();
        let engines = (1..=engines)
            .map(|number| {
                let known: Vec<String> = (0..models).map(|model| format!("m{model}")).collect();
                let first = (number as usize - 1) * FITS % models;
                let held = known.iter().skip(first).take(FITS).cloned().collect();
                Engine::start(
                    number,
                    addresses.next(),
                    bad_part,
                    (known, held),
                    &store,
                    record,
                )
            })
            .collect();
        let folder = std::env::temp_dir().join(format!("brassrack-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        let views: Vec<Arc<View>> = (0..instances).map(|_| Arc::default()).collect();
        let stores: Vec<SocketAddr> = views
            .iter()
            .map(|view| {
                let address = SocketAddr::new(addresses.next(), 8142);
                store.serve_view(address, Arc::clone(view));
                address
            })
            .collect();
        let paths: Vec<Arc<Proxy>> = servers
            .iter()
            .map(|server| Proxy::start(addresses.next(), server.door.address))
            .collect();
        if let Some(view) = views.first() {
            let mut elsewhere = view.elsewhere.lock().unwrap();
            for (server, path) in servers.iter().zip(&paths) {
                elsewhere.insert(server.door.address.to_string(), path.address.to_string());
            }
        }
        let ips: Vec<IpAddr> = (0..instances).map(|_| addresses.next()).collect();
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:8144")).collect();
        let is_apart = |number: usize| models > 1 && number + 1 == instances;
        let mut links = Vec::new();
        if let (true, Some(view)) = (models > 1, views.last()) {
            let mut elsewhere = view.elsewhere.lock().unwrap();
            for ip in &ips[..instances - 1] {
                let to = SocketAddr::new(*ip, 8144);
                let link = Proxy::start_at(SocketAddr::new(addresses.next(), 8144), to);
                elsewhere.insert(to.to_string(), link.address.to_string());
                links.push(link);
            }
        }
        let start = |(number, ip): (usize, &IpAddr)| {
            let zone = if is_apart(number) { "east-b" } else { "east-a" };
            let name = format!("front-{zone}-{}", number + 1);
            let file = folder.join(format!("{name}.conf"));
            // The one apart finds the holder in the store; its only seed is its own address.
            let own = format!("{ip}:8144");
            let seeds = if is_apart(number) {
                own
            } else {
                seeds.join(",")
            };
            let text = settings(&name, zone, *ip, &seeds, stores[number]);
            fs::write(&file, text).expect("settings file");
            let instance = Instance {
                name: name.clone(),
                ip: *ip,
                child: Mutex::default(),
                file,
                log: folder.join(format!("{name}.log")),
                record: Arc::clone(record),
            };
            let instance = Arc::new(instance);
            STARTED.lock().unwrap().push(Arc::clone(&instance));
            if !is_apart(number) {
                instance.start();
            }
            instance
        };
        let instances = ips.iter().enumerate().map(start).collect();
        let rig = Rig {
            store,
            views,
            links,
            paths,
            servers,
            engines,
            instances,
            record: Arc::clone(record),
            folder,
        };
        let end = Instant::now() + Duration::from_secs(15);
        let is_ready =
            |(number, i): (usize, &Arc<Instance>)| is_apart(number) || i.ready_status() == 200;
        while !rig.instances.iter().enumerate().all(is_ready) {
            if Instant::now() > end {
                record.say("the instances are not ready after 15 s: the case cannot run");
                rig.stop();
                std::process::exit(2);
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Links to the holder, and bounds that hold from `stableWindowMs` after the start.
        thread::sleep(Duration::from_secs(4));
        record.say("all instances are ready and in touch");
        rig
    }

    /// Ends all instances and removes their files.
    pub fn stop(&self) {
        for instance in &self.instances {
            instance.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are in {}", self.folder.display());
        }
    }
}

/// Settings of a small deployment, as the pages show them.
fn settings(name: &str, zone: &str, ip: IpAddr, seeds: &str, store: SocketAddr) -> String {
    format!(
        "node={name}\nrole=gateway\nmachineClass=front\nserves=front,control\nip={ip}\n\
         zone={zone}\nregion=east\nzones.east-a=east\nzones.east-b=east\nlisten.front={ip}:8149\n\
         listen.readyAddr={ip}:8141\nlisten.control={ip}:8144\nportRange=7380,7395\n\
         seeds={seeds}\nbootstrap=true\ncountsAsLoss=false\nlimits.cpuShare=0.25\nlimits.cpus=1\n\
         limits.ramMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n\
         discovery=platform\nentry=vip\nheartbeatMs=1200\n\
         contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n\
         tolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\nbounds.seedLagS=3\n\
         bounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\nbounds.catchupS=4\n\
         bounds.drainMs=2000\nbounds.graceS=8\nbounds.lostMs=200\nbounds.configMs=2000\n\
         bounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\nbounds.budgetRatio=0.2\n\
         bounds.budgetWindowS=10\nbounds.budgetSlack=56\nbounds.recoveryS=12\nbounds.passMs=120\n\
         bounds.retryAfterS=0\nbounds.fencingEnforced=false\nbounds.leaseMs=3000\n\
         bounds.thawMs=300\nbounds.ceilingWindowS=5\nbounds.ceilingOver=1.1\n\
         provider.addr={store}\nprovider.form=table\nprovider.writesPerS=400\n\
         provider.readsPerS=2000\nprovider.txMs=5.0\nprovider.partWritesPerS=200\n\
         provider.rowBytes=65536\nprovider.across=false\nprovider.historyS=20\n\
         provider.blobBytes=8388608\nprovider.blobMs=25.0\nprovider.blobMbPerS=80.0\n"
    )
}

/// A try of an ordinary client, on a new connection.
#[derive(Debug, Clone)]
pub struct Try {
    pub at: f64,
    pub instance: usize,
    pub client: usize,
    pub id: String,
    /// Status, or why there is none.
    pub end: Result<u16, String>,
}

/// Ordinary clients, each of which tries a safe request on a new connection at a pace.
pub struct Clients {
    pub tries: Arc<Mutex<Vec<Try>>>,
    going: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    pub fn start(rig: &Rig, each: usize, pace: Duration) -> Clients {
        let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
        let going = Arc::new(AtomicBool::new(true));
        let mut threads = Vec::new();
        for (number, instance) in rig.instances.iter().enumerate() {
            for client in 0..each {
                let (tries, going) = (Arc::clone(&tries), Arc::clone(&going));
                let (instance, record) = (Arc::clone(instance), Arc::clone(&rig.record));
                threads.push(thread::spawn(move || {
                    thread::sleep(pace * client as u32 / each as u32);
                    let mut count = 0;
                    while going.load(Ordering::SeqCst) {
                        let began = Instant::now();
                        count += 1;
                        let id = format!("m{}c{client}n{count}", number + 1);
                        let at = record.now();
                        let end = ask(instance.callers(), &id);
                        let text = match &end {
                            Ok(status) => format!("{status}"),
                            Err(error) => format!("no answer ({error})"),
                        };
                        record.line(&format!("client: {id} to {}: {text}", instance.name));
                        tries.lock().unwrap().push(Try {
                            at,
                            instance: number,
                            client,
                            id,
                            end,
                        });
                        thread::sleep(pace.saturating_sub(began.elapsed()));
                    }
                }));
            }
        }
        Clients {
            tries,
            going,
            threads,
        }
    }

    /// Ends the clients and returns their tries.
    pub fn stop(self) -> Vec<Try> {
        self.going.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.tries.lock().unwrap().clone()
    }
}

fn ask(to: SocketAddr, id: &str) -> Result<u16, String> {
    let text = format!(
        "GET /status/2f HTTP/1.1\r\nHost: {HOST}\r\nBrassrack-Request-Id: {id}\r\n\
         Brassrack-Deadline: 1500\r\nConnection: close\r\n\r\n"
    );
    let answer = http::call(to, &text, Duration::from_millis(1500));
    let Answer {
        status,
        headers,
        body,
    } = answer.map_err(|error| error.kind().to_string())?;
    if status == 200 && body != format!("answer to {id}").as_bytes() {
        return Err(String::from("a body that is not the server's"));
    }
    let is_signed = headers.contains_key("brassrack-response-signature");
    if status == 200 && !is_signed {
        return Err(String::from("a success without the server's signature"));
    }
    Ok(status)
}

/// Number of tries for each end.
pub fn ends(tries: &[Try]) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for one in tries {
        let end = match &one.end {
            Ok(status) => status.to_string(),
            Err(error) => error.clone(),
        };
        *ends.entry(end).or_default() += 1;
    }
    ends
}
