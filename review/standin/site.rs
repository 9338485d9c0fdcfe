//! A small deployment on loopback: the platform's store and instances as processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;

/// The program and the variable of the deploy file.
const PROGRAM: &str = "target/release/brassrack-platform";
const SETTINGS: &str = "BRASSRACK_NODE_FILE";

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or_default()
}

/// A loopback address that this run alone uses.
pub fn address(host: u8) -> IpAddr {
    let process = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 80 + (process >> 8 & 0x1f) as u8, (process & 0xff) as u8, host))
}

fn free_port(ip: IpAddr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address").port()
}

/// Folder of this run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("brassrack-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// An instance as a process; it is killed on drop.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub log: PathBuf,
    file: PathBuf,
    child: Child,
}

/// Addresses of an instance.
#[derive(Clone, Copy)]
pub struct Ports {
    pub ip: IpAddr,
    front: u16,
    ready: u16,
    control: u16,
}

impl Ports {
    pub fn new(host: u8) -> Ports {
        let ip = address(host);
        Ports { ip, front: free_port(ip), ready: free_port(ip), control: free_port(ip) }
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.control)
    }
}

impl Instance {
    pub fn start(name: &str, ports: Ports, seeds: &[SocketAddr], store: SocketAddr, folder: &Folder) -> Instance {
        let Ports { ip, front, ready, control } = ports;
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let settings = format!(
            "node={name}\nrole=gateway\nmachineClass=front\nserves=front,control\nip={ip}\n\
             zone=gulf-a\nregion=gulf-south\nzones.gulf-a=gulf-south\n\
             listen.front={ip}:{front}\nlisten.readyAddr={ip}:{ready}\nlisten.control={ip}:{control}\n\
             portRange=7380,7395\nseeds={}\nbootstrap=true\ncountsAsLoss=false\n\
             limits.cpuShare=0.25\nlimits.cpus=1\nlimits.ramMb=260\nlimits.maxFds=4100\n\
             limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n\
             tolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\n\
             bounds.catchupS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lostMs=200\n\
             bounds.configMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\n\
             bounds.budgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=56\n\
             bounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0\nbounds.fencingEnforced=false\n\
             bounds.leaseMs=3000\nbounds.thawMs=300\nbounds.ceilingWindowS=5\nbounds.ceilingOver=1.1\n\
             provider.addr={store}\nprovider.form=table\nprovider.writesPerS=400\n\
             provider.readsPerS=2000\nprovider.txMs=5.0\nprovider.partWritesPerS=200\n\
             provider.rowBytes=65536\nprovider.across=false\nprovider.historyS=20\n\
             provider.blobBytes=8388608\nprovider.blobMs=25.0\nprovider.blobMbPerS=80.0\n",
            seeds.join(",")
        );
        let file = folder.0.join(format!("{name}.conf"));
        let log = folder.0.join(format!("{name}.log"));
        std::fs::write(&file, settings).expect("the settings can be written");
        let child = spawn(&file, &log);
        Instance {
            name: name.to_owned(),
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            control: SocketAddr::new(ip, control),
            log,
            file,
            child,
        }
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        http::ask(self.ready, "GET /readyz", &[("host", "ready")], b"", limit)
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the instance is ready; false if it is not within 15 s.
    pub fn until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.child = spawn(&self.file, &self.log);
    }

    /// Memory of the process in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmRSS")).unwrap_or_default();
        let kb: u64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
        kb / 1024
    }
}

fn spawn(file: &PathBuf, log: &PathBuf) -> Child {
    let out = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    Command::new(PROGRAM)
        .env(SETTINGS, file)
        .stdin(Stdio::null())
        .stdout(out.try_clone().expect("a log file"))
        .stderr(out)
        .spawn()
        .expect("target/release/brassrack-platform starts; build it first")
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
