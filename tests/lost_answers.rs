//! A call that ran and lost its answer is never refused as not run.

use brassrack_standins::client::set_fault;
use brassrack_standins::fault::Fault;
use brassrack_standins::rack::{ORDER_SERVICE, Rack, Settings, look};

#[tokio::test(flavor = "multi_thread")]
async fn a_look_up_that_ran_is_not_refused_as_not_run() {
    let settings = Settings {
        daemons: 1,
        services: vec![ORDER_SERVICE.into()],
        ..Settings::default()
    };
    let rack = Rack::start(settings).await.unwrap();
    let service = rack.services[0].address;
    set_fault(service, "path=/stock", Fault::CutAfter(0))
        .await
        .unwrap();
    let stock = look(ORDER_SERVICE, "/stock/gilded", "papirnica");
    let reply = rack.call(0, &stock).await.unwrap();
    assert!(rack.runs("/stock/gilded", "").await.unwrap() > 0);
    assert_ne!(reply.status, 200);
    assert_ne!(
        reply.header("brassrack-verdict"),
        "not-run",
        "{}",
        reply.text()
    );
}
