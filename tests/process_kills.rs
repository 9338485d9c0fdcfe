//! Daemons killed or frozen while they handle a call that may not be repeated.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use brassrack_standins::client::{Ask, CallError, Reply, call, set_fault};
use brassrack_standins::fault::Fault;
use brassrack_standins::rack::{ORDER_SERVICE, Rack, SEAT_SERVICE, Settings, paid};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Where the call stands when its daemon is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The key is claimed; nothing was sent to the service.
    BeforeSend,
    /// The service has run the call; its answer is on the way.
    AfterSend,
    /// The answer has arrived; its record is not stored.
    BeforeRecord,
}

const STAGES: [Stage; 3] = [Stage::BeforeSend, Stage::AfterSend, Stage::BeforeRecord];
/// Time by which the stand-in's answers are late, in milliseconds.
const LATE_MS: u64 = 2000;
/// Time after which the others take an instance for dead.
const TAKEN_FOR_DEAD: Duration = Duration::from_secs(5);
const TIMING: &str = "timing:\n  heartbeat: 200ms\n";

type Caller = JoinHandle<Result<Reply, CallError>>;

async fn start() -> Rack {
    let settings = Settings {
        extra: TIMING.into(),
        ..Settings::default()
    };
    Rack::start(settings).await.unwrap()
}

/// Sends a call to the first daemon and returns when it has reached the stage.
async fn reach(rack: &Rack, stage: Stage, ask: &Ask, path: &str) -> Caller {
    match stage {
        Stage::BeforeSend => table_fault(rack, Fault::Slow(LATE_MS)).await,
        Stage::AfterSend | Stage::BeforeRecord => {
            for service in &rack.services {
                let fault = Fault::Slow(LATE_MS);
                set_fault(service.address, "", fault).await.unwrap();
            }
        }
    }
    let (to, ask) = (rack.daemons[0].callers, ask.clone());
    let caller = tokio::spawn(async move { call(to, &ask).await });
    match stage {
        Stage::BeforeSend => sleep(Duration::from_millis(LATE_MS / 2)).await,
        Stage::AfterSend => rack.wait_run(path, "k").await.unwrap(),
        Stage::BeforeRecord => {
            rack.wait_run(path, "k").await.unwrap();
            table_fault(rack, Fault::Silent).await;
            sleep(Duration::from_millis(LATE_MS + LATE_MS / 4)).await;
        }
    }
    caller
}

async fn table_fault(rack: &Rack, fault: Fault) {
    let commits = "path=/v1/commit";
    set_fault(rack.table.address, commits, fault).await.unwrap();
}

async fn mend(rack: &Rack) {
    set_fault(rack.table.address, "path=/v1/commit", Fault::None)
        .await
        .unwrap();
    for service in &rack.services {
        set_fault(service.address, "", Fault::None).await.unwrap();
    }
}

/// Checks that a killed instance gave no answer, or the service's before its record was stored.
async fn check_caller(caller: Caller, stage: Stage) {
    match caller.await.unwrap() {
        Ok(reply) => assert_eq!((stage, reply.status.as_u16()), (Stage::BeforeRecord, 201)),
        Err(error) => assert!(matches!(error, CallError::Broken(_)), "{error}"),
    }
}

/// Repeats the call at an instance and checks the answer against the services' ledgers.
async fn repeat(rack: &Rack, turn: usize, ask: &Ask, path: &str) {
    let reply = rack.call(turn, ask).await.unwrap();
    let runs = rack.runs(path, "k").await.unwrap();
    assert!(runs <= 1, "ran {runs} times");
    let verdict = reply.header("brassrack-verdict");
    match reply.status.as_u16() {
        201 => assert_eq!(runs, 1),
        _ if verdict == "not-run" => assert_eq!(runs, 0, "{reply:?}"),
        _ => assert!(["may-have-run", "ran"].contains(&verdict), "{reply:?}"),
    }
}

#[tokio::test]
async fn order_runs_at_most_once_when_its_instance_is_killed() {
    for stage in STAGES {
        let mut rack = start().await;
        let order = paid(ORDER_SERVICE, "/orders", "k", "papirnica");
        let caller = reach(&rack, stage, &order, "/orders").await;
        rack.daemons[0].process.kill().unwrap();
        check_caller(caller, stage).await;
        mend(&rack).await;
        repeat(&rack, 1, &order, "/orders").await;
        sleep(TAKEN_FOR_DEAD).await;
        repeat(&rack, 2, &order, "/orders").await;
        rack.restart(0).await.unwrap();
        rack.wait_ready().await.unwrap();
        repeat(&rack, 0, &order, "/orders").await;
        let expected = usize::from(stage != Stage::BeforeSend);
        assert_eq!(
            rack.runs("/orders", "k").await.unwrap(),
            expected,
            "{stage:?}"
        );
    }
}

#[tokio::test]
async fn order_runs_at_most_once_when_its_instance_is_frozen() {
    for stage in STAGES {
        let rack = start().await;
        let order = paid(ORDER_SERVICE, "/orders", "k", "papirnica");
        let caller = reach(&rack, stage, &order, "/orders").await;
        rack.daemons[0].process.freeze().unwrap();
        mend(&rack).await;
        sleep(TAKEN_FOR_DEAD).await;
        repeat(&rack, 1, &order, "/orders").await;
        rack.daemons[0].process.resume().unwrap();
        let first = caller.await.unwrap().unwrap();
        let runs = rack.runs("/orders", "k").await.unwrap();
        if first.header("brassrack-verdict") == "not-run" {
            assert_eq!(runs, 0, "{stage:?}");
        }
        repeat(&rack, 2, &order, "/orders").await;
    }
}

#[tokio::test]
async fn recognised_activation_is_finished_by_its_repeat() {
    for stage in STAGES {
        let mut rack = start().await;
        let ask = paid(SEAT_SERVICE, "/activations", "k", "delta");
        let caller = reach(&rack, stage, &ask, "/activations").await;
        rack.daemons[0].process.kill().unwrap();
        check_caller(caller, stage).await;
        mend(&rack).await;
        sleep(TAKEN_FOR_DEAD).await;
        let reply = rack.call(1, &ask).await.unwrap();
        assert_eq!(reply.status, 201, "{stage:?}");
        assert_eq!(
            rack.runs("/activations", "k").await.unwrap(),
            1,
            "{stage:?}"
        );
    }
}
