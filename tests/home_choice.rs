//! Choice of home instances.

use std::collections::{BTreeMap, BTreeSet};

use brassrack::home::{Homes, home};

fn live(count: usize) -> BTreeSet<String> {
    (0..count).map(|i| format!("entry-{i}")).collect()
}

fn homes(live: &BTreeSet<String>) -> BTreeMap<String, String> {
    (0..3895)
        .map(|i| format!("model/m{i}"))
        .filter_map(|key| Some((key.clone(), home(&key, live)?.clone())))
        .collect()
}

#[test]
fn nobody_is_home_of_an_empty_rack() {
    assert_eq!(home("model/m", &live(0)), None);
}

#[test]
fn departure_moves_only_the_keys_of_the_departed() {
    let mut set = live(8);
    let before = homes(&set);
    set.remove("entry-3");
    let after = homes(&set);
    let moved = before.iter().filter(|(key, home)| after[*key] != **home);
    assert!(moved.into_iter().all(|(_, home)| home == "entry-3"));
}

#[test]
fn arrival_takes_keys_only_to_the_newcomer() {
    let before = homes(&live(7));
    let after = homes(&live(8));
    let moved = after.iter().filter(|(key, home)| before[*key] != **home);
    assert!(moved.into_iter().all(|(_, home)| home == "entry-7"));
}

#[test]
fn keys_are_spread_evenly() {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for home in homes(&live(8)).into_values() {
        *counts.entry(home).or_default() += 1;
    }
    let mean = 3895 / 8;
    let even = counts
        .values()
        .all(|n| (mean * 4 / 5..=mean * 6 / 5).contains(n));
    assert!(counts.len() == 8 && even, "{counts:?}");
}

#[test]
fn choice_is_the_same_for_any_view_that_holds_the_home() {
    for seed in 1..=200 {
        arbtest::arbtest(keeps_the_home).seed(seed << 32 | 512);
    }
}

fn keeps_the_home(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let key: String = u.arbitrary()?;
    let set: BTreeSet<String> = u.arbitrary()?;
    let Some(first) = home(&key, &set) else {
        return Ok(());
    };
    let part: BTreeSet<String> = set
        .iter()
        .filter(|name| *name == first || name.len() % 2 == 0)
        .cloned()
        .collect();
    assert_eq!(home(&key, &part), Some(first));
    Ok(())
}

#[test]
fn prepared_choice_is_the_same() {
    let set = live(32);
    let prepared = Homes::new(&set);
    let all = homes(&set);
    assert!(
        all.iter()
            .all(|(key, home)| prepared.home(key) == Some(home))
    );
}
