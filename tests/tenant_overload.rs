//! Three times the capacity from one tenant: all are answered in time, others keep their share.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use brassrack_standins::answer::Prompt;
use brassrack_standins::client::{Reply, call};
use brassrack_standins::rack::{CHECKED_ENGINES, Rack, Settings, chat};
use futures_util::future::join_all;
use tokio::time::{Instant, interval, timeout};

/// Time to the first byte that each request allows.
const ALLOWED: Duration = Duration::from_millis(1500);
/// Time beyond the allowed one in which the final answer must be there.
const SLACK: Duration = Duration::from_millis(500);
/// Requests of the loud and of the quiet tenant; the engine serves about 20 a second.
const LOUD: usize = 300;
const QUIET: usize = 25;
/// Time over which both are spread.
const SPAN: Duration = Duration::from_secs(5);

const RULES: &str = "\
engines besedilnik memory=40GiB orders=checked accelerators=1 # Ana: test
model draft engines=besedilnik size=1GiB class=interactive first-token=2s replicas=1 # Ana: test
tenant loud rate=1000 concurrency=1000 class=interactive # Ana: test
tenant quiet rate=1000 concurrency=1000 class=interactive # Ana: test
weigh idle=0.5 loads=4 adapters=32 crashes=2 # Ana: test
";

#[derive(Debug)]
struct Outcome {
    reply: Reply,
    took: Duration,
    right: bool,
}

async fn send(rack: &Rack, tenant: &str, count: usize) -> Vec<Outcome> {
    let to = rack.daemons[0].callers;
    let mut ticks = interval(SPAN / u32::try_from(count).unwrap());
    let mut calls = Vec::new();
    for turn in 0..count {
        ticks.tick().await;
        let text = format!("{tenant} {turn}");
        let prompt = Prompt {
            model: "draft".into(),
            text,
            tokens: 10,
            stream: true,
        };
        let ask = chat(&prompt, tenant).header("brassrack-timeout", "1500ms");
        calls.push(tokio::spawn(async move {
            let started = Instant::now();
            let reply = timeout(Duration::from_secs(10), call(to, &ask))
                .await
                .unwrap()
                .unwrap();
            let right = reply.text() == prompt.bytes();
            Outcome {
                reply,
                took: started.elapsed(),
                right,
            }
        }));
    }
    join_all(calls)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect()
}

/// Served whole, or refused in time with a verdict and a time to come back.
fn check(outcome: &Outcome) {
    if outcome.reply.status == 200 {
        assert!(outcome.right, "{outcome:?}");
        return;
    }
    assert!(
        !outcome.reply.header("brassrack-verdict").is_empty(),
        "{outcome:?}"
    );
    assert!(
        !outcome.reply.header("retry-after").is_empty(),
        "{outcome:?}"
    );
    assert!(outcome.took <= ALLOWED + SLACK, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_loud_tenant_leaves_others_their_share() {
    let settings = Settings {
        daemons: 1,
        engines: vec![CHECKED_ENGINES.into()],
        services: Vec::new(),
        gap: "20ms".into(),
        batch: "4".into(),
        rules: RULES.into(),
        ..Settings::default()
    };
    let rack = Rack::start(settings).await.unwrap();
    let warm = send(&rack, "quiet", 1).await;
    assert!(warm[0].right, "{warm:?}");
    let (loud, quiet) = tokio::join!(send(&rack, "loud", LOUD), send(&rack, "quiet", QUIET));
    loud.iter().chain(&quiet).for_each(check);
    let all = loud.len() + quiet.len();
    let unsure = |o: &&Outcome| !o.right && o.reply.header("brassrack-verdict") != "not-run";
    let unsure = loud.iter().chain(&quiet).filter(unsure).count();
    assert!(unsure * 20 <= all, "{unsure} of {all} may have run");
    let served = |outcomes: &[Outcome]| outcomes.iter().filter(|o| o.right).count();
    println!(
        "loud {} of {LOUD}, quiet {} of {QUIET}",
        served(&loud),
        served(&quiet)
    );
    // The quiet tenant asks for a quarter of the capacity, less than its even share.
    assert!(
        served(&quiet) * 10 >= QUIET * 9,
        "{} of {QUIET}",
        served(&quiet)
    );
    assert!(served(&loud) >= LOUD / 10, "{} of {LOUD}", served(&loud));
}
