//! What the workers have run, read from the record.

use std::{collections::BTreeMap, fs, io::Result, path::Path};

/// A run of a task on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub began_ms: u64,
    /// Time at which it ended, and how; `None` if it was still at work at the end of the record.
    pub end: Option<(u64, String)>,
    pub task: String,
    pub worker: String,
}

/// Reads the runs of all tasks. Those of a worker that goes down end as `lost`.
pub fn read(record: &Path) -> Result<Vec<Run>> {
    let mut runs: Vec<Run> = Vec::new();
    let mut open: BTreeMap<(String, String, String), usize> = BTreeMap::new();
    for line in fs::read_to_string(record)?.lines() {
        let words: Vec<_> = line.split(' ').collect();
        let Some(time_ms) = words.first().and_then(|word| word.parse().ok()) else {
            continue;
        };
        match words[1..] {
            ["worker", worker, "began", task, "run", number] => {
                let key = (worker.to_owned(), task.to_owned(), number.to_owned());
                open.insert(key, runs.len());
                runs.push(Run {
                    began_ms: time_ms,
                    end: None,
                    task: task.to_owned(),
                    worker: worker.to_owned(),
                });
            }
            ["worker", worker, "ended", task, "run", number, how] => {
                let key = (worker.to_owned(), task.to_owned(), number.to_owned());
                if let Some(position) = open.remove(&key) {
                    runs[position].end = Some((time_ms, how.to_owned()));
                }
            }
            ["worker", worker, "is", "down:", _] => {
                let lost = open
                    .keys()
                    .filter(|(on, ..)| on == worker)
                    .cloned()
                    .collect::<Vec<_>>();
                for key in lost {
                    if let Some(position) = open.remove(&key) {
                        runs[position].end = Some((time_ms, "lost".to_owned()));
                    }
                }
            }
            _ => {}
        }
    }
    Ok(runs)
}

/// Returns the runs of a job.
pub fn of_job<'a>(runs: &'a [Run], job: &str) -> Vec<&'a Run> {
    let prefix = format!("{job}.");
    runs.iter().filter(|run| run.task.starts_with(&prefix)).collect()
}

/// Returns the spans in which none of some runs is at work, within a span.
pub fn idle_spans(runs: &[&Run], from_ms: u64, to_ms: u64) -> Vec<(u64, u64)> {
    let mut busy: Vec<_> = runs
        .iter()
        .map(|run| {
            (
                run.began_ms,
                run.end.as_ref().map_or(to_ms, |(end_ms, _)| *end_ms),
            )
        })
        .collect();
    busy.sort_unstable();
    let mut spans = Vec::new();
    let mut at_ms = from_ms;
    for (began_ms, end_ms) in busy {
        if began_ms > at_ms {
            spans.push((at_ms, began_ms.min(to_ms)));
        }
        at_ms = at_ms.max(end_ms);
    }
    if to_ms > at_ms {
        spans.push((at_ms, to_ms));
    }
    spans
}

/// Returns the pairs of runs of one task that were at work at the same time, with the duration in milliseconds.
pub fn overlaps(runs: &[&Run]) -> Vec<(String, u64)> {
    let end_ms = |run: &Run| run.end.as_ref().map_or(u64::MAX, |(end_ms, _)| *end_ms);
    let mut overlaps = Vec::new();
    for (position, first) in runs.iter().enumerate() {
        for second in &runs[position + 1..] {
            let from_ms = first.began_ms.max(second.began_ms);
            let to_ms = end_ms(first).min(end_ms(second));
            if first.task == second.task && to_ms > from_ms {
                let names = format!("{} on {} and {}", first.task, first.worker, second.worker);
                overlaps.push((names, to_ms - from_ms));
            }
        }
    }
    overlaps
}
