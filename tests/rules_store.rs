//! Versions of the rules in the platform's store: races, lost answers and outages.

#![expect(clippy::unwrap_used, reason = "helpers of a test fail by panicking")]

mod scripted;

use std::sync::Arc;

use brassrack::objects::Objects;
use brassrack::rules::{ApplyError, Diff, Proposal, StoreError, object_key};
use brassrack::verdict::Verdict;
use brassrack_standins::fault::Fault;
use scripted::{Platform, Scripted, Step, proposal, text};

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
    assert!(matches!(other, Err(ApplyError::Conflict(_))), "{other:?}");
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
    let Err(ApplyError::Conflict(race)) = store.apply(proposal(1, "ann")).await else {
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
