//! Choice of owner instances.

use std::collections::{BTreeMap, BTreeSet};

use brassrack::ownership::{Owners, owner};

fn live(count: usize) -> BTreeSet<String> {
    (0..count).map(|i| format!("entry-{i}")).collect()
}

fn owners(live: &BTreeSet<String>) -> BTreeMap<String, String> {
    (0..3895)
        .map(|i| format!("model/m{i}"))
        .filter_map(|key| Some((key.clone(), owner(&key, live)?.clone())))
        .collect()
}

#[test]
fn nobody_is_home_of_an_empty_rack() {
    assert_eq!(owner("model/m", &live(0)), None);
}

#[test]
fn departure_moves_only_the_keys_of_the_departed() {
    let mut set = live(8);
    let before = owners(&set);
    set.remove("entry-3");
    let after = owners(&set);
    let moved = before.iter().filter(|(key, owner)| after[*key] != **owner);
    assert!(moved.into_iter().all(|(_, owner)| owner == "entry-3"));
}

#[test]
fn arrival_takes_keys_only_to_the_newcomer() {
    let before = owners(&live(7));
    let after = owners(&live(8));
    let moved = after.iter().filter(|(key, owner)| before[*key] != **owner);
    assert!(moved.into_iter().all(|(_, owner)| owner == "entry-7"));
}

#[test]
fn keys_are_spread_evenly() {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for owner in owners(&live(8)).into_values() {
        *counts.entry(owner).or_default() += 1;
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
    let Some(first) = owner(&key, &set) else {
        return Ok(());
    };
    let part: BTreeSet<String> = set
        .iter()
        .filter(|name| *name == first || name.len() % 2 == 0)
        .cloned()
        .collect();
    assert_eq!(owner(&key, &part), Some(first));
    Ok(())
}

#[test]
fn prepared_choice_is_the_same() {
    let set = live(32);
    let prepared = Owners::new(&set);
    let all = owners(&set);
    assert!(
        all.iter()
            .all(|(key, owner)| prepared.owner(key) == Some(owner))
    );
}
