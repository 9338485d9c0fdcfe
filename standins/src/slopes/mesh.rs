//! Cost of the peer protocol for each instance, at one number of instances.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use brassrack::engine::Residency;
use brassrack::peers::{FleetDelta, Mesh, MeshHandle, MeshSettings, ResidentLoad};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

use crate::meshes::{MemoryList, mesh_config, until};

/// Servers that an instance is owner of.
const SERVERS: usize = 2;

/// Replicas on a server.
const REPLICAS: usize = 8;

/// Models for each instance of the rack.
const MODELS: usize = 11;

/// Models that an instance has traffic for.
const INTEREST: usize = 20;

/// Interval of the reports of loads.
const REPORT: Duration = Duration::from_secs(1);

/// Longest time for all instances to see each other.
const SETTLE: Duration = Duration::from_mins(1);

/// Longest time that is waited for the spread of a version.
const SPREAD: Duration = Duration::from_secs(20);

/// Bytes of a page of memory.
const PAGE: f64 = 4096.0;

/// Cost for each instance.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MeshCost {
    /// Instances.
    pub size: usize,
    /// Bytes sent a second, without traffic of models.
    pub idle_bytes: f64,
    /// Messages sent a second, without traffic of models.
    pub idle_messages: f64,
    /// Processor time, in percent of a core, without traffic of models.
    pub idle_cpu: f64,
    /// Bytes sent a second, with loads passed on.
    pub load_bytes: f64,
    /// Messages sent a second, with loads passed on.
    pub load_messages: f64,
    /// Processor time, in percent of a core, with loads passed on.
    pub load_cpu: f64,
    /// Resident memory, in KiB.
    pub memory: f64,
    /// Bytes sent for one change of the rules, the confirmations of all included.
    pub rules_bytes: f64,
    /// Time until every instance knows the version of every other, in milliseconds.
    pub rules_ms: f64,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    cpu: f64,
    bytes: u64,
    messages: u64,
}

/// Measures the peer protocol between instances in this process over loopback.
///
/// # Errors
///
/// Any error of binding loopback addresses, and [`io::ErrorKind::TimedOut`] where the instances
/// do not find each other.
pub async fn mesh_cost(size: usize, window: Duration) -> io::Result<MeshCost> {
    let before = resident()?;
    let list = MemoryList::default();
    let mut nodes = Vec::new();
    for i in 0..size {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (name, address) = (format!("entry-{i}"), listener.local_addr()?);
        list.add(&name, address);
        let config = mesh_config(&name, 1, address, &list, MeshSettings::default());
        nodes.push(Mesh::start(config, listener).0);
    }
    let all = || nodes.iter().all(|n| n.members().borrow().len() == size);
    if !until(SETTLE, all).await {
        return Err(io::ErrorKind::TimedOut.into());
    }
    sleep(MeshSettings::default().slow_heartbeat * 3).await;
    let (idle_bytes, idle_messages, idle_cpu) = rates(&nodes, window, sleep(window)).await;
    let (rules_bytes, rules_ms) = rules_change(&nodes).await;
    let (load_bytes, load_messages, load_cpu) =
        rates(&nodes, window, bounded(&nodes, window)).await;
    Ok(MeshCost {
        size,
        idle_bytes,
        idle_messages,
        idle_cpu,
        load_bytes,
        load_messages,
        load_cpu,
        memory: (resident()? - before) / 1024.0 / count(size),
        rules_bytes,
        rules_ms,
    })
}

async fn rates(
    nodes: &[MeshHandle],
    window: Duration,
    work: impl Future<Output = ()>,
) -> (f64, f64, f64) {
    let start = sample(nodes);
    work.await;
    let end = sample(nodes);
    let each = window.max(end.at - start.at).as_secs_f64() * count(nodes.len());
    (
        number(end.bytes - start.bytes) / each,
        number(end.messages - start.messages) / each,
        (end.cpu - start.cpu) * 100.0 / each,
    )
}

/// Bytes for each instance and milliseconds until all know that all have a version.
async fn rules_change(nodes: &[MeshHandle]) -> (f64, f64) {
    let start = sample(nodes);
    let digest = blake3::hash(b"rules").to_hex().to_string();
    nodes[0].announce_rules(1, digest.clone()).await;
    until(SPREAD, || {
        nodes.iter().all(|n| n.rules().borrow().version == 1)
    })
    .await;
    for node in &nodes[1..] {
        node.announce_rules(1, digest.clone()).await;
    }
    let knows = |n: &MeshHandle| n.members().borrow().values().all(|m| m.rules == 1);
    let spread = until(SPREAD, || nodes.iter().all(knows)).await;
    let end = sample(nodes);
    let took = (end.at - start.at).as_secs_f64() * 1000.0;
    let bytes = number(end.bytes - start.bytes) / count(nodes.len());
    (bytes, if spread { took } else { f64::INFINITY })
}

/// Traffic that ends even where the instances cannot keep up.
async fn bounded(nodes: &[MeshHandle], window: Duration) {
    drop(timeout(window * 2, traffic(nodes, window)).await);
}

/// Publishes changing loads of every instance's servers for a while.
async fn traffic(nodes: &[MeshHandle], window: Duration) {
    let mut rng = StdRng::seed_from_u64(11);
    let models = MODELS * nodes.len();
    let mut placed = Vec::new();
    for node in nodes {
        let wanted: BTreeSet<String> = (0..INTEREST).map(|_| pick(&mut rng, models)).collect();
        node.set_subscriptions(wanted).await;
        placed.push([(); SERVERS].map(|()| [(); REPLICAS].map(|()| pick(&mut rng, models))));
    }
    let end = Instant::now() + window;
    while Instant::now() < end {
        let round = Instant::now();
        for (i, node) in nodes.iter().enumerate() {
            if Instant::now() >= end {
                return;
            }
            for (j, replicas) in placed[i].iter().enumerate() {
                let residents = replicas.iter().map(|model| ResidentLoad {
                    model: model.clone(),
                    state: Residency::Ready,
                    running: rng.random_range(0..16),
                    queued: 0,
                });
                let delta = FleetDelta {
                    server: format!("besedilnik-{i}-{j}"),
                    boot: "4f1c09aa".to_string(),
                    residents: residents.collect(),
                };
                node.publish(delta).await;
            }
        }
        sleep(REPORT.saturating_sub(round.elapsed())).await;
    }
}

fn pick(rng: &mut StdRng, models: usize) -> String {
    format!("adapter-{}", rng.random_range(0..models))
}

fn sample(nodes: &[MeshHandle]) -> Sample {
    let cpu = clock_gettime(ClockId::ProcessCPUTime);
    let counts: Vec<_> = nodes.iter().map(MeshHandle::traffic).collect();
    Sample {
        at: Instant::now(),
        cpu: Duration::new(
            u64::try_from(cpu.tv_sec).unwrap_or_default(),
            u32::try_from(cpu.tv_nsec).unwrap_or_default(),
        )
        .as_secs_f64(),
        bytes: counts.iter().map(|c| c.bytes_sent).sum(),
        messages: counts.iter().map(|c| c.messages_sent).sum(),
    }
}

/// Resident memory of this process, in bytes.
fn resident() -> io::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    pages
        .map(|pages: f64| pages * PAGE)
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn count(size: usize) -> f64 {
    f64::from(u32::try_from(size).unwrap_or(u32::MAX))
}

fn number(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
