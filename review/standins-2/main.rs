//! Stand-ins for the platform's store, servers and clients, and the cases that a `run.sh` plays with them.

mod drill;
mod ghost;
mod hosts;
mod http;
mod json;
mod limit;
mod part;
mod record;
mod same_id;
mod server;
mod store;
mod streams;
mod take_up;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Exit codes of a case.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

/// How a case has ended.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// Waits until this time since the start, in seconds.
pub fn wait_until(record: &Record, seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(record.now()));
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder), Some(dir)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: standins CASE FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("record.txt: {e}");
            return ExitCode::from(NOT_RUN);
        }
    };
    let dir = PathBuf::from(dir);
    let verdict = match case.as_str() {
        "drill" => drill::run(&dir, &record, has_trouble),
        "same-id" => same_id::run(&dir, &record, has_trouble),
        "part" => part::run(&dir, &record, has_trouble),
        "take-up" => take_up::run(&dir, &record, has_trouble),
        "ghost" => ghost::run(&dir, &record, has_trouble),
        "limit" => limit::run(&dir, &record, has_trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Held => (HELD, "held".to_owned()),
        Verdict::Broken(what) => (BROKEN, format!("broken: {what}")),
        Verdict::NotRun(why) => (NOT_RUN, format!("not run: {why}")),
    };
    record.tell(&text);
    ExitCode::from(code)
}
