//! The programs as operators run them: output, standard error and exit codes.

#![expect(clippy::unwrap_used, reason = "helpers of a test fail by panicking")]

mod console;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;

use brassrack::exit_codes::ExitCode;
use brassrack_standins::fault::Fault;
use console::{FakeConsole, TOKEN};
use strum::IntoEnumIterator;

const TEXT: &str = "service narocila # Maja: orders\n";

/// What a program did.
#[derive(Debug)]
struct Run {
    code: i32,
    out: String,
    err: String,
}

fn run(program: &str, args: &[&str]) -> Run {
    let mut command = Command::new(program);
    command.args(args);
    for name in ["BRASSRACK_ADMIN", "BRASSRACK_TOKEN", "LOGNAME"] {
        command.env_remove(name);
    }
    let output = command.env("USER", "maja").output().unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn tool(args: &[&str]) -> Run {
    run(env!("CARGO_BIN_EXE_brassrack"), args)
}

/// Runs the tool against a console without blocking the console's runtime.
async fn tool_at(address: SocketAddr, args: &[&str]) -> Run {
    let mut args: Vec<String> = args.iter().map(ToString::to_string).collect();
    args.extend(["--admin".into(), address.to_string()]);
    let work = move || tool(&args.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(work).await.unwrap()
}

/// Writes a file of this name and returns its path.
fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().into()
}

async fn start(console: FakeConsole) -> (Arc<FakeConsole>, SocketAddr) {
    let console = Arc::new(console);
    let address = Arc::clone(&console).start(None).await;
    (console, address)
}

#[test]
fn check_needs_no_rack() {
    let good = file("check-good.rules", TEXT);
    let run = tool(&["rules", "check", &good]);
    assert_eq!((run.code, run.err.as_str()), (0, ""));
    assert!(run.out.contains("1 services, 0 calls"), "{}", run.out);
}

#[test]
fn check_names_file_line_and_column() {
    let bad = file("check-bad.rules", "service a\nservise b # Ann: c\n");
    let run = tool(&["rules", "check", &bad]);
    let lines: Vec<&str> = run.err.lines().collect();
    assert_eq!((run.code, lines.len()), (3, 2), "{run:?}");
    assert!(lines[0].starts_with(&format!("{bad}:1:10: found nothing; expected a comment")));
    assert!(lines[1].starts_with(&format!("{bad}:2:1: found 'servise'; expected one of")));
}

#[test]
fn failures_offline() {
    let good = file("offline.rules", TEXT);
    let large = file("large.rules", &"#".repeat((4 << 20) + 1));
    // Nothing listens on port 1.
    let nobody = ["--admin", "127.0.0.1:1"];
    let cases: [(&[&str], i32, &str); 9] = [
        (&["rules", "check", "missing.rules"], 7, "missing.rules: "),
        (&["rules", "check", &large], 3, "large.rules: larger than"),
        (&["rules", "check"], 2, "<FILE>"),
        (&["frobnicate"], 2, "frobnicate"),
        (
            &["status", "--admin", "rack.example:80"],
            2,
            "rack.example:80",
        ),
        (
            &["status", "--token-file", "missing.token"],
            2,
            "missing.token",
        ),
        (&["why", "a/b", nobody[0], nobody[1]], 2, "why a/b: "),
        (&["status", nobody[0], nobody[1]], 4, "status: 127.0.0.1:1"),
        (
            &["rules", "apply", &good, nobody[0], nobody[1]],
            4,
            "(not-run)",
        ),
    ];
    for (args, code, words) in cases {
        let run = tool(args);
        assert_eq!(run.code, code, "{args:?} {run:?}");
        assert!(run.err.contains(words), "{args:?} {run:?}");
    }
}

#[test]
fn help_and_completions() {
    let cases: [(&[&str], &str); 4] = [
        (&["--help"], "Exit codes: 0 success"),
        (
            &["rules", "apply", "--help"],
            "never sends it a second time",
        ),
        (&["--version"], "brassrack 0.1.0"),
        (&["completions", "bash"], "_brassrack()"),
    ];
    for (args, words) in cases {
        let run = tool(args);
        let out = run.out.split_whitespace().collect::<Vec<_>>().join(" ");
        assert!(run.code == 0 && out.contains(words), "{args:?} {run:?}");
    }
}

#[test]
fn exit_codes_are_documented() {
    let page = include_str!("../docs/operators/run.md");
    for code in ExitCode::iter() {
        let row = format!("| {} | {code} |", code.number());
        assert!(page.contains(&row), "{row}");
    }
}

#[tokio::test]
async fn apply_show_edit_apply() {
    let (_, address) = start(FakeConsole::default()).await;
    let first = file("first.rules", TEXT);
    let run = tool_at(
        address,
        &["rules", "apply", &first, "--wait", "--note", "start"],
    )
    .await;
    assert!(
        run.out
            .ends_with("accepted as version 1 and in force at every instance\n"),
        "{run:?}"
    );
    let shown = tool_at(address, &["rules", "show"]).await.out;
    assert_eq!(shown, format!("# base: 1\n{TEXT}"));
    let edited = file(
        "edited.rules",
        &format!("{shown}service sub-desk # Ann: seats\n"),
    );
    let diff = tool_at(address, &["rules", "diff", &edited]).await.out;
    assert_eq!(diff, "# base: 1\n+ service sub-desk # Ann: seats\n");
    let run = tool_at(address, &["rules", "apply", &edited]).await;
    assert!(run.out.ends_with("accepted as version 2\n"), "{run:?}");
    let history = tool_at(address, &["rules", "history"]).await.out;
    assert!(
        history.contains("maja") && history.contains("start"),
        "{history}"
    );
    let diff = tool_at(address, &["rules", "diff", "--to", "2"]).await.out;
    assert_eq!(diff, "+ service sub-desk # Ann: seats\n");
}

#[tokio::test]
async fn loser_of_a_race_sees_the_change() {
    let (_, address) = start(FakeConsole::default()).await;
    tool_at(address, &["rules", "apply", &file("winner.rules", TEXT)]).await;
    let loser = file("loser.rules", "service x # Ann: y\n");
    let run = tool_at(address, &["rules", "apply", &loser]).await;
    assert_eq!(run.code, 6, "{run:?}");
    let lines: Vec<&str> = run.err.lines().collect();
    assert!(
        lines[0]
            .ends_with("version 1 by maja was accepted first; the change is based on 0 (not-run)")
    );
    assert_eq!(lines[1..], ["+ service narocila # Maja: orders"]);
}

#[tokio::test]
async fn instances_behind_are_named() {
    let console = FakeConsole {
        lagging: true,
        ..FakeConsole::default()
    };
    let (_, address) = start(console).await;
    let rules = file("behind.rules", TEXT);
    let run = tool_at(address, &["rules", "apply", &rules, "--wait=10ms"]).await;
    assert_eq!(run.code, 8);
    assert!(
        run.out
            .ends_with("version 1, not yet in force at brassrack-2\n"),
        "{run:?}"
    );
    let run = tool_at(address, &["rules", "status"]).await;
    assert_eq!(run.code, 8);
    assert!(
        run.out
            .ends_with("version 1 (accepted): not in force at brassrack-2\n"),
        "{run:?}"
    );
}

#[tokio::test]
async fn tables_and_json() {
    let (_, address) = start(FakeConsole::default()).await;
    let cases: [(&[&str], &str); 5] = [
        (&["status"], "brassrack-1"),
        (&["servers"], "13.0 GiB of 80.0 GiB"),
        (&["models"], "besedilo-03"),
        (&["why", "r-1"], "no server has memory"),
        (&["drain"], "brassrack-1: draining, 1 running, 0 waiting"),
    ];
    for (args, words) in cases {
        let run = tool_at(address, args).await;
        assert!(run.code == 0 && run.out.contains(words), "{args:?} {run:?}");
        let run = tool_at(address, &[args, &["--json"]].concat()).await;
        let value: Result<serde_json::Value, _> = serde_json::from_str(&run.out);
        assert!(value.is_ok(), "{args:?} {run:?}");
    }
}

#[tokio::test]
async fn failures_online() {
    let (console, address) = start(FakeConsole::default()).await;
    let missing = tool_at(address, &["why", "r-2", "--json"]).await;
    let error: serde_json::Value = serde_json::from_str(&missing.err).unwrap();
    assert_eq!(
        (missing.code, &error["error"]["code"]),
        (7, &"not-found".into())
    );
    console.table.switch.set(Fault::Down);
    let down = tool_at(address, &["rules", "apply", &file("down.rules", TEXT)]).await;
    assert_eq!(down.code, 4, "{down:?}");
    assert!(down.err.contains("nothing was changed"), "{down:?}");
    assert!(down.err.ends_with("(not-run)\n"), "{down:?}");
}

#[tokio::test]
async fn token_opens() {
    let address = Arc::new(FakeConsole::default()).start(Some(TOKEN)).await;
    let key = file("admin.token", &format!("{TOKEN}\n"));
    assert_eq!(tool_at(address, &["status"]).await.code, 5);
    assert_eq!(
        tool_at(address, &["status", "--token", "wrong"]).await.code,
        5
    );
    assert_eq!(
        tool_at(address, &["status", "--token-file", &key])
            .await
            .code,
        0
    );
}

/// A listener that cuts the first connection once its request is complete, then passes all on.
async fn cut_first_answer(to: SocketAddr) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 0.. {
            let (mut caller, _) = listener.accept().await.unwrap();
            let mut server = tokio::net::TcpStream::connect(to).await.unwrap();
            tokio::spawn(async move {
                let (mut from_caller, mut to_caller) = caller.split();
                let (mut from_server, mut to_server) = server.split();
                let forth = tokio::io::copy(&mut from_caller, &mut to_server);
                let back = async {
                    // The answer starts only once the change took effect.
                    from_server.readable().await.unwrap();
                    if number > 0 {
                        tokio::io::copy(&mut from_server, &mut to_caller)
                            .await
                            .unwrap();
                    }
                };
                tokio::select! {
                    _ = forth => {}
                    () = back => {}
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn lost_answer_is_looked_up() {
    let (console, address) = start(FakeConsole::default()).await;
    let proxy = cut_first_answer(address).await;
    let run = tool_at(proxy, &["rules", "apply", &file("lost.rules", TEXT)]).await;
    assert!(run.out.ends_with("accepted as version 1\n"), "{run:?}");
    assert_eq!(console.table.usage().commits, 1);
}

#[test]
fn daemon_checks_its_settings() {
    let daemon = |args: &[&str]| run(env!("CARGO_BIN_EXE_brassrackd"), args);
    let default = daemon(&["--print-default"]);
    let good = file("good.yaml", &default.out);
    assert_eq!(daemon(&["--settings", &good, "--check"]).code, 0);
    let bad = file(
        "bad.yaml",
        &default
            .out
            .replace("  rules: 1s", "  rules: 1h\n  rule: 1s"),
    );
    let run = daemon(&["--settings", &bad, "--check"]);
    assert_eq!((run.code, run.err.lines().count()), (3, 2), "{run:?}");
    assert!(
        run.err
            .contains("timing.rules: '1h'; expected a time from 50ms to 4s"),
        "{run:?}"
    );
    assert_eq!(daemon(&[]).code, 2);
}
