//! Starts a whole rack on loopback.

use std::process::{Command as Program, ExitCode};

use brassrack_standins::rack::{Rack, RackError, Settings, TENANT, smoke};
use clap::{Arg, ArgAction, Command};

fn command() -> Command {
    Command::new("rack")
        .about("Starts a whole rack on loopback, on stand-ins for the platform and endpoints")
        .after_help("Without --smoke the rack runs until Ctrl-C.")
        .arg(
            Arg::new("smoke")
                .long("smoke")
                .action(ArgAction::SetTrue)
                .help("Send one call of each kind, check every byte of the answers and exit"),
        )
}

/// Builds the programs that the rack starts.
fn build() -> bool {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Program::new(cargo);
    build
        .args(["build", "--workspace", "--bins", "--locked", "--quiet"])
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    build.status().is_ok_and(|status| status.success())
}

fn print(rack: &Rack) {
    for station in [&rack.table, &rack.list, &rack.weights] {
        println!("{:<16} {}", station.name, station.address);
    }
    for station in rack.engines.iter().chain(&rack.services) {
        println!("{:<16} {}", station.name, station.address);
    }
    for daemon in &rack.daemons {
        println!(
            "{:<16} callers {} admin {}",
            daemon.name, daemon.callers, daemon.admin
        );
    }
    if let Some(daemon) = rack.daemons.first() {
        println!(
            "\nTry:\ncurl http://{}/v1/chat/completions \\",
            daemon.callers
        );
        println!("  -H '{TENANT}: papirnica' -H 'content-type: application/json' \\");
        let text = r#"{"role":"user","content":"Our wedding is in May"}"#;
        println!(r#"  -d '{{"model":"counter-draft","messages":[{text}]}}'"#);
    }
}

async fn run(check: bool) -> Result<bool, RackError> {
    let rack = Rack::start(Settings::default()).await?;
    print(&rack);
    if check {
        return match smoke(&rack).await {
            Ok(()) => {
                println!("smoke: all right");
                Ok(true)
            }
            Err(error) => {
                eprintln!("smoke: {error}");
                Ok(false)
            }
        };
    }
    println!("\nCtrl-C ends the rack.");
    tokio::signal::ctrl_c().await?;
    Ok(true)
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = command().get_matches();
    if !build() {
        eprintln!("rack: the programs could not be built");
        return ExitCode::FAILURE;
    }
    match run(args.get_flag("smoke")).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("rack: {error}");
            ExitCode::FAILURE
        }
    }
}
