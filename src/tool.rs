//! The command-line tool `brassrack`.

mod args;
mod report;
mod rules;
mod tables;

use std::ffi::OsString;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;
use hyper::Method;
use serde_json::{Value, from_value};

pub use args::command;
use report::{Report, ToolError};

use crate::admin::{Client, DrainStatus, ModelStatus, ServerStatus};
use crate::exit_codes::ExitCode;

const DEFAULT_TIME: Duration = Duration::from_secs(30);

/// The rack that a command talks to.
#[derive(Debug)]
struct Rack {
    client: Client,
}

impl Rack {
    fn new(matches: &ArgMatches) -> Result<Self, ToolError> {
        let usage = |line| ToolError::new(ExitCode::Usage, line);
        Ok(Self {
            client: Client {
                address: args::admin(matches).map_err(usage)?,
                token: args::token(matches).map_err(usage)?,
                time: matches.get_one("timeout").copied().unwrap_or(DEFAULT_TIME),
            },
        })
    }

    /// Reads a document for the command with this name.
    async fn get(&self, command: &str, path: &str) -> Result<Value, ToolError> {
        let answer = self.client.get(path).await;
        answer.map_err(|e| ToolError::read(command, &e))
    }
}

/// Runs the tool with its arguments, the first of which is the program's name.
#[must_use]
pub fn run(args: Vec<OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => return usage(&e),
    };
    let as_json = matches.get_flag("json");
    match dispatch(&matches) {
        Ok(report) => report.print(as_json),
        Err(e) => e.print(as_json),
    }
}

/// Prints the texts of `--help` and `--version`, or what is wrong with the arguments.
fn usage(error: &clap::Error) -> ExitCode {
    // A closed output leaves nobody to tell.
    let _printed = error.print();
    if error.use_stderr() {
        ExitCode::Usage
    } else {
        ExitCode::Success
    }
}

fn dispatch(matches: &ArgMatches) -> Result<Report, ToolError> {
    match matches.subcommand() {
        Some(("completions", m)) => return Ok(completions(m)),
        Some(("rules", m)) => {
            if let Some(("check", check)) = m.subcommand() {
                return rules::check(check);
            }
        }
        _ => {}
    }
    runtime()?.block_on(online(matches))
}

fn runtime() -> Result<tokio::runtime::Runtime, ToolError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| ToolError::new(ExitCode::Failure, format!("brassrack: {e}")))
}

async fn online(matches: &ArgMatches) -> Result<Report, ToolError> {
    let rack = Rack::new(matches)?;
    match matches.subcommand() {
        Some(("rules", m)) => rules::run(&rack, m).await,
        Some(("servers", _)) => servers(&rack).await,
        Some(("models", _)) => models(&rack).await,
        Some(("why", m)) => why(&rack, m).await,
        Some(("drain", _)) => drain(&rack).await,
        _ => status(&rack).await,
    }
}

async fn status(rack: &Rack) -> Result<Report, ToolError> {
    let value = rack.get("status", "/v1/status").await?;
    let status = from_value(value.clone())?;
    Ok(Report::new(value, tables::status(&status)))
}

async fn servers(rack: &Rack) -> Result<Report, ToolError> {
    let value = rack.get("servers", "/v1/servers").await?;
    let servers: Vec<ServerStatus> = from_value(value.clone())?;
    Ok(Report::new(value, tables::servers(&servers)))
}

async fn models(rack: &Rack) -> Result<Report, ToolError> {
    let value = rack.get("models", "/v1/models").await?;
    let models: Vec<ModelStatus> = from_value(value.clone())?;
    Ok(Report::new(value, tables::models(&models)))
}

async fn why(rack: &Rack, matches: &ArgMatches) -> Result<Report, ToolError> {
    let id = matches.get_one::<String>("id").cloned().unwrap_or_default();
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if id.is_empty() || !id.chars().all(allowed) {
        let line = format!("why {id}: a request id has letters, digits, '-', '_', '.' and ':'");
        return Err(ToolError::new(ExitCode::Usage, line));
    }
    let path = format!("/v1/requests/{id}");
    let value = rack.get(&format!("why {id}"), &path).await?;
    let text = tables::request(&from_value(value.clone())?);
    Ok(Report::new(value, text))
}

async fn drain(rack: &Rack) -> Result<Report, ToolError> {
    let answer = rack
        .client
        .send(Method::POST, "/v1/drain", &Value::Null)
        .await;
    let value = answer.map_err(|e| ToolError::change("drain", &e))?;
    let status: DrainStatus = from_value(value.clone())?;
    let text = format!(
        "{}: draining, {} running, {} waiting\n",
        status.instance, status.running, status.waiting
    );
    Ok(Report::new(value, text))
}

fn completions(matches: &ArgMatches) -> Report {
    let mut text = Vec::new();
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "brassrack", &mut text);
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    Report::new(Value::String(text.clone()), text)
}
