//! Software versions that began streams: what an instance knows, tells and forgets.

use std::collections::BTreeMap;
use std::time::Duration;

use brassrack::gateway::stream_origins::{Origin, Scope, StreamOrigins};

const NOW: Duration = Duration::from_secs(100);
const RETENTION: Duration = Duration::from_secs(20);
const SERVICE: &str = "writers";

fn knows(versions: &[&str]) -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    origins.set_retention(RETENTION);
    for version in versions {
        origins.observe(SERVICE, version, NOW);
    }
    origins
}

fn version(software: &str) -> Origin {
    Origin::Version(software.into())
}

/// Passes on to `to` what `from` has told nobody yet.
fn tell(from: &StreamOrigins, to: &mut StreamOrigins, now: Duration) {
    if let Some(notice) = from.new_notice(0, Scope::Own, now) {
        to.apply(&notice, now);
    }
}

#[test]
fn sole_version_began_all() {
    assert_eq!(knows(&["v1"]).origin("a", SERVICE, NOW), version("v1"));
}

#[test]
fn no_version_is_known() {
    assert_eq!(knows(&[]).origin("a", SERVICE, NOW), Origin::NoVersion);
}

#[test]
fn other_service_is_no_version() {
    assert_eq!(knows(&["v1"]).origin("a", "calls", NOW), Origin::NoVersion);
}

/// Guards against streams of a version that has just gone, resumed at the one that is left.
#[test]
fn gone_version_may_have_begun_it() {
    let mut origins = knows(&["v1"]);
    let later = NOW + RETENTION / 2;
    origins.observe(SERVICE, "v2", later);
    assert_eq!(origins.origin("a", SERVICE, later), Origin::Unknown);
}

#[test]
fn gone_version_is_forgotten() {
    let mut origins = knows(&["v1"]);
    let later = NOW + RETENTION + Duration::from_millis(1);
    origins.observe(SERVICE, "v2", later);
    assert_eq!(origins.origin("a", SERVICE, later), version("v2"));
}

/// Nothing is told while a service has one version: that would be a message for each stream.
#[test]
fn single_version_tells_nothing() {
    let mut origins = knows(&["v1"]);
    origins.record("a", SERVICE, "v1", NOW);
    assert_eq!(origins.new_notice(0, Scope::All, NOW), None);
}

/// Guards against streams that began before the second version came, of which nobody was told.
#[test]
fn earlier_streams_are_told() {
    let mut first = knows(&["v1"]);
    first.record("a", SERVICE, "v1", NOW);
    let told = first.last_number();
    first.observe(SERVICE, "v2", NOW);
    let notice = first.new_notice(told, Scope::Own, NOW).unwrap();
    let mut other = knows(&["v1", "v2"]);
    other.apply(&notice, NOW);
    assert_eq!(other.origin("a", SERVICE, NOW), version("v1"));
}

/// An instance that has just started learns that another version served until now.
#[test]
fn versions_are_told_without_streams() {
    let mut fresh = knows(&["v2"]);
    tell(&knows(&["v1", "v2"]), &mut fresh, NOW);
    assert_eq!(fresh.origin("a", SERVICE, NOW), Origin::Unknown);
}

/// Streams told by others are not reported again to the one that tells all.
#[test]
fn told_streams_are_not_reported() {
    let (mut first, mut second) = (knows(&["v1", "v2"]), knows(&["v1", "v2"]));
    first.record("a", SERVICE, "v1", NOW);
    tell(&first, &mut second, NOW);
    let notice = second.new_notice(0, Scope::Own, NOW).unwrap();
    assert!(!notice.has_streams());
}

/// Only what is new is told.
#[test]
fn records_are_told_once() {
    let mut origins = knows(&["v1", "v2"]);
    origins.record("a", SERVICE, "v1", NOW);
    let notice = origins.new_notice(origins.last_number(), Scope::All, NOW);
    assert!(!notice.unwrap().has_streams());
}

/// Model: whatever is recorded, told and lost, no instance names a version that did not begin the
/// stream, and one that was told names the right one.
#[test]
fn origin_is_right_or_unknown() {
    arbtest::arbtest(|u| {
        let mut instances = [knows(&["v1"]), knows(&["v1"]), knows(&["v1"])];
        let mut truth: BTreeMap<String, &str> = BTreeMap::new();
        let mut listed = vec!["v1"];
        let mut now = NOW;
        for step in 0..u.int_in_range(1..=40)? {
            now += Duration::from_millis(u.int_in_range(0..=900)?);
            let at = u.choose_index(3)?;
            for instance in &mut instances {
                for software in &listed {
                    instance.observe(SERVICE, software, now);
                }
            }
            match u.int_in_range(0..=3_u8)? {
                0 => listed = vec!["v1", "v2"],
                1 | 2 => {
                    let id = format!("s{step}");
                    let software = *u.choose(&listed)?;
                    instances[at].record(&id, SERVICE, software, now);
                    truth.insert(id, software);
                }
                _ => {
                    let to = u.choose_index(3)?;
                    let notice = instances[at].new_notice(0, Scope::All, now);
                    if let Some(notice) = notice {
                        instances[to].apply(&notice, now);
                        for id in truth.keys() {
                            let from = instances[at].origin(id, SERVICE, now);
                            let known = instances[to].origin(id, SERVICE, now);
                            assert!(from == Origin::Unknown || known == from, "{id}");
                        }
                    }
                }
            }
            for (id, software) in &truth {
                let origin = instances[at].origin(id, SERVICE, now);
                let is_right = origin == version(software) || origin == Origin::Unknown;
                assert!(is_right, "{id} began at {software}, not {origin:?}");
            }
        }
        Ok(())
    });
}
