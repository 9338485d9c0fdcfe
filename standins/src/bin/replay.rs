//! Replays the deployments against the policy and its baselines, in model time.

use std::path::PathBuf;
use std::process::ExitCode;

use brassrack_standins::replay::plot::{self, PlotError};
use brassrack_standins::replay::report;
use brassrack_standins::replay::site::Site;
use brassrack_standins::replay::study::{Seeds, study};
use clap::{Arg, ArgMatches, Command, value_parser};

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

fn main() -> ExitCode {
    let Err(e) = run(&command().get_matches()) else {
        return ExitCode::SUCCESS;
    };
    eprintln!("{e}");
    ExitCode::FAILURE
}
