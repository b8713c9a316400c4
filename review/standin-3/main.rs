//! Stand-ins of the platform for the cases of a review, and the scenarios that they play.
//!
//! `standin-3 play SCENARIO FOLDER` plays a scenario and writes `record.txt` to the folder. It exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the scenario could not run. With `TROUBLE=0` in the environment the
//! scenario is played without its disruption.

mod cell;
mod history;
mod http;
mod json;
mod record;
mod scenarios;
mod worker;

use std::{env, path::PathBuf, process::ExitCode, time::Duration};

fn main() -> ExitCode {
    let arguments: Vec<_> = env::args().skip(1).collect();
    let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        ["play", scenario, folder] => scenarios::play(scenario, &PathBuf::from(folder)),
        ["guard"] => {
            cell::guard();
            ExitCode::SUCCESS
        }
        [
            "worker",
            name,
            address,
            zone,
            labels,
            cpu,
            first_heartbeat_ms,
            controls,
            record,
        ] => {
            let settings = worker::Settings {
                address: address.parse().expect("the harness passes an address"),
                controls: controls
                    .split(',')
                    .map(|control| control.parse().expect("the harness passes addresses"))
                    .collect(),
                cpu: cpu.parse().expect("the harness passes a number"),
                first_heartbeat: Duration::from_millis(
                    first_heartbeat_ms.parse().expect("the harness passes a number"),
                ),
                labels: labels.split(',').map(str::to_owned).collect(),
                name: name.to_owned(),
                record: PathBuf::from(record),
                service: cell::SERVICE.to_owned(),
                zone: zone.to_owned(),
            };
            match worker::run(settings) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::from(2),
            }
        }
        _ => ExitCode::from(2),
    }
}
