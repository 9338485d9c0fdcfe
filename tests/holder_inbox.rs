//! What a lease holder that is behind finds of its peers' reports, and how long its lease lasts.

use std::time::Duration;

use brassrack::gateway::lease::{Echoes, Lease, LeaseRow, LeaseTiming};
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

/// The echo counts from its arrival, however late the holder plans.
#[test]
fn echo_counts_before_the_plan() {
    let inbox = DemandInbox::default();
    inbox.report(1, report(Vec::new(), &[], 11_500));
    let mut lease = holder();
    inbox.echoes().extend(&mut lease, |_| false);
    assert_eq!(lease.fencing_token(at(13_000)), Some(5));
}

/// Pattern: the lease has run out for an instant, and one of two peers echoes again first. The
/// other has not heard from the holder for longer, and may be about to take over.
#[test]
fn one_echo_of_two_is_not_enough() {
    let mut lease = holder();
    let mut echoes = Echoes::default();
    echoes.record("near", at(10_500));
    echoes.record("far", at(10_100));
    assert_eq!(lease.fencing_token(at(12_200)), None);
    echoes.record("near", at(12_300));
    echoes.extend(&mut lease, |_| true);
    assert_eq!(lease.fencing_token(at(12_400)), None);
    echoes.record("far", at(12_300));
    echoes.extend(&mut lease, |_| true);
    assert_eq!(lease.fencing_token(at(12_400)), Some(5));
}

/// A peer that fell silent before the renewal waits anew; its echo no longer counts.
#[test]
fn renewal_forgets_the_silent() {
    let mut lease = holder();
    let mut echoes = Echoes::default();
    echoes.record("gone", at(9_000));
    echoes.record("near", at(11_500));
    echoes.extend(&mut lease, |name| name == "near");
    assert_eq!(lease.fencing_token(at(13_000)), Some(5));
}
