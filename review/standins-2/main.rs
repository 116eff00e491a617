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

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

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

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

static IS_CUT_SHORT: AtomicBool = AtomicBool::new(false);

unsafe extern "C" {
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
}

extern "C" fn cut_short(_: i32) {
    IS_CUT_SHORT.store(true, Ordering::SeqCst);
}

/// Ends the process when it is told to, or when its time is up. The hosts end with it.
fn watch(dir: PathBuf) {
    let started = Instant::now();
    std::thread::spawn(move || {
        while !IS_CUT_SHORT.load(Ordering::SeqCst) && started.elapsed() < TIME_LIMIT {
            std::thread::sleep(Duration::from_millis(50));
        }
        let _ = std::fs::remove_dir_all(&dir);
        std::process::exit(NOT_RUN.into());
    });
}

fn main() -> ExitCode {
    for number in [SIGINT, SIGTERM] {
        // SAFETY: the handler stores one flag.
        unsafe { signal(number, cut_short) };
    }
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let dir = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&dir) {
        eprintln!("{}: {e}", dir.display());
        return ExitCode::from(NOT_RUN);
    }
    watch(dir.clone());
    // A stand-in that fails has shown nothing.
    let played = std::panic::catch_unwind(|| play(&case, &PathBuf::from(folder), &dir));
    let _ = std::fs::remove_dir_all(&dir);
    ExitCode::from(played.unwrap_or(NOT_RUN))
}

/// Plays a case; returns its exit code.
fn play(case: &str, folder: &Path, dir: &Path) -> u8 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("record.txt: {e}");
            return NOT_RUN;
        }
    };
    let verdict = match case {
        "drill" => drill::run(dir, &record, has_trouble),
        "ghost" => ghost::run(dir, &record, has_trouble),
        "same-id" => same_id::run(dir, &record, has_trouble),
        "part" => part::run(dir, &record, has_trouble),
        "take-up" => take_up::run(dir, &record, has_trouble),
        "limit" => limit::run(dir, &record, has_trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Held => (HELD, "held".to_owned()),
        Verdict::Broken(what) => (BROKEN, format!("broken: {what}")),
        Verdict::NotRun(why) => (NOT_RUN, format!("not run: {why}")),
    };
    record.tell(&text);
    code
}
