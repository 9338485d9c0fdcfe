//! Measures what control costs for each instance at several sizes, and prints fits.

use std::error::Error;
use std::process::Command as Process;
use std::time::Duration;

use brassrack_standins::slopes::{MeshCost, Shape, fit, mesh_cost, part_costs};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

type Failure = Box<dyn Error + Send + Sync>;

/// Sizes that the fits rest on.
const SIZES: [u32; 4] = [4, 8, 16, 32];

/// Instances of the size to design for.
const DESIGN: u32 = 350;

/// A figure of the peer protocol, with its title.
type Figure = (&'static str, fn(&MeshCost) -> f64);

const FIGURES: [Figure; 9] = [
    ("idle: bytes sent/s", |c| c.idle_bytes),
    ("idle: messages sent/s", |c| c.idle_messages),
    ("idle: core %", |c| c.idle_cpu),
    ("loads: bytes sent/s", |c| c.load_bytes),
    ("loads: messages sent/s", |c| c.load_messages),
    ("loads: core %", |c| c.load_cpu),
    ("memory, KiB", |c| c.memory),
    ("rules change: bytes sent", |c| c.rules_bytes),
    ("rules change: ms", |c| c.rules_ms),
];

fn command() -> Command {
    Command::new("slopes")
        .about("Measures the cost of control for each instance over loopback, in under two minutes")
        .arg(
            Arg::new("window")
                .long("window")
                .value_name("SECONDS")
                .help("Length of each measurement")
                .value_parser(value_parser!(u64).range(1..=10))
                .default_value("6"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Also runs the peer protocol at the size to design for")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .hide(true)
                .value_parser(value_parser!(u32).range(2..=400)),
        )
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let matches = command().get_matches();
    let window = matches.get_one::<u64>("window").copied().unwrap_or(6);
    if let Some(size) = matches.get_one::<u32>("only") {
        let cost = mesh_cost(usize::try_from(*size)?, Duration::from_secs(window)).await?;
        println!("{}", serde_json::to_string(&cost)?);
        return Ok(());
    }
    print_parts().await?;
    print_mesh(&matches, window)
}

/// Runs one size in a process of its own, so that memory is that of this size alone.
fn measure(size: u32, window: u64) -> Result<MeshCost, Failure> {
    let output = Process::new(std::env::current_exe()?)
        .args(["--only", &size.to_string(), "--window", &window.to_string()])
        .output()?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into());
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}

fn print_mesh(matches: &ArgMatches, window: u64) -> Result<(), Failure> {
    let mut costs = Vec::new();
    for size in SIZES {
        costs.push(measure(size, window)?);
    }
    let check = matches
        .get_flag("check")
        .then(|| measure(DESIGN, window))
        .transpose()?;
    println!(
        "\npeer protocol, for each instance; run at 350: {}",
        check.is_some()
    );
    println!("| figure | 4 | 8 | 16 | 32 | fit | at 350 by fit | run at 350 |");
    println!("|---|---|---|---|---|---|---|---|");
    for (title, figure) in FIGURES {
        let points: Vec<f64> = costs.iter().map(figure).collect();
        let run = check.as_ref().map_or("-".to_string(), |c| show(figure(c)));
        println!("| {title} | {} | {run} |", row(&points, DESIGN));
    }
    Ok(())
}

async fn print_parts() -> Result<(), Failure> {
    let mut by_size = Vec::new();
    for size in SIZES {
        by_size.push(part_costs(size).await?);
    }
    println!("parts, in one process without sockets");
    println!("| role | figure | size counts | 4 | 8 | 16 | 32 | fit | design size: by fit |");
    println!("|---|---|---|---|---|---|---|---|---|");
    for (i, part) in by_size[0].iter().enumerate() {
        let points: Vec<f64> = by_size.iter().map(|costs| costs[i].figure).collect();
        println!(
            "| {} | {} | {} | {} |",
            part.role,
            part.what,
            part.counts,
            row(&points, part.design)
        );
    }
    Ok(())
}

/// The figures, the better fit, and what it says of the size to design for.
fn row(figures: &[f64], design: u32) -> String {
    let points: Vec<(f64, f64)> = SIZES
        .iter()
        .map(|size| f64::from(*size))
        .zip(figures.iter().copied())
        .collect();
    let linear = fit(Shape::Linear, &points);
    let logarithmic = fit(Shape::Logarithmic, &points);
    let (best, unit) = if linear.quality >= logarithmic.quality {
        (linear, "n")
    } else {
        (logarithmic, "ln n")
    };
    let figures: Vec<String> = figures.iter().map(|f| show(*f)).collect();
    format!(
        "{} | {} + {} {unit} (R2 {:.2}) | {}",
        figures.join(" | "),
        show(best.base),
        show(best.slope),
        best.quality,
        show(best.at(f64::from(design)))
    )
}

/// A figure with about four digits.
fn show(figure: f64) -> String {
    if figure.abs() < 100.0 {
        return format!("{figure:.3}");
    }
    format!("{figure:.0}")
}
