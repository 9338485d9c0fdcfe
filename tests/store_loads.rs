//! How many loads from the weight store run at once, against stores that serve 1 to 8 at full speed.

use std::time::Duration;

use brassrack::gateway::orders::store_loads::StoreLoads;

const COLD: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(100);

/// Loads that ended within half an hour of unlimited demand, and those among them that took 1.3
/// times as long as alone or longer.
fn play(served: u32, cautious: bool) -> (u32, u32) {
    let mut loads = StoreLoads::new(Duration::from_secs(1));
    loads.set_cautious(cautious);
    let mut running: Vec<(Duration, f64)> = Vec::new();
    let (mut ended, mut slow) = (0, 0);
    for step in 0..18_000 {
        let now = STEP * step;
        while running.len() < loads.parallel_limit() as usize {
            running.push((now, COLD.as_secs_f64()));
        }
        let count = u32::try_from(running.len()).unwrap_or(u32::MAX);
        let speed = (f64::from(served) / f64::from(count)).min(1.0);
        for load in &mut running {
            load.1 -= STEP.as_secs_f64() * speed;
        }
        let done: Vec<_> = running.extract_if(.., |load| load.1 <= 0.0).collect();
        for (at, (began, _)) in (0..).zip(done) {
            let took = (now + STEP).saturating_sub(began);
            loads.finish(took, Some(COLD), count - at, now);
            ended += 1;
            slow += u32::from(took > COLD.mul_f64(1.3));
        }
    }
    (ended, slow)
}

/// Guards against loads that share the store's bandwidth, which took 31 to 41 s instead of 10 s, and
/// against a store that is left half idle.
#[test]
fn loads_run_at_full_speed() {
    for served in [1, 2, 4, 8] {
        let (ended, slow) = play(served, true);
        println!("store serves {served}: {ended} loads, {slow} slow");
        assert!(
            slow * 10 <= ended,
            "store serves {served}: {slow} of {ended}"
        );
        assert!(
            ended * 10 >= 180 * served * 8,
            "store serves {served}: {ended}"
        );
    }
}

/// Where replicas do not follow demand, the first loads start as before.
#[test]
fn four_loads_at_first_without_accounts() {
    let mut loads = StoreLoads::new(Duration::from_secs(1));
    assert_eq!(loads.parallel_limit(), 4);
    loads.set_cautious(true);
    assert_eq!(loads.parallel_limit(), 2);
}
