//! The platform's table service is down: what runs goes on, the rest is refused at once.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use brassrack_standins::answer::Prompt;
use brassrack_standins::client::set_fault;
use brassrack_standins::fault::Fault;
use brassrack_standins::rack::{ORDER_SERVICE, Rack, Settings, chat, look, paid};
use brassrack_standins::service::look_up;
use tokio::time::{Instant, sleep};

/// Time in which a refusal counts as immediate: one time limit of the platform, tried twice.
const AT_ONCE: Duration = Duration::from_secs(6);
/// Time in which all works again after the outage.
const RECOVERY: Duration = Duration::from_secs(15);

fn prompt(model: &str) -> Prompt {
    Prompt {
        model: model.into(),
        text: "wording".into(),
        tokens: 8,
        stream: false,
    }
}

async fn fault(rack: &Rack, fault: Fault) {
    set_fault(rack.table.address, "", fault).await.unwrap();
}

async fn check_warm(rack: &Rack) {
    for turn in 0..3 {
        let warm = prompt("counter-draft");
        let reply = rack.call(turn, &chat(&warm, "papirnica")).await.unwrap();
        assert_eq!(reply.text(), warm.bytes());
        let stock = look(ORDER_SERVICE, "/stock/gilded", "papirnica");
        let reply = rack.call(turn, &stock).await.unwrap();
        assert_eq!(reply.text(), look_up("/stock/gilded", "stock").to_string());
    }
}

async fn check_refused(rack: &Rack) {
    let started = Instant::now();
    let cold = rack
        .call(0, &chat(&prompt("menu-cards"), "papirnica"))
        .await
        .unwrap();
    let order = paid(ORDER_SERVICE, "/orders", "outage-1", "papirnica");
    let order = rack.call(1, &order).await.unwrap();
    for reply in [cold, order] {
        assert_eq!(
            reply.header("brassrack-verdict"),
            "not-run",
            "{}",
            reply.text()
        );
        assert_eq!(
            reply.header("brassrack-cause"),
            "table-down",
            "{}",
            reply.text()
        );
        assert!(!reply.header("retry-after").is_empty());
    }
    assert!(started.elapsed() <= AT_ONCE * 2, "{:?}", started.elapsed());
    assert_eq!(rack.runs("/orders", "outage-1").await.unwrap(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn warm_traffic_goes_on_and_the_rest_is_refused() {
    let rack = Rack::start(Settings::default()).await.unwrap();
    check_warm(&rack).await;
    for outage in [Fault::Down, Fault::Silent] {
        fault(&rack, outage).await;
        check_warm(&rack).await;
        check_refused(&rack).await;
        fault(&rack, Fault::None).await;
        check_warm(&rack).await;
    }
    let started = Instant::now();
    let order = paid(ORDER_SERVICE, "/orders", "outage-1", "papirnica");
    while rack.call(2, &order).await.unwrap().status != 201 {
        assert!(started.elapsed() <= RECOVERY);
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(rack.runs("/orders", "outage-1").await.unwrap(), 1);
    let cold = prompt("menu-cards");
    let reply = rack.call(0, &chat(&cold, "papirnica")).await.unwrap();
    assert_eq!(reply.text(), cold.bytes());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_table_only_delays() {
    let rack = Rack::start(Settings::default()).await.unwrap();
    fault(&rack, Fault::Slow(500)).await;
    let cold = prompt("counter-draft");
    let reply = rack.call(0, &chat(&cold, "papirnica")).await.unwrap();
    assert_eq!(reply.text(), cold.bytes());
    let order = paid(ORDER_SERVICE, "/orders", "slow-1", "papirnica");
    for turn in 0..2 {
        assert_eq!(rack.call(turn, &order).await.unwrap().status, 201);
    }
    assert_eq!(rack.runs("/orders", "slow-1").await.unwrap(), 1);
    check_warm(&rack).await;
}
