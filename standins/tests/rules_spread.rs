//! A change of the rules reaches every daemon, and no daemon goes back.

#![expect(clippy::unwrap_used, reason = "helpers of a test fail by panicking")]

use std::process::{Command, Output};
use std::time::{Duration, Instant};

use brassrack_standins::client::set_fault;
use brassrack_standins::fault::Fault;
use brassrack_standins::process::program;
use brassrack_standins::rack::{RULES, Rack, Settings};

/// Longest time for a change to be in force at every instance.
const SPREAD_LIMIT: &str = "--wait=4s";
const RESTART_LIMIT: Duration = Duration::from_secs(20);

async fn start(daemons: usize) -> Rack {
    let settings = Settings {
        daemons,
        engines: Vec::new(),
        services: Vec::new(),
        ..Settings::default()
    };
    Rack::start(settings).await.unwrap()
}

fn tool(rack: &Rack, index: usize, args: &[&str]) -> Output {
    Command::new(program("brassrack").unwrap())
        .args(args)
        .args(["--admin", &rack.daemons[index].admin.to_string()])
        .output()
        .unwrap()
}

/// Applies another text at one daemon and waits; the exit code of the tool.
fn apply(rack: &Rack, index: usize, base: u64) -> Option<i32> {
    let port = rack.daemons[0].admin.port();
    let file = std::env::temp_dir().join(format!("spread-{port}-{base}"));
    std::fs::write(&file, format!("{RULES}# change {base}\n")).unwrap();
    let base = base.to_string();
    let path = file.to_str().unwrap();
    let output = tool(
        rack,
        index,
        &["rules", "apply", path, "--base", &base, SPREAD_LIMIT],
    );
    std::fs::remove_file(&file).unwrap();
    output.status.code()
}

/// Whether every daemon has the version in force, as one of them sees it.
fn in_force(rack: &Rack, index: usize, version: u64) -> bool {
    let output = tool(rack, index, &["rules", "status", "--json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    output.status.success() && text.contains(&format!("\"version\":{version}"))
}

#[tokio::test]
async fn change_is_in_force_at_eight_daemons() {
    let rack = start(8).await;
    for (index, base) in (1..=8).enumerate() {
        assert_eq!(apply(&rack, index, base), Some(0), "base {base}");
    }
}

#[tokio::test]
async fn restarted_daemon_learns_the_version_from_a_peer() {
    let mut rack = start(3).await;
    assert_eq!(apply(&rack, 0, 1), Some(0));
    set_fault(rack.table.address, "", Fault::Down)
        .await
        .unwrap();
    rack.restart(1).await.unwrap();
    let end = Instant::now() + RESTART_LIMIT;
    while !in_force(&rack, 1, 2) {
        assert!(Instant::now() < end, "the version is not in force again");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
