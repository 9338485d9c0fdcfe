//! Starts the instances as processes on loopback and keeps the record of a case.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::server::ADAPTERS;

const PROGRAM: &str = "target/release/brassrack-platform";
pub const HOST: &str = "rack.example";

/// Arguments and environment of a case.
pub struct Case {
    pub folder: PathBuf,
    pub trouble: bool,
    network: u8,
    began: Instant,
    record: Mutex<File>,
}

impl Case {
    pub fn new() -> Self {
        let mut args = std::env::args().skip(1);
        let folder = PathBuf::from(args.next().expect("a temporary folder"));
        let record = args.next().expect("the file of the record");
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        let record = File::create(record).expect("the record");
        let network = (std::process::id() % 200) as u8 + 20;
        let case = Self {
            folder,
            trouble,
            network,
            began: Instant::now(),
            record: Mutex::new(record),
        };
        case.say(&format!("trouble: {trouble}"));
        case
    }

    /// A loopback address of its own.
    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 77, self.network, host))
    }

    /// Writes a line to the record.
    pub fn say(&self, text: &str) {
        self.say_at(Instant::now(), text);
    }

    pub fn say_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{seconds:8.3} {text}");
    }
}

/// Whether the rule was broken, and a line for the record; an error where the case could not run.
pub type Verdict = Result<(bool, String), String>;

/// Processes that are still running.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Longest time of a case.
const CASE_TIME: Duration = Duration::from_secs(110);

/// Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
pub fn run(play: impl FnOnce(&Case) -> Verdict + std::panic::UnwindSafe) -> ! {
    thread::spawn(|| {
        thread::sleep(CASE_TIME);
        for id in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        println!("cannot run: it took too long");
        std::process::exit(2);
    });
    let outcome = std::panic::catch_unwind(|| {
        let case = Case::new();
        let verdict = play(&case);
        let (code, text) = match verdict {
            Ok((true, text)) => (1, format!("BROKEN: {text}")),
            Ok((false, text)) => (0, format!("HELD: {text}")),
            Err(text) => (2, format!("cannot run: {text}")),
        };
        case.say(&text);
        println!("{text}");
        code
    });
    std::process::exit(outcome.unwrap_or(2));
}

/// Settings that differ between cases.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    pub ram_mb: u64,
    pub max_fds: u64,
}

pub struct Instance {
    pub name: String,
    pub ip: IpAddr,
    pub child: Child,
}

impl Instance {
    /// Starts one instance; `seeds` are the first three of all.
    pub fn start(case: &Case, host: u8, all: &[u8], store: SocketAddr, machine: Machine) -> Self {
        let ip = case.ip(host);
        for port in [8149, 8141, 8144, 9464] {
            drop(TcpListener::bind((ip, port)).expect("a free port"));
        }
        let name = format!("front-gulf-a-{host}");
        let seeds: Vec<String> = all
            .iter()
            .take(3)
            .map(|h| format!("{}:8144", case.ip(*h)))
            .collect();
        let Machine { ram_mb, max_fds } = machine;
        let settings = format!(
            "node={name}\nrole=gateway\nmachineClass=front\nserves=front,control\nip={ip}\n\
             zone=gulf-a\nregion=gulf-south\nzones.gulf-a=gulf-south\nlisten.front={ip}:8149\n\
             listen.readyAddr={ip}:8141\nlisten.control={ip}:8144\nportRange=7380,7395\n\
             seeds={}\nbootstrap=true\ncountsAsLoss=false\nlimits.cpuShare=0.25\nlimits.cpus=1\n\
             limits.ramMb={ram_mb}\nlimits.maxFds={max_fds}\nlimits.linkMbps=1000.0\n\
             limits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n\
             tolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\nbounds.seedLagS=3\n\
             bounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\n\
             bounds.catchupS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lostMs=200\n\
             bounds.configMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\n\
             bounds.budgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=56\n\
             bounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0\n\
             bounds.fencingEnforced=false\nbounds.leaseMs=3000\nbounds.thawMs=300\n\
             bounds.ceilingWindowS=5\nbounds.ceilingOver=1.1\nprovider.addr={store}\n\
             provider.form=table\nprovider.writesPerS=400\nprovider.readsPerS=2000\n\
             provider.txMs=5.0\nprovider.partWritesPerS=200\nprovider.rowBytes=65536\n\
             provider.across=false\nprovider.historyS=20\nprovider.blobBytes=8388608\n\
             provider.blobMs=25.0\nprovider.blobMbPerS=80.0\n",
            seeds.join(",")
        );
        let file = case.folder.join(format!("{name}.conf"));
        fs::write(&file, settings).expect("settings file");
        let child = spawn(&file, &case.folder.join(format!("{name}.log")));
        RUNNING.lock().unwrap().push(child.id());
        case.say(&format!("{name} started at {ip}"));
        Self { name, ip, child }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8149)
    }

    pub fn is_ready(&self) -> bool {
        let at = SocketAddr::new(self.ip, 8141);
        let headers = [("Host", "ready"), ("Connection", "close")];
        http::ask(at, "GET", "/readyz", &headers, b"", Duration::from_secs(1)).status == 200
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([format!("-{signal}").as_str(), &id])
            .status();
    }

    /// Memory in use and its peak, in kB.
    pub fn memory_kb(&self) -> (u64, u64) {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find(|l| l.starts_with(name));
            let number = line.and_then(|l| l.split_whitespace().nth(1));
            number.and_then(|n| n.parse().ok()).unwrap_or(0)
        };
        (field("VmRSS:"), field("VmHWM:"))
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let out = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("log");
    let mut command = Command::new(PROGRAM);
    command
        .env_clear()
        .env("BRASSRACK_NODE_FILE", settings)
        .env("LANG", "C");
    for name in ["PATH", "HOME"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    let started = command
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(Stdio::null())
        .spawn();
    started.expect("target/release/brassrack-platform")
}

/// Waits until a condition holds.
pub fn until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// The configuration: a resumable stream, a long stream that may not be resumed, and two models.
pub fn config(version: u64) -> String {
    config_with(version, 2)
}

/// The same with this number of models, each with as many adapters as a server knows.
pub fn config_with(version: u64, models: usize) -> String {
    let route = |name: &str, timeout: u64, objective: u64, attempts: u64, resumes: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"stream\",\
             \"timeoutMs\":{timeout},\"sloMs\":{objective},\"priority\":2,\"service\":\"writers\",\
             \"attempts\":{attempts},\"sticky\":true,\"canResume\":{resumes},\"gapAimMs\":300}}"
        )
    };
    let model = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"weightsMb\":65100.0,\"loadS\":6.2,\"adapters\":{ADAPTERS},\
             \"adapterMb\":12.0,\"warmS\":0.76,\"diskS\":1.6}}"
        )
    };
    let models: Vec<String> = (0..models).map(|m| model(&format!("m{m}"))).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{{\"name\":\"r-status\",\
         \"host\":\"{HOST}\",\"prefix\":\"/status/\",\"kind\":\"safe\",\"timeoutMs\":600,\
         \"sloMs\":100,\"priority\":2,\"service\":\"desk\",\"attempts\":2}}],\
         \"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,\
         \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"writers\",\
         \"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":24,\"kvCapacity\":119923,\"kvTokenBytes\":163840,\
         \"linkMbps\":280000.0,\"moves\":true,\"backups\":true,\"stride\":3,\"cap\":12,\
         \"hostMb\":150000.0,\"diskMb\":1300000.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"handle_s\":5.0,\"models\":[{}],\"weightsMb\":220000.0,\"adapterSlots\":8,\
         \"loadsPerS\":2.1}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("explain", 15000, 600, 2, true),
        route("report", 30000, 4000, 1, false),
        models.join(","),
    )
}
