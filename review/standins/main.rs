//! Stand-ins and clients of the cases in `review/`. `review/build.sh` builds it with the compiler alone.
//!
//! `standins CASE FOLDER` runs a case from the root of the repository and writes `FOLDER/record.txt`. It ends with 1 if
//! the rule was broken, with 0 if it held, and with 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod drain;
mod extra;
mod holders;
mod parts;
mod platform;
mod servers;
mod wall;
mod wire;

use std::path::{Path, PathBuf};

/// What a case needs to run.
pub struct Case {
    pub record: platform::Record,
    /// Temporary folder for settings and logs.
    pub dir: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        platform::stop("usage: standins CASE FOLDER");
    };
    if !Path::new("target/release/laburnumtally").exists() {
        platform::stop(
            "target/release/laburnumtally is missing; build it first, and start in the repository's root",
        );
    }
    let dir = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&dir) {
        platform::stop(&e.to_string());
    }
    let case = Case {
        record: platform::Record::create(&format!("{folder}/record.txt")),
        dir: dir.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    // A run that hangs is one that could not be carried out; the cases end well before.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(100));
        platform::stop("not finished after 100 s");
    });
    let broken = match name.as_str() {
        "drain" => drain::run(&case),
        "wall" => wall::run(&case),
        "extra" => extra::run(&case),
        "holders" => holders::run(&case),
        "parts" => parts::run(&case),
        _ => platform::stop("no such case"),
    };
    platform::end_processes();
    let _ = std::fs::remove_dir_all(&dir);
    match broken.is_empty() {
        true => case.record.line("RESULT the rule held"),
        false => {
            for line in &broken {
                case.record.line(&format!("BROKEN {line}"));
                println!("{line}");
            }
            case.record
                .line(&format!("RESULT the rule was broken {} times", broken.len()));
        }
    }
    std::process::exit(if broken.is_empty() { 0 } else { 1 });
}
