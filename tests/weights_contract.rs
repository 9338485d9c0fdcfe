//! Contract of the weight store, on the stand-in under a paused clock.

use std::time::Duration;

use brassrack_standins::http::Call;
use brassrack_standins::weights::{Ledger, Settings, Weights};
use futures_util::future::join_all;
use tokio::time::Instant;

const GB: u64 = 1_000_000_000;

fn transfer(kind: &str) -> Call {
    Call {
        method: hyper::Method::GET,
        path: "/v1/weights/m".into(),
        query: format!("bytes={GB}&kind={kind}"),
        headers: hyper::HeaderMap::default(),
        body: bytes::Bytes::default(),
    }
}

async fn time_of(kind: &str, count: usize) -> (Duration, Ledger) {
    let weights = Weights::new(Settings {
        rate: GB,
        ..Settings::default()
    });
    let start = Instant::now();
    join_all((0..count).map(|_| weights.answer(transfer(kind)))).await;
    let ledger = serde_json::from_value(weights.ledger()).unwrap_or_default();
    (start.elapsed(), ledger)
}

#[tokio::test(start_paused = true)]
async fn models_beyond_the_limit_share_the_rate() {
    // Transfers of one second at once, and the time of all.
    for (count, seconds) in [(1, 1.0), (4, 1.0), (8, 2.0), (16, 4.0)] {
        let (time, ledger) = time_of("model", count).await;
        let error = (time.as_secs_f64() - seconds).abs();
        assert!(error < 0.02 * seconds, "{count}: {time:?}");
        assert_eq!(ledger.models.peak as usize, count);
    }
}

#[tokio::test(start_paused = true)]
async fn adapters_beyond_the_limit_take_longer_in_proportion() {
    let (alone, _) = time_of("adapter", 1).await;
    assert!(alone >= Duration::from_millis(2) && alone <= Duration::from_millis(20));
    let (full, ledger) = time_of("adapter", 32).await;
    assert_eq!(full, alone);
    assert_eq!(ledger.adapters.peak, 32);
    let (double, _) = time_of("adapter", 64).await;
    assert!(double > alone && double <= alone * 2 + Duration::from_millis(1));
}
