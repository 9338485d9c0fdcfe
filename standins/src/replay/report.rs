//! Tables of a study, and its targets.

use std::fmt::Write as _;
use std::time::Duration;

use super::scheme::{Keep, Order, Place, Scheme};
use super::site::{Measure, Site};
use super::study::Row;

/// Most of the baseline's measure that the policy may have.
const BASELINE_RATIO: f64 = 0.6;
/// Most of the clairvoyant measure that the policy may have.
const CLAIRVOYANT_RATIO: f64 = 1.3;
/// Most of bytes over store rate that a load may take where a slot is free.
const LOAD_RATIO: f64 = 1.1;

/// Seconds of wait and idle hours a day.
type Point = (f64, f64);

/// The table of all schemes.
#[must_use]
pub fn table(site: &Site, rows: &[Row]) -> String {
    let mut text = format!(
        "{}\n{:<50} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8} {:>7} {:>8}\n",
        site.name,
        "scheme",
        "p50 s",
        "p95 s",
        "p99 s",
        "cold",
        "refused",
        "late",
        "idle h/d",
        "loads/d",
        "own p99"
    );
    for row in rows {
        text.push_str(&line(row));
    }
    text
}

fn line(row: &Row) -> String {
    let o = &row.outcome;
    format!(
        "{:<50} {:>6.2} {:>6.2} {:>6.2} {:>6.3} {:>7} {:>7} {:>8.2} {:>7.0} {:>8.3}\n",
        row.scheme.name(),
        o.wait(500).as_secs_f64(),
        o.wait(950).as_secs_f64(),
        o.wait(990).as_secs_f64(),
        o.cold_share(),
        o.refused,
        o.late,
        o.idle_hours(),
        o.daily(o.loads),
        o.own(990)
    )
}

/// What each target asks, and whether it is met.
#[must_use]
pub fn targets(site: &Site, rows: &[Row]) -> String {
    let mut text = format!("targets of {}\n", site.name);
    let fixed = points(rows, |s| {
        matches!(s.keep, Keep::Fixed(_)) && is_keep_only(s)
    });
    let policy = points(rows, |s| {
        matches!(s.keep, Keep::Policy { ahead: true, .. }) && is_keep_only(s)
    });
    let best = fixed
        .iter()
        .copied()
        .min_by(|a, b| (a.0 * a.1).total_cmp(&(b.0 * b.1)))
        .unwrap_or_default();
    for point in &fixed {
        let mark = if *point == best {
            "best fixed"
        } else {
            "fixed"
        };
        let name = format!("{mark}, p99 {:.2} s, idle {:.2} h/d", point.0, point.1);
        let tail = tail_at(&policy, point.1) / point.0;
        let idle = idle_at(&policy, point.0) / point.1;
        text.push_str(&verdict(
            &format!("p99 at its idle, {name}"),
            tail,
            BASELINE_RATIO,
        ));
        text.push_str(&verdict(
            &format!("idle at its p99, {name}"),
            idle,
            BASELINE_RATIO,
        ));
    }
    let on_demand = points(rows, |s| matches!(s.keep, Keep::Clairvoyant { .. }));
    let ahead = points(rows, |s| s.keep == Keep::JustInTime);
    for (name, bound) in [("on demand", on_demand), ("just in time", ahead)] {
        let ratio = match site.measure {
            Measure::Tail => tail_at(&policy, best.1) / tail_at(&bound, best.1),
            Measure::Idle => idle_at(&policy, best.0) / idle_at(&bound, best.0),
        };
        let measure = match site.measure {
            Measure::Tail => "p99 at the best fixed idle",
            Measure::Idle => "idle at the best fixed p99",
        };
        let name = format!("{measure} against clairvoyant, {name}");
        text.push_str(&verdict(&name, ratio, CLAIRVOYANT_RATIO));
    }
    let own = rows
        .iter()
        .filter(|r| matches!(r.scheme.keep, Keep::Policy { .. }))
        .map(|r| r.outcome.own(990))
        .fold(0.0, f64::max);
    text.push_str(&verdict(
        "load's own time over bytes/rate, p99",
        own,
        LOAD_RATIO,
    ));
    text
}

fn verdict(name: &str, ratio: f64, most: f64) -> String {
    let met = if ratio <= most { "met" } else { "MISSED" };
    let mut text = String::new();
    // Writing to a string does not fail.
    let _written = writeln!(text, "  {met:<6} {ratio:>7.3} (at most {most:.1})  {name}");
    text
}

/// Whether a scheme differs from the policy in its keep-alive alone.
fn is_keep_only(scheme: &Scheme) -> bool {
    scheme.order == Order::Policy && scheme.place == Place::Policy
}

/// Tail and idle hours of some schemes.
pub(super) fn points(rows: &[Row], wanted: fn(&Scheme) -> bool) -> Vec<Point> {
    rows.iter()
        .filter(|r| wanted(&r.scheme))
        .map(|r| (seconds(r.outcome.wait(990)), r.outcome.idle_hours()))
        .collect()
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// Least tail of the points with at most so many idle hours.
fn tail_at(points: &[Point], idle: f64) -> f64 {
    let within = points.iter().filter(|p| p.1 <= idle);
    within.map(|p| p.0).fold(f64::INFINITY, f64::min)
}

/// Fewest idle hours of the points with at most such a tail.
fn idle_at(points: &[Point], tail: f64) -> f64 {
    let within = points.iter().filter(|p| p.0 <= tail);
    within.map(|p| p.1).fold(f64::INFINITY, f64::min)
}
