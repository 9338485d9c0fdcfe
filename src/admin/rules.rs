//! The configuration over the administration API.

use std::time::Duration;

use serde_json::to_value;
use tokio::time::{Instant, sleep};

use super::console::Console;
use super::routes::{Outcome, Query, bad_request, encode};
use super::types::{Applied, Apply, Failure, FailureCode, RulesAnswer};
use super::{MAX_RULES, MAX_WAIT};
use crate::rules::{Proposal, StoreError, VersionText};

const DEFAULT_HISTORY: u64 = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const LONGEST_AUTHOR: usize = 100;
const LONGEST_NOTE: usize = 1000;
const LONGEST_OP: usize = 64;

/// The current version, the one in force here, or one by its number.
pub(super) async fn show(console: &dyn Console, query: &Query) -> Outcome {
    let store = console.rules();
    if let Some(version) = number(query, "version")? {
        let source = store.fetch(version).await?;
        return rules_answer(source, true);
    }
    let current = match store.current().await {
        Ok(Some(version)) => store.text(version).await.map(Some),
        Ok(None) => Ok(None),
        Err(e) => Err(e),
    };
    match current {
        Ok(Some(source)) => rules_answer(source, true),
        Ok(None) => {
            let detail = "no rules were applied yet".into();
            Err(Failure::new(FailureCode::NotFound, detail))
        }
        Err(e) => in_force(console, e),
    }
}

/// The version in force here, while the platform does not answer.
fn in_force(console: &dyn Console, error: StoreError) -> Outcome {
    match console.in_force() {
        Some(current) => rules_answer(current.source.clone(), false),
        None => Err(error.into()),
    }
}

fn rules_answer(source: VersionText, confirmed: bool) -> Outcome {
    encode(200, to_value(RulesAnswer { source, confirmed }))
}

/// The latest versions, newest first.
pub(super) async fn history(console: &dyn Console, query: &Query) -> Outcome {
    let count = number(query, "count")?.unwrap_or(DEFAULT_HISTORY);
    encode(200, to_value(console.rules().history(count).await?))
}

/// What changed between two versions.
pub(super) async fn diff(console: &dyn Console, query: &Query) -> Outcome {
    let Some(to) = number(query, "to")? else {
        return Err(bad_request("to= with the number of a version is needed"));
    };
    let from = number(query, "from")?.unwrap_or(to.saturating_sub(1));
    encode(200, to_value(console.rules().diff(from, to).await?))
}

/// Accepts a change and, where asked, waits until it is in force at every listed instance.
pub(super) async fn apply(console: &dyn Console, query: &Query, body: &[u8]) -> Outcome {
    let wait = wait_time(query)?;
    let apply: Apply = serde_json::from_slice(body).map_err(|e| bad_request(&e.to_string()))?;
    check(&apply)?;
    let text = apply.text.clone();
    let proposal = Proposal {
        base: apply.base,
        text: apply.text,
        author: apply.author,
        note: apply.note,
        op: apply.op,
    };
    let version = console.rules().apply(proposal).await?;
    console.announce(VersionText {
        version: version.clone(),
        text,
    });
    let number = version.version;
    let mut applied = Applied {
        version,
        pending: None,
    };
    if let Some(wait) = wait {
        applied.pending = Some(wait_for(console, number, wait).await);
    }
    let done = applied.pending.as_ref().is_none_or(Vec::is_empty);
    let status = if done { 200 } else { 202 };
    encode(status, to_value(applied))
}

fn check(apply: &Apply) -> Result<(), Failure> {
    if apply.text.len() > MAX_RULES {
        let detail = format!("the rules file is larger than {MAX_RULES} bytes");
        return Err(Failure::new(FailureCode::TooLarge, detail));
    }
    let author = apply.author.trim();
    if author.is_empty() || author.len() > LONGEST_AUTHOR {
        return Err(bad_request("author must have 1 to 100 bytes"));
    }
    if apply.note.len() > LONGEST_NOTE {
        return Err(bad_request("note must have at most 1000 bytes"));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
    if apply.op.len() > LONGEST_OP || !apply.op.chars().all(allowed) {
        return Err(bad_request(
            "op must have at most 64 letters, digits or '-'",
        ));
    }
    Ok(())
}

/// Instances that do not have the version in force when the time is over.
async fn wait_for(console: &dyn Console, version: u64, wait: Duration) -> Vec<String> {
    let end = Instant::now() + wait;
    loop {
        let pending = match console.status().await {
            Err(e) => vec![e.to_string()],
            Ok(status) => status
                .instances
                .into_iter()
                .filter(|i| i.version < version)
                .map(|i| i.name)
                .collect(),
        };
        if pending.is_empty() || Instant::now() >= end {
            return pending;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn wait_time(query: &Query) -> Result<Option<Duration>, Failure> {
    let Some(text) = query.get("wait") else {
        return Ok(None);
    };
    match humantime::parse_duration(text) {
        Ok(wait) if wait <= MAX_WAIT => Ok(Some(wait)),
        _ => Err(bad_request(
            "wait must be a time of at most 1m, such as 10s",
        )),
    }
}

fn number(query: &Query, key: &str) -> Result<Option<u64>, Failure> {
    let Some(text) = query.get(key) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(n) => Ok(Some(n)),
        Err(_) => Err(bad_request(&format!("{key} must be a whole number"))),
    }
}
