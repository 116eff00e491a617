//! The stand-ins and checks of the cases from 11 on: `standins CASE FOLDER`. A script is the case with its folder; with
//! `TROUBLE=0` in the environment the same happens without the disruption. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod deployment;
mod engine;
mod hot_request;
mod http;
mod isolation;
mod json;
mod keep_alive;
mod other_writer;
mod own_refusal;
mod plain;
mod same_address;
mod store;
mod two_models;

use std::path::Path;
use std::process::ExitCode;

use deployment::Record;

/// The outcome of a case.
pub enum Verdict {
    Broken(&'static str),
    Held,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let work = std::env::temp_dir().join(format!("review-3-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("no temporary folder");
    record.add(format!("{case}, disruption: {has_trouble}"));
    let verdict = match case.as_str() {
        "own-refusal" => own_refusal::run(&work, &record, has_trouble),
        "two-models" => two_models::run(&work, &record, has_trouble),
        "isolation" => isolation::run(&work, &record, has_trouble),
        "other-writer" => other_writer::run(&work, &record, has_trouble),
        "hot-request" => hot_request::run(&work, &record, has_trouble),
        "same-address" => same_address::run(&work, &record, has_trouble),
        "keep-alive" => keep_alive::run(&work, &record, has_trouble),
        _ => Verdict::NotRun("there is no such case"),
    };
    // The logs of the hosts are of use only if someone looks for the cause.
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    }
    let (code, text) = match verdict {
        Verdict::Broken(what) => (1, format!("the rule is broken: {what}")),
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::NotRun(why) => (2, format!("could not run: {why}")),
    };
    record.add(&text);
    record.flush();
    println!("{case}: {text}");
    ExitCode::from(code)
}
