//! The race of a silent attempt with those made beside it.

use std::time::Duration;

use brassrack::gateway::silence::{Success, first_success};
use tokio::time::{Instant, sleep};

async fn after<T>(time: u64, result: T) -> T {
    sleep(Duration::from_millis(time)).await;
    result
}

/// Guards against an attempt that is given up since those made beside it failed at once.
#[tokio::test(start_paused = true)]
async fn failure_beside_keeps_it() {
    let silent = after(1_000, Ok::<_, ()>("first"));
    let won = first_success(silent, after(1, Err::<&str, _>("full"))).await;
    assert_eq!(won, Ok(Success::Silent("first")));
}

#[tokio::test(start_paused = true)]
async fn later_success_wins() {
    let begun = Instant::now();
    let silent = after(1_000, Ok::<_, ()>("first"));
    let won = first_success(silent, after(20, Ok::<_, ()>("second"))).await;
    assert_eq!(
        (won, begun.elapsed()),
        (Ok(Success::Later("second")), Duration::from_millis(20))
    );
}

/// Guards against a search that ends with the silent attempt's failure while another one runs.
#[tokio::test(start_paused = true)]
async fn failure_of_silent_waits() {
    let silent = after(10, Err::<&str, _>("closed"));
    let won = first_success(silent, after(500, Ok::<_, ()>("second"))).await;
    assert_eq!(won, Ok(Success::Later("second")));
}

#[tokio::test(start_paused = true)]
async fn both_failures_are_kept() {
    let silent = after(10, Err::<(), _>("closed"));
    let won = first_success(silent, after(5, Err::<(), _>("full"))).await;
    assert_eq!(won, Err(("closed", "full")));
}
