//! Stand-ins of the platform, its workers, a client and an operator, and the cases that use them.
//!
//! Usage: `standin CASE RECORD`. With `TROUBLE=0` in the environment there is no disruption. Exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.

mod case_attempts;
mod case_crashes;
mod case_ends;
mod case_fills;
mod case_late_hold;
mod cell;
mod http;
mod record;
mod worker;

use record::Record;
use std::{path::Path, process::exit, sync::Arc};

/// What a case found.
pub enum Outcome {
    Held,
    Broken(Vec<String>),
    CouldNotRun(&'static str),
}

/// Settings of a run.
pub struct Run {
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("cannot write {path}");
        exit(2);
    };
    let run = Run {
        record: Arc::new(record),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match case.as_str() {
        "attempts" => case_attempts::run(&run),
        "fills" => case_fills::run(&run),
        "ends" => case_ends::run(&run),
        "late-hold" => case_late_hold::run(&run),
        "crashes" => case_crashes::run(&run),
        _ => Outcome::CouldNotRun("unknown case"),
    };
    let code = match outcome {
        Outcome::Held => {
            run.record.say("the rule held");
            0
        }
        Outcome::Broken(breaks) => {
            for text in breaks.iter().take(20) {
                run.record.say(&format!("BROKEN: {text}"));
            }
            run.record
                .say(&format!("the rule was broken {} times", breaks.len()));
            1
        }
        Outcome::CouldNotRun(reason) => {
            run.record.say(&format!("the case could not run: {reason}"));
            2
        }
    };
    exit(code);
}

/// Ends the case with the breaks of TWICE.
pub fn outcome(breaks: Vec<String>) -> Outcome {
    match breaks.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken(breaks),
    }
}

/// Returns a number that differs between tasks, the same for each run of one.
pub fn spread(task: &str) -> u64 {
    let hash = task.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd) >> 33
}
