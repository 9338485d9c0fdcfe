//! Replays the deployments against the policy and its baselines, in model time.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use brassrack_standins::replay::pick::{self, Way};
use brassrack_standins::replay::plot::{self, PlotError};
use brassrack_standins::replay::report;
use brassrack_standins::replay::site::Site;
use brassrack_standins::replay::study::{Seeds, study};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use strum::IntoEnumIterator;

fn command() -> Command {
    Command::new("replay")
        .about("Replays arrivals against the policy and its baselines, in model time")
        .arg(
            Arg::new("site")
                .long("site")
                .value_parser(["papirnica", "delta-meridian", "two-year"])
                .help("Deployment to replay; all where none is given"),
        )
        .arg(
            Arg::new("pick")
                .long("pick")
                .action(ArgAction::SetTrue)
                .help("Measure the choice of the endpoint in place of the policy"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_parser(value_parser!(Seeds))
                .default_value("held-out")
                .help("Seeds: tuning or held-out"),
        )
        .arg(
            Arg::new("threads")
                .long("threads")
                .value_parser(value_parser!(usize))
                .default_value("4")
                .help("Threads; the figures do not depend on them"),
        )
        .arg(
            Arg::new("plots")
                .long("plots")
                .value_parser(value_parser!(PathBuf))
                .help("Folder to write an SVG file for each deployment to"),
        )
}

fn run(args: &ArgMatches) -> Result<(), PlotError> {
    let seeds = args.get_one::<Seeds>("seeds").copied();
    let threads = args.get_one::<usize>("threads").copied();
    let wanted = args.get_one::<String>("site");
    let sites = [Site::papirnica(), Site::delta_meridian(), Site::two_year()];
    for site in sites {
        if wanted.is_some_and(|w| *w != site.name) {
            continue;
        }
        let rows = study(&site, seeds.unwrap_or(Seeds::HeldOut), threads.unwrap_or(1));
        println!("{}", report::table(&site, &rows));
        println!("{}", report::targets(&site, &rows));
        if let Some(folder) = args.get_one::<PathBuf>("plots") {
            plot::write(&folder.join(format!("{}.svg", site.name)), &site, &rows)?;
        }
    }
    Ok(())
}

/// Measures each way to choose with reports of both ages.
fn measure_pick(seeds: Seeds) {
    println!("{}", pick::heading());
    for lag in [1, 5].map(Duration::from_secs) {
        for way in Way::iter() {
            println!("{}", pick::study(way, lag, seeds).line());
        }
    }
}

fn main() -> ExitCode {
    let args = command().get_matches();
    if args.get_flag("pick") {
        let seeds = args.get_one::<Seeds>("seeds").copied();
        measure_pick(seeds.unwrap_or(Seeds::HeldOut));
        return ExitCode::SUCCESS;
    }
    let Err(e) = run(&args) else {
        return ExitCode::SUCCESS;
    };
    eprintln!("{e}");
    ExitCode::FAILURE
}
