//! What a lease holder that is behind finds of its peers' reports, and how long its lease lasts.

use std::time::Duration;

use brassrack::gateway::lease::{Echo, Echoes, Lease, LeaseRow, LeaseTiming};
use brassrack::gateway::link::{DemandReport, LeavingEndpoint, TargetCount};
use brassrack::gateway::orders::inbox::{DemandInbox, LinkReport};
use tokio::sync::mpsc;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn count(model: &str, count: u32, arrivals: u32) -> TargetCount {
    TargetCount {
        scope: "writers".into(),
        model: model.into(),
        count,
        arrivals,
        ..TargetCount::default()
    }
}

fn report(requested: Vec<TargetCount>, aborted: &[u64], echo: u64) -> LinkReport {
    LinkReport {
        demand: DemandReport {
            instance: "peer".into(),
            requested,
            aborted: aborted.to_vec(),
            clock_echo: echo,
            reads_successors: true,
            ..DemandReport::default()
        },
        updates: mpsc::channel(1).0,
        heard_at: at(echo),
    }
}

fn holder() -> Lease {
    let row = LeaseRow {
        holder: "me".into(),
        address: ([127, 0, 0, 1], 7).into(),
        released: false,
        era: 0,
        successors: None,
        heard: None,
        expiring: None,
    };
    let mut lease = Lease::new(row, LeaseTiming::default());
    lease.record_write(5, at(10_000));
    lease
}

/// Pattern: hundreds of instances report five times a second to a holder that plans for a second.
/// It reads one report of each, the newest, and misses no arrival.
#[test]
fn reports_are_joined() {
    let inbox = DemandInbox::default();
    inbox.report(
        1,
        report(vec![count("m", 3, 2), count("n", 1, 1)], &[8], 10),
    );
    inbox.report(1, report(vec![count("m", 1, 4)], &[9], 20));
    let pending = inbox.take();
    assert_eq!(pending.reports.len(), 1);
    let demand = &pending.reports[&1].demand;
    assert_eq!(demand.requested, [count("m", 1, 6), count("n", 0, 1)]);
    assert_eq!(demand.aborted, [9, 8]);
    assert!(inbox.take().reports.is_empty());
}

/// Guards against refused requests that are no demand, as a newer report replaced theirs.
#[test]
fn refused_requests_are_joined() {
    let refused = |refused| TargetCount {
        refused,
        ..count("m", 0, 0)
    };
    let inbox = DemandInbox::default();
    inbox.report(1, report(vec![refused(3)], &[], 10));
    inbox.report(1, report(vec![refused(1)], &[], 20));
    inbox.report(1, report(Vec::new(), &[], 30));
    let pending = inbox.take();
    assert_eq!(pending.reports[&1].demand.requested, [refused(4)]);
}

/// Guards against endpoints that leave and are unknown to a new holder, which is behind: only the
/// first report of a link has all of them.
#[test]
fn leaving_of_the_first_report_is_kept() {
    let leaving = |id: &str| LeavingEndpoint {
        id: id.into(),
        started_ms: 5,
    };
    let inbox = DemandInbox::default();
    let mut first = report(Vec::new(), &[], 0);
    first.demand.leaving = vec![leaving("a"), leaving("b")];
    inbox.report(1, first);
    let mut second = report(Vec::new(), &[], 10);
    second.demand.leaving = vec![leaving("b")];
    inbox.report(1, second);
    let found = &inbox.take().reports[&1].demand.leaving;
    assert_eq!(*found, [leaving("b"), leaving("a")]);
}

/// A holder that has written a row which names these instances, with their echoes at 10 s.
fn naming(instances: &[&str]) -> (Lease, Echoes) {
    let mut lease = holder();
    let mut echoes = Echoes::default();
    for instance in instances {
        echoes.record(instance, echo(9_900));
    }
    let named = echoes.name_successors(&lease, at(12_000));
    assert!(named.as_ref().is_some_and(|s| s.count() == instances.len()));
    lease.record_write(6, at(10_000));
    echoes.record_row(named.as_ref(), at(12_000));
    (lease, echoes)
}

fn echo(reading: u64) -> Echo {
    Echo {
        reading: at(reading),
        heard_at: at(12_000),
        reads_row: true,
    }
}

/// The echo counts from its arrival, however late the holder plans.
#[test]
fn echo_counts_before_the_plan() {
    let inbox = DemandInbox::default();
    inbox.report(1, report(Vec::new(), &[], 12_000));
    let mut lease = holder();
    let named = inbox.echoes().name_successors(&lease, at(12_000));
    lease.record_write(6, at(12_000));
    inbox.echoes().record_row(named.as_ref(), at(12_000));
    inbox.report(1, report(Vec::new(), &[], 13_500));
    inbox.echoes().extend(&mut lease);
    assert_eq!(lease.fencing_token(at(15_000)), Some(5));
}

/// Pattern: the lease has run out for an instant, and one of two peers echoes again first. The
/// other has not heard from the holder for longer, and may be about to take over.
#[test]
fn one_echo_of_two_is_not_enough() {
    let (mut lease, mut echoes) = naming(&["near", "far"]);
    echoes.record("near", echo(10_500));
    echoes.record("far", echo(10_100));
    assert_eq!(lease.fencing_token(at(12_200)), None);
    echoes.record("near", echo(12_300));
    echoes.extend(&mut lease);
    assert_eq!(lease.fencing_token(at(12_400)), None);
    echoes.record("far", echo(12_300));
    echoes.extend(&mut lease);
    assert_eq!(lease.fencing_token(at(12_400)), Some(5));
}

/// Guards against ONE: an instance that fell silent before the last renewal takes over behind a cut,
/// while the holder goes on by the echoes of the others.
#[test]
fn silent_successor_ends_the_term() {
    let (mut lease, mut echoes) = naming(&["gone", "near"]);
    echoes.record("near", echo(11_500));
    echoes.extend(&mut lease);
    assert_eq!(lease.fencing_token(at(11_800)), Some(5));
    assert_eq!(lease.fencing_token(at(13_000)), None);
}

/// Writes a row at a time, which announces that silent instances will be left out.
fn announce(lease: &mut Lease, echoes: &mut Echoes, time: u64) {
    let named = echoes.name_successors(lease, at(time));
    lease.record_write(7, at(time));
    assert!(echoes.record_row(named.as_ref(), at(time)).is_empty());
}

/// Guards against ONE: an instance that read its name in a row is left out by the next one, and the
/// store comes back from a copy without it.
#[test]
fn instance_is_left_out_after_a_notice() {
    let (mut lease, mut echoes) = naming(&["gone"]);
    for time in [12_300, 12_600, 14_500] {
        announce(&mut lease, &mut echoes, time);
        let named = echoes.name_successors(&lease, at(time));
        assert!(named.is_some_and(|s| s.contains("gone")));
        assert_eq!(echoes.expiring().is_empty(), time == 12_300);
    }
    let named = echoes.name_successors(&lease, at(14_600));
    assert!(named.is_some_and(|s| !s.contains("gone")));
}

/// Word of an instance ends its notice.
#[test]
fn notice_ends_with_a_report() {
    let (mut lease, mut echoes) = naming(&["slow"]);
    announce(&mut lease, &mut echoes, 13_500);
    let heard = Echo {
        heard_at: at(14_000),
        ..echo(13_900)
    };
    echoes.record("slow", heard);
    let named = echoes.name_successors(&lease, at(16_000));
    assert!(named.is_some_and(|s| s.contains("slow")));
}

/// An instance that is gone does not end the term once a row in force leaves it out.
#[test]
fn left_out_instance_is_not_waited_for() {
    let (mut lease, mut echoes) = naming(&["gone", "near"]);
    let later = |reading| Echo {
        heard_at: at(15_500),
        ..echo(reading)
    };
    announce(&mut lease, &mut echoes, 13_500);
    echoes.record("near", later(15_400));
    let named = echoes.name_successors(&lease, at(15_500));
    let named = named.as_ref().unwrap();
    assert!(named.contains("near") && !named.contains("gone"));
    lease.record_write(8, at(15_500));
    let left_out = echoes.record_row(Some(named), at(15_500));
    assert!(left_out.into_iter().eq(["gone".to_owned()]));
    echoes.record("near", later(20_000));
    echoes.extend(&mut lease);
    assert_eq!(lease.fencing_token(at(21_500)), Some(5));
}

/// An instance stays a successor where it is unknown whether the row that leaves it out was written.
#[test]
fn unknown_row_leaves_nobody_out() {
    let (mut lease, mut echoes) = naming(&["gone", "near"]);
    announce(&mut lease, &mut echoes, 13_500);
    let named = echoes.name_successors(&lease, at(15_500));
    assert!(named.is_some_and(|s| !s.contains("gone")));
    echoes.record_unknown_row();
    echoes.record("near", echo(15_500));
    echoes.extend(&mut lease);
    assert_eq!(lease.fencing_token(at(16_000)), None);
}

/// An instance of an earlier build takes over after the term whether it is named or not.
#[test]
fn earlier_build_is_never_left_out() {
    let (mut lease, mut echoes) = naming(&["near"]);
    let earlier = Echo {
        reads_row: false,
        ..echo(10_000)
    };
    echoes.record("old", earlier);
    let named = echoes.name_successors(&lease, at(20_000));
    lease.record_write(7, at(20_000));
    echoes.record_row(named.as_ref(), at(20_000));
    echoes.record("near", echo(22_000));
    echoes.extend(&mut lease);
    assert_eq!(lease.fencing_token(at(23_000)), None);
}

/// The first rows of a term name nobody, so that instances without a link yet take over soon; the
/// holder does not go on without the store then.
#[test]
fn first_rows_name_nobody() {
    let mut lease = holder();
    let mut echoes = Echoes::default();
    echoes.record("near", echo(11_500));
    assert_eq!(echoes.name_successors(&lease, at(11_900)), None);
    echoes.record_row(None, at(11_900));
    echoes.extend(&mut lease);
    assert_eq!(lease.fencing_token(at(12_500)), None);
}
