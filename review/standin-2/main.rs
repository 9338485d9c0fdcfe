//! Cases of the review that cannot be put as a day of the bench. Standard library only.
//!
//! `standin CASE FOLDER` plays a case and writes FOLDER/record.txt; it exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it does so without the
//! disruption.

mod crowd;
mod deep;
mod engine;
mod heads;
mod holders;
mod http;
mod json;
mod memory;
mod names;
mod paused;
mod proxy;
mod relisted;
mod rig;
mod silent;
mod stale;
mod store;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    // What cannot be set up is no finding.
    std::panic::set_hook(Box::new(|fault| {
        println!("{fault}");
        if std::thread::current().name() == Some("main") {
            rig::end_all();
            exit(2);
        }
    }));
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if let ["crowd", rest @ ..] = words.as_slice() {
        return crowd::run(rest);
    }
    let [case, folder] = words.as_slice() else {
        println!("usage: standin CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match rig::Record::create(&PathBuf::from(folder)) {
        Ok(record) => record,
        Err(error) => {
            println!("record.txt cannot be written: {error}");
            exit(2);
        }
    };
    record.say(if trouble {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let broken = match *case {
        "deep" => deep::play(&record, trouble),
        "heads" => heads::play(&record, trouble),
        "relisted" => relisted::play(&record, trouble),
        "silent" => silent::play(&record, trouble),
        "holders" => holders::play(&record, trouble),
        "names" => names::play(&record, trouble),
        "paused" => paused::play(&record, trouble),
        "stale" => stale::play(&record, trouble),
        _ => {
            println!("no case {case}");
            exit(2);
        }
    };
    record.say(if broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    exit(i32::from(broken));
}
