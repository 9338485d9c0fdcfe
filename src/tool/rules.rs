//! The commands `brassrack rules ..`.

use std::io::Read;
use std::time::Duration;

use clap::ArgMatches;
use hyper::Method;
use serde_json::{Value, from_value, json};
use tokio::time::{Instant, sleep};

use super::report::{Report, ToolError};
use super::{Rack, tables};
use crate::admin::{Applied, Apply, ClientError, FailureCode, MAX_RULES, RulesAnswer, Status};
use crate::exit_codes::ExitCode;
use crate::rules::{Diff, Rules, Version, operation_id};

/// Longest time to look for an operation whose answer was lost.
const RESOLVE_TIME: Duration = Duration::from_secs(30);
const RESOLVE_INTERVAL: Duration = Duration::from_millis(500);
/// First line of a file that notes the version that it is based on.
const BASE_PREFIX: &str = "# base: ";
/// Versions that are searched for a lost operation.
const RESOLVE_COUNT: u32 = 100;

/// Runs one of the commands that need a rack.
pub(super) async fn run(rack: &Rack, matches: &ArgMatches) -> Result<Report, ToolError> {
    match matches.subcommand() {
        Some(("diff", m)) => diff(rack, m).await,
        Some(("apply", m)) => apply(rack, m).await,
        Some(("show", m)) => show(rack, m).await,
        Some(("history", m)) => history(rack, m).await,
        _ => status(rack).await,
    }
}

/// Checks a file without a rack.
pub(super) fn check(matches: &ArgMatches) -> Result<Report, ToolError> {
    let (file, text) = read(matches)?;
    let rules = Rules::parse(&text).map_err(|errors| ToolError::invalid(&file, &errors))?;
    let adapters = rules.models.values().filter(|m| m.base.is_some()).count();
    let calls: usize = rules.services.values().map(|s| s.calls.len()).sum();
    let counts = [
        ("engines", rules.engines.len()),
        ("models", rules.models.len() - adapters),
        ("adapters", adapters),
        ("services", rules.services.len()),
        ("calls", calls),
        ("tenants", rules.tenants.len()),
    ];
    let words = counts.map(|(name, n)| format!("{n} {name}")).join(", ");
    let json = counts
        .into_iter()
        .map(|(name, n)| (name.into(), n.into()))
        .collect();
    Ok(Report::new(
        Value::Object(json),
        format!("{file}: {words}; no errors\n"),
    ))
}

/// Name and content of the file argument.
fn read(matches: &ArgMatches) -> Result<(String, String), ToolError> {
    let file = matches
        .get_one::<String>("file")
        .cloned()
        .unwrap_or_default();
    let mut bytes = Vec::new();
    let limit = MAX_RULES as u64 + 1;
    let outcome = if file == "-" {
        std::io::stdin().take(limit).read_to_end(&mut bytes)
    } else {
        std::fs::File::open(&file).and_then(|f| f.take(limit).read_to_end(&mut bytes))
    };
    let fail = |code, cause: String| ToolError::new(code, format!("{file}: {cause}"));
    match outcome {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
            return Err(fail(ExitCode::NotFound, e.to_string()));
        }
        Err(e) => return Err(fail(ExitCode::Failure, e.to_string())),
        Ok(n) if n > MAX_RULES => {
            let cause = format!("larger than {MAX_RULES} bytes");
            return Err(fail(ExitCode::Invalid, cause));
        }
        Ok(_) => {}
    }
    match String::from_utf8(bytes) {
        Ok(text) => Ok((file, text)),
        Err(e) => Err(fail(ExitCode::Invalid, e.to_string())),
    }
}

async fn diff(rack: &Rack, matches: &ArgMatches) -> Result<Report, ToolError> {
    if let Some(to) = matches.get_one::<u64>("to") {
        return diff_versions(rack, *to, matches.get_one("from").copied()).await;
    }
    let (file, text) = read(matches)?;
    Rules::parse(&text).map_err(|errors| ToolError::invalid(&file, &errors))?;
    let (base, current) = match rack.client.get("/v1/rules").await {
        Ok(value) => {
            let answer: RulesAnswer = from_value(value)?;
            (answer.source.version.version, answer.source.text)
        }
        Err(ClientError::Failed(f)) if f.code == FailureCode::NotFound => (0, String::new()),
        Err(e) => return Err(ToolError::read("rules diff", &e)),
    };
    let diff = Diff::between(&current, split_base(&text).1);
    let json = json!({ "base": base, "changes": diff.changes });
    Ok(Report::new(json, format!("{BASE_PREFIX}{base}\n{diff}")))
}

async fn diff_versions(rack: &Rack, to: u64, from: Option<u64>) -> Result<Report, ToolError> {
    let from = from.unwrap_or(to.saturating_sub(1));
    let path = format!("/v1/rules/diff?from={from}&to={to}");
    let diff: Diff = from_value(rack.get("rules diff", &path).await?)?;
    let json = json!({ "from": from, "to": to, "changes": diff.changes });
    Ok(Report::new(json, diff.to_string()))
}

async fn show(rack: &Rack, matches: &ArgMatches) -> Result<Report, ToolError> {
    let path = match matches.get_one::<u64>("version") {
        Some(version) => format!("/v1/rules?version={version}"),
        None => "/v1/rules".into(),
    };
    let value = rack.get("rules show", &path).await?;
    let answer: RulesAnswer = from_value(value.clone())?;
    let RulesAnswer { source, .. } = answer;
    let text = format!("{BASE_PREFIX}{}\n{}", source.version.version, source.text);
    Ok(Report::new(value, text))
}

async fn history(rack: &Rack, matches: &ArgMatches) -> Result<Report, ToolError> {
    let count = matches.get_one::<u64>("count").copied().unwrap_or(20);
    let path = format!("/v1/rules/history?count={count}");
    let value = rack.get("rules history", &path).await?;
    let versions: Vec<Version> = from_value(value.clone())?;
    Ok(Report::new(value, tables::history(&versions)))
}

/// Version in force at every instance, against the accepted one.
async fn status(rack: &Rack) -> Result<Report, ToolError> {
    let value = rack.get("rules status", "/v1/status").await?;
    let status: Status = from_value(value)?;
    let accepted = accepted_version(rack).await;
    let in_force = status.instances.iter().map(|i| i.version).max();
    let newest = accepted.max(in_force).unwrap_or_default();
    let behind = status.instances.iter().filter(|i| i.version < newest);
    let behind: Vec<&str> = behind.map(|i| i.name.as_str()).collect();
    let source = match accepted {
        Some(_) => "accepted",
        None => "newest known, as the platform does not answer",
    };
    let words = if behind.is_empty() {
        "in force at every instance".into()
    } else {
        format!("not in force at {}", behind.join(", "))
    };
    let table = tables::status(&status);
    let text = format!("{table}version {newest} ({source}): {words}\n");
    let json = json!({
        "version": newest,
        "confirmed": accepted.is_some(),
        "behind": behind,
        "instances": status.instances,
    });
    let code = if behind.is_empty() {
        ExitCode::Success
    } else {
        ExitCode::Pending
    };
    Ok(Report {
        code,
        ..Report::new(json, text)
    })
}

/// Number of the accepted version; none where the platform does not answer.
async fn accepted_version(rack: &Rack) -> Option<u64> {
    let value = rack.client.get("/v1/rules/history?count=1").await.ok()?;
    let versions: Vec<Version> = from_value(value).ok()?;
    Some(versions.first().map_or(0, |v| v.version))
}

async fn apply(rack: &Rack, matches: &ArgMatches) -> Result<Report, ToolError> {
    let (file, text) = read(matches)?;
    Rules::parse(&text).map_err(|errors| ToolError::invalid(&file, &errors))?;
    let (noted, text) = split_base(&text);
    let base = matches.get_one("base").copied().or(noted);
    let apply = Apply {
        base: base.unwrap_or_default(),
        text: text.into(),
        author: author(matches),
        note: matches.get_one("note").cloned().unwrap_or_default(),
        op: operation_id(),
    };
    let wait = matches.get_one::<Duration>("wait");
    let path = match wait {
        Some(wait) => format!("/v1/rules?wait={}ms", wait.as_millis()),
        None => "/v1/rules".into(),
    };
    let mut client = rack.client.clone();
    client.time += wait.copied().unwrap_or_default();
    let body = serde_json::to_value(&apply).unwrap_or_default();
    match client.send(Method::PUT, &path, &body).await {
        Ok(value) => Ok(accepted(&file, &from_value(value)?)),
        Err(e @ ClientError::Lost(..)) => resolve(rack, &file, &apply, &e).await,
        Err(e) => Err(ToolError::change(&file, &e)),
    }
}

fn author(matches: &ArgMatches) -> String {
    let given: Option<String> = matches.get_one("author").cloned();
    given
        .or_else(|| std::env::var("USER").ok())
        .or_else(|| std::env::var("LOGNAME").ok())
        .unwrap_or_else(|| "unknown".into())
}

/// The version that the first line of a file notes as its base, and the text without that line.
fn split_base(text: &str) -> (Option<u64>, &str) {
    let (line, rest) = text.split_once('\n').unwrap_or((text, ""));
    match line
        .trim()
        .strip_prefix(BASE_PREFIX)
        .map(|n| n.trim().parse())
    {
        Some(Ok(base)) => (Some(base), rest),
        _ => (None, text),
    }
}

fn accepted(file: &str, applied: &Applied) -> Report {
    let number = applied.version.version;
    let (words, code) = match applied.pending.as_deref() {
        None => (String::new(), ExitCode::Success),
        Some([]) => (" and in force at every instance".into(), ExitCode::Success),
        Some(behind) => {
            let words = format!(", not yet in force at {}", behind.join(", "));
            (words, ExitCode::Pending)
        }
    };
    let json = serde_json::to_value(applied).unwrap_or_default();
    let text = format!("{file}: accepted as version {number}{words}\n");
    Report {
        code,
        ..Report::new(json, text)
    }
}

/// Looks for the operation in the history, since the change may have been accepted.
async fn resolve(
    rack: &Rack,
    file: &str,
    apply: &Apply,
    error: &ClientError,
) -> Result<Report, ToolError> {
    let path = format!("/v1/rules/history?count={RESOLVE_COUNT}");
    let end = Instant::now() + RESOLVE_TIME;
    while Instant::now() < end {
        let versions: Vec<Version> = match rack.client.get(&path).await {
            Ok(value) => from_value(value)?,
            Err(_) => Vec::new(),
        };
        if let Some(version) = versions.iter().find(|v| v.op == apply.op) {
            let version = version.clone();
            let applied = Applied {
                version,
                pending: None,
            };
            return Ok(accepted(file, &applied));
        }
        if versions.first().is_some_and(|v| v.version > apply.base) {
            let line = format!("{file}: another change was accepted first (not-run)");
            return Err(ToolError::new(ExitCode::Raced, line));
        }
        sleep(RESOLVE_INTERVAL).await;
    }
    Err(ToolError::change(file, error))
}
