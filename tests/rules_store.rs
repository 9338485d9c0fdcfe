//! Versions of the rules in the platform's store: races, lost answers and outages.

#![expect(clippy::unwrap_used, reason = "helpers of a test fail by panicking")]

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use brassrack::BoxFuture;
use brassrack::objects::Objects;
use brassrack::rules::{
    ApplyError, CURRENT_KEY, Diff, Holder, Offer, OfferError, Proposal, RulesStore, StoreError,
    StoreSettings, Version, VersionText, digest, object_key,
};
use brassrack::table::{Commit, Read, Row, Table, TableError, Txn};
use brassrack::verdict::Verdict;
use brassrack_standins::fault::Fault;
use brassrack_standins::table::{MemoryObjects, MemoryTable};

/// What happens to a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Answer,
    Refuse,
    Lose,
    /// The answer is lost, and the transaction arrives later or never.
    Late,
}

/// A client of a table whose calls each take one turn and follow a script.
#[derive(Debug, Clone, Default)]
struct Scripted {
    table: MemoryTable,
    commits: Arc<Mutex<VecDeque<Step>>>,
    reads: Arc<Mutex<VecDeque<Step>>>,
    late: Arc<Mutex<Vec<Txn>>>,
}

impl Scripted {
    fn on(table: &MemoryTable, commits: &[Step]) -> Self {
        let client = Self {
            table: table.client(),
            ..Self::default()
        };
        client.commits.lock().unwrap().extend(commits);
        client
    }

    /// Lets the late transactions arrive.
    async fn land(&self) {
        let late = std::mem::take(&mut *self.late.lock().unwrap());
        for txn in late {
            self.table.commit(txn).await.unwrap();
        }
    }
}

fn next(script: &Mutex<VecDeque<Step>>) -> Step {
    script.lock().unwrap().pop_front().unwrap_or(Step::Answer)
}

fn lost() -> TableError {
    TableError::Unknown("lost".into())
}

impl Table for Scripted {
    fn commit(&self, txn: Txn) -> BoxFuture<'_, Result<Commit, TableError>> {
        Box::pin(async move {
            tokio::task::yield_now().await;
            match next(&self.commits) {
                Step::Answer => self.table.commit(txn).await,
                Step::Refuse => Err(TableError::Refused("down".into())),
                Step::Lose => self.table.commit(txn).await.and(Err(lost())),
                Step::Late => {
                    self.late.lock().unwrap().push(txn);
                    Err(lost())
                }
            }
        })
    }

    fn read(&self, read: Read) -> BoxFuture<'_, Result<Vec<Row>, TableError>> {
        Box::pin(async move {
            tokio::task::yield_now().await;
            match next(&self.reads) {
                Step::Answer => self.table.read(read).await,
                _ => Err(lost()),
            }
        })
    }
}

/// One platform for the stores of several operators.
#[derive(Debug, Default)]
struct Platform {
    table: MemoryTable,
    objects: MemoryObjects,
}

impl Platform {
    fn store(&self) -> RulesStore {
        self.store_over(Arc::new(self.table.clone()))
    }

    fn store_over(&self, table: Arc<dyn Table>) -> RulesStore {
        RulesStore::new(
            table,
            Arc::new(self.objects.clone()),
            StoreSettings::default(),
        )
    }

    /// Authors of the accepted versions, oldest first.
    async fn authors(&self) -> Vec<String> {
        self.table.switch.set(Fault::None);
        let history = self.store().history(100).await.unwrap();
        history.into_iter().rev().map(|v| v.author).collect()
    }
}

fn text(name: &str) -> String {
    format!("service {name} # Maja: orders\n")
}

fn proposal(base: u64, author: &str) -> Proposal {
    Proposal {
        base,
        text: text(author),
        author: author.into(),
        ..Proposal::default()
    }
}

#[tokio::test]
async fn accepted_version_is_fetched_again() {
    let store = Platform::default().store();
    assert_eq!(store.current().await, Ok(None));
    let version = store.apply(proposal(0, "maja")).await.unwrap();
    assert_eq!(version.version, 1);
    assert_eq!(store.fetch(1).await.unwrap().text, text("maja"));
    assert_eq!(store.fetch(2).await, Err(StoreError::NotFound(2)));
}

#[tokio::test]
async fn history_and_differences() {
    let platform = Platform::default();
    let store = platform.store();
    store.apply(proposal(0, "maja")).await.unwrap();
    store.apply(proposal(1, "tina")).await.unwrap();
    assert_eq!(platform.authors().await, ["maja", "tina"]);
    assert_eq!(store.history(1).await.unwrap().len(), 1);
    let diff = store.diff(1, 2).await.unwrap();
    assert_eq!(diff, Diff::between(&text("maja"), &text("tina")));
}

#[tokio::test]
async fn text_in_force_is_accepted_without_a_new_version() {
    let store = Platform::default().store();
    let first = store.apply(proposal(0, "maja")).await;
    assert_eq!(store.apply(proposal(0, "maja")).await, first);
}

#[tokio::test]
async fn operation_id_stands_for_one_text() {
    let store = Platform::default().store();
    let with_op = |author| Proposal {
        op: "op-1".into(),
        ..proposal(0, author)
    };
    let first = store.apply(with_op("maja")).await.unwrap();
    store.apply(proposal(1, "ann")).await.unwrap();
    assert_eq!(store.apply(with_op("maja")).await, Ok(first));
    let other = store.apply(with_op("tina")).await;
    assert!(matches!(other, Err(ApplyError::Raced(_))), "{other:?}");
}

#[tokio::test]
async fn invalid_text_changes_nothing() {
    let platform = Platform::default();
    let bad = Proposal {
        text: "servise".into(),
        ..proposal(0, "maja")
    };
    let outcome = platform.store().apply(bad).await;
    assert!(matches!(outcome, Err(ApplyError::Invalid(errors)) if errors.len() == 2));
    assert!(platform.table.rows().is_empty());
}

#[tokio::test]
async fn loser_is_told_the_winner_and_the_change() {
    let store = Platform::default().store();
    store.apply(proposal(0, "maja")).await.unwrap();
    store.apply(proposal(1, "tina")).await.unwrap();
    let Err(ApplyError::Raced(race)) = store.apply(proposal(1, "ann")).await else {
        panic!("the race is not told");
    };
    assert_eq!((race.base, race.current.author.as_str()), (1, "tina"));
    assert_eq!(race.diff, Some(Diff::between(&text("maja"), &text("tina"))));
}

#[tokio::test]
async fn base_that_never_was() {
    let store = Platform::default().store();
    assert_eq!(
        store.apply(proposal(3, "maja")).await,
        Err(ApplyError::NoSuchBase(3))
    );
}

/// Applies over a scripted client and returns the verdict and the accepted authors.
async fn apply_scripted(commits: &[Step]) -> (Result<u64, Verdict>, Vec<String>) {
    let platform = Platform::default();
    let client = Scripted::on(&platform.table, commits);
    let store = platform.store_over(Arc::new(client.clone()));
    let outcome = store.apply(proposal(0, "maja")).await;
    client.land().await;
    let outcome = outcome.map(|v| v.version).map_err(|e| e.verdict());
    (outcome, platform.authors().await)
}

#[tokio::test(start_paused = true)]
async fn answers_to_the_commit() {
    let accepted = vec![String::from("maja")];
    let cases: [(&[Step], _, _); 6] = [
        (&[Step::Answer], Ok(1), accepted.clone()),
        (&[Step::Lose], Ok(1), accepted.clone()),
        (&[Step::Refuse], Err(Verdict::NotRun), Vec::new()),
        (&[Step::Late], Err(Verdict::NotRun), Vec::new()),
        (&[Step::Late, Step::Lose], Err(Verdict::NotRun), Vec::new()),
        (
            &[Step::Late, Step::Late, Step::Refuse],
            Err(Verdict::NotRun),
            Vec::new(),
        ),
    ];
    for (commits, outcome, authors) in cases {
        assert_eq!(
            apply_scripted(commits).await,
            (outcome, authors),
            "{commits:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn outages_change_nothing() {
    for fault in [Fault::Down, Fault::Silent, Fault::Slow(5000)] {
        for objects in [false, true] {
            let platform = Platform::default();
            let switch = if objects {
                &platform.objects.switch
            } else {
                &platform.table.switch
            };
            switch.set(fault);
            let outcome = platform.store().apply(proposal(0, "maja")).await;
            assert!(
                matches!(outcome, Err(ApplyError::Unavailable(_))),
                "{fault:?} {outcome:?}"
            );
            assert!(platform.table.rows().is_empty(), "{fault:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn outage_after_the_commit_is_told_as_unknown() {
    let platform = Platform::default();
    let client = Scripted::on(&platform.table, &[Step::Lose]);
    let read = [vec![Step::Answer], vec![Step::Lose; 1000]].concat();
    client.reads.lock().unwrap().extend(read);
    let outcome = platform
        .store_over(Arc::new(client))
        .apply(proposal(0, "maja"))
        .await;
    assert!(matches!(outcome, Err(ApplyError::Unknown(_))));
    assert_eq!(platform.authors().await, ["maja"]);
}

#[tokio::test(start_paused = true)]
async fn resolving_does_not_flood_the_table() {
    let platform = Platform::default();
    let commits = [vec![Step::Late], vec![Step::Refuse; 100_000]].concat();
    let client = Scripted::on(&platform.table, &commits);
    let outcome = platform
        .store_over(Arc::new(client))
        .apply(proposal(0, "maja"))
        .await;
    assert!(matches!(outcome, Err(ApplyError::Unknown(_))));
    let reads = platform.table.client().usage().reads;
    assert!(reads < 60, "{reads} reads");
}

#[tokio::test]
async fn damaged_text_is_not_served() {
    let platform = Platform::default();
    let version = platform.store().apply(proposal(0, "maja")).await.unwrap();
    let key = object_key(&version.digest);
    platform
        .objects
        .put(key, "service x # A: b".into())
        .await
        .unwrap();
    let damage = platform.store().fetch(1).await;
    assert!(matches!(damage, Err(StoreError::Corrupt(1, _))));
}

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

fn offered(version: u64) -> VersionText {
    let text = text(&format!("s{version}"));
    VersionText {
        version: Version {
            version,
            digest: digest(&text),
            op: "op".into(),
            author: "maja".into(),
            note: String::new(),
            at: String::new(),
        },
        text,
    }
}

#[test]
fn version_in_force_never_goes_down() {
    arbtest::arbtest(|u| {
        let mut holder = Holder::default();
        for _ in 0..100 {
            let before = holder.version();
            let number = u.int_in_range(1..=20)?;
            let taken = holder.offer(offered(number)) == Ok(Offer::Taken);
            assert_eq!(taken, number > before);
            assert_eq!(holder.version(), before.max(number));
        }
        Ok(())
    })
    .seed(0x5eed_0000_0400);
}

#[test]
fn damaged_offer_leaves_the_version_in_force() {
    let mut holder = Holder::default();
    holder.offer(offered(1)).unwrap();
    let damaged = VersionText {
        text: text("x"),
        ..offered(2)
    };
    assert_eq!(holder.offer(damaged), Err(OfferError::Digest(2)));
    assert_eq!(holder.version(), 1);
}
