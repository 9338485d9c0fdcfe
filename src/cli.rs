//! Command line of the daemon.

use std::ffi::OsString;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

const AFTER_HELP: &str = "\
Settings errors are printed one a line on stderr with the key's path and what is accepted.

Signals: the first SIGTERM or SIGINT stops gracefully (no new requests, running ones end, at \
most limits.drain-time); a second one ends at once and cuts them.

Exit codes: 0 success, 1 failure, 2 wrong command line, 3 invalid settings, 10 requests were cut.";

/// What the daemon is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Invocation {
    /// Serve with the settings of this file.
    Serve(PathBuf),
    /// Check this settings file and exit.
    Check(PathBuf),
    /// Print a commented settings file and exit.
    PrintDefault,
}

/// The command line of `brassrackd`.
#[must_use]
pub fn command() -> Command {
    Command::new("brassrackd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves rarely used language models: one instance of the rack")
        .after_help(AFTER_HELP)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file in YAML")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("print-default"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Checks the settings file and exits")
                .action(ArgAction::SetTrue)
                .requires("settings"),
        )
        .arg(
            Arg::new("print-default")
                .long("print-default")
                .help("Prints a commented settings file with all defaults and exits")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["settings", "check"]),
        )
}

impl Invocation {
    /// Reads the arguments, the first of which is the program's name.
    ///
    /// # Errors
    ///
    /// A [`clap::Error`], which also carries the texts of `--help` and `--version`.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::cli::Invocation;
    ///
    /// let args = ["brassrackd", "--print-default"].map(Into::into);
    /// assert_eq!(Invocation::parse(args.into()).unwrap(), Invocation::PrintDefault);
    /// ```
    pub fn parse(args: Vec<OsString>) -> Result<Self, clap::Error> {
        let matches = command().try_get_matches_from(args)?;
        let Some(file) = matches.get_one::<PathBuf>("settings").cloned() else {
            return Ok(Self::PrintDefault);
        };
        if matches.get_flag("check") {
            return Ok(Self::Check(file));
        }
        Ok(Self::Serve(file))
    }
}
