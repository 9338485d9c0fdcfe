//! Runs one stand-in as a process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use brassrack_standins::engine::{self, Engine};
use brassrack_standins::list::List;
use brassrack_standins::server::{Server, Standin};
use brassrack_standins::service::Service;
use brassrack_standins::store::Store;
use brassrack_standins::weights::{self, Weights};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn time(name: &'static str, help: &'static str) -> Arg {
    option(name, "TIME", help).value_parser(parse_time)
}

fn bytes(name: &'static str, help: &'static str) -> Arg {
    option(name, "BYTES", help).value_parser(value_parser!(u64))
}

fn parse_time(text: &str) -> Result<Duration, humantime::DurationError> {
    humantime::parse_duration(text)
}

fn command() -> Command {
    let listen = option(
        "listen",
        "ADDR",
        "Address to listen on; port 0 picks a free one",
    )
    .value_parser(value_parser!(SocketAddr))
    .default_value("127.0.0.1:0")
    .global(true);
    Command::new("standin")
        .about("Runs one stand-in as a process")
        .subcommand_required(true)
        .arg(listen)
        .subcommand(Command::new("table").about("Table service and object store"))
        .subcommand(
            Command::new("list")
                .about("Instance list")
                .arg(time("lag", "Time until a change shows").default_value("0s")),
        )
        .subcommand(engine_command())
        .subcommand(
            Command::new("service").about("Plain service").arg(
                Arg::new("keyed")
                    .long("keyed")
                    .action(ArgAction::SetTrue)
                    .help("Recognise idempotency keys and answer the stored result"),
            ),
        )
        .subcommand(Command::new("weights").about("Weight store").arg(bytes(
            "rate",
            "Bytes a second of one transfer at full speed",
        )))
}

fn engine_command() -> Command {
    Command::new("engine")
        .about("Model engine")
        .arg(bytes("memory", "Accelerator memory"))
        .arg(
            option("orders", "HOW", "How fencing numbers are treated")
                .value_parser(["checked", "ignored"])
                .default_value("checked"),
        )
        .arg(
            option("weights", "ADDR", "Address of the weight store")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(bytes(
            "rate",
            "Bytes a second of a load without a weight store",
        ))
        .arg(bytes(
            "disk-rate",
            "Bytes a second of a load from the own disk",
        ))
        .arg(
            option(
                "tokens",
                "COUNT",
                "Tokens of an answer that does not limit them",
            )
            .value_parser(value_parser!(u32)),
        )
        .arg(time("token-gap", "Time for each token"))
        .arg(
            option("batch", "COUNT", "Requests that run at once")
                .value_parser(value_parser!(usize)),
        )
        .arg(time("report-lag", "Age of the reports"))
}

fn engine(args: &ArgMatches) -> Engine {
    let default = engine::Settings::default();
    let size = |name, other| args.get_one::<u64>(name).copied().unwrap_or(other);
    let span = |name, other| args.get_one::<Duration>(name).copied().unwrap_or(other);
    Engine::new(engine::Settings {
        memory: size("memory", default.memory),
        checked: args
            .get_one::<String>("orders")
            .is_none_or(|how| how == "checked"),
        weights: args.get_one("weights").copied(),
        rate: size("rate", default.rate),
        disk: size("disk-rate", default.disk),
        tokens: args.get_one("tokens").copied().unwrap_or(default.tokens),
        gap: span("token-gap", default.gap),
        batch: args.get_one("batch").copied().unwrap_or(default.batch),
        lag: span("report-lag", default.lag),
    })
}

fn weights(args: &ArgMatches) -> Weights {
    let default = weights::Settings::default();
    Weights::new(weights::Settings {
        rate: args.get_one("rate").copied().unwrap_or(default.rate),
        ..default
    })
}

fn list(args: &ArgMatches) -> List {
    List::with_lag(args.get_one("lag").copied().unwrap_or_default())
}

fn standin(args: &ArgMatches) -> Option<Standin> {
    let (kind, args) = args.subcommand()?;
    match kind {
        "table" => Some(Standin::Store(Store::default())),
        "list" => Some(Standin::List(list(args))),
        "engine" => Some(Standin::Engine(engine(args))),
        "service" => Some(Standin::Service(Service::new(args.get_flag("keyed")))),
        "weights" => Some(Standin::Weights(weights(args))),
        _ => None,
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = command().get_matches();
    let listen = args.get_one::<SocketAddr>("listen").copied();
    let (Some(listen), Some(standin)) = (listen, standin(&args)) else {
        return ExitCode::FAILURE;
    };
    match Server::bind(listen, standin).await {
        Ok(server) => {
            println!("listening on {}", server.address);
            server.wait().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{listen}: {error}");
            ExitCode::FAILURE
        }
    }
}
