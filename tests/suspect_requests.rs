//! Requests that crash endpoints are refused; requests batched with them are served.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use brassrack::suspects::{
    SuspectRow, SuspectSettings, SuspectStatus, Suspects, Trial, TrialCandidate, TrialError,
    least_loaded, request_digest,
};
use brassrack::verdict::{Cause, Refusal, Verdict};
use brassrack_standins::fault::Fault;
use brassrack_standins::scripted_table::{CommitFault, ScriptedTable};
use brassrack_standins::table::MemoryTable;

fn suspects(table: &ScriptedTable, prefix: &str) -> Suspects {
    let settings = SuspectSettings {
        id_prefix: prefix.into(),
        ..SuspectSettings::default()
    };
    Suspects::new(Arc::new(table.clone()), settings)
}

fn pair() -> (ScriptedTable, Suspects, Suspects) {
    let table = MemoryTable::default();
    let first = ScriptedTable::new(&table);
    let second = ScriptedTable::new(&table);
    let a = suspects(&first, "a");
    let b = suspects(&second, "b");
    (first, a, b)
}

fn digests(names: &[&str]) -> Vec<String> {
    names
        .iter()
        .map(|n| request_digest("m", n.as_bytes()))
        .collect()
}

fn deaths(table: &ScriptedTable) -> Vec<usize> {
    let mut rows = table.table.rows();
    rows.retain(|row| row.key.starts_with("suspect/"));
    let count = |row| brassrack::commit::Record::parse(row).map(|r: SuspectRow| r.deaths.len());
    rows.iter().map(|row| count(row).unwrap()).collect()
}

fn refused(begun: Result<Trial, TrialError>) -> Refusal {
    match begun {
        Err(TrialError::Refused(refusal)) => refusal,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn one_trial_runs_on_a_server() {
    let (_table, a, b) = pair();
    a.record_crash("s1", "b1", &["x".into(), "y".into()]).await;
    let trial = a.begin_trial("x", "s2", "b1").await.unwrap();
    assert_eq!(b.begin_trial("y", "s2", "b1").await, Err(TrialError::Busy));
    a.finish_trial(&trial, true).await.unwrap();
    b.begin_trial("y", "s2", "b1").await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn death_is_counted_once_by_all_instances() {
    let (table, a, b) = pair();
    let ran = digests(&["x", "y"]);
    a.record_crash("s1", "b1", &ran).await;
    b.record_crash("s1", "b1", &ran).await;
    a.record_crash("s1", "b1", &ran).await;
    assert_eq!(deaths(&table), [1, 1]);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_counts_once() {
    for fault in [
        CommitFault::Lose,
        CommitFault::LoseAndFall,
        CommitFault::Late(Duration::from_millis(1)),
        CommitFault::Refuse,
    ] {
        let (table, a, _) = pair();
        table.fail(1, fault);
        a.record_crash("s1", "b1", &digests(&["x"])).await;
        table.table.switch.set(Fault::None);
        tokio::time::sleep(Duration::from_secs(1)).await;
        a.refresh().await.unwrap();
        assert_eq!(deaths(&table), [1], "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn second_death_refuses_everywhere() {
    let (_table, a, b) = pair();
    let ran = digests(&["x"]);
    a.record_crash("s1", "b1", &ran).await;
    b.record_crash("s2", "b7", &ran).await;
    let refusal = refused(a.begin_trial(&ran[0], "s3", "b2").await);
    assert_eq!(
        (refusal.verdict, refusal.cause),
        (Verdict::NotRun, Cause::CrashSuspect)
    );
    assert!(refusal.retry_after > Some(Duration::from_mins(9)));
    a.refresh().await.unwrap();
    assert!(matches!(a.status(&ran[0]), SuspectStatus::Refused(_)));
}

#[tokio::test(start_paused = true)]
async fn outage_keeps_the_count_here() {
    let (table, a, b) = pair();
    let ran = digests(&["x"]);
    table.table.switch.set(Fault::Down);
    a.record_crash("s1", "b1", &ran).await;
    assert_eq!(a.status(&ran[0]), SuspectStatus::Suspect);
    let refusal = refused(a.begin_trial(&ran[0], "s2", "b1").await);
    assert_eq!(
        (refusal.verdict, refusal.cause),
        (Verdict::NotRun, Cause::TableDown)
    );
    table.table.switch.set(Fault::None);
    a.refresh().await.unwrap();
    b.refresh().await.unwrap();
    assert_eq!(b.status(&ran[0]), SuspectStatus::Suspect);
}

#[tokio::test(start_paused = true)]
async fn one_trial_runs_at_a_time() {
    let (_table, a, b) = pair();
    let ran = digests(&["x"]);
    a.record_crash("s1", "b1", &ran).await;
    let trial = a.begin_trial(&ran[0], "s2", "b1").await.unwrap();
    let refusal = refused(b.begin_trial(&ran[0], "s3", "b1").await);
    assert_eq!(
        (refusal.verdict, refusal.cause),
        (Verdict::NotRun, Cause::CrashSuspect)
    );
    a.finish_trial(&trial, true).await.unwrap();
    b.refresh().await.unwrap();
    assert_eq!(b.status(&ran[0]), SuspectStatus::Clear);
}

#[tokio::test(start_paused = true)]
async fn trial_of_a_dead_instance_is_counted_by_others() {
    let (_table, a, b) = pair();
    let ran = digests(&["x"]);
    a.record_crash("s1", "b1", &ran).await;
    a.begin_trial(&ran[0], "s2", "b1").await.unwrap();
    drop(a);
    b.refresh().await.unwrap();
    b.record_crash("s2", "b1", &[]).await;
    assert!(matches!(b.status(&ran[0]), SuspectStatus::Refused(_)));
}

#[test]
fn hold_passes_and_gives_one_more_trial() {
    let settings = SuspectSettings::default();
    let row = SuspectRow {
        deaths: ["s1@b1".into(), "s2@b1".into()].into(),
        trial: None,
        at: 1000,
    };
    let hold = u64::try_from(settings.refusal_period.as_millis()).unwrap();
    assert!(matches!(
        row.status(&settings, 1000 + hold - 1),
        SuspectStatus::Refused(_)
    ));
    assert_eq!(row.status(&settings, 1000 + hold), SuspectStatus::Suspect);
}

/// Endpoints that die when they run the request named `poison`.
#[derive(Default)]
struct Endpoints {
    boots: BTreeMap<String, u32>,
    runs: BTreeMap<String, u32>,
    served: BTreeMap<String, u32>,
}

impl Endpoints {
    fn boot(&self, server: &str) -> String {
        format!("b{}", self.boots.get(server).unwrap_or(&0))
    }

    /// Runs a batch; false where the endpoint died of it.
    fn run(&mut self, server: &str, batch: &[&str]) -> bool {
        for name in batch {
            *self.runs.entry((*name).into()).or_default() += 1;
        }
        if batch.contains(&"poison") {
            *self.boots.entry(server.into()).or_default() += 1;
            return false;
        }
        for name in batch {
            *self.served.entry((*name).into()).or_default() += 1;
        }
        true
    }
}

/// Sends a request again as an instance does; says whether it was served.
async fn resend(at: &Suspects, endpoints: &mut Endpoints, name: &str) -> bool {
    let digest = request_digest("m", name.as_bytes());
    at.refresh().await.unwrap();
    let trials = at.trials();
    let candidates = ["s1", "s2", "s3"].map(|server| TrialCandidate {
        server: server.into(),
        boot: endpoints.boot(server),
        running: 0,
        runs_trial: trials.contains(server),
    });
    let host = least_loaded(&candidates).unwrap();
    let Ok(trial) = at.begin_trial(&digest, &host.server, &host.boot).await else {
        return false;
    };
    let lives = endpoints.run(&host.server, &[name]);
    if lives {
        at.finish_trial(&trial, true).await.unwrap();
    } else {
        at.record_crash(&host.server, &host.boot, &[digest]).await;
    }
    lives
}

#[tokio::test(start_paused = true)]
async fn batched_requests_are_served_and_the_cause_is_refused() {
    let (_table, a, b) = pair();
    let names = ["draft", "menu", "poison", "fix", "status"];
    let mut endpoints = Endpoints::default();
    assert!(!endpoints.run("s1", &names));
    a.record_crash("s1", "b0", &digests(&names)).await;
    for round in 0..3 {
        for (i, name) in names.iter().enumerate() {
            let at = if (i + round) % 2 == 0 { &a } else { &b };
            let served = resend(at, &mut endpoints, name).await;
            assert_eq!(served, *name != "poison", "{name} in round {round}");
        }
    }
    assert_eq!(endpoints.runs["poison"], 2);
    assert_eq!(endpoints.served.len(), names.len() - 1);
}
