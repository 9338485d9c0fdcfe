//! Connections of callers: which one gives way where there is no place for a new one.

use std::sync::Arc;
use std::time::Duration;

use brassrack::gateway::idle_connections::{CallerConnection, IdleConnections};
use brassrack::http::full;
use tokio::time::{sleep, timeout};

async fn is_closing(connection: &CallerConnection) -> bool {
    timeout(Duration::from_millis(5), connection.closed())
        .await
        .is_ok()
}

/// A connection that has carried a request and its answer.
fn use_once(connection: &Arc<CallerConnection>) {
    assert!(connection.begin_request());
    drop(connection.track_answer(full("")));
}

/// Guards against answers that break off: a connection is closed while its answer is under way.
#[tokio::test]
async fn answer_under_way_stays() {
    let idle = Arc::new(IdleConnections::default());
    let connection = Arc::new(idle.add());
    assert!(connection.begin_request());
    assert!(!idle.close_one());
    let answer = connection.track_answer(full("answer"));
    assert!(!idle.close_one());
    drop(answer);
    assert!(idle.close_one());
    assert!(is_closing(&connection).await);
}

/// Guards against kept connections that give way to silent ones.
#[tokio::test(start_paused = true)]
async fn unused_goes_before_used() {
    let idle = Arc::new(IdleConnections::default());
    let (used, silent) = (Arc::new(idle.add()), Arc::new(idle.add()));
    use_once(&used);
    sleep(Duration::from_secs(1)).await;
    let newer = Arc::new(idle.add());
    for closed in [&silent, &newer, &used] {
        assert!(idle.close_one());
        assert!(is_closing(closed).await);
    }
}

/// Guards against requests that are refused on connections that stay open, and against ones that are
/// passed on though their connection closes.
#[tokio::test]
async fn only_a_closing_connection_refuses() {
    let idle = Arc::new(IdleConnections::default());
    let connection = Arc::new(idle.add());
    // The next request may be read before the last answer is known to be written.
    assert!(connection.begin_request() && connection.begin_request());
    drop(connection.track_answer(full("")));
    assert!(idle.close_one());
    assert!(!connection.begin_request());
}
