//! Tables of a study, and its targets.

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
    let policy = points(rows, |s| is_policy(s) && is_keep_only(s));
    let fixed = points(rows, |s| is_fixed(s) && is_keep_only(s));
    let simple = points(rows, |s| is_fixed(s) && !is_keep_only(s));
    let best = best(&fixed);
    text.push_str(&against(&policy, &simple, "simple"));
    text.push_str(&against(&policy, &fixed, "same placement"));
    let on_demand = points(rows, |s| matches!(s.keep, Keep::Clairvoyant { .. }));
    let ahead = points(rows, |s| s.keep == Keep::JustInTime);
    for (name, bound) in [("on demand", on_demand), ("just in time", ahead)] {
        let (measure, ratio) = match site.measure {
            Measure::Tail => ("p99", tail_at(&policy, best.1) / tail_at(&bound, best.1)),
            Measure::Idle => ("idle", idle_at(&policy, best.0) / idle_at(&bound, best.0)),
        };
        let name = format!("{measure} against clairvoyant, {name}");
        let known = !bound.is_empty();
        text.push_str(&verdict(&name, known.then_some(ratio), CLAIRVOYANT_RATIO));
    }
    let own = rows
        .iter()
        .filter(|r| is_policy(&r.scheme) && !r.outcome.own.is_empty())
        .map(|r| r.outcome.own(990))
        .max_by(f64::total_cmp);
    text.push_str(&verdict(
        "load's own time over bytes/rate, p99",
        own,
        LOAD_RATIO,
    ));
    text
}

/// The policy against each fixed keep-alive time.
fn against(policy: &[Point], fixed: &[Point], kind: &str) -> String {
    let best = best(fixed);
    let mut text = String::new();
    for (tail, idle) in fixed.iter().copied() {
        let mark = if (tail, idle) == best { ", best" } else { "" };
        let name = format!("fixed at p99 {tail:.2} s, idle {idle:.2} h/d ({kind}{mark})");
        let ratio = tail_at(policy, idle) / tail;
        text.push_str(&verdict(
            &format!("p99,  {name}"),
            Some(ratio),
            BASELINE_RATIO,
        ));
        let ratio = idle_at(policy, tail) / idle;
        text.push_str(&verdict(
            &format!("idle, {name}"),
            Some(ratio),
            BASELINE_RATIO,
        ));
    }
    text
}

/// The point with the least product of both measures.
fn best(points: &[Point]) -> Point {
    points
        .iter()
        .copied()
        .min_by(|a, b| (a.0 * a.1).total_cmp(&(b.0 * b.1)))
        .unwrap_or_default()
}

fn verdict(name: &str, ratio: Option<f64>, most: f64) -> String {
    let Some(ratio) = ratio else {
        return format!("  none           (at most {most:.1})  {name}\n");
    };
    let met = if ratio <= most { "met" } else { "MISSED" };
    format!("  {met:<6} {ratio:>7.3} (at most {most:.1})  {name}\n")
}

fn is_policy(scheme: &Scheme) -> bool {
    matches!(scheme.keep, Keep::Policy { ahead: true, .. })
}

fn is_fixed(scheme: &Scheme) -> bool {
    matches!(scheme.keep, Keep::Fixed(_))
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
