//! `fuchsiatack scarce`.

use {
    crate::{error::CliError, log_line::LogLine, output::Format},
    gumdrop::Options,
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack scarce core-1.log core-2.log";

/// Log event of the leader on the room of a service.
const ROOM_EVENT: &str = "room in the cell";
/// Log event of the leader on the step of a priority that waits longest.
const WAIT_EVENT: &str = "steps waiting";
/// Resources in the events, by the ending of their fields.
const RESOURCES: [&str; 3] = ["accelerators", "memory_bytes", "processors_millis"];

/// Shows which resources of the cell are scarce and what waits, from the logs of core daemons.
#[derive(Debug, Options)]
pub(crate) struct ScarceOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(free, help = "log files of core daemons")]
    files: Vec<String>,
}

/// Newest events by service or by priority.
#[derive(Default)]
struct Newest {
    rooms: BTreeMap<String, LogLine>,
    waits: BTreeMap<String, LogLine>,
}

/// What the workers of a service have of a resource.
struct Amount {
    capacity: u64,
    free: u64,
    largest_free: u64,
    resource: &'static str,
    service: String,
}

impl ScarceOptions {
    /// Prints the resources of each service, those with the smallest free part first, and the step of each
    /// priority that waits longest. Fails if a file cannot be read.
    pub(crate) fn run(&self, format: Format) -> Result<(), CliError> {
        if self.files.is_empty() {
            return Err(CliError::usage("scarce needs at least one log file"));
        }
        let mut newest = Newest::default();
        for file in &self.files {
            for line in LogLine::read_file(file)? {
                newest.add(line);
            }
        }
        let mut amounts: Vec<_> = newest.rooms.values().flat_map(amounts).collect();
        amounts.sort_by_key(Amount::free_thousandths);
        let value = json!({
            "resources": amounts.iter().map(Amount::to_value).collect::<Vec<_>>(),
            "waits": newest.waits.values().map(LogLine::to_value).collect::<Vec<_>>(),
        });
        format.print(&value, &newest.to_text(&amounts));
        Ok(())
    }
}

impl Newest {
    fn add(&mut self, line: LogLine) {
        let (lines, key) = match line.text("event") {
            ROOM_EVENT => (&mut self.rooms, line.text("service").to_owned()),
            WAIT_EVENT => (&mut self.waits, line.text("priority").to_owned()),
            _ => return,
        };
        let is_newest = lines
            .get(&key)
            .is_none_or(|present| present.unix_ms <= line.unix_ms);
        if is_newest {
            lines.insert(key, line);
        }
    }

    fn to_text(&self, amounts: &[Amount]) -> String {
        let mut lines: Vec<String> = amounts.iter().map(Amount::to_text).collect();
        lines.extend(self.rooms.iter().map(|(service, room)| {
            format!(
                "{service}: room reserved on {} of {} workers; {} advice requests in flight, {} tickets lapsed",
                room.text("reserved_workers"),
                room.text("workers"),
                room.text("advice_in_flight"),
                room.text("lapsed_tickets")
            )
        }));
        lines.extend(self.waits.iter().map(|(priority, wait)| {
            format!(
                "priority {priority}: {} steps wait, {} for {} ms: {}",
                wait.text("waiting_steps"),
                wait.text("step"),
                wait.text("waited_ms"),
                wait.text("waits")
            )
        }));
        if lines.is_empty() {
            lines.push("no log line of a leader on the room in the cell".to_owned());
        }
        lines.join("\n")
    }
}

impl Amount {
    fn free_thousandths(&self) -> u64 {
        self.free.saturating_mul(1_000) / self.capacity.max(1)
    }

    fn to_text(&self) -> String {
        let Self {
            capacity,
            free,
            largest_free,
            resource,
            service,
        } = self;
        let percent = self.free_thousandths() / 10;
        format!("{service} {resource}: {free} of {capacity} free ({percent}%), {largest_free} on one worker")
    }

    fn to_value(&self) -> Value {
        json!({
            "capacity": self.capacity,
            "free": self.free,
            "largest_free": self.largest_free,
            "resource": self.resource,
            "service": self.service,
        })
    }
}

/// Returns the amounts of the resources that a service has.
fn amounts(room: &LogLine) -> impl Iterator<Item = Amount> + '_ {
    let amounts = RESOURCES.into_iter().map(|resource| Amount {
        capacity: room.number(resource),
        free: room.number(&format!("free_{resource}")),
        largest_free: room.number(&format!("largest_free_{resource}")),
        resource,
        service: room.text("service").to_owned(),
    });
    amounts.filter(|amount| amount.capacity > 0)
}
