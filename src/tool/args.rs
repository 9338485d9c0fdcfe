//! Arguments of the command-line tool.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;

/// Environment variable with the address of the administration API.
const ADMIN_VARIABLE: &str = "BRASSRACK_ADMIN";
/// Environment variable with the text of the token.
const TOKEN_VARIABLE: &str = "BRASSRACK_TOKEN";
const DEFAULT_ADMIN: &str = "127.0.0.1:8081";

const AFTER_HELP: &str = "\
Examples:
  brassrack rules check deployments/papirnica.rules
  brassrack rules diff deployments/papirnica.rules
  brassrack rules apply deployments/papirnica.rules --base 7 --wait
  brassrack why 01J9ZQ4T

Exit codes: 0 success, 1 failure, 2 wrong command line, 3 the rules file has errors, 4 the other \
side does not answer, 5 token missing or wrong, 6 another change was accepted first, 7 no such \
file, record or version, 8 accepted but not yet in force everywhere, 9 the answer was lost and \
the change may have been accepted.";

const APPLY_HELP: &str = "\
The file becomes the next version if the base version is still the accepted one; otherwise \
nothing is changed, and the change that was accepted first is shown. The base is --base, else a \
first line `# base: N` as `brassrack rules show` prints it, else 0, which is right for the very \
first rules. Where the answer is lost, the tool looks the operation up and never \
sends it a second time.";

/// The command line of `brassrack`.
#[must_use]
pub fn command() -> Command {
    Command::new("brassrack")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Shows and changes what a rack of rarely used models does")
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments())
        .subcommand(rules_command())
        .subcommand(Command::new("status").about("Instances with state, load and rules version"))
        .subcommand(Command::new("servers").about("Servers with memory and replicas"))
        .subcommand(Command::new("models").about("Models and adapters with their replicas"))
        .subcommand(
            Command::new("why")
                .about("What happened to one request")
                .arg(required(
                    "id",
                    "REQUEST-ID",
                    "Id from the x-request-id header of the answer",
                )),
        )
        .subcommand(
            Command::new("drain").about("Stops the instance at --admin once its requests ended"),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints completions for a shell")
                .arg(
                    required("shell", "SHELL", "Shell to complete for")
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn global_arguments() -> [Arg; 5] {
    [
        option(
            "admin",
            "ADDR",
            "Address of the administration API of any instance",
        )
        .long_help(format!(
            "Address of the administration API of any instance [default: ${ADMIN_VARIABLE} \
                 or {DEFAULT_ADMIN}]"
        ))
        .value_parser(value_parser!(SocketAddr))
        .global(true),
        option("token", "TEXT", "Bearer token")
            .long_help(format!(
                "Bearer token [default: ${TOKEN_VARIABLE}, which other users do not see in the \
                 list of processes]"
            ))
            .global(true),
        option("token-file", "FILE", "File with the bearer token")
            .value_parser(value_parser!(PathBuf))
            .conflicts_with("token")
            .global(true),
        option(
            "timeout",
            "TIME",
            "Longest time for one answer [default: 30s]",
        )
        .value_parser(duration)
        .global(true),
        Arg::new("json")
            .long("json")
            .help("Prints JSON, also for errors")
            .action(ArgAction::SetTrue)
            .global(true),
    ]
}

fn rules_command() -> Command {
    let file = || required("file", "FILE", "Rules file; - for standard input");
    Command::new("rules")
        .about("Checks, compares and applies the rules file")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks a file without a rack")
                .arg(file()),
        )
        .subcommand(
            Command::new("diff")
                .about("Compares the accepted rules with a file, or two versions")
                .arg(file().required(false).required_unless_present("to"))
                .arg(number("from", "Older version [default: the one before --to]").requires("to"))
                .arg(number("to", "Newer version").conflicts_with("file")),
        )
        .subcommand(
            Command::new("apply")
                .about("Makes a file the accepted rules")
                .after_help(APPLY_HELP)
                .arg(file())
                .arg(number("base", "Version that the file is based on"))
                .arg(option("author", "NAME", "Who applies it [default: $USER]"))
                .arg(option("note", "TEXT", "Why, kept in the history"))
                .arg(
                    option(
                        "wait",
                        "TIME",
                        "Waits until it is in force at every instance",
                    )
                    .value_parser(duration)
                    .num_args(0..=1)
                    .require_equals(true)
                    .default_missing_value("10s"),
                ),
        )
        .subcommand(
            Command::new("show")
                .about("Prints the accepted rules")
                .arg(number("version", "An older version")),
        )
        .subcommand(
            Command::new("history")
                .about("Latest versions, newest first")
                .arg(number("count", "Versions to list [default: 20]")),
        )
        .subcommand(Command::new("status").about("Version in force at every instance"))
}

fn required(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name(value).help(help).required(true)
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn number(name: &'static str, help: &'static str) -> Arg {
    option(name, "N", help).value_parser(value_parser!(u64))
}

fn duration(text: &str) -> Result<Duration, humantime::DurationError> {
    humantime::parse_duration(text)
}

/// Address of the API from the arguments or the environment.
///
/// # Errors
///
/// One sentence where the environment variable holds no address.
pub(super) fn admin(matches: &ArgMatches) -> Result<SocketAddr, String> {
    if let Some(address) = matches.get_one::<SocketAddr>("admin") {
        return Ok(*address);
    }
    let text = std::env::var(ADMIN_VARIABLE).unwrap_or_else(|_| DEFAULT_ADMIN.into());
    text.parse()
        .map_err(|e| format!("{ADMIN_VARIABLE}: '{text}': {e}"))
}

/// Text of the token from the arguments or the environment.
///
/// # Errors
///
/// One sentence where the token's file cannot be read.
pub(super) fn token(matches: &ArgMatches) -> Result<Option<String>, String> {
    if let Some(file) = matches.get_one::<PathBuf>("token-file") {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        return Ok(Some(text.trim().into()));
    }
    if let Some(text) = matches.get_one::<String>("token") {
        return Ok(Some(text.clone()));
    }
    Ok(std::env::var(TOKEN_VARIABLE).ok())
}
