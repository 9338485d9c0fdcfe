//! Two operators who apply to the same base, in every order and with faults.

#![expect(clippy::unwrap_used, reason = "helpers of a test fail by panicking")]

mod scripted;

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use brassrack::rules::{ApplyError, CURRENT_KEY, Version};
use brassrack::verdict::Verdict;
use scripted::{Platform, Scripted, Step, proposal};

type Apply = Pin<Box<dyn Future<Output = Result<Version, ApplyError>>>>;

/// Two operators who apply to the same base at the same time.
struct Pair {
    platform: Platform,
    clients: [Scripted; 2],
    running: [Option<Apply>; 2],
    outcomes: [Option<Result<Version, ApplyError>>; 2],
}

const AUTHORS: [&str; 2] = ["maja", "tina"];

impl Pair {
    fn new(commits: [&[Step]; 2]) -> Self {
        let platform = Platform::default();
        let clients = commits.map(|c| Scripted::on(&platform.table, c));
        let running = [0, 1].map(|i| {
            let store = platform.store_over(Arc::new(clients[i].clone()));
            let apply = async move { store.apply(proposal(0, AUTHORS[i])).await };
            Some(Box::pin(apply) as Apply)
        });
        Self {
            platform,
            clients,
            running,
            outcomes: [None, None],
        }
    }

    fn done(&self) -> bool {
        self.outcomes.iter().all(Option::is_some)
    }

    /// Lets one operator run up to the next call.
    fn step(&mut self, i: usize) {
        let Some(apply) = &mut self.running[i] else {
            return;
        };
        if let Poll::Ready(outcome) = apply.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
            self.outcomes[i] = Some(outcome);
            self.running[i] = None;
        }
    }

    async fn finish(&mut self) {
        while !self.done() {
            self.step(0);
            self.step(1);
            tokio::time::advance(Duration::from_millis(50)).await;
        }
        for client in &self.clients {
            client.land().await;
        }
    }

    /// Accepted exactly where it was told so, and the last one is current.
    async fn check(&self) {
        let authors = self.platform.authors().await;
        for (author, outcome) in AUTHORS.iter().zip(&self.outcomes) {
            let accepted = authors.iter().filter(|a| a == author).count();
            match outcome.as_ref().unwrap() {
                Ok(version) => {
                    assert_eq!(accepted, 1);
                    let kept = self.platform.store().fetch(version.version).await.unwrap();
                    assert_eq!(&kept.version, version);
                }
                Err(e) if e.verdict() == Verdict::NotRun => assert_eq!(accepted, 0, "{e}"),
                Err(_) => assert!(accepted <= 1),
            }
        }
        let rows = self.platform.table.rows();
        let current = rows.iter().find(|r| r.key == CURRENT_KEY);
        let last = rows.iter().rfind(|r| r.key.starts_with("rules/history/"));
        assert_eq!(current.map(|r| &r.value), last.map(|r| &r.value));
    }
}

#[tokio::test(start_paused = true)]
async fn one_operator_wins_in_every_order() {
    for order in 0_u32..1 << 12 {
        let mut pair = Pair::new([&[], &[]]);
        for i in 0..12 {
            pair.step((order >> i & 1) as usize);
        }
        pair.finish().await;
        pair.check().await;
        let wins = pair.outcomes.iter().flatten().filter(|o| o.is_ok()).count();
        assert_eq!(wins, 1, "order {order:#x}");
    }
}

#[test]
fn two_operators_with_faults() {
    for seed in 1..=400_u64 {
        arbtest::arbtest(|u| {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .unwrap();
            runtime.block_on(random_pair(u))
        })
        .seed(seed << 32 | 128);
    }
}

async fn random_pair(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let steps = [Step::Answer, Step::Refuse, Step::Lose, Step::Late];
    let mut pair = Pair::new([&[], &[]]);
    for client in &pair.clients {
        for _ in 0..4 {
            client.commits.lock().unwrap().push_back(*u.choose(&steps)?);
            client
                .reads
                .lock()
                .unwrap()
                .push_back(*u.choose(&[Step::Answer, Step::Lose])?);
        }
    }
    for _ in 0..40 {
        match u.int_in_range(0..=7)? {
            n @ 0..=5 => pair.step(n % 2),
            n @ 6 => pair.clients[n % 2].land().await,
            _ => tokio::time::advance(Duration::from_millis(100)).await,
        }
    }
    pair.finish().await;
    pair.check().await;
    Ok(())
}
