//! Which changes of engines may still send orders, as terms, engines and their entries come and go.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use brassrack::BoxFuture;
use brassrack::gateway::link::ToldLoads;
use brassrack::gateway::orders::port::{EnginePort, NoReport, OrderAnswer};
use brassrack::gateway::orders::record::ChangeResult;
use brassrack::gateway::orders::records::EngineRecords;
use brassrack::gateway::orders::send::{OrderSender, Outcome};
use brassrack::gateway::orders::sequence::{OrderSequence, OrderTicket};
use brassrack::gateway::planner::{EngineAction, WeightSource};
use brassrack::gateway::protocol::{Action, Endpoint, EndpointState, Order, Report, Target};
use brassrack::gateway::servers::ListedEndpoint;

const NOW: Duration = Duration::from_secs(50);

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "writers".into(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "east".into(),
        software: "v1".into(),
        slots: 8,
        state: EndpointState::Ready,
        start_ms: 1,
        sequence: 1,
        models: BTreeMap::from([("old".into(), BTreeSet::new())]),
        memory_models: BTreeSet::new(),
        disk_models: BTreeSet::new(),
    }
}

fn listed(id: &str, started_ms: u64) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        started_ms,
        ready: true,
        paused: false,
        limit: None,
    }
}

fn sync(records: &mut EngineRecords, entries: &[ListedEndpoint]) {
    records.sync("writers", entries, |id| Some(endpoint(id)), NOW);
}

fn swap() -> EngineAction {
    EngineAction::LoadModel {
        evict: vec!["old".into()],
        model: "new".into(),
        source: WeightSource::Disk,
    }
}

/// Records of a term in which engine `e` has begun a swap.
fn swapping() -> (EngineRecords, OrderTicket) {
    let mut records = EngineRecords::default();
    records.enter_term(1, NOW);
    sync(&mut records, &[listed("e", 1)]);
    let record = records.get_mut("e").unwrap();
    record.state_unknown = false;
    let ticket = record.begin_change(&swap(), NOW);
    (records, ticket)
}

/// Pattern: the store is away, the holder reads the echoes of its peers late, and its token is
/// invalid for an instant. Its swaps go on, so their records must, too.
#[test]
fn token_away_for_an_instant() {
    let (mut records, ticket) = swapping();
    assert!(!records.leave_lost_term(Some(1), NOW));
    assert!(!records.enter_term(1, NOW));
    assert!(ticket.is_valid());
    assert!(records.get_mut("e").unwrap().swap.is_some());
}

#[test]
fn lost_term_ends_its_changes() {
    let (mut records, ticket) = swapping();
    assert!(records.leave_lost_term(None, NOW));
    assert!(!ticket.is_valid());
}

#[test]
fn lapse_and_return() {
    let (mut records, ticket) = swapping();
    assert!(records.enter_term(2, NOW));
    assert!(!ticket.is_valid());
    assert!(records.is_empty());
}

#[test]
fn entry_gone_for_a_moment() {
    let (mut records, ticket) = swapping();
    sync(&mut records, &[]);
    sync(&mut records, &[listed("e", 1)]);
    assert!(!ticket.is_valid());
    assert!(records.get_mut("e").unwrap().state_unknown);
}

#[test]
fn restart_during_a_swap() {
    let (mut records, ticket) = swapping();
    sync(&mut records, &[listed("e", 2)]);
    assert!(!ticket.is_valid());
}

#[test]
fn unknown_start_is_no_restart() {
    let (mut records, ticket) = swapping();
    sync(&mut records, &[listed("e", 0)]);
    assert!(ticket.is_valid());
    assert_eq!(records.get_mut("e").unwrap().started_ms, 1);
}

#[test]
fn start_becomes_known() {
    let mut records = EngineRecords::default();
    let unknown = |id: &str| {
        Some(Endpoint {
            start_ms: 0,
            ..endpoint(id)
        })
    };
    records.sync("writers", &[listed("e", 0)], unknown, NOW);
    let ticket = records.get_mut("e").unwrap().begin_change(&swap(), NOW);
    sync(&mut records, &[listed("e", 7)]);
    assert!(ticket.is_valid());
    assert_eq!(records.get_mut("e").unwrap().started_ms, 7);
}

/// Pattern: two services have engines; a plan for one must not forget those of the other.
#[test]
fn two_services() {
    let (mut records, ticket) = swapping();
    records.sync("painters", &[listed("p", 1)], |_| None, NOW);
    assert!(ticket.is_valid());
}

/// Pattern: the record was made anew while its swap still ran. The end of the old swap says
/// nothing about the new record.
#[test]
fn end_of_an_earlier_record() {
    let (mut records, ticket) = swapping();
    sync(&mut records, &[listed("e", 2)]);
    let record = records.get_mut("e").unwrap();
    record.state_unknown = false;
    record.begin_change(&swap(), NOW);
    let done = ChangeResult {
        outcome: Outcome::Done,
        unloaded: 1,
    };
    assert!(!record.finish_change(&swap(), &ticket, done, NOW));
    assert!(record.swap.is_some());
}

/// Model that the planner counts as being loaded on engine `e`.
fn loading(records: &EngineRecords, now: Duration) -> Option<String> {
    let states = records.states("writers", |_, _| 0, now);
    assert!(states[0].busy || states[0].loading_model.is_none());
    states[0].loading_model.clone()
}

/// Guards against a model that is ordered at a second engine while the first one loads it, as the
/// lease was away for an instant or the server list left the engine out once.
#[test]
fn load_goes_on_under_a_new_record() {
    let list_gap = |records: &mut EngineRecords| sync(records, &[]);
    let new_term = |records: &mut EngineRecords| {
        assert!(records.leave_lost_term(None, NOW));
        assert!(records.enter_term(2, NOW));
    };
    for drop_record in [list_gap as fn(&mut EngineRecords), new_term] {
        let (mut records, ticket) = swapping();
        ticket.set_loading(true);
        drop_record(&mut records);
        sync(&mut records, &[listed("e", 1)]);
        assert!(!ticket.is_valid());
        assert_eq!(loading(&records, NOW).as_deref(), Some("new"));
        assert_eq!(records.store_loads(), 0);
        // A report that was on its way does not know of the load yet; later ones show its end.
        for (after_ms, executing, known) in
            [(100, false, true), (900, true, true), (1800, false, false)]
        {
            let now = NOW + Duration::from_millis(after_ms);
            let record = records.get_mut("e").unwrap();
            record.apply_report(report(0, executing, &[]), now);
            assert_eq!(loading(&records, now).is_some(), known, "{after_ms} ms");
        }
    }
}

/// Guards against a load that is ordered a second time, as the holder is lost in the middle of a plan
/// and engines do not report which model they load: the holder has told its successor.
#[test]
fn successor_knows_of_a_load() {
    let mut records = EngineRecords::default();
    records.enter_term(1, NOW);
    sync(&mut records, &[listed("e", 1)]);
    let load = EngineAction::LoadModel {
        evict: Vec::new(),
        model: "new".into(),
        source: WeightSource::Store,
    };
    let ticket = records.get_mut("e").unwrap().begin_change(&load, NOW);
    assert!(records.loads_in_progress(NOW).loads.is_empty());
    ticket.set_loading(true);
    let told = ToldLoads {
        notice: records.loads_in_progress(NOW),
        heard_at: NOW,
    };
    let after = |now| {
        let mut successor = EngineRecords::default();
        successor.enter_term(2, now);
        successor.adopt(&told, now);
        sync(&mut successor, &[listed("e", 1)]);
        loading(&successor, now)
    };
    let soon = NOW + Duration::from_secs(2);
    assert_eq!(after(soon).as_deref(), Some("new"));
    assert_eq!(after(NOW + Duration::from_mins(2)), None);
}

/// A load that no engine carries out must not count as one.
#[test]
fn load_is_not_carried_over() {
    let (mut records, _ticket) = swapping();
    sync(&mut records, &[]);
    sync(&mut records, &[listed("e", 1)]);
    assert_eq!(loading(&records, NOW), None, "not accepted");
    let (mut records, ticket) = swapping();
    ticket.set_loading(true);
    sync(&mut records, &[]);
    sync(&mut records, &[listed("e", 2)]);
    assert_eq!(loading(&records, NOW), None, "restarted");
    let (mut records, ticket) = swapping();
    ticket.set_loading(true);
    sync(&mut records, &[]);
    sync(&mut records, &[listed("e", 1)]);
    let now = NOW + Duration::from_secs(1);
    let record = records.get_mut("e").unwrap();
    record.apply_report(report(3, true, &[]), now);
    assert_eq!(loading(&records, now), None, "order of another holder");
}

/// An engine that gives scripted answers and counts what it is sent.
#[derive(Debug, Default)]
struct Scripted {
    answers: Mutex<VecDeque<OrderAnswer>>,
    reports: Mutex<VecDeque<Report>>,
    sent: Mutex<Vec<(Action, String, u64)>>,
}

#[derive(Debug)]
struct ScriptedPort(Arc<Scripted>, tokio::time::Instant);

impl EnginePort for ScriptedPort {
    fn now(&self) -> Duration {
        NOW + self.1.elapsed()
    }

    fn fencing_token(&self) -> Option<u64> {
        Some(1)
    }

    fn send<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, OrderAnswer> {
        let sent = (
            order.action,
            order.target.model.clone(),
            order.expected_orders,
        );
        self.0.sent.lock().unwrap().push(sent);
        let answer = self.0.answers.lock().unwrap().pop_front();
        Box::pin(async move { answer.unwrap_or(OrderAnswer::Conflict) })
    }

    fn report(&self) -> BoxFuture<'_, Result<Report, NoReport>> {
        let mut reports = self.0.reports.lock().unwrap();
        let report = if reports.len() > 1 {
            reports.pop_front()
        } else {
            reports.front().cloned()
        };
        Box::pin(async move { report.ok_or(NoReport::Unreachable) })
    }

    fn listed(&self) -> Option<Endpoint> {
        None
    }
}

fn engine(answers: &[OrderAnswer], reports: &[Report]) -> Arc<Scripted> {
    Arc::new(Scripted {
        answers: Mutex::new(answers.iter().copied().collect()),
        reports: Mutex::new(reports.iter().cloned().collect()),
        sent: Mutex::default(),
    })
}

fn sender(engine: &Arc<Scripted>, ticket: OrderTicket) -> OrderSender {
    OrderSender {
        port: Box::new(ScriptedPort(
            Arc::clone(engine),
            tokio::time::Instant::now(),
        )),
        engine: "e".into(),
        holder: "me".into(),
        ticket,
    }
}

fn adapter(name: &str) -> Target {
    Target {
        model: "old".into(),
        adapter: Some(name.into()),
    }
}

fn adapter_swap() -> EngineAction {
    EngineAction::LoadAdapter {
        evict: vec![adapter("a1")],
        target: adapter("a2"),
    }
}

fn report(accepted: u64, executing: bool, adapters: &[&str]) -> Report {
    let held = adapters.iter().map(|a| (*a).to_owned()).collect();
    Report {
        accepted_orders: accepted,
        executing,
        models: BTreeMap::from([("old".into(), held)]),
        ..Report::default()
    }
}

/// Pattern: the entry of an engine is gone for a moment between the unload and the load of a swap.
/// The new record plans on the place that the unload freed; the old swap must not fill it.
#[tokio::test(start_paused = true)]
async fn stale_change_sends_nothing() {
    let engine = engine(&[OrderAnswer::Accepted; 2], &[]);
    let sequence = OrderSequence::default();
    let running = tokio::spawn({
        let sender = sender(&engine, sequence.ticket());
        async move { sender.execute(&swap(), Duration::from_secs(1)).await }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    drop(sequence);
    let result = running.await.unwrap();
    assert_eq!(result.outcome, Outcome::Stale);
    assert_eq!(engine.sent.lock().unwrap().len(), 1);
}

/// Pattern: an order of the earlier holder took the count while two adapters were being loaded.
/// Both were planned on a state that is gone.
#[tokio::test(start_paused = true)]
async fn superseded_order_ends_the_others() {
    let engine = engine(&[], &[report(9, false, &["a1"])]);
    let sequence = OrderSequence::default();
    let first = sender(&engine, sequence.ticket());
    let second = sender(&engine, sequence.ticket());
    let result = first.execute(&swap(), Duration::ZERO).await;
    assert_eq!(result.outcome, Outcome::Conflict);
    let result = second.execute(&adapter_swap(), Duration::ZERO).await;
    assert_eq!(result.outcome, Outcome::Stale);
    assert_eq!(engine.sent.lock().unwrap().len(), 1);
}

/// Pattern: a load of the earlier holder took the count of this one's. The engine executes it; that
/// is no sign that it loads what this holder ordered.
#[tokio::test(start_paused = true)]
async fn load_of_another_holder() {
    let busy = report(1, true, &[]);
    let done = Report {
        models: BTreeMap::from([("other".into(), BTreeSet::new())]),
        ..report(1, false, &[])
    };
    let engine = engine(&[], &[busy.clone(), busy, done]);
    let load = EngineAction::LoadModel {
        evict: Vec::new(),
        model: "new".into(),
        source: WeightSource::Disk,
    };
    let sequence = OrderSequence::default();
    let result = sender(&engine, sequence.ticket())
        .execute(&load, Duration::from_secs(1))
        .await;
    assert_eq!(result.outcome, Outcome::Conflict);
}

/// Pattern: requests that this instance has not heard of use the adapter to evict, for seconds.
#[tokio::test(start_paused = true)]
async fn adapter_in_use_ends_at_once() {
    let engine = engine(&[], &[report(0, false, &["a1"])]);
    let sequence = OrderSequence::default();
    let result = sender(&engine, sequence.ticket())
        .execute(&adapter_swap(), Duration::ZERO)
        .await;
    assert_eq!(result.outcome, Outcome::InUse);
    assert_eq!(engine.sent.lock().unwrap().len(), 1);
}

/// The adapter stays on record, and the next plan evicts another one.
#[test]
fn adapter_in_use_is_kept() {
    let mut records = EngineRecords::default();
    sync(&mut records, &[listed("e", 1)]);
    let record = records.get_mut("e").unwrap();
    record.apply_report(report(0, false, &["a1", "a3"]), NOW);
    let ticket = record.begin_change(&adapter_swap(), NOW);
    let in_use = ChangeResult {
        outcome: Outcome::InUse,
        unloaded: 0,
    };
    assert!(record.finish_change(&adapter_swap(), &ticket, in_use, NOW));
    assert!(!record.state_unknown);
    let states = records.states("writers", |_, _| 0, NOW);
    let adapters = &states[0].models["old"].adapters;
    assert_eq!(adapters.get("a1"), Some(&1));
    assert_eq!(adapters.get("a3"), Some(&0));
}

/// Pattern: an engine is gone and its entry is still listed; its address refuses connections.
#[tokio::test(start_paused = true)]
async fn refused_connection_ends_the_change() {
    let engine = engine(&[OrderAnswer::NotSent], &[]);
    let sequence = OrderSequence::default();
    let result = sender(&engine, sequence.ticket())
        .execute(&swap(), Duration::ZERO)
        .await;
    assert_eq!(result.outcome, Outcome::Unreachable);
    assert_eq!(engine.sent.lock().unwrap().len(), 1);
}

/// Pattern: an engine falls silent with its connections open.
#[tokio::test(start_paused = true)]
async fn silent_engine_is_left() {
    let engine = engine(&[OrderAnswer::Unknown; 60], &[]);
    let sequence = OrderSequence::default();
    let result = sender(&engine, sequence.ticket())
        .execute(&swap(), Duration::ZERO)
        .await;
    assert_eq!(result.outcome, Outcome::Unreachable);
    assert_eq!(engine.sent.lock().unwrap().len(), 3);
}

/// Pattern: an unload waits for running requests for three seconds; the load is sent again at
/// growing intervals, not every forty milliseconds.
#[tokio::test(start_paused = true)]
async fn load_behind_an_unload() {
    let mut answers = vec![OrderAnswer::Conflict; 14];
    answers.push(OrderAnswer::Accepted);
    let engine = engine(&answers, &[report(0, true, &[])]);
    let load = EngineAction::LoadModel {
        evict: Vec::new(),
        model: "new".into(),
        source: WeightSource::Disk,
    };
    let begun = tokio::time::Instant::now();
    let sequence = OrderSequence::default();
    let orders = sender(&engine, sequence.ticket());
    let change = orders.execute(&load, Duration::from_secs(1));
    let result = tokio::time::timeout(Duration::from_secs(4), change).await;
    assert!(result.is_err(), "the load is still being waited for");
    assert_eq!(engine.sent.lock().unwrap().len(), 15);
    assert!(begun.elapsed() >= Duration::from_secs(3));
}

/// Pattern: an engine crashes during a load. Its entry stays listed for seconds, and requests wait
/// for the model that another engine could load.
#[tokio::test(start_paused = true)]
async fn crash_during_a_load() {
    let engine = engine(&[OrderAnswer::Accepted; 2], &[]);
    let sequence = OrderSequence::default();
    let orders = sender(&engine, sequence.ticket());
    let change = swap();
    let running = orders.execute(&change, Duration::from_secs(2));
    let result = tokio::time::timeout(Duration::from_millis(1200), running).await;
    assert_eq!(result.map(|r| r.outcome), Ok(Outcome::Unreachable));
}

#[test]
fn unreachable_until_it_reports() {
    let mut records = EngineRecords::default();
    sync(&mut records, &[listed("e", 1)]);
    let record = records.get_mut("e").unwrap();
    record.apply_report(report(0, false, &[]), NOW);
    record.record_failed_connect();
    assert!(!record.is_unreachable());
    record.record_failed_connect();
    assert!(record.is_unreachable() && record.state_unknown);
    record.apply_report(report(0, false, &[]), NOW);
    assert!(!record.is_unreachable());
}
