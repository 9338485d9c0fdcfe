//! Instances that race each other over one table, and what a report proves.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

#[path = "rack/life.rs"]
mod life;
mod rack;

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use brassrack::engine::{Report, Residency, Resident};
use brassrack::placement::{Observation, Replica, ReportHistory, ServerRow, Step};
use brassrack::rules::Fencing;
use brassrack::state_chart::ReplicaState;
use brassrack_standins::fault::Fault;
use brassrack_standins::scripted_table::CommitFault;
use futures_util::future::join_all;
use rack::{BOUNDS, Instance, Rack, address, server_name};
use strum::IntoEnumIterator;

/// Servers of a random schedule.
const SERVERS: u16 = 2;

/// Longest time that an order may be on its way in a random schedule, in seconds.
const LATE: u64 = 5;

#[tokio::test(start_paused = true)]
async fn burst_at_eight_instances_is_one_load() {
    let rack = Rack::new(8, Fencing::Checked);
    let instances: Vec<Instance> = (0..8).map(|i| rack.instance(&format!("i{i}"))).collect();
    for instance in &instances {
        instance.script.table.switch.set(Fault::Slow(3));
    }
    let loads = instances
        .iter()
        .zip(0..)
        .map(|(i, server)| i.load("m", server));
    let reserved = join_all(loads).await;
    let new = reserved
        .iter()
        .filter(|r| matches!(r, Ok(r) if !r.existing));
    assert_eq!(new.count(), 1);
    assert!(
        reserved.iter().all(std::result::Result::is_ok),
        "{reserved:?}"
    );
    assert_eq!(rack.engines.ledger().loads.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn lives_at_three_instances_leave_nothing() {
    for fencing in Fencing::iter() {
        let rack = Rack::new(1, fencing);
        let turning = tokio::spawn(rack.clone().turn());
        let lives = (0..3).map(|i| {
            let mut instance = rack.instance(&format!("i{i}"));
            instance.script.table.switch.set(Fault::Slow(3));
            let model = ["m", "n", "m"][i];
            async move { instance.live(model, 0).await }
        });
        assert_eq!(join_all(lives).await, [true; 3], "{fencing}");
        turning.abort();
        assert_eq!(rack.check_empty(1), Ok(()), "{fencing}");
    }
}

/// A row with one replica and a report that shows it, or does not.
struct Case {
    state: ReplicaState,
    fencing: Fencing,
    shown: Option<Residency>,
    fence: u64,
    seconds: u64,
    step: &'static str,
}

impl Case {
    /// Kinds of the steps after the replica has been met so for the time.
    fn steps(&self) -> String {
        let row = ServerRow {
            capacity: 100,
            boot: "b".into(),
            settling: None,
            replicas: vec![Replica {
                model: "m".into(),
                base: None,
                bytes: 60,
                state: self.state,
                op: "op".into(),
                unload: Some("un".into()),
                after: 7,
                slot: None,
                since: 0,
            }],
        };
        let resident = |state| Resident {
            model: "m".into(),
            op: "op".into(),
            state,
            bytes: 60,
            running: 0,
            queued: 0,
            served: 0,
        };
        let report = Report {
            boot: "b".into(),
            fence: self.fence,
            residents: self.shown.map(resident).into_iter().collect(),
            ..Report::default()
        };
        let mut watch = ReportHistory::default();
        let mut steps = Vec::new();
        for now in [0, self.seconds] {
            let met = Observation {
                row: &row,
                fence: 9,
                report: Some(&report),
                fencing: self.fencing,
                now: Duration::from_secs(now),
            };
            steps = watch.reconcile(met, BOUNDS);
        }
        let kinds = steps.iter().map(|step| match step {
            Step::SendOrder(order) => order.action.to_string(),
            Step::Confirm { .. } => "confirm".into(),
            Step::Release { .. } => "release".into(),
            Step::Abandon { .. } => "abandon".into(),
            other => format!("{other:?}"),
        });
        kinds.collect::<Vec<String>>().join(" ")
    }
}

#[test]
fn report_proves_no_more_than_it_shows() {
    use Fencing::{Checked, Ignored};
    use ReplicaState::{Granted, Loading, Quarantined, Ready, Unloading};
    let gone = None;
    let shown = Some(Residency::Ready);
    let table = [
        (Loading, Checked, gone, 9, 1, "load"),
        (Loading, Ignored, gone, 0, 9, "load"),
        (Loading, Ignored, gone, 0, 10, "abandon"),
        (Loading, Ignored, Some(Residency::Loading), 0, 99, ""),
        (Loading, Checked, shown, 9, 1, "confirm"),
        (Ready, Checked, shown, 9, 99, ""),
        (Ready, Checked, gone, 9, 2, ""),
        (Ready, Checked, gone, 9, 3, "abandon"),
        (Granted, Ignored, gone, 0, 99, ""),
        // Absent in a report from before the unload was decided proves nothing.
        (Unloading, Checked, gone, 7, 99, "unload"),
        (Unloading, Checked, gone, 8, 0, "release"),
        (Unloading, Checked, shown, 8, 99, "unload"),
        (Unloading, Ignored, gone, 0, 9, "unload"),
        (Unloading, Ignored, gone, 0, 10, "release"),
        (Unloading, Ignored, shown, 0, 99, "unload"),
        (Quarantined, Checked, gone, 7, 99, "unload"),
        (Quarantined, Checked, gone, 8, 0, "release"),
        (Quarantined, Ignored, gone, 0, 9, "unload"),
        (Quarantined, Ignored, gone, 0, 10, "release"),
        (Quarantined, Ignored, shown, 0, 99, "unload"),
    ];
    for (state, fencing, shown, fence, seconds, step) in table {
        let case = Case {
            state,
            fencing,
            shown,
            fence,
            seconds,
            step,
        };
        let name = format!("{state} {fencing} {shown:?} fence {fence} after {seconds} s");
        assert_eq!(case.steps(), case.step, "{name}");
    }
}

/// One action of a random schedule.
async fn act(u: &mut Unstructured<'_>, rack: &Rack, all: &mut [Instance]) -> Result<()> {
    let who = u.choose_index(all.len())?;
    let server = u.int_in_range(0..=SERVERS - 1)?;
    let model = ["m", "n", "o"][u.choose_index(3)?];
    let name = server_name(server);
    let instance = &mut all[who];
    // What is refused is part of the schedule.
    let _refused = match u.int_in_range(0..=15)? {
        0..=3 => instance.load(model, server).await.map(|_| ()),
        4..=8 => {
            instance.reconcile(server).await;
            Ok(())
        }
        9 => instance.placement.retire(&name, model).await,
        10 => {
            rack.engines.restart(address(server));
            Ok(())
        }
        11 => {
            rack.engines.repeat(true);
            Ok(())
        }
        12 => {
            rack.engines.deliver();
            Ok(())
        }
        13 => {
            let late = Duration::from_secs(LATE);
            let faults = [
                CommitFault::Lose,
                CommitFault::Refuse,
                CommitFault::Late(late),
            ];
            instance
                .script
                .fail(1, faults[u.choose_index(faults.len())?]);
            Ok(())
        }
        14 => {
            rack.engines.advance();
            Ok(())
        }
        _ => {
            // Nothing may be on its way for longer than an order lives.
            rack.engines.deliver();
            tokio::time::sleep(Duration::from_secs(LATE)).await;
            Ok(())
        }
    };
    Ok(())
}

/// Runs a random schedule of this many instances.
fn schedule(u: &mut Unstructured<'_>, instances: usize, fencing: Fencing) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let rack = Rack::new(SERVERS, fencing);
        let mut all: Vec<Instance> = (0..instances)
            .map(|i| rack.instance(&format!("i{i}")))
            .collect();
        while !u.is_empty() {
            act(u, &rack, &mut all).await?;
            if let Err(cause) = rack.check() {
                panic!("{cause}\n{:#?}", rack.engines.ledger());
            }
        }
        Ok(())
    })
}

#[test]
fn random_schedules_keep_the_bounds() {
    for seed in 0..60u64 {
        for fencing in Fencing::iter() {
            for instances in [2, 3] {
                println!("seed {seed} {fencing} {instances}");
                let size = 2_000;
                arbtest::arbtest(|u| schedule(u, instances, fencing))
                    .seed((size << 32) | seed)
                    .run();
            }
        }
    }
}
