//! Measures what the path through brassrackd adds to a direct call to the same engine.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use brassrack_standins::answer::Prompt;
use brassrack_standins::load::{Plan, Times, run};
use brassrack_standins::rack::{CHECKED_ENGINES, Rack, Settings, chat};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hdrhistogram::Histogram;

/// Model that is asked.
const MODEL: &str = "counter-draft";
/// Longest load that the tool makes, in requests a second.
const MAX_RATE: i64 = 2000;
/// Longest run, in seconds.
const MAX_SECONDS: u64 = 120;

type Failure = Box<dyn std::error::Error>;

fn option(name: &'static str, value: &'static str, usual: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .default_value(usual)
}

fn command() -> Command {
    Command::new("load")
        .about("Measures what the path through one brassrackd adds to a direct call")
        .after_help(
            "Starts a small rack on loopback with one engine and one daemon, built beforehand by \
             `cargo build --workspace --bins --locked` in the same profile, and sends the same \
             requests to both, side by side.",
        )
        .arg(
            option("rate", "COUNT", "200")
                .value_parser(value_parser!(u32).range(1..=MAX_RATE))
                .help("Requests a second, to each of both"),
        )
        .arg(
            option("seconds", "COUNT", "10")
                .value_parser(value_parser!(u64).range(1..=MAX_SECONDS))
                .help("Time during which requests are sent"),
        )
        .arg(
            option("connections", "COUNT", "64")
                .value_parser(value_parser!(u16).range(1..=512))
                .help("Connections, to each of both"),
        )
        .arg(
            option("tokens", "COUNT", "8")
                .value_parser(value_parser!(u32).range(1..=1000))
                .help("Tokens of each answer"),
        )
        .arg(option("token-gap", "TIME", "5ms").help("Time that the engine takes for each token"))
        .arg(
            Arg::new("plain")
                .long("plain")
                .action(ArgAction::SetTrue)
                .help("Ask for plain answers instead of streams"),
        )
}

fn plan(args: &ArgMatches) -> Option<Plan> {
    let prompt = Prompt {
        model: MODEL.into(),
        text: "a wording for the load".into(),
        tokens: *args.get_one("tokens")?,
        stream: !args.get_flag("plain"),
    };
    Some(Plan {
        ask: chat(&prompt, "papirnica"),
        body: prompt.bytes(),
        rate: *args.get_one("rate")?,
        duration: Duration::from_secs(*args.get_one("seconds")?),
        connections: usize::from(*args.get_one::<u16>("connections")?),
    })
}

async fn rack(args: &ArgMatches) -> Result<Rack, Failure> {
    let gap = args
        .get_one::<String>("token-gap")
        .ok_or("missing option")?;
    let settings = Settings {
        daemons: 1,
        engines: vec![CHECKED_ENGINES.into()],
        gap: gap.clone(),
        ..Settings::default()
    };
    Ok(Rack::start(settings).await?)
}

/// Sends the same requests straight to the engine and through the daemon, at the same time.
async fn measure(args: &ArgMatches) -> Result<(Times, Times), Failure> {
    let rack = rack(args).await?;
    let plan = plan(args).ok_or("missing option")?;
    // The first request pays for the cold start.
    rack.call(0, &plan.ask).await?;
    let engine: SocketAddr = rack.engines.first().ok_or("no engine")?.address;
    let daemon: SocketAddr = rack.daemons.first().ok_or("no daemon")?.callers;
    let (direct, through) = tokio::join!(
        run(engine, &plan, Times::new()?),
        run(daemon, &plan, Times::new()?)
    );
    Ok((direct?, through?))
}

fn row(name: &str, direct: &Histogram<u64>, through: &Histogram<u64>) {
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (a, b) = (
            millis(direct.value_at_quantile(quantile)),
            millis(through.value_at_quantile(quantile)),
        );
        println!("{name:<16} {label} {a:>9.3} {b:>9.3} {:>9.3}", b - a);
    }
}

fn millis(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1000.0
}

fn print(direct: &Times, through: &Times) {
    println!("milliseconds            direct   through     added");
    row("first byte", &direct.first, &through.first);
    row("between tokens", &direct.between, &through.between);
    row("total", &direct.total, &through.total);
    for (name, times) in [("direct", direct), ("through", through)] {
        println!(
            "{name:<16} right {} wrong {} not sent for want of a connection {}",
            times.right, times.wrong, times.late
        );
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = command().get_matches();
    match measure(&args).await {
        Ok((direct, through)) => {
            print(&direct, &through);
            match direct.wrong + through.wrong {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::FAILURE,
            }
        }
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}
