//! Stand-ins of the platform, its servers and its clients, and the cases that are scripts.
//!
//! `standin CASE FOLDER` runs a case, writes `record.txt` in the folder and exits with 1 if the rule
//! was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

#![allow(dead_code)]

mod http;
mod json;
mod record;
mod repeated;
mod server;
mod site;
mod store;
mod uploads;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(&folder.join("record.txt"));
    let outcome = match case.as_str() {
        "repeated" => repeated::run(&record, trouble),
        "uploads" => uploads::run(&record, trouble),
        _ => Outcome::NotRun,
    };
    record.flush();
    match outcome {
        Outcome::Held => ExitCode::from(0),
        Outcome::Broken => ExitCode::from(1),
        Outcome::NotRun => ExitCode::from(2),
    }
}
