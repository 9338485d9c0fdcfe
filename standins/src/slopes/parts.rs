//! Cost of the pure parts and of the table operations, by size.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use brassrack::idempotency::{
    Answer, Call, Claim, IdempotencySettings, IdempotencyStore, fingerprint,
};
use brassrack::limits::{QueueSettings, QueuedRequest, TenantLimits, WaitQueue};
use brassrack::members::{Member, MemberState, Roster, RosterSettings};
use brassrack::metrics::Metrics;
use brassrack::ownership::{Owners, owner};
use brassrack::placement::{LoadRequest, Placement, PlacementSettings};
use brassrack::rules::{PriorityClass, Repeat, Rules, Tenant};
use bytes::Bytes;
use futures_util::future::join_all;
use rustix::time::{ClockId, clock_gettime};

use crate::table::{MemoryObjects, MemoryTable};

/// Repetitions of a timed operation in a batch.
const ROUNDS: u32 = 500;

/// Batches of a timed operation.
const BATCHES: u32 = 8;

/// A figure at one size.
#[derive(Debug, Clone, PartialEq)]
pub struct PartCost {
    /// Role that it belongs to.
    pub role: &'static str,
    /// What was measured, with its unit.
    pub what: &'static str,
    /// What the size counts.
    pub counts: &'static str,
    /// Size to design for.
    pub design: u32,
    /// The figure.
    pub figure: f64,
}

/// Measures all parts at one size.
///
/// # Errors
///
/// A description of the part that failed.
pub async fn part_costs(size: u32) -> Result<Vec<PartCost>, String> {
    let mut costs = pure(size);
    costs.extend(metrics(size)?);
    costs.extend(rules(size)?);
    costs.extend(placement(size).await?);
    costs.extend(ledger(size).await?);
    Ok(costs)
}

/// A size that is counted, and how many there are at the size to design for.
type Count = (&'static str, u32);

const INSTANCES: Count = ("instances", 350);
const TENANTS: Count = ("tenants", 100);
const ADAPTERS: Count = ("ten adapters", 380);
const LOADS: Count = ("loads", 1);
const REPLICAS: Count = ("replicas", 4800);
const CALLS: Count = ("calls", 64);

fn cost(role: &'static str, what: &'static str, count: Count, figure: f64) -> PartCost {
    PartCost {
        role,
        what,
        counts: count.0,
        design: count.1,
        figure,
    }
}

/// Processor time of one round in microseconds, the least of several batches.
fn timed(mut work: impl FnMut(u32)) -> f64 {
    let mut least = f64::INFINITY;
    for batch in 0..BATCHES {
        let start = thread_time();
        for round in 0..ROUNDS {
            work(batch * ROUNDS + round);
        }
        let took = thread_time().saturating_sub(start);
        least = least.min(took.as_secs_f64() * 1e6 / f64::from(ROUNDS));
    }
    least
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}

fn names(size: u32) -> Vec<String> {
    (0..size).map(|i| format!("entry-{i}")).collect()
}

fn pure(size: u32) -> Vec<PartCost> {
    let live: BTreeSet<String> = names(size).into_iter().collect();
    let owners = timed(|round| {
        std::hint::black_box(owner(&format!("model/m{round}"), &live));
    });
    let prepared = Owners::new(&live);
    let chosen = timed(|round| {
        std::hint::black_box(prepared.owner(&format!("model/m{round}")));
    });
    vec![
        cost("owner", "choice of an owner, us", INSTANCES, owners),
        cost(
            "owner",
            "choice of an owner, prepared, us",
            INSTANCES,
            chosen,
        ),
        cost(
            "peers",
            "tick and digest of the roster, us",
            INSTANCES,
            roster(size),
        ),
        cost("intake", "admission to a limit, us", TENANTS, limits(size)),
        cost("intake", "pass through the queue, us", TENANTS, queue(size)),
    ]
}

fn roster(size: u32) -> f64 {
    let member = |name: &String| Member {
        name: name.clone(),
        address: ([127, 0, 0, 1], 7000).into(),
        region: "osrednja".to_string(),
        domain: "vic".to_string(),
        incarnation: 1,
        state: MemberState::Live,
        rules: 0,
    };
    let mut roster = Roster::new(RosterSettings::default(), member(&"me".to_string()));
    for name in names(size - 1) {
        roster.merge(member(&name), Duration::ZERO);
    }
    let watched = BTreeSet::new();
    timed(|round| {
        roster.tick(&watched, Duration::from_millis(u64::from(round)));
        std::hint::black_box(roster.digest());
    })
}

fn limits(size: u32) -> f64 {
    let tenant = Tenant {
        rate: 1_000_000,
        concurrency: 1000,
        class: PriorityClass::Standard,
    };
    let names = names(size);
    let tenants: BTreeMap<String, Tenant> =
        names.iter().map(|n| (n.clone(), tenant.clone())).collect();
    let mut limits = TenantLimits::default();
    limits.set_tenants(&tenants);
    timed(|round| {
        let name = &names[(round % size) as usize];
        let admitted = limits.admit(name, Duration::from_micros(u64::from(round)));
        std::hint::black_box(admitted.is_ok());
        limits.release(name, Duration::from_millis(5));
    })
}

fn queue(size: u32) -> f64 {
    let mut queue = WaitQueue::new(QueueSettings::default());
    let names = names(size);
    let request = |id: u32| QueuedRequest {
        id: u64::from(id),
        tenant: names[(id % size) as usize].clone(),
        class: PriorityClass::Standard,
        deadline: Duration::from_hours(1),
        service_time: Duration::ZERO,
        cost: 1,
    };
    for id in 0..256 {
        drop(queue.enqueue(request(id), Duration::ZERO));
    }
    timed(|round| {
        drop(queue.enqueue(request(256 + round), Duration::ZERO));
        std::hint::black_box(queue.take_next(Duration::ZERO).next);
    })
}

fn metrics(size: u32) -> Result<Vec<PartCost>, String> {
    let metrics = Metrics::new().map_err(|e| e.to_string())?;
    let names = names(size);
    let record = timed(|round| {
        let name = &names[(round % size) as usize];
        metrics.first(name, PriorityClass::Standard, Duration::from_millis(20));
        metrics.gap(name, PriorityClass::Standard, Duration::from_millis(20));
        metrics.answered(name);
    });
    let text = metrics.text().map_err(|e| e.to_string())?;
    Ok(vec![
        cost("metrics", "records of a request, us", TENANTS, record),
        cost("metrics", "text, bytes", TENANTS, length(text.len())),
    ])
}

fn rules(size: u32) -> Result<Vec<PartCost>, String> {
    let mut text =
        String::from("engines rack memory=40GiB orders=checked accelerators=8 # Tina: servers\n");
    text.push_str("model base engines=rack size=2GiB class=interactive first-token=860ms replicas=2 # Tina: base\n");
    let head = text.len();
    for i in 0..size * 10 {
        text.push_str("adapter adapter-");
        text.push_str(&i.to_string());
        text.push_str(
            " base=base size=60MiB class=interactive first-token=860ms replicas=2 # Maja: cards\n",
        );
    }
    Rules::parse(&text).map_err(|e| format!("{e:?}"))?;
    let parse = timed(|_| {
        std::hint::black_box(Rules::parse(&text).is_ok());
    });
    Ok(vec![
        cost("rules", "check of the text, us", ADAPTERS, parse),
        cost(
            "rules",
            "text of the adapters, bytes",
            ADAPTERS,
            length(text.len() - head),
        ),
    ])
}

/// Table operations and row sizes for loading and letting go one replica on each server.
async fn placement(size: u32) -> Result<Vec<PartCost>, String> {
    let table = MemoryTable::default();
    let settings = PlacementSettings {
        region: "osrednja".to_string(),
        prefix: "slopes".to_string(),
        ..PlacementSettings::default()
    };
    let placement = Placement::new(Arc::new(table.clone()), settings).map_err(|e| e.to_string())?;
    for i in 0..size {
        let server = format!("besedilnik-{i}");
        let ask = LoadRequest {
            model: format!("model-{i}"),
            bytes: 1 << 30,
            server: server.clone(),
            capacity: 40 << 30,
            max_replicas: 1,
            max_loads: 4,
            max_adapters: 32,
            ..LoadRequest::default()
        };
        let reserved = placement.reserve(&ask).await.map_err(|e| e.to_string())?;
        let done = placement.confirm(&server, &ask.model, &reserved.op).await;
        done.map_err(|e| e.to_string())?;
    }
    let usage = table.usage();
    let bytes: usize = table
        .rows()
        .iter()
        .map(|r| r.key.len() + r.value.len())
        .sum();
    Ok(vec![
        cost(
            "owner of a model",
            "transactions of the loads",
            LOADS,
            number(usage.commits),
        ),
        cost(
            "owner of a model",
            "reads of the loads",
            LOADS,
            number(usage.reads),
        ),
        cost("owner of a server", "rows, bytes", REPLICAS, length(bytes)),
    ])
}

/// Table operations of calls that may not be repeated and arrive at once at one instance.
async fn ledger(size: u32) -> Result<Vec<PartCost>, String> {
    let table = MemoryTable::default();
    let settings = IdempotencySettings {
        start_id: "entry-1".to_string(),
        ..IdempotencySettings::default()
    };
    let objects = Arc::new(MemoryObjects::default());
    let ledger = IdempotencyStore::new(Arc::new(table.clone()), objects, settings);
    let one = async |i: u32| {
        let call = Call {
            tenant: "papirnica".to_string(),
            key: format!("order-{i}"),
            fingerprint: fingerprint("POST", "/orders", b"gilded"),
            repeat: Repeat::Never,
        };
        let Ok(Claim::Granted(token)) = ledger.claim(&call).await else {
            return Err("claim refused".to_string());
        };
        let answer = Answer {
            status: 201,
            kind: "application/json".to_string(),
            body: Bytes::from_static(b"{\"order\": 17}"),
        };
        let stored = ledger.store_answer(token, &answer).await;
        stored.map_err(|e| e.to_string())
    };
    for outcome in join_all((0..size).map(one)).await {
        outcome?;
    }
    let usage = table.usage();
    let bytes: usize = table
        .rows()
        .iter()
        .map(|r| r.key.len() + r.value.len())
        .sum();
    Ok(vec![
        cost(
            "ledger",
            "transactions of a burst",
            CALLS,
            number(usage.commits),
        ),
        cost("ledger", "reads of a burst", CALLS, number(usage.reads)),
        cost("ledger", "rows, bytes", CALLS, length(bytes)),
    ])
}

fn length(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
}

fn number(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
